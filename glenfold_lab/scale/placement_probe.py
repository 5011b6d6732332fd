"""Requests whose only purpose is to see where a relay places them, and the push servers that answer them."""

import itertools
import time
from collections.abc import Iterable
from contextlib import suppress

import trio

from glenfold_lab.stand_ins.sockets import Address, SocketType, bind, format_address, send_all, shutdown_send

HOST = "127.0.0.1"
BACKLOG = 256
CHUNK = 4096
WAIT_MS = 20_000  # for an answer
PAUSE_S = 0.01  # between two requests with one key
PAUSE_PART = 0.02  # or this part of the time since the change, if longer: a slow relay is not pressed more
NOBODY = "-"  # the name of all servers that are not told apart


class PushServers:
    """Names of servers that say which one took a request; all others share one address."""

    def __init__(self, told_apart: Iterable[str]) -> None:
        self._listeners = {name: bind(HOST) for name in (NOBODY, *told_apart)}

    def dial(self, name: str) -> str:
        """HOST:PORT at which discovery should list this server."""
        return format_address(self._listeners.get(name, self._listeners[NOBODY]).getsockname())

    async def serve(self) -> None:
        async with trio.open_nursery() as nursery:
            for name, listener in self._listeners.items():
                listener.listen(BACKLOG)
                nursery.start_soon(self._accept, name, listener, nursery)

    async def _accept(self, name: str, listener: SocketType, nursery: trio.Nursery) -> None:
        while True:
            sock, _ = await listener.accept()
            nursery.start_soon(self._converse, name, sock)

    async def _converse(self, name: str, sock: SocketType) -> None:
        """Up at once, and over when the client has ended its side."""
        with sock, suppress(OSError):
            if await sock.recv(CHUNK):
                await send_all(sock, f"UP {name}\r\n".encode())
                while await sock.recv(CHUNK):
                    pass
                await send_all(sock, b"BYE\r\n")


class PlacementProbe:
    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self.unserved = 0  # requests that were refused or failed

    async def place(self, relay: Address, key: int) -> str | None:
        """The name of the server that took a request with this key; None if it was refused or failed."""
        with trio.socket.socket() as sock:
            await sock.connect(relay)
            line = f"OPEN {next(self._ids):x} {key:x} c=watch,t=all,d={WAIT_MS}\r\n"
            await send_all(sock, line.encode())
            word, _, name = (await sock.recv(CHUNK)).decode().rstrip().partition(" ")
            shutdown_send(sock)
            while await sock.recv(CHUNK):
                pass
        if word != "UP":
            self.unserved += 1
            return None
        return name

    async def until_elsewhere(self, relay: Address, key: int, name: str) -> float:
        """When a request with this key was first answered by another server than this one, in seconds of
        CLOCK_MONOTONIC. Runs until it is cancelled if none is."""
        began = time.monotonic()
        while True:
            with suppress(OSError):
                placed = await self.place(relay, key)
                if placed not in (name, None):
                    return time.monotonic()
            await trio.sleep(max(PAUSE_S, PAUSE_PART * (time.monotonic() - began)))
