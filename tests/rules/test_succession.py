"""Tests of which lists and changes are accepted, from any parent and in any order."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenfold.rules.replication import ListDocument, Position
from glenfold.rules.succession import (
    DRAINING,
    GONE,
    MIN_REMEMBERED_SERVERS,
    READY,
    Origin,
    Received,
    Succession,
    Verdict,
)

A, B = ("127.0.0.1", 1), ("127.0.0.1", 2)


def host(name: str, health: str = READY, born_ms: int = 0) -> dict[str, Any]:
    return {"host": name, "health": health, "born_ms": born_ms}


def whole(
    revision: int, *entries: dict[str, Any], incarnation: int | None = 0, at: tuple[str, int] = A
) -> Received:
    return Received(Origin(at, incarnation), revision, True, entries)


def change(
    after: int,
    revision: int,
    *entries: dict[str, Any],
    incarnation: int | None = 0,
    at: tuple[str, int] = A,
) -> Received:
    return Received(Origin(at, incarnation), revision, False, entries, after)


def make_succession(*received: Received) -> Succession:
    succession = Succession()
    for one in received:
        assert isinstance(succession.judge(one), ListDocument)
    return succession


def test_a_change_without_a_list_is_incomplete() -> None:
    assert Succession().judge(change(0, 1)) is Verdict.INCOMPLETE


def test_later_changes_are_accepted_and_earlier_ones_are_repeated() -> None:
    succession = make_succession(whole(41), change(41, 42), change(42, 47))  # Revisions may be skipped.
    assert succession.judge(change(42, 47)) is Verdict.REPEATED
    assert succession.judge(change(41, 44)) is Verdict.REPEATED
    assert succession.judge(whole(47)) is Verdict.REPEATED
    assert succession.position == Position(0, 47)


def test_a_change_that_spans_the_known_revision_is_accepted() -> None:
    assert isinstance(make_succession(whole(41), change(41, 42)).judge(change(41, 44)), ListDocument)


def test_a_change_whose_predecessor_was_missed_requires_the_whole_list() -> None:
    succession = make_succession(whole(41))
    assert succession.judge(change(43, 44)) is Verdict.INCOMPLETE
    assert succession.needs_whole_list(Origin(A, 0), gone=False) and not succession.needs_whole_list(
        Origin(B, 0), gone=False
    )
    assert succession.judge(whole(44)) and not succession.needs_whole_list(Origin(A, 0), gone=False)


def test_an_older_list_is_behind() -> None:
    succession = make_succession(whole(41, incarnation=2))
    assert succession.judge(whole(40, incarnation=2, at=B)) is Verdict.BEHIND
    assert succession.judge(whole(99, incarnation=1, at=B)) is Verdict.BEHIND
    assert succession.judge(change(41, 99, incarnation=1, at=B)) is Verdict.BEHIND
    assert succession.position == Position(2, 41)


def test_of_two_different_parents_the_later_position_wins() -> None:
    succession = make_succession(whole(900, host("s-1"), incarnation=1))
    taken = succession.judge(whole(3, host("s-2"), incarnation=2, at=B))
    assert taken == ListDocument(Position(2, 3), True, (host("s-2"),))
    assert succession.judge(change(900, 901, incarnation=1)) is Verdict.BEHIND
    assert succession.is_behind(Origin(A, 1), gone=False) and not succession.is_behind(
        Origin(A, 2), gone=False
    )
    assert succession.is_behind(Origin(A, 2), gone=True) and not succession.is_behind(Origin(A, 3), gone=True)


def test_a_change_of_a_later_incarnation_requires_its_whole_list() -> None:
    succession = make_succession(whole(41, incarnation=1))
    assert succession.needs_whole_list(Origin(B, 2), gone=True)
    assert not succession.needs_whole_list(
        Origin(B, 2), gone=False
    )  # A watch of a later incarnation begins with the list.
    assert succession.judge(change(41, 42, incarnation=2, at=B)) is Verdict.INCOMPLETE
    assert succession.needs_whole_list(Origin(B, 2), gone=False)


def test_a_source_that_restarts_its_revisions_begins_the_next_incarnation() -> None:
    succession = make_succession(whole(41, incarnation=None), change(41, 42, incarnation=None))
    assert succession.needs_whole_list(Origin(A, None), gone=True) and not succession.needs_whole_list(
        Origin(A, None), gone=False
    )
    assert succession.judge(change(42, 3, incarnation=None)) is Verdict.INCOMPLETE
    assert succession.needs_whole_list(Origin(A, None), gone=False)
    assert isinstance(succession.judge(whole(3, incarnation=None)), ListDocument)
    assert succession.position == Position(1, 3)
    assert isinstance(succession.judge(change(3, 4, incarnation=None)), ListDocument)
    assert succession.position == Position(1, 4)


def test_a_lower_revision_of_another_source_is_behind_until_the_first_is_no_longer_followed() -> None:
    succession = make_succession(whole(41, incarnation=None))
    assert succession.needs_whole_list(Origin(B, None), gone=False)
    assert succession.judge(whole(40, incarnation=None, at=B)) is Verdict.BEHIND
    succession.release({A, B})
    assert succession.judge(whole(40, incarnation=None, at=B)) is Verdict.BEHIND
    succession.release({B})
    assert isinstance(succession.judge(whole(40, incarnation=None, at=B)), ListDocument)
    assert succession.position == Position(1, 40)


def test_a_revision_of_an_earlier_process_continues_in_the_incarnation_of_the_parent() -> None:
    succession = Succession()
    succession.resume(41)
    assert succession.incarnation is None and not succession.needs_whole_list(Origin(A, 7), gone=False)
    succession.resumed(Origin(A, 7))
    assert succession.position == Position(7, 41) and succession.incarnation == 7
    assert isinstance(succession.judge(change(41, 42, incarnation=7)), ListDocument)


def test_a_revision_of_an_earlier_process_is_dropped_if_no_parent_knows_it() -> None:
    succession = Succession()
    succession.resume(41)
    assert succession.needs_whole_list(Origin(A, 7), gone=True) and not succession.is_behind(
        Origin(A, 7), gone=True
    )
    assert isinstance(succession.judge(whole(3, incarnation=7)), ListDocument)


def test_the_whole_list_of_a_trusted_parent_is_accepted_whatever_its_position() -> None:
    succession = make_succession(
        whole(900, host("s-1"), incarnation=1), change(900, 901, host("s-1", DRAINING), incarnation=1)
    )
    succession.trust(B)
    assert not succession.is_behind(Origin(B, 0), gone=True) and succession.is_behind(Origin(A, 0), gone=True)
    assert succession.needs_whole_list(Origin(B, 0), gone=False)
    assert (
        succession.judge(whole(7, host("s-1"), incarnation=0)) is Verdict.BEHIND
    )  # Parent A is not trusted.
    assert succession.judge(change(7, 8, incarnation=0, at=B)) is Verdict.BEHIND
    taken = succession.judge(whole(7, host("s-1"), incarnation=0, at=B))
    assert taken == ListDocument(Position(0, 7), True, (host("s-1", DRAINING),), restarts_history=True)
    assert (
        succession.judge(whole(6, incarnation=0, at=B)) is Verdict.BEHIND
    )  # B was trusted for one list only.
    assert isinstance(succession.judge(change(7, 8, incarnation=0, at=B)), ListDocument)


@pytest.mark.parametrize("leaves", [host("s-1", DRAINING, 5), host("s-1", GONE, 5), None])
def test_a_departed_server_returns_in_a_new_history_only_after_a_restart_or_a_later_revision(
    leaves: dict[str, Any] | None,
) -> None:
    succession = make_succession(whole(900, host("s-1", born_ms=5), host("s-2"), incarnation=1))
    if leaves is None:
        assert succession.judge(whole(901, host("s-2"), incarnation=1))
    else:
        assert succession.judge(change(900, 901, leaves, incarnation=1))
    back = succession.judge(whole(3, host("s-1", born_ms=5), host("s-2"), incarnation=2))
    assert isinstance(back, ListDocument)
    assert [entry["health"] for entry in back.entries] == [DRAINING, READY]
    again = succession.judge(change(3, 4, host("s-1", born_ms=6), incarnation=2))
    assert isinstance(again, ListDocument) and again.entries[0]["health"] == READY
    later = succession.judge(whole(5, host("s-1", born_ms=5), incarnation=3))
    assert isinstance(later, ListDocument) and later.entries[0]["health"] == READY  # The server had returned.


def test_the_source_may_revert_a_drain_within_a_history() -> None:
    succession = make_succession(whole(1, host("s-1")), change(1, 2, host("s-1", DRAINING)))
    taken = succession.judge(change(2, 3, host("s-1")))
    assert isinstance(taken, ListDocument) and taken.entries[0]["health"] == READY


def test_as_many_departed_servers_are_remembered_as_the_longest_list_had() -> None:
    for size in (10, 5000):
        succession = make_succession(whole(100, *(host(f"s-{n}") for n in range(size))), whole(101))
        assert len(succession._departed) == size
        for n in range(size, 3 * size):
            succession.judge(
                change(101 + n, 102 + n, host(f"s-{n}", GONE)) if False else whole(102 + n, host(f"s-{n}"))
            )
        assert len(succession._departed) <= max(MIN_REMEMBERED_SERVERS, size + 1)


@pytest.mark.parametrize("entry", [{}, {"host": 3}, {"host": "s-1"}, {"host": "s-1", "born_ms": "soon"}])
def test_invalid_entries_are_passed_on_unchanged(entry: dict[str, Any]) -> None:
    taken = Succession().judge(whole(1, entry))
    assert isinstance(taken, ListDocument) and taken.entries == (entry,)


# ---- any order ----

HOSTS = ("s-1", "s-2", "s-3")


class SourceModel:
    """A source with its history, from which a parent may send the documents of any revision."""

    def __init__(self) -> None:
        self.position = Position(0, 10)
        self.states: dict[Position, dict[str, dict[str, Any]]] = {
            self.position: {name: host(name) for name in HOSTS}
        }
        self.born = 0

    def move(self, name: str, what: str) -> None:
        state = dict(self.states[self.position])
        if what == "restart":
            self.born += 1
            state[name] = host(name, READY, self.born)
        elif name in state and what == GONE:
            del state[name]
        elif name in state:
            state[name] = host(name, DRAINING, state[name]["born_ms"])
        self.position = Position(self.position.incarnation, self.position.revision + 1)
        self.states[self.position] = state

    def restart_history(self, position: Position) -> None:
        """Restarts the source with the state of that position and a new count of revisions."""
        state = self.states[position]
        self.position = Position(self.position.incarnation + 1, 1)
        self.states[self.position] = state

    def list_at(self, position: Position, at: tuple[str, int]) -> Received:
        state = self.states[position]
        return whole(position.revision, *state.values(), incarnation=position.incarnation, at=at)

    def change_to(self, before: Position, position: Position, at: tuple[str, int]) -> Received:
        was, now = self.states[before], self.states[position]
        entries = [one for name, one in now.items() if was.get(name) != one]
        entries += [one | {"health": GONE} for name, one in was.items() if name not in now]
        return change(before.revision, position.revision, *entries, incarnation=position.incarnation, at=at)


# Positions of the history, counted back from its end.
POSITIONS_BACK = st.one_of(st.just(0), st.integers(0, 9))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("move"), st.sampled_from(HOSTS), st.sampled_from([DRAINING, GONE, "restart"])),
        st.tuples(st.just("again"), POSITIONS_BACK, st.just(0)),
        st.tuples(st.sampled_from(["list", "change"]), POSITIONS_BACK, POSITIONS_BACK),
    ),
    max_size=60,
)


@given(STEPS, st.sampled_from([A, B]))
@settings(max_examples=300)
def test_in_any_order_of_documents_the_latest_wins_and_departed_servers_stay_departed(
    steps: list[tuple[Any, Any, Any]], at: tuple[str, int]
) -> None:
    check_history(steps, at)


def check_history(steps: list[tuple[Any, Any, Any]], at: tuple[str, int]) -> None:
    source, succession = SourceModel(), Succession()
    seen: dict[str, dict[str, Any]] = {}  # The list of a child that was sent every accepted document.
    left: dict[str, tuple[int, int]] = {}  # Revision of its departure and last start, by server.
    last = Position(-1, 0)
    for kind, first, second in steps:
        positions = list(reversed(source.states))  # The latest position comes first.
        if kind == "move":
            source.move(first, second)
            continue
        position = positions[first % len(positions)]
        if kind == "again":
            source.restart_history(position)
            continue
        received = source.list_at(position, at)
        if kind == "change":
            same = [one for one in positions if one.incarnation == position.incarnation and one <= position]
            received = source.change_to(same[second % len(same)], position, at)
        taken = succession.judge(received)
        if not isinstance(taken, ListDocument):
            assert succession.position == (last if last.incarnation >= 0 else None)
            assert taken is not Verdict.BEHIND or position < last
            assert not received.whole or position <= last
            continue
        assert taken.position == position > last and taken.whole == received.whole
        last, before = position, seen
        seen = {} if taken.whole else dict(seen)
        for one in taken.entries:
            seen[one["host"]] = dict(one)
            if one["health"] == GONE:
                del seen[one["host"]]
        truth = source.states[position]
        assert seen.keys() == truth.keys()
        for name in HOSTS:
            check_server(name, position, truth, seen, left)
            record_departure(name, position, truth, before, left)


def check_server(
    name: str,
    position: Position,
    truth: dict[str, dict[str, Any]],
    seen: dict[str, dict[str, Any]],
    left: dict[str, tuple[int, int]],
) -> None:
    """Checks a child's entry of the server against the source's, and whether the server has left before."""
    if name not in seen:
        return
    born_ms = truth[name]["born_ms"]
    left_in, left_after = left.get(name, (0, -1))
    held_back = born_ms <= left_after and position.revision < left_in
    expected = DRAINING if held_back else truth[name]["health"]
    assert (seen[name]["health"], seen[name]["born_ms"]) == (expected, born_ms)


def record_departure(
    name: str,
    position: Position,
    truth: dict[str, dict[str, Any]],
    before: dict[str, dict[str, Any]],
    left: dict[str, tuple[int, int]],
) -> None:
    left_in, left_after = left.get(name, (0, -1))
    now, born_ms = truth.get(name), before.get(name, {"born_ms": left_after})["born_ms"]
    if now is not None and now["health"] == DRAINING:
        left[name] = max(left_in, position.revision), max(left_after, now["born_ms"])
    elif now is None and name in before:
        left[name] = max(left_in, position.revision), max(left_after, born_ms)
    elif now is not None and (now["born_ms"] > left_after or position.revision >= left_in):
        left.pop(name, None)
