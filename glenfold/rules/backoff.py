"""When many who share nothing may ask one service, at their start and after faults, without I/O."""

import random


class Backoff:
    """Waits before calls of one service. All who ask it draw them by seeds of their own, so that together
    they ask evenly over `spread_s`, however many began or failed at the same moment. With each fault in a row
    the waits double, at the most to `most_times` of the first. Spans are in seconds."""

    def __init__(self, least_s: float, spread_s: float, most_times: float, chance: random.Random) -> None:
        self._least_s = least_s
        self._spread_s = spread_s
        self._most_times = most_times
        self._chance = chance
        self._times = 1.0

    def first_s(self) -> float:
        """Before the first call of all."""
        return self._chance.uniform(0.0, self._spread_s)

    def again_s(self) -> float:
        """Before the next call, after one more fault."""
        times, self._times = self._times, min(self._most_times, 2 * self._times)
        least = self._least_s * self._chance.uniform(0.5, 1.0)
        return times * (least + self._chance.uniform(0.0, self._spread_s))

    def worked(self) -> None:
        """The next fault is the first of a row."""
        self._times = 1.0
