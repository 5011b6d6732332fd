"""Whole lists at a bounded rate, and those who wait spread over the time that they all need."""

import random

from hypothesis import given
from hypothesis import strategies as st

from glenfold.rules.replication_admission import MIN_RETRY_AFTER_S, WholeListAdmission

SIZE = 100_000
RATE = 1_000_000.0  # ten lists a second, and as many at once


def admission(at_once: int = 1000, children: int = 4000, seed: int = 1) -> WholeListAdmission:
    return WholeListAdmission(RATE, at_once, children, random.Random(seed))


GAPS = st.sampled_from([0.0, 0.001, 0.01, 0.02, 0.4])


@given(st.lists(GAPS, min_size=40, max_size=200))
def test_no_window_holds_more_bytes_than_the_rate_allows(gaps):
    one, now_s, admitted = admission(), 0.0, []
    for gap in gaps:
        now_s += gap
        if one.admit(now_s, SIZE):
            admitted.append(now_s)
    for n, since in enumerate(admitted):
        for count, until in enumerate(admitted[n:], 1):
            assert count * SIZE <= RATE + RATE * (until - since) + 1


def test_answers_under_way_are_bounded_and_one_that_ends_makes_room():
    one = admission(at_once=3)
    assert [one.admit(0.0, SIZE) for _ in range(5)] == [True] * 3 + [False] * 2
    one.finished()
    assert [one.admit(0.0, SIZE) for _ in range(2)] == [True, False]


def test_a_list_larger_than_a_second_of_the_rate_is_admitted_all_the_same_and_paid_for_afterwards():
    one = admission()
    assert one.admit(0.0, 3_000_000)
    assert not one.admit(1.9, SIZE)
    assert not one.admit(2.05, SIZE)
    assert one.admit(2.2, SIZE)


def test_those_who_wait_are_spread_over_the_time_that_they_all_need():
    one = admission()
    waits = [one.retry_after_s(0.0, SIZE) for _ in range(3400)]
    assert all(wait >= MIN_RETRY_AFTER_S for wait in waits)
    assert 300 <= max(waits) <= 341  # 3,400 lists at ten a second
    assert len(set(waits)) > 250
    most = max(waits.count(wait) for wait in set(waits))
    assert most < 3400 / 20  # no second has more than a small part of them


def test_two_replicas_spread_alike_children_differently():
    replicas = [admission(seed=seed) for seed in range(20)]
    for one in replicas:
        for _ in range(500):
            one.retry_after_s(0.0, SIZE)
    assert len({one.retry_after_s(0.0, SIZE) for one in replicas}) > 10


def test_a_storm_ends_and_the_next_begins_small():
    one = admission()
    for _ in range(500):
        one.retry_after_s(0.0, SIZE)
    assert one.retry_after_s(1000.0, SIZE) == MIN_RETRY_AFTER_S


def test_no_storm_is_longer_than_all_children_need():
    one = admission(children=20)
    assert max(one.retry_after_s(0.0, SIZE) for _ in range(1000)) <= MIN_RETRY_AFTER_S + 2


def test_a_storm_of_returns_is_over_in_the_time_it_needs():
    """3,400 children that come back when they are told to: all have their list within twice the time that
    the rate needs for them."""
    one = admission()
    due = dict.fromkeys(range(3400), 0.0)
    now_s = 0.0
    while due:
        for child in [child for child, at_s in due.items() if at_s <= now_s]:
            if one.admit(now_s, SIZE):
                one.finished()
                del due[child]
            else:
                due[child] = now_s + one.retry_after_s(now_s, SIZE)
        now_s += 0.5
    assert 330 <= now_s <= 680
