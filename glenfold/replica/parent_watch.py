"""One call of a parent: the head of its answer, and then the objects and empty lines of its watch."""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import h11
import trio

from glenfold.config.platform import Parent
from glenfold.destinations import BadList
from glenfold.net.lists import LONGEST_LINE, Exchange, Objects
from glenfold.rules.greeting import BadGreeting, Greeting, read_greeting
from glenfold.rules.replication import INCARNATION_FIELD
from glenfold.rules.succession import Origin

ANSWER_TIMEOUT_S = 1.0  # from a call to the head of its answer
WHOLE_LIST_TIMEOUT_S = 6.0  # for a whole list that comes in steadily
PATH = "/v1/servers"
MAX_READ_BYTES = 1 << 18  # bytes at once
GONE = 410  # the revision asked for is of the future there, or of another history
# Of a call that has failed, or whose answer is none.
CALL_ERRORS = (
    OSError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
    BadGreeting,
)


@dataclass(frozen=True, slots=True)
class Body:
    """Of a list or change, as it was sent."""

    revision: int
    whole: bool
    entries: tuple[dict[str, Any], ...]
    left_out: int  # entries that are no objects


def read_body(text: bytes) -> Body:
    """Raises BadList."""
    try:
        document = json.loads(text)
        revision, whole, listed = int(document["seq"]), bool(document["whole"]), list(document["hosts"])
    except (KeyError, TypeError, ValueError, OverflowError, RecursionError) as error:
        raise BadList(f"a list can't be read: {error!r}") from error
    if revision < 0:
        raise BadList(f"a list has the revision {revision}")
    entries = tuple(entry for entry in listed if isinstance(entry, dict))
    return Body(revision, whole, entries, len(listed) - len(entries))


class Call:
    """A call whose answer has begun. It is closed by who opened it."""

    def __init__(
        self,
        parent: Parent,
        revision: int | None,
        stream: trio.SocketStream,
        exchange: Exchange,
        response: h11.Response,
    ) -> None:
        self.parent = parent
        self.revision = revision  # that its watch goes on from; None: the whole list was asked for
        self.within_object = False  # of a watch: one has begun and not ended
        self.status = response.status_code
        self.greeting: Greeting = read_greeting(response.headers)
        self.origin = Origin(parent.address, self.greeting.incarnation)
        self.started_at_s = trio.current_time()
        self._stream = stream
        self._exchange = exchange

    @property
    def renewed_at_s(self) -> float:
        """By what the answer's head says; of the source itself, what it will say."""
        return self.started_at_s - self.greeting.age_s

    async def whole(self) -> Body:
        """The body of an answer that is one list. Raises BadList."""
        body = bytearray()
        with trio.fail_at(self.started_at_s + WHOLE_LIST_TIMEOUT_S):
            while (part := await self._exchange.part(_receive)) is not None:
                body += part
                if len(body) > LONGEST_LINE:
                    raise BadList("the whole list is too long")
        return read_body(bytes(body))

    async def lines(self) -> AsyncIterator[Body | None]:
        """Of a watch, up to its end: each object once it is whole, None for an empty line between objects.
        Raises BadList."""
        objects, line = Objects(), bytearray()
        while (part := await self._exchange.part(_receive)) is not None:
            *ended, rest = part.split(b"\n")
            for end in ended:
                text = objects.take(bytes(line) + end)
                line.clear()
                if text:
                    yield read_body(text)
                elif not objects.size:
                    yield None
            line += rest
            self.within_object = bool(line or objects.size)
            if len(line) + objects.size > LONGEST_LINE:
                raise BadList("a line is too long")
        if objects.size or line:
            raise BadList("a watch ended within an object")

    def close(self) -> None:
        """At once, whatever is under way."""
        self._stream.socket.close()


async def open_call(parent: Parent, revision: int | None, incarnation: int | None) -> Call:
    """A watch from that revision, None: the whole list. `incarnation`: None if it is not known. Raises
    OSError, h11.ProtocolError, trio.TooSlowError, trio.BrokenResourceError and BadGreeting."""
    target = PATH if revision is None else f"{PATH}?watch=1&from={revision}"
    fields = [] if incarnation is None else [(INCARNATION_FIELD, str(incarnation))]
    with trio.fail_at(trio.current_time() + ANSWER_TIMEOUT_S):
        stream = await trio.open_tcp_stream(*parent.address)
        try:
            exchange = Exchange(h11.Connection(h11.CLIENT), stream)
            response = await exchange.begin(parent.address, target, _receive, fields)
            return Call(parent, revision, stream, exchange, response)
        except BaseException:
            stream.socket.close()
            raise


async def _receive(stream: trio.SocketStream) -> bytes:
    return bytes(await stream.receive_some(MAX_READ_BYTES))
