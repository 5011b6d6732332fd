"""Consistent-hashing anchors that are shared by all relays with the same history of lists.

A thousand relays, each with an anchor of its own, would take 20 GB. An anchor depends only on the list that
it was built from and on the order of all changes since, so relays with the same history share one plain
`Anchor`, and a relay whose history differs gets a copy. A plain anchor does all lookups, so the decisions are
the same bit for bit.
"""

import copy
import hashlib
from array import array
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from weakref import WeakValueDictionary

from linnetspread import choice

Change = tuple[int, int]  # The server and its number of buckets; 0 removes the server.

# Bound at import, as `shared_anchors` replaces the name in `choice` during a history.
PlainAnchor = choice.Anchor


class SharedEntry:
    """A plain anchor, the digest of the history that produced it, and the number of its holders."""

    __slots__ = ("plain", "digest", "holders", "__weakref__")

    def __init__(self, plain: PlainAnchor, digest: bytes) -> None:
        self.plain, self.digest, self.holders = plain, digest, 0


class Pool:
    """The anchors of one run by the digest of their history. Anchors without a holder are freed."""

    def __init__(self) -> None:
        self._by_past: WeakValueDictionary[bytes, SharedEntry] = WeakValueDictionary()

    def get_initial(self, servers: list[tuple[int, int]]) -> SharedEntry:
        """Returns the anchor that is built from this list of servers and bucket counts."""
        digest = hashlib.blake2b(repr(servers).encode(), digest_size=16).digest()
        found = self._by_past.get(digest)
        return self._hold(found or SharedEntry(PlainAnchor(servers), digest))

    def get_changed(self, shared: SharedEntry, digest: bytes, changes: Iterable[Change]) -> SharedEntry:
        """Releases `shared` and returns the anchor with `changes` applied."""
        found = self._by_past.get(digest)
        shared.holders -= 1
        if found is None:
            # Without another holder, the anchor can be changed in place.
            plain = _copy(shared.plain) if shared.holders else shared.plain
            found = SharedEntry(plain, digest)
            for server, buckets in changes:
                plain.add(server, buckets) if buckets else plain.remove(server)
        return self._hold(found)

    def _hold(self, shared: SharedEntry) -> SharedEntry:
        self._by_past[shared.digest] = shared
        shared.holders += 1
        return shared

    def __len__(self) -> int:
        return len(self._by_past)


def _next_digest(digest: bytes, change: Change) -> bytes:
    return hashlib.blake2b(digest + b"%d %d" % change, digest_size=16).digest()


def _copy(plain: PlainAnchor) -> PlainAnchor:
    """Returns a copy with tables and lists of its own.

    Their items are shared: an anchor replaces items and never changes them in place.
    """
    new = object.__new__(type(plain))
    vars(new).update((name, copy.copy(value)) for name, value in vars(plain).items())
    return new


class SharedAnchor(PlainAnchor):
    """An anchor that behaves like a plain one but shares its tables with other relays.

    Changes are recorded and applied at the next lookup. Relays that received the same lists thus agree on the
    anchors to look up, without intermediate anchors that the other relays would no longer find in the pool.
    """

    def __init__(self, servers: list[tuple[int, int]], pool: Pool) -> None:
        self._pool = pool
        self._shared = pool.get_initial(servers)
        self._past = self._shared.digest
        self._changes: dict[int, int] = {}
        self._noted: list[Change] = []

    def __del__(self) -> None:
        self._shared.holders -= 1

    def add(self, server: int, count: int) -> None:
        self._note(server, count)

    def remove(self, server: int) -> None:
        self._note(server, 0)

    def _note(self, server: int, buckets: int) -> None:
        # The digest covers single changes instead of lists, so that a relay without a lookup between two
        # lists has the same history as one that looked a key up.
        self._past = _next_digest(self._past, (server, buckets))
        self._noted.append((server, buckets))
        self._changes[server] = buckets

    @property
    def plain(self) -> PlainAnchor:
        if self._noted:
            self._shared = self._pool.get_changed(self._shared, self._past, self._noted)
            self._noted, self._changes = [], {}
        return self._shared.plain

    def lookup(self, key: int, seed: int) -> int | None:
        return self.plain.lookup(key, seed)

    @property
    def N(self) -> int:
        """The attribute `N` of the anchors of older revisions, which experiments still run."""
        return int(vars(self.plain)["N"])

    @property
    def buckets_of(self) -> "dict[int, array[int]] | _Owners":  # type: ignore[override]
        made = self._shared.plain.buckets_of
        return _Owners(made, self._changes) if self._changes else made


class _Owners:
    """The servers that own buckets once the recorded changes have been applied."""

    def __init__(self, made: "dict[int, array[int]]", changes: dict[int, int]) -> None:
        self._made, self._changes = made, changes

    def __contains__(self, server: int) -> bool:
        return bool(self._changes[server]) if server in self._changes else server in self._made

    def __iter__(self) -> Iterator[int]:
        yield from (server for server in self._made if server not in self._changes)
        yield from (server for server, buckets in self._changes.items() if buckets)


@contextmanager
def shared_anchors() -> Iterator[Pool]:
    """Makes all balancers that are created in this context share their anchors."""
    pool, plain = Pool(), choice.Anchor

    def anchor(servers: list[tuple[int, int]]) -> SharedAnchor:
        return SharedAnchor(servers, pool)

    choice.Anchor = anchor  # type: ignore[misc, assignment]
    try:
        yield pool
    finally:
        choice.Anchor = plain  # type: ignore[misc]
