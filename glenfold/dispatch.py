"""The decisions of one relay with their timers, without I/O.

Events go in and actions on requests come out. The caller supplies the time and passes each action to the
request that it names.
"""

import heapq
from collections.abc import Callable

from glenfold import events
from linnetspread import Balancer, interface

RequestAction = interface.Attempt | interface.Refuse | interface.Fail | interface.Cancel | interface.Move
Trace = Callable[[interface.Event, list[interface.Action]], object]


def _ignore_trace(event: interface.Event, actions: list[interface.Action]) -> None:
    pass


class Dispatch:
    """Feeds events and due timers to the decisions.

    `log` is called with each text that the decisions log, and `trace` with each event and the actions that it
    led to. With `defers_map`, a change of the server list leaves work on the map for `work_on_map`. All times
    are microseconds of one clock.
    """

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        log: Callable[[str], object],
        trace: Trace = _ignore_trace,
        defers_map: bool = False,
    ) -> None:
        self.balancer = Balancer(settings, seed)
        self.balancer.defers_map = defers_map
        self._log = log
        self._trace = trace
        self._timers: list[tuple[int, int]] = []  # heap of due time and token

    @property
    def next_timer_us(self) -> int | None:
        """The time of the next timer; None if none is set."""
        return self._timers[0][0] if self._timers else None

    def work_on_map(self) -> None:
        """Takes one step of the work on the map; after a bug there, the map stays as it is."""
        try:
            self.balancer.work_on_map()
        except Exception as error:
            events.decision_failed(on="the map of the servers", error=error)

    def fire(self, now_us: int) -> list[RequestAction]:
        """Runs all timers that are due and returns the actions on requests."""
        on_requests: list[RequestAction] = []
        while self._timers and self._timers[0][0] <= now_us:
            on_requests += self.handle(now_us, interface.Timer(heapq.heappop(self._timers)[1]))
        return on_requests

    def handle(self, now_us: int, event: interface.Event) -> list[RequestAction]:
        """Passes one event to the decisions, sets their timers and returns the actions on requests."""
        try:
            actions = self.balancer.handle(now_us, event)
        except Exception as error:  # a bug on one event must not end all connections of this relay
            events.decision_failed(on=event, error=error)
            # No decision will come for this request, so it fails. Ignored if no decision is needed.
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
                    pass  # the relay follows discovery in any case, and requests the whole list after a gap
                case _:
                    events.decision_unknown(action=action)
        return on_requests
