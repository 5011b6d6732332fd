"""At most one attempt out for a request at any moment, none after its final answer, and not too many."""

from collections.abc import Iterator, Sequence

from glenfold_lab.checker.state import Attempt, Request
from glenfold_lab.checker.verdicts import Seen, Verdicts


def judge(found: Verdicts, state: Request, now: int, most: int, slack_us: int) -> None:
    """Two attempts overlap when the one was out for more than the slack after the other had arrived: the end
    of the one and the arrival of the other are seen at two servers."""
    attempts = state.attempts
    if state.final is not None:
        for one in attempts:
            judge_late(found, state, one, slack_us)
    if len(attempts) < 2:
        return
    if len(attempts) > most:
        count = (attempts[most].at, f"that was attempt {most + 1} of {most} at the most")
        _broken(found, state, attempts[most], [*attempts[0].seen(), *attempts[most].seen(), count])
    for one, before in _pairs(attempts):
        if (now if before.over_at is None else before.over_at) > one.at + slack_us:
            still = [] if before.over_at is not None else [(now, "the first was still out")]
            _broken(found, state, one, [*before.seen(), *one.seen(), *still])
            return


def _pairs(attempts: Sequence[Attempt]) -> Iterator[tuple[Attempt, Attempt]]:
    """Each with every one that had arrived before it."""
    return ((one, before) for index, one in enumerate(attempts) for before in attempts[:index])


def judge_late(found: Verdicts, state: Request, one: Attempt, slack_us: int) -> None:
    """One that came when the request had been judged: it stands at a server, or did."""
    if one.first > state.final_at + slack_us:
        _broken(found, state, one, [state.final_seen(), *one.seen()])


def for_nobody(found: Verdicts, at: int, request: int, relay: int, server: int, first: int) -> None:
    """What is over is forgotten: an attempt for it is as much of a break as one that no client asked for."""
    sent = (first, f"relay {relay} sent an attempt for request {request} to server {server}")
    nobody = (at, "no relay held this request: it was never taken, or over long before")
    found.add("attempt", at, [sent, nobody], request, server, relay)


def _broken(found: Verdicts, state: Request, one: Attempt, seen: list[Seen]) -> None:
    found.add("attempt", one.at, [state.taken_seen(), *seen], state.number, one.server, state.relay)
