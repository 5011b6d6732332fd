"""Snapshots of the destination set: their form, when one is refused, and when the next is due. No I/O.

A file is one line, `glenfold-snapshot FORMAT LENGTH CHECKSUM`, and LENGTH bytes of JSON, whose BLAKE2b the
checksum is. Its list is in discovery's form. Unless said otherwise, moments are Unix seconds.
"""

import hashlib
import json
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from glenfold.destinations import State
from glenfold.rules.history import FORMAT as HISTORY_FORMAT
from glenfold.rules.history import Section

FORMAT = 1
MAGIC = b"glenfold-snapshot"
MAX_FIRST_LINE_BYTES = 80  # bytes at the most
ENCODER = json.JSONEncoder(separators=(",", ":"), allow_nan=False)
MAX_CLOCK_SKEW_S = 5.0  # that a clock may have been set back by


class SnapshotRefused(Exception):
    """A file that is not taken. `reason` is one word, for logs and counts."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


class TooLarge(Exception):
    """What is to be written is over the bound."""


@dataclass(frozen=True, slots=True)
class Owner:
    """Whose snapshot it is."""

    fleet: str
    name: str


@dataclass(frozen=True, slots=True)
class Content:
    """What is to be written. `heard_at`: when discovery last said that this holds."""

    owner: Owner
    generation: int
    heard_at: float
    state: State
    history: Section | None

    def pieces(self) -> Iterator[bytes]:
        """One JSON object, a row a line."""
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
        yield from _rows((server, *how) for server, how in self.state.left.items())
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
    """What was read. `document` and `left` are for `DestinationSet.restore`."""

    owner: Owner
    generation: int
    heard_at: float
    document: Any
    left: Any

    def has_same_content(self, other: "Snapshot") -> bool:
        """Of the servers, and of who left."""
        return bool(self.document == other.document and self.left == other.left)

    def check_age(self, now: float, max_age_s: float) -> None:
        """Raises Refused."""
        age_s = now - self.heard_at
        if age_s > max_age_s:
            raise SnapshotRefused("too_old", f"last heard of {age_s:.0f} s ago, over {max_age_s:.0f} s")
        if age_s < -MAX_CLOCK_SKEW_S:
            raise SnapshotRefused(
                "from_the_future", f"heard of {-age_s:.0f} s from now: a clock was set back"
            )


def encode(content: Content, max_bytes: int) -> Iterator[bytes]:
    """The file's first line and body, and before them an empty piece for each row: whoever writes it can let
    others have the processor in between. Raises TooLarge over `most` bytes."""
    pieces, size = [], MAX_FIRST_LINE_BYTES
    for piece in content.pieces():
        pieces.append(piece)
        size += len(piece)
        if size > max_bytes:
            raise TooLarge(f"a snapshot of {len(content.state.known)} servers is over {max_bytes} bytes")
        yield b""
    body = b"".join(pieces)
    yield b"%s %d %d %s\n" % (MAGIC, FORMAT, len(body), _checksum(body))
    yield body


def decode(data: bytes, owner: Owner) -> Snapshot:
    """Raises Refused, whatever the bytes are."""
    line, newline, body = data.partition(b"\n")
    words = line.split(b" ")
    if not newline and (MAGIC.startswith(line) or words[0] == MAGIC):
        raise SnapshotRefused("torn", "its first line is not whole")
    if words[0] != MAGIC:
        raise SnapshotRefused("foreign", "it does not begin as a snapshot does")
    if words[1:2] != [b"%d" % FORMAT]:
        raise SnapshotRefused("format", f"its format is {words[1:2]}, not {FORMAT}")
    if words[2:3] != [b"%d" % len(body)]:
        raise SnapshotRefused("torn", f"{len(body)} bytes follow its first line, not {words[2:3]}")
    if words[3:] != [_checksum(body)]:
        raise SnapshotRefused("damaged", "its checksum is another")
    return _read(body, owner)


def _read(body: bytes, owner: Owner) -> Snapshot:
    try:
        values = json.loads(body)
        found = Owner(str(values["fleet"]), str(values["name"]))
        snapshot = Snapshot(
            found, int(values["generation"]), float(values["heard_at"]), values["list"], values["left"]
        )
    except (KeyError, TypeError, ValueError, OverflowError, RecursionError) as error:
        raise SnapshotRefused("damaged", f"not what a snapshot says: {error!r}") from error
    if found != owner:
        raise SnapshotRefused("foreign", f"it is that of {found.name} in {found.fleet}")
    if not math.isfinite(snapshot.heard_at):
        raise SnapshotRefused("damaged", "the moment it was heard is not finite")
    return snapshot


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=16).hexdigest().encode()


@dataclass(slots=True)
class WriteSchedule:
    """When the next snapshot is due. Moments are on one clock, in seconds.

    After a server has left, a snapshot is written at once and twice: as there are two generations, one
    damaged file alone can't bring that server back then. All else waits until `every_s` after the last write
    began. What still holds is written again each `refresh_s`, or it would seem old. At most half of the time
    goes into writing, however slow the disk is and however many servers leave."""

    every_s: float
    refresh_s: float
    copies: int = 0  # to be written
    urgent: bool = False  # since a server left
    started_at: float = -math.inf  # the last write
    not_before: float = -math.inf

    def changed(self, urgent: bool) -> None:
        self.urgent |= urgent
        self.copies = 2 if self.urgent else 1

    def due_at(self) -> float:
        if not self.copies:
            return self.started_at + self.refresh_s if self.started_at > -math.inf else math.inf
        return max(self.not_before, -math.inf if self.urgent else self.started_at + self.every_s)

    def mark_urgent(self) -> None:
        """What is to be written is due."""
        self.urgent = self.copies > 0

    def begin(self, now: float) -> "WriteSchedule":
        """What changes from now on is not in the snapshot written now. Returns what `failed` wants."""
        before = replace(self)
        self.started_at = now
        self.copies = max(0, self.copies - 1)
        self.urgent = self.urgent and self.copies > 0
        return before

    def ended(self, now: float) -> None:
        self.not_before = 2 * now - self.started_at

    def skipped(self, now: float) -> None:
        """What is written can't be refreshed, as nothing was heard since."""
        self.started_at = now

    def failed(self, now: float, before: "WriteSchedule") -> None:
        """All that was to be written still is."""
        self.urgent |= before.urgent
        self.copies = max(self.copies, before.copies, 1)
        self.not_before = max(now + self.every_s, 2 * now - self.started_at)
