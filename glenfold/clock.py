"""The clock of a relay: Unix time when the process starts, and monotonic from then on."""

import time

import trio

SECOND_US = 1_000_000


class Clock:
    """Converts between the time of the decisions and trio's time.

    The decisions count microseconds since 1970, the epoch of discovery's `born_ms`. Cancel scopes use trio's
    clock, in seconds.

    The two differ by a whole number of microseconds, and a time is rounded in `to_us` alone. So at the trio
    time that `to_trio` returns for a time, `to_us` gives that time, whenever the process has started. Seconds
    since 1970 as a float would be off by up to a quarter of a microsecond.
    """

    def __init__(self) -> None:
        self._offset_us = round((time.time() - trio.current_time()) * SECOND_US)

    def now_us(self) -> int:
        """Returns the current time in microseconds since 1970."""
        return self.to_us(trio.current_time())

    def to_us(self, trio_time: float) -> int:
        """Converts a time of trio's clock to microseconds since 1970."""
        return round(trio_time * SECOND_US) + self._offset_us

    def to_trio(self, at_us: int) -> float:
        """Converts microseconds since 1970 to a time of trio's clock."""
        return (at_us - self._offset_us) / SECOND_US
