"""A client that comes again after a break has waited since it came again, not since it first came."""

from glenfold_lab import scenario
from glenfold_lab.model.world import play


def test_a_set_up_counts_from_the_moment_at_which_a_client_wanted_that_connection():
    day = play(scenario.load("mass-reconnect"), seed=1)
    assert day.length_us > 40_000_000 and len(day.set_up) == 2
    assert all(one.quantiles["90"] < 5_000_000 for one in day.set_up.values())
