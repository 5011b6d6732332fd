"""Tests of the admission of whole lists at a bounded rate, and of the spread of the rejected requests."""

import random

from hypothesis import given
from hypothesis import strategies as st

from glenfold.rules.replication_admission import MIN_RETRY_AFTER_S, WholeListAdmission

SIZE = 100_000
RATE = 1_000_000.0  # The rate admits ten lists a second, and ten at once.


def make_admission(at_once: int = 1000, children: int = 4000, seed: int = 1) -> WholeListAdmission:
    return WholeListAdmission(RATE, at_once, children, random.Random(seed))


GAPS = st.sampled_from([0.0, 0.001, 0.01, 0.02, 0.4])


@given(st.lists(GAPS, min_size=40, max_size=200))
def test_no_window_holds_more_bytes_than_the_rate_allows(gaps):
    admission, now_s, admitted = make_admission(), 0.0, []
    for gap in gaps:
        now_s += gap
        if admission.admit(now_s, SIZE):
            admitted.append(now_s)
    for n, since in enumerate(admitted):
        for count, until in enumerate(admitted[n:], 1):
            assert count * SIZE <= RATE + RATE * (until - since) + 1


def test_responses_in_progress_are_bounded_and_a_finished_one_admits_another():
    admission = make_admission(at_once=3)
    assert [admission.admit(0.0, SIZE) for _ in range(5)] == [True] * 3 + [False] * 2
    admission.finished()
    assert [admission.admit(0.0, SIZE) for _ in range(2)] == [True, False]


def test_a_list_larger_than_the_burst_is_admitted_and_delays_those_after_it():
    admission = make_admission()
    assert admission.admit(0.0, 3_000_000)
    assert not admission.admit(1.9, SIZE)
    assert not admission.admit(2.05, SIZE)
    assert admission.admit(2.2, SIZE)


def test_rejected_children_are_spread_over_the_time_that_all_of_them_need():
    admission = make_admission()
    delays = [admission.retry_after_s(0.0, SIZE) for _ in range(3400)]
    assert all(delay >= MIN_RETRY_AFTER_S for delay in delays)
    assert 300 <= max(delays) <= 341  # 3,400 lists at ten a second take 340 s.
    assert len(set(delays)) > 250
    max_count = max(delays.count(delay) for delay in set(delays))
    assert max_count < 3400 / 20  # No second has more than a small part of the retries.


def test_replicas_spread_the_same_children_differently():
    replicas = [make_admission(seed=seed) for seed in range(20)]
    for admission in replicas:
        for _ in range(500):
            admission.retry_after_s(0.0, SIZE)
    assert len({admission.retry_after_s(0.0, SIZE) for admission in replicas}) > 10


def test_after_a_burst_the_next_one_starts_with_short_delays():
    admission = make_admission()
    for _ in range(500):
        admission.retry_after_s(0.0, SIZE)
    assert admission.retry_after_s(1000.0, SIZE) == MIN_RETRY_AFTER_S


def test_no_delay_is_longer_than_all_children_need():
    admission = make_admission(children=20)
    assert max(admission.retry_after_s(0.0, SIZE) for _ in range(1000)) <= MIN_RETRY_AFTER_S + 2


def test_a_burst_of_returning_children_is_served_in_twice_the_time_it_needs():
    """3,400 children that retry after the delay given all have their list within twice the minimum time."""
    admission = make_admission()
    due = dict.fromkeys(range(3400), 0.0)
    now_s = 0.0
    while due:
        for child in [child for child, at_s in due.items() if at_s <= now_s]:
            if admission.admit(now_s, SIZE):
                admission.finished()
                del due[child]
            else:
                due[child] = now_s + admission.retry_after_s(now_s, SIZE)
        now_s += 0.5
    assert 330 <= now_s <= 680
