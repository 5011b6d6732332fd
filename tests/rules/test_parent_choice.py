"""Which parent is asked, when, and how many ask one in the same moment."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenfold.config.platform import Parent
from glenfold.rules.parent_choice import (
    FRESHER_CHECK_INTERVAL_S,
    MAX_LEAVE_SPREAD_S,
    MIN_SOUND_S,
    SKIP_TIMES,
    Distance,
    ParentChoice,
    Refusal,
)
from glenfold.rules.source_lease import LEASE_S, SILENCE_S

ANSWER_S = 1.0  # the longest that the call of a parent takes
IN_FORCE_S = 4.0  # a change must be, after the death of a replica


def parent(n: int, zone: str | None = None, region: str | None = None) -> Parent:
    return Parent(("127.0.0.1", n), zone, region)


NEAR, NEAR_TOO = parent(1, "cardiff", "wales"), parent(2, "cardiff", "wales")
SAME_REGION, FAR, FAR_TOO = parent(3, "wrexham", "wales"), parent(4, "leeds", "north"), parent(5)
ALL = (FAR, FAR_TOO, SAME_REGION, NEAR_TOO, NEAR)


def choice(seed: int = 1, parents: tuple[Parent, ...] = ALL, zone: str | None = "cardiff") -> ParentChoice:
    return ParentChoice(parents, zone, "wales", random.Random(seed))


def test_the_own_zone_goes_before_the_own_region_and_that_before_all_others() -> None:
    for seed in range(20):
        order = [choice(seed).distance(one) for one in choice(seed).available(0.0)]
        assert order == [Distance.ZONE, Distance.ZONE, Distance.REGION, Distance.FAR, Distance.FAR]


def test_children_share_out_the_parents_of_one_distance() -> None:
    first = [choice(seed).available(0.0)[0] for seed in range(200)]
    assert {NEAR, NEAR_TOO} == set(first) and 70 < first.count(NEAR) < 130


def test_a_child_that_does_not_know_where_it_stands_takes_any() -> None:
    first = {ParentChoice(ALL, None, None, random.Random(seed)).available(0.0)[0] for seed in range(100)}
    assert first == set(ALL)


@pytest.mark.parametrize("why", Refusal)
def test_a_refused_parent_is_passed_over_longer_each_time_within_bounds(why: Refusal) -> None:
    made, now_s, waits = choice(parents=(NEAR,)), 0.0, []
    for _ in range(40):
        made.record_refusal(NEAR, why, now_s)
        assert made.available(now_s) == []
        waits.append(made.next_available_s(now_s) - now_s)
        now_s = made.next_available_s(now_s)
        assert made.available(now_s) == [NEAR]
    assert SKIP_TIMES[why].first_s / 2 <= waits[0] <= SKIP_TIMES[why].first_s
    assert max(waits) <= SKIP_TIMES[why].max_s and min(waits[-5:]) >= SKIP_TIMES[why].max_s / 2
    made.mark_sound(NEAR, now_s)
    made.record_refusal(NEAR, why, now_s)
    assert made.next_available_s(now_s) - now_s <= SKIP_TIMES[why].first_s


def test_children_that_were_refused_together_come_again_apart() -> None:
    waits = []
    for seed in range(250):
        made = choice(seed, (NEAR,))
        made.record_refusal(NEAR, Refusal.BUSY, 0.0, retry_after_s=2.0)
        waits.append(made.next_available_s(0.0))
    assert min(waits) >= 2.0 and max(waits) <= 3.0 and max(waits) - min(waits) > 0.9


def most_within(moments: list[float], span_s: float) -> int:
    """How many fall into the fullest span of that length."""
    moments = sorted(moments)
    return max(sum(start <= at <= start + span_s for at in moments) for start in moments)


@pytest.mark.parametrize("run", range(20))
def test_250_children_of_a_dead_replica_leave_it_apart_and_in_time(run: int) -> None:
    moments = [choice(1000 * run + child).leave_delay_s(250) for child in range(250)]
    assert max(moments) + ANSWER_S <= IN_FORCE_S
    assert max(moments) + SILENCE_S + ANSWER_S <= LEASE_S
    assert max(moments) > 1.8 and most_within(moments, 0.1) <= 35  # 12.5 on the average


def test_the_span_grows_with_the_children_up_to_its_bound() -> None:
    longest = [
        max(choice(seed).leave_delay_s(children) for seed in range(200))
        for children in (0, 10, 100, 250, 9999)
    ]
    assert longest[0] == 0.0 and 0.45 < longest[1] <= 0.512 and 0.6 < longest[2] <= 0.8
    assert 1.8 < longest[3] <= MAX_LEAVE_SPREAD_S and longest[4] <= MAX_LEAVE_SPREAD_S


@pytest.mark.parametrize("run", range(5))
def test_children_that_came_one_after_the_other_leave_apart_as_well(run: int) -> None:
    """Each knows how many were there when it came."""
    moments = [choice(1000 * run + child).leave_delay_s(child + 1) for child in range(250)]
    assert max(moments) <= MAX_LEAVE_SPREAD_S and most_within(moments, 0.1) <= 50


def test_a_nearer_parent_counts_as_back_once_it_has_been_sound_for_a_while() -> None:
    made = choice()
    assert made.nearer(SAME_REGION, 0.0) == [one for one in made.available(0.0) if one in (NEAR, NEAR_TOO)]
    assert made.nearer(NEAR, 0.0) == []
    assert not made.mark_sound(NEAR, 0.0) and not made.sound(NEAR, MIN_SOUND_S - 0.1)
    made.record_refusal(NEAR, Refusal.UNREACHABLE, MIN_SOUND_S)
    assert not made.mark_sound(NEAR, MIN_SOUND_S + 1)
    assert made.mark_sound(NEAR, 2 * MIN_SOUND_S + 1)
    looks = [choice(seed).nearer_check_delay_s() for seed in range(250)]
    assert most_within(looks, 0.5) <= 40 and max(looks) - min(looks) > 4


def test_looks_where_nobody_is_fresher_are_slow_and_apart() -> None:
    looks = [choice(seed).fresher_check_delay_s() for seed in range(250)]
    assert min(looks) >= FRESHER_CHECK_INTERVAL_S / 2 and max(looks) <= FRESHER_CHECK_INTERVAL_S < LEASE_S
    assert most_within(looks, 0.2) <= 50


def test_what_was_seen_of_parents_that_stay_holds_when_they_are_moved() -> None:
    made = choice(parents=(NEAR, FAR))
    made.record_refusal(NEAR, Refusal.LOOP, 0.0)
    made.replace((NEAR, NEAR_TOO))
    assert made.available(0.0) == [NEAR_TOO]
    made.record_refusal(FAR, Refusal.LOOP, 0.0)  # its last call ends after the move
    assert not made.mark_sound(FAR, 0.0) and made.available(99.0) != []


@given(
    st.lists(st.tuples(st.sampled_from(ALL), st.sampled_from([*Refusal, None]), st.floats(0, 5)), max_size=60)
)
def test_none_is_ever_passed_over_for_good(steps: list[tuple[Parent, Refusal | None, float]]) -> None:
    made, now_s = choice(), 0.0
    for one, why, later_s in steps:
        now_s += later_s
        if why is None:
            made.mark_sound(one, now_s)
            assert one in made.available(now_s)
        else:
            made.record_refusal(one, why, now_s)
            assert one not in made.available(now_s)
    assert now_s <= made.next_available_s(now_s) <= now_s + 16.0
    assert set(made.available(now_s + 16.0)) == set(ALL)
