"""A planned restart: when arrivals end, when standing connections move, and when all must be over. No I/O.

Moments are in seconds, on the clock of `told_at`: that at which the relay was told to stop.
"""

from linnetspread import interface as i

ARRIVING_S = 0.45      # new connections go on arriving for as long as this
LEAST_NOTICE_S = 3.0   # SIGKILL comes no earlier than this, or the longest deadline, and 0.7 s
LEAVE_S = 0.4          # of those 0.7 s
MOVE_S = 0.3           # that a move may take
MOVES_S = 1.5          # over which they are spread where packets pass through
ANSWERS_S = 0.02       # between two looks at what is unanswered


class Leaving:
    """Where packets pass through, connections stand as long as the platform allows, as other relays may be
    restarting too; then their clients move one by one: all at once they would jam the servers."""

    def __init__(self, told_at: float, settings: i.Settings) -> None:
        notice_s = max([LEAST_NOTICE_S, *(kind.deadline_us / 1e6 for kind in settings.classes)])
        self.told_at = told_at
        self.leave_at = told_at + notice_s + LEAVE_S
        self.one_by_one = settings.pass_through
        self.moves_from = self.leave_at - MOVE_S - MOVES_S if self.one_by_one else told_at

    def arrivals_until(self, last_arrival: float) -> float:
        """Clients go on coming for a while; each that the kernel has accepted counts as taken."""
        return min(max(self.told_at, last_arrival), self.told_at + 2 * ARRIVING_S) + ARRIVING_S

    def gap_s(self, now: float, left: int) -> float:
        """From one move to the next, with so many left to be moved."""
        return max(0.0, (self.leave_at - MOVE_S - now) / (1 + left)) if self.one_by_one else 0.0
