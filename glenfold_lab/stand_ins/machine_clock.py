"""The clock that all stand-ins of one machine share, in whatever process they run."""

import time

import trio

SECOND_US = 1_000_000


class MachineClock:
    """Microseconds of CLOCK_MONOTONIC, told by the event loop's clock: a loop whose time stands still or is
    moved by hand takes its stand-ins along."""

    def __init__(self) -> None:
        self._offset = time.monotonic() - trio.current_time()

    def now_us(self) -> int:
        # Rounded: cut off, a moment that `to_trio` gave could read as the microsecond before it.
        return round((trio.current_time() + self._offset) * SECOND_US)

    def to_trio(self, at_us: float) -> float:
        return at_us / SECOND_US - self._offset

    async def until(self, at_us: float) -> None:
        await trio.sleep_until(self.to_trio(at_us))
