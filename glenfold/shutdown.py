"""A planned restart: when arrivals end, when standing connections move, and when all must be over. No I/O.

Moments are in seconds, on the clock of `notified_at`: that at which the relay was told to stop.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

from linnetspread import interface

ARRIVALS_S = 0.45  # new connections go on arriving for as long as this
MIN_NOTICE_S = 3.0  # SIGKILL comes no earlier than this, or the longest deadline, and 0.7 s
KILL_DELAY_S = 0.7
EXIT_DELAY_S = 0.4  # of those 0.7 s
MAX_MOVE_S = 0.3  # that a move may take
SWEEP_LEAD_S = 0.05  # before the end all that are remaining are told at once
SWEEP_COST_S = 60e-6  # which takes so long for each
MOVE_SPREAD_S = 1.5  # over which they are spread where packets pass through
ANSWER_LEAD_S = 0.15  # before the end whoever still waits gets a final answer, and has it
MIN_ANSWER_TURNS = 10  # of the loop, at least, from the end to an answer, and to a MOVE after one of UP
ANSWER_POLL_S = 0.02  # between two looks at what is unanswered
INITIAL_MOVES_PER_S = 2500.0  # moves a second with all that follows one, until measured
PACE_WINDOW_MOVES = 400  # moves that the figure above weighs as much as, and after which a forecast is sound
MIN_LATE_SHARE = 0.1  # of those that are remaining: no forecast is sounder than that
MIN_FORECAST_S = 0.4  # that it holds: lines that pass make moves dear, but fewer pass with each move
TURNS_PER_S = 500.0  # of the loop in a second, about: what needs more moves goes several at a turn
SLEEP_OVERRUN_S = 0.002  # that a sleep may take longer than it was asked for
MIN_SPARE_SHARE = 0.1  # of the time, for moves
MANY_MOVES = 1000  # to be moved: from here on a slow turn is taken to be no accident
SWEEP_TURNS = 3  # of the loop, before the end, when all that are remaining are told at once
MOVES_PER_TURN_RANGE = (
    32,
    250,
)  # moves in one turn: between these what takes so long, at the pace measured, as
MAX_TURN_S = 0.1  # what passes on other connections waits meanwhile

Standing = TypeVar("Standing")


@dataclass(frozen=True, slots=True)
class Step:
    """So many moves at once, and when to ask again. late: connections that by now can't be moved one by one
    in time, at the pace measured; they are told all at once in the end. sweep: that is now."""

    moves: int
    next_at: float
    late: int = 0
    sweep: bool = False


class ShutdownSchedule:
    """Where packets pass through, connections stand as long as the platform allows, as other relays may be
    restarting too; then their clients move one by one: all at once they would jam the servers. Where so many
    stand that this takes longer than usual, it begins earlier, but never before new connections end: the
    front would send those that move back here.

    deadline_s: from being told to stop until SIGKILL; None: what the platform promises.
    """

    def __init__(
        self, notified_at: float, settings: interface.Settings, deadline_s: float | None = None
    ) -> None:
        if deadline_s is None:
            longest_s = (kind.deadline_us / 1e6 for kind in settings.classes)
            deadline_s = max([MIN_NOTICE_S, *longest_s]) + KILL_DELAY_S
        self.notified_at = notified_at
        self.exit_at = notified_at + max(0.0, deadline_s - (KILL_DELAY_S - EXIT_DELAY_S))
        self.moves_end = max(notified_at, self.exit_at - MAX_MOVE_S)
        self.answers_end = max(notified_at, self.exit_at - ANSWER_LEAD_S)
        self.last_answers_at = self.exit_at + ANSWER_LEAD_S  # for a loop that comes late to the answers
        self.moves_individually = settings.pass_through
        self.is_short_of_time = False  # of time: not all can be moved one by one
        self._cost = (
            PACE_WINDOW_MOVES / INITIAL_MOVES_PER_S,
            float(PACE_WINDOW_MOVES),
        )  # seconds taken by moves, and their number
        self._lateness_s = 0.0, 0.0  # by which the loop came back, the last two times
        self._late_since = notified_at
        self._max_remaining = 0
        self._moved = 0
        self._last: tuple[float, float, Step] | None = None

    def arrivals_end_at(self, last_arrival: float) -> float:
        """Clients go on coming for a while; each that the kernel has accepted counts as taken."""
        return min(max(self.notified_at, last_arrival), self.notified_at + 2 * ARRIVALS_S) + ARRIVALS_S

    @property
    def moves_per_s(self) -> float:
        """Moves a second."""
        seconds, moves = self._cost
        return moves / seconds

    def set_passing_share(self, share: float) -> None:
        """That part of the time goes into what passes on the connections that stand, before any moves."""
        if self._last is None:
            self._cost = (
                PACE_WINDOW_MOVES / INITIAL_MOVES_PER_S / max(MIN_SPARE_SHARE, 1.0 - share),
                float(PACE_WINDOW_MOVES),
            )

    def record_lateness(self, now: float, due: float) -> None:
        """The loop did, when it was to at `due`: in a relay that has more lines to pass than it can, one turn
        may take a second. Where hundreds stand, one stall does not make it such a relay."""
        self._lateness_s = self._lateness_s[1], max(0.0, now - due)

    def moves_start_at(self, standing: int) -> float:
        """When the first of so many moves; in the past if it is high time."""
        if not self.moves_individually:
            return self.notified_at
        return max(self.notified_at, self.moves_end - max(MOVE_SPREAD_S, standing / self.moves_per_s))

    def step(self, now: float, worked_s: float, remaining: int) -> Step:
        """Returns what to do now. The caller carries the step out and calls again at its `next_at`.

        `worked_s` is the CPU time in seconds that the process has used so far; `remaining` is the number of
        connections still to be moved.
        """
        self._measure(now, worked_s)
        step = self._next(now, remaining)
        self.is_short_of_time = self.is_short_of_time or step.late > 0
        self._moved += step.moves
        self._last = now, worked_s, step
        return step

    def _next(self, now: float, remaining: int) -> Step:
        if not remaining:
            return Step(0, now + ANSWER_POLL_S)
        self._max_remaining = max(self._max_remaining, remaining)
        turn_s = max(self._lateness_s) if self._max_remaining >= MANY_MOVES else min(self._lateness_s)
        # The next turn may be longer than those before.
        if now >= self.exit_at - SWEEP_LEAD_S - remaining * SWEEP_COST_S - SWEEP_TURNS * turn_s:
            return Step(remaining, now, remaining, sweep=True)
        min_moves, max_moves = MOVES_PER_TURN_RANGE
        max_moves = max(min_moves, min(max_moves, int(self.moves_per_s * MAX_TURN_S)))
        time_left_s = self.moves_end - now
        if time_left_s <= 0:
            return Step(min(remaining, max_moves), now)
        needed = (1 + remaining) / time_left_s
        moves = min(remaining, max_moves, max(1, round(needed * max(1 / TURNS_PER_S, turn_s))))
        gap = moves / needed if self.moves_individually else 0.0
        late = remaining - int(self.moves_per_s * time_left_s)
        if self._moved < PACE_WINDOW_MOVES or late <= MIN_LATE_SHARE * remaining:
            self._late_since = now
        return Step(moves, now + gap, late if now - self._late_since >= MIN_FORECAST_S else 0)

    def _measure(self, now: float, worked_s: float) -> None:
        """What a turn has cost: the work in it, or the time by which it came back late, when others had the
        core meanwhile."""
        if self._last is None:
            return
        at, worked_before, step = self._last
        self.record_lateness(now, max(at, step.next_at))
        if not step.moves:
            return
        took_s = max(worked_s - worked_before, now - max(at, step.next_at) - SLEEP_OVERRUN_S)
        seconds, moves = self._cost
        kept = PACE_WINDOW_MOVES / (moves + step.moves)  # the last few hundred count
        self._cost = (seconds + took_s) * kept, (moves + step.moves) * kept


def move_order(standing: Mapping[Standing, float], short: bool) -> list[Standing]:
    """Whose clients move first. Oldest first, which mixes the classes. When not all can be moved one by one,
    those of the greatest worth (a driver's feed) come first: the last to be told are those that all return
    at the same moment, or are cut within a line."""
    return sorted(standing, key=lambda one: -standing[one]) if short else list(standing)
