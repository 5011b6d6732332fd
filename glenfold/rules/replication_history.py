"""The bounded history of a list of servers, from which an interrupted watch resumes. No I/O.

Each entry and each change is encoded once, and every watcher is sent the same bytes. A change is stored as
the HTTP chunk that carries its line, so it needs no work for each watcher.
"""

import json
from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from glenfold.list_entry import HEALTH
from glenfold.rules.replication import ListDocument, Position
from linnetspread.interface import ServerState

_ENCODER = json.JSONEncoder(separators=(",", ":"))
_READY, _GONE = HEALTH[ServerState.READY], HEALTH[ServerState.GONE]


class PastRevision(Exception):
    """Raised when a watch needs a whole list.

    The history no longer reaches back to the requested revision, or that belongs to another history.
    """


class FutureRevision(Exception):
    """Raised when the requested revision is later than the history."""


@dataclass(frozen=True, slots=True)
class _Entry:
    """One encoded server entry in discovery's form. `removed` is True if the entry says the server left."""

    encoded: bytes
    removed: bool


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    chunk: bytes


def chunk_framing(size: int) -> tuple[bytes, bytes]:
    """Returns the bytes before and after `size` bytes of data that make the data one HTTP chunk.

    The chunk is part of a response with Transfer-Encoding: chunked; `size` is not 0.
    """
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
    """The current list and the changes that led to it.

    At most `max_changes` changes are stored, with at most `most_bytes` bytes together. The indexes of changes
    only increase, even when a new history begins.
    """

    def __init__(self, max_changes: int, most_bytes: int) -> None:
        self._max_changes = max_changes
        self._max_bytes = most_bytes
        self._entries: dict[str, _Entry] = {}  # The current entry of each host.
        self._changes: deque[_Change] = deque()
        self._bytes = 0
        self._since = 0  # The revision to which the first stored change applies.
        self._earlier_revisions = -1  # The highest revision that an earlier history reached.
        self._same_incarnation_revisions = -1  # The highest of an earlier history with the same incarnation.
        self._encoded_list: bytes | None = None  # The encoded whole list, discarded when the list changes.
        self.position: Position | None = None
        self.end_index = 0  # The index of the next change.

    @property
    def first_index(self) -> int:
        """Returns the index of the oldest change that is still stored."""
        return self.end_index - len(self._changes)

    @property
    def held_bytes(self) -> int:
        """Returns the size of all stored changes."""
        return self._bytes

    def add(self, document: ListDocument) -> None:
        """Adds a list or change that is later than all before.

        A whole list of the same incarnation is stored as the change that it makes. Raises ValueError for a
        document that does not continue the history.
        """
        if document.restarts_history and document.whole:
            self._start_history(document)
            self.end_index += 1  # Open watches are past: their revisions do not continue in this history.
            self._encoded_list = None
            return
        if self.position is not None and document.position <= self.position:
            raise ValueError(f"{document.position} is not later than the known {self.position}")
        if self.position is None or document.position.incarnation != self.position.incarnation:
            if not document.whole:
                raise ValueError(f"a change to {document.position} has no whole list to apply to")
            self._start_history(document)
        else:
            self._apply_document(document)
        self._encoded_list = None

    def _start_history(self, document: ListDocument) -> None:
        """Begins a new history with a whole list; no watch can resume from an earlier one."""
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
        """Adds the changes that led from revision `since` to the beginning of this history.

        Children whose revision is a little before the first list can then resume. The newest changes are
        added as far as the bounds allow, and their number is returned. Raises ValueError for changes that do
        not lead to the beginning.
        """
        begin = None if self.position is None else Position(self.position.incarnation, self._since)
        if not changes or changes[-1].position != begin or any(change.whole for change in changes):
            raise ValueError(f"the earlier changes do not lead to {begin}")
        revisions = [since, *(change.position.revision for change in changes)]
        if revisions != sorted(set(revisions)):
            raise ValueError("the earlier changes are not in ascending order of their revisions")
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
        """Returns the index of the first change that is later than this revision.

        `incarnation` is that of the revision, None if the child gave none: a revision that an earlier
        incarnation has reached too may then belong to that one. Raises PastRevision and FutureRevision.
        """
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
        """Returns the chunks from that index on, and the index after them.

        The chunks have at most `most_bytes` bytes together, unless the first one alone is larger. Raises
        PastRevision.
        """
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
        """Returns the whole list as an encoded document. Raises PastRevision before the first list."""
        if self.position is None:
            raise PastRevision
        if self._encoded_list is None:
            self._encoded_list = _document(self.position.revision, True, self._entries.values())
        return self._encoded_list


def _by_host(document: ListDocument) -> dict[str, _Entry]:
    """Returns the encoded entries by host.

    If a host has several entries, the first one counts, but a later one that is not ready replaces it, as
    relays read the list. Entries without a host name can't be told apart, and are left out.
    """
    found: dict[str, _Entry] = {}
    for entry in document.entries:
        host = entry.get("host")
        if isinstance(host, str) and (host not in found or entry.get("health") != _READY):
            found[host] = _Entry(_ENCODER.encode(dict(entry)).encode(), entry.get("health") == _GONE)
    return found


def _as_removed(entry: _Entry) -> _Entry:
    left = json.loads(entry.encoded) | {"health": _GONE}
    return _Entry(_ENCODER.encode(left).encode(), removed=True)
