"""Zones, network delays between machines, and network partitions of zones."""

import math
from collections.abc import Callable, Iterator

from glenfold_lab.model.draw import lognormals, value
from glenfold_lab.spec import Zones
from glenfold_lab.streams import Streams

ZoneChanged = Callable[[int], None]


class Network:
    """Network delays between zones, and zones that are cut off.

    One-way delays are microseconds, drawn once per history for each pair of zones; each message's delay
    varies by the jitter. Relays are assigned to the zones in turn.

    Messages across the border of a zone that is cut off are lost without any signal. Either the servers of
    the zone or all its machines are cut off; these still reach each other.
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
        """Returns the round trip from a client through a relay of its zone to a server, without jitter."""
        return 2 * (self._client_us + self._one_way[zone][server_zone])

    def delay_us(self, zone: int, other: int) -> int:
        """Draws the delay of one message between a relay and a push server."""
        return math.ceil(self._one_way[zone][other] * next(self._server_spread))

    def client_us(self) -> int:
        """Draws the delay of one message between a client and a relay of its zone."""
        return math.ceil(self._client_us * next(self._client_spread))

    def passes(self, zone: int, server_zone: int) -> bool:
        """Returns whether messages pass between the relays of `zone` and the servers of `server_zone`."""
        if zone == server_zone:
            return self._all_cut[zone] or not self._servers_cut[zone]
        return not (self._servers_cut[server_zone] or self._all_cut[zone])

    def relay_cut(self, relay: int) -> bool:
        """Returns whether the machine of this relay is cut off from clients and discovery."""
        return self._all_cut[self.zone_of(relay)]

    def cut(self, zone: int, relays: bool) -> None:
        """Cuts off the push servers of a zone, or all its machines if `relays` is true."""
        self._servers_cut[zone], self._all_cut[zone] = True, relays
        self._notify(zone)

    def restore(self, zone: int) -> None:
        self._servers_cut[zone] = self._all_cut[zone] = False
        self._notify(zone)

    def _notify(self, zone: int) -> None:
        for call in self.on_change:
            call(zone)
