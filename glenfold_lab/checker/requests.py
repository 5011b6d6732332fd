"""Keeps the open requests, their attempts and the connections that they set up.

Observations are only recorded at first. A request is judged once, some time after its deadline, when all
observations of it have arrived; an observation that arrives later still breaks a rule by itself.
"""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass

from glenfold_lab.checker import answer, attempt, move
from glenfold_lab.checker.state import Attempt, Request
from glenfold_lab.checker.verdicts import Verdicts
from glenfold_lab.observe import AttemptOutcome, End, Final, Watcher
from glenfold_lab.spec import Rules

# Time in transit that a message may have: a request is judged this long after the time for its answer is up.
JUDGING_DELAY_US = 1_000_000
JUDGING_STEP_US = 250_000  # Requests whose time is up within one step are judged together.


@dataclass(frozen=True, slots=True)
class RelayDeath:
    """The death of a relay: its process ended between `began_at` and `exited_at`, in microseconds."""

    began_at: int
    exited_at: int


class RequestRules(Watcher):
    """Checks the rules "answer", "attempt" and "move"."""

    def __init__(self, rules: Rules, slack_us: int, verdicts: Verdicts) -> None:
        self._max_attempts = rules.max_attempts
        self._slack_us = slack_us
        self._answer_slack_us = slack_us + round(rules.answer_slack_ms * 1000)
        self._verdicts = verdicts
        self._open: dict[int, Request] = {}
        # The requests to judge, by the number of their step.
        self._to_judge: defaultdict[int, list[Request]] = defaultdict(list)
        self._next_step = 0
        self._relay_deaths: defaultdict[int, list[RelayDeath]] = defaultdict(list)

    # ---- observations ----

    def taken(self, at: int, request: int, relay: int, deadline: int, request_class: int) -> None:
        step = at // JUDGING_STEP_US
        if step > self._next_step:
            self._judge_until(step, at)
        due = deadline + self._answer_slack_us
        record = self._open[request] = Request(request, relay, at, deadline, due)
        self._to_judge[(due + JUDGING_DELAY_US) // JUDGING_STEP_US].append(record)

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        record = self._open.get(request)
        if record is None:
            return attempt.report_unrequested(self._verdicts, at, request, relay, server, first)
        new = Attempt(server, first, at, record.last_attempt)
        if record.ended_before_arrival and any(
            ended_server == server and first <= ended_at
            for ended_server, ended_at in record.ended_before_arrival
        ):
            new.ended_at, new.outcome = at, AttemptOutcome.ABANDONED
        if record.is_judged:
            attempt.judge_late(self._verdicts, record, new, self._slack_us)
        else:
            record.last_attempt = new

    def attempt_over(self, at: int, request: int, server: int, how: AttemptOutcome) -> None:
        record = self._open.get(request)
        if record is None or record.is_judged:
            return
        candidate, ended = record.last_attempt, None
        while candidate is not None:  # Of two open attempts on one server, the older has ended.
            if candidate.server == server and candidate.ended_at is None:
                ended = candidate
            candidate = candidate.previous
        if ended is None:
            record.ended_before_arrival = (*record.ended_before_arrival, (server, at))
        else:
            ended.ended_at, ended.outcome = at, how

    def answered(self, at: int, request: int, final: Final, server: int | None, wait_us: int) -> None:
        record = self._open.get(request)
        if record is None:  # The request was judged without an answer, or never taken.
            return
        if record.final is None:
            record.final, record.final_at, record.receipt_server = final, at, server
            return
        record.later_answers = (*record.later_answers, (at, final))
        if record.is_judged:
            answer.report_second_answer(self._verdicts, record)

    def left(self, at: int, request: int) -> None:
        record = self._open.get(request)
        if record is not None and record.client_left_at is None:
            record.client_left_at = at

    def ended(self, at: int, request: int, how: End) -> None:
        record = self._open.get(request)
        if how == End.CUT:
            move.report_cut(self._verdicts, record, at, request)
        if record is not None:
            record.has_ended = True
            if record.is_judged:
                del self._open[request]

    def held_back(self, at: int, request: int, us: int) -> None:
        if us > move.MAX_LINE_DELAY_US + self._slack_us:
            move.held_back(self._verdicts, self._open.get(request), at, request, us, self._slack_us)

    def relay_down(self, at: int, relay: int, exited_at: int | None = None) -> None:
        self._relay_deaths[relay].append(RelayDeath(at, at if exited_at is None else exited_at))

    def finish(self, at: int) -> None:
        for step in sorted(self._to_judge):
            self._judge_step(step, at)

    # ---- judging ----

    def _judge_until(self, step: int, now: int) -> None:
        self._next_step = step
        for due_step in sorted(due_step for due_step in self._to_judge if due_step < step):
            self._judge_step(due_step, now)

    def _judge_step(self, step: int, now: int) -> None:
        for record in self._to_judge.pop(step):
            answer.judge(self._verdicts, record, now, self._slack_us, self._relay_death)
            attempt.judge(self._verdicts, record, now, self._max_attempts, self._slack_us)
            record.is_judged, record.last_attempt = True, None
            if record.is_finished and self._open.get(record.number) is record:
                del self._open[record.number]

    def _relay_death(self, record: Request) -> int | None:
        """Returns the earliest time at which the relay that took the request may have died.

        Returns None if it is still running. A killed process takes requests until it exits, as the kernel
        accepts them.
        """
        deaths = self._relay_deaths.get(record.relay)
        if deaths is None:
            return None
        index = bisect_left(deaths, record.taken_at, key=lambda death: death.exited_at)
        return deaths[index].began_at if index < len(deaths) else None
