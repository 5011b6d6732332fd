"""Shared anchors map keys as plain ones do, whatever lists each relay received."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from glenfold_lab.model.anchors import Pool, SharedAnchor
from linnetspread import choice

FIRST = [(server, 3 + server % 40) for server in range(1, 9)]
KEYS = [random.Random(5).getrandbits(64) for _ in range(40)]
# A change: relay, server, number of buckets, and whether the relay looks up keys after it.
STEPS = st.lists(
    max_size=30,
    elements=st.tuples(st.integers(0, 2), st.integers(1, 14), st.sampled_from([1, 40, 900]), st.booleans()),
)


def same_lookups(shared: SharedAnchor, plain: choice.Anchor) -> bool:
    return [shared.lookup(key, choice.SEEDS[0]) for key in KEYS] == [
        plain.lookup(key, choice.SEEDS[0]) for key in KEYS
    ]


@settings(max_examples=60, deadline=None)
@given(STEPS)
def test_shared_anchors_map_every_key_as_plain_ones_do(steps: list[tuple[int, int, int, bool]]) -> None:
    pool = Pool()
    pairs = [(SharedAnchor(list(FIRST), pool), choice.Anchor(list(FIRST))) for _ in range(3)]
    for relay, server, buckets, looks_up in steps:
        for anchor in pairs[relay]:
            if server in anchor.buckets_of:
                anchor.remove(server)
            else:
                anchor.add(server, buckets)
        shared, plain = pairs[relay]
        assert set(shared.buckets_of) == set(plain.buckets_of)
        assert not looks_up or same_lookups(shared, plain)
    assert all(same_lookups(*pair) for pair in pairs)
    assert len(pool) <= 3
