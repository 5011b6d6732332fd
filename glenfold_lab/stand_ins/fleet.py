"""One history of a fleet of real daemons: the same stand-ins as for the platform's relays, and a course of
events that somebody else writes.

All instances ask one agent and have the same addresses of push servers, as the one operators' file says. So a
push server does not see which relay calls; a request's relay is the one that its client asked.
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
from glenfold_lab.stand_ins.agent import Agent, ListState
from glenfold_lab.stand_ins.clients import Client
from glenfold_lab.stand_ins.daemons import Daemons, ended_in_the_end, operators_file
from glenfold_lab.stand_ins.judge import Judge
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.outcome import Outcome
from glenfold_lab.stand_ins.part import Part, Report, Share, Times, end_of
from glenfold_lab.stand_ins.places import AGENTS, RELAYS, SERVERS, Net, Places
from glenfold_lab.stand_ins.push_server import PushServer
from glenfold_lab.stand_ins.relays import free_address
from glenfold_lab.stand_ins.remote_part import RemotePart, remote
from glenfold_lab.stand_ins.script import Script, draw
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.service import SecondCounts
from glenfold_lab.stand_ins.sockets import SocketType
from glenfold_lab.streams import Streams

BEGIN_US = SECOND_US // 2  # from the relays' being ready to the first client
FILL_PER_S = 300
SAMPLE_S = 1.0


@dataclass(frozen=True, slots=True)
class Crowds:
    """Beside the scenario's clients: so many that come within two seconds of that moment, each for as long as
    one of those that stood at the start. one_s: that the agent takes for a whole list, one at a time."""

    at_s: float = 0.0
    clients: int = 0
    one_s: float = 0.0

    OVER_US = 2 * SECOND_US


class OneAtATime(Agent):
    """Gives whole lists in turn; each takes `one_s` seconds."""

    def __init__(
        self,
        one_s: float,
        relays: Sequence[int],
        host: str,
        list_state: ListState,
        seen: Seen,
        clock: MachineClock,
    ) -> None:
        super().__init__(relays, host, list_state, seen, clock)
        self._one_s = one_s
        self._turn = trio.Lock()

    async def _send_full(self, connection: h11.Connection, sock: SocketType) -> int:
        async with self._turn:
            await trio.sleep(self._one_s)
            return await super()._send_full(connection, sock)


@dataclass
class FleetPart(Part):
    """One process's stand-ins for a fleet: push servers with one address each, one agent for all relays."""

    crowds: Crowds = Crowds()

    async def bind(self) -> Places:
        places, relays = await super().bind(), range(self.scenario.relays.count)
        self._servers = {
            index: PushServer(server.process, self._clock, [self.net.host(SERVERS, index)])
            for index, server in self._servers.items()
        }
        places.servers = {index: server.addresses * len(relays) for index, server in self._servers.items()}
        if self._agents:
            agent = OneAtATime(
                self.crowds.one_s, relays, self.net.host(AGENTS, 0), ListState(1, []), self.seen, self._clock
            )
            self._agents = {0: agent}
            places.agents = dict.fromkeys(relays, agent.address)
        return places

    def _draw_clients(self, start: int) -> tuple[list[Client], list[Client]]:
        standing, coming = super()._draw_clients(start)
        assert self.share.clients is not None
        random = Streams(self.seed).of("stands", "crowd", self.share.clients[0])
        at = start + round(self.crowds.at_s * SECOND_US)
        wanted = self.crowds.clients // self.share.clients[1]
        for n in range(wanted if standing else 0):
            like = standing[n % len(standing)]
            begin = at + int(random.integers(Crowds.OVER_US))
            coming.append(
                replace(
                    like,
                    stood_before=False,
                    number=len(coming) + (n + 1 << 32),
                    at=begin,
                    until=begin + like.until - start,
                    key=int(random.integers(1 << 63)),
                    host=None,
                )
            )
        return standing, sorted(coming, key=lambda client: client.at)


@dataclass(slots=True)
class Usage:
    """Of all processes that one instance has had. two_mb: most of two of them at once."""

    cpu_s: float = 0.0
    peak_mb: float = 0.0
    two_mb: float = 0.0


@dataclass(slots=True)
class Course:
    """What is at hand for whoever writes the course of a history. Times that `note` keeps are told in the
    result."""

    daemons: Daemons
    clock: MachineClock
    start: int
    happened: list[Happened] = field(default_factory=list)

    async def until_s(self, at_s: float) -> None:
        await self.clock.until(self.start + at_s * SECOND_US)

    def now_us(self) -> int:
        """From the history's start."""
        return self.clock.now_us() - self.start

    def note(self, what: str, since_us: int | None = None, relays: tuple[int, ...] = ()) -> Happened:
        """`since_us`: it has lasted from then until now."""
        now = self.now_us()
        one = (
            Happened(what, now, None, relays=relays)
            if since_us is None
            else Happened(what, since_us, now, relays=relays)
        )
        self.happened.append(one)
        return one


Begin = Callable[[Daemons], Awaitable[None]]
Goes = Callable[[Course], Awaitable[None]]


@dataclass(slots=True)
class Played:
    """What a history came to. records: settled, moments on the machine's clock, which was `start` at its
    start. unreached: as in `Seen`."""

    result: RunResult
    records: list[Record]
    unreached: list[tuple[int, int, int]]
    start: int
    usage: dict[int, Usage]
    logs: dict[str, str]


def play_fleet(
    day: Scenario,
    seed: int,
    begin: Begin,
    goes: Goes,
    *,
    crowds: Crowds | None = None,
    processes: int = 0,
    tables: Mapping[str, Mapping[str, Any]] | None = None,
    watchers: Sequence[Watcher] = (),
    revision: str = "work tree",
) -> Played:
    """Plays one history with an instance for each of the scenario's relays.

    begin: starts them, and returns once all are ready. goes: the course of the history from its start on;
    when both it and the scenario's length are over, so is the history. crowds: see there. processes: for the
    stand-ins beside this one, an even number; 0: none. tables: merged into those of the operators' file.

    Whatever it started has ended when it returns. Raises `daemons.NeverCame`, `remote_part.PartFailed`.
    """
    run = _Run(day, seed, begin, goes, crowds or Crowds(), tables or {})
    with (
        tempfile.TemporaryDirectory(prefix="glenfold-fleet-") as folder,
        ExitStack() as stack,
        without_garbage_collection(),
    ):
        trio.run(run.play, Path(folder), stack, processes)
    return run.played(revision, watchers)


@dataclass(slots=True)
class _Run:
    day: Scenario
    seed: int
    begin: Begin
    goes: Goes
    crowds: Crowds
    tables: Mapping[str, Mapping[str, Any]]
    _script: Script = field(init=False)
    _daemons: Daemons = field(init=False)
    _seen: Seen = field(default_factory=Seen)
    _reports: list[Report] = field(default_factory=list)
    _usage: dict[int, Usage] = field(default_factory=dict)
    _cpu: dict[tuple[int, float], float] = field(default_factory=dict)
    _happened: list[Happened] = field(default_factory=list)
    _logs: dict[str, str] = field(default_factory=dict)
    _times: Times = Times(0, 0)
    _took_s: float = 0.0

    async def play(self, folder: Path, stack: ExitStack, processes: int) -> None:
        began = time.monotonic()
        self._script = draw(self.day, self.seed)
        net, clock, half = Net(), MachineClock(), max(1, processes // 2)
        parts: list[Part] = [
            FleetPart(self.day, self.seed, share, net, crowds=self.crowds)
            for share in self._shares(processes, half)
        ]
        played: Sequence[Part | RemotePart] = stack.enter_context(remote(parts)) if processes else parts
        relays = range(self.day.relays.count)
        places = Places(relays=[free_address(net.host(RELAYS, relay)) for relay in relays])
        for part in played:
            places |= await part.bind()
        self._daemons = self._make_daemons(folder, places, clock)
        async with ended_in_the_end(self._daemons):
            try:
                await self._play_parts(played, places, clock)
            finally:
                self._keep_logs()
        self._took_s = time.monotonic() - began

    def _shares(self, processes: int, half: int) -> list[Share]:
        servers, relays = range(len(self._script.fleet.machines)), tuple(range(self.day.relays.count))
        if not processes:
            return [Share(0, tuple(servers), relays, (0, 1))]
        stands = [Share(n, tuple(servers[n::half]), () if n else relays, None) for n in range(half)]
        return stands + [Share(half + n, (), (), (n, half)) for n in range(half)]

    def _make_daemons(self, folder: Path, places: Places, clock: MachineClock) -> Daemons:
        file, kinds = folder / "glenfold.toml", [kind.name for kind in self.day.servers.kinds]
        file.write_text(operators_file(self.day, kinds, places.agents[0], places.relays, **self.tables))
        return Daemons(file, places.relays, self._seen, clock)

    async def _play_parts(
        self, played: Sequence[Part | RemotePart], places: Places, clock: MachineClock
    ) -> None:
        ready = trio.Event()

        async def begun() -> Times:
            await ready.wait()
            return self._times

        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as parts:
                for part in played:
                    parts.start_soon(part.play, places, begun, _nobody)
                await self.begin(self._daemons)
                fill, standing = clock.now_us() + BEGIN_US, self._standing()
                self._times = Times(fill, fill + BEGIN_US + standing * SECOND_US // FILL_PER_S)
                ready.set()
                nursery.start_soon(self._sample)
                course = Course(self._daemons, clock, self._times.start, self._happened)
                await clock.until(course.start)
                await self.goes(course)
            nursery.cancel_scope.cancel()
        self._reports = [part.report() for part in played]

    def _standing(self) -> int:
        people = Population(self.day, self._script.fleet.parameters, Streams(self.seed), 0)
        return len(people.standing().at)

    async def _sample(self) -> None:
        while True:
            for relay, processes in self._daemons.processes().items():
                usage = self._usage.setdefault(relay, Usage())
                found = [self._sample_one(usage, one) for one in processes]
                usage.peak_mb = max([usage.peak_mb, *found])
                usage.two_mb = max(usage.two_mb, sum(found)) if len(found) > 1 else usage.two_mb
            await trio.sleep(SAMPLE_S)

    def _sample_one(self, usage: Usage, process: psutil.Process) -> float:
        """Its memory, in MB."""
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

    # ---- what it came to ----

    def played(self, revision: str, watchers: Sequence[Watcher]) -> Played:
        end = end_of(self.day, self._times)
        outcome = Outcome(self._script, self.seed, self._times.start, end, self._reports, self._seen)
        first = [machine.number for machine in self._script.first]
        judge = Judge(self.day.relays.count, first, self.day.relays.pass_through)
        records = judge.settle(_by_their_relays(outcome.seen_by_all()), end)
        result = outcome.result(records, revision, self._happened, self._cost(), watchers)
        unreached = [one for report in self._reports for one in report.unreached]
        return Played(result, records, sorted(unreached), self._times.start, self._usage, self._logs)

    def _cost(self) -> dict[str, float]:
        cost = {"seconds": self._took_s}
        for relay, usage in sorted(self._usage.items()):
            cost[f"n{relay} cpu_s"] = round(usage.cpu_s, 3)
            cost[f"n{relay} peak_mb"] = round(usage.peak_mb, 1)
        return cost


def _nobody(second: SecondCounts) -> None:
    """Nobody watches second by second."""


def _by_their_relays(records: list[Record]) -> list[Record]:
    relay_of = {values[1]: values[2] for name, values in records if name == "taken"}
    return [
        (name, (*values[:2], relay_of.get(values[1], values[2]), *values[3:]))
        if name == "sent"
        else (name, values)
        for name, values in records
    ]
