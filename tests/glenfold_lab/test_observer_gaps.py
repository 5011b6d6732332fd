"""Verdicts on time limits whose observer did not run: what a gap explains is undecided, and nothing else."""

import itertools
import time

import pytest
import trio

from glenfold_lab.checker import Checker
from glenfold_lab.checker.gaps import Gap, Observer, ObserverGaps, Overrun
from glenfold_lab.commands.play import exit_status, format_verdict
from glenfold_lab.observe import AttemptOutcome, Final, ListedState, Record, replay
from glenfold_lab.results import Verdict
from glenfold_lab.spec import Rules
from glenfold_lab.stand_ins.lateness import BlockingCall, BlockingCalls, Lateness, named_gaps
from glenfold_lab.stand_ins.sockets import since_arrival_us

S = 1_000_000
SLACK = 50_000
RULES = Rules()
SERVER, OTHER_SERVER, RELAY, REQUEST = 101, 102, 0, 7
DEADLINE = 3 * S

TAKEN: list[Record] = [("taken", (S, REQUEST, RELAY, DEADLINE, 0))]
LISTED: list[Record] = [
    ("told", (0, RELAY, SERVER, ListedState.READY, 0)),
    ("told", (0, RELAY, OTHER_SERVER, ListedState.READY, 0)),
]
REFUSED: Record = ("answered", (2 * S, REQUEST, Final.BUSY, None, 0))


# By rule: the records, the time limit, and the time of the observation that passed it.
BROKEN: dict[str, tuple[list[Record], int, int]] = {
    "answer": (
        [
            *LISTED,
            *TAKEN,
            ("sent", (S + 100, REQUEST, RELAY, SERVER, S + 90)),
            ("answered", (2 * S, REQUEST, Final.UP, SERVER, 0)),
            ("attempt_over", (2 * S + SLACK + 80, REQUEST, SERVER, AttemptOutcome.UP)),
        ],
        2 * S + SLACK,
        2 * S + SLACK + 80,
    ),
    "attempt": (
        [
            *LISTED,
            *TAKEN,
            ("sent", (S + 100, REQUEST, RELAY, SERVER, S + 90)),
            ("sent", (S + 900, REQUEST, RELAY, OTHER_SERVER, S + 890)),
            ("attempt_over", (S + 900 + SLACK + 70, REQUEST, SERVER, AttemptOutcome.ABANDONED)),
            ("attempt_over", (S + 900 + SLACK + 75, REQUEST, OTHER_SERVER, AttemptOutcome.BUSY)),
            REFUSED,
        ],
        S + 900 + SLACK,
        S + 900 + SLACK + 70,
    ),
    "move": (
        [*TAKEN, REFUSED, ("held_back", (2 * S + SLACK + 60, REQUEST, S + SLACK + 60))],
        2 * S + SLACK,
        2 * S + SLACK + 60,
    ),
}


def turns(*times: int) -> list[Gap]:
    """Returns gaps that follow one another, with these times at their ends."""
    return [Gap(start, end) for start, end in itertools.pairwise(times)]


def judged(records: list[Record], *observers: Observer) -> list[Verdict]:
    checker = Checker(RULES, SLACK, observers=ObserverGaps(observers))
    replay([*records, ("finish", (60 * S,))], checker)
    return list(checker.verdicts())


@pytest.mark.parametrize("rule", BROKEN)
def test_a_limit_that_was_passed_within_a_gap_of_its_observer_is_undecided(rule: str) -> None:
    """Guards against laying to a relay what its observer recorded late."""
    records, limit, observed = BROKEN[rule]
    [verdict] = judged(records, Observer(records, [Gap(limit - 20, observed + 5, "a slow call")]))
    assert verdict.rule == rule and verdict.undecided
    assert any("its observer did not run" in line and "a slow call" in line for line in verdict.evidence)


@pytest.mark.parametrize("rule", BROKEN)
@pytest.mark.parametrize(
    "gap",
    [
        "none",
        "ends too early",
        "begins too late",
        "long before",
        "of another observer",
        "two turns before",
        "a turn before, with a break",
    ],
)
def test_a_limit_that_a_gap_does_not_explain_is_broken(rule: str, gap: str) -> None:
    """Guards against a gap that excuses more than the time in which the very observation could be late."""
    records, limit, observed = BROKEN[rule]
    whole = Gap(limit - 20, observed + 5)
    observers = {
        "none": [Observer(records, [])],
        "ends too early": [Observer(records, [Gap(limit - 20, observed - 1)])],
        "begins too late": [Observer(records, [Gap(limit + 1, observed + 5)])],
        "two turns before": [Observer(records, turns(limit - 20, limit + 10, observed - 5, observed + 5))],
        "a turn before, with a break": [
            Observer(records, [Gap(limit - 20, limit + 10), Gap(limit + 11, observed + 5)])
        ],
        "long before": [Observer(records, [Gap(0, limit - 1)])],
        "of another observer": [Observer(records, []), Observer([("relay_up", (1, 0))], [whole])],
    }[gap]
    [verdict] = judged(records, *observers)
    assert verdict.rule == rule and not verdict.undecided


def test_no_gap_explains_a_rule_without_a_time_limit() -> None:
    closed: list[Record] = [*TAKEN, ("answered", (2 * S, REQUEST, Final.CLOSED, None, 0))]
    [verdict] = judged(closed, Observer(closed, [Gap(0, 60 * S)]))
    assert verdict.rule == "answer" and not verdict.undecided


def test_no_gap_explains_an_answer_or_an_attempt_that_arrived_late_by_the_kernel() -> None:
    """Guards against excusing what has a time of its own."""
    due = DEADLINE + SLACK + round(RULES.answer_slack_ms * 1000)
    late: list[Record] = [*TAKEN, ("answered", (due + 90, REQUEST, Final.BUSY, None, 0))]
    after: list[Record] = [
        *LISTED,
        *TAKEN,
        REFUSED,
        ("sent", (2 * S + SLACK + 80, REQUEST, RELAY, SERVER, 2 * S + SLACK + 70)),
        ("attempt_over", (2 * S + SLACK + 90, REQUEST, SERVER, AttemptOutcome.BUSY)),
    ]
    for rule, records in (("answer", late), ("attempt", after)):
        [verdict] = judged(records, Observer(records, [Gap(0, 60 * S)]))
        assert verdict.rule == rule and not verdict.undecided


@pytest.mark.parametrize("stall_s", [0.0, 0.2])
def test_data_that_is_read_late_has_the_time_of_its_arrival(stall_s: float) -> None:
    """Guards against taking the time at which a loop gets to reading for that of the event."""

    async def main() -> tuple[int, int]:
        with trio.socket.socket() as listener, trio.socket.socket() as client:
            await listener.bind(("127.0.0.1", 0))
            listener.listen(1)
            await client.connect(listener.getsockname())
            server, _ = await listener.accept()
            with server:
                sent_at = time.monotonic()
                await client.send(b"a line")
                time.sleep(stall_s)
                assert await server.recv(100) == b"a line"
                since_us = since_arrival_us(server)
                return since_us, round((time.monotonic() - sent_at) * S)

    since_us, elapsed_us = trio.run(main)
    assert stall_s * S - 30_000 <= since_us <= elapsed_us


def test_what_a_turn_records_may_have_arrived_in_the_turn_before_and_no_earlier() -> None:
    """Guards against a long run of short turns that excuses as much as one long gap."""
    assert Overrun(10, 30).is_explained_by(turns(5, 25, 30))
    assert not Overrun(10, 30).is_explained_by(turns(5, 15, 25, 30))
    assert not Overrun(10, 30).is_explained_by([Gap(5, 20), Gap(21, 30)])


@pytest.mark.parametrize(
    ("undecided", "status"), [((), 0), ((True,), 3), ((True, True), 3), ((True, False), 1), ((False,), 1)]
)
def test_an_undecided_run_has_an_exit_status_of_its_own(undecided: tuple[bool, ...], status: int) -> None:
    """Guards against a run that fails, or passes, on times that nobody observed."""
    verdicts = [Verdict("answer", 0, None, None, None, ("a", "b"), each) for each in undecided]
    assert exit_status(verdicts) == status
    assert all(("undecided" in format_verdict(verdict)) == verdict.undecided for verdict in verdicts)


def test_a_call_that_blocks_the_loop_is_a_gap_with_the_calls_name() -> None:
    async def main() -> tuple[Lateness, BlockingCalls]:
        lateness, calls = Lateness(), BlockingCalls()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lateness.run)
            await trio.sleep(0.03)
            with calls.timed("a slow call"):
                time.sleep(0.2)
            with calls.timed("a quick call"):
                pass
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        return lateness, calls

    lateness, calls = trio.run(main)
    longest = max(named_gaps(lateness.gaps, calls.kept), key=lambda gap: gap.length_us)
    assert longest.call == "a slow call" and longest.length_us >= 190_000
    [call] = calls.kept
    assert longest.start <= call.start and longest.end >= call.end


def test_a_gap_has_the_name_of_a_call_only_if_that_took_most_of_it() -> None:
    calls = [BlockingCall("short", 10, 20), BlockingCall("long", 40, 100)]
    assert [gap.call for gap in named_gaps([Gap(0, 100), Gap(0, 35)], calls)] == ["long", ""]
