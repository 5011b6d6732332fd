"""The work that the lab's model sends to push servers that have all restarted, compared with their budget.

Guards against a fleet that serves only a fifth of its clients for the rest of the day after such a restart:
3,700 of 4,350 requests were refused, and on sockets most cold servers were sent nothing at all. There were
three causes, each with a test of its own in tests/test_cold_servers.py:

- A relay took a server that it had not seen at work to be as full as the servers that it had seen. The
  connections that broke at the end of the servers counted as overload, one after the other, for each of the
  eight servers ("server N jams: it keeps a smaller slice of its keys"). The estimate fell so far that no
  client's own home was open any more.
- Where no shares tell how long connections last, they were assumed to last 300 s, and hardly any key had its
  turn before its server was warm. With 20 s for all sites the rule broke (four starts over the budget).
- Clients that don't say that they return were admitted as the usual flow of new clients. All at once, they
  caused 8 attempts at each of the eight servers, where the budget is 1.6 (seed 1).
"""

from itertools import chain

import numpy as np
import pytest

from benchmarks import cold_fleet
from glenfold_lab import scenario as scenarios
from glenfold_lab.stand_ins.run import scaled

SEEDS = (41, 42, 43)
MIN_MEDIAN_USED = 0.3  # part of the budget used in the fullest span, as the median of all starts


@pytest.mark.parametrize("relays", [2, 20])
@pytest.mark.parametrize(
    "case",
    [
        "all-restart-marked",
        "all-restart-unmarked",
        "all-restart-marked-shares",
        "all-restart-unmarked-shares",
    ],
)
def test_servers_that_all_restart_are_used_and_none_is_overloaded(case, relays):
    scenario = scaled(scenarios.load(str(cold_fleet.SCENARIO_FOLDER / f"{case}.toml")), 1, relays, None)
    plays = [cold_fleet.measure("model", scenario, seed) for seed in SEEDS]
    spans = [life.worst for life in chain.from_iterable(lives for _, lives in plays)]
    assert len(spans) == 8 * len(SEEDS)
    assert not any(span.over for span in spans)
    assert all(result.figures["rules_broken"] == 0 for result, _ in plays)
    assert np.median([span.used for span in spans]) >= MIN_MEDIAN_USED
