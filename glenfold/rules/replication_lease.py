"""How fresh a replica's list is, and when its children are told so. No I/O, no clock.

A replica makes no freshness up: an empty line goes to children only for a renewal by the source that they
have not been told of, and only while that renewal is recent.
"""

FRESH_S = 2.5  # a watch that says nothing for longer counts as dead; so does a renewal that is older
MIN_LINE_INTERVAL_S = 0.5  # between two lines, where the later one says nothing but that the list holds
SAME_LINE_WINDOW_S = 0.1  # a renewal so soon after a change came with it, and that line has told of it


class Lease:
    """Moments are of one monotonic clock, in seconds."""

    def __init__(self) -> None:
        self._renewed_at_s: float | None = None
        self._unsent = False  # a renewal that children have not been told of
        self._last_line_at_s = float("-inf")
        self.stale = True

    def renew(self, renewed_at_s: float, now_s: float) -> bool:
        """The source said then that the list holds. Whether this is news, be it old news."""
        if self._renewed_at_s is not None and renewed_at_s <= self._renewed_at_s:
            return False
        self._renewed_at_s = renewed_at_s
        if now_s <= renewed_at_s + FRESH_S:
            came_with_line = renewed_at_s <= self._last_line_at_s + SAME_LINE_WINDOW_S
            self._unsent = self._unsent or self.stale or not came_with_line
            self.stale = False
        return True

    def expire(self) -> None:
        """Nobody renews any more."""
        self._unsent = False
        self.stale = True

    def record_line(self, now_s: float) -> None:
        """A change or an empty line to all children; it tells them of any renewal before."""
        self._unsent = False
        self._last_line_at_s = now_s

    def due_at_s(self) -> float | None:
        """When an empty line is due; None: there is nothing to be told."""
        return self._last_line_at_s + MIN_LINE_INTERVAL_S if self._unsent else None

    def take_renewal(self, now_s: float) -> bool:
        """Whether an empty line goes out now. Then, and where the renewal has become too old for it, there
        is nothing to be told until the next one."""
        due_at_s = self.due_at_s()
        if due_at_s is None or self._renewed_at_s is None or now_s < due_at_s:
            return False
        self.record_line(now_s)
        return now_s <= self._renewed_at_s + FRESH_S

    def age_s(self, now_s: float) -> float | None:
        """Since the last renewal; None: there has been none."""
        return None if self._renewed_at_s is None else max(0.0, now_s - self._renewed_at_s)
