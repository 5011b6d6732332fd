"""HTTP calls to discovery and the JSON objects of a watch, shared by all that follow server lists."""

import re
from collections.abc import Awaitable, Callable, Sequence

import h11
import trio

from glenfold import events
from glenfold.config.address import Address, format_address
from glenfold.counters import Counters
from glenfold.destinations import DestinationSet

MAX_LINE_BYTES = 4 << 20  # Also limits a JSON object of several lines, and a whole list.
STRING_PATTERN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')
BRACKET_PATTERN = re.compile(rb"[][{}]")

Receive = Callable[[trio.SocketStream], Awaitable[bytes]]


def record_list(destinations: DestinationSet, counters: Counters, last_reported: str) -> str:
    """Counts the list that was read last and logs its entries that were left out as invalid.

    `last_reported` is the problem logged last: the same invalid entry comes with every list and is not logged
    again. Returns the new value for it.
    """
    counters.lists += 1
    for problem in destinations.problems:
        counters.bad_entries += 1
        if problem != last_reported:
            events.list_entry_left_out(fault=problem)
        last_reported = problem
    return last_reported


class ObjectReader:
    """Assembles the JSON objects of a watch from its lines.

    An object takes one line or, if indented, extends to the line that closes its last bracket. Each line is
    scanned once, however many lines an object has.
    """

    def __init__(self) -> None:
        self._pending_lines: list[bytes] = []
        self._open_brackets = bytearray()  # brackets of the pending object that are not closed yet
        self.size = 0  # bytes of the pending object

    def take(self, line: bytes) -> bytes:
        """Returns the object that `line` completes, or empty bytes if it is not complete yet.

        Text that can't become an object is returned as it is, for the JSON parser to refuse.
        """
        if line.strip():
            self._pending_lines.append(line)
            self.size += len(line)
            if self._is_incomplete(STRING_PATTERN.sub(b"", line)):
                return b""
        text, self._pending_lines, self.size = b"\n".join(self._pending_lines), [], 0
        self._open_brackets.clear()
        return text  # an empty line separates objects, so it ends even an incomplete one

    def _is_incomplete(self, bare: bytes) -> bool:
        if b'"' in bare or (self._open_brackets.endswith(b"{") and bare.lstrip().startswith(b"{")):
            return False  # the object broke off: an unterminated string, or an object in place of a key
        for bracket in BRACKET_PATTERN.findall(bare):
            if bracket in b"[{":
                self._open_brackets += bracket
            else:
                del self._open_brackets[-1:]
        return bool(self._open_brackets)


class HttpExchange:
    """One GET request on a connection and its response.

    `receive` returns the next bytes of the stream and enforces its own deadline.
    """

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
        """Sends the request and returns the head of the response.

        `fields` are further header fields of the request.
        """
        request = h11.Request(
            method="GET", target=target, headers=[("Host", format_address(address)), *fields]
        )
        for part in (request, h11.EndOfMessage()):
            await self._stream.send_all(self._connection.send(part) or b"")
        while not isinstance(event := await self._event(receive), h11.Response):
            pass
        return event

    async def part(self, receive: Receive) -> bytes | None:
        """Returns the next part of the body, or None at its end."""
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
