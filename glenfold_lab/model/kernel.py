"""Virtual time: events in the order of their moments, and of their making where the moments are alike."""

import heapq
from collections.abc import Callable
from typing import Any

SECOND_US = 1_000_000


class Kernel:
    """`now` is in microseconds. It starts late enough that "long ago" can be told from the start."""

    def __init__(self, start: int = 1_000 * SECOND_US) -> None:
        self.start = start
        self.now = start
        self._sequence = 0
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, moment: int, call: Callable[..., None], *values: Any) -> None:
        """Calls at that moment, or now if it is past. What is made first at one moment is called first."""
        self._sequence += 1
        heapq.heappush(self._events, (max(moment, self.now), self._sequence, call, values))

    def after(self, us: int, call: Callable[..., None], *values: Any) -> None:
        self.at(self.now + us, call, *values)

    def run(self, until: int) -> None:
        """Up to that moment and with all that falls on it; `now` is that moment when this returns."""
        events, pop = self._events, heapq.heappop
        while events and events[0][0] <= until:
            self.now, _, call, values = pop(events)
            call(*values)
        self.now = until
