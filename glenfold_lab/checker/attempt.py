"""At most one attempt out for a request at any moment, none after its final answer or long after its client
has left, and not too many."""

from glenfold_lab.checker.state import Attempt, Request
from glenfold_lab.checker.verdicts import Seen, Verdicts

LEFT_US = 300_000  # after its client has left a request may be sent on for so long


def judge(found: Verdicts, state: Request, now: int, most: int, slack_us: int) -> None:
    one = state.last
    if one is not None and one.before is not None:
        _judge_several(found, state, now, most, slack_us)
    while one is not None:
        judge_late(found, state, one, slack_us)
        one = one.before


def judge_late(found: Verdicts, state: Request, one: Attempt, slack_us: int) -> None:
    """Against the final answer, and against the client's end."""
    if state.final is not None and one.first > state.final_at + slack_us:
        _broken(found, state, one, [state.final_seen(), *one.seen()])
    elif state.left_at is not None and one.first > state.left_at + LEFT_US + slack_us:
        _broken(found, state, one, [(state.left_at, "its client had left"), *one.seen()])


def _judge_several(found: Verdicts, state: Request, now: int, most: int, slack_us: int) -> None:
    """Two attempts overlap when the one was out for more than the slack after the other had arrived: the end
    of the one and the arrival of the other are seen at two servers."""
    attempts = state.attempts()
    if len(attempts) > most:
        one = attempts[most]
        count = (one.at, f"that was attempt {most + 1} of {most} at the most")
        _broken(found, state, one, [*attempts[0].seen(), *one.seen(), count])
    for index, one in enumerate(attempts):
        for before in attempts[:index]:
            if (now if before.over_at is None else before.over_at) > one.at + slack_us:
                still = [] if before.over_at is not None else [(now, "the first was still out")]
                return _broken(found, state, one, [*before.seen(), *one.seen(), *still])


def for_nobody(found: Verdicts, at: int, request: int, relay: int, server: int, first: int) -> None:
    """What is over is forgotten: an attempt for it is as much of a break as one that no client asked for."""
    sent = (first, f"relay {relay} sent an attempt for request {request} to server {server}")
    nobody = (at, "no relay held this request: it was never taken, or over long before")
    found.add("attempt", at, [sent, nobody], request, server, relay)


def _broken(found: Verdicts, state: Request, one: Attempt, seen: list[Seen]) -> None:
    found.add("attempt", one.at, [state.taken_seen(), *seen], state.number, one.server, state.relay)
