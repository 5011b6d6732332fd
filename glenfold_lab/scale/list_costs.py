"""What lists of push servers cost inside one process: the JSON, the destination set and the decisions.

Times are CPU time of the process. Memory is what Python has allocated and not given back, without what its
allocator holds in reserve.
"""

import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

from glenfold.config.platform import names_of, settings_of
from glenfold.destinations import DestinationSet
from glenfold.list_entry import server_number
from glenfold_lab.observe import ListedState
from glenfold_lab.scale.measurements import Point
from glenfold_lab.scale.server_lists import SETTINGS, ChangeScript, ServerFleet
from glenfold_lab.stand_ins.agent import ListState
from linnetspread import Balancer
from linnetspread import interface as i

DIMENSION = "servers"
START_US = 1_800_000_000_000_000  # of the decisions' clock
STEP_US = 1_000  # between two events there
LOOK_US = 1_000_000  # so often a placement counts the fleet again
WAIT_US = 2_000_000  # that a client waits for its answer
REFERENCE_STEPS = 1_000_000
NUMBERS = 1 << 32  # of servers: distinct values
MB = 1e6
KB = 1e3
MS = 1e3  # in a second
US = 1e6

Value = TypeVar("Value")


def allocated_mb(build: Callable[[], object]) -> float:
    """What it builds and keeps, in megabytes."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        taken, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return taken / MB


def reference_loop_s() -> float:
    """CPU seconds of a fixed piece of work: a busy machine's shared cores show in it."""

    def work() -> int:
        total = 0
        for number in range(REFERENCE_STEPS):
            total = (total + number * number) % NUMBERS
        return total

    return cpu_s(work)[0]


def cpu_s(action: Callable[[], Value]) -> tuple[float, Value]:
    """CPU seconds that this process spends on it, and its result."""
    began = time.process_time()
    result = action()
    return time.process_time() - began, result


@dataclass(frozen=True, slots=True)
class Effort:
    """How often each thing is done for one time: whole lists taken in, servers replaced one by one, requests
    placed, placements that count the fleet again, and keys drawn for each server."""

    whole_lists: int = 3
    replacements: int = 20
    placements: int = 1_000
    recounts: int = 20
    keys_per_server: int = 50


FULL_EFFORT = Effort()


@dataclass(slots=True)
class TakeIn:
    """CPU seconds of one document: read as JSON, taken in by the destination set, and by the decisions."""

    parse_s: float = 0.0
    destinations_s: float = 0.0
    decisions_s: float = 0.0

    @property
    def total_s(self) -> float:
        return self.parse_s + self.destinations_s + self.decisions_s

    def add(self, other: "TakeIn") -> None:
        self.parse_s += other.parse_s
        self.destinations_s += other.destinations_s
        self.decisions_s += other.decisions_s

    def over(self, count: int) -> "TakeIn":
        return TakeIn(self.parse_s / count, self.destinations_s / count, self.decisions_s / count)


class Follower:
    """What a relay holds of a list, and what it does with a document, without sockets."""

    def __init__(self) -> None:
        self.destinations = DestinationSet(names_of(SETTINGS))
        self.balancer = Balancer(settings_of(SETTINGS)[0], seed=1)
        self.now_us = START_US

    def take(self, text: bytes) -> TakeIn:
        """A whole list or a change, from its bytes to its end."""
        parse_s, document = cpu_s(lambda: json.loads(text))
        destinations_s, servers = cpu_s(lambda: self.destinations.read(document))
        decisions_s, _ = cpu_s(lambda: self.handle(servers))
        return TakeIn(parse_s, destinations_s, decisions_s)

    def handle(self, event: i.Event) -> list[i.Action]:
        self.now_us += STEP_US
        return self.balancer.handle(self.now_us, event)


def mean(costs: Iterable[TakeIn]) -> TakeIn:
    total, count = TakeIn(), 0
    for cost in costs:
        total.add(cost)
        count += 1
    return total.over(count)


class ListCosts:
    """All points of one fleet, gathered as they are measured. `new_follower` makes what is measured."""

    def __init__(
        self, servers: int, seed: int, repeat: int, effort: Effort, new_follower: Callable[[], Follower]
    ) -> None:
        self.points: list[Point] = []
        self._servers = servers
        self._seed = seed
        self._repeat = repeat
        self._effort = effort
        self._new_follower = new_follower
        self._fleet = ServerFleet.drawn(servers, seed)
        self._holding = ListState(1, self._fleet.entries)
        self._script = ChangeScript()
        self._draws = random.Random(seed)

    def measure(self) -> list[Point]:
        follower = self._memory()
        self._add("machine.reference_loop.cpu", "ms", reference_loop_s() * MS)
        self._whole_list(follower)
        self._one_change(follower)
        self._lost_zone(follower)
        self._placements(follower)
        self._map(follower)
        self._add("numbers.pair_collision", "share", pair_collision(self._servers))
        return self.points

    def _add(self, quantity: str, unit: str, value: float) -> None:
        self.points.append(Point(quantity, unit, DIMENSION, self._servers, value, self._repeat, self._seed))

    def _add_take_in(self, name: str, cost: TakeIn) -> None:
        self._add(f"{name}.parse.cpu", "ms", cost.parse_s * MS)
        self._add(f"destinations.{name}.cpu", "ms", cost.destinations_s * MS)
        self._add(f"decisions.{name}.cpu", "ms", cost.decisions_s * MS)
        self._add(f"{name}.cpu", "ms", cost.total_s * MS)

    def _memory(self) -> Follower:
        """Of a follower that has taken in the whole list; the document is not kept."""
        follower, text = self._new_follower(), self._holding.whole()
        taken = allocated_mb(lambda: follower.destinations.read(json.loads(text)))
        self._add("destinations.memory", "MB", taken)
        servers = i.ServerList(i.ListKind.FULL, 1, follower.destinations.servers())
        self._add("decisions.memory", "MB", allocated_mb(lambda: follower.handle(servers)))
        return follower

    def _whole_list(self, follower: Follower) -> None:
        """Each is taken in by a process that knows nothing yet, as after a start."""
        text = self._holding.whole()
        self._add("list.bytes", "KB", len(text) / KB)
        times = range(self._effort.whole_lists)
        self._add_take_in("list", mean(self._new_follower().take(text) for _ in times))
        again = mean(follower.take(text) for _ in times)
        self._add("list_again.cpu", "ms", again.total_s * MS)

    def _one_change(self, follower: Follower) -> None:
        entries = self._draws.sample(self._fleet.entries, self._effort.replacements)
        changes = [change for entry in entries for change in self._script.replacement(entry)]
        lines = [change.line() for change in changes]
        self._add("change.bytes", "bytes", sum(map(len, lines)) / len(lines))
        self._add_take_in("change", mean(map(follower.take, lines)))

    def _lost_zone(self, follower: Follower) -> None:
        """A zone's servers end in one change, and start again in one."""
        zone = self._fleet.zone(0)
        lost, back = self._script.change(zone, ListedState.GONE), self._script.change(zone, ListedState.READY)
        self._add("zone_change.bytes", "KB", len(lost.line()) / KB)
        self._add_take_in("zone_change", follower.take(lost.line()))
        self._add("zone_return.cpu", "ms", follower.take(back.line()).total_s * MS)

    def _placements(self, follower: Follower) -> None:
        placements, recounts = self._effort.placements, self._effort.recounts
        placed_s = 0.0
        for number in range(1, placements + 1):
            placed_s += self._placement(follower, number)
        self._add("placement.cpu", "us", placed_s / placements * US)
        recounted_s = 0.0
        for number in range(placements + 1, placements + recounts + 1):
            follower.now_us += LOOK_US
            recounted_s += self._placement(follower, number)
        self._add("placement_recount.cpu", "us", recounted_s / recounts * US)

    def _placement(self, follower: Follower, number: int) -> float:
        """CPU seconds of one request's decision; then it is over."""
        request = i.Request(number, WAIT_US, key=self._draws.getrandbits(64))
        used_s, actions = cpu_s(lambda: follower.handle(request))
        attempt = next(action for action in actions if isinstance(action, i.Attempt))
        follower.handle(i.Established(number, 1, attempt.server))
        follower.handle(i.Answer(number, 1, attempt.server, i.Outcome.OK, done=True))
        return used_s

    def _map(self, follower: Follower) -> None:
        """By the share of the working buckets that a server owns, which is its share of all keys; who has no
        bucket has no key. Drawn keys, placed one by one, check both."""
        owned = dict.fromkeys((server_number(entry.host) for entry in self._fleet.entries), 0)
        for owner in follower.balancer.anchor.owners():
            owned[owner] += 1
        buckets = sum(owned.values())
        self._add("map.busiest_over_mean", "ratio", max(owned.values()) * len(owned) / buckets)
        self._add("map.servers_without_keys", "servers", sum(not count for count in owned.values()))
        keys = dict.fromkeys(owned, 0)
        for _ in range(self._effort.keys_per_server * len(owned)):
            server = follower.balancer.anchor.lookup(self._draws.getrandbits(64), 0)
            assert server is not None
            keys[server] += 1
        self._add("map.drawn_busiest_over_mean", "ratio", max(keys.values()) / self._effort.keys_per_server)
        self._add("map.drawn_servers_without_keys", "servers", sum(not count for count in keys.values()))


def pair_collision(servers: int) -> float:
    """The share of fleets in which two servers have the same number, were numbers drawn evenly. Computed."""
    alone = 1.0
    for taken in range(servers):
        alone *= 1 - taken / NUMBERS
    return 1 - alone


def measure(
    servers: int,
    seed: int,
    repeat: int,
    effort: Effort = FULL_EFFORT,
    new_follower: Callable[[], Follower] = Follower,
) -> list[Point]:
    """Everything for one size, in this process."""
    return ListCosts(servers, seed, repeat, effort, new_follower).measure()
