"""A planned restart: when arrivals end, when standing connections move, and when all must be over. No I/O.

Moments are in seconds, on the clock of `told_at`: that at which the relay was told to stop.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

from linnetspread import interface as i

ARRIVING_S = 0.45  # new connections go on arriving for as long as this
LEAST_NOTICE_S = 3.0  # SIGKILL comes no earlier than this, or the longest deadline, and 0.7 s
KILL_S = 0.7
LEAVE_S = 0.4  # of those 0.7 s
MOVE_S = 0.3  # that a move may take
SWEEP_S = 0.05  # before the end all that are left are told at once
SWEEP_EACH_S = 60e-6  # which takes so long for each
MOVES_S = 1.5  # over which they are spread where packets pass through
ANSWERED_S = 0.15  # before the end whoever still waits gets a final answer, and has it
ANSWER_TURNS = 10  # of the loop, at least, from the end to an answer, and to a MOVE after one of UP
ANSWERS_S = 0.02  # between two looks at what is unanswered
PACE = 2500.0  # moves a second with all that follows one, until measured
MEASURED = 400  # moves that the figure above weighs as much as, and after which a forecast is sound
LEAST_LATE = 0.1  # of those that are left: no forecast is sounder than that
SOUND_S = 0.4  # that it holds: lines that pass make moves dear, but fewer pass with each move
TURNS = 500.0  # of the loop in a second, about: what needs more moves goes several at a turn
LATE_S = 0.002  # that a sleep may take longer than it was asked for
LEAST_SPARE = 0.1  # of the time, for moves
THOUSANDS = 1000  # to be moved: from here on a slow turn is taken to be no accident
TURNS_LEFT = 3  # of the loop, before the end, when all that are left are told at once
MOST_AT_ONCE = 32, 250  # moves in one turn: between these what takes so long, at the pace measured, as
AT_ONCE_S = 0.1  # what passes on other connections waits meanwhile

Standing = TypeVar("Standing")


@dataclass(frozen=True, slots=True)
class Step:
    """So many moves at once, and when to ask again. late: connections that by now can't be moved one by one
    in time, at the pace measured; they are told all at once in the end. sweep: that is now."""

    moves: int
    again_at: float
    late: int = 0
    sweep: bool = False


class Leaving:
    """Where packets pass through, connections stand as long as the platform allows, as other relays may be
    restarting too; then their clients move one by one: all at once they would jam the servers. Where so many
    stand that this takes longer than usual, it begins earlier, but never before new connections end: the
    front would send those that move back here.

    deadline_s: from being told to stop until SIGKILL; None: what the platform promises.
    """

    def __init__(self, told_at: float, settings: i.Settings, deadline_s: float | None = None) -> None:
        if deadline_s is None:
            longest_s = (kind.deadline_us / 1e6 for kind in settings.classes)
            deadline_s = max([LEAST_NOTICE_S, *longest_s]) + KILL_S
        self.told_at = told_at
        self.leave_at = told_at + max(0.0, deadline_s - (KILL_S - LEAVE_S))
        self.moves_end = max(told_at, self.leave_at - MOVE_S)
        self.answers_end = max(told_at, self.leave_at - ANSWERED_S)
        self.over_at = self.leave_at + ANSWERED_S  # for a loop that comes late to the answers
        self.one_by_one = settings.pass_through
        self.short = False  # of time: not all can be moved one by one
        self._cost = MEASURED / PACE, float(MEASURED)  # seconds taken by moves, and their number
        self._late_s = 0.0, 0.0  # by which the loop came back, the last two times
        self._late_since = told_at
        self._most = 0
        self._moved = 0
        self._last: tuple[float, float, Step] | None = None

    def arrivals_until(self, last_arrival: float) -> float:
        """Clients go on coming for a while; each that the kernel has accepted counts as taken."""
        return min(max(self.told_at, last_arrival), self.told_at + 2 * ARRIVING_S) + ARRIVING_S

    @property
    def pace(self) -> float:
        """Moves a second."""
        seconds, moves = self._cost
        return moves / seconds

    def busy(self, share: float) -> None:
        """That part of the time goes into what passes on the connections that stand, before any moves."""
        if self._last is None:
            self._cost = MEASURED / PACE / max(LEAST_SPARE, 1.0 - share), float(MEASURED)

    def came_back(self, now: float, due: float) -> None:
        """The loop did, when it was to at `due`: in a relay that has more lines to pass than it can, one turn
        may take a second. Where hundreds stand, one stall does not make it such a relay."""
        self._late_s = self._late_s[1], max(0.0, now - due)

    def moves_from(self, standing: int) -> float:
        """When the first of so many moves; in the past if it is high time."""
        if not self.one_by_one:
            return self.told_at
        return max(self.told_at, self.moves_end - max(MOVES_S, standing / self.pace))

    def step(self, now: float, worked_s: float, left: int) -> Step:
        """What to do now, with so many left to be moved: to be carried out, and asked again at `again_at`.
        worked_s: CPU time that the process has used in all."""
        self._measure(now, worked_s)
        step = self._next(now, left)
        self.short = self.short or step.late > 0
        self._moved += step.moves
        self._last = now, worked_s, step
        return step

    def _next(self, now: float, left: int) -> Step:
        if not left:
            return Step(0, now + ANSWERS_S)
        self._most = max(self._most, left)
        turn_s = max(self._late_s) if self._most >= THOUSANDS else min(self._late_s)
        # The next turn may be longer than those before.
        if now >= self.leave_at - SWEEP_S - left * SWEEP_EACH_S - TURNS_LEFT * turn_s:
            return Step(left, now, left, sweep=True)
        least, most = MOST_AT_ONCE
        most = max(least, min(most, int(self.pace * AT_ONCE_S)))
        remaining = self.moves_end - now
        if remaining <= 0:
            return Step(min(left, most), now)
        needed = (1 + left) / remaining
        moves = min(left, most, max(1, round(needed * max(1 / TURNS, turn_s))))
        gap = moves / needed if self.one_by_one else 0.0
        late = left - int(self.pace * remaining)
        if self._moved < MEASURED or late <= LEAST_LATE * left:
            self._late_since = now
        return Step(moves, now + gap, late if now - self._late_since >= SOUND_S else 0)

    def _measure(self, now: float, worked_s: float) -> None:
        """What a turn has cost: the work in it, or the time by which it came back late, when others had the
        core meanwhile."""
        if self._last is None:
            return
        at, worked_before, step = self._last
        self.came_back(now, max(at, step.again_at))
        if not step.moves:
            return
        took = max(worked_s - worked_before, now - max(at, step.again_at) - LATE_S)
        seconds, moves = self._cost
        kept = MEASURED / (moves + step.moves)  # the last few hundred count
        self._cost = (seconds + took) * kept, (moves + step.moves) * kept


def in_order(standing: Mapping[Standing, float], short: bool) -> list[Standing]:
    """Whose clients move first. Oldest first, which mixes the classes. When not all can be moved one by one,
    those of the greatest worth (a driver's feed) come first: the last to be told are those that all return
    at the same moment, or are cut within a line."""
    return sorted(standing, key=lambda one: -standing[one]) if short else list(standing)
