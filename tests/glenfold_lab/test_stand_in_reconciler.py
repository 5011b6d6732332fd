"""How connections ended of which no stand-in saw both ends, and what relays count as told."""

from typing import Any

import pytest

from glenfold_lab.observe import End, ListedState, Record
from glenfold_lab.stand_ins.reconciler import Reconciler

S = 1_000_000
STOOD: list[Record] = [("relay_up", (0, 0)), ("taken", (1, 7, 0, 2 * S, 0))]


def reconciled(*records: Record, pass_through: bool = True, end: int = 60 * S) -> list[Record]:
    return Reconciler(1, [3], pass_through).reconcile([*STOOD, *records], end)


def of(kind: str, records: list[Record]) -> list[tuple[Any, ...]]:
    return [values for name, values in records if name == kind]


@pytest.mark.parametrize(
    ("records", "pass_through", "how"),
    [
        ([], True, End.CUT),
        ([("broke", (9 * S, 7, 3, False))], True, End.BROKEN),
        ([("broke", (5 * S, 7, 3, True))], True, End.BROKEN),
        ([("relay_down", (10 * S - 10, 0))], False, End.RELAY_DIED),
        ([("relay_down", (10 * S + 20_000, 0))], True, End.RELAY_DIED),  # seen late to have exited
        ([("relay_down", (10 * S + 20_000, 0)), ("stopping", (7 * S, 0))], False, End.CUT),
        ([("relay_down", (8 * S, 0))], True, End.CUT),
    ],
)
def test_an_end_without_a_word_is_named(records: list[Record], pass_through: bool, how: End) -> None:
    out = reconciled(*records, ("unsaid", (10 * S, 7)), pass_through=pass_through)
    assert of("ended", out) == [(10 * S, 7, how)]


def test_a_process_that_was_stopped_holds_nothing_back() -> None:
    stalled: Record = ("stalled", (10 * S, 0, 15 * S))
    assert not of("held_back", reconciled(stalled, ("held_back", (15 * S + 9, 7, 4 * S))))
    assert of("held_back", reconciled(stalled, ("held_back", (18 * S, 7, 2 * S))))


def test_a_relay_that_starts_again_counts_as_told_what_its_agent_holds() -> None:
    out = reconciled(
        ("told", (2 * S, 0, 3, ListedState.DRAINING, 0)),
        ("due", (3 * S, 0, 3, ListedState.DRAINING, 0)),
        ("relay_down", (4 * S, 0)),
        ("told", (5 * S, 0, 3, ListedState.GONE, 0)),
        ("told", (5 * S, 0, 4, ListedState.READY, 9)),
        ("relay_up", (6 * S, 0)),
        ("told", (99 * S, 0, 4, ListedState.GONE, 9)),
    )
    assert of("told", out) == [
        (0, 0, 3, ListedState.READY, 0),
        (2 * S, 0, 3, ListedState.DRAINING, 0),
        (6 * S, 0, 4, ListedState.READY, 9),
    ]
