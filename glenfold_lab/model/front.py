"""The front: a load balancer that spreads client connections over the relays of their zone.

It uses the relays that it knows to be running.
"""

from collections.abc import Sequence

from linnetspread.choice import mix


class Front:
    """Chooses a relay for each connection by a hash, as real fronts do.

    `zones` is the zone of each relay by its number. A client's first relay depends on nothing that relays did
    before, so two revisions are run with the same arrivals.
    """

    def __init__(self, zones: Sequence[int]) -> None:
        self._zones = zones
        self._admitted: dict[int, list[int]] = {zone: [] for zone in sorted(set(zones))}
        self._all: list[int] = []

    def admits(self, relay: int) -> bool:
        """Returns whether the front sends connections to this relay."""
        return relay in self._all

    def admit(self, relay: int) -> None:
        if relay not in self._all:
            self._admitted[self._zones[relay]].append(relay)
            self._admitted[self._zones[relay]].sort()
            self._all = sorted([*self._all, relay])

    def remove(self, relay: int) -> None:
        if relay in self._all:
            self._admitted[self._zones[relay]].remove(relay)
            self._all.remove(relay)

    def choose_relay(self, zone: int, key: int, turn: int, other_than: int) -> int | None:
        """Returns the relay for a connection of this zone, or None if no relay is admitted.

        `key` is the client's key and `turn` the number of its earlier requests. `other_than` (-1 for none) is
        a relay to avoid if the zone has another one. A zone without a relay uses those of the other zones.
        """
        relays = self._admitted.get(zone) or self._all
        if not relays:
            return None
        index = mix(key + turn) % len(relays)
        if relays[index] == other_than:
            index = (index + 1) % len(relays)
        return relays[index]
