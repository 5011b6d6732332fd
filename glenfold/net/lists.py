"""Calls of discovery's HTTP form, and the JSON objects of a watch: what all that follow lists share."""

import re
from collections.abc import Awaitable, Callable, Sequence

import h11
import trio

from glenfold import events
from glenfold.config.platform import Address, written
from glenfold.counters import Counters
from glenfold.destinations import DestinationSet

LONGEST_LINE = 4 << 20
STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')
BRACKET = re.compile(rb"[][{}]")

Receive = Callable[[trio.SocketStream], Awaitable[bytes]]


def note_taken(destinations: DestinationSet, counters: Counters, said: str) -> str:
    """Counts the list that was read last, and logs the entries it was left without. `said`: what was logged
    last, as the same entry comes with every list; what is now."""
    counters.lists += 1
    for fault in destinations.problems:
        counters.bad_entries += 1
        if fault != said:
            events.list_entry_left_out(fault=fault)
        said = fault
    return said


class Objects:
    """A watch's JSON objects from its lines: one a line, or indented. Then it goes on to the line that closes
    all its brackets. Each line is looked at once, however many an object has."""

    def __init__(self) -> None:
        self._begun: list[bytes] = []
        self._open = bytearray()  # its brackets that no line has closed
        self.size = 0  # bytes of the object that has begun

    def take(self, line: bytes) -> bytes:
        """The object that this line ends, or nothing. What can't become one is handed on as it is."""
        if line.strip():
            self._begun.append(line)
            self.size += len(line)
            if self._goes_on(STRING.sub(b"", line)):
                return b""
        text, self._begun, self.size = b"\n".join(self._begun), [], 0
        self._open.clear()
        return text  # after an empty line, which stands between objects, be it whole or not

    def _goes_on(self, bare: bytes) -> bool:
        if b'"' in bare or (self._open.endswith(b"{") and bare.lstrip().startswith(b"{")):
            return False  # a string that no line ends, an object where a name should stand: it broke off
        for bracket in BRACKET.findall(bare):
            if bracket in b"[{":
                self._open += bracket
            else:
                del self._open[-1:]
        return bool(self._open)


class Exchange:
    """One GET on a connection. `receive` gives the next bytes of the stream within its own deadline."""

    def __init__(self, connection: h11.Connection, stream: trio.SocketStream) -> None:
        self._connection = connection
        self._stream = stream

    async def begin(
        self,
        address: Address,
        target: str,
        receive: Receive,
        fields: Sequence[tuple[str, str]] = (),
    ) -> h11.Response:
        """Sends the request; the head of the answer. `fields`: more of the request's header."""
        request = h11.Request(method="GET", target=target, headers=[("Host", written(address)), *fields])
        for part in (request, h11.EndOfMessage()):
            await self._stream.send_all(self._connection.send(part) or b"")
        while not isinstance(event := await self._event(receive), h11.Response):
            pass
        return event

    async def part(self, receive: Receive) -> bytes | None:
        """The next part of the body; None at its end."""
        while True:
            match await self._event(receive):
                case h11.Data(data=data):
                    return bytes(data)
                case h11.EndOfMessage():
                    return None

    async def _event(self, receive: Receive) -> object:
        while (event := self._connection.next_event()) is h11.NEED_DATA:
            self._connection.receive_data(await receive(self._stream))
        if isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("discovery closed the connection")
        return event
