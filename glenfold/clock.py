"""The clock of a relay: Unix time when the process starts, and monotonic from then on."""

import time

import trio

SECOND_US = 1_000_000


class Clock:
    """Converts between the time of the decisions and trio's time.

    The decisions count microseconds since 1970, the epoch of discovery's `born_ms`. Cancel scopes use trio's
    clock, in seconds.
    """

    def __init__(self) -> None:
        self._offset = time.time() - trio.current_time()

    def now_us(self) -> int:
        """Returns the current time in microseconds since 1970."""
        return self.to_us(trio.current_time())

    def to_us(self, trio_time: float) -> int:
        """Converts a time of trio's clock to microseconds since 1970."""
        return int((trio_time + self._offset) * SECOND_US)

    def to_trio(self, at_us: int) -> float:
        """Converts microseconds since 1970 to a time of trio's clock."""
        return at_us / SECOND_US - self._offset
