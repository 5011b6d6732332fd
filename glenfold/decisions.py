"""The task that owns the decision module and its timers. It uses neither sockets nor protocols.

Other tasks send it messages over one bounded memory channel. The actions on a request are sent back over the
channel of that request.
"""

from dataclasses import dataclass

import trio

from glenfold import events
from glenfold.clock import Clock
from glenfold.dispatch import Dispatch, RequestAction
from glenfold.rules.list_changes import merge_changes
from linnetspread import interface

QUEUE_SIZE = 1024  # messages; senders wait while the queue is full

# Consecutive changes of the server list are joined for this long, while requests and timers wait: JOIN_FACTOR
# times the time that the last list took, which grows with the fleet, but within these bounds.
MIN_JOIN_S = 0.02
JOIN_FACTOR = 2.0
MAX_JOIN_S = 0.2

# Messages that are handled between two steps of the work on the map.
MESSAGES_PER_MAP_STEP = 64


@dataclass(frozen=True, slots=True)
class Taken:
    """A new request or an existing connection, with the channel for the actions on it."""

    event: interface.Request | interface.Existing
    actions: "trio.MemorySendChannel[RequestAction]"


@dataclass(frozen=True, slots=True)
class Closed:
    """The request no longer receives actions."""

    request: int


Message = Taken | Closed | interface.Event


class Decisions:
    """Runs the decisions and their timers in one task."""

    def __init__(self, settings: interface.Settings, seed: int, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.dispatch = Dispatch(
            settings,
            seed,
            lambda text: events.decision_note(note=text),
            lambda event, actions: events.decision_traced(on=event, did=actions),
            defers_map=True,
        )
        self._routes: dict[int, trio.MemorySendChannel[RequestAction]] = {}
        self._send, self._receive = trio.open_memory_channel[Message](QUEUE_SIZE)
        self._last_request = 0
        self._pending: Message | None = None  # received, but not handled yet
        self._list_took_s = 0.0  # time that the decisions needed for the last list

    def new_request(self) -> int:
        """Returns a new request id.

        The ids are counted by the relay, because two clients may use the same id for their connections.
        """
        self._last_request += 1
        return self._last_request

    @property
    def has_map(self) -> bool:
        """Whether the decisions have a server list, even an empty one, and its map is complete."""
        balancer = self.dispatch.balancer
        return balancer.version > 0 and not balancer.has_map_work

    async def submit(self, message: Message) -> None:
        """Queues a message for the decisions; waits while the queue is full."""
        await self._send.send(message)

    async def run(self) -> None:
        """Handles messages and timers until it is cancelled."""
        while True:
            if self.dispatch.balancer.has_map_work:
                await self._work_on_map()
            else:
                due = self.dispatch.next_timer_us
                with trio.move_on_at(float("inf") if due is None else self.clock.to_trio(due)):
                    self._accept(await self._next_message())
            self._fire()

    async def _work_on_map(self) -> None:
        """Takes one step of the work on the map, then handles messages that wait.

        The lines of connections and the answers to requests must not wait for the map of a large fleet. Only
        where no server of the present map is ready do requests wait for the next one.
        """
        self.dispatch.work_on_map()
        if self.dispatch.balancer.can_place:
            for _ in range(min(MESSAGES_PER_MAP_STEP, self._waiting_messages())):
                self._accept(await self._next_message())
        await trio.lowlevel.checkpoint()

    def _waiting_messages(self) -> int:
        return (self._pending is not None) + self._receive.statistics().current_buffer_used

    async def _next_message(self) -> Message:
        """Returns the next message. Consecutive changes of the server list are joined into one."""
        message, self._pending = self._pending, None
        if message is None:
            message = await self._receive.receive()
        if isinstance(message, interface.ServerList):
            with trio.CancelScope(shield=True):  # a timer must not discard a received message
                return await self._join_changes(message)
        return message

    async def _join_changes(self, change: interface.ServerList) -> interface.ServerList:
        """Returns the change joined with those that follow it, each within two turns of the event loop."""
        deadline = trio.current_time() + min(MAX_JOIN_S, max(MIN_JOIN_S, JOIN_FACTOR * self._list_took_s))
        while trio.current_time() < deadline and (following := await self._next_queued()) is not None:
            both = merge_changes(change, following) if isinstance(following, interface.ServerList) else None
            if both is None:
                self._pending = following
                break
            change = both
        return change

    async def _next_queued(self) -> Message | None:
        """Returns a message that is queued or arrives within two turns of the event loop, otherwise None.

        The sender may be scheduled after this task, so one look at the queue would miss its message.
        """
        for _ in range(2):
            try:
                return self._receive.receive_nowait()
            except trio.WouldBlock:
                await trio.lowlevel.checkpoint()
        try:
            return self._receive.receive_nowait()
        except trio.WouldBlock:
            return None

    def _accept(self, message: Message) -> None:
        match message:
            case Closed(request):
                self._routes.pop(request, None)
            case Taken(event, actions):
                number = event.request if isinstance(event, interface.Request) else event.connection.request
                self._routes[number] = actions
                self._handle(event)
            case interface.ServerList():
                start_s = trio.current_time()
                self._handle(message)
                self._list_took_s = trio.current_time() - start_s
            case _:
                self._handle(message)

    def _fire(self) -> None:
        for action in self.dispatch.fire(self.clock.now_us()):
            self._send_action(action)

    def _handle(self, event: interface.Event) -> None:
        for action in self.dispatch.handle(self.clock.now_us(), event):
            self._send_action(action)

    def _send_action(self, action: RequestAction) -> None:
        route = self._routes.get(action.request)
        if route is None:
            return
        try:
            route.send_nowait(action)
        except (trio.WouldBlock, trio.BrokenResourceError):
            events.request_stuck(request=action.request)
