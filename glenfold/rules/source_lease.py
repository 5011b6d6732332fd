"""The time for which a known list may be used as current, without clock or I/O.

Times are in seconds on one monotonic clock.
"""

import math

SILENCE_S = 2.5  # A watch that is renewed sends a line at least every 2 s, so a longer silence is a failure.
LEASE_S = 6.0  # The known list counts as current for this long; a silent watch may miss changes until then.


class SourceLease:
    """The last renewal by the source itself, received directly or through replicas.

    The response of a replica renews nothing by itself; only the time at which its source did so counts.
    """

    def __init__(self) -> None:
        self.renewed_at_s = -math.inf

    def renew(self, renewed_at_s: float) -> bool:
        """Records a renewal by the source, and returns whether it is later than all before."""
        if renewed_at_s <= self.renewed_at_s:
            return False
        self.renewed_at_s = renewed_at_s
        return True

    def age_s(self, now_s: float) -> float:
        """Returns the time since the source last renewed; infinite if it never has."""
        return now_s - self.renewed_at_s

    def holds(self, now_s: float) -> bool:
        """Returns whether the known list may still be used as current."""
        return self.age_s(now_s) <= LEASE_S
