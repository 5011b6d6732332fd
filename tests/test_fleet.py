"""Whole fleets of real processes on loopback under clients, judged by the lab's checker.

The day of `benchmarks.fleet`, which has twenty instances there, runs here with three instances and fewer
clients. No test waits for a fixed time: each step begins when an instance or the supervisor reports that the
previous one is complete.
"""

from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from benchmarks import fleet as fleet_benchmark
from glenfold_lab import spec
from glenfold_lab.stand_ins.daemons import Daemons
from glenfold_lab.stand_ins.fleet import HistoryContext, PlayedHistory, play_fleet

SMALL_SCENARIO = spec.Scenario(
    format=1,
    name="small",
    guards_against="nothing",
    length_s=4.0,
    warm_up_s=0.0,
    classes=(spec.RequestClass(name="watch", deadline_ms=1000.0),),
    zones=spec.Zones(names=("one",)),
    servers=spec.Servers(count=2, group_cost=0.0),
    relays=spec.Relays(count=2, sockets=512),
    front=spec.Front(notice_s=0.3, reshuffle=0.0),
    clients=spec.Clients(load=0.5, life_s=6.0, groups=False),
)
SETTINGS_TABLES = {"restart": {"deadline_s": 3.7}}


async def start_both(daemons: Daemons) -> None:
    for relay in daemons.relays:
        daemons.start_instance(relay)
    await daemons.wait_all_answer()


def play(
    run_course: Any,
    begin: Any = start_both,
    scenario: spec.Scenario = SMALL_SCENARIO,
    **tables: dict[str, Any],
) -> PlayedHistory:
    played = play_fleet(scenario, 3, begin, run_course, tables=SETTINGS_TABLES | tables)
    assert played.result.verdicts == (), played.logs["log"]
    assert played.result.answers["up"] > 20
    return played


def test_a_day_of_a_fleet_costs_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_benchmark, "BURST_CLIENTS", 40)
    monkeypatch.setattr(fleet_benchmark, "DEADLINE_S", 4.0)
    played, figures = fleet_benchmark.measure_day(
        fleet_benchmark.scenario(3, 18.0, load=0.03), seed=1, most_out=1, processes=0
    )
    assert played.result.verdicts == ()
    for figure_name in (
        "refused_connects_in_roll",
        "reset_before_answer_in_roll",
        "lost_in_roll",
        "refused_connects_else",
    ):
        assert figures[figure_name] == 0
    assert figures["answers"]["up"] > 100
    assert {command: status for command, (status, _) in figures["said"].items()} == {
        "roll": 0,
        "fleet reload in the roll": 1,
        "reload of all in the roll": 0,
        "fleet reload of a faulty file": 2,
        "reload of a faulty file": 2,
        "drain": 0,
        "old process after that": 0,
    }
    assert figures["said"]["old process after that"][1] == "ready"


@pytest.mark.parametrize("step", ["ready", "draining", "finishing", "moving"])
def test_a_relay_that_is_killed_at_a_step_of_its_shutdown_comes_back(step: str) -> None:
    async def run_course(course: HistoryContext) -> None:
        daemons = course.daemons
        standing = (await daemons.instance_status(0))["connections"]["standing"]
        if step != "ready":
            daemons.seen.stopping(course.clock.now_us(), 0)
            assert (await daemons.run_command("drain", "--instance", "1")).status == 0
            await daemons.wait_for_state(0, "finishing" if step == "moving" else step)
        if step == "moving":
            await daemons.wait_for(
                lambda: daemons.instance_status(0),
                lambda status: 0 < status["connections"]["standing"] < standing,
            )
        killed = daemons.kill(0)
        daemons.start_instance(0)
        await daemons.wait_for_restart(0, killed)
        await daemons.wait_for_state(0, "ready")

    played = play(run_course)
    assert {relay for _, relay, _ in played.unreached} <= {0}  # The other relay never refused a connection.


@pytest.mark.parametrize("log_text", ["", "takeover.offered"])
def test_a_new_process_that_dies_before_it_is_ready_leaves_the_old_one_serving(log_text: str) -> None:
    async def run_course(course: HistoryContext) -> None:
        daemons = course.daemons
        [old] = daemons.processes()[0]
        process = daemons.start_instance(0)
        while len(daemons.processes()[0]) < 2 or log_text not in (daemons.file.parent / "log").read_text():
            assert process.poll() is None
            await trio.lowlevel.checkpoint()
        process.kill()
        process.wait()
        assert (await daemons.wait_for_state(0, "ready")) and daemons.processes()[0] == [old]

    assert play(run_course).unreached == []


def test_of_several_processes_of_one_name_one_serves() -> None:
    async def begin(daemons: Daemons) -> None:
        processes = [daemons.start_instance(0) for _ in range(4)]
        daemons.start_instance(1)
        await daemons.wait_all_answer()
        with trio.fail_after(30):
            while len([process for process in processes if process.poll() is None]) > 1:
                await trio.sleep(0.02)
        assert {process.poll() for process in processes} <= {None, 0, 3}

    async def run_course(course: HistoryContext) -> None:
        assert len(course.daemons.processes()[0]) == 1
        await course.daemons.wait_for_state(0, "ready")

    assert play(run_course, begin).unreached == []


def test_a_disk_that_takes_no_snapshot_costs_no_request() -> None:
    """A snapshot that can't be written is reported, and costs no request.

    A file takes the place of the snapshots' folder while the server list changes, because root could write to
    a read-only folder.
    """
    scenario = msgspec.structs.replace(
        SMALL_SCENARIO,
        faults=(spec.Fault(kind="start_servers", at_s=1.5, count=1),),
        server_list=spec.ServerList(add_s=0.1, period_ms=20.0),
    )

    async def run_course(course: HistoryContext) -> None:
        daemons = course.daemons
        folder: Path = daemons.folder / "snapshots"
        folder.rename(folder.with_name("aside"))
        folder.touch()
        status = await daemons.wait_for(
            lambda: daemons.instance_status(0), lambda current: bool(current["snapshot"]["fault"])
        )
        assert "not written" in status["snapshot"]["fault"] and status["state"] == "ready"
        folder.unlink()
        folder.with_name("aside").rename(folder)
        await daemons.wait_for(
            lambda: daemons.instance_status(0), lambda current: not current["snapshot"]["fault"]
        )

    assert play(run_course, scenario=scenario, snapshot={"every_s": 0.2}).unreached == []


def test_no_process_of_a_fleet_remains_after_a_failure() -> None:
    played: list[Daemons] = []

    async def begin(daemons: Daemons) -> None:
        played.append(daemons)
        daemons.start_supervisor()
        await daemons.wait_all_ready()
        daemons.kill_supervisor()  # The relays have no parent process that would end them.
        assert len(daemons.processes()) == 2
        raise RuntimeError("the run failed")

    with pytest.raises(BaseExceptionGroup, match="Trio nursery"):
        play_fleet(SMALL_SCENARIO, 3, begin, start_both, tables=SETTINGS_TABLES)
    assert played[0].processes() == {}
