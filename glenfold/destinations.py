"""The destination set: what discovery's lists say of the push servers, without I/O."""

import hashlib
import math
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from glenfold.config import Address, Names, read_address
from linnetspread import interface

STATES = {
    "in_service": interface.ServerState.READY,
    "terminating": interface.ServerState.DRAINING,
    "terminated": interface.ServerState.GONE,
}

HEALTH = {state: health for health, state in STATES.items()}

MIN_REMEMBERED = 1024  # servers that have left; more where the longest list had more


class BadList(Exception):
    """Discovery sent what is not a list; the last one is kept."""


def server_number(host: str) -> int:
    """The same at every relay and in every process, whatever came first: all relays must build one map."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=4).digest())


@dataclass(frozen=True, slots=True)
class Destination:
    host: str
    address: Address
    listed: interface.ListedServer
    site: str | None = None  # as listed: another configuration may give the names other places
    kind: str | None = None

    def entry(self) -> dict[str, Any]:
        """In discovery's form; read again it is this destination."""
        listed, (host, port) = self.listed, self.address
        return {
            "host": self.host,
            "dial": f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
            "site": self.site,
            "class": self.kind,
            "block": listed.cell,
            "health": HEALTH[listed.state],
            "share": listed.weight,
            "born_ms": listed.started_us // 1000,
        }


@dataclass(frozen=True, slots=True)
class DestinationState:
    """All that outlives a process: what holds, and who left, in which version and after which start (in
    microseconds since 1970). It stays as it is while the set goes on."""

    version: int
    destinations: Mapping[int, Destination]
    departed: Mapping[int, tuple[int, int]]

    def entries(self) -> Iterator[dict[str, Any]]:
        return (destination.entry() for destination in self.destinations.values())


class DestinationSet:
    """The push servers named by discovery, with their numbers and addresses.

    A whole list is always accepted, even with a lower version than the current one: its agent may lag behind
    the previous agent or may have restarted its count. A server that was reported as leaving does not return
    to service through such an older list, unless it has started again since. A change that is older than the
    current version is rejected, as there is nothing to apply it to; the caller requests a whole list instead.
    """

    def __init__(self, names: Names) -> None:
        self._names = names
        self._destinations: dict[int, Destination] = {}
        self._departed: dict[int, tuple[int, int]] = {}  # in which version, and the start that it left after
        self._lists_received = 0
        self._max_list_servers = 0  # servers of the longest list so far
        self.version = 0
        self.problems: list[str] = []  # of the list read last
        self.list_callbacks: list[
            Callable[[interface.ServerList], None]
        ] = []  # called with each list that was taken in

    @property
    def has_list(self) -> bool:
        """Whether received has been any list at all, be it an empty or an old one."""
        return self._lists_received > 0

    @property
    def count(self) -> int:
        """Servers that are listed and have not gone."""
        return len(self._destinations)

    def servers(self) -> tuple[interface.ListedServer, ...]:
        """As they were listed last."""
        return tuple(destination.listed for destination in self._destinations.values())

    def address(self, server: int) -> Address | None:
        return self._destinations[server].address if server in self._destinations else None

    def is_ready(self, server: int) -> bool:
        return (
            server in self._destinations
            and self._destinations[server].listed.state is interface.ServerState.READY
        )

    def number_of_host(self, host: str) -> int | None:
        destination = self._destinations.get(server_number(host))
        return destination.listed.server if destination is not None and destination.host == host else None

    def read(self, document: Any, cached: bool = False) -> interface.ServerList:
        """Takes in a list or a change. A bad one changes nothing; a bad entry costs no other."""
        try:
            version, is_full, entries = int(document["seq"]), bool(document["whole"]), list(document["hosts"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise BadList(f"a list can't be read: {error!r}") from error
        if version < self.version and not is_full:
            raise BadList(f"change {version} is older than list {self.version}")
        self.problems = []
        destinations = {} if is_full else dict(self._destinations)
        listed: list[interface.ListedServer] = []
        seen = set[int]()
        for entry in entries:
            destination: Destination | None
            try:
                destination = self._destination(entry, version, destinations)
            except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
                self.problems.append(f"an entry is left out: {error!r}")
                # What was known of this server holds until something that can be read says otherwise.
                destination = self._previous(entry)
                if destination is None:
                    continue
            if destination.listed.server in seen:
                self.problems.append(f"an entry is left out: {destination.host} stands there twice")
                if destination.listed.state is interface.ServerState.READY:
                    continue  # but that it leaves holds, wherever it stands
            seen.add(destination.listed.server)
            if destination.listed.state is interface.ServerState.GONE:
                destinations.pop(destination.listed.server, None)
            else:
                destinations[destination.listed.server] = destination
            listed.append(destination.listed)
        self._destinations, self.version = destinations, version
        self._max_list_servers = max(self._max_list_servers, len(destinations))
        self._trim_departed()
        self._lists_received += 1  # the decisions go by the order in which this relay heard
        kind = interface.ListKind.FULL if is_full else interface.ListKind.DELTA
        server_list = interface.ServerList(
            interface.ListKind.CACHED if cached else kind, self._lists_received, tuple(listed)
        )
        for callback in self.list_callbacks:
            callback(server_list)
        return server_list

    def state(self) -> DestinationState:
        """Costs no more than a copy of who left: what is known is replaced with each list, never changed."""
        return DestinationState(self.version, self._destinations, dict(self._departed))

    def restore(self, document: Any, departed: Any) -> interface.ServerList:
        """Takes in what another process knew: `document` as `read` does, `left` as rows of server, version
        and start. Who left own or received does not come back by it. Raises BadList and changes nothing."""
        try:
            received = {
                int(server): (int(version), int(started_us)) for server, version, started_us in departed
            }
        except (TypeError, ValueError, OverflowError) as error:
            raise BadList(f"who left can't be read: {error!r}") from error
        own = dict(self._departed)
        server_list = self.read(document, cached=True)
        # Reading puts down who drains to the document's version, which may be lower than that it left in.
        for server in received | own:
            departures = self._departed.pop(server, None), received.get(server), own.get(server)
            self._departed[server] = max(
                filter(None, departures), key=lambda departure: (departure[1], departure[0])
            )
        self._trim_departed()
        return server_list

    def _trim_departed(self) -> None:
        """Whole lists lose all their servers at most: no more need be remembered."""
        while len(self._departed) > max(MIN_REMEMBERED, self._max_list_servers):
            del self._departed[next(iter(self._departed))]

    def _previous(self, entry: Any) -> Destination | None:
        host = entry.get("host") if isinstance(entry, dict) else None
        previous = self._destinations.get(server_number(host)) if isinstance(host, str) else None
        return previous if previous is not None and previous.host == host else None

    def _destination(self, entry: Any, version: int, destinations: dict[int, Destination]) -> Destination:
        host = str(entry["host"])
        address, listed = read_address(entry["dial"]), self._listed_server(host, entry)
        if listed.server in destinations and destinations[listed.server].host != host:
            # Two servers with the same number can't be told apart. Every relay leaves out the same one.
            raise ValueError(f"{host} and {destinations[listed.server].host} have the same number")
        if listed.state is not interface.ServerState.READY:
            self._departed.pop(listed.server, None)
            self._departed[listed.server] = version, listed.started_us
        elif listed.server in self._departed:
            departed_in, started_us = self._departed[listed.server]
            if version < departed_in and listed.started_us <= started_us:
                listed = replace(listed, state=interface.ServerState.DRAINING)
        return Destination(host, address, listed, _interned(entry, "site"), _interned(entry, "class"))

    def _listed_server(self, host: str, entry: Any) -> interface.ListedServer:
        share = float(entry.get("share", 1.0))
        if not math.isfinite(share):
            raise ValueError("its share is not finite")
        return interface.ListedServer(
            server=server_number(host),
            state=STATES[entry["health"]],
            weight=share,
            zone=self._names.sites.get(entry.get("site"), 0),
            kind=self._names.kinds.get(entry.get("class"), 0),
            cell=int(entry.get("block", 0)),
            started_us=int(entry.get("born_ms", 0)) * 1000,
        )


def _interned(entry: Any, key: str) -> str | None:
    """Few names stand in many entries: each is held once."""
    name = entry.get(key)
    return sys.intern(name) if isinstance(name, str) else None
