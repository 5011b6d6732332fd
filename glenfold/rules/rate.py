"""How often something may happen: a token bucket, without clock or I/O."""


class RateLimit:
    """Lets through `burst` at once and `per_s` a second in the long run: in any t seconds at most
    burst + per_s * t. What it leaves out is counted, and told to the next that it lets through. One that
    costs more than `burst` goes through when all of that is there, and the others wait for the rest."""

    __slots__ = ("per_s", "burst", "left_out", "_tokens", "_at_s")

    def __init__(self, per_s: float, burst: int) -> None:
        self.per_s = per_s
        self.burst = burst
        self.left_out = 0
        self._tokens = float(burst)
        self._at_s = float("-inf")

    def allow(self, now_s: float, cost: float = 1.0) -> int | None:
        """None: left out. Else how many were left out since the last that passed. `now_s` never falls."""
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
        """How many were left out; from now on they count as told."""
        left_out, self.left_out = self.left_out, 0
        return left_out
