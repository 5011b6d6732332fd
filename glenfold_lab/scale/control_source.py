"""The source of all revisions in a scale run: the lab's stand-in for discovery's agent, in a process of its
own, which notes when it had each change and what was in it."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from multiprocessing.connection import Connection

import trio

from glenfold.config import Address
from glenfold_lab.observe import ListedState
from glenfold_lab.scale.driven_process import DrivenProcess
from glenfold_lab.scale.hollow_list import GONE, digest, stamp
from glenfold_lab.stand_ins.agent import Agent, Change, Entry, ListState
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.seen import Seen

HOST = "127.0.0.1"
SITES = 14  # zones
FIRST_REVISION = 1


@dataclass(frozen=True, slots=True)
class Publish:
    """From now on these servers, by number, are in this state; one that is ready has started again."""

    servers: tuple[int, ...]
    state: ListedState


@dataclass(frozen=True, slots=True)
class Speak:
    """Whether it says anything at all; while it does not, connections stay open and silent."""

    speaks: bool


@dataclass(frozen=True, slots=True)
class Reset:
    """All open connections are reset."""


@dataclass(frozen=True, slots=True)
class History:
    """All revisions so far?"""


@dataclass(frozen=True, slots=True)
class Revision:
    """`at_us`: when the source had it. `stamps`: of the servers it tells of, by host; `before`: those that
    they had until then. `digest`: of the whole list then. `drains`: how many servers began to drain."""

    number: int
    at_us: int
    stamps: dict[str, int]
    before: dict[str, int]
    digest: int
    drains: int


class Ledger:
    """What a source had when. `history`: all revisions, in their order."""

    def __init__(self, revision: int, at_us: int, entries: Sequence[Entry]) -> None:
        self._stamps = {entry.host: stamp(entry.to_dict()) for entry in entries}
        self._digest = digest(self._stamps.values())
        self.history = [Revision(revision, at_us, {}, {}, self._digest, 0)]

    def add(self, revision: int, at_us: int, entries: Sequence[Entry]) -> None:
        stamps = {entry.host: stamp(entry.to_dict()) for entry in entries}
        before = {host: self._stamps.get(host, GONE) for host in stamps}
        for host, new in stamps.items():
            self._digest ^= self._stamps.pop(host, GONE) ^ new
            if new != GONE:
                self._stamps[host] = new
        drains = sum(entry.state is ListedState.DRAINING for entry in entries)
        self.history.append(Revision(revision, at_us, stamps, before, self._digest, drains))


class _Source:
    def __init__(self, pipe: Connection, entries: Sequence[Entry]) -> None:
        self._pipe = pipe
        self._clock = MachineClock()
        self._by_number = dict(enumerate(entries))
        self._holding = ListState(FIRST_REVISION, entries)
        # No relay is named, so nothing is kept of what was told to whom: the watchers judge that.
        self._agent = Agent((), HOST, self._holding, Seen(), self._clock)
        self._ledger = Ledger(FIRST_REVISION, self._clock.now_us(), entries)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self._agent.serve)
            self._pipe.send(self._agent.address)
            while True:
                await trio.lowlevel.wait_readable(self._pipe.fileno())
                try:
                    command = self._pipe.recv()
                except (EOFError, OSError):
                    break
                self._pipe.send(self._answer(command))
            nursery.cancel_scope.cancel()

    def _answer(self, command: Publish | Speak | Reset | History) -> object:
        if isinstance(command, Publish):
            return self._publish(command)
        if isinstance(command, History):
            return self._ledger.history
        if isinstance(command, Reset):
            self._agent.reset_connections()
        elif command.speaks:
            self._agent.unmute()
        else:
            self._agent.mute()
        return None

    def _publish(self, command: Publish) -> int:
        born_ms = time.time_ns() // 1_000_000 if command.state is ListedState.READY else 0
        entries = tuple(self._changed(number, command.state, born_ms) for number in command.servers)
        revision = self._holding.seq + 1
        at_us = self._clock.now_us()
        self._agent.apply(Change(revision, entries))
        self._ledger.add(revision, at_us, entries)
        return revision

    def _changed(self, number: int, state: ListedState, born_ms: int) -> Entry:
        entry = replace(self._by_number[number], state=state)
        if born_ms:
            entry = replace(entry, born_ms=born_ms)
        self._by_number[number] = entry
        return entry


def made_up_dial(_: str) -> str:
    """As long as a real one is."""
    return "127.0.100.100:3000"


def listed_server(number: int, servers: int, dial: Callable[[str], str] = made_up_dial) -> Entry:
    """The servers of a zone follow one another. `dial`: where a host is found."""
    site = number * SITES // servers
    host = f"s-{number:08x}"
    return Entry(
        host=host,
        number=number,
        dial=dial(host),
        site=f"zone-{site}",
        kind="m2",
        block=number % 8,
        share=1.0,
    )


async def _serve(pipe: Connection, entries: Sequence[Entry]) -> None:
    await _Source(pipe, entries).run()


def _work(pipe: Connection, entries: Sequence[Entry]) -> None:
    trio.run(_serve, pipe, entries)


@dataclass(slots=True)
class Source:
    """The process, from outside; to be entered as a context. `dial`: where each host is listed. Every method
    raises ProcessFailed."""

    servers: int
    dial: Callable[[str], str] = made_up_dial
    address: Address = (HOST, 0)
    _process: DrivenProcess = field(init=False)

    def __enter__(self) -> "Source":
        entries = [listed_server(number, self.servers, self.dial) for number in range(self.servers)]
        self._process = DrivenProcess("the source", _work, entries)
        self.address = self._process.receive()
        return self

    def __exit__(self, *_: object) -> None:
        self._process.close()

    @property
    def pid(self) -> int:
        return self._process.pid

    def publish(self, servers: Sequence[int], state: ListedState) -> int:
        """The revision."""
        revision: int = self._process.ask(Publish(tuple(servers), state))
        return revision

    def speak(self, speaks: bool) -> None:
        self._process.ask(Speak(speaks))

    def reset(self) -> None:
        self._process.ask(Reset())

    def history(self) -> list[Revision]:
        history: list[Revision] = self._process.ask(History())
        return history

    def zone(self, zone: int) -> list[int]:
        """The servers of a zone, by number."""
        return [n for n in range(self.servers) if n * SITES // self.servers == zone]
