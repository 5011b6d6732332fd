"""Rule "answer": each accepted request gets exactly one final answer in time, and UP only from a push server.

A missing answer is excused if the client left before its deadline or the relay died first. A client that
gave up when its time ran out does not excuse it.
"""

from collections.abc import Callable

from glenfold_lab.checker.gaps import Overrun
from glenfold_lab.checker.state import Request
from glenfold_lab.checker.verdicts import Evidence, Verdicts
from glenfold_lab.observe import AttemptOutcome, Final

# Returns the time at which the relay that accepted the request died, or None if it is still running.
RelayDeathLookup = Callable[[Request], int | None]


def judge(
    verdicts: Verdicts, record: Request, now: int, slack_us: int, relay_death: RelayDeathLookup
) -> None:
    """Checks the answers of one request when its time is up."""
    final, client_left_at = record.final, record.client_left_at
    if final is None:
        _judge_unanswered(verdicts, record, now, relay_death)
    elif client_left_at is not None and client_left_at < min(record.deadline, record.final_at):
        return
    elif record.later_answers:
        report_second_answer(verdicts, record)
    elif record.final_at > record.due:
        evidence = [_deadline_evidence(record), record.final_evidence()]
        _report(verdicts, record, record.final_at, evidence)
    elif final == Final.UP:
        _judge_up(verdicts, record, slack_us)
    elif final == Final.CLOSED:
        died_at = relay_death(record)
        if died_at is None or died_at >= record.final_at:
            _report(verdicts, record, record.final_at, [record.final_evidence()])


def _judge_up(verdicts: Verdicts, record: Request, slack_us: int) -> None:
    attempt, latest, overrun = record.last_attempt, record.final_at + slack_us, None
    while attempt is not None:
        if attempt.outcome == AttemptOutcome.UP and attempt.server == record.receipt_server:
            up_at = attempt.ended_at or 0
            if up_at <= latest:
                return
            overrun = Overrun(latest, up_at)
        attempt = attempt.previous
    attempts = [evidence for attempt in record.attempts() for evidence in attempt.evidence()]
    no_up = (record.final_at, "no push server had given such an UP for it by then")
    _report(verdicts, record, record.final_at, [*attempts, record.final_evidence(), no_up], overrun)


def _judge_unanswered(verdicts: Verdicts, record: Request, now: int, relay_death: RelayDeathLookup) -> None:
    client_left_at, died_at = record.client_left_at, relay_death(record)
    if (
        now < record.due
        or client_left_at is not None
        and client_left_at < record.deadline
        or died_at is not None
        and died_at < record.due
    ):
        return
    evidence = (
        [_deadline_evidence(record)]
        if client_left_at is None
        else [_deadline_evidence(record), (client_left_at, "its client gave up")]
    )
    _report(verdicts, record, record.due, [*evidence, (record.due, "it had no answer")])


def report_second_answer(verdicts: Verdicts, record: Request) -> None:
    """Reports the latest answer of a request that had been answered before."""
    at, final = record.later_answers[-1]
    _report(verdicts, record, at, [record.final_evidence(), (at, f"another answer: {final.name.lower()}")])


def _deadline_evidence(record: Request) -> Evidence:
    return record.deadline, "its deadline"


def _report(
    verdicts: Verdicts, record: Request, at: int, evidence: list[Evidence], overrun: Overrun | None = None
) -> None:
    all_evidence = [record.taken_evidence(), *evidence]
    verdicts.add("answer", at, all_evidence, record.number, record.receipt_server, record.relay, overrun)
