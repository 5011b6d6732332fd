"""Which lists and changes are taken, whoever passes them on, in whatever order."""

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


def known(*received: Received) -> Succession:
    made = Succession()
    for one in received:
        assert isinstance(made.judge(one), ListDocument)
    return made


def test_a_change_needs_a_list_first() -> None:
    assert Succession().judge(change(0, 1)) is Verdict.INCOMPLETE


def test_changes_that_follow_are_taken_and_those_before_are_repeated() -> None:
    made = known(whole(41), change(41, 42), change(42, 47))  # revisions may skip
    assert made.judge(change(42, 47)) is Verdict.REPEATED
    assert made.judge(change(41, 44)) is Verdict.REPEATED
    assert made.judge(whole(47)) is Verdict.REPEATED
    assert made.position == Position(0, 47)


def test_a_change_from_before_to_after_what_is_known_is_taken() -> None:
    assert isinstance(known(whole(41), change(41, 42)).judge(change(41, 44)), ListDocument)


def test_a_change_whose_predecessor_was_missed_asks_for_the_whole_list() -> None:
    made = known(whole(41))
    assert made.judge(change(43, 44)) is Verdict.INCOMPLETE
    assert made.needs_whole_list(Origin(A, 0), gone=False) and not made.needs_whole_list(
        Origin(B, 0), gone=False
    )
    assert made.judge(whole(44)) and not made.needs_whole_list(Origin(A, 0), gone=False)


def test_an_older_list_is_behind() -> None:
    made = known(whole(41, incarnation=2))
    assert made.judge(whole(40, incarnation=2, at=B)) is Verdict.BEHIND
    assert made.judge(whole(99, incarnation=1, at=B)) is Verdict.BEHIND
    assert made.judge(change(41, 99, incarnation=1, at=B)) is Verdict.BEHIND
    assert made.position == Position(2, 41)


def test_of_two_parents_that_differ_the_later_of_the_source_wins() -> None:
    made = known(whole(900, host("s-1"), incarnation=1))
    taken = made.judge(whole(3, host("s-2"), incarnation=2, at=B))
    assert taken == ListDocument(Position(2, 3), True, (host("s-2"),))
    assert made.judge(change(900, 901, incarnation=1)) is Verdict.BEHIND
    assert made.is_behind(Origin(A, 1), gone=False) and not made.is_behind(Origin(A, 2), gone=False)
    assert made.is_behind(Origin(A, 2), gone=True) and not made.is_behind(Origin(A, 3), gone=True)


def test_a_change_of_a_later_incarnation_needs_its_list() -> None:
    made = known(whole(41, incarnation=1))
    assert made.needs_whole_list(Origin(B, 2), gone=True)
    assert not made.needs_whole_list(
        Origin(B, 2), gone=False
    )  # the watch itself begins with it, if it is sound
    assert made.judge(change(41, 42, incarnation=2, at=B)) is Verdict.INCOMPLETE
    assert made.needs_whole_list(Origin(B, 2), gone=False)


def test_a_source_that_counts_anew_begins_the_next_incarnation() -> None:
    made = known(whole(41, incarnation=None), change(41, 42, incarnation=None))
    assert made.needs_whole_list(Origin(A, None), gone=True) and not made.needs_whole_list(
        Origin(A, None), gone=False
    )
    assert made.judge(change(42, 3, incarnation=None)) is Verdict.INCOMPLETE
    assert made.needs_whole_list(Origin(A, None), gone=False)
    assert isinstance(made.judge(whole(3, incarnation=None)), ListDocument)
    assert made.position == Position(1, 3)
    assert isinstance(made.judge(change(3, 4, incarnation=None)), ListDocument)
    assert made.position == Position(1, 4)


def test_a_lower_number_of_another_source_is_one_that_lags_until_the_first_is_no_longer_followed() -> None:
    made = known(whole(41, incarnation=None))
    assert made.needs_whole_list(Origin(B, None), gone=False)
    assert made.judge(whole(40, incarnation=None, at=B)) is Verdict.BEHIND
    made.release({A, B})
    assert made.judge(whole(40, incarnation=None, at=B)) is Verdict.BEHIND
    made.release({B})
    assert isinstance(made.judge(whole(40, incarnation=None, at=B)), ListDocument)
    assert made.position == Position(1, 40)


def test_what_an_earlier_process_knew_is_gone_on_from_in_the_parents_incarnation() -> None:
    made = Succession()
    made.resume(41)
    assert made.incarnation is None and not made.needs_whole_list(Origin(A, 7), gone=False)
    made.resumed(Origin(A, 7))
    assert made.position == Position(7, 41) and made.incarnation == 7
    assert isinstance(made.judge(change(41, 42, incarnation=7)), ListDocument)


def test_what_an_earlier_process_knew_is_given_up_where_no_parent_knows_it() -> None:
    made = Succession()
    made.resume(41)
    assert made.needs_whole_list(Origin(A, 7), gone=True) and not made.is_behind(Origin(A, 7), gone=True)
    assert isinstance(made.judge(whole(3, incarnation=7)), ListDocument)


def test_the_whole_list_of_a_parent_that_is_believed_is_taken_whatever_its_numbers() -> None:
    made = known(
        whole(900, host("s-1"), incarnation=1), change(900, 901, host("s-1", DRAINING), incarnation=1)
    )
    made.trust(B)
    assert not made.is_behind(Origin(B, 0), gone=True) and made.is_behind(Origin(A, 0), gone=True)
    assert made.needs_whole_list(Origin(B, 0), gone=False)
    assert made.judge(whole(7, host("s-1"), incarnation=0)) is Verdict.BEHIND  # it is another's
    assert made.judge(change(7, 8, incarnation=0, at=B)) is Verdict.BEHIND
    taken = made.judge(whole(7, host("s-1"), incarnation=0, at=B))
    assert taken == ListDocument(Position(0, 7), True, (host("s-1", DRAINING),), restarts_history=True)
    assert made.judge(whole(6, incarnation=0, at=B)) is Verdict.BEHIND  # once only
    assert isinstance(made.judge(change(7, 8, incarnation=0, at=B)), ListDocument)


@pytest.mark.parametrize("leaves", [host("s-1", DRAINING, 5), host("s-1", GONE, 5), None])
def test_who_left_comes_back_by_a_new_history_only_once_started_again_or_past_that_revision(
    leaves: dict[str, Any] | None,
) -> None:
    made = known(whole(900, host("s-1", born_ms=5), host("s-2"), incarnation=1))
    if leaves is None:
        assert made.judge(whole(901, host("s-2"), incarnation=1))
    else:
        assert made.judge(change(900, 901, leaves, incarnation=1))
    back = made.judge(whole(3, host("s-1", born_ms=5), host("s-2"), incarnation=2))
    assert isinstance(back, ListDocument)
    assert [entry["health"] for entry in back.entries] == [DRAINING, READY]
    again = made.judge(change(3, 4, host("s-1", born_ms=6), incarnation=2))
    assert isinstance(again, ListDocument) and again.entries[0]["health"] == READY
    later = made.judge(whole(5, host("s-1", born_ms=5), incarnation=3))
    assert isinstance(later, ListDocument) and later.entries[0]["health"] == READY  # it had come back


def test_within_a_history_the_source_may_take_a_drain_back() -> None:
    made = known(whole(1, host("s-1")), change(1, 2, host("s-1", DRAINING)))
    taken = made.judge(change(2, 3, host("s-1")))
    assert isinstance(taken, ListDocument) and taken.entries[0]["health"] == READY


def test_who_left_is_remembered_for_as_many_as_the_longest_list_had() -> None:
    for size in (10, 5000):
        made = known(whole(100, *(host(f"s-{n}") for n in range(size))), whole(101))
        assert len(made._departed) == size
        for n in range(size, 3 * size):
            made.judge(
                change(101 + n, 102 + n, host(f"s-{n}", GONE)) if False else whole(102 + n, host(f"s-{n}"))
            )
        assert len(made._departed) <= max(MIN_REMEMBERED_SERVERS, size + 1)


@pytest.mark.parametrize("entry", [{}, {"host": 3}, {"host": "s-1"}, {"host": "s-1", "born_ms": "soon"}])
def test_entries_that_cannot_be_read_go_on_as_they_came(entry: dict[str, Any]) -> None:
    taken = Succession().judge(whole(1, entry))
    assert isinstance(taken, ListDocument) and taken.entries == (entry,)


# ---- any order ----

HOSTS = ("s-1", "s-2", "s-3")


class World:
    """A source with its history, and who reads it at whatever revision: what any parent may send."""

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

    def begin_again(self, position: Position) -> None:
        """From what it knew there: it has lost what came after, and counts anew."""
        state = self.states[position]
        self.position = Position(self.position.incarnation + 1, 1)
        self.states[self.position] = state

    def list_at(self, position: Position, at: tuple[str, int]) -> Received:
        state = self.states[position]
        return whole(position.revision, *state.values(), incarnation=position.incarnation, at=at)

    def change_to(self, before: Position, position: Position, at: tuple[str, int]) -> Received:
        was, now = self.states[before], self.states[position]
        told = [one for name, one in now.items() if was.get(name) != one]
        told += [one | {"health": GONE} for name, one in was.items() if name not in now]
        return change(before.revision, position.revision, *told, incarnation=position.incarnation, at=at)


BACK = st.one_of(st.just(0), st.integers(0, 9))  # positions of the history, counted back from its end
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("move"), st.sampled_from(HOSTS), st.sampled_from([DRAINING, GONE, "restart"])),
        st.tuples(st.just("again"), BACK, st.just(0)),
        st.tuples(st.sampled_from(["list", "change"]), BACK, BACK),
    ),
    max_size=60,
)


@given(STEPS, st.sampled_from([A, B]))
@settings(max_examples=300)
def test_whatever_parents_send_in_whatever_order_the_later_wins_and_nobody_comes_back(
    steps: list[tuple[Any, Any, Any]], at: tuple[str, int]
) -> None:
    check_history(steps, at)


def check_history(steps: list[tuple[Any, Any, Any]], at: tuple[str, int]) -> None:
    world, made = World(), Succession()
    seen: dict[str, dict[str, Any]] = {}  # as a child that was told all that was taken
    left: dict[str, tuple[int, int]] = {}  # of each: the revision it left in, and the start it left after
    last = Position(-1, 0)
    for kind, first, second in steps:
        positions = list(reversed(world.states))  # the latest first
        if kind == "move":
            world.move(first, second)
            continue
        position = positions[first % len(positions)]
        if kind == "again":
            world.begin_again(position)
            continue
        received = world.list_at(position, at)
        if kind == "change":
            same = [one for one in positions if one.incarnation == position.incarnation and one <= position]
            received = world.change_to(same[second % len(same)], position, at)
        taken = made.judge(received)
        if not isinstance(taken, ListDocument):
            assert made.position == (last if last.incarnation >= 0 else None)
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
        truth = world.states[position]
        assert seen.keys() == truth.keys()
        for name in HOSTS:
            check_server(name, position, truth, seen, left)
            note_leaving(name, position, truth, before, left)


def check_server(
    name: str,
    position: Position,
    truth: dict[str, dict[str, Any]],
    seen: dict[str, dict[str, Any]],
    left: dict[str, tuple[int, int]],
) -> None:
    """What a child was told of it, against what the source says and whether it has left before."""
    if name not in seen:
        return
    born_ms = truth[name]["born_ms"]
    left_in, left_after = left.get(name, (0, -1))
    held_back = born_ms <= left_after and position.revision < left_in
    expected = DRAINING if held_back else truth[name]["health"]
    assert (seen[name]["health"], seen[name]["born_ms"]) == (expected, born_ms)


def note_leaving(
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
