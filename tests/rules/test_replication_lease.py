"""Renewals: passed on as the source made them, never made up."""

import random

import pytest

from glenfold.rules.replication_lease import FRESH_S, MIN_LINE_INTERVAL_S, Lease


def test_an_empty_line_goes_out_once_for_each_renewal():
    one = Lease()
    assert not one.take_renewal(0.0) and one.due_at_s() is None
    one.renew(10.0, 10.0)
    assert one.take_renewal(10.0)
    assert not one.take_renewal(12.0) and one.due_at_s() is None
    one.renew(12.0, 12.0)
    assert one.take_renewal(12.0)


def test_a_renewal_that_a_change_has_told_of_needs_no_empty_line():
    one = Lease()
    one.renew(10.0, 10.0)
    one.record_line(10.0)
    assert one.due_at_s() is None and not one.take_renewal(11.0)


def test_a_renewal_close_behind_a_line_waits_and_is_not_lost():
    one = Lease()
    one.record_line(10.0)
    one.renew(10.1, 10.1)
    assert not one.take_renewal(10.1) and one.due_at_s() == 10.0 + MIN_LINE_INTERVAL_S
    assert one.take_renewal(10.0 + MIN_LINE_INTERVAL_S)


def test_the_renewal_that_came_with_a_change_needs_no_empty_line_unless_it_is_the_first():
    one = Lease()
    one.record_line(10.0)  # of a parent that was not renewed itself
    one.renew(10.01, 10.01)
    assert one.take_renewal(10.0 + MIN_LINE_INTERVAL_S)
    one.record_line(12.0)
    one.renew(12.01, 12.01)
    assert one.due_at_s() is None
    one.renew(14.0, 14.0)
    assert one.take_renewal(14.0)


def test_who_is_stale_tells_nothing_and_ages():
    one = Lease()
    assert one.age_s(5.0) is None
    one.renew(10.0, 10.0)
    one.expire()
    assert one.stale and not one.take_renewal(10.1)
    assert one.age_s(70.0) == 60.0
    one.renew(71.0, 71.0)
    assert not one.stale and one.take_renewal(71.0)


def test_a_renewal_heard_of_late_is_passed_on_by_its_age_alone():
    one = Lease()
    assert one.renew(10.0, 11.0 + FRESH_S)
    assert one.stale and one.due_at_s() is None and not one.take_renewal(11.0 + FRESH_S)
    assert one.age_s(11.0 + FRESH_S) == 1.0 + FRESH_S


def test_one_that_became_old_while_it_waited_is_not_passed_on():
    one = Lease()
    one.renew(10.0, 10.0)
    assert not one.take_renewal(10.1 + FRESH_S) and one.due_at_s() is None


def test_an_earlier_renewal_is_no_news():
    one = Lease()
    one.renew(10.0, 10.0)
    assert not one.renew(9.0, 10.0) and one.age_s(10.0) == 0.0


@pytest.mark.parametrize("seed", range(10))
def test_children_hear_the_source_at_its_own_pace_and_never_without_it(seed):
    """A source that speaks at least every 2 s through one or two parents, and then no more: no gap between
    lines is over 2.5 s while it speaks, and no line is without a renewal of its own."""
    rng = random.Random(seed)
    renewals = sorted(
        start + 2.0 * n + rng.uniform(0.0, 0.05) for start in (0.0, rng.uniform(0, 2)) for n in range(50)
    )
    one, told, now_s = Lease(), [], 0.0
    while now_s < 120.0:
        while renewals and renewals[0] <= now_s:
            one.renew(renewals.pop(0), now_s)
        if one.take_renewal(now_s):
            told.append(now_s)
        now_s += 0.01
    assert max(b - a for a, b in zip(told, told[1:], strict=False)) <= 2.5
    assert told[-1] <= 102.0 and len(told) <= 100
