"""How a fleet serves, from the counters of its instances: which share of what was asked for was refused, and
which was left without an answer, over a window. No I/O; moments in seconds on any one clock.

Only what has ended counts: a request that still waits for its answer is in neither share until it has one, or
until its client has gone.
"""

from collections import deque
from collections.abc import Mapping

import msgspec

REFUSED_COUNTERS = ("answered_busy", "fail_fast", "crowded_out")
UNANSWERED_COUNTERS = ("answered_failed", "left")
RequestCounts = tuple[int, int, int]  # up, refused, unanswered


class Shares(msgspec.Struct, frozen=True):
    """`asked`: requests that ended in the window; the shares are of these, 0 to 1."""

    asked: int = 0
    refused: float = 0.0
    unanswered: float = 0.0


def request_counts(counters: Mapping[str, int]) -> RequestCounts:
    """From the relay's own counters, by their names; a counter that is missing is 0."""
    return (
        counters.get("answered_up", 0),
        sum(counters.get(name, 0) for name in REFUSED_COUNTERS),
        sum(counters.get(name, 0) for name in UNANSWERED_COUNTERS),
    )


class Window:
    """Counters come in as they are read; a process that was started anew counts from 0, so what it says is
    told apart by the process that says it."""

    def __init__(self, length_s: float) -> None:
        self.length_s = length_s
        self._last: dict[str, tuple[str, RequestCounts]] = {}
        self._gains: deque[tuple[float, RequestCounts]] = deque()

    def read(
        self, now: float, name: str, process: str, counters: Mapping[str, int], *, started_here: bool
    ) -> None:
        """`started_here`: the process counts from 0 since this window has been looking on, so that its first
        figures are news; those of a process that was found running are where counting starts."""
        new = request_counts(counters)
        before_process, before = self._last.get(name, ("", (0, 0, 0)))
        if before_process != process:
            before = (0, 0, 0) if started_here else new
        self._last[name] = (process, new)
        gains = (max(0, new[0] - before[0]), max(0, new[1] - before[1]), max(0, new[2] - before[2]))
        if any(gains):
            self._gains.append((now, gains))

    def shares(self, now: float) -> Shares:
        while self._gains and self._gains[0][0] <= now - self.length_s:
            self._gains.popleft()
        up, refused, unanswered = (sum(gains[n] for _, gains in self._gains) for n in range(3))
        asked = up + refused + unanswered
        return Shares(asked, refused / asked, unanswered / asked) if asked else Shares()
