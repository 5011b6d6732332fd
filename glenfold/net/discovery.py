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
from glenfold.net.lists import LONGEST_LINE, Exchange, Objects, note_taken
from glenfold.rules.backoff import Backoff
from linnetspread import interface as i

MISSED_S = 6.0  # what discovery has counts as told so long after it could be reached, or a watch fell silent
LONGEST_SILENCE_S = 2.5  # a watch sends a line at least every 2 s
ANSWER_S = 1.0  # an agent that has been sent the list answers at once
ASKING_S = 3.0  # one that has to ask for all relays in turn answers, be it 503, ...
BUSY_S = 2.0  # ... after so long at the most
WHOLE_S = 6.0  # for a whole list that comes in steadily
LOOK_S = 0.01  # for what is there already, when it is looked for late
AGAIN_S = 0.25  # before a call after a fault
MOST_TIMES = 4.0  # of that and of the spread, after several calls in a row that were refused
LAG_S = 0.25  # kept of MISSED_S for a loop that lags
NEXT_CALL_S = MISSED_S - BUSY_S - LAG_S  # from the start of a call that tells nothing to the next one's
SOON_S = 0.75  # over which calls are spread while nothing says that discovery can't serve all at once
MOST_READ = 1 << 18


class Unavailable(Exception):
    """Discovery can't answer just now."""


FAULTS = (OSError, trio.TooSlowError, trio.BrokenResourceError, h11.ProtocolError, Unavailable)

ListHeard = Callable[[i.ServerList], Awaitable[None]]


class Silence:
    """`until`: when an agent that has said nothing up to then counts as dead, though TCP is not."""

    def __init__(self, until: float) -> None:
        self.until = until

    async def receive(self, stream: trio.SocketStream) -> bytes:
        """The next bytes; raises trio.TooSlowError. A loop that lags looks late: what is there by then is
        read, and only a watch that has nothing to be read is silent."""
        late = max(self.until, trio.current_time() + LOOK_S)
        with trio.fail_at(min(late, self.until + LONGEST_SILENCE_S)):
            return bytes(await stream.receive_some(MOST_READ))


class Discovery:
    """`spread_s`: the span over which one service could answer all relays; 0 where a call costs nobody else
    anything. `seed`: of the moments in it, another at each relay. `ask_within_s`: who has not asked for so
    long counts as told."""

    def __init__(
        self,
        address: Address,
        destinations: DestinationSet,
        heard: ListHeard,
        counters: Counters,
        spread_s: float = 0.0,
        seed: int = 0,
        ask_within_s: float = math.inf,
    ) -> None:
        self._address = address
        self._destinations = destinations
        self._heard = heard
        self._counters = counters
        self._answer_s = ASKING_S if spread_s else ANSWER_S
        self._backoff = Backoff(
            AGAIN_S, spread_s, MOST_TIMES if spread_s else 1.0, random.Random(seed), SOON_S
        )
        self._first_within_s = min(NEXT_CALL_S, ask_within_s)
        self._scope = trio.CancelScope()
        self._said = ""
        self._known_of: Address | None = None  # whose version is known: a watch there may go on from it
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
        wait_s, busy, began = 0.0, False, -math.inf
        if self._destinations.listed:  # with a list to go by it can wait for its turn
            self._known_of = self._address
            wait_s = self._backoff.first_delay_s(self._first_within_s)
        while True:
            address = self._address
            with trio.CancelScope() as self._scope:
                await trio.sleep_until(trio.current_time() + wait_s)
                began = trio.current_time()
                busy = await self._call()
            if self._address != address:
                self._backoff.reset()
                wait_s = self._backoff.first_delay_s(SOON_S)
            else:
                wait_s = self._backoff.retry_delay_s(
                    busy, max(began, self.heard_at) + NEXT_CALL_S - trio.current_time()
                )

    async def _call(self) -> bool:
        """To the end of a watch: whether the service can't be helped by another call soon."""
        unknown = self._known_of is None
        try:
            await self._watch()
        except BadList as error:
            self._known_of = None
            self._tell(error)
            return unknown  # once more: the whole list is none either
        except FAULTS as error:
            self._tell(error)
            return isinstance(error, Unavailable)
        return False

    def _tell(self, error: Exception) -> None:
        """An agent that is down fails alike each time."""
        said, self._said = self._said, repr(error)
        if self._said == said:
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
            if self._known_of != address:
                self._known_of = None  # a move may cut in once the list is read
                await self._take(await self._whole(connection, stream))
                self._known_of = address
                self.heard_at = trio.current_time()
                connection.start_next_cycle()
            line, objects, silence = b"", Objects(), Silence(trio.current_time() + self._answer_s)
            target = f"/v1/servers?watch=1&from={self._destinations.version}"
            async for part in self._get(connection, stream, target, silence):
                *lines, line = (line + part).split(b"\n")
                if len(line) + objects.size > LONGEST_LINE:
                    raise BadList("a line is too long")
                word = False
                for ended in lines:
                    if change := objects.take(ended):
                        await self._take(change)
                    word = word or not objects.size
                if word or not part:  # bytes of what does not become whole say nothing
                    silence.until = trio.current_time() + LONGEST_SILENCE_S
                if word:
                    self.heard_at = trio.current_time()
                    self._known_of = address
                    self._backoff.reset()
            if objects.size:
                raise BadList("a watch ended within an object")

    async def _whole(self, connection: h11.Connection, stream: trio.SocketStream) -> bytes:
        began, body = trio.current_time(), bytearray()
        silence = Silence(began + self._answer_s)
        async for part in self._get(connection, stream, "/v1/servers", silence):
            body += part
            if len(body) > LONGEST_LINE:
                raise BadList("the whole list is too long")
            silence.until = min(trio.current_time() + self._answer_s, began + WHOLE_S)
        return bytes(body)

    async def _get(
        self, connection: h11.Connection, stream: trio.SocketStream, target: str, silence: Silence
    ) -> AsyncIterator[bytes]:
        """Nothing once the answer has begun, then its body part by part."""
        exchange = Exchange(connection, stream)
        response = await exchange.begin(self._address, target, silence.receive)
        if response.status_code >= 500:
            raise Unavailable(f"{target} answers {response.status_code}")
        if response.status_code != 200:
            raise BadList(f"{target} answers {response.status_code}")
        yield b""
        while (part := await exchange.part(silence.receive)) is not None:
            yield part

    async def _take(self, text: bytes) -> None:
        try:
            document = json.loads(text)
        except (ValueError, RecursionError) as error:  # nested too deep: that would end the relay
            raise BadList(f"not JSON: {error}") from error
        servers = self._destinations.read(document)
        self._said = note_taken(self._destinations, self._counters, self._said)
        # A move or a silence that cut in here would leave the addresses and the decisions two lists apart.
        with trio.CancelScope(shield=True):
            await self._heard(servers)
        await trio.lowlevel.checkpoint_if_cancelled()  # what else the old one sent has no place after a move
