"""Which whole lists a replica answers now, and when the others may ask again. No I/O, no clock.

A whole list is some thousand times the size of a change. When all children return at once, those that need
one are admitted at a bounded rate, so that the watches of the others go on undisturbed.
"""

import random

from glenfold.rules.rate import RateLimit

MIN_RETRY_AFTER_S = 1  # of the header field, which counts in whole seconds


class WholeListAdmission:
    """`bytes_per_s`: of whole lists in the long run, and as much at once. `most_at_once`: answers under way.
    `most_children`: that there can be; no storm is longer than they all need. `chance`: of the jitter."""

    def __init__(
        self, bytes_per_s: float, max_concurrent: int, max_children: int, rng: random.Random
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._max_concurrent = max_concurrent
        self._max_children = max_children
        self._rng = rng
        self._rate = RateLimit(bytes_per_s, max(1, int(bytes_per_s)))
        self._waiting = 0  # refused since the storm began and not yet admitted
        self._burst_until_s = float("-inf")
        self.in_progress = 0

    def admit(self, now_s: float, size: int) -> bool:
        """Whether a list of so many bytes may be answered now; if so, `finished` is called at its end."""
        if self.in_progress >= self._max_concurrent or self._rate.allow(now_s, size) is None:
            return False
        self.in_progress += 1
        self._waiting = max(0, self._waiting - 1)
        return True

    def finished(self) -> None:
        self.in_progress -= 1

    def retry_after_s(self, now_s: float, size: int) -> int:
        """For one that was not admitted: a moment in the time that all who wait need together, by chance, so
        that they don't return at once."""
        if now_s > self._burst_until_s:
            self._waiting = 0
        self._waiting = min(self._max_children, self._waiting + 1)
        burst_s = self._waiting * size / self._bytes_per_s
        self._burst_until_s = max(self._burst_until_s, now_s + MIN_RETRY_AFTER_S + burst_s)
        return MIN_RETRY_AFTER_S + round(self._rng.uniform(0.0, burst_s))
