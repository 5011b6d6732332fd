"""The history of a list: bounded, resumed from, encoded once for all, and ended by another incarnation."""

import json
import random
from dataclasses import replace

import pytest
from rules.listed import Child, change, lines, server, whole

from glenfold.rules.replication import ListDocument, Position
from glenfold.rules.replication_history import FutureRevision, PastRevision, RevisionHistory

MOST = 1 << 20


def history(*documents: ListDocument, changes: int = 100, most_bytes: int = MOST) -> RevisionHistory:
    made = RevisionHistory(changes, most_bytes)
    for document in documents:
        made.add(document)
    return made


def missed(one: RevisionHistory, revision: int, incarnation: int | None = None) -> list[int]:
    chunks, end = one.read(one.index_after(revision, incarnation), MOST)
    assert end == one.end_index
    return [line["seq"] for line in lines(chunks)]


def test_a_watch_resumes_after_its_revision_also_where_revisions_skip():
    one = history(whole(3, 1, 2), change(4), change(7), change(8))
    assert [missed(one, revision) for revision in (3, 4, 5, 7, 8)] == [[4, 7, 8], [7, 8], [7, 8], [8], []]


def test_past_revisions_need_a_whole_list_and_future_ones_are_refused():
    one = history(whole(3, 1), change(4))
    with pytest.raises(PastRevision):
        one.index_after(2)
    with pytest.raises(FutureRevision):
        one.index_after(5)
    with pytest.raises(FutureRevision):
        one.index_after(0, incarnation=1)
    with pytest.raises(PastRevision):
        history().index_after(0)
    with pytest.raises(PastRevision):
        history().whole()


def test_the_history_is_bounded_by_count():
    one = history(whole(0), *(change(n) for n in range(1, 51)), changes=10)
    assert missed(one, 40) == list(range(41, 51))
    with pytest.raises(PastRevision):
        one.index_after(39)
    with pytest.raises(PastRevision):
        one.read(39, MOST)  # a watcher that fell behind


def test_the_history_is_bounded_by_bytes_also_where_one_change_is_too_large():
    one = history(whole(0), most_bytes=2000)
    for revision in range(1, 200):
        one.add(change(revision))
        assert one.held_bytes <= 2000
    assert one.first_index > 150 and missed(one, 199) == []
    one.add(change(200, *map(server, range(1000, 1100))))
    assert (one.held_bytes, one.first_index) == (0, one.end_index)
    with pytest.raises(PastRevision):
        one.index_after(199)
    assert missed(one, 200) == []


def test_all_watchers_are_sent_the_same_bytes():
    one = history(whole(0), change(1), change(2))
    first, _ = one.read(1, MOST)
    assert first is one.read(1, MOST)[0]
    assert one.whole() is one.whole()


def test_joined_changes_stay_within_the_size_asked_for_but_one_goes_always():
    one = history(whole(0), *(change(n) for n in range(1, 20)))
    size, index, read = len(one.read(0, 1)[0]), 0, 0
    assert one.read(0, 1)[1] == 1
    while index < one.end_index:
        chunks, index = one.read(index, 3 * size)
        assert len(chunks) <= 3 * size
        read += len(lines(chunks))
    assert read == 19


def test_another_incarnation_ends_the_history_whatever_its_revisions_say():
    one = history(whole(3, 1), change(9), whole(2, 5, incarnation=1), change(3, incarnation=1))
    assert missed(one, 2, 1) == [3]
    with pytest.raises(PastRevision):
        one.index_after(2, 0)
    assert json.loads(one.whole())["hosts"] == [server(5), server(3)]


def test_a_child_that_names_no_incarnation_does_not_go_on_from_a_revision_of_an_earlier_one():
    one = history(whole(3, 1), change(9), whole(2, 5, incarnation=1), change(3, incarnation=1))
    with pytest.raises(PastRevision):
        one.index_after(2)
    with pytest.raises(FutureRevision):
        one.index_after(9)
    one.add(change(9, incarnation=1))
    with pytest.raises(PastRevision):
        one.index_after(9)
    one.add(change(12, incarnation=1))
    assert missed(one, 10) == [12]


def test_a_whole_list_of_the_same_incarnation_is_a_change_to_those_who_watch():
    one = history(whole(1, 1, 2, 3), whole(5, 2, 3, 4))
    chunks, _ = one.read(one.index_after(1), MOST)
    assert lines(chunks) == [{"seq": 5, "whole": False, "hosts": [server(4), server(1, "terminated")]}]
    assert json.loads(one.whole()) == {"seq": 5, "whole": True, "hosts": [server(2), server(3), server(4)]}


def test_a_host_that_stands_twice_counts_by_its_first_entry_unless_it_leaves():
    twice = change(2, server(1, share=2.0), server(1, share=3.0), server(2), server(2, "terminating"))
    one = history(whole(1), twice)
    assert json.loads(one.whole())["hosts"] == [server(1, share=2.0), server(2, "terminating")]


def test_what_is_not_later_or_has_no_list_to_lead_on_from_is_not_taken():
    one = history(whole(3, 1))
    for document in (change(3), whole(2, 1), change(9, incarnation=1), whole(9, 1, incarnation=-1)):
        with pytest.raises(ValueError):
            one.add(document)
    with pytest.raises(ValueError):
        history(change(1))
    assert one.position == Position(0, 3) and one.end_index == 0


@pytest.mark.parametrize("seed", range(20))
def test_children_that_resume_anywhere_know_what_the_source_knows(seed):
    """Random lists and changes, a child that always watches, and one that is cut and resumes by its revision
    or by a whole list."""
    rng = random.Random(seed)
    one, truth = history(whole(0, 1), changes=5), {"s-1": server(1)}
    steady, cut = Child(), Child()
    for child in (steady, cut):
        child.take(json.loads(one.whole()))
    index, revision = one.end_index, 0
    for _ in range(60):
        revision += rng.randint(1, 3)
        entries = {n: server(n, rng.choice(["in_service", "terminating"])) for n in rng.sample(range(9), 3)}
        if rng.random() < 0.2:
            truth = {entry["host"]: entry for entry in entries.values()}
            one.add(ListDocument(Position(0, revision), True, tuple(entries.values())))
        else:
            left = server(rng.choice([n for n in range(9) if n not in entries]), "terminated")
            truth |= {entry["host"]: entry for entry in entries.values()}
            truth.pop(left["host"], None)
            one.add(change(revision, *entries.values(), left))
        chunks, index = one.read(index, MOST)
        for line in lines(chunks):
            steady.take(line)
        if rng.random() < 0.3:
            try:
                chunks, _ = one.read(one.index_after(cut.revision), MOST)
                documents = lines(chunks)
            except PastRevision:
                documents = [json.loads(one.whole())]
            for document in documents:
                cut.take(document)
            assert cut.servers == truth
        assert steady.servers == truth and steady.revision == revision


def test_a_list_that_begins_anew_is_taken_whatever_its_numbers_and_all_watches_are_past():
    one = history(whole(3, 1), change(4), change(5))
    restarts_history = replace(whole(2, 7), restarts_history=True)
    one.add(restarts_history)
    assert one.position == Position(0, 2) and json.loads(one.whole())["seq"] == 2
    for index in range(one.end_index):
        with pytest.raises(PastRevision):
            one.read(index, MOST)
    with pytest.raises(FutureRevision):
        one.index_after(5, 0)
    one.add(change(3))
    for revision in (2, 3):  # as likely of the history before
        with pytest.raises(PastRevision):
            one.index_after(revision, 0)
    one.add(change(6))
    assert one.index_after(6, 0) == one.end_index
    one.add(change(7))
    assert missed(one, 6, 0) == [7]


def test_changes_that_led_to_the_first_list_let_those_resume_who_knew_a_little_less():
    one = history(whole(9, 1), change(10))
    index = one.index_after(9)
    assert one.prepend_changes(5, [change(6), change(8), change(9)]) == 3
    assert [missed(one, revision) for revision in (5, 6, 8, 9)] == [[6, 8, 9, 10], [8, 9, 10], [9, 10], [10]]
    with pytest.raises(PastRevision):
        one.index_after(4)
    assert one.index_after(9) == index  # open watches go on where they were
    one.add(change(11))
    assert missed(one, 10) == [11]


def test_of_earlier_changes_the_newest_are_held_as_far_as_the_bounds_allow():
    few = history(whole(9, 1), changes=2)
    assert few.prepend_changes(5, [change(6), change(8), change(9)]) == 2
    assert missed(few, 6) == [8, 9]
    with pytest.raises(PastRevision):
        few.index_after(5)
    small = history(whole(9, 1), most_bytes=250)
    assert small.prepend_changes(5, [change(6), change(8), change(9)]) == 2 and small.held_bytes <= 250


@pytest.mark.parametrize(
    "since, changes",
    [
        (5, []),
        (5, [change(6), change(8)]),  # they end before
        (5, [change(6), change(10)]),  # they go beyond
        (5, [change(8), change(6), change(9)]),
        (8, [change(6), change(9)]),
        (5, [whole(6, 1), change(9)]),
        (5, [change(6), change(9, incarnation=1)]),
    ],
)
def test_changes_that_do_not_lead_to_the_first_list_are_not_taken(since, changes):
    one = history(whole(9, 1), change(10))
    with pytest.raises(ValueError):
        one.prepend_changes(since, changes)
    with pytest.raises(PastRevision):
        one.index_after(8)
    with pytest.raises(ValueError):
        history().prepend_changes(since, changes)
