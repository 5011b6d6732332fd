"""Plans drawn ahead: the same seed gives the same one, and each term of it has its effect and no other."""

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenfold.located import BadFile, parse
from glenfold_lab.load.offer import planned, wish
from glenfold_lab.load.plan import CLIENT, Clients, draw, length_us
from glenfold_lab.load.terms import Arrivals, Groups, LoadClass, LoadPlan, Reconnect, SchemeShare, checked

WATCH = LoadClass(name="watch", life_sigma=1.0)


def plan(*arrivals: Arrivals, **more: object) -> LoadPlan:
    return LoadPlan(**{"format": 1, "arrivals": arrivals, "classes": (WATCH,), **more})  # type: ignore[arg-type]


def starts(clients: Clients, begin_s: float, end_s: float) -> int:
    at = clients["start_us"]
    return int(((at >= begin_s * 1e6) & (at < end_s * 1e6)).sum())


def test_the_same_seed_draws_the_same_bytes_and_another_seed_others() -> None:
    terms = plan(Arrivals(rate=(5, 50), for_s=10, process="poisson"), groups=Groups(count=7),
                 reconnects=(Reconnect(at_s=5, clients=60, within_s=1),))
    assert draw(terms, 3, 4).tobytes() == draw(terms, 3, 4).tobytes()
    assert draw(terms, 3, 4).tobytes() != draw(terms, 4, 4).tobytes()


def test_another_part_shifts_none_of_the_clients_that_were_there() -> None:
    first, second = Arrivals(rate=40, for_s=5, process="poisson"), Arrivals(rate=10, for_s=5)
    alone, both = draw(plan(first), 1, 3), draw(plan(first, second), 1, 3)
    assert len(both) == len(alone) + 50
    assert np.isin(alone, both).all()


def test_a_constant_rate_is_even_and_a_ramp_rises_evenly_to_its_end() -> None:
    even = draw(plan(Arrivals(rate=500, for_s=4, at_s=1)), 1, 1)
    assert list(np.unique(np.diff(even["start_us"]))) == [2000]
    rising = draw(plan(Arrivals(rate=(0, 400), for_s=4)), 1, 1)
    assert [starts(rising, n, n + 1) for n in range(4)] == [50, 150, 250, 350]
    falling = draw(plan(Arrivals(rate=(400, 0), for_s=4)), 1, 1)
    assert [starts(falling, n, n + 1) for n in range(4)] == [350, 250, 150, 50]


@given(st.floats(0, 200), st.floats(0, 200), st.floats(0.1, 20), st.sampled_from(["constant", "poisson"]),
       st.integers(0, 99))
def test_all_starts_are_in_order_within_their_time(first: float, last: float, for_s: float, process: str,
                                                   seed: int) -> None:
    terms = plan(Arrivals(rate=(first, last), for_s=for_s, at_s=2, process=process))  # type: ignore[arg-type]
    at = draw(terms, seed, 1)["start_us"]
    assert (np.diff(at) >= 0).all()
    assert not len(at) or (at[0] >= 2e6 and at[-1] <= length_us(terms) + 1)
    mean = (first + last) / 2 * for_s
    assert abs(len(at) - mean) <= (1 if process == "constant" else 6 * mean**0.5 + 6)


def test_a_mass_reconnect_ends_standing_connections_and_their_clients_return() -> None:
    arrivals, reconnect = Arrivals(rate=100, for_s=20), Reconnect(at_s=10, clients=300, within_s=2)
    before, after = draw(plan(arrivals), 1, 5), draw(plan(arrivals, reconnects=(reconnect,)), 1, 5)
    back = after[after["again"]]
    assert len(after) == len(before) + 300 and len(back) == 300
    assert (back["start_us"] >= 10e6).all() and (back["start_us"] <= 12e6).all()
    was = {row["key"]: row for row in before}  # they are the same clients, with new connections,
    assert not np.isin(before["ident"], back["ident"]).any()
    assert all(row["end_us"] - row["start_us"] == was[row["key"]]["end_us"] - 10e6 for row in back)
    # Nobody comes back before its old one has ended, nor did any last longer than it would have.
    ends = {row["key"]: min(row["start_us"], was[row["key"]]["end_us"]) for row in back}
    dropped = after[np.isin(after["key"], back["key"]) & ~after["again"]]
    assert len(dropped) == 300
    assert all(10e6 <= row["end_us"] <= ends[row["key"]] for row in dropped)


def test_a_reconnect_of_more_than_stand_brings_clients_from_elsewhere() -> None:
    clients = draw(plan(Arrivals(rate=10, for_s=2), reconnects=(Reconnect(at_s=1, clients=500),)), 1, 1)
    assert starts(clients, 1, 1.000001) == 500 + 1
    assert len(np.unique(clients["ident"])) == len(clients)


def test_mixes_keep_their_shares_and_groups_are_unequal() -> None:
    terms = plan(Arrivals(rate=1000, for_s=10), groups=Groups(count=50, share=0.5, zipf=1.0),
                 classes=(LoadClass(name="watch", share=3, wait_ms=3000, life_s=20, life_sigma=1),
                          LoadClass(name="feed", share=1, line_gap_ms=0)),
                 schemes=(SchemeShare(name="valleys", share=9), SchemeShare(name="campus")))
    clients = draw(terms, 1, 4)
    watch = clients[clients["class"] == 0]
    assert 0.73 < len(watch) / len(clients) < 0.77
    assert 0.08 < (clients["scheme"] == 1).mean() < 0.12
    assert 18 < (watch["end_us"] - watch["start_us"]).mean() / 1e6 < 22
    assert set(clients["line_gap_us"][clients["class"] == 1]) == {0}
    assert np.bincount(clients["target"]).min() > 2300
    _, sizes = np.unique(clients["group"], return_counts=True)
    assert 4800 < (sizes == 1).sum() < 5200 and sizes.max() > 10 * sizes[sizes > 1].min()


def test_a_client_asks_what_its_row_says() -> None:
    terms = plan(Arrivals(rate=1, for_s=1), schemes=(SchemeShare(name="valleys"),))
    row = np.array([(0, 9, 2_000_000, 5, 1, 2, 3, 0, 0, 0, True)], CLIENT)
    asked = wish(terms, next(planned(row)), begin_us=70)
    assert asked.line == (b"OPEN 0000000000000001 0000000000000002 "
                          b"c=watch,t=valleys,d=2000,g=0000000000000003,again=1\r\n")
    assert (asked.wait_us, asked.until_us, asked.line_gap_us) == (2_000_000, 79, 5)


GOOD = """format = 1
[[arrivals]]
rate = 5
for_s = 2
[[classes]]
name = "watch"
[[schemes]]
name = "valleys"
"""


@pytest.mark.parametrize(("was", "now", "line", "key"), [
    ("rate = 5", "rate = -5", 3, "arrivals[0].rate"),
    ("for_s", "fors", 4, "arrivals[0].fors"),
    ("rate = 5", "rate = 1e6\nat_s = 1", 2, "arrivals"),
    ("for_s = 2", "for_s = 0.1", 2, "arrivals"),
    ('"watch"', '"wa,tch"', 6, "classes[0].name"),
    ('"watch"', '"watch"\nline_gap_ms = 1', 7, "classes[0].line_gap_ms"),
    ('[[schemes]]', '[[classes]]\nname = "watch"\n[[schemes]]', 8, "classes[1].name"),
])
def test_a_bad_plan_is_refused_with_line_and_key(was: str, now: str, line: int, key: str) -> None:
    assert was in GOOD and checked(parse(GOOD, "plan.toml"))
    text = GOOD.replace(was, now).replace("rate = 1e6\nat_s = 1\nfor_s = 2", "rate = 1e6\nfor_s = 20")
    with pytest.raises(BadFile) as caught:
        checked(parse(text, "plan.toml"))
    assert str(caught.value).startswith(f"plan.toml:{line}: {key}: ")
