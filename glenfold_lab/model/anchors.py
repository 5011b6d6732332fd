"""One map for all relays that hold the same: a thousand of them, each with a map of its own, fill 20 GB.

An anchor depends on the list that it was built from and on each change since, in their order: relays with the
same past share one plain `Anchor`, and one whose past differs gets a copy. A plain one does all the work, so
the decisions are the same bit for bit.
"""

import copy
import hashlib
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from weakref import WeakValueDictionary

from linnetspread import choice

Change = tuple[int, int]  # server, and its buckets; 0: it is removed

PlainAnchor = (
    choice.Anchor
)  # that of this program: the name in `choice` is another's for the time of a history


class SharedEntry:
    """One plain anchor, the past that made it, and by how many it is held."""

    __slots__ = ("plain", "digest", "holders", "__weakref__")

    def __init__(self, plain: PlainAnchor, past: bytes) -> None:
        self.plain, self.digest, self.holders = plain, past, 0


class Pool:
    """The anchors of one history, by their past; those that nobody holds are gone."""

    def __init__(self) -> None:
        self._by_past: WeakValueDictionary[bytes, SharedEntry] = WeakValueDictionary()

    def get_initial(self, servers: list[tuple[int, int]]) -> SharedEntry:
        past = hashlib.blake2b(repr(servers).encode(), digest_size=16).digest()
        found = self._by_past.get(past)
        return self._hold(found or SharedEntry(PlainAnchor(servers), past))

    def get_changed(self, shared: SharedEntry, past: bytes, changes: Iterable[Change]) -> SharedEntry:
        """The anchor with these changes; `shared` is let go."""
        found = self._by_past.get(past)
        shared.holders -= 1
        if found is None:
            # Nobody else's, it may be changed where it stands.
            plain = _copy(shared.plain) if shared.holders else shared.plain
            found = SharedEntry(plain, past)
            for server, buckets in changes:
                plain.add(server, buckets) if buckets else plain.remove(server)
        return self._hold(found)

    def _hold(self, shared: SharedEntry) -> SharedEntry:
        self._by_past[shared.digest] = shared
        shared.holders += 1
        return shared

    def __len__(self) -> int:
        return len(self._by_past)


def _next_digest(past: bytes, change: Change) -> bytes:
    return hashlib.blake2b(past + b"%d %d" % change, digest_size=16).digest()


def _copy(plain: PlainAnchor) -> PlainAnchor:
    """Tables and lists are copied; what is inside them is replaced by an anchor, never changed."""
    new = object.__new__(type(plain))
    vars(new).update((name, copy.copy(value)) for name, value in vars(plain).items())
    return new


class SharedAnchor(PlainAnchor):
    """Behaves as a plain anchor of its own. Changes are only noted, and made when a key is looked up: so
    relays that heard the same list need no steps between, which none of the others would find any more."""

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
        # One by one, not list by list: who looked nothing up between two lists has the same past.
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
        """Of an anchor of older revisions, which experiments still play."""
        return int(vars(self.plain)["N"])

    @property
    def buckets_of(self) -> "dict[int, list[int]] | _Owners":  # type: ignore[override]
        made = self._shared.plain.buckets_of
        return _Owners(made, self._changes) if self._changes else made


class _Owners:
    """The servers that own buckets, as they will be once the noted changes are made."""

    def __init__(self, made: dict[int, list[int]], changes: dict[int, int]) -> None:
        self._made, self._changes = made, changes

    def __contains__(self, server: int) -> bool:
        return bool(self._changes[server]) if server in self._changes else server in self._made

    def __iter__(self) -> Iterator[int]:
        yield from (server for server in self._made if server not in self._changes)
        yield from (server for server, buckets in self._changes.items() if buckets)


@contextmanager
def shared_anchors() -> Iterator[Pool]:
    """Within it, balancers that are made share their anchors."""
    pool, plain = Pool(), choice.Anchor

    def anchor(servers: list[tuple[int, int]]) -> SharedAnchor:
        return SharedAnchor(servers, pool)

    choice.Anchor = anchor  # type: ignore[misc, assignment]
    try:
        yield pool
    finally:
        choice.Anchor = plain  # type: ignore[misc]
