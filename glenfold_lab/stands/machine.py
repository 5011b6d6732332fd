"""What one push server's machine can do, without I/O: set-ups in turn, and the delay of a line.

Work is in microseconds on a standard core, loads in such microseconds a second. All standing connections
together are served first; set-ups take turns with what is left.
"""

from glenfold_lab.observe import Capacity
from glenfold_lab.stands.moments import SECOND_US

LEAST_LEFT = 0.05  # of its capacity for set-ups, whatever stands there


class Machine:
    """full: microseconds of work a second when warm. cold_from: the part of it at a cold start, from where it
    rises evenly over cold_us. message_us: work of one line."""

    def __init__(self, full: float, cold_from: float = 1.0, cold_us: int = 0,
                 message_us: float = 0.0) -> None:
        self._full = full
        self._cold_from = cold_from
        self._cold_us = cold_us
        self._message_us = message_us
        self._cold_since: int | None = None
        self._taken = 0.0
        self._load = 0.0
        self._piled = 0.0
        self._reckoned = 0
        self._turn = 0  # when the last set-up so far is done

    def describe(self, mean_load: float) -> Capacity:
        """As the checker wants it: new connections of the mean load."""
        return Capacity(self._full / mean_load, self._cold_from, self._cold_us)

    def start(self, now: int, cold: bool) -> None:
        self._cold_since = now if cold else None
        self._load = self._piled = 0.0
        self._reckoned = self._turn = now

    def capacity(self, now: int) -> float:
        warm = 1.0
        if self._cold_since is not None and now < self._cold_since + self._cold_us:
            warm = self._cold_from + (1 - self._cold_from) * (now - self._cold_since) / self._cold_us
        return self._full * warm * (1 - self._taken)

    def take_away(self, now: int, share: float) -> None:
        """A neighbour on the machine has this share of it from now on; 0: none."""
        self._reckon(now)
        self._taken = min(share, 0.99)

    def add(self, now: int, load: float) -> None:
        """A standing connection's load comes, goes (negative) or changes."""
        self._reckon(now)
        self._load = max(0.0, self._load + load)

    def set_up(self, now: int, work_us: float) -> int:
        """When a set-up that is asked for now will be done."""
        capacity = self.capacity(now)
        left = max(capacity - self._load, LEAST_LEFT * capacity)
        self._turn = max(self._turn, now) + int(work_us * SECOND_US / left)
        return self._turn

    def piled_s(self, now: int) -> float:
        """Seconds of its capacity that standing connections have piled up."""
        self._reckon(now)
        return self._piled / self.capacity(now)

    def delay_us(self, now: int) -> int:
        """From a line's arrival to its answer."""
        busy = min(self._load / self.capacity(now), 0.95)
        own = self._message_us * SECOND_US / self._full / (1 - busy)
        return int(own + self.piled_s(now) * SECOND_US)

    def utilisation(self, now: int) -> float:
        return self._load / self.capacity(now)

    def _reckon(self, now: int) -> None:
        passed = (now - self._reckoned) / SECOND_US
        self._piled = max(0.0, self._piled + (self._load - self.capacity(now)) * passed)
        self._reckoned = now
