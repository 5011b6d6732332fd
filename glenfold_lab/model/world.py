"""One history of a scenario: everything is built, played in virtual time, and judged from outside."""

import gc
import resource
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from glenfold_lab.checker import Checker
from glenfold_lab.measures import Measures
from glenfold_lab.model.actor_faults import ActorFaults
from glenfold_lab.model.anchors import shared_anchors
from glenfold_lab.model.clients import Clients
from glenfold_lab.model.front import Front
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.machinery import Machinery
from glenfold_lab.model.population import Population
from glenfold_lab.model.posts import Posts
from glenfold_lab.model.relay_settings import Costs, settings_of
from glenfold_lab.model.relays import Relay, Surroundings
from glenfold_lab.observe import Final, Watcher, Watchers
from glenfold_lab.results import RunResult
from glenfold_lab.spec import Scenario
from glenfold_lab.streams import Streams

SLICE_US = SECOND_US // 2   # of virtual time, between two words on the progress
LAST_ANSWERS_US = 1_500_000  # beyond the longest deadline: until then the last requests are judged

Progress = Callable[[float], None]


class Tally(Watcher):
    """Counts over the whole history. `zones`: of each relay, by its number; `zone_of`: of a push server."""

    def __init__(self, zones: Sequence[int], zone_of: Callable[[int], int]) -> None:
        self._zones, self._zone_of = zones, zone_of
        self.taken = self.attempts = self.crossings = self.refused = 0

    def taken_one(self) -> None:
        self.taken += 1
"""
