"""The clock that the stand-ins of all processes on one machine share."""

import time

import trio

SECOND_US = 1_000_000


class MachineClock:
    """Reports CLOCK_MONOTONIC in microseconds, as derived from the event loop's clock.

    Stand-ins therefore follow a loop whose clock is virtual.
    """

    def __init__(self) -> None:
        self._offset = time.monotonic() - trio.current_time()

    def now_us(self) -> int:
        """Returns the present time in microseconds."""
        # Truncation could turn a time that `to_trio` returned into the microsecond before.
        return round((trio.current_time() + self._offset) * SECOND_US)

    def to_trio(self, at_us: float) -> float:
        """Returns the event loop's time, in seconds, for a time of this clock."""
        return at_us / SECOND_US - self._offset

    async def until(self, at_us: float) -> None:
        """Sleeps until the given time of this clock."""
        await trio.sleep_until(self.to_trio(at_us))
