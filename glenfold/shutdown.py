"""The schedule of a planned shutdown, without I/O.

It says when arrivals end, when the clients of standing connections are moved, and when all must be finished.
Times are in seconds on the clock of `notified_at`, the time at which the relay was told to stop.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

from linnetspread import interface

# New connections still arrive for this long after the last one.
ARRIVALS_S = 0.45

# SIGKILL comes KILL_DELAY_S after the longest deadline of any class, but no earlier than KILL_DELAY_S after
# MIN_NOTICE_S. The relay exits EXIT_DELAY_S after the same time.
MIN_NOTICE_S = 3.0
KILL_DELAY_S = 0.7
EXIT_DELAY_S = 0.4

MAX_MOVE_S = 0.3  # maximum duration of one move

# The sweep moves all remaining clients at once. It starts this long before the exit, plus a time for each
# client.
SWEEP_LEAD_S = 0.05
SWEEP_COST_S = 60e-6

MOVE_SPREAD_S = 1.5  # time over which moves are spread where the relay passes packets through

# Clients that still wait get a final answer this long before the exit, so that the answer reaches them.
ANSWER_LEAD_S = 0.15
MIN_ANSWER_TURNS = 10  # least turns of the event loop for a last answer, and for MOVE after UP
ANSWER_POLL_S = 0.02  # interval between two checks for unanswered requests

# Pace of moves, with all the work that follows one, until enough moves are measured. The initial figure has
# the weight of PACE_WINDOW_MOVES moves; after as many moves a forecast is reliable.
INITIAL_MOVES_PER_S = 2500.0
PACE_WINDOW_MOVES = 400

# Moves are forecast to be late only if this share of the remaining ones is, as no forecast is more precise,
# and if the forecast holds for this long: passing lines make moves expensive, but fewer lines pass after each
# move.
MIN_LATE_SHARE = 0.1
MIN_FORECAST_S = 0.4

# Approximate turns of the event loop in a second. Where more moves a second are needed, a turn does several.
TURNS_PER_S = 500.0
SLEEP_OVERRUN_S = 0.002  # time by which a sleep may be longer than requested
MIN_SPARE_SHARE = 0.1  # share of the time that is assumed to be available for moves
MANY_MOVES = 1000  # number of remaining moves from which one slow turn is not taken for an accident
SWEEP_TURNS = 3  # turns of the event loop that must remain when the sweep starts

# Moves in one turn are bounded by the number that takes MAX_TURN_S at the measured pace, as other connections
# wait meanwhile; that bound is kept within this range.
MOVES_PER_TURN_RANGE = 32, 250
MAX_TURN_S = 0.1

Standing = TypeVar("Standing")


@dataclass(frozen=True, slots=True)
class Step:
    """The number of moves to make at once, and the time of the next step.

    `late` is the number of connections that can't be moved one by one in time at the measured pace; they are
    moved all at once by the sweep. `sweep` is True if this step is the sweep.
    """

    moves: int
    next_at: float
    late: int = 0
    sweep: bool = False


class ShutdownSchedule:
    """The schedule of one shutdown.

    Where the relay passes packets through, connections stand for as long as the platform allows, because
    other relays may be restarting too. Their clients are then moved one by one, because all at once they
    would overload the servers. With more connections than can be moved in the usual time the moves start
    earlier, but never before arrivals end: until then the front would send moved clients back to this relay.

    `deadline_s` is the time from the notice until SIGKILL; None stands for the time that the platform
    promises.
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
        # Time limit for the answers where the event loop is late.
        self.last_answers_at = self.exit_at + ANSWER_LEAD_S
        self.moves_individually = settings.pass_through
        self.is_short_of_time = False  # not all connections can be moved one by one in time
        # Seconds that moves took, and the number of these moves.
        self._cost = PACE_WINDOW_MOVES / INITIAL_MOVES_PER_S, float(PACE_WINDOW_MOVES)
        self._lateness_s = 0.0, 0.0  # lateness of the last two turns
        self._late_since = notified_at
        self._max_remaining = 0
        self._moved = 0
        self._last: tuple[float, float, Step] | None = None

    def arrivals_end_at(self, last_arrival: float) -> float:
        """Returns the time until which arrivals are awaited, given the time of the last one.

        Clients go on arriving for a while, and each that the kernel has accepted must be served.
        """
        return min(max(self.notified_at, last_arrival), self.notified_at + 2 * ARRIVALS_S) + ARRIVALS_S

    @property
    def moves_per_s(self) -> float:
        """The measured pace of moves."""
        seconds, moves = self._cost
        return moves / seconds

    def set_passing_share(self, share: float) -> None:
        """Sets the share of the time spent on passing lines. Has an effect only before the first move."""
        if self._last is None:
            self._cost = (
                PACE_WINDOW_MOVES / INITIAL_MOVES_PER_S / max(MIN_SPARE_SHARE, 1.0 - share),
                float(PACE_WINDOW_MOVES),
            )

    def record_lateness(self, now: float, due: float) -> None:
        """Records that the event loop came back at `now` when it was due at `due`.

        In a relay with more lines to pass than it can handle, one turn may take a second. With only hundreds
        of connections, a single stall is no sign of such a relay, so the last two turns are kept.
        """
        self._lateness_s = self._lateness_s[1], max(0.0, now - due)

    def moves_start_at(self, standing: int) -> float:
        """Returns the time of the first of `standing` moves; it is in the past if the moves are overdue."""
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
        """Adds the cost of the last turn to the measured pace.

        The cost is the CPU time of the turn, or the delay of the loop if other processes used the core.
        """
        if self._last is None:
            return
        at, worked_before, step = self._last
        self.record_lateness(now, max(at, step.next_at))
        if not step.moves:
            return
        took_s = max(worked_s - worked_before, now - max(at, step.next_at) - SLEEP_OVERRUN_S)
        seconds, moves = self._cost
        # Weight of the measurements so far: only the last few hundred moves count.
        kept = PACE_WINDOW_MOVES / (moves + step.moves)
        self._cost = (seconds + took_s) * kept, (moves + step.moves) * kept


def move_order(standing: Mapping[Standing, float], is_short_of_time: bool) -> list[Standing]:
    """Returns the connections in the order in which their clients are moved.

    `standing` maps each connection, oldest first, to its worth. Oldest first mixes the classes. If not all
    can be moved one by one, the connections of the greatest worth come first: the clients that are moved last
    all return at the same time, or are cut off in the middle of a line.
    """
    return (
        sorted(standing, key=lambda connection: -standing[connection]) if is_short_of_time else list(standing)
    )
