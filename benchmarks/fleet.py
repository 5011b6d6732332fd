"""Twenty real instances under one supervisor, through the events of a day, observed from outside.

    python -m benchmarks.fleet day|starts [--instances 20] [--seed 1] [--repeats 3] [--out FOLDER]

`day` starts all instances in the same second, while discovery answers one of them at a time. A burst of
clients follows over two seconds, and a relay is killed during it. All instances are then rolled by takeover.
During the roll, all instances are reloaded, and the supervisor is killed and another one continues. After
that come a reload with a faulty file, a relay killed during its shutdown, and a new process killed before it
was ready. Clients arrive throughout, at times drawn in advance. A run takes about 75 s.

`starts` measures the time from a process's start until it is ready, for one instance and for all at once.

Prints lines of JSON; `--out` keeps the result for `glenfold lab report`. The exit status is 1 if a rule was
broken, or if a connect was refused or a connection lost during the roll.
"""

import json
import os
import re
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

import click
import msgspec
import numpy as np
import trio

from glenfold_lab import spec
from glenfold_lab.observe import End, Final, Record
from glenfold_lab.stand_ins.daemons import FLEET_NAME, Daemons
from glenfold_lab.stand_ins.fleet import ClientBurst, HistoryContext, PlayedHistory, play_fleet
from glenfold_lab.stand_ins.machine_clock import SECOND_US

LENGTH_S = 62.0
BURST_AT_S = 2.0  # time of the burst of clients
ROLL_AT_S = 6.0
BURST_CLIENTS = 1000
LIST_RESPONSE_S = 0.05  # time that discovery takes to answer with one whole list
DEADLINE_S = 10.0  # time limit for the shutdown of an old process
STAND_IN_PROCESSES = 4
MAX_SHOWN_VERDICTS = 5
FLEET_SETTINGS = {"stagger_s": 0.0, "window_s": 1.0, "settle_within_s": 20.0, "backoff_s": 0.5}

Figures = dict[str, Any]


def scenario(instances: int, length_s: float, load: float = 0.22) -> spec.Scenario:
    """Returns a scenario whose push servers can hold about 3,000 connections.

    About 700 connections stand; about 25 per second start and end.
    """
    kind = spec.ServerKind(name="large", cores=12, speed=1.0, speed_cv=0.0, per_core=33, message_ms=1.5)
    return spec.Scenario(
        format=1,
        name="fleet-day",
        guards_against="requests lost by the fleet's own doing",
        classes=(spec.RequestClass(name="watch", load_sigma=0.5, set_up_ms=3.0),),
        length_s=length_s,
        zones=spec.Zones(names=("one",), same_ms=0.2),
        servers=spec.Servers(count=8, kinds=(kind,), group_cost=0.0),
        relays=spec.Relays(count=instances, sockets=4096),
        # A reshuffle by the front would end connections that the roll keeps.
        front=spec.Front(reshuffle=0.0),
        clients=spec.Clients(load=load, life_s=30.0, groups=False),
    )


# ---- Day ----


@dataclass
class DayCourse:
    """The course of a day, and what was observed. Spans are in microseconds from the start of the run."""

    most_out: int
    roll: tuple[int, int] = (0, 0)
    command_results: dict[str, tuple[int, str]] = field(default_factory=dict)
    start_times_s: list[float] = field(default_factory=list)
    downtimes: list[tuple[int, int, int]] = field(default_factory=list)  # killed relays: relay, since, until

    async def begin(self, daemons: Daemons) -> None:
        daemons.start_supervisor()
        await daemons.wait_all_ready()
        logs = [path.read_text() for path in daemons.folder.glob("supervisor/logs/*.log")]
        self.start_times_s = start_times(daemons, "\n".join(logs))
        await daemons.wait_all_answer()

    async def run_course(self, course: HistoryContext) -> None:
        await course.until_s(BURST_AT_S + 1.0)
        await self._kill_relay(course, 0, draining=False)
        await course.daemons.wait_all_ready()
        await course.until_s(ROLL_AT_S)
        await self._roll(course)
        await self._reload_faulty_file(course)
        await self._kill_relay(course, 1, draining=True)
        await self._kill_successor(course, 2)

    async def _run_command(self, course: HistoryContext, command: str, *arguments: str) -> None:
        result = await course.daemons.run_command(*arguments)
        self.command_results[command] = result.status, result.out.strip()[-300:]
        course.record_event(f"{command}: status {result.status}")

    async def _roll(self, course: HistoryContext) -> None:
        daemons, started_us = course.daemons, course.now_us()
        await self._run_command(
            course, "roll", "fleet", "roll", "--most-out", str(self.most_out), "--no-wait"
        )
        await daemons.wait_for(
            daemons.fleet_status, lambda status: _rolled_count(status) >= len(daemons.relays) // 4
        )
        await self._run_command(course, "fleet reload in the roll", "fleet", "reload")
        await self._run_command(course, "reload of all in the roll", "reload")
        await daemons.wait_for(
            daemons.fleet_status, lambda status: _rolled_count(status) >= len(daemons.relays) // 2
        )
        course.record_event("supervisor killed")
        daemons.kill_supervisor()
        daemons.start_supervisor()
        await daemons.wait_for(
            daemons.fleet_status, lambda status: status["roll"] is None or not status["roll"]["running"]
        )
        last = await daemons.fleet_status()
        if last["roll"] is not None:
            self.command_results["roll stopped"] = 1, str(last["roll"]["reason"])
            await self._run_command(course, "roll continued", "fleet", "roll", "--continue")
        await daemons.wait_all_ready()
        course.record_event("roll", started_us)
        self.roll = started_us, course.now_us()

    async def _reload_faulty_file(self, course: HistoryContext) -> None:
        config_file = course.daemons.file
        valid_text = config_file.read_text()
        config_file.write_text(valid_text.replace("max_attempts = 5", 'max_attempts = "many"'))
        await self._run_command(course, "fleet reload of a faulty file", "fleet", "reload")
        await self._run_command(course, "reload of a faulty file", "reload")
        config_file.write_text(valid_text)

    async def _kill_relay(self, course: HistoryContext, relay: int, draining: bool) -> None:
        daemons, since = course.daemons, course.now_us()
        if draining:
            await self._run_command(course, "drain", "drain", "--instance", str(relay + 1))
            daemons.seen.stopping(course.clock.now_us(), relay)
            await daemons.wait_for_state(relay, "finishing")
        killed = daemons.kill(relay)
        course.record_event("killed in its shutdown" if draining else "killed", relays=(relay,))
        await daemons.wait_for_restart(relay, killed)
        self.downtimes.append((relay, since, course.now_us()))

    async def _kill_successor(self, course: HistoryContext, relay: int) -> None:
        """Kills a new process before it is ready; the old process has to serve without interruption."""
        daemons = course.daemons
        process = daemons.start_instance(relay)
        while len(daemons.processes().get(relay, ())) < 2 and process.poll() is None:
            await trio.sleep(0.005)
        process.kill()
        course.record_event("new process killed before it was ready", relays=(relay,))
        status = await daemons.instance_status(relay)
        self.command_results["old process after that"] = 0, str(status.get("state"))


def _rolled_count(status: dict[str, Any]) -> int:
    """Returns how many instances the roll has completed; a very large number when no roll runs."""
    roll = status["roll"]
    return 1 << 30 if roll is None else len(roll["done"])


def measure_day(
    day_scenario: spec.Scenario, seed: int, most_out: int, processes: int, take_over: bool = True
) -> tuple[PlayedHistory, Figures]:
    """Runs the day in a scenario that `scenario` returned, and returns the run and its figures."""
    day = DayCourse(most_out)
    restart = {"deadline_s": DEADLINE_S, "take_over": take_over}
    played = play_fleet(
        day_scenario,
        seed,
        day.begin,
        day.run_course,
        processes=processes,
        burst=ClientBurst(BURST_AT_S, BURST_CLIENTS, LIST_RESPONSE_S),
        tables={"fleet": {**FLEET_SETTINGS, "most_out": most_out}, "restart": restart},
    )
    return played, summarize(played, day)


def summarize(played: PlayedHistory, day: DayCourse) -> Figures:
    """Returns the figures to print for the day; connects and connections in the roll are counted apart."""
    result = played.result
    rules: dict[str, int] = {}
    for verdict in result.verdicts:
        rules[verdict.rule] = rules.get(verdict.rule, 0) + 1
    started_us, ended_us = (played.start + at for at in day.roll)
    refused_in_roll = [refusal for refusal in played.unreached if started_us <= refusal[0] <= ended_us]
    lost = [
        values
        for name, values in played.records
        if name == "ended" and started_us <= values[0] <= ended_us and values[2] in (End.CUT, End.RELAY_DIED)
    ]
    cut = [
        values
        for name, values in played.records
        if name == "answered" and values[2] == Final.CLOSED and started_us <= values[0] <= ended_us
    ]
    refused_elsewhere = [
        refusal
        for refusal in played.unreached
        if not started_us <= refusal[0] <= ended_us
        and not _is_down(day, refusal[1], refusal[0] - played.start)
    ]
    return {
        "requests": result.figures["requests"],
        "answers": result.answers,
        "unanswered_as_their_relay_was_killed": count_unanswered(played.records),
        "verdicts": rules,
        "verdicts_left_out": result.verdicts_left_out,
        "roll_s": round((day.roll[1] - day.roll[0]) / SECOND_US, 1),
        "most_out": day.most_out,
        "refused_connects_in_roll": len(refused_in_roll),
        "reset_before_answer_in_roll": len(cut),
        "lost_in_roll": len(lost),
        "moved": result.figures["moves"],
        "refused_connects_of_killed": len(played.unreached) - len(refused_in_roll) - len(refused_elsewhere),
        "refused_connects_else": len(refused_elsewhere),
        "down_s": [round((until - since) / SECOND_US, 2) for _, since, until in day.downtimes],
        "said": day.command_results,
        "start_s": spread(day.start_times_s),
        "set_up_ms": {at: us / 1000 for at, us in result.set_up["watch"].quantiles.items()},
        "service": round(result.figures["service"], 4),
        "worst_window": round(result.figures["worst_window"], 4),
        "late_p99_ms": result.figures["late_p99_ms"],
        "peak_mb": spread([usage.peak_mb for usage in played.usage.values()]),
        "old_and_new_mb": spread([usage.takeover_peak_mb for usage in played.usage.values()]),
        "cpu_s": spread([usage.cpu_s for usage in played.usage.values()]),
    }


def count_unanswered(records: Sequence[Record]) -> int:
    """Counts requests whose connections ended without an answer, though their clients had not left before.

    The checker excuses those of a relay that was killed, and no others.
    """
    answered = {
        values[1]
        for name, values in records
        if name == "left" or name == "answered" and values[2] != Final.CLOSED
    }
    return sum(name == "taken" and values[1] not in answered for name, values in records)


def _is_down(day: DayCourse, relay: int, at: int) -> bool:
    return any(killed == relay and since <= at <= until for killed, since, until in day.downtimes)


# ---- Starts ----


READY = re.compile(r'\{"time":"([^"]+)".*"instance":"([^"]+)".*"before":"waiting".*"state":"ready"')


def process_started_at(pid: int) -> float:
    """Returns when the kernel started that process, in Unix seconds with a resolution of 10 ms."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    age_s = time.clock_gettime(time.CLOCK_BOOTTIME) - int(fields[19]) / os.sysconf("SC_CLK_TCK")
    return time.time() - age_s


def ready_times(log: str) -> dict[str, float]:
    """Returns when each instance last became ready after a start, in Unix seconds."""
    return {
        match[2]: datetime.fromisoformat(match[1]).timestamp()
        for line in log.splitlines()
        if (match := READY.match(line))
    }


def start_times(daemons: Daemons, log: str) -> list[float]:
    """Returns the seconds from each process's start until it was ready."""
    ready = ready_times(log)
    return [
        ready[f"{FLEET_NAME}-{relay + 1}"] - process_started_at(processes[-1].pid)
        for relay, processes in daemons.processes().items()
    ]


@dataclass
class StartsCourse:
    """Starts all instances at once, `repeats` times, without a supervisor.

    The processes of the last start also serve for a short time.
    """

    repeats: int
    start_times_s: list[float] = field(default_factory=list)

    async def begin(self, daemons: Daemons) -> None:
        for n in range(self.repeats):
            if n:
                daemons.end_all()
            for relay in daemons.relays:
                daemons.start_instance(relay)
            async with trio.open_nursery() as nursery:
                for relay in daemons.relays:
                    nursery.start_soon(daemons.wait_for_state, relay, "ready")
            self.start_times_s += start_times(daemons, (daemons.file.parent / "log").read_text())
        await daemons.wait_all_answer()

    async def run_course(self, course: HistoryContext) -> None:
        """Does nothing: `begin` has measured the starts."""


def measure_starts(instances: int, seed: int, one_s: float, repeats: int) -> Figures:
    course = StartsCourse(repeats)
    play_fleet(
        scenario(instances, 0.5), seed, course.begin, course.run_course, burst=ClientBurst(full_list_s=one_s)
    )
    return {
        "instances": instances,
        "discovery_one_s": one_s,
        "seed": seed,
        "ready_s": spread(course.start_times_s),
    }


def spread(values: Sequence[float]) -> Figures:
    """Returns the number of values, their median, their 99th percentile and their maximum."""
    p50, p99, maximum = np.percentile(values, (50, 99, 100))
    return {
        "n": len(values),
        "p50": round(float(p50), 3),
        "p99": round(float(p99), 3),
        "most": round(float(maximum), 3),
    }


@click.command()
@click.argument("what", type=click.Choice(["day", "starts"]))
@click.option("--instances", type=click.IntRange(3, 100), default=20, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--most-out", type=click.IntRange(1, 100), default=2, show_default=True)
@click.option(
    "--repeats", type=click.IntRange(1, 20), default=3, show_default=True, help="Number of repeated starts."
)
@click.option(
    "--processes",
    type=click.IntRange(0, 16),
    default=STAND_IN_PROCESSES,
    show_default=True,
    help="Number of stand-in processes.",
)
@click.option(
    "--take-over/--no-take-over",
    default=True,
    show_default=True,
    help="Without takeover, a roll stops an instance before it starts its successor, which shows the cost.",
)
@click.option("--out", type=click.Path(file_okay=False, path_type=Path))
def main(
    what: str,
    instances: int,
    seed: int,
    most_out: int,
    repeats: int,
    processes: int,
    take_over: bool,
    out: Path | None,
) -> None:
    if what == "starts":
        for count, one_s, times in (
            (1, 0.0, 5 * repeats),
            (instances, 0.0, repeats),
            (instances, LIST_RESPONSE_S, repeats),
        ):
            click.echo(json.dumps(measure_starts(count, seed, one_s, times)))
        return
    played, figures = measure_day(scenario(instances, LENGTH_S), seed, most_out, processes, take_over)
    click.echo(json.dumps({"instances": instances, "seed": seed} | figures))
    for verdict in played.result.verdicts[:MAX_SHOWN_VERDICTS]:
        click.echo(f"{verdict.rule} at {verdict.at_us / SECOND_US:.3f} s: " + "; ".join(verdict.evidence))
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / f"fleet-day-{seed}.json").write_bytes(msgspec.json.encode(played.result))
        for name, log in played.logs.items():
            (out / f"{seed}-{name}").write_text(log)
    raise SystemExit(any(figures[name] for name in ("verdicts", "refused_connects_in_roll", "lost_in_roll")))


if __name__ == "__main__":
    main()
