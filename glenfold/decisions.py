"""The task that owns the decision module and its timers. It knows neither sockets nor protocols.

Others reach it by a bounded memory channel only. Actions on a request go back over the request's own one.
"""

from dataclasses import dataclass

import trio

from glenfold import events
from glenfold.clock import Clock
from glenfold.dispatch import Dispatch, RequestAction
from glenfold.rules.list_changes import merge_changes
from linnetspread import interface as i

QUEUE = 1024  # messages; senders wait when it is full
JOIN_S = (
    0.02  # for which changes of the list that keep coming are gathered, while requests and timers wait ...
)
JOIN_TIMES = 2.0  # ... or so many times as long as the last one took, which grows with the fleet, ...
MOST_JOIN_S = 0.2  # ... up to this


@dataclass(frozen=True, slots=True)
class Taken:
    """A new request (or existing connection), and where the actions on it go."""

    event: i.Request | i.Existing
    actions: "trio.MemorySendChannel[RequestAction]"


@dataclass(frozen=True, slots=True)
class Closed:
    """Nobody takes actions on this request any more."""

    request: int


Message = Taken | Closed | i.Event


class Decisions:
    def __init__(self, settings: i.Settings, seed: int, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.dispatch = Dispatch(
            settings,
            seed,
            lambda text: events.decision_note(note=text),
            lambda event, did: events.decision_traced(on=event, did=did),
        )
        self._routes: dict[int, trio.MemorySendChannel[RequestAction]] = {}
        self._send, self._receive = trio.open_memory_channel[Message](QUEUE)
        self._last_request = 0
        self._next: Message | None = None  # received, and not taken yet
        self._list_took_s = 0.0  # the last one

    def new_request(self) -> int:
        """Ids are the relay's own counter: what a client calls its connection may come twice."""
        self._last_request += 1
        return self._last_request

    async def tell(self, message: Message) -> None:
        await self._send.send(message)

    async def run(self) -> None:
        while True:
            due = self.dispatch.next_timer_us
            with trio.move_on_at(float("inf") if due is None else self.clock.to_trio(due)):
                self._take(await self._received())
            self._fire()

    async def _received(self) -> Message:
        """The next message; changes of the list that come in a row are one."""
        message, self._next = self._next, None
        if message is None:
            message = await self._receive.receive()
        if isinstance(message, i.ServerList):
            with trio.CancelScope(shield=True):  # what was received must not be lost to a timer
                return await self._gathered(message)
        return message

    async def _gathered(self, change: i.ServerList) -> i.ServerList:
        """With those that follow it, each a turn of the loop behind the other."""
        until = trio.current_time() + min(MOST_JOIN_S, max(JOIN_S, JOIN_TIMES * self._list_took_s))
        while trio.current_time() < until and (following := await self._following()) is not None:
            both = merge_changes(change, following) if isinstance(following, i.ServerList) else None
            if both is None:
                self._next = following
                break
            change = both
        return change

    async def _following(self) -> Message | None:
        """What is there, or comes within two turns: its sender may have its turn after this one."""
        for _ in range(2):
            try:
                return self._receive.receive_nowait()
            except trio.WouldBlock:
                await trio.lowlevel.checkpoint()
        try:
            return self._receive.receive_nowait()
        except trio.WouldBlock:
            return None

    def _take(self, message: Message) -> None:
        match message:
            case Closed(request):
                self._routes.pop(request, None)
            case Taken(event, actions):
                number = event.request if isinstance(event, i.Request) else event.connection.request
                self._routes[number] = actions
                self._handle(event)
            case i.ServerList():
                began = trio.current_time()
                self._handle(message)
                self._list_took_s = trio.current_time() - began
            case _:
                self._handle(message)

    def _fire(self) -> None:
        for action in self.dispatch.fire(self.clock.now_us()):
            self._pass_on(action)

    def _handle(self, event: i.Event) -> None:
        for action in self.dispatch.handle(self.clock.now_us(), event):
            self._pass_on(action)

    def _pass_on(self, action: RequestAction) -> None:
        route = self._routes.get(action.request)
        if route is None:
            return
        try:
            route.send_nowait(action)
        except (trio.WouldBlock, trio.BrokenResourceError):
            events.request_stuck(request=action.request)
