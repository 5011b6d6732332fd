"""Server lists as hollow watchers hold them: one object for each distinct line and each distinct state, which
all watchers of a process share, so that thousands of them can hold lists of 10,240 servers exactly."""

import hashlib
import json
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any
from weakref import WeakValueDictionary

GONE = 0  # the stamp of a server that has been terminated
MOST_LINES = 1024  # distinct lines kept by their bytes
MOST_LINE_BYTES = 64 << 20  # of these together
MOST_RECENT_ENTRIES = 1 << 20  # of states that are kept though no watcher may be in them


class BadLine(Exception):
    """A line is not a list or a change."""


def stamp(entry: Mapping[str, Any]) -> int:
    """64 bits that tell this entry from any other one; `GONE` for one that leaves the list."""
    if entry["health"] == "terminated":
        return GONE
    text = json.dumps(entry, sort_keys=True).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest()) or 1


def digest(stamps: Iterable[int]) -> int:
    """The same for the same set of entries, whatever their order."""
    value = 0
    for each in stamps:
        value ^= each
    return value


@dataclass(frozen=True, slots=True, eq=False)
class ListLine:
    """A list or a change as it came. `stamps`: by host. `draining`: how many are terminating."""

    number: int
    revision: int
    whole: bool
    stamps: Mapping[str, int]
    draining: int


class ListState:
    """What a watcher knows at one moment; never changed."""

    __slots__ = ("__weakref__", "after", "digest", "revision", "stamps")

    def __init__(self, revision: int, stamps: dict[str, int], digest_of_stamps: int) -> None:
        self.revision = revision
        self.stamps = stamps
        self.digest = digest_of_stamps
        self.after: WeakValueDictionary[int, ListState] = WeakValueDictionary()  # by the line's number


class Lists:
    """The lines and states of one process."""

    def __init__(self) -> None:
        self._lines: dict[bytes, ListLine] = {}
        self._bytes = 0
        self._count = 0
        self._nothing = ListState(0, {}, 0)
        self._recent: deque[ListState] = deque()  # a watcher that is a few lines behind finds them here
        self._recent_entries = 0

    def line(self, text: bytes) -> ListLine:
        """Raises BadLine."""
        found = self._lines.get(text)
        if found is None:
            found = self._read(text)
            self._keep(text, found)
        return found

    def state(self, before: ListState | None, line: ListLine) -> ListState:
        """What a watcher knows after that line."""
        base = self._nothing if line.whole or before is None else before
        if line.revision < base.revision:
            return base  # a change that is older than what is known has no place to go to
        state = base.after.get(line.number)
        if state is None:
            state = _applied(base, line)
            base.after[line.number] = state
            self._keep_recent(state)
        return state

    def _keep_recent(self, state: ListState) -> None:
        self._recent.append(state)
        self._recent_entries += len(state.stamps)
        while self._recent_entries > MOST_RECENT_ENTRIES and len(self._recent) > 1:
            self._recent_entries -= len(self._recent.popleft().stamps)

    def _read(self, text: bytes) -> ListLine:
        try:
            document = json.loads(text)
            revision, whole, hosts = int(document["seq"]), bool(document["whole"]), document["hosts"]
            stamps = {entry["host"]: stamp(entry) for entry in hosts}
            draining = sum(entry["health"] == "terminating" for entry in hosts)
        except (ValueError, KeyError, TypeError) as error:
            raise BadLine(f"{text[:80]!r} is no list: {error!r}") from error
        self._count += 1
        return ListLine(self._count, revision, whole, stamps, draining)

    def _keep(self, text: bytes, line: ListLine) -> None:
        self._lines[text] = line
        self._bytes += len(text)
        while len(self._lines) > MOST_LINES or (self._bytes > MOST_LINE_BYTES and len(self._lines) > 1):
            oldest = next(iter(self._lines))
            del self._lines[oldest]
            self._bytes -= len(oldest)


def _applied(before: ListState, line: ListLine) -> ListState:
    stamps, value = dict(before.stamps), before.digest
    for host, new in line.stamps.items():
        value ^= stamps.pop(host, GONE) ^ new
        if new != GONE:
            stamps[host] = new
    return ListState(line.revision, stamps, value)
