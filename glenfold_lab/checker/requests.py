"""What is open: requests, their attempts, and the connections that they became.

Observations are only noted down here. A request is judged once, a while after its deadline, when all that
belongs to it has been seen; what comes for it later still is a break by itself.
"""

from bisect import bisect_left
from collections import defaultdict

from glenfold_lab.checker import answer, attempt, move
from glenfold_lab.checker.state import Attempt, Request
from glenfold_lab.checker.verdicts import Verdicts
from glenfold_lab.observe import AttemptOutcome, End, Final, Watcher
from glenfold_lab.spec import Rules

LINGER_US = 1_000_000  # how long a message may be under way: a request is judged so much after its time is up
STEP_US = 250_000  # requests whose times are up within one step are judged together


class Requests(Watcher):
    """Judges "answer", "attempt" and "move"."""

    def __init__(self, rules: Rules, slack_us: int, found: Verdicts) -> None:
        self._most = rules.max_attempts
        self._slack = slack_us
        self._answer_slack = slack_us + round(rules.answer_slack_ms * 1000)
        self._found = found
        self._open: dict[int, Request] = {}
        self._to_judge: defaultdict[int, list[Request]] = defaultdict(list)  # by the step in which it is time
        self._next_step = 0
        self._deaths: defaultdict[int, list[int]] = defaultdict(list)  # moments, by relay

    # ---- what is seen ----

    def taken(self, at: int, request: int, relay: int, deadline: int, request_class: int) -> None:
        step = at // STEP_US
        if step > self._next_step:
            self._judge_until(step, at)
        due = deadline + self._answer_slack
        state = self._open[request] = Request(request, relay, at, deadline, due)
        self._to_judge[(due + LINGER_US) // STEP_US].append(state)

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        state = self._open.get(request)
        if state is None:
            return attempt.for_nobody(self._found, at, request, relay, server, first)
        new = Attempt(server, first, at, state.last)
        if state.over_before and any(who == server and first <= over for who, over in state.over_before):
            new.over_at, new.how = at, AttemptOutcome.ABANDONED
        if state.judged:
            attempt.judge_late(self._found, state, new, self._slack)
        else:
            state.last = new

    def attempt_over(self, at: int, request: int, server: int, how: AttemptOutcome) -> None:
        state = self._open.get(request)
        if state is None or state.judged:
            return
        one, out = state.last, None
        while one is not None:  # of two at one server, the older
            if one.server == server and one.over_at is None:
                out = one
            one = one.before
        if out is None:
            state.over_before = (*state.over_before, (server, at))
        else:
            out.over_at, out.how = at, how

    def answered(self, at: int, request: int, final: Final, server: int | None, wait_us: int) -> None:
        state = self._open.get(request)
        if state is None:  # judged without one, or never taken
            return
        if state.final is None:
            state.final, state.final_at, state.receipt_of = final, at, server
            return
        state.again = (*state.again, (at, final))
        if state.judged:
            answer.second(self._found, state)

    def left(self, at: int, request: int) -> None:
        state = self._open.get(request)
        if state is not None and state.left_at is None:
            state.left_at = at

    def ended(self, at: int, request: int, how: End) -> None:
        state = self._open.get(request)
        if how == End.CUT:
            move.cut(self._found, state, at, request)
        if state is not None:
            state.ended = True
            if state.judged:
                del self._open[request]

    def held_back(self, at: int, request: int, us: int) -> None:
        if us > move.HELD_BACK_US + self._slack:
            move.held_back(self._found, self._open.get(request), at, request, us)

    def relay_down(self, at: int, relay: int) -> None:
        self._deaths[relay].append(at)

    def finish(self, at: int) -> None:
        for step in sorted(self._to_judge):
            self._judge_step(step, at)

    # ---- judging ----

    def _judge_until(self, step: int, now: int) -> None:
        self._next_step = step
        for due in sorted(due for due in self._to_judge if due < step):
            self._judge_step(due, now)

    def _judge_step(self, step: int, now: int) -> None:
        for state in self._to_judge.pop(step):
            answer.judge(self._found, state, now, self._slack, self._death)
            attempt.judge(self._found, state, now, self._most, self._slack)
            state.judged, state.last = True, None
            if state.over and self._open.get(state.number) is state:
                del self._open[state.number]

    def _death(self, state: Request) -> int | None:
        """When the relay that took it died; None if it lives on."""
        deaths = self._deaths.get(state.relay)
        if deaths is None:
            return None
        index = bisect_left(deaths, state.taken_at)
        return deaths[index] if index < len(deaths) else None
