"""Restarts all push servers in the lab's model and compares what they are sent with their budget.

Guards against a fleet that serves only a fifth of its clients after such a restart: 3,700 of 4,350 requests
were refused, and on sockets most cold servers were sent nothing at all. There were three causes, each with a
test of its own in tests/test_cold_servers.py:

- A relay assumed that a server without traffic was as full as the servers that it had used. Each connection
  that broke when a server ended counted as overload of that server (logged as "server N jams: it keeps a
  smaller slice of its keys" for each of the eight). This reduced the assumed slice so far that no client's
  home server admitted it any more.
- Where the settings don't give the life of connections, a life of 300 s was assumed, and hardly any key had
  its turn before its server was warm. Assuming 20 s for all sites broke the rule (four starts over).
- Returning clients that are not marked as such were admitted as the usual flow of new clients. When all came
  at once, each of the eight servers was sent 8 attempts with a budget of 1.6 (seed 1).
"""

from itertools import chain

import numpy as np
import pytest

from benchmarks import cold_fleet
from glenfold_lab import scenario as scenarios
from glenfold_lab.stand_ins.run import scaled

SEEDS = (41, 42, 43)
MIN_USED_SHARE = 0.3  # Share of the budget, in the fullest span of the median start.


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
def test_servers_that_all_start_again_are_used_and_none_is_pushed_over(case, relays):
    day = scaled(scenarios.load(str(cold_fleet.FILES / f"{case}.toml")), 1, relays, None)
    plays = [cold_fleet.measure("model", day, seed) for seed in SEEDS]
    spans = [life.worst for life in chain.from_iterable(lives for _, lives in plays)]
    assert len(spans) == 8 * len(SEEDS)
    assert not any(span.over for span in spans)
    assert all(result.figures["rules_broken"] == 0 for result, _ in plays)
    assert np.median([span.used for span in spans]) >= MIN_USED_SHARE
