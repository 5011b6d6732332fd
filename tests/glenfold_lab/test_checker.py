"""Tests of the checker on generated histories: valid ones get no verdict, each fault that of its rule."""

import gc
from collections import Counter
from inspect import signature
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenfold_lab.checker import Checker
from glenfold_lab.checker.cold import ALLOWED_DEVIATIONS, ALLOWED_EXCESS
from glenfold_lab.checker.state import Request
from glenfold_lab.observe import (
    OBSERVATIONS,
    AttemptOutcome,
    Capacity,
    End,
    Final,
    ListedState,
    Record,
    Watcher,
    replay,
)
from glenfold_lab.spec import Rules

S = 1_000_000
RULES = Rules()
OLD, DRAINS, FLAPS, DIES, COLD = 101, 102, 103, 104, 105
# A relay that is not notified of the cold start, and two requests.
UNNOTIFIED, PLAIN, REFUSED = 2, 10_000, 10_001
SEEDS = st.integers(0, 2**32)
CAPACITY = Capacity(warm_per_s=4.0, cold_share=0.12, cold_us=23 * S)
LIST_CHANGES = (  # The time, server, state and start of each change of the list that the relays are sent.
    (0, OLD, ListedState.READY, 0),
    (0, DRAINS, ListedState.READY, 0),
    (0, FLAPS, ListedState.READY, 0),
    (0, DIES, ListedState.READY, 0),
    (4 * S, DRAINS, ListedState.DRAINING, 0),
    (6 * S, FLAPS, ListedState.DRAINING, 0),
    (9 * S, FLAPS, ListedState.READY, 0),
    (12 * S, DIES, ListedState.DRAINING, 0),
    (13 * S, DIES, ListedState.GONE, 0),
    (11 * S, COLD, ListedState.READY, 10 * S),
)


def request(
    number: int,
    at: int,
    relay: int = 0,
    server: int = OLD,
    last: AttemptOutcome = AttemptOutcome.UP,
    before: tuple[AttemptOutcome, ...] = (),
    wait: int = 1000,
    at_first: int | None = None,
) -> list[Record]:
    """Returns the records of a request that is handled correctly and whose connection its client ends.

    `at_first` is the server of the attempts before the last.
    """
    records: list[Record] = [("taken", (at, number, relay, at + 3 * S, 0))]
    for how, target in [*((how, at_first or server) for how in before), (last, server)]:
        records.append(("sent", (at + 2 * wait, number, relay, target, at + wait)))
        at += 3 * wait
        records.append(("attempt_over", (at, number, target, how)))
    final = {AttemptOutcome.UP: Final.UP, AttemptOutcome.BUSY: Final.BUSY}.get(last, Final.ERROR)
    records.append(("answered", (at + wait, number, final, server if final is Final.UP else None, 0)))
    return records + [("ended", (at + 8 * S, number, End.CLIENT))] * (final is Final.UP)


def world_records() -> list[Record]:
    records: list[Record] = [
        ("server_started", (0, server, CAPACITY, False)) for server in (101, 102, 103, 104)
    ]
    records += [
        ("told", (at, relay, server, state, started))
        for at, server, state, started in LIST_CHANGES
        for relay in (0, 1, UNNOTIFIED)
        if (relay, server) != (UNNOTIFIED, COLD)
    ]
    records += [("relay_up", (0, relay)) for relay in (0, 1, UNNOTIFIED)]
    records += [("server_ended", (12_500_000, DIES)), ("server_started", (10 * S, COLD, CAPACITY, True))]
    return [*records, ("finish", (60 * S,))]


def may_send(server: int, sent: int) -> bool:
    """Returns whether relay 0 or 1 may send to the server, by LIST_CHANGES and 2 s of grace."""
    return {OLD: True, DRAINS: sent <= 6 * S, FLAPS: not 8 * S < sent < 9 * S, DIES: sent <= 14 * S}[server]


def valid_history(random: Random) -> list[Record]:
    records = world_records() + request(PLAIN, 3 * S, before=(AttemptOutcome.BUSY,), at_first=FLAPS)
    records += request(REFUSED, 5 * S, last=AttemptOutcome.BUSY)
    died_at = random.randrange(1, 25) * S  # The time at which relay 1 dies.
    for number in range(random.randrange(25)):
        at, relay = random.randrange(S, 30 * S), random.randrange(2)
        servers = [
            server
            for server in (OLD, DRAINS, FLAPS, DIES)
            if may_send(server, at) and may_send(server, at + S)
        ]
        if relay == 1 and died_at <= at < died_at + 2 * S:
            continue
        before = random.choices(
            [AttemptOutcome.BUSY, AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.ABANDONED],
            k=random.randrange(5),
        )
        request_records = request(
            number,
            at,
            relay,
            random.choice(servers),
            random.choice(list(AttemptOutcome)),
            tuple(before),
            random.randrange(S // 20),
        )
        kept_count = random.choice(
            [
                len(request_records),
                len(request_records),
                len(request_records),
                random.randrange(1, len(request_records)),
            ]
        )
        death_record_at = next(
            (
                at
                for _, (at, *_) in request_records
                if relay == 1 and at >= died_at >= request_records[0][1][0]
            ),
            None,
        )
        if death_record_at is not None:
            request_records = [record for record in request_records if record[1][0] < died_at]
        elif kept_count < len(request_records) and request_records[kept_count][0] != "ended":
            request_records = [
                *request_records[:kept_count],
                ("left", (min(request_records[kept_count][1][0], at + 3 * S - 1), number)),
            ]
        records += request_records
    records += [("relay_down", (died_at, 1)), ("relay_up", (died_at + S, 1))]
    return records + [
        ("told", (died_at + S, 1, server, state, started))
        for at, server, state, started in LIST_CHANGES
        if at <= died_at + S
    ]


def count_verdicts(records: list[Record], slack: int) -> Counter[str]:
    checker = Checker(RULES, slack)
    replay(records, checker)
    assert all(len(verdict.evidence) >= 2 for verdict in checker.verdicts())
    return Counter(verdict.rule for verdict in checker.verdicts())


@settings(derandomize=True, max_examples=150, deadline=None)
@given(SEEDS.map(Random), st.sampled_from([0, 50_000]))
def test_a_valid_history_has_no_verdict(random, slack):
    assert not count_verdicts(valid_history(random), slack)


def without_record(records, kind, number):
    return [record for record in records if record[0] != kind or record[1][1] != number]


def change_record(kind, number, new_values):
    """Returns a fault that changes the values of one observation."""

    def fault(records, slack):
        return [
            (name, new_values(slack, *values)) if name == kind and values[1] == number else (name, values)
            for name, values in records
        ]

    return fault


def add_records(new_records):
    return lambda records, slack: [*records, *new_records(slack)]


def send_late(server, notified_at, grace=2 * S + 1, relay=0):
    return add_records(lambda slack: request(7777, notified_at + grace + slack - 1000, relay, server))


def burst(count, relay):
    return add_records(
        lambda slack: [
            record for n in range(count) for record in request(7000 + n, 12 * S + 30_000 * n, relay, COLD)
        ]
    )


def change_answer(at, final, server=None):
    """Returns a fault that replaces the answer of REFUSED, whose deadline is at 8 s."""
    return change_record("answered", REFUSED, lambda slack, *_: (at(slack), REFUSED, final, server, 0))


def add_record(kind, at, *values):
    return add_records(lambda slack: [(kind, (at + slack, *values))])


def leave_then_send(delay):
    """Returns a fault: the client of REFUSED leaves at 6 s, and an attempt is sent `delay` later."""
    return lambda records, slack: [
        *without_record(records, "answered", REFUSED),
        ("left", (6 * S, REFUSED)),
        ("sent", (6 * S + delay + slack + 1000, REFUSED, 0, OLD, 6 * S + delay + slack)),
        ("attempt_over", (6 * S + delay + slack + 2000, REFUSED, OLD, AttemptOutcome.ABANDONED)),
    ]


def closed_about_a_kill(taken_at, closed_at):
    """Returns a history: a relay is killed at 5.0017 s and has exited by 5.0025 s, and closes a request."""
    return add_records(
        lambda slack: [
            *request(7777, taken_at, UNNOTIFIED)[:1],
            ("relay_down", (5_001_700, UNNOTIFIED, 5_002_500)),
            ("answered", (closed_at, 7777, Final.CLOSED, None, 0)),
        ]
    )


DUE = 8 * S + round(RULES.answer_slack_ms * 1000)
FAULTS = {
    "late": ("answer", change_answer(lambda slack: DUE + slack + 1, Final.BUSY)),
    "none": ("answer", lambda records, slack: without_record(records, "answered", REFUSED)),
    "its client gave up": (
        "answer",
        lambda records, slack: [*without_record(records, "answered", REFUSED), ("left", (8 * S, REFUSED))],
    ),
    "closed": ("answer", change_answer(lambda slack: 6 * S, Final.CLOSED)),
    "closed before its relay was killed": ("answer", closed_about_a_kill(5_001_000, closed_at=5_001_600)),
    "taken after its relay's exit": ("answer", closed_about_a_kill(5_002_900, closed_at=5_003_500)),
    "twice": ("answer", add_record("answered", 5_010_000, REFUSED, Final.ERROR, None, 0)),
    "twice, while it stands": ("answer", add_record("answered", 10_500_000, PLAIN, Final.ERROR, None, 0)),
    "an UP out of nowhere": ("answer", change_answer(lambda slack: 6 * S, Final.UP)),
    "an UP of a server that was busy": ("answer", change_answer(lambda slack: 6 * S, Final.UP, OLD)),
    "an UP before its server's": (
        "answer",
        change_record("answered", PLAIN, lambda slack, at, *rest: (at - 1001 - slack, *rest)),
    ),
    "two out": (
        "attempt",
        change_record(
            "attempt_over",
            PLAIN,
            lambda slack, at, number, server, how: (
                at + 3000 + slack if how is AttemptOutcome.BUSY else at,
                number,
                server,
                how,
            ),
        ),
    ),
    "two out, one for ever": (
        "attempt",
        add_records(lambda slack: [("sent", (5_001_500, REFUSED, 0, FLAPS, 5_001_000))]),
    ),
    "after the answer": ("attempt", add_record("sent", 5_100_000, REFUSED, 0, OLD, 5_100_000)),
    "after the answer, while it stands": (
        "attempt",
        add_record("sent", 10_500_000, PLAIN, 0, OLD, 10_500_000),
    ),
    "long after its client left": ("attempt", leave_then_send(300_001)),
    "for nobody": ("attempt", add_record("sent", 10_500_000, 999, 0, OLD, 10_500_000)),
    "too many": (
        "attempt",
        add_records(lambda slack: request(7777, 3 * S, before=(AttemptOutcome.BUSY,) * 5)),
    ),
    "drained": ("drain", send_late(DRAINS, 4 * S)),
    "drains again": ("drain", send_late(FLAPS, 6 * S)),
    "gone": ("drain", send_late(DIES, 12 * S)),
    "gone, with old news": (
        "drain",
        lambda records, slack: send_late(DIES, 14 * S)(
            [*records, ("told", (13_500_000, 0, DIES, ListedState.READY, 0))], slack
        ),
    ),
    "never named": ("drain", send_late(COLD, 12 * S, relay=UNNOTIFIED)),
    "never told anything": ("drain", send_late(OLD, 12 * S, relay=3)),
    "named in an earlier life": (
        "drain",
        lambda records, slack: send_late(OLD, 20 * S, relay=UNNOTIFIED)(
            [*records, ("relay_down", (15 * S, UNNOTIFIED)), ("relay_up", (16 * S, UNNOTIFIED))], slack
        ),
    ),
    "cold": ("cold", burst(20, 0)),
    "cold, back after a cut of its network": (
        "cold",
        lambda records, slack: burst(20, 0)(
            [
                *records,
                ("server_ended", (11 * S, COLD)),
                ("server_started", (11_500_000, COLD, CAPACITY, False)),
            ],
            slack,
        ),
    ),
    "cut": ("move", change_record("ended", PLAIN, lambda slack, at, *_: (at, PLAIN, End.CUT))),
    "cut, stood before": ("move", add_record("ended", S, 999, End.CUT)),
    "held back": ("move", add_record("held_back", 5 * S, PLAIN, S + 50_001)),
}
NO_FAULTS = {  # Histories that are just within the rules.
    "late": change_answer(lambda slack: DUE + slack, Final.BUSY),
    "closed by its relay's death": add_records(
        lambda slack: [
            *request(7777, 5 * S, UNNOTIFIED)[:2],
            ("relay_down", (5_001_700, UNNOTIFIED)),
            ("answered", (5_001_800, 7777, Final.CLOSED, None, 0)),
        ]
    ),
    "taken by a killed process before its exit": closed_about_a_kill(5_001_900, closed_at=5_002_400),
    "taken by a killed process, its end seen late": closed_about_a_kill(5_001_900, closed_at=5_009_000),
    "two out": change_record(
        "attempt_over",
        PLAIN,
        lambda slack, at, number, server, how: (
            at + 2000 + slack if how is AttemptOutcome.BUSY else at,
            number,
            server,
            how,
        ),
    ),
    "over before it arrived": add_records(
        lambda slack: [
            ("attempt_over", (5_001_500, REFUSED, FLAPS, AttemptOutcome.ABANDONED)),
            ("sent", (5_001_700, REFUSED, 0, FLAPS, 5_001_000)),
        ]
    ),
    "under way at the answer": add_record("sent", 5_020_000, REFUSED, 0, FLAPS, 5_003_500),
    "soon after its client left": leave_then_send(300_000),
    "drained": send_late(DRAINS, 4 * S, 2 * S),
    "back after a cut of its network": lambda records, slack: send_late(DIES, 14 * S)(
        [
            *records,
            ("server_started", (13_200_000, DIES, CAPACITY, False)),
            ("told", (13_500_000, 0, DIES, ListedState.READY, 0)),
        ],
        slack,
    ),
    "cold, by relays that were not told": lambda records, slack: burst(20, UNNOTIFIED)(
        [*records, ("told", (11 * S, UNNOTIFIED, COLD, ListedState.READY, 0))], slack
    ),
    "cold, by relays that were told of an earlier start": lambda records, slack: burst(20, 0)(
        [
            *records,
            ("server_ended", (11_500_000, COLD)),
            ("server_started", (11_600_000, COLD, CAPACITY, True)),
        ],
        slack,
    ),
    "connections that go on at a cold server": lambda records, slack: [
        (name, (*values, True) if name == "sent" else values) for name, values in burst(20, 0)(records, slack)
    ],
    "held back": add_record("held_back", 5 * S, PLAIN, S),
}


@pytest.mark.parametrize("name", FAULTS)
@settings(derandomize=True, max_examples=8, deadline=None)
@given(SEEDS.map(Random), st.sampled_from([0, 50_000]))
def test_a_fault_has_the_verdict_of_its_rule(name, random, slack):
    rule, fault = FAULTS[name]
    assert count_verdicts(fault(valid_history(random), slack), slack) == {rule: 1}


@pytest.mark.parametrize("name", NO_FAULTS)
@pytest.mark.parametrize("slack", [0, 50_000])
def test_a_history_just_within_the_rules_has_no_verdict(name, slack):
    assert not count_verdicts(NO_FAULTS[name](valid_history(Random(1)), slack), slack)


@pytest.mark.parametrize(("age_s", "cold_s"), [(1.5, 23), (12, 23), (22.9, 23), (10, 9), (5, 23)])
def test_a_cold_server_has_the_budget_of_its_ramp(age_s, cold_s):
    def share(age_us):
        return min(1.0, 0.12 + 0.88 * max(0, age_us) / (cold_s * S))

    at, steps = round((10 + age_s) * S), range(0, 3 * S, 1000)
    budget = 3 * 10 * sum(share(age_s * S - before) for before in steps) / len(steps) * 3
    max_allowed = int(budget + ALLOWED_EXCESS + ALLOWED_DEVIATIONS * budget**0.5)
    start = [("server_started", (10 * S, COLD, Capacity(10.0, 0.12, cold_s * S), True))]
    late = [record for n in range(max_allowed + 1) for record in request(7000 + n, at - 2000, 0, COLD)]
    # The span of the early request ends before the late ones.
    early = request(6000, at - 3 * S - 2000, 0, COLD) if age_s > 4 else []
    assert not count_verdicts([*world_records(), *start, *early, *late[:-5]], 0)
    assert count_verdicts([*world_records(), *start, *early, *late], 0) == {"cold": 1}


@pytest.mark.parametrize(("slack", "broken"), [(0, {}), (50_000, {"cold": 1})])
def test_on_sockets_a_start_counts_as_notified_though_the_previous_end_was_observed_late(slack, broken):
    """The list contains the planned start; the end just before it is observed 1 ms after that start.

    This happens if the process that observes the end wakes up late.
    """
    start = [
        ("server_ended", (10 * S + 1000, OLD)),
        ("server_started", (10 * S + 1500, OLD, CAPACITY, True)),
        *(("told", (10 * S + 2000, relay, OLD, ListedState.READY, 10 * S)) for relay in (0, 1)),
    ]
    burst_records = [record for n in range(40) for record in request(7000 + n, 11 * S, 0, OLD)]
    assert count_verdicts([*world_records(), *start, *burst_records], slack) == broken


ANY_NUMBER = st.integers(0, 4) | st.integers(0, 2**32)
VALUES = {
    "capacity": st.just(CAPACITY),
    "cold": st.booleans(),
    "state": st.sampled_from(ListedState),
    "how": st.integers(0, 5).map(AttemptOutcome),
    "final": st.sampled_from(Final),
    "server": ANY_NUMBER,
    "goes_on": st.booleans(),
}
OBSERVATION_CALLS = st.one_of(
    [
        st.tuples(
            st.just(name),
            st.tuples(
                *(
                    VALUES.get(value, ANY_NUMBER)
                    for value in list(signature(getattr(Watcher, name)).parameters)[1:]
                )
            ),
        )
        for name in OBSERVATIONS
    ]
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(OBSERVATION_CALLS, max_size=60))
def test_no_order_of_observations_breaks_the_checker(calls):
    checker = Checker(RULES, 0, keep=3)
    replay(calls, checker)
    checker.finish(2**33)
    assert len(checker.verdicts()) <= 3


def test_finished_requests_are_forgotten():
    checker = Checker(RULES, 0)
    for n in range(3000):  # One every 10 ms makes 400 within a deadline and the second after it.
        replay(request(n, n * 10_000, last=AttemptOutcome.BUSY if n % 2 else AttemptOutcome.UP), checker)
    assert sum(isinstance(one, Request) for one in gc.get_objects()) < 600
