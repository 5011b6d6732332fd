"""The reconciler classifies ends of connections and counts which list entries relays have received."""

from typing import Any

import pytest

from glenfold_lab.observe import End, ListedState, Record
from glenfold_lab.stand_ins.reconciler import Reconciler

S = 1_000_000
ACCEPTED_REQUEST: list[Record] = [("relay_up", (0, 0)), ("taken", (1, 7, 0, 2 * S, 0))]


def reconciled(*records: Record, pass_through: bool = True, end: int = 60 * S) -> list[Record]:
    return Reconciler(1, [3], pass_through).reconcile([*ACCEPTED_REQUEST, *records], end)


def values_of(kind: str, records: list[Record]) -> list[tuple[Any, ...]]:
    return [values for name, values in records if name == kind]


@pytest.mark.parametrize(
    ("records", "pass_through", "expected"),
    [
        ([], True, End.CUT),
        ([("broke", (9 * S, 7, 3, False))], True, End.BROKEN),
        ([("broke", (5 * S, 7, 3, True))], True, End.BROKEN),
        ([("relay_down", (10 * S - 10, 0))], False, End.RELAY_DIED),
        ([("relay_down", (10 * S + 20_000, 0))], True, End.RELAY_DIED),  # The exit was detected late.
        ([("relay_down", (10 * S + 20_000, 0)), ("stopping", (7 * S, 0))], False, End.CUT),
        ([("relay_down", (8 * S, 0))], True, End.CUT),
        # The process exited some time after it was killed.
        ([("relay_down", (8 * S, 0)), ("relay_exited", (9 * S, 0))], True, End.RELAY_DIED),
        ([("relay_down", (7 * S, 0)), ("relay_exited", (8 * S, 0))], True, End.CUT),
    ],
)
def test_an_end_without_a_final_line_is_classified(
    records: list[Record], pass_through: bool, expected: End
) -> None:
    observations = reconciled(*records, ("unsaid", (10 * S, 7)), pass_through=pass_through)
    assert values_of("ended", observations) == [(10 * S, 7, expected)]


def test_a_delay_while_the_relay_was_suspended_is_not_reported() -> None:
    stalled: Record = ("stalled", (10 * S, 0, 15 * S))
    assert not values_of("held_back", reconciled(stalled, ("held_back", (15 * S + 9, 7, 4 * S))))
    assert values_of("held_back", reconciled(stalled, ("held_back", (18 * S, 7, 2 * S))))


def test_a_restarted_relay_receives_the_list_that_its_agent_holds() -> None:
    observations = reconciled(
        ("told", (2 * S, 0, 3, ListedState.DRAINING, 0)),
        ("due", (3 * S, 0, 3, ListedState.DRAINING, 0)),
        ("relay_down", (4 * S, 0)),
        ("told", (5 * S, 0, 3, ListedState.GONE, 0)),
        ("told", (5 * S, 0, 4, ListedState.READY, 9)),
        ("relay_up", (6 * S, 0)),
        ("told", (99 * S, 0, 4, ListedState.GONE, 9)),
    )
    assert values_of("told", observations) == [
        (0, 0, 3, ListedState.READY, 0),
        (2 * S, 0, 3, ListedState.DRAINING, 0),
        (6 * S, 0, 4, ListedState.READY, 9),
    ]
