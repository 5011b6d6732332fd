"""Connections in mid flow are found after the largest push server, which sets the unit, joined or left."""

import pytest
from driver import SECOND, Gateway, attempts_in, listed

from linnetspread.choice import FORMER_MAP_US
from linnetspread.interface import ListedServer, ListKind, Outcome, ServerState

KEYS = range(1, 151)
LARGE = 999


def fleet(shares: list[float], large: float | None) -> list[ListedServer]:
    servers = [listed(100 + number, weight=share) for number, share in enumerate(shares)]
    return servers if large is None else [*servers, listed(LARGE, weight=large)]


def servers_tried(gateway: Gateway, key: int) -> list[int]:
    """Returns the servers that a connection in mid flow is sent to while each resets it."""
    number, actions = gateway.request(key, mid_flow=True)
    tried = list[int]()
    while attempts := attempts_in(actions):
        tried.append(attempts[0].server)
        actions = gateway.answer(number, Outcome.RESET)
    return tried


def home(gateway: Gateway, key: int) -> int:
    number = gateway.open(key)
    server = gateway.server_of[number]
    gateway.answer(number, Outcome.OK, done=True)
    return server


# Guards against connections in mid flow that are sent to servers that don't hold them, as all keys moved
# when the largest push server left or joined (incident 25).
@pytest.mark.parametrize(
    ("shares", "large"),
    [([0.9, 0.8, 0.9, 0.7, 0.8, 0.9, 0.7], 1.0), ([15.0, 9.0, 12.0, 8.0], 16.0), ([1.0, 1.9, 1.5] * 4, 40.0)],
)
@pytest.mark.parametrize("joins", [False, True])
def test_a_connection_in_mid_flow_is_found_after_the_largest_server_left_or_joined(
    shares: list[float], large: float, joins: bool
) -> None:
    gateway = Gateway(servers=0, weighted=True, gateways=2)
    before, after = (None, large) if joins else (large, None)
    gateway.servers(ListKind.FULL, *fleet(shares, before))
    unit = gateway.balancer.weight_unit
    homes = {key: home(gateway, key) for key in KEYS}
    gateway.now += SECOND
    gateway.servers(ListKind.FULL, *fleet(shares, after))
    assert gateway.balancer.weight_unit != unit
    tried = {key: servers_tried(gateway, key) for key in KEYS if homes[key] != LARGE}
    assert all(homes[key] in servers[:2] for key, servers in tried.items())
    assert sum(homes[key] != servers[0] for key, servers in tried.items()) > len(tried) // 10


def test_the_former_map_is_given_up_once_its_connections_have_ended() -> None:
    gateway = Gateway(servers=0, weighted=True, gateways=2)
    gateway.servers(ListKind.FULL, *fleet([0.9, 0.8, 0.7], 1.0))
    gateway.servers(ListKind.FULL, *fleet([0.9, 0.8, 0.7], None))
    assert gateway.balancer.former_anchor is not None
    gateway.now += FORMER_MAP_US
    gateway.request(1)
    assert gateway.balancer.former_anchor is None


def test_a_server_of_the_former_map_that_has_left_since_is_not_tried() -> None:
    gateway = Gateway(servers=0, weighted=True, gateways=2)
    gateway.servers(ListKind.FULL, *fleet([0.9, 0.8, 0.7, 0.8], 1.0))
    gateway.servers(ListKind.FULL, *fleet([0.9, 0.8, 0.7, 0.8], None))
    gateway.servers(ListKind.DELTA, listed(100, ServerState.DRAINING, weight=0.9))
    assert not any(100 in servers_tried(gateway, key) for key in KEYS)
    gateway.servers(ListKind.DELTA, listed(100, ServerState.GONE, weight=0.9))
    assert not any(100 in servers_tried(gateway, key) for key in KEYS)


def test_a_new_connection_is_not_sent_by_the_former_map() -> None:
    changed, fresh = (Gateway(servers=0, weighted=True, gateways=2) for _ in range(2))
    changed.servers(ListKind.FULL, *fleet([0.9, 0.8, 0.7, 0.8], 1.0))
    for gateway in (changed, fresh):
        gateway.servers(ListKind.FULL, *fleet([0.9, 0.8, 0.7, 0.8], None))
    assert [home(changed, key) for key in KEYS] == [home(fresh, key) for key in KEYS]
