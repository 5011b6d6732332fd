"""Client of discovery: watches the server list from the version known, or fetches the whole list first."""

import json
import math
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import h11
import trio

from glenfold import events
from glenfold.config import Address
from glenfold.counters import Counters
from glenfold.destinations import BadList, DestinationSet
from glenfold.net.lists import MAX_LINE_BYTES, HttpExchange, ObjectReader, record_list
from glenfold.rules.backoff import Backoff
from linnetspread import interface

# A change that discovery holds counts as received by every relay this long after discovery became reachable
# again, or after a watch fell silent.
MAX_LIST_DELAY_S = 6.0
MAX_WATCH_SILENCE_S = 2.5  # Discovery sends a line on each watch at least every 2 s.
ANSWER_TIMEOUT_S = 1.0  # An agent to which lists are pushed answers from memory.
ASKING_TIMEOUT_S = 3.0  # An agent that asks the service for all relays in turn needs longer.
MAX_ASKING_ANSWER_S = 2.0  # Such an agent answers within this time, if only with 503.
FULL_LIST_TIMEOUT_S = 6.0  # Limits a whole list that arrives slowly but steadily.
LATE_READ_S = 0.01  # Enough to read bytes that arrived before a late read.
RETRY_DELAY_S = 0.25  # Delay before a call that follows a failed one.
MAX_BACKOFF_FACTOR = 4.0  # Limits the growth of the retry delay and the spread after refused calls in a row.
LOOP_LAG_MARGIN_S = 0.25  # Part of MAX_LIST_DELAY_S that is reserved for a lagging event loop.
# From the start of a call that brought no list to the start of the next one.
CALL_INTERVAL_S = MAX_LIST_DELAY_S - MAX_ASKING_ANSWER_S - LOOP_LAG_MARGIN_S
# Calls are spread over this time as long as discovery has not shown that it can't serve all relays at once.
CALL_SPREAD_S = 0.75
MAX_READ_BYTES = 1 << 18


class Unavailable(Exception):
    """Raised when discovery answers with a server error (5xx)."""


CALL_ERRORS = (OSError, trio.TooSlowError, trio.BrokenResourceError, h11.ProtocolError, Unavailable)

ListCallback = Callable[[interface.ServerList], Awaitable[None]]


class SilenceTimeout:
    """Time limit on an agent that sends nothing although its TCP connection stays open.

    `deadline` is in trio's clock; the reader moves it forward as data arrives.
    """

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline

    async def receive(self, stream: trio.SocketStream) -> bytes:
        """Returns the next bytes; raises trio.TooSlowError after the deadline.

        A lagging event loop may read only after the deadline. Bytes that have arrived by then are still read,
        so that only a watch without any counts as silent.
        """
        late = max(self.deadline, trio.current_time() + LATE_READ_S)
        with trio.fail_at(min(late, self.deadline + MAX_WATCH_SILENCE_S)):
            return bytes(await stream.receive_some(MAX_READ_BYTES))


class Discovery:
    """Follows the server list of one discovery address and passes each list to a callback.

    `spread_s` is the time in which one service could answer all relays; 0 where a call costs no other relay
    anything. `seed` determines this relay's call times within that time and differs between relays.
    `ask_within_s` limits the delay of the first call: a relay that has not asked for that long counts as
    informed.
    """

    def __init__(
        self,
        address: Address,
        destinations: DestinationSet,
        on_list: ListCallback,
        counters: Counters,
        spread_s: float = 0.0,
        seed: int = 0,
        ask_within_s: float = math.inf,
    ) -> None:
        self._address = address
        self._destinations = destinations
        self._on_list = on_list
        self._counters = counters
        self._answer_s = ASKING_TIMEOUT_S if spread_s else ANSWER_TIMEOUT_S
        self._backoff = Backoff(
            RETRY_DELAY_S,
            spread_s,
            MAX_BACKOFF_FACTOR if spread_s else 1.0,
            random.Random(seed),
            CALL_SPREAD_S,
        )
        self._first_within_s = min(CALL_INTERVAL_S, ask_within_s)
        self._scope = trio.CancelScope()
        self._last_reported = ""
        # The address that counts the version known, so that a watch on it may continue from that version.
        self._version_source: Address | None = None
        self.heard_at = -math.inf  # When the agent last confirmed that the list known is current.

    def move_to(self, address: Address) -> None:
        """Switches to the discovery at `address`; the list known stays valid until that one sends another.

        The new discovery may number its versions differently, and failures of the old one do not delay calls
        to it.
        """
        if address != self._address:
            self._address = address
            self._scope.cancel()

    async def follow(self) -> None:
        """Keeps a watch open, with delays between calls, until cancelled.

        Each call costs discovery, and after a failure of discovery all relays call at once. So a watch that
        broke off continues from the version known. The whole list is fetched first only from an agent that
        has not sent a list yet, or whose last list was invalid.
        """
        wait_s, busy, started_at = 0.0, False, -math.inf
        if self._destinations.listed:  # a relay that has a list can wait for its turn
            self._version_source = self._address
            wait_s = self._backoff.first_s(self._first_within_s)
        while True:
            address = self._address
            with trio.CancelScope() as self._scope:
                await trio.sleep_until(trio.current_time() + wait_s)
                started_at = trio.current_time()
                busy = await self._call()
            if self._address != address:
                self._backoff.worked()
                wait_s = self._backoff.first_s(CALL_SPREAD_S)
            else:
                wait_s = self._backoff.again_s(
                    busy, max(started_at, self.heard_at) + CALL_INTERVAL_S - trio.current_time()
                )

    async def _call(self) -> bool:
        """Makes one call and follows its watch to the end; returns whether the next call should back off.

        That is so if discovery answered with a server error, or if the whole list was invalid too.
        """
        unknown = self._version_source is None
        try:
            await self._watch()
        except BadList as error:
            self._version_source = None
            self._log(error)
            return unknown  # the whole list was invalid, so another call would get the same
        except CALL_ERRORS as error:
            self._log(error)
            return isinstance(error, Unavailable)
        return False

    def _log(self, error: Exception) -> None:
        """Logs `error` unless it equals the last one: an agent that is down always fails the same way."""
        last_reported, self._last_reported = self._last_reported, repr(error)
        if self._last_reported == last_reported:
            return
        if isinstance(error, BadList):
            events.list_refused(error=error)
        else:
            events.discovery_failed(error=error)

    async def _watch(self) -> None:
        address = self._address
        with trio.fail_at(trio.current_time() + self._answer_s):
            stream = await trio.open_tcp_stream(*address)
        async with stream:
            connection = h11.Connection(h11.CLIENT)
            if self._version_source != address:
                self._version_source = None  # `move_to` may cancel the call after the list is read
                await self._apply(await self._full_list(connection, stream))
                self._version_source = address
                self.heard_at = trio.current_time()
                connection.start_next_cycle()
            line, objects, silence = b"", ObjectReader(), SilenceTimeout(trio.current_time() + self._answer_s)
            target = f"/v1/servers?watch=1&from={self._destinations.version}"
            async for part in self._get(connection, stream, target, silence):
                *lines, line = (line + part).split(b"\n")
                if len(line) + objects.size > MAX_LINE_BYTES:
                    raise BadList("a line or JSON object of a watch is longer than 4 MiB")
                has_complete_line = False
                for ended in lines:
                    if change := objects.take(ended):
                        await self._apply(change)
                    has_complete_line = has_complete_line or not objects.size
                if has_complete_line or not part:  # bytes of an incomplete line do not count as activity
                    silence.deadline = trio.current_time() + MAX_WATCH_SILENCE_S
                if has_complete_line:
                    self.heard_at = trio.current_time()
                    self._version_source = address
                    self._backoff.worked()
            if objects.size:
                raise BadList("a watch ended in the middle of a JSON object")

    async def _full_list(self, connection: h11.Connection, stream: trio.SocketStream) -> bytes:
        """Fetches the JSON text of the whole list."""
        started_at, body = trio.current_time(), bytearray()
        silence = SilenceTimeout(started_at + self._answer_s)
        async for part in self._get(connection, stream, "/v1/servers", silence):
            body += part
            if len(body) > MAX_LINE_BYTES:
                raise BadList("the whole list is longer than 4 MiB")
            silence.deadline = min(trio.current_time() + self._answer_s, started_at + FULL_LIST_TIMEOUT_S)
        return bytes(body)

    async def _get(
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        target: str,
        silence: SilenceTimeout,
    ) -> AsyncIterator[bytes]:
        """Yields empty bytes when a response with status 200 has begun, then its body part by part.

        Raises Unavailable for a 5xx status, BadList for any other.
        """
        exchange = HttpExchange(connection, stream)
        response = await exchange.begin(self._address, target, silence.receive)
        if response.status_code >= 500:
            raise Unavailable(f"{target} answers {response.status_code}")
        if response.status_code != 200:
            raise BadList(f"{target} answers {response.status_code}")
        yield b""
        while (part := await exchange.part(silence.receive)) is not None:
            yield part

    async def _apply(self, text: bytes) -> None:
        """Reads a list or a change from its JSON text and passes it to the callback; raises BadList."""
        try:
            document = json.loads(text)
        except (ValueError, RecursionError) as error:  # deep nesting must not end the relay
            raise BadList(f"not JSON: {error}") from error
        servers = self._destinations.read(document)
        self._last_reported = record_list(self._destinations, self._counters, self._last_reported)
        # Cancelling here, by `move_to` or a silence timeout, would leave the addresses and the decisions with
        # different lists.
        with trio.CancelScope(shield=True):
            await self._on_list(servers)
        # After `move_to`, further lists of the old address are dropped.
        await trio.lowlevel.checkpoint_if_cancelled()
