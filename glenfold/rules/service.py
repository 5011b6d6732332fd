"""Measurement of a fleet's service from the counters of its instances, without I/O.

The measures are the shares of requests that were refused and that went unanswered over a window. Times are in
seconds on any one clock. Only finished requests count: a request that still waits for its answer is in
neither share until it is answered or its client has disconnected.
"""

from collections import deque
from collections.abc import Mapping

import msgspec

REFUSED_COUNTERS = ("answered_busy", "fail_fast", "crowded_out")
UNANSWERED_COUNTERS = ("answered_failed", "left")
RequestCounts = tuple[int, int, int]  # The numbers of requests answered UP, refused and unanswered.


class Shares(msgspec.Struct, frozen=True):
    """The service over a window.

    `asked` is the number of requests that finished in the window; the other fields are shares of it, 0 to 1.
    """

    asked: int = 0
    refused: float = 0.0
    unanswered: float = 0.0


def request_counts(counters: Mapping[str, int]) -> RequestCounts:
    """Returns the request counts from the relay's counters by name; a missing counter counts as 0."""
    return (
        counters.get("answered_up", 0),
        sum(counters.get(name, 0) for name in REFUSED_COUNTERS),
        sum(counters.get(name, 0) for name in UNANSWERED_COUNTERS),
    )


class Window:
    """Shares of requests over the last `length_s` seconds.

    A restarted process counts from 0, so the counters of an instance are compared only within one process.
    """

    def __init__(self, length_s: float) -> None:
        self.length_s = length_s
        self._last: dict[str, tuple[str, RequestCounts]] = {}
        self._gains: deque[tuple[float, RequestCounts]] = deque()

    def add_counters(
        self, now: float, name: str, process: str, counters: Mapping[str, int], *, started_here: bool
    ) -> None:
        """Adds the counters that `process` of the instance `name` reported at `now`.

        `started_here` is True if the process was started while this window existed: its first counters are
        then all recent. Those of a process that was found running are only the base for later ones.
        """
        new = request_counts(counters)
        before_process, before = self._last.get(name, ("", (0, 0, 0)))
        if before_process != process:
            before = (0, 0, 0) if started_here else new
        self._last[name] = (process, new)
        gains = (max(0, new[0] - before[0]), max(0, new[1] - before[1]), max(0, new[2] - before[2]))
        if any(gains):
            self._gains.append((now, gains))

    def shares(self, now: float) -> Shares:
        """Returns the shares over the window that ends at `now`."""
        while self._gains and self._gains[0][0] <= now - self.length_s:
            self._gains.popleft()
        up, refused, unanswered = (sum(gains[n] for _, gains in self._gains) for n in range(3))
        asked = up + refused + unanswered
        return Shares(asked, refused / asked, unanswered / asked) if asked else Shares()
