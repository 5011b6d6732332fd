"""Who left, as the destination set remembers it: as many as may come back by an older list, and no more."""

from pathlib import Path

import pytest
import relaying
from relaying import entry, whole

from glenfold.destinations import MIN_REMEMBERED, DestinationSet
from linnetspread.interface import ServerState

ZONE = 3 * MIN_REMEMBERED


def listed(version: int, hosts: range, health: str = "in_service") -> dict[str, object]:
    return whole(*(entry(f"s-{n}", health=health) for n in hosts), seq=version)


def change(version: int, hosts: range, health: str) -> dict[str, object]:
    return listed(version, hosts, health) | {"whole": False}


@pytest.mark.parametrize("health", ["terminating", "terminated"])
def test_nobody_of_a_whole_zone_that_left_comes_back_by_an_older_list(tmp_path: Path, health: str) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    destinations.read(listed(10, range(ZONE)))
    destinations.read(change(11, range(ZONE), health))
    told = destinations.read(listed(9, range(ZONE)))
    assert {line.state for line in told.servers} == {ServerState.DRAINING}


def test_what_is_remembered_is_bounded_by_the_longest_list(tmp_path: Path) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    destinations.read(listed(1, range(2 * MIN_REMEMBERED)))
    for turn in range(8):
        hosts = range(turn * MIN_REMEMBERED, (turn + 1) * MIN_REMEMBERED)
        destinations.read(change(2 + turn, hosts, "terminated"))
    assert len(destinations.state().departed) == 2 * MIN_REMEMBERED
    assert destinations.has_list


def test_a_short_list_still_remembers_the_least(tmp_path: Path) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    for n in range(MIN_REMEMBERED + 50):
        destinations.read(change(n, range(n, n + 1), "terminated"))
    assert len(destinations.state().departed) == MIN_REMEMBERED
