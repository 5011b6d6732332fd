"""Load plans: the same seed gives the same plan, and each option has its own effect and no other."""

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from glenfold_lab.load.plan import Clients, draw, length_us
from glenfold_lab.load.plan_options import Arrivals, Groups, LoadClass, LoadPlan, Reconnect

WATCH = LoadClass(name="watch", life_sigma=1.0)


def plan(*arrivals: Arrivals, **more: object) -> LoadPlan:
    return LoadPlan(**{"format": 1, "arrivals": arrivals, "classes": (WATCH,), **more})  # type: ignore[arg-type]


def count_starts(clients: Clients, begin_s: float, end_s: float) -> int:
    start_us = clients["start_us"]
    return int(((start_us >= begin_s * 1e6) & (start_us < end_s * 1e6)).sum())


def test_the_same_seed_draws_the_same_plan_and_another_seed_a_different_one() -> None:
    options = plan(
        Arrivals(rate=(5, 50), for_s=10, process="poisson"),
        groups=Groups(count=7),
        reconnects=(Reconnect(at_s=5, clients=60, within_s=1),),
    )
    assert draw(options, 3, 4).tobytes() == draw(options, 3, 4).tobytes()
    assert draw(options, 3, 4).tobytes() != draw(options, 4, 4).tobytes()


def test_adding_arrivals_does_not_change_existing_clients() -> None:
    first, second = Arrivals(rate=40, for_s=5, process="poisson"), Arrivals(rate=10, for_s=5)
    alone, both = draw(plan(first), 1, 3), draw(plan(first, second), 1, 3)
    assert len(both) == len(alone) + 50
    assert np.isin(alone, both).all()


def test_a_constant_rate_is_evenly_spaced_and_a_ramp_is_linear() -> None:
    even = draw(plan(Arrivals(rate=500, for_s=4, at_s=1)), 1, 1)
    assert list(np.unique(np.diff(even["start_us"]))) == [2000]
    rising = draw(plan(Arrivals(rate=(0, 400), for_s=4)), 1, 1)
    assert [count_starts(rising, n, n + 1) for n in range(4)] == [50, 150, 250, 350]
    falling = draw(plan(Arrivals(rate=(400, 0), for_s=4)), 1, 1)
    assert [count_starts(falling, n, n + 1) for n in range(4)] == [350, 250, 150, 50]


@given(
    st.floats(0, 200),
    st.floats(0, 200),
    st.floats(0.1, 20),
    st.sampled_from(["constant", "poisson"]),
    st.integers(0, 99),
)
def test_starts_are_sorted_and_within_their_period(
    first: float, last: float, for_s: float, process: str, seed: int
) -> None:
    options = plan(Arrivals(rate=(first, last), for_s=for_s, at_s=2, process=process))  # type: ignore[arg-type]
    start_us = draw(options, seed, 1)["start_us"]
    assert (np.diff(start_us) >= 0).all()
    assert not len(start_us) or (start_us[0] >= 2e6 and start_us[-1] <= length_us(options) + 1)
    mean = (first + last) / 2 * for_s
    assert abs(len(start_us) - mean) <= (1 if process == "constant" else 6 * mean**0.5 + 6)


def test_a_mass_reconnect_ends_connections_and_their_clients_return() -> None:
    arrivals, reconnect = Arrivals(rate=100, for_s=20), Reconnect(at_s=10, clients=300, within_s=2)
    before, after = draw(plan(arrivals), 1, 5), draw(plan(arrivals, reconnects=(reconnect,)), 1, 5)
    returning = after[after["again"]]
    assert len(after) == len(before) + 300 and len(returning) == 300
    assert (returning["start_us"] >= 10e6).all() and (returning["start_us"] <= 12e6).all()
    before_by_key = {row["key"]: row for row in before}  # The clients are the same, their connections new.
    assert not np.isin(before["ident"], returning["ident"]).any()
    assert all(
        row["end_us"] - row["start_us"] == before_by_key[row["key"]]["end_us"] - 10e6 for row in returning
    )
    # No client returns before its old connection has ended, and no connection outlasts its planned lifetime.
    ends = {row["key"]: min(row["start_us"], before_by_key[row["key"]]["end_us"]) for row in returning}
    dropped = after[np.isin(after["key"], returning["key"]) & ~after["again"]]
    assert len(dropped) == 300
    assert all(10e6 <= row["end_us"] <= ends[row["key"]] for row in dropped)
