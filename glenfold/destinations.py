"""The destination set: what discovery's lists say of the push servers, without I/O."""

import hashlib
import math
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from glenfold.config import Address, Names, read_address
from linnetspread import interface as i

STATES = {
    "in_service": i.ServerState.READY,
    "terminating": i.ServerState.DRAINING,
    "terminated": i.ServerState.GONE,
}

HEALTH = {state: health for health, state in STATES.items()}

LEAST_REMEMBERED = 1024  # servers that have left; more where the longest list had more


class BadList(Exception):
    """Discovery sent what is not a list; the last one is kept."""


def server_number(host: str) -> int:
    """The same at every relay and in every process, whatever came first: all relays must build one map."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=4).digest())


@dataclass(frozen=True, slots=True)
class Destination:
    host: str
    address: Address
    line: i.ListedServer
    site: str | None = None  # as listed: another configuration may give the names other places
    kind: str | None = None

    def entry(self) -> dict[str, Any]:
        """In discovery's form; read again it is this destination."""
        line, (host, port) = self.line, self.address
        return {
            "host": self.host,
            "dial": f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
            "site": self.site,
            "class": self.kind,
            "block": line.cell,
            "health": HEALTH[line.state],
            "share": line.weight,
            "born_ms": line.started_us // 1000,
        }


@dataclass(frozen=True, slots=True)
class State:
    """All that outlives a process: what holds, and who left, in which version and after which start (in
    microseconds since 1970). It stays as it is while the set goes on."""

    version: int
    known: Mapping[int, Destination]
    left: Mapping[int, tuple[int, int]]

    def entries(self) -> Iterator[dict[str, Any]]:
        return (destination.entry() for destination in self.known.values())


class DestinationSet:
    """The push servers that discovery has named: their numbers and addresses.

    Whatever the agent holds counts as told, so a whole list is always taken in, also one with a lower number:
    an agent may lag behind the one before it, or count anew. Only a server that was said to leave does not
    come back with such a list, unless it has started again. A change that is older than what is known has
    no place to go to; a whole list is asked for instead."""

    def __init__(self, names: Names) -> None:
        self._names = names
        self._known: dict[int, Destination] = {}
        self._left: dict[int, tuple[int, int]] = {}  # in which version, and the start that it left after
        self._heard = 0
        self._longest = 0  # servers of the longest list so far
        self.version = 0
        self.faults: list[str] = []  # of the list read last
        self.watches: list[Callable[[i.ServerList], None]] = []  # called with each list that was taken in

    @property
    def listed(self) -> bool:
        """Whether there has been any list at all, be it an empty or an old one."""
        return self._heard > 0

    @property
    def count(self) -> int:
        """Servers that are listed and have not gone."""
        return len(self._known)

    def servers(self) -> tuple[i.ListedServer, ...]:
        """As they were listed last."""
        return tuple(known.line for known in self._known.values())

    def address(self, server: int) -> Address | None:
        return self._known[server].address if server in self._known else None

    def ready(self, server: int) -> bool:
        return server in self._known and self._known[server].line.state is i.ServerState.READY

    def numbered(self, host: str) -> int | None:
        known = self._known.get(server_number(host))
        return known.line.server if known is not None and known.host == host else None

    def read(self, document: Any, cached: bool = False) -> i.ServerList:
        """Takes in a list or a change. A bad one changes nothing; a bad entry costs no other."""
        try:
            version, whole, entries = int(document["seq"]), bool(document["whole"]), list(document["hosts"])
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise BadList(f"a list can't be read: {error!r}") from error
        if version < self.version and not whole:
            raise BadList(f"change {version} is older than list {self.version}")
        self.faults = []
        known = {} if whole else dict(self._known)
        lines: list[i.ListedServer] = []
        named = set[int]()
        for entry in entries:
            destination: Destination | None
            try:
                destination = self._destination(entry, version, known)
            except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
                self.faults.append(f"an entry is left out: {error!r}")
                # What was known of this server holds until something that can be read says otherwise.
                destination = self._known_before(entry)
                if destination is None:
                    continue
            if destination.line.server in named:
                self.faults.append(f"an entry is left out: {destination.host} stands there twice")
                if destination.line.state is i.ServerState.READY:
                    continue  # but that it leaves holds, wherever it stands
            named.add(destination.line.server)
            if destination.line.state is i.ServerState.GONE:
                known.pop(destination.line.server, None)
            else:
                known[destination.line.server] = destination
            lines.append(destination.line)
        self._known, self.version = known, version
        self._longest = max(self._longest, len(known))
        self._forget()
        self._heard += 1  # the decisions go by the order in which this relay heard
        kind = i.ListKind.FULL if whole else i.ListKind.DELTA
        told = i.ServerList(i.ListKind.CACHED if cached else kind, self._heard, tuple(lines))
        for watch in self.watches:
            watch(told)
        return told

    def state(self) -> State:
        """Costs no more than a copy of who left: what is known is replaced with each list, never changed."""
        return State(self.version, self._known, dict(self._left))

    def restore(self, document: Any, left: Any) -> i.ServerList:
        """Takes in what another process knew: `document` as `read` does, `left` as rows of server, version
        and start. Who left here or there does not come back by it. Raises BadList and changes nothing."""
        try:
            there = {int(server): (int(version), int(started_us)) for server, version, started_us in left}
        except (TypeError, ValueError, OverflowError) as error:
            raise BadList(f"who left can't be read: {error!r}") from error
        here = dict(self._left)
        told = self.read(document, cached=True)
        # Reading puts down who drains to the document's version, which may be lower than that it left in.
        for server in there | here:
            known = self._left.pop(server, None), there.get(server), here.get(server)
            self._left[server] = max(filter(None, known), key=lambda left: (left[1], left[0]))
        self._forget()
        return told

    def _forget(self) -> None:
        """Whole lists lose all their servers at most: no more need be remembered."""
        while len(self._left) > max(LEAST_REMEMBERED, self._longest):
            del self._left[next(iter(self._left))]

    def _known_before(self, entry: Any) -> Destination | None:
        host = entry.get("host") if isinstance(entry, dict) else None
        known = self._known.get(server_number(host)) if isinstance(host, str) else None
        return known if known is not None and known.host == host else None

    def _destination(self, entry: Any, version: int, known: dict[int, Destination]) -> Destination:
        host = str(entry["host"])
        address, line = read_address(entry["dial"]), self._line(host, entry)
        if line.server in known and known[line.server].host != host:
            # Two servers under one number could not be told apart; every relay leaves out the same one.
            raise ValueError(f"{host} and {known[line.server].host} have the same number")
        if line.state is not i.ServerState.READY:
            self._left.pop(line.server, None)
            self._left[line.server] = version, line.started_us
        elif line.server in self._left:
            left_in, started_us = self._left[line.server]
            if version < left_in and line.started_us <= started_us:
                line = replace(line, state=i.ServerState.DRAINING)
        return Destination(host, address, line, _name(entry, "site"), _name(entry, "class"))

    def _line(self, host: str, entry: Any) -> i.ListedServer:
        share = float(entry.get("share", 1.0))
        if not math.isfinite(share):
            raise ValueError("its share is not finite")
        return i.ListedServer(
            server=server_number(host),
            state=STATES[entry["health"]],
            weight=share,
            zone=self._names.sites.get(entry.get("site"), 0),
            kind=self._names.kinds.get(entry.get("class"), 0),
            cell=int(entry.get("block", 0)),
            started_us=int(entry.get("born_ms", 0)) * 1000,
        )


def _name(entry: Any, key: str) -> str | None:
    """Few names stand in many entries: each is held once."""
    name = entry.get(key)
    return sys.intern(name) if isinstance(name, str) else None
