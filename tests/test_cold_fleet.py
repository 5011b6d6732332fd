"""All push servers end and start again: what the lab's model sends them, against their budget.

A fleet that came back served a fifth of its clients for the rest of the day: 3,700 of 4,350 requests were
refused, and on sockets most cold servers were sent nothing at all. Three causes, each told by a test of its
own in tests/test_cold_servers.py:

- a relay took a server that it had not seen at work to be as full as those that it had. The connections
  that broke at the end of the servers counted as jams, one after the other ("server N jams: it keeps a
  smaller slice of its keys" for each of the eight), and the guess fell so far that no client's own home was
  open any more;
- where no shares tell how long connections last, they were taken to last 300 s, and hardly any key had its
  turn before its server was warm; with 20 s for all sites the rule broke (four starts over);
- clients that don't say that they come back were let in as the usual flow of new ones: all at once that
  sent 8 attempts where 1.6 are the budget, at each of the eight servers (seed 1).
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
