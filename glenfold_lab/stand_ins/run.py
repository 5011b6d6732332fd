"""Plays one history of a scenario with real relays, on loopback sockets and in real time.

The same seed draws the same machines, clients and faults as in the model. Work of neighbours on a machine,
overloads and cold starts slow down set-ups and lines of the stand-ins as they do in the model. Two effects
are not played: limits on a relay's share of a core, and network delays between clients and their relays.
"""

import math
import resource
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from glenfold_lab.model.population import Population
from glenfold_lab.model.world import without_garbage_collection
from glenfold_lab.observe import Watcher
from glenfold_lab.results import Happened, RunResult
from glenfold_lab.spec import Range, Scenario
from glenfold_lab.stand_ins.addresses import RELAYS, Addresses, Net, TooLarge
from glenfold_lab.stand_ins.lateness import Lateness, percentile
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.outcome import Outcome
from glenfold_lab.stand_ins.reconciler import Reconciler
from glenfold_lab.stand_ins.relay_controller import RelayController
from glenfold_lab.stand_ins.relay_settings import settings_json
from glenfold_lab.stand_ins.relays import Limits, NotReady, RelayProcess, free_address, killed_on_exit
from glenfold_lab.stand_ins.remote_worker import RemoteWorker, WorkerFailed, remote
from glenfold_lab.stand_ins.script import Script, draw
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.service import SecondCounts
from glenfold_lab.stand_ins.worker import Report, Share, StandInWorker, Times, end_time
from glenfold_lab.streams import Streams

# Time between readiness of all relays and the first client, in which the fronts admit the relays.
START_DELAY_US = SECOND_US // 2
INITIAL_CONNECTIONS_PER_S = 300  # Rate at which connections that exist at the start are opened.
RESERVED_SOCKETS = 200
MAX_SET_UPS_PER_S = 300.0  # Rate of new connections that one process plays without running late.
LINES_PER_S = 0.5  # Lines of one standing connection; a line costs about a tenth of a set-up.
LINE_COST_IN_SET_UPS = 0.1


class RelayNow(msgspec.Struct, frozen=True):
    """One relay at the end of a second.

    `cpu` is its share of a core in that second, `mb` its peak memory so far.
    """

    name: str
    up: bool
    cpu: float
    mb: float


class Snapshot(msgspec.Struct, frozen=True):
    """One second of a history, for a live view.

    `standing` is the number of connections at the end of the second. All other counts are of this second:
    `new` requests accepted, `lines` that came back to clients, `moves` as the number of clients that were
    sent MOVE, and `answers` by kind. The set-up times are of requests answered UP; they are 0 if there were
    none.
    """

    second: int
    relays_up: int
    standing: int
    new: int
    answers: dict[str, int]
    set_up_p50_ms: float
    set_up_p99_ms: float
    lines: int
    moves: int
    relays: tuple[RelayNow, ...]


OnSecond = Callable[[Snapshot], None]
SideTask = Callable[[Sequence[RelayProcess], Seen, MachineClock], Awaitable[None]]


def play_on_sockets(
    scenario: Scenario,
    seed: int,
    seconds: float | None = None,
    *,
    processes: int | None = None,
    bad_per_s: float = 0.5,
    logs: Path | None = None,
    on_second: OnSecond | None = None,
    watchers: Sequence[Watcher] = (),
    side_task: SideTask | None = None,
    revision: str = "work tree",
) -> RunResult:
    """Plays one history with real relay processes.

    `seconds` replaces the scenario's `length_s`; the times of the faults are scaled to it. `processes` is the
    number of additional processes for the stand-ins: 0 plays them in this process, None chooses the number by
    the load. `bad_per_s` is the rate of misbehaving clients, which must not harm a relay. `logs` is a folder
    for the log of each relay. `on_second` is called after each second within the event loop. `side_task` runs
    from the start of the history to its end, with the relays, the record of observations and the clock.
    `watchers` receive all observations after the history has ended, as the checker does.

    Raises `TooLarge` if this machine has too few addresses or descriptors, `relays.NotReady` if a relay does
    not start, `remote_worker.WorkerFailed` if a process of stand-ins ends early, and KeyboardInterrupt at
    SIGINT and SIGTERM. All processes that were started have ended when the function returns.
    """
    if seconds is not None:
        scenario = shortened(scenario, seconds)
    run = _Run(scenario, seed, processes, bad_per_s, on_second, side_task)
    with (
        tempfile.TemporaryDirectory(prefix="glenfold-play-") as folder,
        ExitStack() as stack,
        without_garbage_collection(),
    ):
        try:
            trio.run(run.play, Path(folder), stack)
        except BaseExceptionGroup as group:
            raise _main_cause(group) from group
        finally:
            if logs is not None:
                run.keep_logs(logs)
    return run.result(revision, watchers)


def _main_cause(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Returns the exception that names the cause: an expected one, without its group if it is alone."""
    expected = group.subgroup((NotReady, WorkerFailed, TooLarge, KeyboardInterrupt))
    cause: BaseException = expected or group
    while isinstance(cause, BaseExceptionGroup) and len(cause.exceptions) == 1:
        cause = cause.exceptions[0]
    return cause


def shortened(scenario: Scenario, seconds: float) -> Scenario:
    """Returns the scenario with a length of `seconds`: fault times are scaled to it, fault lengths stay."""
    scale = seconds / scenario.length_s

    def scaled_time(at: Range) -> Range:
        return tuple(bound * scale for bound in at) if isinstance(at, tuple) else at * scale

    faults = tuple(msgspec.structs.replace(fault, at_s=scaled_time(fault.at_s)) for fault in scenario.faults)
    warm_up = min(scenario.warm_up_s, seconds / 2)
    return msgspec.structs.replace(scenario, length_s=seconds, faults=faults, warm_up_s=warm_up)


def scaled(scenario: Scenario, scale: float, relays: int | None, servers: int | None) -> Scenario:
    """Returns the scenario with `scale` times its relays and push servers, or with the given numbers of them.

    The load follows the number of servers.
    """
    relays = relays or max(1, round(scenario.relays.count * scale))
    servers = servers or max(2, round(scenario.servers.count * scale))
    return msgspec.structs.replace(
        scenario,
        relays=msgspec.structs.replace(scenario.relays, count=relays),
        servers=msgspec.structs.replace(scenario.servers, count=servers),
    )


@dataclass(slots=True)
class _Load:
    """The clients of a history: connected at the start, arriving during it, and usually connected at once."""

    standing: int
    coming: int
    usual: float

    @classmethod
    def of(cls, script: Script, seed: int) -> "_Load":
        population = Population(script.scenario, script.fleet.parameters, Streams(seed), 0)
        coming = sum(len(drawn.at) for drawn in population.arrivals(SECOND_US))
        return cls(len(population.standing().at), coming, population.mean_connections)

    def processes(self, length_s: float) -> int:
        per_s = self.coming / length_s + self.usual * LINES_PER_S * LINE_COST_IN_SET_UPS
        return 0 if per_s <= MAX_SET_UPS_PER_S else 2 * math.ceil(per_s / (4 * MAX_SET_UPS_PER_S))

    def check_room(self, script: Script, processes: int) -> None:
        """Raises `TooLarge` if the busiest process needs more descriptors than its limit."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        listeners = len(script.fleet.machines) * script.scenario.relays.count * 2
        sides = 2 if not processes else 1
        needed = sides * 2 * self.usual / max(1, processes // 2) + listeners / max(1, processes // 2)
        if needed + RESERVED_SOCKETS > hard:
            text = f"about {needed:.0f} sockets in one process, of {hard}: play it at a smaller scale"
            raise TooLarge(text)
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def shares(script: Script, processes: int, bad_per_s: float) -> list[Share]:
    """Returns the share of each process: half play push servers and agents, the other half clients."""
    servers, agents = range(len(script.fleet.machines)), range(script.scenario.relays.count)
    if not processes:
        return [Share(0, tuple(servers), tuple(agents), (0, 1), bad_per_s)]
    half = max(1, processes // 2)
    first = [Share(n, tuple(servers[n::half]), tuple(agents[n::half]), None) for n in range(half)]
    return first + [Share(half + n, (), (), (n, half), bad_per_s / half) for n in range(half)]


async def _break_off_at_sigterm() -> None:
    """Interrupts the run at SIGTERM as Ctrl-C does, so that all started processes are ended."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            raise KeyboardInterrupt


@dataclass(slots=True)
class _Run:
    scenario: Scenario
    seed: int
    processes: int | None
    bad_per_s: float
    on_second: OnSecond | None
    side_task: SideTask | None
    _script: Script = field(init=False)
    _relays: list[RelayProcess] = field(default_factory=list)
    _reports: list[Report] = field(default_factory=list)
    _seen: Seen = field(default_factory=Seen)
    _late: Lateness = field(default_factory=Lateness)
    _times: Times = Times(0, 0)
    _end: int = 0
    _happened: list[Happened] = field(default_factory=list)
    _seconds: dict[int, list[SecondCounts]] = field(default_factory=dict)
    _client_workers: int = 1
    _elapsed_s: float = 0.0

    async def play(self, folder: Path, stack: ExitStack) -> None:
        started_at = time.monotonic()
        script = self._script = draw(self.scenario, self.seed)
        load = _Load.of(script, self.seed)
        processes = load.processes(self.scenario.length_s) if self.processes is None else self.processes
        load.check_room(script, processes)
        net, clock = Net(), MachineClock()
        local_workers = [
            StandInWorker(self.scenario, self.seed, share, net)
            for share in shares(script, processes, self.bad_per_s)
        ]
        self._client_workers = sum(worker.share.clients is not None for worker in local_workers)
        workers = stack.enter_context(remote(local_workers)) if processes else local_workers
        addresses = await self._bind(workers, net)
        self._relays = self._make_relays(folder, addresses, clock)
        controller = RelayController(script, self.seed, self._relays, addresses, self._seen, clock)
        async with killed_on_exit(self._relays):
            await self._play_workers(workers, addresses, controller, clock, load)
        self._happened = controller.happened
        self._elapsed_s = time.monotonic() - started_at

    async def _bind(self, workers: Sequence[StandInWorker | RemoteWorker], net: Net) -> Addresses:
        addresses = Addresses(
            relays=[free_address(net.host(RELAYS, relay)) for relay in range(self.scenario.relays.count)]
        )
        for worker in workers:
            addresses |= await worker.bind()
        return addresses

    def _make_relays(self, folder: Path, addresses: Addresses, clock: MachineClock) -> list[RelayProcess]:
        options, network = self.scenario.relays, self._script.network
        sockets = options.sockets or resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        terms = self._script.fleet.parameters
        return [
            RelayProcess(
                number,
                f"n{number}",
                folder / f"n{number}",
                address,
                addresses.agents[number],
                settings_json(self.scenario, terms, number, network.zone_of(number)),
                Limits(1.0, options.memory_mb, sockets),
                self._seen,
                clock,
            )
            for number, address in enumerate(addresses.relays)
        ]

    async def _play_workers(
        self,
        workers: Sequence[StandInWorker | RemoteWorker],
        addresses: Addresses,
        controller: RelayController,
        clock: MachineClock,
        load: _Load,
    ) -> None:
        ready = trio.Event()

        async def wait_for_start() -> Times:
            await ready.wait()
            return self._times

        async with trio.open_nursery() as nursery:
            nursery.start_soon(_break_off_at_sigterm)
            async with trio.open_nursery() as plays:
                for worker in workers:
                    plays.start_soon(worker.play, addresses, wait_for_start, self._collect_second)
                await controller.start_all()
                fill = clock.now_us() + START_DELAY_US
                self._times = Times(
                    fill, fill + START_DELAY_US + load.standing * SECOND_US // INITIAL_CONNECTIONS_PER_S
                )
                ready.set()
                nursery.start_soon(controller.run, self._times.start)
                nursery.start_soon(self._late.run)
                if self.side_task is not None:
                    nursery.start_soon(self._run_side_task, clock)
            self._end = end_time(self.scenario, self._times)
            nursery.cancel_scope.cancel()
        self._reports = [worker.report() for worker in workers]

    async def _run_side_task(self, clock: MachineClock) -> None:
        assert self.side_task is not None
        await clock.until(self._times.start)
        await self.side_task(self._relays, self._seen, clock)

    # ---- live view ----

    def _collect_second(self, second: SecondCounts) -> None:
        """Collects the reports of one second, complete once all processes of clients have sent theirs."""
        reports = self._seconds.setdefault(second.second, [])
        reports.append(second)
        if len(reports) < self._client_workers:
            return
        del self._seconds[second.second]
        if self.on_second is not None:
            self.on_second(self._snapshot(second.second, reports))

    def _snapshot(self, number: int, reports: list[SecondCounts]) -> Snapshot:
        set_ups = [us / 1000 for second in reports for us in second.set_ups_us]
        answers: dict[str, int] = {}
        for second in reports:
            for kind, count in sorted(second.answers.items()):
                answers[kind] = answers.get(kind, 0) + count
        relays_now = tuple(
            RelayNow(relay.name, relay.running, relay.usage.cpu_share, relay.usage.peak_mb)
            for relay in self._relays
        )
        return Snapshot(
            number,
            sum(relay.up for relay in relays_now),
            sum(second.standing for second in reports),
            sum(second.new for second in reports),
            answers,
            percentile(set_ups, 50),
            percentile(set_ups, 99),
            sum(second.lines for second in reports),
            sum(second.moves for second in reports),
            relays_now,
        )

    # ---- results ----

    def keep_logs(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        for relay in self._relays:
            if relay.log.exists():
                (folder / f"{relay.name}.log").write_bytes(relay.log.read_bytes())

    def result(self, revision: str, watchers: Sequence[Watcher] = ()) -> RunResult:
        first = [machine.number for machine in self._script.initial_servers]
        reconciler = Reconciler(len(self._relays), first, self.scenario.relays.pass_through)
        outcome = Outcome(
            self._script, self.seed, self._times.start, self._end, self._reports, self._seen, self._late.gaps
        )
        records = reconciler.reconcile(outcome.all_records(), self._end)
        return outcome.result(records, revision, self._happened, self._cost(), watchers)

    def _cost(self) -> dict[str, float]:
        """Returns the duration in seconds, and the CPU seconds and peak memory in MB of each relay."""
        cost = {"seconds": self._elapsed_s}
        for relay in self._relays:
            cost[f"{relay.name} cpu_s"] = round(relay.usage.cpu_s, 3)
            cost[f"{relay.name} peak_mb"] = round(relay.usage.peak_mb, 1)
        return cost
