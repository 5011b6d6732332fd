"""The bounded history of a list of servers, from which a watch resumes where it broke off. No I/O.

Each entry and each change is encoded once; every watcher is sent the same bytes. A change is held as the HTTP
chunk that carries its line, so nothing is left to be done for each watcher.
"""

import json
from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from glenfold.destinations import HEALTH
from glenfold.rules.replication import ListDocument, Position
from linnetspread.interface import ServerState

_ENCODER = json.JSONEncoder(separators=(",", ":"))
_READY, _GONE = HEALTH[ServerState.READY], HEALTH[ServerState.GONE]


class PastRevision(Exception):
    """The history no longer goes back so far, or never was the one asked for: a whole list is needed."""


class FutureRevision(Exception):
    """The history has not come so far."""


@dataclass(frozen=True, slots=True)
class _Entry:
    """One server in discovery's form, encoded. `gone`: it says that the server has left."""

    encoded: bytes
    removed: bool


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    chunk: bytes


def chunk_framing(size: int) -> tuple[bytes, bytes]:
    """What stands before and behind so many bytes, which are not none, to make them one chunk of a response
    with Transfer-Encoding: chunked."""
    return b"%x\r\n" % size, b"\r\n"


def _document(revision: int, whole: bool, entries: Iterable[_Entry]) -> bytes:
    kind = b"true" if whole else b"false"
    hosts = b",".join(entry.encoded for entry in entries)
    return b'{"seq":%d,"whole":%b,"hosts":[%b]}' % (revision, kind, hosts)


def _change(revision: int, entries: Iterable[_Entry]) -> _Change:
    line = _document(revision, False, entries) + b"\n"
    before, after = chunk_framing(len(line))
    return _Change(revision, before + line + after)


class RevisionHistory:
    """The list as it is, and the changes that led to it: at most `most_changes` of them, of together at most
    `most_bytes`. Changes have indexes that only grow, also over the end of a history."""

    def __init__(self, max_changes: int, most_bytes: int) -> None:
        self._max_changes = max_changes
        self._max_bytes = most_bytes
        self._entries: dict[str, _Entry] = {}  # by host
        self._changes: deque[_Change] = deque()
        self._bytes = 0
        self._since = 0  # the revision that the first of the changes leads on from
        self._earlier_revisions = -1  # the highest that an earlier history has reached
        self._same_incarnation_revisions = -1  # the highest of those that had the same incarnation
        self._encoded_list: bytes | None = None  # the list encoded, until it changes
        self.position: Position | None = None
        self.end_index = 0  # of the change that comes next

    @property
    def first_index(self) -> int:
        """Of the oldest change that is still held."""
        return self.end_index - len(self._changes)

    @property
    def held_bytes(self) -> int:
        """Of the changes."""
        return self._bytes

    def add(self, document: ListDocument) -> None:
        """Takes in a list or change that is later than all before. A whole list of the same incarnation is
        held as the change that it makes. Raises ValueError for one that has no place here."""
        if document.restarts_history and document.whole:
            self._start_history(document)
            self.end_index += 1  # past all watches: the revisions of this history do not lead on from theirs
            self._encoded_list = None
            return
        if self.position is not None and document.position <= self.position:
            raise ValueError(f"{document.position} is not later than {self.position}")
        if self.position is None or document.position.incarnation != self.position.incarnation:
            if not document.whole:
                raise ValueError(f"a change to {document.position} has no list to lead on from")
            self._start_history(document)
        else:
            self._apply_document(document)
        self._encoded_list = None

    def _start_history(self, document: ListDocument) -> None:
        """Nobody can resume from an earlier history."""
        if self.position is not None:
            self._earlier_revisions = max(self._earlier_revisions, self.position.revision)
            if document.position.incarnation != self.position.incarnation:
                self._same_incarnation_revisions = -1
            else:
                reached = max(self._same_incarnation_revisions, self.position.revision)
                self._same_incarnation_revisions = reached
        self._changes.clear()
        self._bytes = 0
        self._entries = {host: entry for host, entry in _by_host(document).items() if not entry.removed}
        self.position = document.position
        self._since = document.position.revision

    def _apply_document(self, document: ListDocument) -> None:
        entries = _by_host(document)
        changed = {host: entry for host, entry in entries.items() if self._entries.get(host) != entry}
        if document.whole:
            changed |= {
                host: _as_removed(entry) for host, entry in self._entries.items() if host not in entries
            }
        for host, entry in changed.items():
            if entry.removed:
                self._entries.pop(host, None)
            else:
                self._entries[host] = entry
        self.position = document.position
        self._append_change(_change(document.position.revision, changed.values()))

    def _append_change(self, change: _Change) -> None:
        self._changes.append(change)
        self._bytes += len(change.chunk)
        self.end_index += 1
        while len(self._changes) > self._max_changes or self._bytes > self._max_bytes:
            oldest = self._changes.popleft()
            self._bytes -= len(oldest.chunk)
            self._since = oldest.revision

    def prepend_changes(self, since: int, changes: Sequence[ListDocument]) -> int:
        """Takes in the changes that led from `since` to where this history begins, the newest of them as far
        as its bounds allow, so that those resume who knew a little less than its first list. How many were
        taken. Raises ValueError for changes that do not lead there."""
        begin = None if self.position is None else Position(self.position.incarnation, self._since)
        if not changes or changes[-1].position != begin or any(change.whole for change in changes):
            raise ValueError(f"these changes do not lead to {begin}")
        revisions = [since, *(change.position.revision for change in changes)]
        if revisions != sorted(set(revisions)):
            raise ValueError("these changes are not in their order")
        taken = 0
        for before, change in zip(reversed(revisions[:-1]), reversed(changes), strict=True):
            made = _change(change.position.revision, _by_host(change).values())
            size = self._bytes + len(made.chunk)
            if len(self._changes) >= self._max_changes or size > self._max_bytes:
                break
            self._changes.appendleft(made)
            self._bytes, self._since = size, before
            taken += 1
        return taken

    def index_after(self, revision: int, incarnation: int | None = None) -> int:
        """Of the first change that is later than this revision. `incarnation`: which one it counts in, None
        if that was not said; a revision that an earlier incarnation has reached too may then be of that one.
        Raises PastRevision and FutureRevision."""
        if self.position is None:
            raise PastRevision
        if incarnation is None:
            if revision > self.position.revision:
                raise FutureRevision
            if revision <= self._earlier_revisions:
                raise PastRevision
        elif Position(incarnation, revision) > self.position:
            raise FutureRevision
        elif incarnation != self.position.incarnation or revision <= self._same_incarnation_revisions:
            raise PastRevision
        if revision < self._since:
            raise PastRevision
        return self.first_index + bisect_right(self._changes, revision, key=lambda change: change.revision)

    def read(self, index: int, most_bytes: int) -> tuple[bytes, int]:
        """The chunks from that index on, of together at most so many bytes but at least one, and the index
        after them. Raises PastRevision."""
        if index < self.first_index:
            raise PastRevision
        chunks: list[bytes] = []
        size = 0
        for offset in range(index - self.first_index, len(self._changes)):
            chunk = self._changes[offset].chunk
            if chunks and size + len(chunk) > most_bytes:
                break
            chunks.append(chunk)
            size += len(chunk)
        return b"".join(chunks), index + len(chunks)

    def whole(self) -> bytes:
        """The whole list as a document. Raises PastRevision before the first."""
        if self.position is None:
            raise PastRevision
        if self._encoded_list is None:
            self._encoded_list = _document(self.position.revision, True, self._entries.values())
        return self._encoded_list


def _by_host(document: ListDocument) -> dict[str, _Entry]:
    """Of a host that stands there twice the first counts, but that it leaves holds wherever it stands, as
    relays read it. Who has no name can't be told apart, and is left out."""
    found: dict[str, _Entry] = {}
    for entry in document.entries:
        host = entry.get("host")
        if isinstance(host, str) and (host not in found or entry.get("health") != _READY):
            found[host] = _Entry(_ENCODER.encode(dict(entry)).encode(), entry.get("health") == _GONE)
    return found


def _as_removed(entry: _Entry) -> _Entry:
    left = json.loads(entry.encoded) | {"health": _GONE}
    return _Entry(_ENCODER.encode(left).encode(), removed=True)
