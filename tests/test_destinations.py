"""The memory of departed servers in the destination set.

A server that has left must not return to service through an older whole list, and the memory must stay
bounded.
"""

from pathlib import Path

import pytest
import relaying
from relaying import entry, whole

from glenfold.destinations import MIN_REMEMBERED, DestinationSet
from glenfold.list_entry import server_number
from linnetspread.interface import ServerState

ZONE = 3 * MIN_REMEMBERED  # servers in a zone


def list_of(version: int, hosts: range, health: str = "in_service") -> dict[str, object]:
    return whole(*(entry(f"s-{n}", health=health) for n in hosts), seq=version)


def change(version: int, hosts: range, health: str) -> dict[str, object]:
    return list_of(version, hosts, health) | {"whole": False}


@pytest.mark.parametrize("health", ["terminating", "terminated"])
def test_no_server_of_a_departed_zone_returns_with_an_older_list(tmp_path: Path, health: str) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    destinations.read(list_of(10, range(ZONE)))
    destinations.read(change(11, range(ZONE), health))
    server_list = destinations.read(list_of(9, range(ZONE)))
    assert {line.state for line in server_list.servers} == {ServerState.DRAINING}


def test_remembered_departures_are_bounded_by_the_longest_list(tmp_path: Path) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    destinations.read(list_of(1, range(2 * MIN_REMEMBERED)))
    for step in range(8):
        hosts = range(step * MIN_REMEMBERED, (step + 1) * MIN_REMEMBERED)
        destinations.read(change(2 + step, hosts, "terminated"))
    assert len(destinations.state().departed) == 2 * MIN_REMEMBERED
    assert destinations.has_list


def test_departures_up_to_the_minimum_are_remembered_with_short_lists(tmp_path: Path) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    for n in range(MIN_REMEMBERED + 50):
        destinations.read(change(n, range(n, n + 1), "terminated"))
    assert len(destinations.state().departed) == MIN_REMEMBERED


# Guards against a server that a whole list left out, and that comes back with an older one (incident 16).
@pytest.mark.parametrize("restored", [False, True])
def test_a_server_that_a_whole_list_left_out_returns_with_no_older_list(
    tmp_path: Path, restored: bool
) -> None:
    names = relaying.config(tmp_path).names
    destinations = DestinationSet(names)
    destinations.read(whole(entry("s-1"), entry("s-2"), seq=44))
    destinations.read(whole(entry("s-2"), seq=45))
    if restored:  # in the process after a restart
        state, successor = destinations.state(), DestinationSet(names)
        document = {"seq": state.version, "whole": True, "hosts": list(state.entries())}
        successor.restore(document, [(server, *left) for server, left in state.departed.items()])
        destinations = successor
    states = []
    for document in (
        whole(entry("s-1", "127.0.0.2:9"), entry("s-2"), seq=43),  # also under another address
        whole(entry("s-1"), entry("s-2"), seq=46),
        whole(entry("s-2"), seq=47),
        whole(entry("s-1", born_ms=5), entry("s-2"), seq=43),  # it has started again since
    ):
        read = {listed.server: listed.state for listed in destinations.read(document).servers}
        states.append((read.get(server_number("s-1")), read[server_number("s-2")]))
    ready, draining = ServerState.READY, ServerState.DRAINING
    assert states == [(draining, ready), (ready, ready), (None, ready), (ready, ready)]


def test_a_server_that_only_an_older_whole_list_lacks_is_in_service_with_the_newer_list(
    tmp_path: Path,
) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    newer, older = whole(entry("s-1"), entry("s-2"), seq=45), whole(entry("s-1"), seq=43)
    for document in (newer, older, newer):
        listed = destinations.read(document).servers
    assert {server.state for server in listed} == {ServerState.READY} and len(listed) == 2
