import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetspread.anchor import Anchor
from linnetspread.hashing import SEEDS, mix

KEYS = [mix(n) for n in range(1, 501)]
deterministic = settings(derandomize=True, max_examples=40, deadline=None)
fleets = st.dictionaries(st.integers(0, 2**32 - 1), st.integers(80, 200), min_size=2, max_size=20)


def build(fleet: dict[int, int]) -> Anchor:
    return Anchor(sorted(fleet.items()))


def servers_of_keys(anchor: Anchor) -> list[int | None]:
    return [anchor.lookup(key, SEEDS[0]) for key in KEYS]


@deterministic
@given(fleets, st.data())
def test_a_removal_moves_only_the_removed_servers_keys(fleet, data):
    anchor, removed = build(fleet), data.draw(st.sampled_from(sorted(fleet)))
    before = servers_of_keys(anchor)
    anchor.remove(removed)
    after = servers_of_keys(anchor)
    assert removed not in after
    assert all(a == b for a, b in zip(before, after, strict=True) if b is not None and a != removed)


@deterministic
@given(fleets, st.integers(0, 2**32 - 1), st.integers(80, 200))
def test_an_addition_moves_keys_only_to_the_new_server(fleet, new, count):
    fleet.pop(new, None)
    anchor = build(fleet)
    before = servers_of_keys(anchor)
    anchor.add(new, count)
    assert all(b in (a, new) for a, b in zip(before, servers_of_keys(anchor), strict=True))


@deterministic
@given(fleets, st.lists(st.tuples(st.integers(0, 2**32 - 1), st.integers(80, 200)), max_size=20), st.data())
def test_a_gateway_that_starts_late_builds_the_map_of_one_that_saw_every_change(fleet, additions, data):
    """Guards against open connections that restarted gateways don't find.

    This would happen after half of the servers were replaced while gateways restart.
    """
    anchor = build(fleet)
    for server, count in additions:
        if data.draw(st.booleans()) and anchor.buckets_of:
            removed = data.draw(st.sampled_from(sorted(anchor.buckets_of)))
            anchor.remove(removed)
            del fleet[removed]
        if server not in fleet:
            anchor.add(server, count)
            fleet[server] = count
    assert servers_of_keys(anchor) == servers_of_keys(build(fleet))


def test_shares_follow_the_bucket_counts():
    fleet = {1: 160, 2: 320, 3: 800}
    counts = {server: 0 for server in fleet}
    anchor = build(fleet)
    for key in (mix(n) for n in range(10_000)):
        counts[anchor.lookup(key, SEEDS[0])] += 1
    for server, buckets in fleet.items():
        assert counts[server] / 10_000 == pytest.approx(buckets / 1280, rel=0.1)


def test_shares_stay_even_after_removals():
    anchor = build({server: 160 for server in range(10)})
    for server in (3, 7, 1, 8):
        anchor.remove(server)
    counts = dict.fromkeys((0, 2, 4, 5, 6, 9), 0)
    for key in (mix(n) for n in range(30_000)):
        counts[anchor.lookup(key, SEEDS[0])] += 1
    assert all(count == pytest.approx(5_000, rel=0.1) for count in counts.values())


def test_an_empty_anchor_finds_no_server_and_recovers():
    anchor = Anchor([(5, 64)])
    anchor.remove(5)
    assert anchor.lookup(77, SEEDS[0]) is None
    anchor.add(6, 64)
    assert anchor.lookup(77, SEEDS[0]) == 6


def test_a_thousand_servers_share_the_anchor_and_each_is_found():
    anchor = build({mix(server) >> 32: 32 + server % 97 for server in range(1024)})
    assert set(anchor.owners()) == set(anchor.buckets_of)
    assert len({anchor.lookup(mix(n), SEEDS[0]) for n in range(20_000)}) > 1000


def test_the_map_does_not_change_between_releases():
    anchor = build({11: 160, 22: 320, 33: 480, 44: 160})
    first = [anchor.lookup(mix(n), SEEDS[0]) for n in range(1, 13)]
    anchor.remove(33)
    second = [anchor.lookup(mix(n), SEEDS[0]) for n in range(1, 13)]
    assert first == GOLDEN_FULL
    assert second == GOLDEN_WITHOUT_33


GOLDEN_FULL = [33, 22, 22, 33, 33, 44, 22, 44, 44, 44, 11, 22]
GOLDEN_WITHOUT_33 = [11, 22, 22, 11, 11, 44, 22, 44, 44, 44, 11, 22]
