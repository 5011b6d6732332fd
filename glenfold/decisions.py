"""The task that owns the decision module and its timers. It knows neither sockets nor protocols.

Others reach it by a bounded memory channel only. Actions on a request go back over the request's own one.
"""

import heapq
from dataclasses import dataclass

import trio
from loguru import logger

from glenfold.clock import Clock
from linnetspread import Balancer
from linnetspread import interface as i

QUEUE = 1024  # messages; senders wait when it is full

RequestAction = i.Attempt | i.Refuse | i.Fail | i.Cancel | i.Move


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
        self._balancer = Balancer(settings, seed)
        self._timers: list[tuple[int, int]] = []  # when, token
        self._routes: dict[int, trio.MemorySendChannel[RequestAction]] = {}
        self._send, self._receive = trio.open_memory_channel[Message](QUEUE)
        self._last_request = 0

    def new_request(self) -> int:
        """Ids are the relay's own counter: what a client calls its connection may come twice."""
        self._last_request += 1
        return self._last_request

    async def tell(self, message: Message) -> None:
        await self._send.send(message)

    async def run(self) -> None:
        while True:
            deadline = self.clock.to_trio(self._timers[0][0]) if self._timers else float("inf")
            with trio.move_on_at(deadline):
                self._take(await self._receive.receive())
            self._fire()

    def _take(self, message: Message) -> None:
        match message:
            case Closed(request):
                self._routes.pop(request, None)
            case Taken(event, actions):
                number = event.request if isinstance(event, i.Request) else event.connection.request
                self._routes[number] = actions
                self._handle(event)
            case _:
                self._handle(message)

    def _fire(self) -> None:
        now = self.clock.now_us()
        while self._timers and self._timers[0][0] <= now:
            self._handle(i.Timer(heapq.heappop(self._timers)[1]))

    def _handle(self, event: i.Event) -> None:
        now = self.clock.now_us()
        try:
            actions = self._balancer.handle(now, event)
        except Exception:  # one event's fault must not end every other connection of this relay
            logger.exception("the decisions failed on {}", event)
            # Nor may the request wait for a decision that will not come; if it needs none, this does nothing.
            actions = [i.Fail(event.request)] if isinstance(event, i.Request | i.Answer) else []
        for action in actions:
            match action:
                case i.SetTimer(delay, token):
                    heapq.heappush(self._timers, (now + delay, token))
                case i.Log(text):
                    logger.info("{}", text)
                case i.Attempt() | i.Refuse() | i.Fail() | i.Cancel() | i.Move():
                    self._pass_on(action)
                case i.Subscribe() | i.FetchList():
                    pass  # discovery is watched from the start, and asked for the whole list after a gap
                case _:
                    logger.warning("there is no way here to carry out {}", action)

    def _pass_on(self, action: RequestAction) -> None:
        route = self._routes.get(action.request)
        if route is None:
            return
        try:
            route.send_nowait(action)
        except (trio.WouldBlock, trio.BrokenResourceError):
            logger.warning("request {} takes no more actions", action.request)
