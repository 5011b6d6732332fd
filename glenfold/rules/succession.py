"""Decides which lists and changes from parents are newer than the known list, without clock or I/O."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from glenfold.config.address import Address
from glenfold.rules.replication import ListDocument, Position

READY, DRAINING, GONE = "in_service", "terminating", "terminated"  # Values of `health` in discovery's form.
MIN_REMEMBERED_SERVERS = 1024  # Departed servers that are remembered, more if the list is longer.


class Verdict(Enum):
    """The reason why a document is not accepted."""

    REPEATED = "repeated"  # The document is known already, and the known list holds.
    BEHIND = "behind"  # The document is older than the known list.
    INCOMPLETE = "incomplete"  # The change applies to an unknown revision, so the whole list is needed.


@dataclass(frozen=True, slots=True)
class Origin:
    """The sender of a document. `incarnation` is None if the sender is a source that names none."""

    address: Address
    incarnation: int | None


@dataclass(frozen=True, slots=True)
class Received:
    """A document as a parent sent it.

    `after` is the revision to which a change applies: the one from which the watch was opened, or the last
    one that the watch sent. It has no meaning for a whole list.
    """

    origin: Origin
    revision: int
    whole: bool
    entries: tuple[Mapping[str, Any], ...]
    after: int = 0


class Succession:
    """The order of the documents from all parents.

    The later document of the source wins, by incarnation, then by revision, whichever parent sends it.

    A source that names no incarnation and whose revisions decrease has begun a new history, which gets the
    next incarnation, so that children recognise it as newer. Only the parent that sent the known list may
    begin a new history, or any parent once that one is no longer followed: a lower revision from another
    parent comes from a source that lags.

    A source that for long renews only lists with lower positions has begun to count again as well (`trust`):
    a restarted replica does not know how often its source did so before.

    A server that drained or left is not ready again because of a history with lower revisions than the one it
    left in, unless it has restarted since.
    """

    def __init__(self) -> None:
        self.position: Position | None = None
        self._origin: Address | None = None  # The parent that sent the known list.
        self._has_unknown_incarnation = False  # The incarnation of `position` is not known yet.
        self._needs_list_from: Address | None = None  # Changes of this parent wait for its whole list.
        self._trusted: Address | None = None  # The whole list of this parent wins, whatever its position is.
        self._started: dict[str, int] = {}  # Start time of each listed server, by host.
        self._departed: dict[str, tuple[Position, int]] = {}  # Position and start time at its departure.
        self._max_list_length = 0

    @property
    def incarnation(self) -> int | None:
        """Returns the incarnation of the known list, None if it is not known."""
        return None if self.position is None or self._has_unknown_incarnation else self.position.incarnation

    def distrust(self, origin: Origin) -> None:
        """Requires a whole list from a parent that sent an invalid change or one to an unknown revision."""
        self._needs_list_from = origin.address

    def trust(self, address: Address | None) -> None:
        """Accepts the next whole list of that parent even if it is behind; None: of no parent.

        The source has for long renewed only the list of that parent and nothing later, so it has begun to
        count again.
        """
        self._trusted = address

    def resume(self, revision: int) -> None:
        """Continues from the revision that an earlier process knew.

        The first parent that answers names the incarnation to which the revision belongs.
        """
        self.position, self._has_unknown_incarnation = Position(0, revision), True

    def release(self, followed: Collection[Address]) -> None:
        """Lets any parent begin a new history if the sender of the known list is no longer followed."""
        if self._origin not in followed:
            self._origin = None

    def needs_whole_list(self, origin: Origin, gone: bool) -> bool:
        """Returns whether a watch at that parent can't resume from the known revision.

        `gone` is True if the parent answered 410.
        """
        known = self.position
        if known is None or origin.address in (self._needs_list_from, self._trusted):
            return True
        if origin.incarnation is None:
            return gone or (origin.address != self._origin and not self._has_unknown_incarnation)
        return gone  # A watch of a later incarnation begins with the whole list.

    def is_behind(self, origin: Origin, gone: bool) -> bool:
        """Returns whether the parent is known to have only older lists."""
        known = self.position
        if known is None or self._has_unknown_incarnation or origin.incarnation is None:
            return False
        if origin.address == self._trusted:
            return False
        return origin.incarnation < known.incarnation or (gone and origin.incarnation == known.incarnation)

    def resumed(self, origin: Origin) -> None:
        """Records that the parent accepted a watch from the known revision."""
        if self._has_unknown_incarnation and self.position is not None:
            self.position = Position(origin.incarnation or 0, self.position.revision)
            self._has_unknown_incarnation, self._origin = False, origin.address

    def judge(self, received: Received) -> ListDocument | Verdict:
        """Returns the document to be published, which is then the known one, or why it is not accepted."""
        position = self._position(received)
        verdict = position if isinstance(position, Verdict) else self._rejection(received, position)
        if verdict is Verdict.INCOMPLETE:
            self.distrust(received.origin)
        elif received.whole and received.origin.address == self._needs_list_from:
            self._needs_list_from = None
        if verdict is not None or isinstance(position, Verdict):
            return verdict or Verdict.BEHIND
        restarts_history = self.position is not None and position < self.position
        entries = tuple(self._entries(received, position))
        self.position, self._origin, self._has_unknown_incarnation = position, received.origin.address, False
        self._trusted = None
        return ListDocument(position, received.whole, entries, restarts_history)

    def _position(self, received: Received) -> Position | Verdict:
        known, incarnation, revision = self.position, received.origin.incarnation, received.revision
        if incarnation is not None:
            return Position(incarnation, revision)
        if known is None:
            return Position(0, revision)
        is_reassigned = self._origin is None and received.whole
        if revision > known.revision or (revision == known.revision and not is_reassigned):
            return Position(known.incarnation, revision)
        if self._origin not in (None, received.origin.address) and not self._is_trusted(received):
            return Verdict.BEHIND
        return Position(known.incarnation + 1, revision) if received.whole else Verdict.INCOMPLETE

    def _is_trusted(self, received: Received) -> bool:
        return received.whole and received.origin.address == self._trusted

    def _rejection(self, received: Received, position: Position) -> Verdict | None:
        known = self.position
        if self._is_trusted(received) and position != known:
            return None
        if known is None or self._has_unknown_incarnation or position.incarnation > known.incarnation:
            return None if received.whole else Verdict.INCOMPLETE
        if position.incarnation < known.incarnation:
            return Verdict.BEHIND
        if not received.whole and (received.after > known.revision or position.revision < received.after):
            return Verdict.INCOMPLETE
        if position.revision == known.revision:
            return Verdict.REPEATED
        if position.revision < known.revision:
            return Verdict.BEHIND if received.whole else Verdict.REPEATED
        return None

    def _entries(self, received: Received, position: Position) -> Iterator[Mapping[str, Any]]:
        named = set()
        for entry in received.entries:
            host = entry.get("host")
            if not isinstance(host, str):
                yield entry
                continue
            named.add(host)
            yield self._record_entry(host, entry, position)
        if received.whole:
            for host in self._started.keys() - named:
                self._record_departure(host, position, self._started.pop(host))
        self._max_list_length = max(self._max_list_length, len(self._started))
        while len(self._departed) > max(MIN_REMEMBERED_SERVERS, self._max_list_length):
            del self._departed[next(iter(self._departed))]

    def _record_entry(self, host: str, entry: Mapping[str, Any], position: Position) -> Mapping[str, Any]:
        started, health = _started(entry), entry.get("health")
        if health == GONE:
            self._started.pop(host, None)
        else:
            self._started[host] = started
        if health in (DRAINING, GONE):
            self._record_departure(host, position, started)
        elif host in self._departed:
            left_at, left_after = self._departed[host]
            if started <= left_after and position.revision < left_at.revision:
                return {**entry, "health": DRAINING}
            del self._departed[host]
        return entry

    def _record_departure(self, host: str, position: Position, started: int) -> None:
        left_at, left_after = self._departed.pop(host, (position, started))
        if position.revision < left_at.revision:
            position = left_at
        self._departed[host] = position, max(started, left_after)


def _started(entry: Mapping[str, Any]) -> int:
    try:
        return int(entry.get("born_ms", 0))
    except (TypeError, ValueError, OverflowError):
        return 0
