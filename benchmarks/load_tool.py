"""Capacity and cost of the load tool.

    python -m benchmarks.load_tool relays|echo [--repeats 3] [--seconds 30] [--rate 500] [--life 10]

`relays` runs 20 real relay processes in front of 20 stand-in push servers, each in a process of its own, all
on loopback on this machine. New connections arrive at `--rate` per second over all relays, and each sends a
line every 2 s. The two load workers have a core each; all other processes share the remaining cores. `echo`
sends the same load to bare stand-ins that answer UP immediately, which shows the cost of the tool itself.
Seeds start at `--seed` (1). Prints one line of JSON for each repeat and one for all repeats.
"""

import json
import statistics
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import psutil  # type: ignore[import-untyped]
import trio

from glenfold.config import Address
from glenfold_lab import spec
from glenfold_lab.load import plan, plan_options, worker_pool
from glenfold_lab.load.echo import echo_servers
from glenfold_lab.load.offer import Offer
from glenfold_lab.load.result import LoadResult, summarize, window_us
from glenfold_lab.results import Distribution
from glenfold_lab.stand_ins.addresses import RELAYS, Addresses, Net
from glenfold_lab.stand_ins.lateness import percentile
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.relay_controller import RelayController
from glenfold_lab.stand_ins.relay_settings import settings_json
from glenfold_lab.stand_ins.relays import Limits, RelayProcess, free_address, killed_on_exit
from glenfold_lab.stand_ins.remote_worker import RemoteWorker, remote
from glenfold_lab.stand_ins.script import draw
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.worker import Share, StandInWorker, Times

NODE_COUNT = 20  # number of relays, and number of push servers
WORKER_COUNT = 2
LATE_THRESHOLD_US = 5_000
SETTLE_US = 2 * SECOND_US  # pause after the last relay is ready, before the load starts
STAND_IN_LINGER_S = 4.0  # time that the stand-ins keep running after the last connection has started
RELAY_SOCKETS = 4096  # limit of open sockets for each relay

Figures = dict[str, Any]


class UnsealedPart(StandInWorker):
    """Push servers that accept lines from any client, as clients of the load tool don't send a run's seal."""

    async def bind(self) -> Addresses:
        places = await super().bind()
        for server in self._servers.values():
            server.process.seal = None
        return places


def scenario(seconds: float) -> spec.Scenario:
    """Returns a scenario whose push servers can hold the load's standing connections, about 800 each."""
    kind = spec.ServerKind(name="large", cores=24, speed=1.0, speed_cv=0.0, per_core=33, message_ms=1.5)
    return spec.Scenario(
        format=1,
        name="load-tool",
        guards_against="a load that measures itself",
        classes=(spec.RequestClass(name="watch", load_sigma=0.5, set_up_ms=3.0),),
        length_s=seconds + STAND_IN_LINGER_S,
        zones=spec.Zones(names=("one",), same_ms=0.2),
        servers=spec.Servers(count=NODE_COUNT, kinds=(kind,), group_cost=0.0),
        relays=spec.Relays(count=NODE_COUNT, sockets=RELAY_SOCKETS),
        clients=spec.Clients(load=0.3, standing=False),
    )


@dataclass(frozen=True, slots=True)
class RequestedLoad:
    """The load to offer: new connections per second, duration and life of a connection in seconds."""

    rate: float
    seconds: float
    life: float

    def offer(self, targets: Sequence[Address]) -> Offer:
        classes = (plan_options.LoadClass(name="watch", life_s=self.life),)
        arrivals = (plan_options.Arrivals(rate=self.rate, for_s=self.seconds, process="poisson"),)
        load_plan = plan_options.LoadPlan(format=1, arrivals=arrivals, classes=classes)
        return Offer(load_plan, targets, 20_000, window_us(plan.length_us(load_plan)))

    def measure(self, targets: Sequence[Address], seed: int) -> LoadResult:
        offer = self.offer(targets)
        clients, length_us = plan.draw(offer.options, seed, len(targets)), plan.length_us(offer.options)
        reports = worker_pool.run_load(offer, clients, WORKER_COUNT, lambda: False)
        return summarize(seed, offer, clients, length_us, reports, LATE_THRESHOLD_US, False)


@contextmanager
def keep_off_load_cores() -> Iterator[None]:
    """Keeps processes that start within the block off the cores that the load workers use."""
    process = psutil.Process()
    cores = process.cpu_affinity()
    load_cores = {core for worker_cores in worker_pool.cores_for(WORKER_COUNT) for core in worker_cores}
    process.cpu_affinity([core for core in cores if core not in load_cores] or cores)
    try:
        yield
    finally:
        process.cpu_affinity(cores)


# ---- The two set-ups ----


def measure_echo(load: RequestedLoad, seed: int) -> Figures:
    with keep_off_load_cores():
        cores = psutil.Process().cpu_affinity()
    with echo_servers(WORKER_COUNT, cores) as targets:
        return figures(load.measure(targets, seed))


def measure_relays(load: RequestedLoad, seed: int) -> Figures:
    with tempfile.TemporaryDirectory(prefix="glenfold-load-") as folder:
        return trio.run(play, load, seed, Path(folder))


async def play(load: RequestedLoad, seed: int, folder: Path) -> Figures:
    return await Fleet(load, seed, folder).measure()


class Fleet:
    """The relays, and the stand-ins that they connect to."""

    def __init__(self, load: RequestedLoad, seed: int, folder: Path) -> None:
        self._load, self._seed, self._folder = load, seed, folder
        self._scenario = scenario(load.seconds)
        self._script = draw(self._scenario, seed)
        self._clock, self._seen, self._net = MachineClock(), Seen(), Net()
        self._times_set, self._times = trio.Event(), Times(0, 0)

    async def measure(self) -> Figures:
        parts = [
            UnsealedPart(self._scenario, self._seed, Share(n, (n,), (n,), None), self._net)
            for n in range(NODE_COUNT)
        ]
        with keep_off_load_cores(), remote(parts) as remote_parts:
            places = Addresses(relays=[free_address(self._net.host(RELAYS, n)) for n in range(NODE_COUNT)])
            for part in remote_parts:
                places |= await part.bind()
            relays = [self._relay(n, places) for n in range(NODE_COUNT)]
            controller = RelayController(self._script, self._seed, relays, places, self._seen, self._clock)
            async with killed_on_exit(relays):
                return await self._run_parts(remote_parts, places, relays, controller)

    def _relay(self, n: int, places: Addresses) -> RelayProcess:
        settings = settings_json(self._scenario, self._script.fleet.parameters, n, 0)
        return RelayProcess(
            n,
            f"n{n}",
            self._folder / f"n{n}",
            places.relays[n],
            places.agents[n],
            settings,
            Limits(sockets=RELAY_SOCKETS),
            self._seen,
            self._clock,
        )

    async def _run_parts(
        self,
        remote_parts: Sequence[RemoteWorker],
        places: Addresses,
        relays: Sequence[RelayProcess],
        controller: RelayController,
    ) -> Figures:
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as parts:
                for part in remote_parts:
                    parts.start_soon(part.play, places, self._wait_for_times, lambda _: None)
                await controller.start_all()
                start = self._clock.now_us() + SETTLE_US
                self._times = Times(start, start)
                self._times_set.set()
                nursery.start_soon(controller.run, start)
                await self._clock.until(start)
                load_figures = await self._measure_load(places, relays)
            nursery.cancel_scope.cancel()
        late_ms = [percentile(part.report().late_ms, 99) for part in remote_parts]
        errors = [*self._seen.faults, *(fault for part in remote_parts for fault in part.report().faults)]
        return load_figures | {"stand_ins_late_p99_ms": spread(late_ms), "faults": len(errors)}

    async def _wait_for_times(self) -> Times:
        await self._times_set.wait()
        return self._times

    async def _measure_load(self, places: Addresses, relays: Sequence[RelayProcess]) -> Figures:
        before = cpu_s(relays)
        started_at = trio.current_time()
        psutil.Process().cpu_affinity(list(range(psutil.cpu_count())))
        result = await trio.to_thread.run_sync(self._load.measure, places.relays, self._seed)
        took_s = trio.current_time() - started_at
        cpu_used_s = [after - first for after, first in zip(cpu_s(relays), before, strict=True)]
        share = [seconds / took_s for seconds in cpu_used_s]
        return figures(result) | {
            "relay_cores": spread(share),
            "relays_cores_together": round(sum(share), 2),
            "relay_cpu_ms_a_start": round(1000 * sum(cpu_used_s) / result.started, 3),
            "relay_peak_mb": spread([relay.usage.peak_mb for relay in relays]),
        }


def cpu_s(relays: Sequence[RelayProcess]) -> list[float]:
    """Returns the CPU seconds that each relay has used so far."""
    for relay in relays:
        relay.sample()
    return [relay.usage.cpu_s for relay in relays]


# ---- Report ----


def spread(values: Sequence[float]) -> Figures:
    """Returns the minimum, the median and the maximum."""
    return {
        "least": round(min(values), 3),
        "median": round(statistics.median(values), 3),
        "most": round(max(values), 3),
    }


def quantiles_ms(values: Distribution) -> dict[str, float]:
    return {at: round(us / 1000, 2) for at, us in values.quantiles.items()}


def figures(result: LoadResult) -> Figures:
    return {
        "seed": result.seed,
        "planned": result.planned,
        "started": result.started,
        "marks": result.marks,
        "answers": {kind: values.count for kind, values in result.answers.items()},
        "lateness_ms": quantiles_ms(result.lateness),
        "line_lateness_ms": quantiles_ms(result.line_lateness),
        "set_up_ms": quantiles_ms(result.set_up["watch"]),
        "lines_ms": quantiles_ms(result.lines),
        "lines": result.lines.count,
        "lines_unanswered": result.lines_unanswered,
        "standing": result.standing,
        "partings": result.partings,
        "load_cpu_ms_a_start": round(1000 * result.cost["cpu_s"] / result.started, 3),
        "load_memory_mb": round(result.cost["memory_mb"], 1),
    }


def summarize_repeats(repeats: Sequence[Figures]) -> Figures:
    """Returns the spread of each measured figure over all repeats."""
    return {
        f"{name} {at}": spread([repeat[name][at] for repeat in repeats])
        for name in ("lateness_ms", "set_up_ms", "lines_ms")
        for at in ("50", "99", "99.9")
    } | {
        name: spread([repeat[name] for repeat in repeats])
        for name in ("load_cpu_ms_a_start", "relays_cores_together")
        if name in repeats[0]
    }


@click.command()
@click.argument("against", type=click.Choice(["relays", "echo"]))
@click.option("--repeats", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 60), default=30.0, show_default=True)
@click.option("--rate", type=click.FloatRange(1), default=500.0, show_default=True)
@click.option("--life", type=click.FloatRange(0.1), default=10.0, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
def main(against: str, repeats: int, seconds: float, rate: float, life: float, seed: int) -> None:
    load = RequestedLoad(rate, seconds, life)
    measure = measure_relays if against == "relays" else measure_echo
    parameters = {
        "benchmark": "load_tool",
        "against": against,
        "rate": rate,
        "seconds": seconds,
        "life_s": life,
    }
    repeat_figures = []
    for n in range(repeats):
        repeat_figures.append(measure(load, seed + n))
        click.echo(json.dumps(parameters | repeat_figures[-1]))
    click.echo(json.dumps(parameters | {"repeats": repeats} | summarize_repeats(repeat_figures)))


if __name__ == "__main__":
    main()
