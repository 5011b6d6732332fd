"""Drawn clients: their number follows the load at all times, and other parameters don't change them."""

import msgspec
import numpy as np
import pytest

from glenfold_lab import spec
from glenfold_lab.model.fleet import HistoryParameters
from glenfold_lab.model.population import Population
from glenfold_lab.streams import Streams

PARAMETERS = HistoryParameters(
    life_us=20e6,
    mean_load=1000.0,
    class_load=(1400.0, 400.0, 400.0),
    capacity=2e7,
    group_cost=0.0,
    group_size=20.0,
    new_per_us=4e-4,
    full_per_us=1e-3,
    quotas=(5000.0, 1000.0),
)
CLIENTS = spec.Clients(load=0.4, life_sigma=1.2, swing=0.0, group_size=20, zone_skew=0.4)
SCENARIO = spec.Scenario(
    format=1,
    name="many",
    guards_against="nothing",
    length_s=60,
    clients=CLIENTS,
    classes=(spec.RequestClass(name="a", share=3, load_sigma=1.0), spec.RequestClass(name="b")),
    schemes=(spec.Scheme(name="x", share=0.8, usage=0.5), spec.Scheme(name="y", share=0.2, usage=2.0)),
)


def drawn(scenario: spec.Scenario = SCENARIO, seed: int = 1) -> dict[str, np.ndarray]:
    population = Population(scenario, PARAMETERS, Streams(seed), 0)
    blocks = [population.standing(), *population.arrivals(250_000)]
    return {
        name: np.concatenate([getattr(block, name) for block in blocks])
        for name in blocks[0].__dataclass_fields__
    }


def count_wanting(clients: dict[str, np.ndarray], second: float) -> int:
    at = second * 1e6
    return int(((clients["at"] <= at) & (clients["until"] > at)).sum())


def test_the_number_of_wanted_connections_follows_the_load_at_all_times() -> None:
    """Connections at the start are longer than average and partly over."""
    clients = drawn()
    assert [count_wanting(clients, second) for second in (0.001, 5, 20, 40, 59)] == [
        pytest.approx(8000, rel=0.04)
    ] * 5
    usual = clients["load"][clients["at"] > 0]
    assert usual.mean() == pytest.approx(1400 * 0.75 + 400 * 0.25, rel=0.05)


def test_an_additional_class_changes_no_arrivals_lifetimes_or_keys() -> None:
    more = (*SCENARIO.classes, spec.RequestClass(name="c"))
    one = drawn()
    other = drawn(msgspec.structs.replace(SCENARIO, classes=more, schemes=SCENARIO.schemes[:1]))
    for name in ("at", "until", "key", "zone", "pace", "honours"):
        assert (one[name] == other[name]).all(), name
    assert (one["request_class"] != other["request_class"]).any()
