"""One call to a parent: reads the head of the response, then the list or the lines of the watch."""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import h11
import trio

from glenfold.config.platform import Parent
from glenfold.destinations import BadList
from glenfold.net.lists import MAX_LINE_BYTES, HttpExchange, ObjectReader
from glenfold.rules.parent_header import ParentHeader, ParentHeaderError, read_parent_header
from glenfold.rules.replication import INCARNATION_FIELD
from glenfold.rules.succession import Origin

ANSWER_TIMEOUT_S = 1.0  # from the start of the call to the end of the response head
WHOLE_LIST_TIMEOUT_S = 6.0  # for a whole list that arrives steadily
PATH = "/v1/servers"
MAX_READ_BYTES = 1 << 18
GONE = 410  # for the parent, the requested revision is in the future or of another history
# The errors of a call that failed or whose response is invalid.
CALL_ERRORS = (
    OSError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
    ParentHeaderError,
)


@dataclass(frozen=True, slots=True)
class Body:
    """The body of a list or change, as the parent sent it."""

    revision: int
    whole: bool
    entries: tuple[dict[str, Any], ...]
    left_out: int  # number of entries that are not JSON objects


def read_body(text: bytes) -> Body:
    """Parses a list or change. Raises BadList."""
    try:
        document = json.loads(text)
        revision, whole, listed = int(document["seq"]), bool(document["whole"]), list(document["hosts"])
    except (KeyError, TypeError, ValueError, OverflowError, RecursionError) as error:
        raise BadList(f"the list can't be parsed: {error!r}") from error
    if revision < 0:
        raise BadList(f"the list has the negative revision {revision}")
    entries = tuple(entry for entry in listed if isinstance(entry, dict))
    return Body(revision, whole, entries, len(listed) - len(entries))


class Call:
    """A call whose response head has been read. The caller that opened the call closes it."""

    def __init__(
        self,
        parent: Parent,
        revision: int | None,
        stream: trio.SocketStream,
        exchange: HttpExchange,
        response: h11.Response,
    ) -> None:
        self.parent = parent
        self.revision = revision  # start of the watch; None if the whole list was requested
        self.within_object = False  # whether a JSON object of the watch is incomplete
        self.status = response.status_code
        self.header: ParentHeader = read_parent_header(response.headers)
        self.origin = Origin(parent.address, self.header.incarnation)
        self.started_at_s = trio.current_time()
        self._stream = stream
        self._exchange = exchange

    @property
    def renewed_at_s(self) -> float:
        """When the source last renewed the list, by the age in the response head: 0 for the source itself."""
        return self.started_at_s - self.header.age_s

    async def read_list(self) -> Body:
        """Reads the body of a response that is one list. Raises BadList."""
        body = bytearray()
        with trio.fail_at(self.started_at_s + WHOLE_LIST_TIMEOUT_S):
            while (part := await self._exchange.part(_receive)) is not None:
                body += part
                if len(body) > MAX_LINE_BYTES:
                    raise BadList("the whole list is too long")
        return read_body(bytes(body))

    async def lines(self) -> AsyncIterator[Body | None]:
        """Yields each object of a watch once it is complete, and None for an empty line between objects.

        Raises BadList.
        """
        objects, line = ObjectReader(), bytearray()
        while (part := await self._exchange.part(_receive)) is not None:
            *complete_lines, rest = part.split(b"\n")
            for end in complete_lines:
                text = objects.take(bytes(line) + end)
                line.clear()
                if text:
                    yield read_body(text)
                elif not objects.size:
                    yield None
            line += rest
            self.within_object = bool(line or objects.size)
            if len(line) + objects.size > MAX_LINE_BYTES:
                raise BadList("a line of the watch is too long")
        if objects.size or line:
            raise BadList("the watch ended within a JSON object")

    def close(self) -> None:
        """Closes the connection at once, even while it is in use."""
        self._stream.socket.close()


async def open_call(parent: Parent, revision: int | None, incarnation: int | None) -> Call:
    """Requests a watch from `revision`, or the whole list if that is None.

    `incarnation` is None if it is not known. Raises OSError, h11.ProtocolError, trio.TooSlowError,
    trio.BrokenResourceError and ParentHeaderError.
    """
    target = PATH if revision is None else f"{PATH}?watch=1&from={revision}"
    fields = [] if incarnation is None else [(INCARNATION_FIELD, str(incarnation))]
    with trio.fail_at(trio.current_time() + ANSWER_TIMEOUT_S):
        stream = await trio.open_tcp_stream(*parent.address)
        try:
            exchange = HttpExchange(h11.Connection(h11.CLIENT), stream)
            response = await exchange.begin(parent.address, target, _receive, fields)
            return Call(parent, revision, stream, exchange, response)
        except BaseException:
            stream.socket.close()
            raise


async def _receive(stream: trio.SocketStream) -> bytes:
    return bytes(await stream.receive_some(MAX_READ_BYTES))
