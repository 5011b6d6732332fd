"""The line protocol, without I/O: first lines are parsed in place and forwarded in pieces."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_LINE_BYTES = 4096
# Longest wait of a first line, unless a class has a longer deadline. A connection that was established before
# has 40 s to come up.
MAX_WAIT_MS = 60_000
MAX_LOAD_US_PER_S = 1e9  # microseconds of work a second, as of a thousand standard cores
LINE_END = b"\r\n"
# The parameters of a first line that the relay uses; all others are only forwarded.
USED_PARAMETERS = frozenset((b"c", b"t", b"d", b"g", b"h", b"r", b"again", b"mid", b"at"))

PING = b"PING"
PONG = b"PONG\r\n"
MOVE = b"MOVE\r\n"
# The first words of a push server's lines that say something of its connection.
BYE_WORD, MOVE_WORD, LOAD_WORD = b"BYE", b"MOVE", b"LOAD"
FAILED = b"ERR\r\n"


class Malformed(Exception):
    """Raised when a line breaks the protocol."""


class LineBuffer:
    """A buffer for one line of up to MAX_LINE_BYTES, to be filled by `recv_into`."""

    def __init__(self) -> None:
        self.data = bytearray(MAX_LINE_BYTES)
        self.filled = 0

    def free_space(self) -> memoryview:
        """Returns the part of the buffer that is not filled yet."""
        return memoryview(self.data)[self.filled :]

    def mark_filled(self, count: int) -> None:
        """Counts bytes that were written to the free space as received."""
        self.filled += count

    def line_end(self) -> int | None:
        """Returns the length of the first line with its CRLF; None while it is incomplete.

        Raises Malformed if the buffer is full and holds no complete line.
        """
        at = self.data.find(LINE_END, 0, self.filled)
        if at < 0 and self.filled == MAX_LINE_BYTES:
            raise Malformed("a line is too long")
        return at + len(LINE_END) if at >= 0 else None

    def discard(self, count: int) -> None:
        """Removes bytes from the start of the buffer."""
        self.data[: self.filled - count] = self.data[count : self.filled]
        self.filled -= count

    def bytes_after(self, end: int) -> bytes:
        """Returns a copy of the received bytes from position `end` on."""
        return bytes(memoryview(self.data)[end : self.filled])


@dataclass(frozen=True, slots=True)
class OpenLine:
    """A client's first line.

    `line` is a view of the buffer that received it, and `wait_span` the position of the value of `d` in it.
    `parameters` has those that the relay uses: a line has room for a thousand others, which as objects would
    take many times the memory of the line for as long as the connection stands.
    """

    line: memoryview
    id: bytes
    key: int
    wait_ms: int
    wait_span: tuple[int, int]
    parameters: dict[bytes, bytes] = field(default_factory=dict)

    def text(self, name: bytes) -> str:
        """Returns the value of a parameter; an empty text if it is missing."""
        return self.parameters.get(name, b"").decode("ascii")

    def flag(self, name: bytes) -> bool:
        """Whether a parameter has the value 1."""
        return self.parameters.get(name) == b"1"

    def number(self, name: bytes, base: int) -> int:
        """Returns the value of a parameter as a number, 0 if it is missing. Raises Malformed."""
        return _number(self.parameters.get(name, b"0"), base)

    def identity(self) -> int:
        """Returns a hash of the id, of 64 bits and not 0."""
        return int.from_bytes(hashlib.blake2b(self.id, digest_size=8).digest()) | 1

    def load(self) -> int | None:
        """Returns the client's estimate of its load; None if it gives none that is valid."""
        load = parse_load(self.parameters.get(b"h", b""))
        return None if load is None else int(load)

    def with_wait(self, wait_ms: int) -> list[memoryview]:
        """Returns the same line with another value of `d`, as the pieces of a gathered write."""
        start, end = self.wait_span
        return [self.line[:start], memoryview(str(max(1, wait_ms)).encode()), self.line[end:]]


def _number(text: bytes, base: int) -> int:
    # int() alone would accept signs, underscores and blanks.
    if not text.isalnum() or len(text) > 16:
        raise Malformed("a number has characters other than digits, or more than 16 of them")
    try:
        return int(text, base)
    except ValueError as error:
        raise Malformed("a number has characters other than digits, or more than 16 of them") from error


def parse_open(data: bytearray, end: int, max_wait_ms: int = MAX_WAIT_MS) -> OpenLine:
    """Parses a first line of the form `OPEN ID KEY NAME=VALUE,...`. Raises Malformed.

    Parameters that the relay does not know are forwarded unchanged. A connection that was established before
    has no deadline and may give any wait, which is cut to `max_wait_ms`.
    """
    last = end - len(LINE_END)
    view = memoryview(data)[:end]
    id_at = data.find(b" ", 0, last) + 1
    key_at = data.find(b" ", id_at, last) + 1
    parameters_at = data.find(b" ", key_at, last) + 1
    if not 0 < id_at < key_at - 1 or parameters_at == 0 or data[:id_at] != b"OPEN ":
        raise Malformed("a first line is not of the form OPEN ID KEY NAME=VALUE,...")
    if not bytes(view[:last]).isascii() or b" " in view[parameters_at:last].tobytes():
        raise Malformed("a first line has characters other than ASCII, or a blank in its parameters")
    parameters, wait_span = _read_parameters(bytes(view[parameters_at:last]), parameters_at)
    if b"d" not in parameters or b"c" not in parameters:
        raise Malformed("a first line lacks its class (c) or its deadline (d)")
    key = _number(bytes(view[key_at : parameters_at - 1]), 16)
    wait_ms = _number(parameters[b"d"], 10)
    if b"at" in parameters:
        wait_ms = min(wait_ms, max_wait_ms)
    if not 0 < wait_ms <= max_wait_ms:
        raise Malformed("the deadline (d) is 0 or longer than any class allows")
    return OpenLine(view, bytes(view[id_at : key_at - 1]), key, wait_ms, wait_span, parameters)


def _read_parameters(text: bytes, at: int) -> tuple[dict[bytes, bytes], tuple[int, int]]:
    """Returns the parameters that the relay uses, and the position of the value of `d`. Raises Malformed.

    `at` is the position of `text` in the line.
    """
    parameters: dict[bytes, bytes] = {}
    wait_span = (0, 0)
    names = set[bytes]()
    fields = text.removesuffix(b",").split(b",") if text else []
    for field_text in fields:
        name, equals, value = field_text.partition(b"=")
        if not name or not equals or name in names:
            raise Malformed("a parameter is not NAME=VALUE, or is given twice")
        names.add(name)
        if name in USED_PARAMETERS:
            parameters[name] = value
        if name == b"d":
            wait_span = at + 2, at + len(field_text)
        at += len(field_text) + 1
    return parameters, wait_span


class Reports(NamedTuple):
    """What a push server's lines say of its connection.

    `last_word` is BYE or MOVE, `load` the last load that was reported; each is None if no line tells it.
    """

    last_word: bytes | None
    load: float | None


NO_REPORTS = Reports(None, None)


def read_reports(data: bytes) -> Reports:
    """Returns what whole lines of a push server say of its connection.

    Lines are looked at one by one only if one of the words is among them.
    """
    if not any(word in data for word in (BYE_WORD, MOVE_WORD, LOAD_WORD)):
        return NO_REPORTS
    last_word, last_load = None, None
    for line in data.split(LINE_END):
        word, _, rest = line.partition(b" ")
        if word in (BYE_WORD, MOVE_WORD):
            last_word = word
        # A line whose rest is no load is passed on like any other.
        elif word == LOAD_WORD and (load := parse_load(rest)) is not None:
            last_load = load
    return Reports(last_word, last_load)


def busy_line(wait_us: int) -> bytes:
    """Returns a BUSY line with the wait in milliseconds, which is left out if it is below 1 ms."""
    return b"BUSY %d\r\n" % (wait_us // 1000) if wait_us >= 1000 else b"BUSY\r\n"


def remaining_pieces(pieces: Sequence[memoryview], sent: int) -> list[memoryview]:
    """Returns the pieces that are still to be sent after a gathered write sent only `sent` bytes."""
    remaining: list[memoryview] = []
    for piece in pieces:
        if sent < len(piece):
            remaining.append(piece[sent:])
        sent = max(0, sent - len(piece))
    return remaining


def parse_load(text: bytes) -> float | None:
    """Returns a load in microseconds of work a second; None if it is not between 0 and the maximum.

    A single NaN or an excessive value would spoil every sum of loads that includes it.
    """
    try:
        load = float(text)
    except ValueError:
        return None
    return load if 0 <= load <= MAX_LOAD_US_PER_S else None


def whole_lines(data: bytes) -> bytes:
    """Returns `data` up to its last line end, which is included; nothing if it has none."""
    at = data.rfind(LINE_END)
    return data[: at + len(LINE_END)] if at >= 0 else b""


def has_overlong_line(data: bytes) -> bool:
    """Whether one of these whole lines has more than MAX_LINE_BYTES.

    Takes one step for each 4 KiB and not for each line, as lines may have two bytes.
    """
    start = 0
    while len(data) - start > MAX_LINE_BYTES:
        at = data.rfind(LINE_END, start, start + MAX_LINE_BYTES)
        if at < 0:
            return True
        start = at + len(LINE_END)
    return False


class LineTracker:
    """Splits a stream into lines; `partial` is the beginning of the line that is not complete yet."""

    def __init__(self) -> None:
        self.partial = b""
        self.too_long = False

    @property
    def between_lines(self) -> bool:
        """Whether the last line is complete."""
        return not self.partial

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that `data` completes, without CRLF. Sets `too_long` after an overlong line."""
        *lines, self.partial = (self.partial + data).split(LINE_END)
        self.too_long = len(self.partial) >= MAX_LINE_BYTES or any(
            len(line) > MAX_LINE_BYTES - len(LINE_END) for line in lines
        )
        return lines

    def complete(self, data: bytes) -> bytes:
        """Returns the bytes of the lines that `data` completes. Sets `too_long` as `feed` does.

        The cost is that of the bytes, however many lines they make.
        """
        stream = self.partial + data if self.partial else data
        completed = whole_lines(stream)
        self.partial = stream[len(completed) :]
        self.too_long = len(self.partial) >= MAX_LINE_BYTES or has_overlong_line(completed)
        return completed
