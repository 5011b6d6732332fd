"""The checker on made-up histories: sound ones have no verdict, and each fault has that of its rule."""

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
UNTOLD, PLAIN, REFUSED = 2, 10_000, 10_001  # a relay that was not told of the cold start; two requests
SEEDS = st.integers(0, 2**32)
CAPACITY = Capacity(warm_per_s=4.0, cold_share=0.12, cold_us=23 * S)
NEWS = (  # moment, server, state, start; to each relay
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
    """One that is taken, attempted and answered as it should be, and whose connection its client ends.
    at_first: the server of the attempts before the last."""
    made: list[Record] = [("taken", (at, number, relay, at + 3 * S, 0))]
    for how, place in [*((how, at_first or server) for how in before), (last, server)]:
        made.append(("sent", (at + 2 * wait, number, relay, place, at + wait)))
        at += 3 * wait
        made.append(("attempt_over", (at, number, place, how)))
    final = {AttemptOutcome.UP: Final.UP, AttemptOutcome.BUSY: Final.BUSY}.get(last, Final.ERROR)
    made.append(("answered", (at + wait, number, final, server if final is Final.UP else None, 0)))
    return made + [("ended", (at + 8 * S, number, End.CLIENT))] * (final is Final.UP)


def world() -> list[Record]:
    made: list[Record] = [("server_started", (0, server, CAPACITY, False)) for server in (101, 102, 103, 104)]
    made += [
        ("told", (at, relay, server, state, started))
        for at, server, state, started in NEWS
        for relay in (0, 1, UNTOLD)
        if (relay, server) != (UNTOLD, COLD)
    ]
    made += [("relay_up", (0, relay)) for relay in (0, 1, UNTOLD)]
    made += [("server_ended", (12_500_000, DIES)), ("server_started", (10 * S, COLD, CAPACITY, True))]
    return [*made, ("finish", (60 * S,))]


def allowed(server: int, sent: int) -> bool:
    """To relay 0 or 1, by the list above and 2 s of grace."""
    return {OLD: True, DRAINS: sent <= 6 * S, FLAPS: not 8 * S < sent < 9 * S, DIES: sent <= 14 * S}[server]


def sound(random: Random) -> list[Record]:
    made = world() + request(PLAIN, 3 * S, before=(AttemptOutcome.BUSY,), at_first=FLAPS)
    made += request(REFUSED, 5 * S, last=AttemptOutcome.BUSY)
    dies = random.randrange(1, 25) * S  # relay 1
    for number in range(random.randrange(25)):
        at, relay = random.randrange(S, 30 * S), random.randrange(2)
        servers = [one for one in (OLD, DRAINS, FLAPS, DIES) if allowed(one, at) and allowed(one, at + S)]
        if relay == 1 and dies <= at < dies + 2 * S:
            continue
        before = random.choices(
            [AttemptOutcome.BUSY, AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.ABANDONED],
            k=random.randrange(5),
        )
        one = request(
            number,
            at,
            relay,
            random.choice(servers),
            random.choice(list(AttemptOutcome)),
            tuple(before),
            random.randrange(S // 20),
        )
        cut = random.choice([len(one), len(one), len(one), random.randrange(1, len(one))])
        over = next((at for _, (at, *_) in one if relay == 1 and at >= dies >= one[0][1][0]), None)
        if over is not None:
            one = [record for record in one if record[1][0] < dies]
        elif cut < len(one) and one[cut][0] != "ended":
            one = [*one[:cut], ("left", (min(one[cut][1][0], at + 3 * S - 1), number))]
        made += one
    made += [("relay_down", (dies, 1)), ("relay_up", (dies + S, 1))]
    return made + [
        ("told", (dies + S, 1, server, state, started))
        for at, server, state, started in NEWS
        if at <= dies + S
    ]


def judge(made: list[Record], slack: int) -> Counter[str]:
    checker = Checker(RULES, slack)
    replay(made, checker)
    assert all(len(verdict.evidence) >= 2 for verdict in checker.verdicts())
    return Counter(verdict.rule for verdict in checker.verdicts())


@settings(derandomize=True, max_examples=150, deadline=None)
@given(SEEDS.map(Random), st.sampled_from([0, 50_000]))
def test_a_sound_history_has_no_verdict(random, slack):
    assert not judge(sound(random), slack)


def without(made, kind, number):
    return [record for record in made if record[0] != kind or record[1][1] != number]


def put(kind, number, change):
    """Changes the values of one observation."""

    def fault(made, slack):
        return [
            (name, change(slack, *values)) if name == kind and values[1] == number else (name, values)
            for name, values in made
        ]

    return fault


def add(more):
    return lambda made, slack: [*made, *more(slack)]


def late_send(server, told, grace=2 * S + 1, relay=0):
    return add(lambda slack: request(7777, told + grace + slack - 1000, relay, server))


def burst(count, relay):
    return add(
        lambda slack: [
            record for n in range(count) for record in request(7000 + n, 12 * S + 30_000 * n, relay, COLD)
        ]
    )


def answer(at, final, server=None):
    """Of REFUSED, whose deadline is at 8 s."""
    return put("answered", REFUSED, lambda slack, *_: (at(slack), REFUSED, final, server, 0))


def again(kind, at, *values):
    return add(lambda slack: [(kind, (at + slack, *values))])


def left(then):
    """The client of REFUSED leaves at 6 s; `then` after that it is sent on."""
    return lambda made, slack: [
        *without(made, "answered", REFUSED),
        ("left", (6 * S, REFUSED)),
        ("sent", (6 * S + then + slack + 1000, REFUSED, 0, OLD, 6 * S + then + slack)),
        ("attempt_over", (6 * S + then + slack + 2000, REFUSED, OLD, AttemptOutcome.ABANDONED)),
    ]


DUE = 8 * S + round(RULES.answer_slack_ms * 1000)
FAULTS = {
    "late": ("answer", answer(lambda slack: DUE + slack + 1, Final.BUSY)),
    "none": ("answer", lambda made, slack: without(made, "answered", REFUSED)),
    "its client gave up": (
        "answer",
        lambda made, slack: [*without(made, "answered", REFUSED), ("left", (8 * S, REFUSED))],
    ),
    "closed": ("answer", answer(lambda slack: 6 * S, Final.CLOSED)),
    "twice": ("answer", again("answered", 5_010_000, REFUSED, Final.ERROR, None, 0)),
    "twice, while it stands": ("answer", again("answered", 10_500_000, PLAIN, Final.ERROR, None, 0)),
    "an UP out of nowhere": ("answer", answer(lambda slack: 6 * S, Final.UP)),
    "an UP of a server that was busy": ("answer", answer(lambda slack: 6 * S, Final.UP, OLD)),
    "an UP before its server's": (
        "answer",
        put("answered", PLAIN, lambda slack, at, *rest: (at - 1001 - slack, *rest)),
    ),
    "two out": (
        "attempt",
        put(
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
        add(lambda slack: [("sent", (5_001_500, REFUSED, 0, FLAPS, 5_001_000))]),
    ),
    "after the answer": ("attempt", again("sent", 5_100_000, REFUSED, 0, OLD, 5_100_000)),
    "after the answer, while it stands": ("attempt", again("sent", 10_500_000, PLAIN, 0, OLD, 10_500_000)),
    "long after its client left": ("attempt", left(300_001)),
    "for nobody": ("attempt", again("sent", 10_500_000, 999, 0, OLD, 10_500_000)),
    "too many": ("attempt", add(lambda slack: request(7777, 3 * S, before=(AttemptOutcome.BUSY,) * 5))),
    "drained": ("drain", late_send(DRAINS, 4 * S)),
    "drains again": ("drain", late_send(FLAPS, 6 * S)),
    "gone": ("drain", late_send(DIES, 12 * S)),
    "gone, with old news": (
        "drain",
        lambda made, slack: late_send(DIES, 14 * S)(
            [*made, ("told", (13_500_000, 0, DIES, ListedState.READY, 0))], slack
        ),
    ),
    "never named": ("drain", late_send(COLD, 12 * S, relay=UNTOLD)),
    "never told anything": ("drain", late_send(OLD, 12 * S, relay=3)),
    "named in an earlier life": (
        "drain",
        lambda made, slack: late_send(OLD, 20 * S, relay=UNTOLD)(
            [*made, ("relay_down", (15 * S, UNTOLD)), ("relay_up", (16 * S, UNTOLD))], slack
        ),
    ),
    "cold": ("cold", burst(20, 0)),
    "cold, back after a cut of its network": (
        "cold",
        lambda made, slack: burst(20, 0)(
            [
                *made,
                ("server_ended", (11 * S, COLD)),
                ("server_started", (11_500_000, COLD, CAPACITY, False)),
            ],
            slack,
        ),
    ),
    "cut": ("move", put("ended", PLAIN, lambda slack, at, *_: (at, PLAIN, End.CUT))),
    "cut, stood before": ("move", again("ended", S, 999, End.CUT)),
    "held back": ("move", again("held_back", 5 * S, PLAIN, S + 50_001)),
}
NO_FAULTS = {  # as far as may be
    "late": answer(lambda slack: DUE + slack, Final.BUSY),
    "closed by its relay's death": add(
        lambda slack: [
            *request(7777, 5 * S, UNTOLD)[:2],
            ("relay_down", (5_001_700, UNTOLD)),
            ("answered", (5_001_800, 7777, Final.CLOSED, None, 0)),
        ]
    ),
    "two out": put(
        "attempt_over",
        PLAIN,
        lambda slack, at, number, server, how: (
            at + 2000 + slack if how is AttemptOutcome.BUSY else at,
            number,
            server,
            how,
        ),
    ),
    "over before it arrived": add(
        lambda slack: [
            ("attempt_over", (5_001_500, REFUSED, FLAPS, AttemptOutcome.ABANDONED)),
            ("sent", (5_001_700, REFUSED, 0, FLAPS, 5_001_000)),
        ]
    ),
    "under way at the answer": again("sent", 5_020_000, REFUSED, 0, FLAPS, 5_003_500),
    "soon after its client left": left(300_000),
    "drained": late_send(DRAINS, 4 * S, 2 * S),
    "back after a cut of its network": lambda made, slack: late_send(DIES, 14 * S)(
        [
            *made,
            ("server_started", (13_200_000, DIES, CAPACITY, False)),
            ("told", (13_500_000, 0, DIES, ListedState.READY, 0)),
        ],
        slack,
    ),
    "cold, by relays that were not told": lambda made, slack: burst(20, UNTOLD)(
        [*made, ("told", (11 * S, UNTOLD, COLD, ListedState.READY, 0))], slack
    ),
    "cold, by relays that were told of an earlier start": lambda made, slack: burst(20, 0)(
        [*made, ("server_ended", (11_500_000, COLD)), ("server_started", (11_600_000, COLD, CAPACITY, True))],
        slack,
    ),
    "connections that go on at a cold server": lambda made, slack: [
        (name, (*values, True) if name == "sent" else values) for name, values in burst(20, 0)(made, slack)
    ],
    "held back": again("held_back", 5 * S, PLAIN, S),
}


@pytest.mark.parametrize("name", FAULTS)
@settings(derandomize=True, max_examples=8, deadline=None)
@given(SEEDS.map(Random), st.sampled_from([0, 50_000]))
def test_a_fault_has_the_verdict_of_its_rule(name, random, slack):
    rule, fault = FAULTS[name]
    assert judge(fault(sound(random), slack), slack) == {rule: 1}


@pytest.mark.parametrize("name", NO_FAULTS)
@pytest.mark.parametrize("slack", [0, 50_000])
def test_what_is_just_within_the_rules_has_none(name, slack):
    assert not judge(NO_FAULTS[name](sound(Random(1)), slack), slack)


@pytest.mark.parametrize(("age_s", "cold_s"), [(1.5, 23), (12, 23), (22.9, 23), (10, 9), (5, 23)])
def test_a_cold_server_has_the_budget_of_its_ramp(age_s, cold_s):
    def share(age_us):
        return min(1.0, 0.12 + 0.88 * max(0, age_us) / (cold_s * S))

    at, steps = round((10 + age_s) * S), range(0, 3 * S, 1000)
    budget = 3 * 10 * sum(share(age_s * S - before) for before in steps) / len(steps) * 3
    most = int(budget + ALLOWED_EXCESS + ALLOWED_DEVIATIONS * budget**0.5)
    start = [("server_started", (10 * S, COLD, Capacity(10.0, 0.12, cold_s * S), True))]
    late = [record for n in range(most + 1) for record in request(7000 + n, at - 2000, 0, COLD)]
    early = request(6000, at - 3 * S - 2000, 0, COLD) if age_s > 4 else []  # its span is over
    assert not judge([*world(), *start, *early, *late[:-5]], 0)
    assert judge([*world(), *start, *early, *late], 0) == {"cold": 1}


@pytest.mark.parametrize(("slack", "broken"), [(0, {}), (50_000, {"cold": 1})])
def test_on_sockets_a_start_counts_as_told_though_the_end_before_it_was_seen_late(slack, broken):
    """The planned start is told; the end just before it is seen 1 ms after that, as the process woke late."""
    start = [
        ("server_ended", (10 * S + 1000, OLD)),
        ("server_started", (10 * S + 1500, OLD, CAPACITY, True)),
        *(("told", (10 * S + 2000, relay, OLD, ListedState.READY, 10 * S)) for relay in (0, 1)),
    ]
    crowd = [record for n in range(40) for record in request(7000 + n, 11 * S, 0, OLD)]
    assert judge([*world(), *start, *crowd], slack) == broken


NUMBERS = st.integers(0, 4) | st.integers(0, 2**32)
NAMED = {
    "capacity": st.just(CAPACITY),
    "cold": st.booleans(),
    "state": st.sampled_from(ListedState),
    "how": st.integers(0, 5).map(AttemptOutcome),
    "final": st.sampled_from(Final),
    "server": NUMBERS,
    "goes_on": st.booleans(),
}
CALLS = st.one_of(
    [
        st.tuples(
            st.just(name),
            st.tuples(
                *(
                    NAMED.get(value, NUMBERS)
                    for value in list(signature(getattr(Watcher, name)).parameters)[1:]
                )
            ),
        )
        for name in OBSERVATIONS
    ]
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(CALLS, max_size=60))
def test_no_order_of_observations_breaks_the_checker(calls):
    checker = Checker(RULES, 0, keep=3)
    replay(calls, checker)
    checker.finish(2**33)
    assert len(checker.verdicts()) <= 3


def test_what_is_over_is_forgotten():
    checker = Checker(RULES, 0)
    for n in range(3000):  # one each 10 ms, so 400 within a deadline and the second behind it
        replay(request(n, n * 10_000, last=AttemptOutcome.BUSY if n % 2 else AttemptOutcome.UP), checker)
    assert sum(isinstance(one, Request) for one in gc.get_objects()) < 600
