"""When many who share nothing may ask one service, at their start and after faults, without I/O."""

import math
import random


class Backoff:
    """Waits before calls of one service. All who ask it draw them by seeds of their own, so that together
    they ask evenly over a span, however many began or failed at the same moment: over `spread_s`, which the
    service needs for all, but over `soon_s` where that is less and nothing says yet that it can't serve them.
    With each call in a row that it refuses as one too many the waits double, at the most to `most_times` of
    the first; a caller that can't wait so long draws them from ever later parts of the time that it has.
    Spans are in seconds."""

    def __init__(
        self,
        least_s: float,
        spread_s: float,
        most_times: float,
        chance: random.Random,
        soon_s: float = math.inf,
    ) -> None:
        self._least_s = least_s
        self._spread_s = spread_s
        self._soon_s = soon_s
        self._most_times = most_times
        self._chance = chance
        self._times = 1.0

    def first_s(self, within_s: float = math.inf) -> float:
        """Before the first call of all, or of another service."""
        return self._chance.uniform(0.0, min(self._spread_s, within_s))

    def again_s(self, busy: bool = True, within_s: float = math.inf) -> float:
        """Before the next call, after one more fault. `busy`: it was refused as one too many. `within_s`: the
        longest wait allowed then; the least wait is kept all the same."""
        least = self._least_s * self._chance.uniform(0.5, 1.0)
        if not busy:
            return least + self.first_s(min(self._soon_s, max(0.0, within_s - least)))
        times, self._times = self._times, min(self._most_times, 2 * self._times)
        if times * (self._least_s + self._spread_s) <= within_s:
            return times * (least + self.first_s())
        latest = max(least, within_s)
        return self._chance.uniform(max(least, latest * (1 - 1 / times)), latest)

    def worked(self) -> None:
        """The next refusal is the first of a row."""
        self._times = 1.0
