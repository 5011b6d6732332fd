"""One history of a scenario with real relays, on loopback sockets and in real time.

What is drawn is what the model draws: the same machines, clients and faults for the same seed. A neighbour's
work, a jam, a cold start slow the stand-ins' set-ups and lines as they do in the model. Not played: the part
of a core that a relay may use, and the delays between clients and their relays.
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
from glenfold_lab.stand_ins.judge import Judge
from glenfold_lab.stand_ins.keeper import Keeper
from glenfold_lab.stand_ins.lateness import Lateness, percentile
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.outcome import Outcome
from glenfold_lab.stand_ins.part import Part, Report, Share, Times, end_of
from glenfold_lab.stand_ins.places import RELAYS, Net, Places, TooLarge
from glenfold_lab.stand_ins.relay_settings import settings_json
from glenfold_lab.stand_ins.relays import Limits, NotReady, RelayProcess, ended_in_the_end, free_address
from glenfold_lab.stand_ins.remote_part import PartFailed, RemotePart, remote
from glenfold_lab.stand_ins.script import Script, draw
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.service import SecondCounts
from glenfold_lab.streams import Streams

BEGIN_US = SECOND_US // 2  # from the relays' being ready to the first client: for the fronts to admit them
FILL_PER_S = 300  # connections that stood before are opened at this rate
SPARE_SOCKETS = 200
ALONE_PER_S = 300.0  # new connections a second that one process plays without running late
LINES_PER_S = 0.5  # of a standing connection; each takes about a tenth of what a set-up takes
LINE_COST = 0.1


class RelayNow(msgspec.Struct, frozen=True):
    """One relay at the end of a second. cpu: of a core, over that second; mb: the most so far."""

    name: str
    up: bool
    cpu: float
    mb: float


class Snapshot(msgspec.Struct, frozen=True):
    """One second of a history, for a live view. standing: connections at its end; new: requests taken, lines:
    that came back, moves: clients told MOVE, all within it; answers by kind; set-ups that came up, in
    milliseconds, 0 where there were none."""

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
Beside = Callable[[Sequence[RelayProcess], Seen, MachineClock], Awaitable[None]]


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
    beside: Beside | None = None,
    revision: str = "work tree",
) -> RunResult:
    """Plays one history with real relay processes.

    seconds: plays so much of it instead of `length_s`; faults come in proportion. processes: for the
    stand-ins, beside this one; 0: none, None: as many as the load asks for. bad_per_s: clients that no relay
    should suffer from. logs: a folder that keeps each relay's log. on_second: is called after each second, in
    the loop that plays. beside: runs from the start of the history to its end, with the relays, what is seen
    and the clock. watchers: see all observations once it is over, as the checker does.

    Raises `TooLarge` where this machine has not the room, `relays.NotReady` where a relay does not come up,
    `remote_part.PartFailed` where a process of stand-ins breaks off, KeyboardInterrupt at SIGINT and SIGTERM.
    Whatever it started has ended when it returns.
    """
    if seconds is not None:
        scenario = shortened(scenario, seconds)
    run = _Run(scenario, seed, processes, bad_per_s, on_second, beside)
    with (
        tempfile.TemporaryDirectory(prefix="glenfold-play-") as folder,
        ExitStack() as stack,
        without_garbage_collection(),
    ):
        try:
            trio.run(run.play, Path(folder), stack)
        except BaseExceptionGroup as several:
            raise _why(several) from several
        finally:
            if logs is not None:
                run.keep_logs(logs)
    return run.result(revision, watchers)


def _why(several: BaseExceptionGroup[BaseException]) -> BaseException:
    """The one that says it best."""
    known = several.subgroup((NotReady, PartFailed, TooLarge, KeyboardInterrupt))
    found: BaseException = known or several
    while isinstance(found, BaseExceptionGroup) and len(found.exceptions) == 1:
        found = found.exceptions[0]
    return found


def shortened(scenario: Scenario, seconds: float) -> Scenario:
    """The same history in so many seconds: faults come in proportion, and last as long as they do."""
    part = seconds / scenario.length_s

    def moved(at: Range) -> Range:
        return tuple(one * part for one in at) if isinstance(at, tuple) else at * part

    faults = tuple(msgspec.structs.replace(fault, at_s=moved(fault.at_s)) for fault in scenario.faults)
    warm_up = min(scenario.warm_up_s, seconds / 2)
    return msgspec.structs.replace(scenario, length_s=seconds, faults=faults, warm_up_s=warm_up)


def scaled(scenario: Scenario, scale: float, relays: int | None, servers: int | None) -> Scenario:
    """With this part of its relays and push servers, or as many as are given; load follows the servers."""
    relays = relays or max(1, round(scenario.relays.count * scale))
    servers = servers or max(2, round(scenario.servers.count * scale))
    return msgspec.structs.replace(
        scenario,
        relays=msgspec.structs.replace(scenario.relays, count=relays),
        servers=msgspec.structs.replace(scenario.servers, count=servers),
    )


@dataclass(slots=True)
class _Load:
    """What the clients of a history will ask: standing at the start, coming over it, and at most at once."""

    standing: int
    coming: int
    usual: float

    @classmethod
    def of(cls, script: Script, seed: int) -> "_Load":
        people = Population(script.scenario, script.fleet.parameters, Streams(seed), 0)
        coming = sum(len(drawn.at) for drawn in people.arrivals(SECOND_US))
        return cls(len(people.standing().at), coming, people.mean_connections)

    def processes(self, length_s: float) -> int:
        per_s = self.coming / length_s + self.usual * LINES_PER_S * LINE_COST
        return 0 if per_s <= ALONE_PER_S else 2 * math.ceil(per_s / (4 * ALONE_PER_S))

    def check_room(self, script: Script, processes: int) -> None:
        """Descriptors that the fullest process needs."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        listeners = len(script.fleet.machines) * script.scenario.relays.count * 2
        sides = 2 if not processes else 1
        wanted = sides * 2 * self.usual / max(1, processes // 2) + listeners / max(1, processes // 2)
        if wanted + SPARE_SOCKETS > hard:
            words = f"about {wanted:.0f} sockets in one process, of {hard}: play it at a smaller scale"
            raise TooLarge(words)
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def shares(script: Script, processes: int, bad_per_s: float) -> list[Share]:
    """Half of the processes play push servers and agents, the other half clients."""
    servers, agents = range(len(script.fleet.machines)), range(script.scenario.relays.count)
    if not processes:
        return [Share(0, tuple(servers), tuple(agents), (0, 1), bad_per_s)]
    half = max(1, processes // 2)
    first = [Share(n, tuple(servers[n::half]), tuple(agents[n::half]), None) for n in range(half)]
    return first + [Share(half + n, (), (), (n, half), bad_per_s / half) for n in range(half)]


async def _break_off_at_sigterm() -> None:
    """As Ctrl-C does: whatever was started is ended."""
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
    beside: Beside | None
    _script: Script = field(init=False)
    _relays: list[RelayProcess] = field(default_factory=list)
    _reports: list[Report] = field(default_factory=list)
    _seen: Seen = field(default_factory=Seen)
    _late: Lateness = field(default_factory=Lateness)
    _times: Times = Times(0, 0)
    _end: int = 0
    _happened: list[Happened] = field(default_factory=list)
    _seconds: dict[int, list[SecondCounts]] = field(default_factory=dict)
    _tellers: int = 1
    _took_s: float = 0.0

    async def play(self, folder: Path, stack: ExitStack) -> None:
        began = time.monotonic()
        script = self._script = draw(self.scenario, self.seed)
        load = _Load.of(script, self.seed)
        processes = load.processes(self.scenario.length_s) if self.processes is None else self.processes
        load.check_room(script, processes)
        net, clock = Net(), MachineClock()
        parts = [
            Part(self.scenario, self.seed, share, net) for share in shares(script, processes, self.bad_per_s)
        ]
        self._tellers = sum(part.share.clients is not None for part in parts)
        played = stack.enter_context(remote(parts)) if processes else parts
        places = await self._bind(played, net)
        self._relays = self._make_relays(folder, places, clock)
        keeper = Keeper(script, self.seed, self._relays, places, self._seen, clock)
        async with ended_in_the_end(self._relays):
            await self._play_parts(played, places, keeper, clock, load)
        self._happened = keeper.happened
        self._took_s = time.monotonic() - began

    async def _bind(self, played: Sequence[Part | RemotePart], net: Net) -> Places:
        places = Places(
            relays=[free_address(net.host(RELAYS, relay)) for relay in range(self.scenario.relays.count)]
        )
        for part in played:
            places |= await part.bind()
        return places

    def _make_relays(self, folder: Path, places: Places, clock: MachineClock) -> list[RelayProcess]:
        told, network = self.scenario.relays, self._script.network
        sockets = told.sockets or resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        terms = self._script.fleet.parameters
        return [
            RelayProcess(
                number,
                f"n{number}",
                folder / f"n{number}",
                address,
                places.agents[number],
                settings_json(self.scenario, terms, number, network.zone_of(number)),
                Limits(1.0, told.memory_mb, sockets),
                self._seen,
                clock,
            )
            for number, address in enumerate(places.relays)
        ]

    async def _play_parts(
        self,
        played: Sequence[Part | RemotePart],
        places: Places,
        keeper: Keeper,
        clock: MachineClock,
        load: _Load,
    ) -> None:
        ready = trio.Event()

        async def begin() -> Times:
            await ready.wait()
            return self._times

        async with trio.open_nursery() as nursery:
            nursery.start_soon(_break_off_at_sigterm)
            async with trio.open_nursery() as parts:
                for part in played:
                    parts.start_soon(part.play, places, begin, self._hear)
                await keeper.start_all()
                fill = clock.now_us() + BEGIN_US
                self._times = Times(fill, fill + BEGIN_US + load.standing * SECOND_US // FILL_PER_S)
                ready.set()
                nursery.start_soon(keeper.run, self._times.start)
                nursery.start_soon(self._late.run)
                if self.beside is not None:
                    nursery.start_soon(self._play_beside, clock)
            self._end = end_of(self.scenario, self._times)
            nursery.cancel_scope.cancel()
        self._reports = [part.report() for part in played]

    async def _play_beside(self, clock: MachineClock) -> None:
        assert self.beside is not None
        await clock.until(self._times.start)
        await self.beside(self._relays, self._seen, clock)

    # ---- while it goes ----

    def _hear(self, second: SecondCounts) -> None:
        """Once all processes of clients have told of a second it is complete."""
        told = self._seconds.setdefault(second.second, [])
        told.append(second)
        if len(told) < self._tellers:
            return
        del self._seconds[second.second]
        if self.on_second is not None:
            self.on_second(self._snapshot(second.second, told))

    def _snapshot(self, number: int, told: list[SecondCounts]) -> Snapshot:
        set_ups = [us / 1000 for second in told for us in second.set_ups_us]
        answers: dict[str, int] = {}
        for second in told:
            for kind, count in sorted(second.answers.items()):
                answers[kind] = answers.get(kind, 0) + count
        now = tuple(
            RelayNow(relay.name, relay.running, relay.usage.cpu_share, relay.usage.peak_mb)
            for relay in self._relays
        )
        return Snapshot(
            number,
            sum(relay.up for relay in now),
            sum(one.standing for one in told),
            sum(one.new for one in told),
            answers,
            percentile(set_ups, 50),
            percentile(set_ups, 99),
            sum(one.lines for one in told),
            sum(one.moves for one in told),
            now,
        )

    # ---- what it came to ----

    def keep_logs(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        for relay in self._relays:
            if relay.log.exists():
                (folder / f"{relay.name}.log").write_bytes(relay.log.read_bytes())

    def result(self, revision: str, watchers: Sequence[Watcher] = ()) -> RunResult:
        first = [machine.number for machine in self._script.first]
        judge = Judge(len(self._relays), first, self.scenario.relays.pass_through)
        outcome = Outcome(self._script, self.seed, self._times.start, self._end, self._reports, self._seen)
        records = judge.settle(outcome.seen_by_all(), self._end)
        return outcome.result(records, revision, self._happened, self._cost(), watchers)

    def _cost(self) -> dict[str, float]:
        """Seconds that it took; CPU seconds and peak memory of each relay, through its restarts."""
        cost = {"seconds": self._took_s}
        for relay in self._relays:
            cost[f"{relay.name} cpu_s"] = round(relay.usage.cpu_s, 3)
            cost[f"{relay.name} peak_mb"] = round(relay.usage.peak_mb, 1)
        return cost
