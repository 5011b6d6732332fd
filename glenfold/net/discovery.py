"""Discovery: a watch that goes on from the version known, and the whole list where that will not do."""

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

MAX_LIST_DELAY_S = (
    6.0  # what discovery has counts as told so long after it could be reached, or a watch fell silent
)
MAX_WATCH_SILENCE_S = 2.5  # a watch sends a line at least every 2 s
ANSWER_TIMEOUT_S = 1.0  # an agent that has been sent the list answers at once
ASKING_TIMEOUT_S = 3.0  # one that has to ask for all relays in turn answers, be it 503, ...
MAX_ASKING_ANSWER_S = 2.0  # ... after so long at the most
FULL_LIST_TIMEOUT_S = 6.0  # for a whole list that comes in steadily
LATE_READ_S = 0.01  # for what is there already, when it is looked for late
RETRY_DELAY_S = 0.25  # before a call after a fault
MAX_BACKOFF_FACTOR = 4.0  # of that and of the spread, after several calls in a row that were refused
LOOP_LAG_MARGIN_S = 0.25  # kept of MISSED_S for a loop that lags
CALL_INTERVAL_S = (
    MAX_LIST_DELAY_S - MAX_ASKING_ANSWER_S - LOOP_LAG_MARGIN_S
)  # from the start of a call that tells nothing to the next one's
CALL_SPREAD_S = 0.75  # over which calls are spread while nothing says that discovery can't serve all at once
MAX_READ_BYTES = 1 << 18


class Unavailable(Exception):
    """Discovery can't answer just now."""


CALL_ERRORS = (OSError, trio.TooSlowError, trio.BrokenResourceError, h11.ProtocolError, Unavailable)

ListCallback = Callable[[interface.ServerList], Awaitable[None]]


class SilenceTimeout:
    """`until`: when an agent that has said nothing up to then counts as dead, though TCP is not."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline

    async def receive(self, stream: trio.SocketStream) -> bytes:
        """The next bytes; raises trio.TooSlowError. A loop that lags looks late: what is there by then is
        read, and only a watch that has nothing to be read is silent."""
        late = max(self.deadline, trio.current_time() + LATE_READ_S)
        with trio.fail_at(min(late, self.deadline + MAX_WATCH_SILENCE_S)):
            return bytes(await stream.receive_some(MAX_READ_BYTES))


class Discovery:
    """`spread_s`: the span over which one service could answer all relays; 0 where a call costs nobody else
    anything. `seed`: of the moments in it, another at each relay. `ask_within_s`: who has not asked for so
    long counts as told."""

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
        self._version_source: Address | None = None  # whose version is known: a watch there may go on from it
        self.heard_at = -math.inf  # when the agent last said that what is known holds

    def move_to(self, address: Address) -> None:
        """From now on discovery is there; what was heard so far holds until it says otherwise. The new one
        may count its versions otherwise, and has no part in the faults of the old one."""
        if address != self._address:
            self._address = address
            self._scope.cancel()

    async def follow(self) -> None:
        """Each call costs discovery, and after a fault of its own all relays make one: a watch that broke off
        goes on from the version known. Only an agent that has not spoken yet, or that sent what is no list,
        is asked for the whole list first."""
        wait_s, busy, started_at = 0.0, False, -math.inf
        if self._destinations.listed:  # with a list to go by it can wait for its turn
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
        """To the end of a watch: whether the service can't be helped by another call soon."""
        unknown = self._version_source is None
        try:
            await self._watch()
        except BadList as error:
            self._version_source = None
            self._log(error)
            return unknown  # once more: the whole list is none either
        except CALL_ERRORS as error:
            self._log(error)
            return isinstance(error, Unavailable)
        return False

    def _log(self, error: Exception) -> None:
        """An agent that is down fails alike each time."""
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
                self._version_source = None  # a move may cut in once the list is read
                await self._apply(await self._full_list(connection, stream))
                self._version_source = address
                self.heard_at = trio.current_time()
                connection.start_next_cycle()
            line, objects, silence_timeout = (
                b"",
                ObjectReader(),
                SilenceTimeout(trio.current_time() + self._answer_s),
            )
            target = f"/v1/servers?watch=1&from={self._destinations.version}"
            async for part in self._get(connection, stream, target, silence_timeout):
                *lines, line = (line + part).split(b"\n")
                if len(line) + objects.size > MAX_LINE_BYTES:
                    raise BadList("a line is too long")
                has_complete_line = False
                for ended in lines:
                    if change := objects.take(ended):
                        await self._apply(change)
                    has_complete_line = has_complete_line or not objects.size
                if has_complete_line or not part:  # bytes of what does not become whole say nothing
                    silence_timeout.deadline = trio.current_time() + MAX_WATCH_SILENCE_S
                if has_complete_line:
                    self.heard_at = trio.current_time()
                    self._version_source = address
                    self._backoff.worked()
            if objects.size:
                raise BadList("a watch ended within an object")

    async def _full_list(self, connection: h11.Connection, stream: trio.SocketStream) -> bytes:
        started_at, body = trio.current_time(), bytearray()
        silence_timeout = SilenceTimeout(started_at + self._answer_s)
        async for part in self._get(connection, stream, "/v1/servers", silence_timeout):
            body += part
            if len(body) > MAX_LINE_BYTES:
                raise BadList("the whole list is too long")
            silence_timeout.deadline = min(
                trio.current_time() + self._answer_s, started_at + FULL_LIST_TIMEOUT_S
            )
        return bytes(body)

    async def _get(
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        target: str,
        silence_timeout: SilenceTimeout,
    ) -> AsyncIterator[bytes]:
        """Nothing once the answer has begun, then its body part by part."""
        exchange = HttpExchange(connection, stream)
        response = await exchange.begin(self._address, target, silence_timeout.receive)
        if response.status_code >= 500:
            raise Unavailable(f"{target} answers {response.status_code}")
        if response.status_code != 200:
            raise BadList(f"{target} answers {response.status_code}")
        yield b""
        while (part := await exchange.part(silence_timeout.receive)) is not None:
            yield part

    async def _apply(self, text: bytes) -> None:
        try:
            document = json.loads(text)
        except (ValueError, RecursionError) as error:  # nested too deep: that would end the relay
            raise BadList(f"not JSON: {error}") from error
        servers = self._destinations.read(document)
        self._last_reported = record_list(self._destinations, self._counters, self._last_reported)
        # A move or a silence that cut in here would leave the addresses and the decisions two lists apart.
        with trio.CancelScope(shield=True):
            await self._on_list(servers)
        await trio.lowlevel.checkpoint_if_cancelled()  # what else the old one sent has no place after a move
