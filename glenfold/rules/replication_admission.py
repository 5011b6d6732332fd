"""Which whole lists a replica answers now, and when the others may ask again. No I/O, no clock.

A whole list is some thousand times the size of a change. When all children return at once, those that need
one are admitted at a bounded rate, so that the watches of the others go on undisturbed.
"""

import random

from glenfold.rules.rate import RateLimit

LEAST_RETRY_AFTER_S = 1  # of the header field, which counts in whole seconds


class WholeListAdmission:
    """`bytes_per_s`: of whole lists in the long run, and as much at once. `most_at_once`: answers under way.
    `most_children`: that there can be; no storm is longer than they all need. `chance`: of the jitter."""

    def __init__(
        self, bytes_per_s: float, most_at_once: int, most_children: int, chance: random.Random
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._most_at_once = most_at_once
        self._most_children = most_children
        self._chance = chance
        self._rate = RateLimit(bytes_per_s, max(1, int(bytes_per_s)))
        self._waiting = 0  # refused since the storm began and not yet admitted
        self._storm_until_s = float("-inf")
        self.under_way = 0

    def admit(self, now_s: float, size: int) -> bool:
        """Whether a list of so many bytes may be answered now; if so, `finished` is called at its end."""
        if self.under_way >= self._most_at_once or self._rate.passes(now_s, size) is None:
            return False
        self.under_way += 1
        self._waiting = max(0, self._waiting - 1)
        return True

    def finished(self) -> None:
        self.under_way -= 1

    def retry_after_s(self, now_s: float, size: int) -> int:
        """For one that was not admitted: a moment in the time that all who wait need together, by chance, so
        that they don't return at once."""
        if now_s > self._storm_until_s:
            self._waiting = 0
        self._waiting = min(self._most_children, self._waiting + 1)
        storm_s = self._waiting * size / self._bytes_per_s
        self._storm_until_s = max(self._storm_until_s, now_s + LEAST_RETRY_AFTER_S + storm_s)
        return LEAST_RETRY_AFTER_S + round(self._chance.uniform(0.0, storm_s))
