"""Faults injected into the follower, each of which its tests must detect."""

import pytest
import test_follower as tests

from glenfold.replica import follower, parent_calls
from glenfold.replica.parent_calls import ParentCalls
from glenfold.replica.parent_watch import Call
from glenfold.rules.parent_choice import ParentChoice
from glenfold.rules.succession import Succession


def test_passing_on_a_stale_lease_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Call, "renewed_at_s", property(lambda self: self.started_at_s))
    with pytest.raises(AssertionError):
        tests.test_only_a_renewal_by_the_source_renews_the_lease()


def test_renewing_the_lease_by_any_change_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower, "FRESH_AGE_S", 1e9)
    with pytest.raises(AssertionError):
        tests.test_only_a_renewal_by_the_source_renews_the_lease()


def test_missing_jitter_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ParentChoice, "leave_delay_s", lambda self, children: 0.0)
    with pytest.raises(AssertionError):
        tests.test_children_of_a_killed_replica_spread_over_the_others_and_over_time()


def test_accepting_an_older_list_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Succession, "is_behind", lambda self, origin, gone: False)
    monkeypatch.setattr(Succession, "_rejection", lambda self, received, position: None)
    with pytest.raises(AssertionError):
        tests.test_a_later_incarnation_of_another_parent_wins_and_an_earlier_one_is_behind()


def test_moving_among_stale_parents_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower, "MIN_AGE_GAIN_S", -1e9)
    with pytest.raises(AssertionError):
        tests.test_children_stay_with_their_parents_while_all_are_stale()


def test_a_missing_loop_check_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    check = ParentCalls._check

    def check_without_name(self: ParentCalls, call: Call) -> None:
        name, self._name = self._name, None
        try:
            check(self, call)
        finally:
            self._name = name

    monkeypatch.setattr(ParentCalls, "_check", check_without_name)
    with pytest.raises(AssertionError):
        tests.test_a_parent_that_follows_this_replica_is_refused()


def test_calling_parents_strictly_one_at_a_time_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parent_calls, "STAGGER_S", 60.0)
    with pytest.raises(AssertionError):
        tests.test_parents_on_vanished_machines_do_not_delay_the_move_to_another()


def test_a_renewal_before_missed_changes_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    hold = follower.Follower._hold_watch

    async def renew_before_holding(self: follower.Follower, watch: follower.Watch) -> follower.Watch | None:
        self._renew(watch, watch.renewed_at_s)
        return await hold(self, watch)

    monkeypatch.setattr(follower.Follower, "_hold_watch", renew_before_holding)
    with pytest.raises(AssertionError):
        tests.test_missed_changes_come_before_the_renewal_of_a_new_parent()
