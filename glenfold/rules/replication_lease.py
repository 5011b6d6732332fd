"""The freshness of a replica's list, and when its children are notified of it. No I/O, no clock.

A replica never claims freshness of its own: children get an empty line only for a renewal by the source that
they were not notified of, and only while that renewal is recent.
"""

FRESH_S = 2.5  # A watch that is silent for longer counts as dead, and an older renewal is not passed on.
MIN_LINE_INTERVAL_S = 0.5  # An empty line, which only renews the list, follows another line after this time.
SAME_LINE_WINDOW_S = 0.1  # A renewal this soon after a change came with the change's line.


class Lease:
    """The lease on a replica's list. Times are in seconds on one monotonic clock."""

    def __init__(self) -> None:
        self._renewed_at_s: float | None = None
        self._unsent = False  # Whether there is a renewal that children were not notified of.
        self._last_line_at_s = float("-inf")
        self.stale = True

    def renew(self, renewed_at_s: float, now_s: float) -> bool:
        """Records that the source confirmed the list at `renewed_at_s`.

        Returns whether this is the latest renewal so far, even if it is too old to be passed on.
        """
        if self._renewed_at_s is not None and renewed_at_s <= self._renewed_at_s:
            return False
        self._renewed_at_s = renewed_at_s
        if now_s <= renewed_at_s + FRESH_S:
            came_with_line = renewed_at_s <= self._last_line_at_s + SAME_LINE_WINDOW_S
            self._unsent = self._unsent or self.stale or not came_with_line
            self.stale = False
        return True

    def expire(self) -> None:
        """Marks the list as stale, because it is no longer renewed."""
        self._unsent = False
        self.stale = True

    def record_line(self, now_s: float) -> None:
        """Records a change or an empty line sent to all children, which covers every earlier renewal."""
        self._unsent = False
        self._last_line_at_s = now_s

    def due_at_s(self) -> float | None:
        """Returns the time at which an empty line is due; None if there is no renewal to be sent."""
        return self._last_line_at_s + MIN_LINE_INTERVAL_S if self._unsent else None

    def take_renewal(self, now_s: float) -> bool:
        """Returns whether an empty line is to be sent now.

        The renewal is then used up, also if it has become too old to be sent.
        """
        due_at_s = self.due_at_s()
        if due_at_s is None or self._renewed_at_s is None or now_s < due_at_s:
            return False
        self.record_line(now_s)
        return now_s <= self._renewed_at_s + FRESH_S

    def age_s(self, now_s: float) -> float | None:
        """Returns the time since the last renewal; None if there was none."""
        return None if self._renewed_at_s is None else max(0.0, now_s - self._renewed_at_s)
