"""The destination set: the push servers as discovery lists them, without I/O."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from glenfold.config import Address, Names, format_address
from glenfold.list_entry import (
    HEALTH,
    BadEntry,
    ListEntry,
    read_entry,
    read_host,
    server_number,
    whole_number,
)
from linnetspread import interface

# Number of departed servers that are remembered at least; as many as the longest list had if that is more.
MIN_REMEMBERED = 1024


class BadList(Exception):
    """Raised when discovery sent something that is not a server list; the last list is kept."""


def _head(document: object) -> tuple[int, bool, Sequence[object]]:
    """Returns the version of a list, whether it is a whole one, and its entries. Raises BadList."""
    if not isinstance(document, Mapping) or not isinstance(document.get("hosts"), list | tuple):
        raise BadList("a list can't be read: it is not an object with the list hosts")
    if "whole" not in document:
        raise BadList("a list can't be read: it does not say whether it is whole")
    try:
        return whole_number(document.get("seq"), "seq"), bool(document["whole"]), document["hosts"]
    except BadEntry as error:
        raise BadList(f"a list can't be read: {error}") from error


def _name(entry: object) -> str:
    """Returns the host of an invalid entry in parentheses, for messages; nothing if it has none."""
    try:
        return f" ({read_host(entry)})"
    except BadEntry:
        return ""


@dataclass(frozen=True, slots=True)
class Destination:
    """One push server, as discovery listed it last."""

    host: str
    address: Address
    listed: interface.ListedServer
    site: str | None = None  # name as listed; another configuration may map it to another zone
    kind: str | None = None

    def entry(self) -> dict[str, Any]:
        """Returns the entry in discovery's format, from which the same destination is read."""
        listed = self.listed
        return {
            "host": self.host,
            "dial": format_address(self.address),
            "site": self.site,
            "class": self.kind,
            "block": listed.cell,
            "health": HEALTH[listed.state],
            "share": listed.weight,
            "born_ms": listed.started_us // 1000,
        }


@dataclass(frozen=True, slots=True)
class DestinationState:
    """The part of a destination set that outlives the process. It does not change when the set does.

    `departed` maps each departed server to the version in which it left and the time of its last start, in
    microseconds since 1970.
    """

    version: int
    destinations: Mapping[int, Destination]
    departed: Mapping[int, tuple[int, int]]

    def entries(self) -> Iterator[dict[str, Any]]:
        """Yields the destinations in discovery's format."""
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
        # Version in which each left, and the time of its last start.
        self._departed: dict[int, tuple[int, int]] = {}
        self._lists_received = 0
        self._max_list_servers = 0  # length of the longest list so far
        self.version = 0
        self.problems: list[str] = []  # problems in the list that was read last
        # Called with each list that was read.
        self.list_callbacks: list[Callable[[interface.ServerList], None]] = []

    @property
    def has_list(self) -> bool:
        """Whether any list has been received, even an empty or an old one."""
        return self._lists_received > 0

    @property
    def count(self) -> int:
        """The number of listed servers that are not removed."""
        return len(self._destinations)

    def servers(self) -> tuple[interface.ListedServer, ...]:
        """Returns the servers as they were listed last."""
        return tuple(destination.listed for destination in self._destinations.values())

    def address(self, server: int) -> Address | None:
        """Returns the address of a server; None if it is not listed."""
        return self._destinations[server].address if server in self._destinations else None

    def is_ready(self, server: int) -> bool:
        """Whether the server is listed as ready."""
        return (
            server in self._destinations
            and self._destinations[server].listed.state is interface.ServerState.READY
        )

    def number_of_host(self, host: str) -> int | None:
        """Returns the number of the listed server with this host name; None if there is none."""
        destination = self._destinations.get(server_number(host))
        return destination.listed.server if destination is not None and destination.host == host else None

    def read(self, document: Any, cached: bool = False) -> interface.ServerList:
        """Reads a whole list or a change, in discovery's format, and returns it.

        `cached` marks a list that does not come from discovery itself. An invalid entry is left out and
        described in `problems`. Raises BadList, and changes nothing, if the document is not a list or is a
        change to an older list.
        """
        version, is_full, entries = _head(document)
        if version < self.version and not is_full:
            raise BadList(f"change {version} is older than list {self.version}")
        self.problems = []
        destinations = {} if is_full else dict(self._destinations)
        listed: list[interface.ListedServer] = []
        seen = set[int]()
        for place, entry in enumerate(entries):
            destination: Destination | None
            try:
                destination = self._destination(read_entry(entry), version, destinations)
            except BadEntry as error:
                self.problems.append(f"entry {place}{_name(entry)} is left out: {error}")
                # The last valid entry of this server stays in force.
                destination = self._previous(entry)
                if destination is None:
                    continue
            if destination.listed.server in seen:
                self.problems.append(f"entry {place} is left out: {destination.host} is listed twice")
                if destination.listed.state is interface.ServerState.READY:
                    continue  # an entry that the server leaves counts even if it is the second one
            seen.add(destination.listed.server)
            if destination.listed.state is interface.ServerState.GONE:
                destinations.pop(destination.listed.server, None)
            else:
                destinations[destination.listed.server] = destination
            listed.append(destination.listed)
        if is_full and not cached:
            self._record_omitted(destinations, version)
        self._destinations, self.version = destinations, version
        self._max_list_servers = max(self._max_list_servers, len(destinations))
        self._trim_departed()
        self._lists_received += 1  # the version that the decisions see counts the lists of this relay
        kind = interface.ListKind.FULL if is_full else interface.ListKind.DELTA
        server_list = interface.ServerList(
            interface.ListKind.CACHED if cached else kind, self._lists_received, tuple(listed)
        )
        for callback in self.list_callbacks:
            callback(server_list)
        return server_list

    def _record_omitted(self, destinations: Mapping[int, Destination], version: int) -> None:
        """Records the servers that a whole list leaves out as departed in its version."""
        for number in self._destinations.keys() - destinations.keys():
            if number in self._departed and self._departed[number][0] >= version:
                continue  # its departure was told by this list or a newer one
            self._departed.pop(number, None)  # the order of the entries is that of the departures
            self._departed[number] = version, self._destinations[number].listed.started_us

    def state(self) -> DestinationState:
        """Returns the current state.

        Only the departed servers are copied: the destinations are replaced with each list, never modified.
        """
        return DestinationState(self.version, self._destinations, dict(self._departed))

    def restore(self, document: Any, departed: Any) -> interface.ServerList:
        """Restores the state of another process and returns its list.

        `document` is a list as for `read`. `departed` are rows of server number, version and start time in
        microseconds. Servers that departed in this process or in the other one stay departed. Raises BadList,
        and changes nothing, if either can't be read.
        """
        try:
            received = {
                int(server): (int(version), int(started_us)) for server, version, started_us in departed
            }
        except (TypeError, ValueError, OverflowError) as error:
            raise BadList(f"the departed servers can't be read: {error!r}") from error
        own = dict(self._departed)
        server_list = self.read(document, cached=True)
        # `read` recorded draining servers under the document's version, which may be lower than the version
        # in which they left.
        for server in received | own:
            departures = self._departed.pop(server, None), received.get(server), own.get(server)
            self._departed[server] = max(
                filter(None, departures), key=lambda departure: (departure[1], departure[0])
            )
        self._trim_departed()
        return server_list

    def _trim_departed(self) -> None:
        """Drops the oldest departures: at most all servers of the longest list can have left."""
        while len(self._departed) > max(MIN_REMEMBERED, self._max_list_servers):
            del self._departed[next(iter(self._departed))]

    def _previous(self, entry: object) -> Destination | None:
        try:
            host = read_host(entry)
        except BadEntry:
            return None
        previous = self._destinations.get(server_number(host))
        return previous if previous is not None and previous.host == host else None

    def _destination(
        self, entry: ListEntry, version: int, destinations: Mapping[int, Destination]
    ) -> Destination:
        listed = self._listed_server(entry)
        other = destinations.get(listed.server)
        if other is not None and other.host != entry.host:
            # Two servers with the same number can't be told apart. Every relay leaves out the same one.
            raise BadEntry(f"{entry.host} and {other.host} have the same number")
        if listed.state is not interface.ServerState.READY:
            self._departed.pop(listed.server, None)
            self._departed[listed.server] = version, listed.started_us
        elif listed.server in self._departed:
            departed_in, started_us = self._departed[listed.server]
            if version < departed_in and listed.started_us <= started_us:
                listed = replace(listed, state=interface.ServerState.DRAINING)
        return Destination(entry.host, entry.address, listed, entry.site, entry.kind)

    def _listed_server(self, entry: ListEntry) -> interface.ListedServer:
        return interface.ListedServer(
            server=server_number(entry.host),
            state=entry.state,
            weight=entry.share,
            zone=0 if entry.site is None else self._names.sites.get(entry.site, 0),
            kind=0 if entry.kind is None else self._names.kinds.get(entry.kind, 0),
            cell=entry.cell,
            started_us=entry.started_us,
        )
