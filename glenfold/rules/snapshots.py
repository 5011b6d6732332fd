"""Snapshots of the destination set: their format, their validation, and the schedule of their writes. No I/O.

A file has one line, `glenfold-snapshot FORMAT LENGTH CHECKSUM`, and LENGTH bytes of JSON; the checksum is the
BLAKE2b hash of the JSON. The list is in discovery's form. Times are in Unix seconds unless stated otherwise.
"""

import hashlib
import json
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from glenfold.destinations import DestinationState
from glenfold.rules.history import FORMAT as HISTORY_FORMAT
from glenfold.rules.history import Section

FORMAT = 1
MAGIC = b"glenfold-snapshot"
MAX_FIRST_LINE_BYTES = 80
ENCODER = json.JSONEncoder(separators=(",", ":"), allow_nan=False)
MAX_CLOCK_SKEW_S = 5.0  # A snapshot is accepted if the clock was set back by no more than this.


class SnapshotRefused(Exception):
    """Raised for a file that is not accepted. `reason` is one word, for logs and counters."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


class TooLarge(Exception):
    """Raised when the snapshot to be written is larger than allowed."""


@dataclass(frozen=True, slots=True)
class Owner:
    """The fleet and the name of the relay to which a snapshot belongs."""

    fleet: str
    name: str


@dataclass(frozen=True, slots=True)
class Content:
    """The content of a snapshot to be written. `heard_at` is when discovery last confirmed the state."""

    owner: Owner
    generation: int
    heard_at: float
    state: DestinationState
    history: Section | None

    def pieces(self) -> Iterator[bytes]:
        """Yields the pieces of one JSON object, with each row on a line of its own."""
        history, values = (
            self.history,
            {
                "fleet": self.owner.fleet,
                "name": self.owner.name,
                "generation": self.generation,
                "heard_at": self.heard_at,
            },
        )
        yield _dumps(values)[:-1] + b',\n"left":['
        yield from _rows((server, *how) for server, how in self.state.departed.items())
        if history is not None:
            yield b'],\n"history":{"format":%d,"built":%d,"rows":[' % (HISTORY_FORMAT, history.built)
            yield from _rows(history.rows)
            yield b"]}"
        else:
            yield b'],\n"history":null'
        yield b',\n"list":{"seq":%d,"whole":true,"hosts":[' % self.state.version
        yield from _rows(self.state.entries())
        yield b"]}}\n"


def _rows(rows: Iterable[Any]) -> Iterator[bytes]:
    comma = b"\n"
    for row in rows:
        yield comma + _dumps(row)
        comma = b",\n"


def _dumps(value: Any) -> bytes:
    return ENCODER.encode(value).encode()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot that was read. `document` and `left` are the arguments of `DestinationSet.restore`."""

    owner: Owner
    generation: int
    heard_at: float
    document: Any
    left: Any

    def has_same_content(self, other: "Snapshot") -> bool:
        """Returns whether both snapshots have the same servers and the same departed servers."""
        return bool(self.document == other.document and self.left == other.left)

    def check_age(self, now: float, max_age_s: float) -> None:
        """Raises SnapshotRefused if the snapshot is older than `max_age_s`, or from the future."""
        age_s = now - self.heard_at
        if age_s > max_age_s:
            raise SnapshotRefused(
                "too_old", f"last confirmed {age_s:.0f} s ago, over the limit of {max_age_s:.0f} s"
            )
        if age_s < -MAX_CLOCK_SKEW_S:
            raise SnapshotRefused(
                "from_the_future", f"confirmed {-age_s:.0f} s in the future: a clock was set back"
            )


def encode(content: Content, max_bytes: int) -> Iterator[bytes]:
    """Yields an empty piece for each row, and then the file's first line and body.

    The caller can yield the processor to others after each empty piece. Raises TooLarge if the file is larger
    than `max_bytes`.
    """
    pieces, size = [], MAX_FIRST_LINE_BYTES
    for piece in content.pieces():
        pieces.append(piece)
        size += len(piece)
        if size > max_bytes:
            raise TooLarge(
                f"a snapshot of {len(content.state.destinations)} servers is over {max_bytes} bytes"
            )
        yield b""
    body = b"".join(pieces)
    yield b"%s %d %d %s\n" % (MAGIC, FORMAT, len(body), _checksum(body))
    yield body


def decode(data: bytes, owner: Owner) -> Snapshot:
    """Returns the snapshot in `data`. Raises SnapshotRefused, and nothing else, for any invalid bytes."""
    line, newline, body = data.partition(b"\n")
    words = line.split(b" ")
    if not newline and (MAGIC.startswith(line) or words[0] == MAGIC):
        raise SnapshotRefused("torn", "its first line is incomplete")
    if words[0] != MAGIC:
        raise SnapshotRefused("foreign", "it does not begin with glenfold-snapshot")
    if words[1:2] != [b"%d" % FORMAT]:
        raise SnapshotRefused("format", f"its format version is {words[1:2]}, not {FORMAT}")
    if words[2:3] != [b"%d" % len(body)]:
        raise SnapshotRefused("torn", f"{len(body)} bytes follow its first line, which states {words[2:3]}")
    if words[3:] != [_checksum(body)]:
        raise SnapshotRefused("damaged", "its checksum does not match its content")
    return _read(body, owner)


def _read(body: bytes, owner: Owner) -> Snapshot:
    try:
        values = json.loads(body)
        found = Owner(str(values["fleet"]), str(values["name"]))
        snapshot = Snapshot(
            found, int(values["generation"]), float(values["heard_at"]), values["list"], values["left"]
        )
    except (KeyError, TypeError, ValueError, OverflowError, RecursionError) as error:
        raise SnapshotRefused("damaged", f"its content has not the form of a snapshot: {error!r}") from error
    if found != owner:
        raise SnapshotRefused("foreign", f"it belongs to {found.name} in {found.fleet}")
    if not math.isfinite(snapshot.heard_at):
        raise SnapshotRefused("damaged", "its heard_at is not finite")
    return snapshot


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=16).hexdigest().encode()


@dataclass(slots=True)
class WriteSchedule:
    """The schedule of snapshot writes. Times are in seconds on one clock.

    After a server has left, a snapshot is written at once, and twice: with two generations on disk, a single
    damaged file then can't bring that server back. Other changes wait until `every_s` after the start of the
    last write. An unchanged state that is still confirmed is written again every `refresh_s`, since it would
    otherwise seem old. At most half of the time is spent on writing, however slow the disk is and however
    many servers leave.
    """

    every_s: float
    refresh_s: float
    copies: int = 0  # Number of copies still to be written.
    urgent: bool = False  # A server has left, so the copies are due at once.
    started_at: float = -math.inf  # Start of the last write.
    not_before: float = -math.inf  # Earliest start of the next write.

    def changed(self, urgent: bool) -> None:
        """Schedules a write after a change, at once and twice if the change is urgent."""
        self.urgent |= urgent
        self.copies = 2 if self.urgent else 1

    def due_at(self) -> float:
        """Returns the time of the next write; infinity if none is due."""
        if not self.copies:
            return self.started_at + self.refresh_s if self.started_at > -math.inf else math.inf
        return max(self.not_before, -math.inf if self.urgent else self.started_at + self.every_s)

    def mark_urgent(self) -> None:
        """Makes the copies still to be written due at once."""
        self.urgent = self.copies > 0

    def begin(self, now: float) -> "WriteSchedule":
        """Records the start of a write, and returns the schedule before it, for `failed`.

        Changes from now on are not in the snapshot that is being written.
        """
        before = replace(self)
        self.started_at = now
        self.copies = max(0, self.copies - 1)
        self.urgent = self.urgent and self.copies > 0
        return before

    def ended(self, now: float) -> None:
        """Records the end of a write."""
        self.not_before = 2 * now - self.started_at

    def skipped(self, now: float) -> None:
        """Records that a refresh was skipped, because discovery has not confirmed the state since."""
        self.started_at = now

    def failed(self, now: float, before: "WriteSchedule") -> None:
        """Records a failed write: all copies of the state `before` it are still to be written."""
        self.urgent |= before.urgent
        self.copies = max(self.copies, before.copies, 1)
        self.not_before = max(now + self.every_s, 2 * now - self.started_at)
