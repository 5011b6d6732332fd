"""A rate limit by a token bucket, without clock or I/O."""


class RateLimit:
    """Allows `burst` events at once and `per_s` events a second in the long run.

    In any t seconds at most burst + per_s * t events are allowed. The events left out are counted, and the
    count is returned with the next event allowed. An event that costs more than `burst` is allowed when the
    bucket is full, and the events after it wait until its whole cost is covered.
    """

    __slots__ = ("per_s", "burst", "left_out", "_tokens", "_at_s")

    def __init__(self, per_s: float, burst: int) -> None:
        self.per_s = per_s
        self.burst = burst
        self.left_out = 0
        self._tokens = float(burst)
        self._at_s = float("-inf")

    def allow(self, now_s: float, cost: float = 1.0) -> int | None:
        """Returns None if the event is left out, else how many were left out since the last allowed one.

        `now_s` must not decrease from call to call.
        """
        if now_s > self._at_s:
            earned = self.per_s * (now_s - self._at_s)
            self._tokens = min(float(self.burst), self._tokens + earned)
            self._at_s = now_s
        if self._tokens < min(cost, self.burst):
            self.left_out += 1
            return None
        self._tokens -= cost
        return self.take_left_out()

    def take_left_out(self) -> int:
        """Returns the number of events left out, and resets it to 0."""
        left_out, self.left_out = self.left_out, 0
        return left_out
