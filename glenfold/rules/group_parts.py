"""Division of large groups into parts, so that not all members go to one push server. No I/O.

The decisions place a group as a unit, because each push server that holds any member pays for the group once.
A group with more members than a push server holds connections would overload one server out of thousands, so
the decisions see it as several groups, one for each part. Every relay derives the same parts from its own
count of members: each relay holds the same share of all connections as of the group, so the number of relays
cancels out.
"""

import math
from collections import Counter

MASK_64 = (1 << 64) - 1
GOLDEN_GAMMA = 0x9E3779B97F4A7C15  # This odd factor spreads consecutive numbers over 64 bits.
MIN_CONNECTIONS_PER_SERVER = 0.25  # With fewer at this relay, its count says nothing of a group's size.
PARTS_PER_SERVER_SHARE = 4  # Parts are small, so that a part does not displace a server's other connections.
STANDARD_DEVIATIONS = 3.0  # A count may exceed its expectation by this many by chance.


def mix64(value: int) -> int:
    """Returns a 64-bit hash of the value, the finaliser of splitmix64, which is the same at every relay."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)


def part_count(members: int, connections_per_server: float) -> int:
    """Returns the number of parts that a group needs, 1 for all but large groups.

    `connections_per_server` is the average number of this relay's connections on one server. The result is a
    power of two, so that relays whose counts differ a little agree.
    """
    min_members = members - STANDARD_DEVIATIONS * math.sqrt(members)
    if connections_per_server < MIN_CONNECTIONS_PER_SERVER or min_members < connections_per_server:
        return 1
    return 1 << int(PARTS_PER_SERVER_SHARE * min_members / connections_per_server).bit_length()


class GroupParts:
    """Counts of the members of each group that this relay holds.

    The table has no more entries than the relay has connections.
    """

    def __init__(self) -> None:
        self._members: Counter[int] = Counter()

    def __len__(self) -> int:
        """Returns the number of groups that have members at this relay."""
        return len(self._members)

    def add_member(self, group: int, key: int, connections: int, servers: int) -> int:
        """Counts a new member with the client key `key`, and returns the group key for the decisions.

        `connections` is the number of this relay's connections in all groups, `servers` the number of listed
        servers. `remove_member` undoes the count.
        """
        if not group:
            return 0
        self._members[group] += 1
        parts = part_count(self._members[group], connections / max(servers, 1))
        return part_key(group, mix64(group ^ key) % parts)

    def remove_member(self, group: int) -> None:
        """Removes the count of one member that has disconnected."""
        if not group:
            return
        self._members[group] -= 1
        if self._members[group] <= 0:
            del self._members[group]


def part_key(group: int, part: int) -> int:
    """Returns the group key of one part.

    The first part keeps the group's own key, so that its members are not moved when the group grows.
    """
    return group ^ mix64(part * GOLDEN_GAMMA & MASK_64) if part else group
