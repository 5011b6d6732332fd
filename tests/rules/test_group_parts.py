"""Tests of the division of large groups into parts, which has to be the same at every relay."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenfold.rules import group_parts
from glenfold.rules.group_parts import GroupParts, part_count, part_key

TOPIC = 0xABCDEF


def client_keys(seed: int, count: int) -> list[int]:
    return [random.Random(seed * 1_000_003 + n).getrandbits(64) for n in range(count)]


def member_parts(parts: GroupParts, clients: list[int], connections: int, servers: int) -> list[int]:
    return [parts.add_member(TOPIC, key, connections, servers) for key in clients]


@pytest.mark.parametrize(
    ("members", "connections_per_server", "expected"),
    [
        (1, 6.0, 1),
        (9, 6.0, 1),  # The count may exceed 6 by chance.
        (60, 71.0, 1),  # The largest group of a small fleet is below the mean connections of a server.
        (101, 71.0, 1),  # The count less three standard deviations is 70.9.
        (102, 71.0, 8),  # The count less three standard deviations is 71.7.
        (353, 6.0, 256),  # 1.2 million members among 210 million connections at 10,240 servers.
        (353, 0.24, 1),  # With so few connections per server, a count says nothing.
        (353, 0.25, 8192),
    ],
)
def test_the_number_of_parts_follows_the_size_of_the_group(
    members: int, connections_per_server: float, expected: int
) -> None:
    assert part_count(members, connections_per_server) == expected


@given(st.integers(1, 100_000), st.floats(0.1, 10_000))
def test_no_part_is_larger_than_a_server_s_mean_and_parts_never_shrink(
    members: int, connections_per_server: float
) -> None:
    parts = part_count(members, connections_per_server)
    assert part_count(members + 1, connections_per_server) >= parts
    min_members = members - group_parts.STANDARD_DEVIATIONS * members**0.5
    assert parts == 1 or min_members / parts <= connections_per_server / group_parts.PARTS_PER_SERVER_SHARE
    assert (
        parts > 1
        or min_members <= connections_per_server
        or connections_per_server < group_parts.MIN_CONNECTIONS_PER_SERVER
    )


def test_connections_without_a_group_are_not_counted() -> None:
    parts = GroupParts()
    assert parts.add_member(0, 7, 1_000_000, 1) == 0
    parts.remove_member(0)
    assert len(parts) == 0


def test_small_groups_keep_their_own_key() -> None:
    parts = GroupParts()
    assert set(member_parts(parts, client_keys(1, 60), 1000, 14)) == {TOPIC}


def test_two_relays_with_different_counts_give_every_client_the_same_part() -> None:
    one, other = GroupParts(), GroupParts()
    member_parts(one, client_keys(1, 353), 61_765, 10_240)
    member_parts(other, client_keys(2, 340), 61_765, 10_240)
    found = set[int]()
    for key in client_keys(3, 4_000):
        part = one.add_member(TOPIC, key, 61_765, 10_240)
        assert part == other.add_member(TOPIC, key, 61_765, 10_240)
        found.add(part)
        one.remove_member(TOPIC)
        other.remove_member(TOPIC)
    assert len(found) == 256


def test_a_group_that_doubles_moves_half_of_each_part_and_no_more() -> None:
    clients = client_keys(4, 4000)
    few = {key: part_key(TOPIC, group_parts.mix64(TOPIC ^ key) % 8) for key in clients}
    more = {key: part_key(TOPIC, group_parts.mix64(TOPIC ^ key) % 16) for key in clients}
    stayed = sum(few[key] == more[key] for key in clients) / len(clients)
    assert 0.45 < stayed < 0.55
    assert set(few.values()) < set(more.values())


def test_parts_have_similar_sizes() -> None:
    parts = GroupParts()
    member_parts(parts, client_keys(5, 353), 61_765, 10_240)
    clients = Counter[int]()
    for key in client_keys(6, 25_600):
        clients[parts.add_member(TOPIC, key, 61_765, 10_240)] += 1
        parts.remove_member(TOPIC)
    assert len(clients) == 256
    assert max(clients.values()) < 1.4 * 25_600 / 256


def test_the_table_has_only_groups_with_members() -> None:
    parts, rng = GroupParts(), random.Random(6)
    held: list[int] = []
    for _ in range(5_000):
        if held and rng.random() < 0.5:
            parts.remove_member(held.pop(rng.randrange(len(held))))
        else:
            held.append(rng.randrange(1, 200))
            parts.add_member(held[-1], rng.getrandbits(64), len(held), 14)
        assert len(parts) == len(set(held))
    for group in held:
        parts.remove_member(group)
    assert len(parts) == 0


def test_removed_members_are_not_counted() -> None:
    parts = GroupParts()
    assert len(set(member_parts(parts, client_keys(7, 353), 61_765, 10_240))) > 8
    for _ in range(353):
        parts.remove_member(TOPIC)
    assert set(member_parts(parts, client_keys(8, 5), 61_765, 10_240)) == {TOPIC}
