"""What one gateway admits to servers that just started.

The fault behind these tests is described in tests/test_cold_fleet.py.
"""

import pytest
from driver import SECOND, Gateway, attempts_in, listed

from linnetspread.choice import MAX_MEAN_LIFE_US, PRIOR_WEIGHT_US, SEEDS
from linnetspread.interface import ListKind, Outcome, Tenant

SERVERS = tuple(range(100, 108))


def warming_gateway(**changes: object) -> Gateway:
    return Gateway(8, cold_us=20 * SECOND, cold_share=0.15, fall_multiple=3.0, **changes)


def restart_all(gateway: Gateway) -> None:
    """Restarts every server; each of its connections ends with a reset."""
    for number in list(gateway.balancer.connections):
        gateway.answer(number, Outcome.RESET, done=True)
    started = gateway.now
    gateway.servers(ListKind.DELTA, *(listed(number, started_us=started) for number in SERVERS))


def home(gateway: Gateway, key: int) -> int:
    server = gateway.balancer.anchor.lookup(key, SEEDS[0])
    assert server is not None
    return server


def test_resets_by_servers_that_end_do_not_shrink_the_slices_of_cold_servers() -> None:
    gateway = warming_gateway(tenants=(Tenant(1.0, 20.0, 600.0),))
    for key in range(1, 101):
        gateway.open(key)
    restart_all(gateway)
    gateway.now += 10 * SECOND
    # The resets reduced the mean slice.
    assert gateway.balancer.mean_slice.size_at(gateway.now) < 1
    assert {gateway.balancer._slice_size(server) for server in gateway.balancer.servers.values()} == {1.0}
    attempts = [attempts_in(gateway.request(key, returning=True)[1]) for key in range(1, 1_001)]
    placed = [(key, tried[0].server) for key, tried in enumerate(attempts, 1) if tried]
    assert len(placed) > 30
    assert all(server == home(gateway, key) for key, server in placed)


def test_the_mean_slice_still_applies_to_warm_servers_that_were_never_used() -> None:
    gateway = warming_gateway()
    gateway.servers(ListKind.DELTA, listed(107, started_us=gateway.now))
    number = gateway.open(1)
    gateway.balancer.mean_slice.size = 0.5
    seen = gateway.server_of[number]
    for server in SERVERS:
        expected = 1.0 if server in (seen, 107) else pytest.approx(0.5)
        assert gateway.balancer._slice_size(gateway.balancer.servers[server]) == expected


def admitted_part(gateway: Gateway) -> float:
    return gateway.balancer._admitted_part(10 * SECOND)


@pytest.mark.parametrize("life_s", [20, 60, 200])
def test_without_shares_turns_follow_the_observed_life_of_connections(life_s: int) -> None:
    gateway, configured = warming_gateway(), warming_gateway(tenants=(Tenant(1.0, 100 / life_s, 100.0),))
    slowest = admitted_part(gateway)
    numbers = [gateway.open(key) for key in range(1, 101)]
    # 100 connections are open all the time, and one ends each hundredth of the mean life.
    for second in range(5 * life_s):
        gateway.now += SECOND
        for _ in range(100 * (second + 1) // life_s - 100 * second // life_s):
            gateway.answer(numbers.pop(0), Outcome.OK, done=True)
            numbers.append(gateway.open(1_000 + len(gateway.attempts)))
    assert slowest < admitted_part(gateway)
    assert admitted_part(gateway) == pytest.approx(admitted_part(configured), rel=0.15)


def test_without_experience_connections_are_assumed_to_last_the_longest_mean_life() -> None:
    fresh, configured = (
        warming_gateway(),
        warming_gateway(tenants=(Tenant(1.0, 1e-9, 1e-9 * MAX_MEAN_LIFE_US / SECOND),)),
    )
    assert admitted_part(fresh) == pytest.approx(admitted_part(configured), rel=0.01)


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.CANCELLED])
def test_ends_caused_by_a_server_or_the_front_do_not_count_towards_the_mean_life(outcome: Outcome) -> None:
    """A reset is caused by the server, and a server that left the list has sent its clients away."""
    gateway = warming_gateway()
    numbers = [gateway.open(key) for key in range(1, 101)]
    if outcome is Outcome.CANCELLED:
        gateway.servers(ListKind.FULL, listed(200))
    for number in numbers:
        gateway.answer(number, outcome, done=True)
    assert gateway.balancer.ended_connections == 0


def test_the_learnt_life_stays_within_the_longest_mean_life() -> None:
    gateway = warming_gateway()
    fresh = admitted_part(gateway)
    gateway.open(1)
    gateway.now += 1_000 * SECOND
    gateway.open(2)
    assert admitted_part(gateway) == fresh


def test_arrivals_from_another_gateway_offset_departures_to_one() -> None:
    gateway = warming_gateway()
    for key in range(1, 101):
        gateway.answer(gateway.open(key, mid_flow=True), Outcome.CANCELLED, done=True)
    assert gateway.balancer.ended_connections == 0


def usual_fraction(gateway: Gateway) -> float:
    return gateway.balancer.connections[gateway.open()].usual_fraction


def test_only_the_usual_flow_counts_as_new_clients() -> None:
    """Clients don't mark that they come back: the first may be new, but a hundred in a second are not."""
    # By the shares two new clients come to this gateway in a second.
    gateway = warming_gateway(gateways=10, tenants=(Tenant(1.0, 20.0, 6_000.0),))
    # This server stays cold until the end of the test.
    gateway.servers(ListKind.DELTA, listed(107, started_us=gateway.now + 60 * SECOND))
    first, *others = [usual_fraction(gateway) for _ in range(100)]
    assert first == 1 and sum(others) <= 2
    gateway.now += 20 * SECOND
    spread_out = []
    for _ in range(100):
        gateway.now += SECOND // 2
        spread_out.append(usual_fraction(gateway))
    assert sum(spread_out) > 90


def test_without_shares_the_usual_flow_is_learnt() -> None:
    gateway = warming_gateway()
    assert gateway.balancer._new_client_rate() == 0
    for key in range(1, 101):
        gateway.now += SECOND
        gateway.answer(gateway.open(key), Outcome.OK, done=True)
    seen_us = 100 * SECOND
    assert gateway.balancer._new_client_rate() == pytest.approx(100 / (PRIOR_WEIGHT_US + seen_us), rel=0.02)
