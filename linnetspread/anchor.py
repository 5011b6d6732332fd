"""The consistent hash of the placement: AnchorHash with an order of removals that is the same everywhere."""

from array import array
from bisect import bisect_left
from collections.abc import Iterator

from linnetspread.hashing import MASK_64, SEEDS, mix

# The number of buckets doesn't depend on the fleet: where it had to grow, every key would move.
ANCHOR_BUCKETS = 1 << 15
# A claim is one number, the draw above the server id, so that claims are ordered by draw, then by server.
SERVER_BITS = 32
SERVER_MASK = (1 << SERVER_BITS) - 1
DRAW_MASK = (1 << 32) - 1


def claimed_draws(server: int, count: int) -> dict[int, int]:
    """Returns the `count` buckets that a server claims, each with the server's draw for it."""
    value, claimed = mix(server ^ SEEDS[1]), dict[int, int]()
    while len(claimed) < count:
        value = mix(value + SEEDS[0] & MASK_64)
        for draw in (value >> 32, value & DRAW_MASK):
            claimed.setdefault(draw % ANCHOR_BUCKETS, draw)
    return claimed


class Anchor:
    """AnchorHash with an order of removals that doesn't depend on the history of a gateway.

    All gateways take the removed buckets to have been removed in one order, by number, the highest first,
    whatever each of them saw. The ready list alone therefore determines the set to which a removed bucket
    passes its keys: the buckets below it, and the working ones above it. A key that skips every bucket
    outside these sets ends at the first working bucket of its own sequence.

    The id of a server, of 32 bits, determines the buckets that it claims, and its power their number. Of
    several servers that claim the same bucket, the one with the highest claim owns it. A bucket's claims are
    kept in order and as plain numbers: with shares of some hundred buckets, thousands of servers make about a
    million claims, some 30 for each bucket.
    """

    def __init__(self, servers: list[tuple[int, int]]) -> None:
        self.buckets_of: dict[int, array[int]] = {}
        # The claims of each working bucket in ascending order. An array is replaced, never changed in place.
        self._claims: dict[int, array[int]] = {}
        for server, count in servers:
            self.add(server, count)

    def add(self, server: int, count: int) -> None:
        """Adds a server that claims `count` buckets. Raises ValueError if its id has more than 32 bits."""
        if not 0 <= server <= SERVER_MASK:
            raise ValueError(f"the server id {server} has more than {SERVER_BITS} bits")
        claimed = claimed_draws(server, count)
        self.buckets_of[server] = array("H", claimed)
        for bucket, draw in claimed.items():
            claim = draw << SERVER_BITS | server
            claims = self._claims.get(bucket, NO_CLAIMS)[:]
            claims.insert(bisect_left(claims, claim), claim)
            self._claims[bucket] = claims

    def remove(self, server: int) -> None:
        """Removes a server; each of its buckets goes to the next highest claim, if there is one."""
        for bucket, draw in claimed_draws(server, len(self.buckets_of.pop(server))).items():
            claims = self._claims.pop(bucket)[:]
            del claims[bisect_left(claims, draw << SERVER_BITS | server)]
            if claims:
                self._claims[bucket] = claims

    def copy(self) -> "Anchor":
        """Returns an anchor that changes on its own; what neither changes is shared."""
        new = Anchor([])
        new.buckets_of, new._claims = self.buckets_of.copy(), self._claims.copy()
        return new

    def owners(self) -> Iterator[int]:
        """Yields the server that owns each working bucket."""
        return (claims[-1] & SERVER_MASK for claims in self._claims.values())

    def lookup(self, key: int, seed: int) -> int | None:
        """Returns the server of a key under a seed, or None while there are no servers."""
        key = mix(key ^ seed)
        while self._claims:
            for draw in (key, key >> 16, key >> 32, key >> 48):
                if claims := self._claims.get(draw % ANCHOR_BUCKETS):
                    return claims[-1] & SERVER_MASK
            key = mix(key + SEEDS[0] & MASK_64)
        return None


NO_CLAIMS = array("Q")
