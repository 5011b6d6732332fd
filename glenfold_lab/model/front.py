"""The front: spreads clients' connections over the relays of their zone, as far as it knows which run."""

from collections.abc import Sequence

from linnetspread.choice import mix


class Front:
    """`zones`: of each relay, by its number.

    It spreads by a hash of the connection, as fronts do. So a client's first relay depends on nothing that
    relays did before, and two revisions meet the same days.
    """

    def __init__(self, zones: Sequence[int]) -> None:
        self._zones = zones
        self._admitted: dict[int, list[int]] = {zone: [] for zone in sorted(set(zones))}
        self._all: list[int] = []

    def admits(self, relay: int) -> bool:
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

    def relay_for(self, zone: int, key: int, turn: int, other_than: int) -> int | None:
        """Where a connection of this zone goes, by its client's key and how often that has asked; not to
        `other_than` (-1: none) where there is another. A zone without a relay falls to the others."""
        relays = self._admitted.get(zone) or self._all
        if not relays:
            return None
        place = mix(key + turn) % len(relays)
        if relays[place] == other_than:
            place = (place + 1) % len(relays)
        return relays[place]
