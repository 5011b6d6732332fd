"""What lists of push servers cost may not grow faster with their size than it does today.

CPU times are compared within one run, taken in turns and the least of many, so that a busy machine slows both
sides alike. Each bound lies between what is measured today, which its comment tells, and a mutant that a test
shows to exceed it.
"""

import json
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest
import trio

from glenfold_lab.observe import ListedState
from glenfold_lab.scale.list_costs import Effort, Follower, TakeIn, allocated_mb, measure
from glenfold_lab.scale.measurements import Results
from glenfold_lab.scale.relay_lists import Play, Terms
from glenfold_lab.scale.server_lists import ChangeScript, ServerFleet
from glenfold_lab.stand_ins.agent import ListState
from linnetspread import Balancer
from linnetspread import interface as i

TINY, SMALL, LARGE = 64, 256, 1024  # servers
ROUNDS = 8
LISTS = 3
SEED = 5
GROWTH_OF_A_CHANGE = 8.0  # from SMALL to LARGE: 3.4 to 4.7 today, 11 with the mutant
GROWTH_OF_A_LIST = 7.0  # from TINY to SMALL: 4.3 to 4.6 today, 10 with the mutant
CHANGE_OF_LIST = 0.12  # of a whole list taken in for the first time: 0.04 today, 0.23 to 0.29 with the mutant
KB_A_SERVER = 9.0  # 6.3 today, 12 with a second map
BYTES_A_CHANGE = 20.0  # kept of each: 0 today, 200 if all were kept
RESULTS = Path(__file__).parents[3] / "benchmarks" / "scale" / "lists.json"

NewFollower = Callable[[], Follower]


class ReadsTheWholeList(Follower):
    """Mutant: a change makes it take in all that it knows once more."""

    def take(self, text: bytes) -> TakeIn:
        cost = super().take(text)
        if not json.loads(text)["whole"]:
            entries = [known.entry() for known in self.destinations.state().destinations.values()]
            whole = {"seq": self.destinations.version, "whole": True, "hosts": entries}
            cost.add(super().take(json.dumps(whole).encode()))
        return cost


class TakesServersOneByOne(Follower):
    """Mutant: a whole list is so many changes, each of which goes through all that is known."""

    def take(self, text: bytes) -> TakeIn:
        document = json.loads(text)
        if not document["whole"]:
            return super().take(text)
        seq, cost = document["seq"], TakeIn()
        for entry in document["hosts"]:
            change = {"seq": seq, "whole": False, "hosts": [entry]}
            cost.add(super().take(json.dumps(change).encode()))
        return cost


class ComparesAllPairs(Follower):
    """Mutant: its work on a change grows with the square of the servers."""

    def take(self, text: bytes) -> TakeIn:
        cost = super().take(text)
        for _ in range(len(self.destinations.servers()) // SMALL * 2):
            cost.add(super().take(text))
        return cost


class KeepsEveryChange(Follower):
    """Mutant: its history is not bounded."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[bytes] = []

    def take(self, text: bytes) -> TakeIn:
        self.history.append(text)
        return super().take(text)


class HoldsTwoMaps(Follower):
    """Mutant: decisions that nobody asks any more are not given back."""

    def __init__(self) -> None:
        super().__init__()
        self.forgotten = Balancer(self.balancer.settings, seed=1)

    def take(self, text: bytes) -> TakeIn:
        cost = super().take(text)
        self.forgotten.handle(self.now_us, i.ServerList(i.ListKind.FULL, 1, self.destinations.servers()))
        return cost


class Fleet:
    """A follower that knows `servers` servers, and one of these, which is replaced again and again."""

    def __init__(self, servers: int, new_follower: NewFollower) -> None:
        self._new_follower = new_follower
        self._entries = ServerFleet.drawn(servers, SEED).entries
        self.whole = ListState(1, self._entries).whole()
        self.follower = new_follower()
        self.follower.take(self.whole)
        self._script = ChangeScript()

    def list_s(self) -> float:
        return self._new_follower().take(self.whole).total_s

    def change_s(self) -> float:
        change = self._script.change([self._entries[0]], ListedState.DRAINING)
        back = self._script.change([self._entries[0]], ListedState.READY)
        return self.follower.take(change.line()).total_s + self.follower.take(back.line()).total_s

    def replace(self, times: int) -> None:
        for _ in range(times):
            self.change_s()


def least(rounds: int, *actions: Callable[[], float]) -> list[float]:
    """Of each, taken in turns."""
    plays = [[action() for action in actions] for _ in range(rounds)]
    return [min(values) for values in zip(*plays, strict=True)]


def growth_of_a_change(new_follower: NewFollower) -> float:
    small, large = Fleet(SMALL, new_follower), Fleet(LARGE, new_follower)
    at_small, at_large = least(ROUNDS, small.change_s, large.change_s)
    return at_large / at_small


def growth_of_a_list(new_follower: NewFollower) -> float:
    tiny, small = Fleet(TINY, new_follower), Fleet(SMALL, new_follower)
    at_tiny, at_small = least(LISTS, tiny.list_s, small.list_s)
    return at_small / at_tiny


def change_of_list(new_follower: NewFollower) -> float:
    fleet = Fleet(LARGE, new_follower)
    change_s = least(ROUNDS, fleet.change_s)[0] / 2  # two changes
    return change_s / least(LISTS, fleet.list_s)[0]


def kb_a_server(servers: int, new_follower: NewFollower) -> float:
    whole, follower = ListState(1, ServerFleet.drawn(servers, SEED).entries).whole(), new_follower()
    return allocated_mb(lambda: follower.take(whole)) * 1e3 / servers


def kept_bytes_a_change(new_follower: NewFollower) -> float:
    """Of each of many changes, beyond what the first ones bring: tables that grow, which they do but once."""

    def built(times: int) -> Fleet:
        fleet = Fleet(TINY, new_follower)
        fleet.replace(times)
        return fleet

    few, many = 40, 120
    kept = [allocated_mb(partial(built, times)) for times in (few, many)]
    return (kept[1] - kept[0]) * 1e6 / (2 * (many - few))


def test_a_change_costs_in_proportion_to_the_list_at_most() -> None:
    assert growth_of_a_change(Follower) < GROWTH_OF_A_CHANGE


def test_work_on_all_pairs_of_servers_would_be_noticed() -> None:
    assert growth_of_a_change(ComparesAllPairs) > GROWTH_OF_A_CHANGE


def test_a_change_costs_a_small_part_of_a_whole_list() -> None:
    assert change_of_list(Follower) < CHANGE_OF_LIST


def test_a_change_that_reads_the_whole_list_would_be_noticed() -> None:
    assert change_of_list(ReadsTheWholeList) > CHANGE_OF_LIST


def test_a_whole_list_costs_little_more_than_in_proportion_to_its_servers() -> None:
    assert growth_of_a_list(Follower) < GROWTH_OF_A_LIST


def test_a_list_that_is_taken_in_server_by_server_would_be_noticed() -> None:
    assert growth_of_a_list(TakesServersOneByOne) > GROWTH_OF_A_LIST


@pytest.mark.parametrize("servers", [SMALL, LARGE])
def test_a_server_takes_a_bounded_part_of_the_memory(servers: int) -> None:
    assert kb_a_server(servers, Follower) < KB_A_SERVER


def test_a_second_map_would_be_noticed() -> None:
    assert kb_a_server(SMALL, HoldsTwoMaps) > KB_A_SERVER


def test_changes_leave_nothing_behind() -> None:
    assert kept_bytes_a_change(Follower) < BYTES_A_CHANGE


def test_a_history_without_bound_would_be_noticed() -> None:
    assert kept_bytes_a_change(KeepsEveryChange) > BYTES_A_CHANGE


def test_a_real_relay_follows_a_hollow_list(tmp_path: Path) -> None:
    """Smaller than the run in time and size; what it counts does not depend on the machine's speed."""
    terms = Terms(relays=1, idle_s=0.1, settle_s=0.1, paced=1, seconds=0.5)
    play = Play(200, SEED, 1, terms, tmp_path)
    trio.run(play.run)
    measured = {point.quantity: point.value for point in play.points}
    assert measured["probe.astray"] == measured["probe.unserved"] == 0
    assert measured["relay.in_force.max"] > 0
    # Who knows the list asks for what came after it, and a change carries one server.
    assert measured["relay.ready.bytes"] < measured["relay.ready_without_list.bytes"] / 50
    assert measured["relay.change.bytes"] < measured["relay.ready_without_list.bytes"] * 1e3 / 50


def test_the_committed_results_hold_each_quantity_at_three_sizes_with_three_repeats() -> None:
    results = Results.load(RESULTS)
    effort = Effort(whole_lists=1, replacements=1, placements=1, recounts=1, keys_per_server=1)
    of_a_process = [point.quantity for point in measure(56, SEED, 1, effort)]
    of_relays = ["relay.change.cpu", "relay.list.memory", "relay.ready", "relay.in_force.p99"]
    for quantity in (*of_a_process, *of_relays):
        repeats = Counter(point.size for point in results.of(quantity))
        assert len(repeats) >= 3 and min(repeats.values()) >= 3, quantity
