"""Real relays beside the hollow ones: each follows a control replica, and requests show when a drain is in
force there. What places the requests, and answers for push servers, is a process of its own."""

from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path

import trio

from glenfold.config import Address
from glenfold_lab.observe import ListedState
from glenfold_lab.scale.control_source import Source, listed_server
from glenfold_lab.scale.driven_process import DrivenProcess
from glenfold_lab.scale.placement_probe import NOBODY, PlacementProbe, PushServers
from glenfold_lab.scale.relay_lists import RELAY_SETTINGS, KeyFinder, Watched
from glenfold_lab.scale.server_lists import FIRST_SEQ, ZONES, ServerFleet
from glenfold_lab.stand_ins.agent import full_list_document
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.relays import Limits, RelayProcess, free_address
from glenfold_lab.stand_ins.seen import Seen

HOST = "127.8.0.2"  # not that of outgoing connections
IN_FORCE_S = 30.0  # the longest wait for a drain


@dataclass(frozen=True, slots=True)
class Expect:
    """From now on a server is looked for, by a key that belongs to it; the answer is how many relays place
    the key there."""

    key: int
    host: str


@dataclass(frozen=True, slots=True)
class TellMoved:
    """When did each relay place the key elsewhere? In seconds of the monotonic clock."""


class _Probing:
    """The requests to all relays."""

    def __init__(self, pipe: Connection, hosts: Sequence[str], relays: Sequence[Address]) -> None:
        self._pipe = pipe
        self._push_servers = PushServers(hosts)
        self._dials = {host: self._push_servers.dial(host) for host in (*hosts, NOBODY)}
        self._relays = relays
        self._probe = PlacementProbe()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_servers.serve)
            self._pipe.send(self._dials)
            with suppress(EOFError, OSError):
                while True:
                    command = await self._command()
                    if isinstance(command, Expect):
                        await self._follow(command)
            nursery.cancel_scope.cancel()

    async def _command(self) -> Expect | TellMoved:
        await trio.lowlevel.wait_readable(self._pipe.fileno())
        command: Expect | TellMoved = self._pipe.recv()
        return command

    async def _follow(self, expected: Expect) -> None:
        """Until it has told who placed the key elsewhere, and when."""
        key, host = expected.key, expected.host
        at_home = [relay for relay in self._relays if await self._probe.place(relay, key) == host]
        moved: list[float] = []

        async def wait(relay: Address) -> None:
            moved.append(await self._probe.until_elsewhere(relay, key, host))

        self._pipe.send(len(at_home))
        with trio.move_on_after(IN_FORCE_S):
            async with trio.open_nursery() as nursery:
                for relay in at_home:
                    nursery.start_soon(wait, relay)
        await self._command()
        self._pipe.send(moved)


async def _probe(pipe: Connection, hosts: Sequence[str], relays: Sequence[Address]) -> None:
    await _Probing(pipe, hosts, relays).run()


def _work(pipe: Connection, hosts: Sequence[str], relays: Sequence[Address]) -> None:
    trio.run(_probe, pipe, hosts, relays)


@dataclass(slots=True)
class RealRelays:
    """So many relays; to be entered as a context, then started. `drains`: how many servers can be watched."""

    count: int
    servers: int
    drains: int
    seed: int
    folder: Path
    _watched: list[Watched] = field(init=False)
    _listen: list[Address] = field(init=False)
    _dials: Mapping[str, str] = field(init=False)
    _probe: DrivenProcess = field(init=False)
    _relays: list[RelayProcess] = field(default_factory=list)

    def __enter__(self) -> "RealRelays":
        entries = tuple(listed_server(number, self.servers) for number in range(self.servers))
        finder = KeyFinder(ServerFleet(entries), self.seed)
        self._watched = [finder.watched(range(ZONES)) for _ in range(self.drains)]
        self._listen = [free_address(HOST) for _ in range(self.count)]
        hosts = [watched.entry.host for watched in self._watched]
        self._probe = DrivenProcess("the process that places requests", _work, hosts, self._listen)
        self._dials = self._probe.receive()
        return self

    def __exit__(self, *_: object) -> None:
        trio.run(self._crash)
        self._probe.close()

    def dial(self, host: str) -> str:
        """HOST:PORT at which the source lists this server."""
        return self._dials.get(host, self._dials[NOBODY])

    def start(self, discoveries: Sequence[Address]) -> None:
        """Each at the next of these addresses, one after the other. Raises relays.NotReady."""
        trio.run(self._start, discoveries)

    async def _start(self, discoveries: Sequence[Address]) -> None:
        entries = [listed_server(number, self.servers, self.dial) for number in range(self.servers)]
        for number, listen in enumerate(self._listen):
            folder, discovery = self.folder / f"relay-{number}", discoveries[number % len(discoveries)]
            relay = RelayProcess(
                number,
                folder.name,
                folder,
                listen,
                discovery,
                RELAY_SETTINGS,
                Limits(),
                Seen(),
                MachineClock(),
            )
            self._relays.append(relay)
            relay.start(full_list_document(FIRST_SEQ, entries), self.seed + number)
            await relay.ready()

    async def _crash(self) -> None:
        for relay in self._relays:
            relay.end()

    def pids(self) -> dict[str, int]:
        return {relay.name: relay.process_id for relay in self._relays if relay.running}

    def drain(self, source: Source) -> "Drained":
        """The next server drains. Raises ProcessFailed."""
        watched = self._watched.pop()
        at_home = self._probe.ask(Expect(watched.key, watched.entry.host))
        revision = source.publish([watched.entry.number], ListedState.DRAINING)
        return Drained(self._probe, at_home, revision, source.history()[-1].at_us / 1e6)


@dataclass(frozen=True, slots=True)
class Drained:
    """`at_home`: how many relays placed the server's key there before; `at_s`: when the source had it."""

    probe: DrivenProcess
    at_home: int
    revision: int
    at_s: float

    def in_force_s(self) -> list[float]:
        """Seconds until each of them placed it elsewhere; those that did not in time are missing."""
        moved: list[float] = self.probe.ask(TellMoved())
        return [moment - self.at_s for moment in moved]
