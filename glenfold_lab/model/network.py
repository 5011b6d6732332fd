"""Zones, the delays between machines, and zones that are cut off."""

import math
from collections.abc import Callable, Iterator

from glenfold_lab.model.draw import lognormals, value
from glenfold_lab.spec import Zones
from glenfold_lab.streams import Streams

ZoneChanged = Callable[[int], None]


class Network:
    """One-way delays in microseconds, drawn once a history for each pair of zones, each message's spread by
    the jitter. Relays stand in the zones by turns.

    Cut off means: whatever is sent over the edge is lost and nothing is signalled. Of a zone it is the
    servers that are cut off, or all its machines; those still reach each other.
    """

    def __init__(self, zones: Zones, streams: Streams) -> None:
        self.names = zones.names
        delays = streams.of("network", "delays")
        count = len(zones.names)
        same, cross = (value(wanted, delays) * 1000 for wanted in (zones.same_ms, zones.cross_ms))
        self._one_way = [[same if a == b else cross for b in range(count)] for a in range(count)]
        self._client_us = value(zones.client_ms, delays) * 1000
        jitter = value(zones.jitter, delays)
        self._server_spread: Iterator[float] = lognormals(1.0, jitter, streams.of("network", "servers"))
        self._client_spread: Iterator[float] = lognormals(1.0, jitter, streams.of("network", "clients"))
        self._servers_cut = [False] * count
        self._all_cut = [False] * count
        self.on_change: list[ZoneChanged] = []

    def zone_of(self, relay: int) -> int:
        return relay % len(self.names)

    def round_trip_us(self, zone: int, server_zone: int) -> float:
        """From a client through a relay of its zone to a push server and back, without jitter."""
        return 2 * (self._client_us + self._one_way[zone][server_zone])

    def delay_us(self, zone: int, other: int) -> int:
        """Of one message between a relay and a push server."""
        return math.ceil(self._one_way[zone][other] * next(self._server_spread))

    def client_us(self) -> int:
        """Of one message between a client and a relay of its zone."""
        return math.ceil(self._client_us * next(self._client_spread))

    def passes(self, zone: int, server_zone: int) -> bool:
        """Whether messages pass between the relays of a zone and the push servers of another."""
        if zone == server_zone:
            return self._all_cut[zone] or not self._servers_cut[zone]
        return not (self._servers_cut[server_zone] or self._all_cut[zone])

    def relay_cut(self, relay: int) -> bool:
        """Whether clients (and discovery) can't reach this relay's machine."""
        return self._all_cut[self.zone_of(relay)]

    def cut(self, zone: int, relays: bool) -> None:
        """Cuts off the push servers of a zone; with `relays`, all its machines."""
        self._servers_cut[zone], self._all_cut[zone] = True, relays
        self._notify(zone)

    def restore(self, zone: int) -> None:
        self._servers_cut[zone] = self._all_cut[zone] = False
        self._notify(zone)

    def _notify(self, zone: int) -> None:
        for call in self.on_change:
            call(zone)
