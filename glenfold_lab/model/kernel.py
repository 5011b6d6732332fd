"""Virtual time: runs events by time, and events of the same time in scheduling order."""

import heapq
from collections.abc import Callable
from typing import Any

SECOND_US = 1_000_000


class Kernel:
    """The event queue and the virtual clock `now`, in microseconds.

    The clock starts well above 0, so that 0 can stand for a time long before the start.
    """

    def __init__(self, start: int = 1_000 * SECOND_US) -> None:
        self.start = start
        self.now = start
        self._sequence = 0
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, time: int, call: Callable[..., None], *values: Any) -> None:
        """Schedules a call at `time`, or now if that is past.

        Calls of the same time run in the order in which they were scheduled.
        """
        self._sequence += 1
        heapq.heappush(self._events, (max(time, self.now), self._sequence, call, values))

    def after(self, us: int, call: Callable[..., None], *values: Any) -> None:
        self.at(self.now + us, call, *values)

    def run(self, until: int) -> None:
        """Runs all events up to and including the time `until`, to which it then sets `now`."""
        events, pop = self._events, heapq.heappop
        while events and events[0][0] <= until:
            self.now, _, call, values = pop(events)
            call(*values)
        self.now = until
