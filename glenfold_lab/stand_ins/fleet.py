"""Plays one history of a fleet of real daemons, with a course of events that the caller provides.

The stand-ins are the same as for the platform's relays. All instances share one operators' file, so they ask
the same agent and reach the push servers at the same addresses. A push server therefore cannot tell which
relay calls it; the relay of a request is the one that its client connected to.
"""

import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import h11
import psutil  # type: ignore[import-untyped]
import trio

from glenfold_lab.model.population import Population
from glenfold_lab.model.world import without_garbage_collection
from glenfold_lab.observe import Record, Watcher
from glenfold_lab.results import Happened, RunResult
from glenfold_lab.spec import Scenario
from glenfold_lab.stand_ins.addresses import AGENTS, RELAYS, SERVERS, Addresses, Net
from glenfold_lab.stand_ins.agent import Agent, ListState
from glenfold_lab.stand_ins.clients import Client
from glenfold_lab.stand_ins.daemons import Daemons, killed_on_exit, operators_file
from glenfold_lab.stand_ins.lateness import Lateness
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.outcome import Outcome
from glenfold_lab.stand_ins.push_server import PushServer
from glenfold_lab.stand_ins.reconciler import Reconciler
from glenfold_lab.stand_ins.relays import free_address
from glenfold_lab.stand_ins.remote_worker import RemoteWorker, remote
from glenfold_lab.stand_ins.script import Script, draw
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.service import SecondCounts
from glenfold_lab.stand_ins.sockets import SocketType
from glenfold_lab.stand_ins.worker import Report, Share, StandInWorker, Times, end_time
from glenfold_lab.streams import Streams

START_DELAY_US = SECOND_US // 2  # Time between readiness of all relays and the first client.
INITIAL_CONNECTIONS_PER_S = 300
SAMPLE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class ClientBurst:
    """A burst of clients in addition to those of the scenario, and a slow agent.

    `clients` clients arrive within two seconds from `at_s` on. Each stays for as long as one of the clients
    that were connected at the start. `full_list_s` is the time that the agent needs for each full list; it
    sends full lists one at a time.
    """

    at_s: float = 0.0
    clients: int = 0
    full_list_s: float = 0.0

    ARRIVAL_SPAN_US = 2 * SECOND_US


class SerialAgent(Agent):
    """An agent that sends full lists one at a time; each takes `full_list_s` seconds."""

    def __init__(
        self,
        full_list_s: float,
        relays: Sequence[int],
        host: str,
        list_state: ListState,
        seen: Seen,
        clock: MachineClock,
    ) -> None:
        super().__init__(relays, host, list_state, seen, clock)
        self._full_list_s = full_list_s
        self._lock = trio.Lock()

    async def _send_full(self, connection: h11.Connection, sock: SocketType) -> int:
        async with self._lock:
            await trio.sleep(self._full_list_s)
            return await super()._send_full(connection, sock)


@dataclass
class FleetWorker(StandInWorker):
    """The stand-ins of one process for a fleet: servers with one address each, one agent for all relays."""

    burst: ClientBurst = ClientBurst()

    async def bind(self) -> Addresses:
        addresses, relays = await super().bind(), range(self.scenario.relays.count)
        self._servers = {
            index: PushServer(server.process, self._clock, [self.net.host(SERVERS, index)])
            for index, server in self._servers.items()
        }
        addresses.servers = {index: server.addresses * len(relays) for index, server in self._servers.items()}
        if self._agents:
            agent = SerialAgent(
                self.burst.full_list_s,
                relays,
                self.net.host(AGENTS, 0),
                ListState(1, []),
                self.seen,
                self._clock,
            )
            self._agents = {0: agent}
            addresses.agents = dict.fromkeys(relays, agent.address)
        return addresses

    def _draw_clients(self, start: int) -> tuple[list[Client], list[Client]]:
        standing, coming = super()._draw_clients(start)
        assert self.share.clients is not None
        rng = Streams(self.seed).of("stands", "crowd", self.share.clients[0])
        at = start + round(self.burst.at_s * SECOND_US)
        count = self.burst.clients // self.share.clients[1]
        for n in range(count if standing else 0):
            template = standing[n % len(standing)]
            arrival = at + int(rng.integers(ClientBurst.ARRIVAL_SPAN_US))
            coming.append(
                replace(
                    template,
                    stood_before=False,
                    number=len(coming) + (n + 1 << 32),
                    at=arrival,
                    until=arrival + template.until - start,
                    key=int(rng.integers(1 << 63)),
                    host=None,
                )
            )
        return standing, sorted(coming, key=lambda client: client.at)


@dataclass(slots=True)
class Usage:
    """Resource usage of all processes that one instance has had.

    `takeover_peak_mb` is the maximum memory of the old and the new process together during a takeover.
    """

    cpu_s: float = 0.0
    peak_mb: float = 0.0
    takeover_peak_mb: float = 0.0


@dataclass(slots=True)
class HistoryContext:
    """The objects that a `RunCourse` function works with.

    `start` is the start of the history on the machine's clock. Events passed to `record_event` are reported
    in the result.
    """

    daemons: Daemons
    clock: MachineClock
    start: int
    happened: list[Happened] = field(default_factory=list)

    async def until_s(self, at_s: float) -> None:
        await self.clock.until(self.start + at_s * SECOND_US)

    def now_us(self) -> int:
        """Returns the time since the start of the history."""
        return self.clock.now_us() - self.start

    def record_event(self, what: str, since_us: int | None = None, relays: tuple[int, ...] = ()) -> Happened:
        """Records an event that happens now, or one that has lasted from `since_us` until now."""
        now = self.now_us()
        event = (
            Happened(what, now, None, relays=relays)
            if since_us is None
            else Happened(what, since_us, now, relays=relays)
        )
        self.happened.append(event)
        return event


StartRelays = Callable[[Daemons], Awaitable[None]]
RunCourse = Callable[[HistoryContext], Awaitable[None]]


@dataclass(slots=True)
class PlayedHistory:
    """The outcome of a history.

    `records` are the reconciled observations. Their times are on the machine's clock, and so is `start`, the
    start of the history. `unreached` is as in `Seen`.
    """

    result: RunResult
    records: list[Record]
    unreached: list[tuple[int, int, int]]
    start: int
    usage: dict[int, Usage]
    logs: dict[str, str]


def play_fleet(
    scenario: Scenario,
    seed: int,
    start_relays: StartRelays,
    run_course: RunCourse,
    *,
    burst: ClientBurst | None = None,
    processes: int = 0,
    tables: Mapping[str, Mapping[str, Any]] | None = None,
    watchers: Sequence[Watcher] = (),
    revision: str = "work tree",
) -> PlayedHistory:
    """Plays one history with an instance for each of the scenario's relays.

    `start_relays` starts the instances and returns once all are ready. `run_course` runs from the start of
    the history on; the history ends when both `run_course` and the scenario's length have ended. `burst` is
    None for no extra clients. `processes` is the number of additional processes for the stand-ins: an even
    number, or 0 to play them in this process. `tables` are merged into the tables of the operators' file.

    All processes that were started have ended when the function returns. Raises `daemons.ConditionTimeout`
    and `remote_worker.WorkerFailed`.
    """
    run = _Run(scenario, seed, start_relays, run_course, burst or ClientBurst(), tables or {})
    with (
        tempfile.TemporaryDirectory(prefix="glenfold-fleet-") as folder,
        ExitStack() as stack,
        without_garbage_collection(),
    ):
        trio.run(run.play, Path(folder), stack, processes)
    return run.played(revision, watchers)


@dataclass(slots=True)
class _Run:
    scenario: Scenario
    seed: int
    start_relays: StartRelays
    run_course: RunCourse
    burst: ClientBurst
    tables: Mapping[str, Mapping[str, Any]]
    _script: Script = field(init=False)
    _daemons: Daemons = field(init=False)
    _seen: Seen = field(default_factory=Seen)
    _reports: list[Report] = field(default_factory=list)
    _usage: dict[int, Usage] = field(default_factory=dict)
    _cpu: dict[tuple[int, float], float] = field(default_factory=dict)
    _happened: list[Happened] = field(default_factory=list)
    _logs: dict[str, str] = field(default_factory=dict)
    _late: Lateness = field(default_factory=Lateness)
    _times: Times = Times(0, 0)
    _elapsed_s: float = 0.0

    async def play(self, folder: Path, stack: ExitStack, processes: int) -> None:
        started_at = time.monotonic()
        self._script = draw(self.scenario, self.seed)
        net, clock, half = Net(), MachineClock(), max(1, processes // 2)
        local_workers: list[StandInWorker] = [
            FleetWorker(self.scenario, self.seed, share, net, burst=self.burst)
            for share in self._shares(processes, half)
        ]
        workers: Sequence[StandInWorker | RemoteWorker] = (
            stack.enter_context(remote(local_workers)) if processes else local_workers
        )
        relays = range(self.scenario.relays.count)
        addresses = Addresses(relays=[free_address(net.host(RELAYS, relay)) for relay in relays])
        for worker in workers:
            addresses |= await worker.bind()
        self._daemons = self._make_daemons(folder, addresses, clock)
        async with killed_on_exit(self._daemons):
            try:
                await self._play_workers(workers, addresses, clock)
            finally:
                self._keep_logs()
        self._elapsed_s = time.monotonic() - started_at

    def _shares(self, processes: int, half: int) -> list[Share]:
        servers, relays = range(len(self._script.fleet.machines)), tuple(range(self.scenario.relays.count))
        if not processes:
            return [Share(0, tuple(servers), relays, (0, 1))]
        servers_and_agents = [
            Share(n, tuple(servers[n::half]), () if n else relays, None) for n in range(half)
        ]
        return servers_and_agents + [Share(half + n, (), (), (n, half)) for n in range(half)]

    def _make_daemons(self, folder: Path, addresses: Addresses, clock: MachineClock) -> Daemons:
        file, kinds = folder / "glenfold.toml", [kind.name for kind in self.scenario.servers.kinds]
        file.write_text(
            operators_file(self.scenario, kinds, addresses.agents[0], addresses.relays, **self.tables)
        )
        return Daemons(file, addresses.relays, self._seen, clock)

    async def _play_workers(
        self, workers: Sequence[StandInWorker | RemoteWorker], addresses: Addresses, clock: MachineClock
    ) -> None:
        ready = trio.Event()

        async def times_when_ready() -> Times:
            await ready.wait()
            return self._times

        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as plays:
                for worker in workers:
                    plays.start_soon(worker.play, addresses, times_when_ready, _ignore_second)
                await self.start_relays(self._daemons)
                fill, standing = clock.now_us() + START_DELAY_US, self._standing()
                self._times = Times(
                    fill, fill + START_DELAY_US + standing * SECOND_US // INITIAL_CONNECTIONS_PER_S
                )
                ready.set()
                nursery.start_soon(self._late.run)
                nursery.start_soon(self._sample)
                course = HistoryContext(self._daemons, clock, self._times.start, self._happened)
                await clock.until(course.start)
                await self.run_course(course)
            nursery.cancel_scope.cancel()
        self._reports = [worker.report() for worker in workers]

    def _standing(self) -> int:
        population = Population(self.scenario, self._script.fleet.parameters, Streams(self.seed), 0)
        return len(population.standing().at)

    async def _sample(self) -> None:
        while True:
            for relay, processes in self._daemons.processes().items():
                usage = self._usage.setdefault(relay, Usage())
                sizes_mb = [self._sample_process(usage, process) for process in processes]
                usage.peak_mb = max([usage.peak_mb, *sizes_mb])
                usage.takeover_peak_mb = (
                    max(usage.takeover_peak_mb, sum(sizes_mb))
                    if len(sizes_mb) > 1
                    else usage.takeover_peak_mb
                )
            await trio.sleep(SAMPLE_INTERVAL_S)

    def _sample_process(self, usage: Usage, process: psutil.Process) -> float:
        """Adds the CPU time of `process` to `usage` and returns its memory in MB, 0 if it has exited."""
        try:
            times, memory = process.cpu_times(), process.memory_info().rss / 2**20
        except psutil.Error:
            return 0.0
        key, cpu_s = (process.pid, process.create_time()), times.user + times.system
        usage.cpu_s += cpu_s - self._cpu.get(key, 0.0)
        self._cpu[key] = cpu_s
        return float(memory)

    def _keep_logs(self) -> None:
        for path in [self._daemons.file.parent / "log", *self._daemons.folder.glob("supervisor/logs/*.log*")]:
            if path.exists():
                self._logs[path.name] = path.read_text(errors="replace")

    # ---- results ----

    def played(self, revision: str, watchers: Sequence[Watcher]) -> PlayedHistory:
        end = end_time(self.scenario, self._times)
        outcome = Outcome(
            self._script, self.seed, self._times.start, end, self._reports, self._seen, self._late.gaps
        )
        first = [machine.number for machine in self._script.initial_servers]
        reconciler = Reconciler(self.scenario.relays.count, first, self.scenario.relays.pass_through)
        records = reconciler.reconcile(_with_client_relays(outcome.all_records()), end)
        result = outcome.result(records, revision, self._happened, self._cost(), watchers)
        unreached = [attempt for report in self._reports for attempt in report.unreached]
        return PlayedHistory(result, records, sorted(unreached), self._times.start, self._usage, self._logs)

    def _cost(self) -> dict[str, float]:
        cost = {"seconds": self._elapsed_s}
        for relay, usage in sorted(self._usage.items()):
            cost[f"n{relay} cpu_s"] = round(usage.cpu_s, 3)
            cost[f"n{relay} peak_mb"] = round(usage.peak_mb, 1)
        return cost


def _ignore_second(second: SecondCounts) -> None:
    """Discards the report of a second, as a fleet history has no live view."""


def _with_client_relays(records: list[Record]) -> list[Record]:
    """Returns the records with the relay of each attempt set to the one that its client connected to."""
    relay_of = {values[1]: values[2] for name, values in records if name == "taken"}
    return [
        (name, (*values[:2], relay_of.get(values[1], values[2]), *values[3:]))
        if name == "sent"
        else (name, values)
        for name, values in records
    ]
