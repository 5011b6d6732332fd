"""Faults injected into the server of a replica, each of which its tests must detect."""

import random

import pytest
import test_server
from rules import test_replication_admission as admission_tests
from rules import test_replication_history as history_tests
from rules import test_replication_lease as lease_tests

from glenfold.replica.watches import Watches
from glenfold.rules.replication_admission import WholeListAdmission
from glenfold.rules.replication_history import RevisionHistory
from glenfold.rules.replication_lease import Lease

DETECTION_ERRORS = (AssertionError, BaseExceptionGroup, pytest.fail.Exception)


def assert_detected(*tests):
    """Checks that each of the tests fails."""
    for test in tests:
        with pytest.raises(DETECTION_ERRORS):
            test()


def test_passing_on_a_lease_that_the_source_did_not_renew_is_detected(monkeypatch):
    """The replica sends empty lines on a timer of its own, as an agent does."""
    monkeypatch.setattr(Lease, "due_at_s", lambda self: self._last_line_at_s + 0.5)
    monkeypatch.setattr(Lease, "take_renewal", lambda self, now_s: not self.record_line(now_s))
    assert_detected(
        lease_tests.test_a_stale_lease_sends_nothing_and_ages,
        lease_tests.test_an_empty_line_is_sent_once_for_each_renewal,
        test_server.test_an_empty_line_is_sent_only_when_the_source_renewed,
    )


def test_passing_on_a_lease_of_any_age_is_detected(monkeypatch):
    monkeypatch.setattr("glenfold.rules.replication_lease.FRESH_S", float("inf"))
    assert_detected(
        lease_tests.test_a_renewal_that_became_old_while_delayed_is_not_passed_on,
        test_server.test_an_empty_line_is_sent_only_when_the_source_renewed,
    )


def test_an_unbounded_history_is_detected(monkeypatch):
    def hold(self, change):
        self._changes.append(change)
        self._bytes += len(change.chunk)
        self.end_index += 1

    monkeypatch.setattr(RevisionHistory, "_append_change", hold)
    assert_detected(
        history_tests.test_the_history_is_bounded_by_count,
        history_tests.test_the_history_is_bounded_by_bytes_even_if_one_change_is_too_large,
        test_server.test_a_watch_resumes_from_its_revision_or_starts_with_the_whole_list,
    )


def test_admitting_all_whole_lists_is_detected(monkeypatch):
    monkeypatch.setattr(WholeListAdmission, "admit", lambda self, now_s, size: True)
    assert_detected(
        admission_tests.test_no_window_holds_more_bytes_than_the_rate_allows,
        admission_tests.test_responses_in_progress_are_bounded_and_a_finished_one_admits_another,
        test_server.test_in_a_burst_whole_lists_are_admitted_at_their_rate_while_watches_go_on,
        test_server.test_a_watch_from_a_past_revision_is_admitted_like_a_whole_list,
    )


def test_retry_delays_without_jitter_are_detected(monkeypatch):
    monkeypatch.setattr(random.Random, "uniform", lambda self, min_s, max_s: max_s)
    assert_detected(
        admission_tests.test_replicas_spread_the_same_children_differently,
    )


def test_retry_delays_that_are_not_spread_are_detected(monkeypatch):
    monkeypatch.setattr(WholeListAdmission, "retry_after_s", lambda self, now_s, size: 1)
    assert_detected(
        admission_tests.test_rejected_children_are_spread_over_the_time_that_all_of_them_need,
        test_server.test_in_a_burst_whole_lists_are_admitted_at_their_rate_while_watches_go_on,
    )


def test_ending_all_watches_at_once_is_detected(monkeypatch):
    async def end_all(self, spread_s):
        for watch in tuple(self._open):
            self._end(watch)

    monkeypatch.setattr(Watches, "end_all", end_all)
    assert_detected(
        test_server.test_at_shutdown_watches_end_evenly_over_the_given_time_and_new_ones_are_refused
    )


def test_resuming_a_watch_one_change_late_is_detected(monkeypatch):
    index_after = RevisionHistory.index_after

    def late(self, revision, incarnation=None):
        return min(self.end_index, 1 + index_after(self, revision, incarnation))

    monkeypatch.setattr(RevisionHistory, "index_after", late)
    assert_detected(history_tests.test_a_watch_resumes_after_its_revision_even_if_revisions_are_skipped)


def test_a_renewal_within_a_change_is_detected(monkeypatch):
    """The empty line is sent without regard to unsent bytes before it."""

    def renew(self, watch):
        from glenfold.net.sockets import send_now
        from glenfold.rules.replication_http import RENEWAL_CHUNK

        send_now(watch.sock, RENEWAL_CHUNK)
        return True

    each = Watches._write_each

    async def write_all(self, step):
        for watch in self._open:
            watch.is_catching_up = False
        await each(self, step)

    monkeypatch.setattr(Watches, "_renew", renew)
    monkeypatch.setattr(Watches, "_write_each", write_all)
    assert_detected(test_server.test_a_slow_child_receives_renewals_only_after_earlier_changes)
