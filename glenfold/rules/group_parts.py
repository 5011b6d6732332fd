"""Over how many parts a large group is spread, so that it does not all go to one push server. No I/O.

The decisions place a group as one: each push server that holds any of it pays for it once. A group with
more members than a push server holds connections would press one server out of thousands. It is given to
the decisions as several groups, each a part. Every relay derives the same parts from its own count of
members: as each relay holds its share of all connections and of the group, the number of relays cancels out.
"""

import math
from collections import Counter

MASK_64 = (1 << 64) - 1
GOLDEN_GAMMA = 0x9E3779B97F4A7C15  # odd; spreads consecutive numbers over 64 bits
MIN_CONNECTIONS_PER_SERVER = (
    0.25  # connections of a server here; with fewer, what is held says nothing of a group's size
)
PARTS_PER_SERVER_SHARE = 4  # so small that a part does not crowd out the server's other connections
STANDARD_DEVIATIONS = 3.0  # by which a count may exceed its expectation without being taken for more


def mix64(value: int) -> int:
    """The finaliser of splitmix64: the same at every relay."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)


def part_count(members: int, connections_per_server: float) -> int:
    """How many parts a group needs when one server has `room` connections of this relay, on average: a power
    of two, so that relays whose counts differ a little agree, and 1 for all but large groups."""
    min_members = members - STANDARD_DEVIATIONS * math.sqrt(members)
    if connections_per_server < MIN_CONNECTIONS_PER_SERVER or min_members < connections_per_server:
        return 1
    return 1 << int(PARTS_PER_SERVER_SHARE * min_members / connections_per_server).bit_length()


class GroupParts:
    """Counts the members of each group that this relay holds, in a table no longer than the number of its
    connections."""

    def __init__(self) -> None:
        self._members: Counter[int] = Counter()

    def __len__(self) -> int:
        """Groups that are counted."""
        return len(self._members)

    def add_member(self, group: int, key: int, connections: int, servers: int) -> int:
        """The group key that the decisions are given for a new member with that client key; `release` undoes
        its count. `connections`: of all groups, here; `servers`: listed."""
        if not group:
            return 0
        self._members[group] += 1
        parts = part_count(self._members[group], connections / max(servers, 1))
        return part_key(group, mix64(group ^ key) % parts)

    def remove_member(self, group: int) -> None:
        """A member that was taken has gone."""
        if not group:
            return
        self._members[group] -= 1
        if self._members[group] <= 0:
            del self._members[group]


def part_key(group: int, part: int) -> int:
    """The key of one part; the first keeps the group's own, so that a group that grows moves nobody there."""
    return group ^ mix64(part * GOLDEN_GAMMA & MASK_64) if part else group
