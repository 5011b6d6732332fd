"""A replica's server in this process on an ephemeral loopback port, and children driven by a test."""

import json
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import h11
import trio

from glenfold.config.replica import Limits
from glenfold.replica.counters import ReplicaCounters
from glenfold.replica.server import EarlierChanges, Server
from glenfold.rules.replication import ListDocument

WITHIN_S = 10.0  # time limit for each expected event; exceeding it raises trio.TooSlowError


@dataclass
class RunningReplica:
    """A replica's server that is running, and its port."""

    server: Server
    counters: ReplicaCounters
    port: int
    scope: trio.CancelScope

    def publish(self, document: ListDocument, via: tuple[str, ...] = ()) -> None:
        self.server.publish(document, via)

    async def connect(self) -> "ChildConnection":
        return ChildConnection(await trio.open_tcp_stream("127.0.0.1", self.port))


@asynccontextmanager
async def running_replica(
    earlier: EarlierChanges | None = None, **limits: Any
) -> AsyncIterator[RunningReplica]:
    counters = ReplicaCounters()
    server = Server("north-1", Limits(**limits), counters, random.Random(7), earlier)
    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    listener.listen(512)
    with trio.fail_after(3 * WITHIN_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, listener)
            with trio.CancelScope() as scope:
                yield RunningReplica(server, counters, listener.getsockname()[1], scope)
            nursery.cancel_scope.cancel()


class ChildConnection:
    """One connection of a child, parsed with h11.

    `lines` holds the documents of a watch that were read ahead, with None for an empty line.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)
        self.lines: list[dict[str, Any] | None] = []
        self._line = b""

    async def ask(self, target: str, method: str = "GET", **fields: str) -> h11.Response:
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        headers = [("Host", "a"), *((name.replace("_", "-"), value) for name, value in fields.items())]
        request = h11.Request(method=method, target=target, headers=headers)
        await self.stream.send_all(self.http.send(request) + self.http.send(h11.EndOfMessage()))
        response = await self.next_event()
        assert isinstance(response, h11.Response)
        return response

    async def next_event(self, within_s: float = WITHIN_S) -> Any:
        with trio.fail_after(within_s):
            while (event := self.http.next_event()) is h11.NEED_DATA:
                self.http.receive_data(await self.stream.receive_some(1 << 16))
        return event

    async def read_list(self) -> dict[str, Any]:
        """Returns the body of a whole list."""
        body = b""
        while isinstance(event := await self.next_event(), h11.Data):
            body += bytes(event.data)
        assert isinstance(event, h11.EndOfMessage)
        return dict(json.loads(body))

    async def next_line(self, within_s: float = WITHIN_S) -> dict[str, Any] | None:
        """Returns the next line of a watch.

        Raises h11.RemoteProtocolError if the watch was interrupted, and EOFError at its regular end.
        """
        while not self.lines:
            event = await self.next_event(within_s)
            if not isinstance(event, h11.Data):
                raise EOFError
            *complete, self._line = (self._line + bytes(event.data)).split(b"\n")
            self.lines += [json.loads(line) if line else None for line in complete]
        return self.lines.pop(0)

    async def read_until_closed(self) -> bytes:
        """Returns the bytes that arrive until the replica closes or resets the connection."""
        received = b""
        with trio.fail_after(WITHIN_S):
            try:
                while data := await self.stream.receive_some(1 << 16):
                    received += data
            except trio.BrokenResourceError:
                pass
        return received


async def wait_until(condition: Any) -> None:
    """Polls until the condition is true, as counters have no event."""
    with trio.fail_after(WITHIN_S):
        while not condition():
            await trio.sleep(0.002)
