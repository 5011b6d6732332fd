"""One relay's decisions with their timers, without I/O: events go in, actions on requests come out.

Who calls it tells the time and carries the actions to the requests that they name.
"""

import heapq
from collections.abc import Callable

from glenfold import events
from linnetspread import Balancer, interface

RequestAction = interface.Attempt | interface.Refuse | interface.Fail | interface.Cancel | interface.Move
Trace = Callable[[interface.Event, list[interface.Action]], object]


def _untraced(event: interface.Event, actions: list[interface.Action]) -> None:
    pass


class Dispatch:
    """`log` takes what the decisions want to have logged, `trace` each event with what they did on it. All
    moments are in microseconds, on one clock."""

    def __init__(
        self, settings: interface.Settings, seed: int, log: Callable[[str], object], trace: Trace = _untraced
    ) -> None:
        self.balancer = Balancer(settings, seed)
        self._log = log
        self._trace = trace
        self._timers: list[tuple[int, int]] = []  # when, token

    @property
    def next_timer_us(self) -> int | None:
        return self._timers[0][0] if self._timers else None

    def fire(self, now_us: int) -> list[RequestAction]:
        """What the timers that are due have to say."""
        on_requests: list[RequestAction] = []
        while self._timers and self._timers[0][0] <= now_us:
            on_requests += self.handle(now_us, interface.Timer(heapq.heappop(self._timers)[1]))
        return on_requests

    def handle(self, now_us: int, event: interface.Event) -> list[RequestAction]:
        try:
            actions = self.balancer.handle(now_us, event)
        except Exception as error:  # one event's fault must not end every other connection of this relay
            events.decision_failed(on=event, error=error)
            # Nor may the request wait for a decision that will not come; if it needs none, this does nothing.
            actions = (
                [interface.Fail(event.request)]
                if isinstance(event, interface.Request | interface.Answer)
                else []
            )
        self._trace(event, actions)
        on_requests: list[RequestAction] = []
        for action in actions:
            match action:
                case interface.SetTimer(delay, token):
                    heapq.heappush(self._timers, (now_us + delay, token))
                case (
                    interface.Attempt()
                    | interface.Refuse()
                    | interface.Fail()
                    | interface.Cancel()
                    | interface.Move()
                ):
                    on_requests.append(action)
                case interface.Log(text):
                    self._log(text)
                case interface.Subscribe() | interface.FetchList():
                    pass  # discovery is watched from the start, and asked for the whole list after a gap
                case _:
                    events.decision_unknown(action=action)
        return on_requests
