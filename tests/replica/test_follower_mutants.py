"""Faults injected into the follower, each of which its tests must detect."""

import pytest
import test_follower as tests

from glenfold.replica import follower, parent_calls
from glenfold.replica.parent_calls import ParentCalls
from glenfold.replica.parent_watch import Call
from glenfold.rules.parent_choice import ParentChoice
from glenfold.rules.succession import Succession


def test_a_stale_lease_passed_on_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Call, "renewed_at_s", property(lambda self: self.started_at_s))
    with pytest.raises(AssertionError):
        tests.test_only_what_the_source_renewed_renews()


def test_a_lease_renewed_by_any_change_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower, "FRESH_AGE_S", 1e9)
    with pytest.raises(AssertionError):
        tests.test_only_what_the_source_renewed_renews()


def test_no_jitter_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ParentChoice, "leave_s", lambda self, children: 0.0)
    with pytest.raises(AssertionError):
        tests.test_the_children_of_a_dead_replica_spread_over_the_others_and_over_time()


def test_an_older_list_taken_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Succession, "behind", lambda self, origin, gone: False)
    monkeypatch.setattr(Succession, "_refused", lambda self, received, position: None)
    with pytest.raises(AssertionError):
        tests.test_a_later_incarnation_of_another_parent_wins_and_an_earlier_one_is_behind()


def test_going_round_among_stale_parents_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower, "MIN_AGE_GAIN_S", -1e9)
    with pytest.raises(AssertionError):
        tests.test_where_all_are_stale_nobody_goes_round()


def test_a_loop_that_is_not_looked_for_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    check = ParentCalls._check

    def careless(self: ParentCalls, found: Call) -> None:
        name, self._name = self._name, None
        try:
            check(self, found)
        finally:
            self._name = name

    monkeypatch.setattr(ParentCalls, "_check", careless)
    with pytest.raises(AssertionError):
        tests.test_a_parent_that_follows_this_replica_is_refused_at_once()


def test_parents_asked_strictly_one_after_the_other_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parent_calls, "STAGGER_S", 60.0)
    with pytest.raises(AssertionError):
        tests.test_parents_on_machines_that_vanished_do_not_keep_it_from_the_others_for_long()


def test_a_renewal_before_what_was_missed_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    hold = follower.Follower._hold_watch

    async def hasty(self: follower.Follower, watch: follower.Watch) -> follower.Watch | None:
        self._renew(watch, watch.renewed_at_s)
        return await hold(self, watch)

    monkeypatch.setattr(follower.Follower, "_hold_watch", hasty)
    with pytest.raises(AssertionError):
        tests.test_what_was_missed_comes_before_the_renewal_of_a_new_parent()
