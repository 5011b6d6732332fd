"""Tests that a replica passes on every renewal of its source, and sends none without one."""

import random

import pytest

from glenfold.rules.replication_lease import FRESH_S, MIN_LINE_INTERVAL_S, Lease


def test_an_empty_line_is_sent_once_for_each_renewal():
    lease = Lease()
    assert not lease.take_renewal(0.0) and lease.due_at_s() is None
    lease.renew(10.0, 10.0)
    assert lease.take_renewal(10.0)
    assert not lease.take_renewal(12.0) and lease.due_at_s() is None
    lease.renew(12.0, 12.0)
    assert lease.take_renewal(12.0)


def test_a_renewal_covered_by_a_change_needs_no_empty_line():
    lease = Lease()
    lease.renew(10.0, 10.0)
    lease.record_line(10.0)
    assert lease.due_at_s() is None and not lease.take_renewal(11.0)


def test_a_renewal_soon_after_a_line_is_delayed_and_not_lost():
    lease = Lease()
    lease.record_line(10.0)
    lease.renew(10.1, 10.1)
    assert not lease.take_renewal(10.1) and lease.due_at_s() == 10.0 + MIN_LINE_INTERVAL_S
    assert lease.take_renewal(10.0 + MIN_LINE_INTERVAL_S)


def test_the_renewal_that_came_with_a_change_needs_no_empty_line_unless_it_is_the_first():
    lease = Lease()
    lease.record_line(10.0)  # The parent that sent this change was not renewed itself.
    lease.renew(10.01, 10.01)
    assert lease.take_renewal(10.0 + MIN_LINE_INTERVAL_S)
    lease.record_line(12.0)
    lease.renew(12.01, 12.01)
    assert lease.due_at_s() is None
    lease.renew(14.0, 14.0)
    assert lease.take_renewal(14.0)


def test_a_stale_lease_sends_nothing_and_ages():
    lease = Lease()
    assert lease.age_s(5.0) is None
    lease.renew(10.0, 10.0)
    lease.expire()
    assert lease.stale and not lease.take_renewal(10.1)
    assert lease.age_s(70.0) == 60.0
    lease.renew(71.0, 71.0)
    assert not lease.stale and lease.take_renewal(71.0)


def test_a_renewal_received_late_is_passed_on_only_in_the_age():
    lease = Lease()
    assert lease.renew(10.0, 11.0 + FRESH_S)
    assert lease.stale and lease.due_at_s() is None and not lease.take_renewal(11.0 + FRESH_S)
    assert lease.age_s(11.0 + FRESH_S) == 1.0 + FRESH_S


def test_a_renewal_that_became_old_while_delayed_is_not_passed_on():
    lease = Lease()
    lease.renew(10.0, 10.0)
    assert not lease.take_renewal(10.1 + FRESH_S) and lease.due_at_s() is None


def test_an_earlier_renewal_is_ignored():
    lease = Lease()
    lease.renew(10.0, 10.0)
    assert not lease.renew(9.0, 10.0) and lease.age_s(10.0) == 0.0


@pytest.mark.parametrize("seed", range(10))
def test_children_are_renewed_at_the_interval_of_the_source_and_never_without_it(seed):
    """The source renews at least every 2 s through one or two parents, and then stops.

    No gap between lines is over 2.5 s while the source renews, and each line has a renewal of its own.
    """
    rng = random.Random(seed)
    renewals = sorted(
        start + 2.0 * n + rng.uniform(0.0, 0.05) for start in (0.0, rng.uniform(0, 2)) for n in range(50)
    )
    lease, sent_times, now_s = Lease(), [], 0.0
    while now_s < 120.0:
        while renewals and renewals[0] <= now_s:
            lease.renew(renewals.pop(0), now_s)
        if lease.take_renewal(now_s):
            sent_times.append(now_s)
        now_s += 0.01
    assert max(b - a for a, b in zip(sent_times, sent_times[1:], strict=False)) <= 2.5
    assert sent_times[-1] <= 102.0 and len(sent_times) <= 100
