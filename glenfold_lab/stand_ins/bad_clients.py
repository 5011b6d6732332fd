"""Clients that no relay should suffer from: each must be told so, or ended, within three seconds."""

from collections.abc import Awaitable, Callable
from itertools import cycle

import trio

from glenfold_lab.stand_ins.clients import Crowd
from glenfold_lab.stand_ins.machine_clock import SECOND_US
from glenfold_lab.stand_ins.ping import Ping, ping
from glenfold_lab.stand_ins.sockets import SocketType, finish, take

WITHIN_US = 3 * SECOND_US
SLACK_US = 50_000
CHUNK = 4096
FLOOD = b"k" * 65536
ANSWERS = (b"", b"ERR", b"BUSY")  # nothing but the end of the connection is an answer too

Deed = Callable[[SocketType, Crowd, int], Awaitable[None]]


def _says(data: bytes, ends: bool = False) -> Deed:
    async def say(sock: SocketType, crowd: Crowd, relay: int) -> None:
        await take(sock, data)
        if ends:
            finish(sock)

    return say


async def _floods(sock: SocketType, crowd: Crowd, relay: int) -> None:
    while True:  # until the relay, or the end of its time, cuts it off
        await take(sock, FLOOD)


async def _takes_an_id(sock: SocketType, crowd: Crowd, relay: int) -> None:
    """That of a connection which stands at this relay, if one was begun there: one that goes on there comes
    under an id that may not be over where it was."""
    lines = [
        other.first_line
        for other in crowd.standing
        if other.relay == relay and not any(mark in other.first_line for mark in (b"mid=1", b"at="))
    ]
    await take(sock, lines[0] if lines else b"OPEN\r\n")


KINDS: dict[str, Deed] = {
    "speaks another protocol": _says(b"GET / HTTP/1.1\r\n\r\n"),
    "is silent": _says(b""),
    "names an unknown class": _says(b"OPEN 1 2 c=nobody-s,d=2000\r\n"),
    "says half a line": _says(b"OPEN 1 2 c="),
    "says half a line and ends": _says(b"OPEN 1 2 c=", ends=True),
    "takes another's id": _takes_an_id,
    "says a line without end": _says(b"x" * 5000),
    "floods": _floods,
}


class BadClients:
    """One after another of each kind, `per_s` of them a second, over the relays in turn."""

    def __init__(self, crowd: Crowd, per_s: float) -> None:
        self._crowd = crowd
        self._gap_us = round(SECOND_US / per_s)

    async def come(self, until: int) -> None:
        crowd, turn = self._crowd, 0
        async with trio.open_nursery() as nursery:
            for name, deed in cycle(KINDS.items()):
                await crowd.clock.until(crowd.start + turn * self._gap_us)
                if crowd.clock.now_us() >= until:
                    return
                admitted = [relay for relay in crowd.front.admitted if crowd.front.reaches(relay)]
                if admitted:
                    nursery.start_soon(self._one, name, deed, admitted[turn % len(admitted)])
                turn += 1

    async def _one(self, name: str, deed: Deed, relay: int) -> None:
        crowd = self._crowd
        due = crowd.clock.now_us() + WITHIN_US + SLACK_US
        with trio.CancelScope(deadline=crowd.clock.to_trio(due)), trio.socket.socket() as sock:
            try:
                await sock.connect(crowd.front.address(relay))
            except OSError:
                return
            said = await self._until_its_end(sock, deed, relay)
            if said.partition(b"\r\n")[0].partition(b" ")[0] not in ANSWERS:
                self._fault(relay, f"a client that {name} was told {said[:60]!r}")
            return
        # A process that was stopped ends nobody.
        if await ping(crowd.front.address(relay)) is Ping.ANSWERED:
            self._fault(relay, f"a client that {name} was not ended within 3 s")

    async def _until_its_end(self, sock: SocketType, deed: Deed, relay: int) -> bytes:
        said = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._do, deed, sock, relay)
            try:
                while data := await sock.recv(CHUNK):
                    said = (said + data)[:CHUNK]
            except OSError:
                pass
            nursery.cancel_scope.cancel()
        return said

    async def _do(self, deed: Deed, sock: SocketType, relay: int) -> None:
        try:
            await deed(sock, self._crowd, relay)
        except OSError:  # the relay has ended it, which is read where its answer is
            return

    def _fault(self, relay: int, words: str) -> None:
        self._crowd.seen.fault(self._crowd.clock.now_us(), relay, words)
