"""Misbehaving clients: a relay has to answer each with an error or close it within three seconds."""

from collections.abc import Awaitable, Callable
from itertools import cycle

import trio

from glenfold_lab.stand_ins.clients import ClientPool
from glenfold_lab.stand_ins.machine_clock import SECOND_US
from glenfold_lab.stand_ins.ping import PingResult, ping
from glenfold_lab.stand_ins.sockets import SocketType, send_all, shutdown_send

TIME_LIMIT_US = 3 * SECOND_US
TIME_TOLERANCE_US = 50_000
READ_BYTES = 4096
FLOOD = b"k" * 65536
# The end of the connection without any line is a valid answer too.
ANSWERS = (b"", b"ERR", b"BUSY")

Behaviour = Callable[[SocketType, ClientPool, int], Awaitable[None]]


def _sends(data: bytes, half_closes: bool = False) -> Behaviour:
    async def send(sock: SocketType, pool: ClientPool, relay: int) -> None:
        await send_all(sock, data)
        if half_closes:
            shutdown_send(sock)

    return send


async def _floods(sock: SocketType, pool: ClientPool, relay: int) -> None:
    while True:  # The relay or the time limit ends the loop.
        await send_all(sock, FLOOD)


async def _reuses_an_id(sock: SocketType, pool: ClientPool, relay: int) -> None:
    """Sends the first line of a standing connection that was opened at this relay, if there is one.

    Continued connections are left out, since their id may still be in use at the previous relay.
    """
    lines = [
        other.first_line
        for other in pool.standing
        if other.relay == relay and not any(mark in other.first_line for mark in (b"mid=1", b"at="))
    ]
    await send_all(sock, lines[0] if lines else b"OPEN\r\n")


BEHAVIOURS: dict[str, Behaviour] = {
    "speaks another protocol": _sends(b"GET / HTTP/1.1\r\n\r\n"),
    "is silent": _sends(b""),
    "names an unknown class": _sends(b"OPEN 1 2 c=nobody-s,d=2000\r\n"),
    "says half a line": _sends(b"OPEN 1 2 c="),
    "says half a line and ends": _sends(b"OPEN 1 2 c=", half_closes=True),
    "takes another's id": _reuses_an_id,
    "says a line without end": _sends(b"x" * 5000),
    "floods": _floods,
}


class BadClients:
    """Starts one client of each kind after another, `per_s` a second, spread over the relays in turn."""

    def __init__(self, pool: ClientPool, per_s: float) -> None:
        self._pool = pool
        self._gap_us = round(SECOND_US / per_s)

    async def run(self, until: int) -> None:
        """Starts clients until the time `until`, and waits for their ends."""
        pool, turn = self._pool, 0
        async with trio.open_nursery() as nursery:
            for name, behaviour in cycle(BEHAVIOURS.items()):
                await pool.clock.until(pool.start + turn * self._gap_us)
                if pool.clock.now_us() >= until:
                    return
                admitted = [relay for relay in pool.front.admitted if pool.front.reaches(relay)]
                if admitted:
                    nursery.start_soon(self._run_one, name, behaviour, admitted[turn % len(admitted)])
                turn += 1

    async def _run_one(self, name: str, behaviour: Behaviour, relay: int) -> None:
        pool = self._pool
        due = pool.clock.now_us() + TIME_LIMIT_US + TIME_TOLERANCE_US
        with trio.CancelScope(deadline=pool.clock.to_trio(due)), trio.socket.socket() as sock:
            try:
                await sock.connect(pool.front.address(relay))
            except OSError:
                return
            received = await self._read_to_end(sock, behaviour, relay)
            if received.partition(b"\r\n")[0].partition(b" ")[0] not in ANSWERS:
                self._fault(relay, f"a client that {name} was told {received[:60]!r}")
            return
        # A stopped process cannot end a connection, so only a relay that answers PING is at fault.
        if await ping(pool.front.address(relay)) is PingResult.ANSWERED:
            self._fault(relay, f"a client that {name} was not ended within 3 s")

    async def _read_to_end(self, sock: SocketType, behaviour: Behaviour, relay: int) -> bytes:
        received = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._behave, behaviour, sock, relay)
            try:
                while data := await sock.recv(READ_BYTES):
                    received = (received + data)[:READ_BYTES]
            except OSError:
                pass
            nursery.cancel_scope.cancel()
        return received

    async def _behave(self, behaviour: Behaviour, sock: SocketType, relay: int) -> None:
        try:
            await behaviour(sock, self._pool, relay)
        except OSError:  # The relay ended the connection; `_read_to_end` sees that too.
            return

    def _fault(self, relay: int, words: str) -> None:
        self._pool.seen.fault(self._pool.clock.now_us(), relay, words)
