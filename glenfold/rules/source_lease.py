"""How long what is known may be taken as current, without clock or I/O.

Moments are of one monotonic clock, in seconds.
"""

import math

SILENCE_S = 2.5  # a watch that is renewed sends a line at least every 2 s
LEASE_S = 6.0  # what a silent watch misses counts as told so long after it fell silent


class SourceLease:
    """What the source itself last said, at once or through replicas: that what is known holds. A replica that
    answers renews nothing by that; only the moment in which its source did so counts."""

    def __init__(self) -> None:
        self.renewed_at_s = -math.inf

    def renew(self, renewed_at_s: float) -> bool:
        """Whether that moment is later than any known before."""
        if renewed_at_s <= self.renewed_at_s:
            return False
        self.renewed_at_s = renewed_at_s
        return True

    def age_s(self, now_s: float) -> float:
        """Since the source last renewed; infinite if it never has."""
        return now_s - self.renewed_at_s

    def holds(self, now_s: float) -> bool:
        """Whether what is known may still be taken as current."""
        return self.age_s(now_s) <= LEASE_S
