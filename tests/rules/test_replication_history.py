"""Tests of the history of a list: its bounds, resumed watches, shared encoding, and new incarnations."""

import json
import random
from dataclasses import replace

import pytest
from rules.list_documents import Child, change, decode_lines, server, whole

from glenfold.rules.replication import ListDocument, Position
from glenfold.rules.replication_history import FutureRevision, PastRevision, RevisionHistory

MAX_BYTES = 1 << 20


def make_history(
    *documents: ListDocument, changes: int = 100, most_bytes: int = MAX_BYTES
) -> RevisionHistory:
    history = RevisionHistory(changes, most_bytes)
    for document in documents:
        history.add(document)
    return history


def missed_revisions(history: RevisionHistory, revision: int, incarnation: int | None = None) -> list[int]:
    chunks, end = history.read(history.index_after(revision, incarnation), MAX_BYTES)
    assert end == history.end_index
    return [line["seq"] for line in decode_lines(chunks)]


def test_a_watch_resumes_after_its_revision_even_if_revisions_are_skipped():
    history = make_history(whole(3, 1, 2), change(4), change(7), change(8))
    assert [missed_revisions(history, revision) for revision in (3, 4, 5, 7, 8)] == [
        [4, 7, 8],
        [7, 8],
        [7, 8],
        [8],
        [],
    ]


def test_past_revisions_need_a_whole_list_and_future_ones_are_refused():
    history = make_history(whole(3, 1), change(4))
    with pytest.raises(PastRevision):
        history.index_after(2)
    with pytest.raises(FutureRevision):
        history.index_after(5)
    with pytest.raises(FutureRevision):
        history.index_after(0, incarnation=1)
    with pytest.raises(PastRevision):
        make_history().index_after(0)
    with pytest.raises(PastRevision):
        make_history().whole()


def test_the_history_is_bounded_by_count():
    history = make_history(whole(0), *(change(n) for n in range(1, 51)), changes=10)
    assert missed_revisions(history, 40) == list(range(41, 51))
    with pytest.raises(PastRevision):
        history.index_after(39)
    with pytest.raises(PastRevision):
        history.read(39, MAX_BYTES)  # The watch fell behind.


def test_the_history_is_bounded_by_bytes_even_if_one_change_is_too_large():
    history = make_history(whole(0), most_bytes=2000)
    for revision in range(1, 200):
        history.add(change(revision))
        assert history.held_bytes <= 2000
    assert history.first_index > 150 and missed_revisions(history, 199) == []
    history.add(change(200, *map(server, range(1000, 1100))))
    assert (history.held_bytes, history.first_index) == (0, history.end_index)
    with pytest.raises(PastRevision):
        history.index_after(199)
    assert missed_revisions(history, 200) == []


def test_all_watchers_are_sent_the_same_bytes():
    history = make_history(whole(0), change(1), change(2))
    first, _ = history.read(1, MAX_BYTES)
    assert first is history.read(1, MAX_BYTES)[0]
    assert history.whole() is history.whole()


def test_a_read_stays_within_the_requested_size_but_has_at_least_one_change():
    history = make_history(whole(0), *(change(n) for n in range(1, 20)))
    size, index, read = len(history.read(0, 1)[0]), 0, 0
    assert history.read(0, 1)[1] == 1
    while index < history.end_index:
        chunks, index = history.read(index, 3 * size)
        assert len(chunks) <= 3 * size
        read += len(decode_lines(chunks))
    assert read == 19


def test_another_incarnation_ends_the_history_whatever_its_revisions_are():
    history = make_history(whole(3, 1), change(9), whole(2, 5, incarnation=1), change(3, incarnation=1))
    assert missed_revisions(history, 2, 1) == [3]
    with pytest.raises(PastRevision):
        history.index_after(2, 0)
    assert json.loads(history.whole())["hosts"] == [server(5), server(3)]


def test_a_child_without_an_incarnation_does_not_resume_from_a_revision_of_an_earlier_one():
    history = make_history(whole(3, 1), change(9), whole(2, 5, incarnation=1), change(3, incarnation=1))
    with pytest.raises(PastRevision):
        history.index_after(2)
    with pytest.raises(FutureRevision):
        history.index_after(9)
    history.add(change(9, incarnation=1))
    with pytest.raises(PastRevision):
        history.index_after(9)
    history.add(change(12, incarnation=1))
    assert missed_revisions(history, 10) == [12]


def test_a_whole_list_of_the_same_incarnation_is_a_change_for_watches():
    history = make_history(whole(1, 1, 2, 3), whole(5, 2, 3, 4))
    chunks, _ = history.read(history.index_after(1), MAX_BYTES)
    assert decode_lines(chunks) == [{"seq": 5, "whole": False, "hosts": [server(4), server(1, "terminated")]}]
    assert json.loads(history.whole()) == {
        "seq": 5,
        "whole": True,
        "hosts": [server(2), server(3), server(4)],
    }


def test_of_two_entries_of_a_host_the_first_counts_unless_the_host_leaves():
    twice = change(2, server(1, share=2.0), server(1, share=3.0), server(2), server(2, "terminating"))
    history = make_history(whole(1), twice)
    assert json.loads(history.whole())["hosts"] == [server(1, share=2.0), server(2, "terminating")]


def test_documents_that_are_not_later_or_have_no_whole_list_are_rejected():
    history = make_history(whole(3, 1))
    for document in (change(3), whole(2, 1), change(9, incarnation=1), whole(9, 1, incarnation=-1)):
        with pytest.raises(ValueError):
            history.add(document)
    with pytest.raises(ValueError):
        make_history(change(1))
    assert history.position == Position(0, 3) and history.end_index == 0


@pytest.mark.parametrize("seed", range(20))
def test_children_that_resume_at_any_revision_have_the_list_of_the_source(seed):
    """Random lists and changes reach a child that always watches, and one that is repeatedly disconnected.

    The second child resumes by its revision or by a whole list.
    """
    rng = random.Random(seed)
    history, truth = make_history(whole(0, 1), changes=5), {"s-1": server(1)}
    steady, cut = Child(), Child()
    for child in (steady, cut):
        child.apply(json.loads(history.whole()))
    index, revision = history.end_index, 0
    for _ in range(60):
        revision += rng.randint(1, 3)
        entries = {n: server(n, rng.choice(["in_service", "terminating"])) for n in rng.sample(range(9), 3)}
        if rng.random() < 0.2:
            truth = {entry["host"]: entry for entry in entries.values()}
            history.add(ListDocument(Position(0, revision), True, tuple(entries.values())))
        else:
            left = server(rng.choice([n for n in range(9) if n not in entries]), "terminated")
            truth |= {entry["host"]: entry for entry in entries.values()}
            truth.pop(left["host"], None)
            history.add(change(revision, *entries.values(), left))
        chunks, index = history.read(index, MAX_BYTES)
        for line in decode_lines(chunks):
            steady.apply(line)
        if rng.random() < 0.3:
            try:
                chunks, _ = history.read(history.index_after(cut.revision), MAX_BYTES)
                documents = decode_lines(chunks)
            except PastRevision:
                documents = [json.loads(history.whole())]
            for document in documents:
                cut.apply(document)
            assert cut.servers == truth
        assert steady.servers == truth and steady.revision == revision


def test_a_list_that_restarts_the_history_is_accepted_and_all_watches_are_past():
    history = make_history(whole(3, 1), change(4), change(5))
    restart = replace(whole(2, 7), restarts_history=True)
    history.add(restart)
    assert history.position == Position(0, 2) and json.loads(history.whole())["seq"] == 2
    for index in range(history.end_index):
        with pytest.raises(PastRevision):
            history.read(index, MAX_BYTES)
    with pytest.raises(FutureRevision):
        history.index_after(5, 0)
    history.add(change(3))
    for revision in (2, 3):  # These may also be revisions of the earlier history.
        with pytest.raises(PastRevision):
            history.index_after(revision, 0)
    history.add(change(6))
    assert history.index_after(6, 0) == history.end_index
    history.add(change(7))
    assert missed_revisions(history, 6, 0) == [7]


def test_changes_before_the_first_list_let_slightly_older_children_resume():
    history = make_history(whole(9, 1), change(10))
    index = history.index_after(9)
    assert history.prepend_changes(5, [change(6), change(8), change(9)]) == 3
    assert [missed_revisions(history, revision) for revision in (5, 6, 8, 9)] == [
        [6, 8, 9, 10],
        [8, 9, 10],
        [9, 10],
        [10],
    ]
    with pytest.raises(PastRevision):
        history.index_after(4)
    assert history.index_after(9) == index  # Open watches continue at the same index.
    history.add(change(11))
    assert missed_revisions(history, 10) == [11]


def test_the_newest_earlier_changes_are_kept_as_far_as_the_bounds_allow():
    few = make_history(whole(9, 1), changes=2)
    assert few.prepend_changes(5, [change(6), change(8), change(9)]) == 2
    assert missed_revisions(few, 6) == [8, 9]
    with pytest.raises(PastRevision):
        few.index_after(5)
    small = make_history(whole(9, 1), most_bytes=250)
    assert small.prepend_changes(5, [change(6), change(8), change(9)]) == 2 and small.held_bytes <= 250


@pytest.mark.parametrize(
    "since, changes",
    [
        (5, []),
        (5, [change(6), change(8)]),  # The changes end before the first list.
        (5, [change(6), change(10)]),  # The changes end after the first list.
        (5, [change(8), change(6), change(9)]),
        (8, [change(6), change(9)]),
        (5, [whole(6, 1), change(9)]),
        (5, [change(6), change(9, incarnation=1)]),
    ],
)
def test_changes_that_do_not_lead_to_the_first_list_are_rejected(since, changes):
    history = make_history(whole(9, 1), change(10))
    with pytest.raises(ValueError):
        history.prepend_changes(since, changes)
    with pytest.raises(PastRevision):
        history.index_after(8)
    with pytest.raises(ValueError):
        make_history().prepend_changes(since, changes)
