"""Exactly one final answer for each request taken, in time, and an UP only as a push server gave it.

Excused: a client that left before its deadline, without an answer until then; a relay that died first. A
client that gave up when its time ran out excuses nothing.
"""

from collections.abc import Callable

from glenfold_lab.checker.state import Request
from glenfold_lab.checker.verdicts import Seen, Verdicts
from glenfold_lab.observe import AttemptOutcome, Final

Death = Callable[[Request], int | None]  # when the relay that took the request died, if it did since


def judge(found: Verdicts, state: Request, now: int, slack_us: int, death: Death) -> None:
    final, left = state.final, state.left_at
    if final is None:
        _judge_none(found, state, now, death)
    elif left is not None and left < min(state.deadline, state.final_at):
        return
    elif state.again:
        second(found, state)
    elif state.final_at > state.due:
        _broken(found, state, state.final_at, [_due(state), state.final_seen()])
    elif final == Final.UP:
        _judge_up(found, state, slack_us)
    elif final == Final.CLOSED:
        died = death(state)
        if died is None or died >= state.final_at:
            _broken(found, state, state.final_at, [state.final_seen()])


def _judge_up(found: Verdicts, state: Request, slack_us: int) -> None:
    one, by = state.last, state.final_at + slack_us
    while one is not None:
        if one.how == AttemptOutcome.UP and one.server == state.receipt_of and (one.over_at or 0) <= by:
            return
        one = one.before
    attempts = [seen for one in state.attempts() for seen in one.seen()]
    nobody = (state.final_at, "no push server had given such an UP for it by then")
    _broken(found, state, state.final_at, [*attempts, state.final_seen(), nobody])


def _judge_none(found: Verdicts, state: Request, now: int, death: Death) -> None:
    left, died = state.left_at, death(state)
    if now < state.due or left is not None and left < state.deadline or died is not None and died < state.due:
        return
    seen = [_due(state)] if left is None else [_due(state), (left, "its client gave up")]
    _broken(found, state, state.due, [*seen, (state.due, "it had no answer")])


def second(found: Verdicts, state: Request) -> None:
    at, final = state.again[-1]
    _broken(found, state, at, [state.final_seen(), (at, f"another answer: {final.name.lower()}")])


def _due(state: Request) -> Seen:
    return state.deadline, "its deadline"


def _broken(found: Verdicts, state: Request, at: int, seen: list[Seen]) -> None:
    found.add("answer", at, [state.taken_seen(), *seen], state.number, state.receipt_of, state.relay)
