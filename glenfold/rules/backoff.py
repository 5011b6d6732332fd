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
        min_s: float,
        spread_s: float,
        max_factor: float,
        rng: random.Random,
        initial_spread_s: float = math.inf,
    ) -> None:
        self._min_s = min_s
        self._spread_s = spread_s
        self._initial_spread_s = initial_spread_s
        self._max_factor = max_factor
        self._rng = rng
        self._factor = 1.0

    def first_delay_s(self, within_s: float = math.inf) -> float:
        """Before the first call of all, or of another service."""
        return self._rng.uniform(0.0, min(self._spread_s, within_s))

    def retry_delay_s(self, busy: bool = True, within_s: float = math.inf) -> float:
        """Before the next call, after one more fault. `busy`: it was refused as one too many. `within_s`: the
        longest wait allowed then; the least wait is kept all the same."""
        min_delay_s = self._min_s * self._rng.uniform(0.5, 1.0)
        if not busy:
            return min_delay_s + self.first_delay_s(
                min(self._initial_spread_s, max(0.0, within_s - min_delay_s))
            )
        factor, self._factor = self._factor, min(self._max_factor, 2 * self._factor)
        if factor * (self._min_s + self._spread_s) <= within_s:
            return factor * (min_delay_s + self.first_delay_s())
        latest_s = max(min_delay_s, within_s)
        return self._rng.uniform(max(min_delay_s, latest_s * (1 - 1 / factor)), latest_s)

    def reset(self) -> None:
        """The next refusal is the first of a row."""
        self._factor = 1.0
