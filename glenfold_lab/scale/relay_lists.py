"""Real relays that follow a list of push servers which are mostly hollow: what the list and its changes cost
them, how soon a change is in force, how long a relay's event loop stops, and how long a restart takes.

All is seen from outside. CPU time is the kernel's count for the relay's process. A change is in force at the
moment at which a request is answered that was placed by it: one whose key belongs to a server that the change
drains or removes, and that another server took.
"""

import random
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from os import sysconf
from pathlib import Path
from statistics import median
from typing import Any

import trio

from glenfold.list_entry import server_number
from glenfold_lab.observe import ListedState
from glenfold_lab.scale import list_agent, loop_watch
from glenfold_lab.scale.list_costs import Follower
from glenfold_lab.scale.measurements import Point
from glenfold_lab.scale.placement_probe import PlacementProbe, PushServers
from glenfold_lab.scale.server_lists import FIRST_SEQ, SETTINGS, ZONES, ChangeScript, ServerFleet
from glenfold_lab.scale.worker import Worker
from glenfold_lab.stand_ins.agent import Change, Entry, full_list_document
from glenfold_lab.stand_ins.lateness import percentile
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.relays import Limits, RelayProcess, free_address, killed_on_exit
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.sockets import Address
from linnetspread import interface as i

DIMENSION = "servers"
HOST = "127.0.0.1"
CHANGES_A_DAY = 29_000  # of the target
CHANGE_GAP_S = 86_400 / CHANGES_A_DAY
PACE_GAP_S = 0.2  # between changes whose CPU time is measured
IN_FORCE_S = 150.0  # the longest wait for a change
LOST_AT_ONCE, LOST_LINE_BY_LINE = 0, 1  # zones
LINE_BY_LINE_RELAYS = 2  # at the most: each is busy with a core's whole time
PAGE = sysconf("SC_PAGE_SIZE")
MB = 1e6
KB = 1e3
MS = 1e3
RELAY_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "classes": [{"name": "watch", "aim_us": 500_000, "hard_limit_us": 20_000_000, "semantics": "repeatable"}],
    "ceilings": {"max_attempts": 2, "connect_timeout_us": 5_000_000},  # a busy machine may be slow to connect
    "extra": {"mode": "pass"},  # no aim for messages: no slow set-up may move a key away
}


@dataclass(frozen=True, slots=True)
class Terms:
    """Of one play. `idle_s`: how long the relays are left alone. `settle_s`: after the starts, and around a
    burst. `paced`: servers replaced while CPU time is measured. `seconds`: for how long changes come at the
    target's mean rate."""

    relays: int = 3
    idle_s: float = 6.0
    settle_s: float = 1.0
    paced: int = 10
    seconds: float = 24.0

    @property
    def changes(self) -> int:
        return max(1, round(self.seconds / CHANGE_GAP_S))


@dataclass(frozen=True, slots=True)
class Watched:
    """A server that answers by its name, and a key that belongs to it."""

    entry: Entry
    key: int


def cpu_s(process: int) -> float:
    """CPU seconds of all threads that the process has."""
    tasks = Path(f"/proc/{process}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def resident_mb(process: int) -> float:
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * PAGE / MB


class KeyFinder:
    """Which server a key belongs to, as every relay that holds this list maps it."""

    def __init__(self, fleet: ServerFleet, seed: int) -> None:
        self._by_number = {server_number(entry.host): entry for entry in fleet.entries}
        self._follower = Follower()
        servers = tuple(i.ListedServer(number, i.ServerState.READY) for number in self._by_number)
        self._follower.handle(i.ServerList(i.ListKind.FULL, 1, servers))
        self._draws = random.Random(seed)
        self._request = 0
        self._used = set[str]()

    def watched(self, zones: Sequence[int]) -> Watched:
        """Another server each time, in one of these zones."""
        names = [f"zone-{zone}" for zone in zones]
        while True:
            key = self._draws.getrandbits(64)
            entry = self._by_number[self._server(key)]
            if entry.site in names and entry.host not in self._used:
                self._used.add(entry.host)
                return Watched(entry, key)

    def _server(self, key: int) -> int:
        self._request += 1
        actions = self._follower.handle(i.Request(self._request, 1_000_000, key=key))
        server = next(action.server for action in actions if isinstance(action, i.Attempt))
        self._follower.handle(i.Answer(self._request, 1, server, i.Outcome.OK, done=True))
        return server


class Play:
    """One size, from the relays' start to their end; `points` holds what was measured."""

    def __init__(self, servers: int, seed: int, repeat: int, terms: Terms, folder: Path) -> None:
        self.points: list[Point] = []
        self._servers, self._seed, self._repeat, self._terms = servers, seed, repeat, terms
        self._folder = folder
        self._script = ChangeScript()
        drawn = ServerFleet.drawn(servers, seed)
        finder = KeyFinder(drawn, seed)
        other_zones = range(LOST_LINE_BY_LINE + 1, ZONES)
        self._drained = [finder.watched(other_zones) for _ in range(terms.changes)]
        self._in_lost = finder.watched([LOST_AT_ONCE])
        self._in_lost_line_by_line = finder.watched([LOST_LINE_BY_LINE])
        told_apart = [*self._drained, self._in_lost, self._in_lost_line_by_line]
        self._push_servers = PushServers(watched.entry.host for watched in told_apart)
        self._fleet = ServerFleet(
            tuple(replace(entry, dial=self._push_servers.dial(entry.host)) for entry in drawn.entries)
        )
        self._named = {watched.entry.host for watched in told_apart}
        self._probe = PlacementProbe()
        self._astray = 0
        self._relays: list[RelayProcess] = []

    async def run(self) -> None:
        with ExitStack() as stack:
            self._agent = stack.enter_context(Worker(list_agent.serve))
            self._watch = stack.enter_context(Worker(loop_watch.serve))
            address = await self._agent.ask(list_agent.Begin(FIRST_SEQ, self._fleet.entries))
            assert isinstance(address, tuple)
            self._relays = [self._relay(number, address) for number in range(self._terms.relays)]
            async with killed_on_exit(self._relays), trio.open_nursery() as nursery:
                nursery.start_soon(self._push_servers.serve)
                await self._starts("relay.ready", full_list_document(FIRST_SEQ, self._fleet.entries))
                await self._starts("relay.ready_without_list", {})
                await trio.sleep(self._terms.settle_s)
                self._add("relay.list.memory", "MB", max(map(resident_mb, self._processes())))
                await self._paced_changes()
                await self._mean_rate()
                await self._zone_lost_at_once()
                await self._zone_lost_line_by_line()
                self._add("relay.list.memory_after", "MB", resident_mb(self._relays[0].process_id))
                self._add("probe.astray", "requests", self._astray)
                self._add("probe.unserved", "requests", self._probe.unserved)
                nursery.cancel_scope.cancel()

    def _add(self, quantity: str, unit: str, value: float) -> None:
        self.points.append(Point(quantity, unit, DIMENSION, self._servers, value, self._repeat, self._seed))

    def _add_spans(self, quantity: str, spans_s: Sequence[float]) -> None:
        for name, part in (("p50", 50), ("p99", 99), ("max", 100)):
            self._add(f"{quantity}.{name}", "s", percentile(list(spans_s), part))

    def _relay(self, number: int, discovery: Address) -> RelayProcess:
        name = f"relay-{number}"
        listen = free_address(HOST)
        folder = self._folder / name
        return RelayProcess(
            number, name, folder, listen, discovery, RELAY_SETTINGS, Limits(), Seen(), MachineClock()
        )

    def _processes(self) -> list[int]:
        return [relay.process_id for relay in self._relays if relay.running]

    def _used_s(self) -> float:
        """Mean CPU seconds of the relays so far."""
        processes = self._processes()
        return sum(map(cpu_s, processes)) / len(processes)

    async def _sent_bytes(self) -> int:
        sent = await self._agent.ask(list_agent.TellSent())
        assert isinstance(sent, int)
        return sent

    async def _take(self, *changes: Change) -> float:
        """Discovery has these changes now; the moment in seconds of CLOCK_MONOTONIC."""
        at = await self._agent.ask(list_agent.Take(changes))
        assert isinstance(at, float)
        return at

    # ---- starts ----

    async def _starts(self, quantity: str, known: dict[str, object]) -> None:
        """Each relay in its turn is killed, if it runs, and started."""
        spans: list[float] = []
        used: list[float] = []
        sent = await self._sent_bytes()
        for relay in self._relays:
            relay.end()
            relay.start(known, self._seed)
            began = time.monotonic()
            await relay.ready()
            spans.append(time.monotonic() - began)
            used.append(cpu_s(relay.process_id))
        sent = await self._sent_bytes() - sent
        self._add(quantity, "s", median(spans))
        self._add(f"{quantity}.max", "s", max(spans))
        self._add(f"{quantity}.cpu", "ms", sum(used) / len(used) * MS)
        self._add(f"{quantity}.bytes", "KB", sent / len(self._relays) / KB)

    # ---- changes at a steady pace ----

    async def _paced_changes(self) -> None:
        """CPU time of changes of one server each, beyond that of relays which are left alone."""
        idle = self._used_s()
        await trio.sleep(self._terms.idle_s)
        idle_share = (self._used_s() - idle) / self._terms.idle_s
        self._add("relay.idle.cpu", "ms/s", idle_share * MS)
        hollow = [entry for entry in self._fleet.entries if entry.host not in self._named]
        replaced = random.Random(self._seed).sample(hollow, self._terms.paced)
        changes = [change for entry in replaced for change in self._script.replacement(entry)]
        before, sent, began = self._used_s(), await self._sent_bytes(), time.monotonic()
        for change in changes:
            await self._take(change)
            await trio.sleep(PACE_GAP_S)
        await trio.sleep(self._terms.settle_s)
        used = self._used_s() - before - idle_share * (time.monotonic() - began)
        sent = await self._sent_bytes() - sent
        self._add("relay.change.cpu", "ms", used / len(changes) * MS)
        self._add("relay.change.bytes", "bytes", sent / len(changes) / len(self._relays))

    async def _mean_rate(self) -> None:
        """Servers drain at the target's rate of changes."""
        spans: list[float] = []
        sent, began = await self._sent_bytes(), time.monotonic()
        async with self._loops_watched("relay"):
            for place, watched in enumerate(self._drained):
                await trio.sleep(max(0.0, began + place * CHANGE_GAP_S - time.monotonic()))
                change = self._script.change([self._listed(watched)], ListedState.DRAINING)
                spans += await self._until_in_force(watched, change)
            await trio.sleep(max(0.0, began + self._terms.seconds - time.monotonic()))
        seconds = time.monotonic() - began
        self._add_spans("relay.in_force", spans)
        sent = await self._sent_bytes() - sent
        self._add("relay.control.bytes", "KB/s", sent / len(self._relays) / seconds / KB)

    # ---- bursts ----

    async def _zone_lost_at_once(self) -> None:
        """A zone's servers end in one change; then all start again in one."""
        zone = self._fleet.zone(LOST_AT_ONCE)
        await self._burst("relay.zone_change", self._in_lost, self._script.change(zone, ListedState.GONE))
        before = self._used_s()
        await self._take(self._script.change(zone, ListedState.READY))
        await trio.sleep(self._terms.settle_s + self._terms.idle_s / 2)
        self._add("relay.zone_return.cpu", "ms", (self._used_s() - before) * MS)

    async def _zone_lost_line_by_line(self) -> None:
        """A zone's servers end at once, and discovery has a change for each; the last is the one watched."""
        for relay in self._relays[LINE_BY_LINE_RELAYS:]:
            relay.end()
        watched = self._in_lost_line_by_line
        zone = self._fleet.zone(LOST_LINE_BY_LINE)
        ordered = sorted(zone, key=lambda entry: entry.host == watched.entry.host)
        changes = [self._script.change([entry], ListedState.GONE) for entry in ordered]
        before = self._used_s()
        await self._burst("relay.zone_lines", watched, *changes)
        self._add("relay.zone_lines.cpu", "ms", (self._used_s() - before) * MS)

    async def _burst(self, quantity: str, watched: Watched, *changes: Change) -> None:
        async with self._loops_watched(quantity):
            await trio.sleep(self._terms.settle_s)
            spans = await self._until_in_force(watched, *changes)
            await trio.sleep(self._terms.settle_s)
        self._add_spans(f"{quantity}.in_force", spans)

    def _listed(self, watched: Watched) -> Entry:
        return replace(watched.entry, dial=self._push_servers.dial(watched.entry.host))

    async def _until_in_force(self, watched: Watched, *changes: Change) -> list[float]:
        """Seconds from the changes at discovery until each relay places the server's key elsewhere. A relay
        that placed it elsewhere before, as one does whose server looks bad, tells nothing."""
        name, spans = watched.entry.host, list[float]()
        at_home = []
        for relay in self._relays:
            if not relay.running:
                continue
            if await self._probe.place(relay.listen, watched.key) == name:
                at_home.append(relay)
            else:
                self._astray += 1

        async def wait(relay: RelayProcess, since: float) -> None:
            moved_at = await self._probe.until_elsewhere(relay.listen, watched.key, name)
            spans.append(moved_at - since)

        since = await self._take(*changes)
        with trio.fail_after(IN_FORCE_S):
            async with trio.open_nursery() as nursery:
                for relay in at_home:
                    nursery.start_soon(wait, relay, since)
        return spans

    @asynccontextmanager
    async def _loops_watched(self, quantity: str) -> AsyncIterator[None]:
        addresses = tuple(relay.listen for relay in self._relays if relay.running)
        await self._watch.ask(loop_watch.WatchLoops(addresses))
        yield
        stops = await self._watch.ask(loop_watch.TellStops())
        assert isinstance(stops, loop_watch.Stops)
        self._add(f"{quantity}.loop_stop.max", "ms", max(stops.longest_s) * MS)
        self._add(f"{quantity}.watch_late.max", "ms", stops.own_s * MS)
