"""Processes of hollow relays: each holds hundreds of watchers, every one with a TCP connection of its own.

A process reads its sockets by epoll, without a task for each, so that its own lag stays far below what it
measures; it tells the longest turn of its loop. It is driven over a pipe by `HollowFleet`.
"""

import errno
import random
import select
import socket
import time
from contextlib import suppress
from dataclasses import dataclass, field, replace
from multiprocessing.connection import Connection
from typing import Any

from glenfold.config import Address
from glenfold_lab.scale.driven_process import DrivenProcess
from glenfold_lab.scale.hollow_http import ChunkTable
from glenfold_lab.scale.hollow_list import Lists
from glenfold_lab.scale.hollow_watcher import (
    Deliveries,
    Delivery,
    Fault,
    HollowWatcher,
    Phase,
    WatcherLog,
)

SWEEP_S = 0.05  # between two looks at who is due
MOST_READ = 256 << 10


@dataclass(frozen=True, slots=True)
class WatcherGroup:
    """Watchers that go to the same parents, in that order of preference."""

    name: str
    count: int
    parents: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """`spread_s`: over which relays spread their calls. `most_opening`: how many watchers of a process open
    connections or read whole lists at once, when they begin; nothing bounds it for those that know a list."""

    groups: tuple[WatcherGroup, ...]
    spread_s: float
    most_opening: int
    seed: int


@dataclass(frozen=True, slots=True)
class Look:
    """How do they stand?"""


@dataclass(frozen=True, slots=True)
class Drop:
    """All watchers close, and come again within so many seconds; `forget`: as ones that know no list."""

    within_s: float
    forget: bool


@dataclass(frozen=True, slots=True)
class Collect:
    """What was written down so far; a new log begins."""


@dataclass(frozen=True, slots=True)
class Standing:
    """`watching`: how many watch and know a list. `slowest`: the lowest revision that any knows."""

    watching: int
    slowest: int


@dataclass(frozen=True, slots=True)
class Collected:
    """`groups`: the group of each watcher, in the order of `logs`. `turn_s`: the longest turn of its loop.
    `cpu_s`: of the process since the last."""

    deliveries: list[Delivery]
    logs: list[WatcherLog]
    groups: list[str]
    turn_s: float
    cpu_s: float


Answer = Standing | Collected | None


class _Process:
    """The loop of one process."""

    def __init__(self, pipe: Connection, plan: FleetPlan) -> None:
        self._pipe = pipe
        self._epoll = select.epoll()
        self._epoll.register(pipe.fileno(), select.EPOLLIN)
        self._lists, self._deliveries, self._chunks = Lists(), Deliveries(), ChunkTable()
        self._chance = random.Random(plan.seed)
        self._watchers: list[HollowWatcher] = []
        self._groups: list[str] = []
        for group in plan.groups:
            for _ in range(group.count):
                self._watchers.append(self._watcher(group, plan.spread_s))
                self._groups.append(group.name)
        self._most_opening: float = plan.most_opening
        self._sockets: dict[int, tuple[socket.socket, HollowWatcher]] = {}
        self._of: dict[HollowWatcher, int] = {}
        self._turn_s = 0.0
        self._cpu_s = time.process_time()

    def _watcher(self, group: WatcherGroup, spread_s: float) -> HollowWatcher:
        chance = random.Random(self._chance.getrandbits(64))
        return HollowWatcher(group.parents, self._lists, self._deliveries, self._chunks, spread_s, chance)

    def run(self) -> None:
        swept_at = 0.0
        while True:
            events = self._epoll.poll(SWEEP_S)
            began = time.monotonic()
            for number, mask in events:
                if number == self._pipe.fileno():
                    if not self._command():
                        return
                elif number in self._sockets:
                    self._ready(number, mask)
            if time.monotonic() >= swept_at + SWEEP_S:
                self._sweep()
                swept_at = time.monotonic()
            self._turn_s = max(self._turn_s, time.monotonic() - began)

    # ---- commands ----

    def _command(self) -> bool:
        try:
            command = self._pipe.recv()
        except (EOFError, OSError):
            return False
        answer: Answer = None
        if isinstance(command, Look):
            known = [watcher for watcher in self._watchers if watcher.phase is Phase.WATCHING]
            slowest = min((watcher.revision for watcher in self._watchers), default=0)
            answer = Standing(sum(watcher.revision > 0 for watcher in known), slowest)
        elif isinstance(command, Drop):
            self._drop(command)
        elif isinstance(command, Collect):
            answer = self._collect()
        self._pipe.send(answer)
        return True

    def _drop(self, command: Drop) -> None:
        self._most_opening = float("inf")
        now = time.monotonic()
        for watcher in self._watchers:
            self._close(watcher)
            if command.forget:
                watcher.forget()
            watcher.return_at(now + self._chance.uniform(0.0, command.within_s))

    def _collect(self) -> Collected:
        logs = [watcher.closed_log() for watcher in self._watchers]
        for watcher in self._watchers:
            watcher.begin_log()
        cpu_s, turn_s = time.process_time(), self._turn_s
        spent_s, self._cpu_s, self._turn_s = cpu_s - self._cpu_s, cpu_s, 0.0
        return Collected(self._deliveries.all, logs, self._groups, turn_s, spent_s)

    # ---- sockets ----

    def _sweep(self) -> None:
        """Calls that are due begin, and connections whose time is up end."""
        now = time.monotonic()
        opening = sum(watcher.phase in (Phase.CONNECTING, Phase.WHOLE) for watcher in self._watchers)
        for watcher in self._watchers:
            if watcher.due_at > now:
                continue
            if watcher.phase is not Phase.WAITING:
                self._fail(watcher, Fault(f"silent while {watcher.phase.name.lower()}"), now)
            elif watcher.revision or opening < self._most_opening:
                opening += 1
                self._open(watcher, now)

    def _open(self, watcher: HollowWatcher, now: float) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        watcher.connecting(now)
        self._sockets[sock.fileno()] = sock, watcher
        self._of[watcher] = sock.fileno()
        self._epoll.register(sock.fileno(), select.EPOLLOUT)
        error = sock.connect_ex(watcher.parent)
        if error not in (0, errno.EINPROGRESS):
            self._fail(watcher, Fault(errno.errorcode.get(error, "refused")), now)

    def _ready(self, number: int, mask: int) -> None:
        sock, watcher = self._sockets[number]
        now = time.monotonic()
        try:
            if watcher.phase is Phase.CONNECTING:
                if error := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise OSError(error, "connect")
                self._epoll.modify(number, select.EPOLLIN)
                sock.send(watcher.connected())
            elif request := watcher.received(sock.recv(MOST_READ), now):
                sock.send(request)
        except BlockingIOError:
            return
        except Fault as fault:
            self._fail(watcher, fault, now)
        except OSError as error:
            self._fail(watcher, Fault(errno.errorcode.get(error.errno or 0, "broken")), now)

    def _fail(self, watcher: HollowWatcher, fault: Fault, now: float) -> None:
        self._close(watcher)
        watcher.failed(fault, now)

    def _close(self, watcher: HollowWatcher) -> None:
        number = self._of.pop(watcher, None)
        if number is None:
            return
        sock, _ = self._sockets.pop(number)
        with suppress(OSError):
            self._epoll.unregister(number)
        sock.close()


def _work(pipe: Connection, plan: FleetPlan) -> None:
    _Process(pipe, plan).run()


@dataclass(slots=True)
class HollowFleet:
    """All processes of a plan; to be entered as a context. Every method raises ProcessFailed."""

    plan: FleetPlan
    processes: int
    _workers: list[DrivenProcess] = field(default_factory=list)

    def __enter__(self) -> "HollowFleet":
        self._workers = [
            DrivenProcess("a process of hollow watchers", _work, self._part(n)) for n in range(self.processes)
        ]
        return self

    def __exit__(self, *_: object) -> None:
        for worker in self._workers:
            worker.close()

    @property
    def watchers(self) -> int:
        return sum(group.count for group in self.plan.groups)

    def look(self) -> Standing:
        found: list[Standing] = self._ask(Look())
        return Standing(sum(one.watching for one in found), min(one.slowest for one in found))

    def drop(self, within_s: float, forget: bool = False) -> None:
        self._ask(Drop(within_s, forget))

    def collect(self) -> list[Collected]:
        """Of each process."""
        collected: list[Collected] = self._ask(Collect())
        return collected

    def _part(self, n: int) -> FleetPlan:
        groups = tuple(
            replace(group, count=len(range(n, group.count, self.processes))) for group in self.plan.groups
        )
        return replace(
            self.plan,
            groups=groups,
            most_opening=max(1, self.plan.most_opening // self.processes),
            seed=self.plan.seed + n,
        )

    def _ask(self, command: Look | Drop | Collect) -> list[Any]:
        for worker in self._workers:
            worker.send(command)
        return [worker.receive() for worker in self._workers]
