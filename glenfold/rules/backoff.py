"""Delays before calls of one service by many independent callers, at startup and after faults. No I/O."""

import math
import random


class Backoff:
    """Random delays before the calls of one caller.

    Each caller uses a seed of its own, so that all callers together spread their calls evenly over a span,
    however many of them started or failed at the same time. The span is `spread_s`, the time that the service
    needs for all callers, or `initial_spread_s` where that is shorter and the service has not yet refused a
    call as overloaded. The delays double with each consecutive call that is refused as overloaded, up to
    `max_factor` times the first. A caller that can't wait so long draws its delays from ever later parts of
    the time that it has.
    """

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
        """Returns the delay before the first call, or before the first call of another service."""
        return self._rng.uniform(0.0, min(self._spread_s, within_s))

    def retry_delay_s(self, busy: bool = True, within_s: float = math.inf) -> float:
        """Returns the delay before the next call after a fault.

        `busy` is True if the service refused the call as overloaded. `within_s` is the longest delay allowed;
        the minimum delay is kept even where that is shorter.
        """
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
        """Ends the series of refusals after a successful call."""
        self._factor = 1.0
