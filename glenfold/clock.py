"""The one clock of a relay: Unix time at its start, and monotonic progress from there."""

import time

import trio

SECOND_US = 1_000_000


class Clock:
    """Decisions count in microseconds since 1970, as discovery's `born_ms` does; scopes use trio's time."""

    def __init__(self) -> None:
        self._offset = time.time() - trio.current_time()

    def now_us(self) -> int:
        return self.to_us(trio.current_time())

    def to_us(self, moment: float) -> int:
        return int((moment + self._offset) * SECOND_US)

    def to_trio(self, at_us: int) -> float:
        return at_us / SECOND_US - self._offset
