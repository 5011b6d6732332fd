"""How long relays' event loops stand still, seen by a client that sends PING every few milliseconds."""

import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass

import trio

from glenfold_lab.scale.worker import Requests
from glenfold_lab.stand_ins.sockets import Address, send_all

PAUSE_S = 0.005  # from one answer to the next PING
CONNECTION_S = 1.0  # a relay gives a client 2 s for its first request
PONG = b"PONG\r\n"


@dataclass(frozen=True, slots=True)
class WatchLoops:
    """Begins to watch these relays, until `TellStops`. Answered with True."""

    relays: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class TellStops:
    """Ends the watch; answered with `Stops`."""


@dataclass(frozen=True, slots=True)
class Stops:
    """`longest_s` by relay: the longest time from a PING to its answer. `own_s`: the longest time by which
    the watching loop itself was late. `pings`: answered, by all relays."""

    longest_s: tuple[float, ...]
    own_s: float
    pings: int


class LoopWatch:
    def __init__(self, relays: Sequence[Address]) -> None:
        self._relays = relays
        self._longest = [0.0] * len(relays)
        self._own = 0.0
        self._pings = 0

    def stops(self) -> Stops:
        return Stops(tuple(self._longest), self._own, self._pings)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_itself)
            for place, address in enumerate(self._relays):
                nursery.start_soon(self._watch, place, address)

    async def _watch(self, place: int, address: Address) -> None:
        while True:
            with suppress(OSError):
                await self._one_connection(place, address)
            await trio.sleep(PAUSE_S)

    async def _one_connection(self, place: int, address: Address) -> None:
        with trio.socket.socket() as sock:
            await sock.connect(address)
            until = time.monotonic() + CONNECTION_S
            while time.monotonic() < until:
                asked_at = time.monotonic()
                await send_all(sock, b"PING\r\n")
                try:
                    answer = await sock.recv(len(PONG))
                finally:  # one that is cut short by the end of the watch counts as far as it went
                    waited = time.monotonic() - asked_at
                    self._longest[place] = max(self._longest[place], waited)
                if answer != PONG:
                    return
                self._pings += 1
                await trio.sleep(PAUSE_S)

    async def _watch_itself(self) -> None:
        while True:
            due = trio.current_time() + PAUSE_S
            await trio.sleep_until(due)
            self._own = max(self._own, trio.current_time() - due)


async def serve(requests: Requests) -> None:
    while (begin := await requests.next()) is not None:
        assert isinstance(begin, WatchLoops)
        watch = LoopWatch(begin.relays)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            requests.answer(True)
            end = await requests.next()
            assert end is None or isinstance(end, TellStops)
            nursery.cancel_scope.cancel()
        requests.answer(watch.stops())
