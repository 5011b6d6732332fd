"""Rule "attempt": a request has at most one open attempt at any time, and a limited number of attempts.

No attempt may be sent after the final answer, or long after the client has left.
"""

from glenfold_lab.checker.gaps import Overrun
from glenfold_lab.checker.state import Attempt, Request
from glenfold_lab.checker.verdicts import Evidence, Verdicts

CLIENT_LEFT_GRACE_US = 300_000  # An attempt may still be sent this long after the client has left.


def judge(verdicts: Verdicts, record: Request, now: int, max_attempts: int, slack_us: int) -> None:
    """Checks all attempts of one request when its time is up."""
    attempt = record.last_attempt
    if attempt is not None and attempt.previous is not None:
        _judge_several(verdicts, record, now, max_attempts, slack_us)
    while attempt is not None:
        judge_late(verdicts, record, attempt, slack_us)
        attempt = attempt.previous


def judge_late(verdicts: Verdicts, record: Request, attempt: Attempt, slack_us: int) -> None:
    """Checks that an attempt was not sent after the final answer, or too long after the client had left."""
    if record.final is not None and attempt.first_sent_at > (latest := record.final_at + slack_us):
        overrun = Overrun(latest, attempt.first_sent_at)
        _report(verdicts, record, attempt, [record.final_evidence(), *attempt.evidence()], overrun)
    elif (
        record.client_left_at is not None
        and attempt.first_sent_at > record.client_left_at + CLIENT_LEFT_GRACE_US + slack_us
    ):
        _report(
            verdicts,
            record,
            attempt,
            [(record.client_left_at, "its client had left"), *attempt.evidence()],
        )


def _judge_several(verdicts: Verdicts, record: Request, now: int, max_attempts: int, slack_us: int) -> None:
    """Checks the number of attempts, and that no two of them overlap.

    Two attempts overlap if one was still open more than the slack after the other had arrived. The end of the
    one and the arrival of the other are observed at two servers.
    """
    attempts = record.attempts()
    if len(attempts) > max_attempts:
        attempt = attempts[max_attempts]
        count = (attempt.arrived_at, f"that was attempt {max_attempts + 1} of {max_attempts} at the most")
        _report(verdicts, record, attempt, [*attempts[0].evidence(), *attempt.evidence(), count])
    for index, attempt in enumerate(attempts):
        for earlier in attempts[:index]:
            if (now if earlier.ended_at is None else earlier.ended_at) > attempt.arrived_at + slack_us:
                still_open = [] if earlier.ended_at is not None else [(now, "the first was still out")]
                evidence = [*earlier.evidence(), *attempt.evidence(), *still_open]
                overrun = (
                    None
                    if earlier.ended_at is None
                    else Overrun(attempt.arrived_at + slack_us, earlier.ended_at)
                )
                return _report(verdicts, record, attempt, evidence, overrun)


def report_unrequested(
    verdicts: Verdicts, at: int, request: int, relay: int, server: int, first_sent_at: int
) -> None:
    """Reports an attempt for a request that is not open: finished long before, or never made by a client.

    The checker forgets finished requests, so it cannot tell these two apart; both break the rule.
    """
    sent = (first_sent_at, f"relay {relay} sent an attempt for request {request} to server {server}")
    not_open = (at, "no relay held this request: it was never taken, or over long before")
    verdicts.add("attempt", at, [sent, not_open], request, server, relay)


def _report(
    verdicts: Verdicts,
    record: Request,
    attempt: Attempt,
    evidence: list[Evidence],
    overrun: Overrun | None = None,
) -> None:
    verdicts.add(
        "attempt",
        attempt.arrived_at,
        [record.taken_evidence(), *evidence],
        record.number,
        attempt.server,
        record.relay,
        overrun,
    )
