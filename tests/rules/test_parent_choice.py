"""Tests of the choice of a parent, its times, and the number of children that choose one at the same time."""

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

CALL_LIMIT_S = 1.0  # A call of a parent takes at most this long.
CHANGE_DEADLINE_S = 4.0  # A change must be in force within this time after a replica has failed.


def parent(n: int, zone: str | None = None, region: str | None = None) -> Parent:
    return Parent(("127.0.0.1", n), zone, region)


NEAR, NEAR_TOO = parent(1, "cardiff", "wales"), parent(2, "cardiff", "wales")
SAME_REGION, FAR, FAR_TOO = parent(3, "wrexham", "wales"), parent(4, "leeds", "north"), parent(5)
ALL = (FAR, FAR_TOO, SAME_REGION, NEAR_TOO, NEAR)


def make_choice(
    seed: int = 1, parents: tuple[Parent, ...] = ALL, zone: str | None = "cardiff"
) -> ParentChoice:
    return ParentChoice(parents, zone, "wales", random.Random(seed))


def test_parents_in_the_own_zone_come_first_then_those_in_the_own_region() -> None:
    for seed in range(20):
        order = [make_choice(seed).distance(one) for one in make_choice(seed).available(0.0)]
        assert order == [Distance.ZONE, Distance.ZONE, Distance.REGION, Distance.FAR, Distance.FAR]


def test_children_are_spread_over_the_parents_of_one_distance() -> None:
    first = [make_choice(seed).available(0.0)[0] for seed in range(200)]
    assert {NEAR, NEAR_TOO} == set(first) and 70 < first.count(NEAR) < 130


def test_a_child_without_zone_and_region_may_choose_any_parent() -> None:
    first = {ParentChoice(ALL, None, None, random.Random(seed)).available(0.0)[0] for seed in range(100)}
    assert first == set(ALL)


@pytest.mark.parametrize("why", Refusal)
def test_a_refused_parent_is_skipped_longer_each_time_within_bounds(why: Refusal) -> None:
    parent_choice, now_s, delays = make_choice(parents=(NEAR,)), 0.0, []
    for _ in range(40):
        parent_choice.record_refusal(NEAR, why, now_s)
        assert parent_choice.available(now_s) == []
        delays.append(parent_choice.next_available_s(now_s) - now_s)
        now_s = parent_choice.next_available_s(now_s)
        assert parent_choice.available(now_s) == [NEAR]
    assert SKIP_TIMES[why].first_s / 2 <= delays[0] <= SKIP_TIMES[why].first_s
    assert max(delays) <= SKIP_TIMES[why].max_s and min(delays[-5:]) >= SKIP_TIMES[why].max_s / 2
    parent_choice.mark_sound(NEAR, now_s)
    parent_choice.record_refusal(NEAR, why, now_s)
    assert parent_choice.next_available_s(now_s) - now_s <= SKIP_TIMES[why].first_s


def test_children_that_were_refused_together_retry_at_different_times() -> None:
    delays = []
    for seed in range(250):
        parent_choice = make_choice(seed, (NEAR,))
        parent_choice.record_refusal(NEAR, Refusal.BUSY, 0.0, retry_after_s=2.0)
        delays.append(parent_choice.next_available_s(0.0))
    assert min(delays) >= 2.0 and max(delays) <= 3.0 and max(delays) - min(delays) > 0.9


def max_within(times: list[float], span_s: float) -> int:
    """Returns the largest number of times within any span of that length."""
    times = sorted(times)
    return max(sum(start <= at <= start + span_s for at in times) for start in times)


@pytest.mark.parametrize("run", range(20))
def test_250_children_of_a_dead_replica_leave_it_spread_out_and_in_time(run: int) -> None:
    times = [make_choice(1000 * run + child).leave_delay_s(250) for child in range(250)]
    assert max(times) + CALL_LIMIT_S <= CHANGE_DEADLINE_S
    assert max(times) + SILENCE_S + CALL_LIMIT_S <= LEASE_S
    assert max(times) > 1.8 and max_within(times, 0.1) <= 35  # The average is 12.5.


def test_the_leave_spread_grows_with_the_children_up_to_its_bound() -> None:
    longest = [
        max(make_choice(seed).leave_delay_s(children) for seed in range(200))
        for children in (0, 10, 100, 250, 9999)
    ]
    assert longest[0] == 0.0 and 0.45 < longest[1] <= 0.512 and 0.6 < longest[2] <= 0.8
    assert 1.8 < longest[3] <= MAX_LEAVE_SPREAD_S and longest[4] <= MAX_LEAVE_SPREAD_S


@pytest.mark.parametrize("run", range(5))
def test_children_that_connected_one_after_the_other_leave_spread_out(run: int) -> None:
    """Each child knows only the number of children that there were when it connected."""
    times = [make_choice(1000 * run + child).leave_delay_s(child + 1) for child in range(250)]
    assert max(times) <= MAX_LEAVE_SPREAD_S and max_within(times, 0.1) <= 50


def test_a_nearer_parent_counts_as_recovered_after_being_sound_for_a_while() -> None:
    parent_choice = make_choice()
    assert parent_choice.nearer(SAME_REGION, 0.0) == [
        one for one in parent_choice.available(0.0) if one in (NEAR, NEAR_TOO)
    ]
    assert parent_choice.nearer(NEAR, 0.0) == []
    assert not parent_choice.mark_sound(NEAR, 0.0) and not parent_choice.mark_sound(NEAR, MIN_SOUND_S - 0.1)
    parent_choice.record_refusal(NEAR, Refusal.UNREACHABLE, MIN_SOUND_S)
    assert not parent_choice.mark_sound(NEAR, MIN_SOUND_S + 1)
    assert parent_choice.mark_sound(NEAR, 2 * MIN_SOUND_S + 1)
    delays = [make_choice(seed).nearer_check_delay_s() for seed in range(250)]
    assert max_within(delays, 0.5) <= 40 and max(delays) - min(delays) > 4


def test_checks_for_a_fresher_parent_are_slow_and_spread_out() -> None:
    delays = [make_choice(seed).fresher_check_delay_s() for seed in range(250)]
    assert min(delays) >= FRESHER_CHECK_INTERVAL_S / 2 and max(delays) <= FRESHER_CHECK_INTERVAL_S < LEASE_S
    assert max_within(delays, 0.2) <= 50


def test_observations_of_parents_are_kept_when_the_list_of_parents_changes() -> None:
    parent_choice = make_choice(parents=(NEAR, FAR))
    parent_choice.record_refusal(NEAR, Refusal.LOOP, 0.0)
    parent_choice.replace((NEAR, NEAR_TOO))
    assert parent_choice.available(0.0) == [NEAR_TOO]
    parent_choice.record_refusal(FAR, Refusal.LOOP, 0.0)  # The last call of a removed parent may end later.
    assert not parent_choice.mark_sound(FAR, 0.0) and parent_choice.available(99.0) != []


@given(
    st.lists(st.tuples(st.sampled_from(ALL), st.sampled_from([*Refusal, None]), st.floats(0, 5)), max_size=60)
)
def test_no_parent_is_skipped_forever(steps: list[tuple[Parent, Refusal | None, float]]) -> None:
    parent_choice, now_s = make_choice(), 0.0
    for one, why, later_s in steps:
        now_s += later_s
        if why is None:
            parent_choice.mark_sound(one, now_s)
            assert one in parent_choice.available(now_s)
        else:
            parent_choice.record_refusal(one, why, now_s)
            assert one not in parent_choice.available(now_s)
    assert now_s <= parent_choice.next_available_s(now_s) <= now_s + 16.0
    assert set(parent_choice.available(now_s + 16.0)) == set(ALL)
