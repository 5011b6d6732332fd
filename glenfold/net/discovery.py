"""Discovery: the whole list, then a watch on it, again and again."""

import json
import math
from collections.abc import AsyncIterator, Awaitable, Callable

import h11
import trio

from glenfold import events
from glenfold.config import Address
from glenfold.counters import Counters
from glenfold.destinations import BadList, DestinationSet
from linnetspread import interface as i

LONGEST_SILENCE_S = 4.0  # a watch sends a line at least every 2 s
ANSWER_S = 2.0           # the agent answers at once, or is down
AGAIN_S = 0.25
LONGEST_LINE = 4 << 20
FAULTS = (OSError, trio.TooSlowError, trio.BrokenResourceError, h11.ProtocolError)

ListHeard = Callable[[i.ServerList], Awaitable[None]]


class Discovery:
    def __init__(self, address: Address, destinations: DestinationSet, heard: ListHeard,
                 counters: Counters) -> None:
        self._address = address
        self._destinations = destinations
        self._heard = heard
        self._counters = counters
        self._scope = trio.CancelScope()
        self._said = ""
        self.heard_at = -math.inf  # when the agent last said that what is known holds

    def move_to(self, address: Address) -> None:
        """From now on discovery is there; what was heard so far holds until it says otherwise."""
        if address != self._address:
            self._address = address
            self._scope.cancel()

    async def follow(self) -> None:
        """Whatever ends a watch, the next one starts from a whole list: a change may have been missed."""
        while True:
            with trio.CancelScope() as self._scope:
                try:
                    await self._whole_and_watch()
                except (*FAULTS, BadList) as error:
                    self._tell(error)
                await trio.sleep_until(trio.current_time() + AGAIN_S)

    def _tell(self, error: Exception) -> None:
        """An agent that is down fails alike four times a second."""
        said, self._said = self._said, repr(error)
        if self._said == said:
            return
        if isinstance(error, BadList):
            events.list_refused(error=error)
        else:
            events.discovery_failed(error=error)

    async def _whole_and_watch(self) -> None:
        with trio.fail_at(trio.current_time() + ANSWER_S) as silence:
            stream = await trio.open_tcp_stream(*self._address)
            async with stream:
                connection = h11.Connection(h11.CLIENT)
                body = b"".join([part async for part in self._get(connection, stream, "/v1/servers")])
                version = await self._take(body)
                self.heard_at = trio.current_time()
                connection.start_next_cycle()
                line = b""
                async for part in self._get(connection, stream, f"/v1/servers?watch=1&from={version}"):
                    # A watch that says nothing, not even that nothing changed, is dead though TCP is not.
                    silence.deadline = trio.current_time() + LONGEST_SILENCE_S
                    *lines, line = (line + part).split(b"\n")
                    if len(line) > LONGEST_LINE:
                        raise BadList("a line is too long")
                    for change in filter(bytes.strip, lines):
                        await self._take(change)
                    self.heard_at = trio.current_time()

    async def _get(self, connection: h11.Connection, stream: trio.SocketStream,
                   target: str) -> AsyncIterator[bytes]:
        host = f"{self._address[0]}:{self._address[1]}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        for part in (request, h11.EndOfMessage()):
            await stream.send_all(connection.send(part) or b"")
        size = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise BadList(f"{target} answers {event.status_code}")
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if "watch" not in target and size > LONGEST_LINE:
                    raise BadList("the whole list is too long")
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("discovery closed the connection")

    async def _take(self, text: bytes) -> int:
        try:
            document = json.loads(text)
        except (ValueError, RecursionError) as error:  # nested too deep: that would end the relay
            raise BadList(f"not JSON: {error}") from error
        servers = self._destinations.read(document)
        self._counters.lists += 1
        for fault in self._destinations.faults:
            self._counters.bad_entries += 1
            if fault != self._said:  # the same entry comes with every list
                events.list_entry_left_out(fault=fault)
            self._said = fault
        # A move or a silence that cut in here would leave the addresses and the decisions two lists apart.
        with trio.CancelScope(shield=True):
            await self._heard(servers)
        return self._destinations.version
