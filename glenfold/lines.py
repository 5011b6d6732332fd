"""The line protocol, without I/O: first lines parsed in place, and written out again in pieces."""

from collections.abc import Sequence
from dataclasses import dataclass, field

MAX_LINE_BYTES = 4096
MAX_WAIT_MS = 60_000  # what stood before has 40 s to come up; where no class waits longer, nobody does
MAX_LOAD = 1e9  # a thousand standard cores
LINE_END = b"\r\n"

PING = b"PING"
PONG = b"PONG\r\n"
MOVE = b"MOVE\r\n"
FAILED = b"ERR\r\n"


class Malformed(Exception):
    """A first line that no client should send."""


class LineBuffer:
    """Room for one line of the greatest length, filled by `recv_into`."""

    def __init__(self) -> None:
        self.data = bytearray(MAX_LINE_BYTES)
        self.filled = 0

    def free_space(self) -> memoryview:
        return memoryview(self.data)[self.filled :]

    def mark_filled(self, count: int) -> None:
        self.filled += count

    def line_end(self) -> int | None:
        """Where the first line ends, its CRLF included; None while it is incomplete."""
        at = self.data.find(LINE_END, 0, self.filled)
        if at < 0 and self.filled == MAX_LINE_BYTES:
            raise Malformed("a line is too long")
        return at + len(LINE_END) if at >= 0 else None

    def discard(self, count: int) -> None:
        self.data[: self.filled - count] = self.data[count : self.filled]
        self.filled -= count

    def bytes_after(self, end: int) -> bytes:
        return bytes(memoryview(self.data)[end : self.filled])


@dataclass(frozen=True, slots=True)
class OpenLine:
    """A client's first line; `line` is a view of the buffer that it was received into."""

    line: memoryview
    id: bytes
    key: int
    wait_ms: int
    wait_span: tuple[int, int]  # where the figure of `d` stands
    parameters: dict[bytes, bytes] = field(default_factory=dict)

    def text(self, name: bytes) -> str:
        return self.parameters.get(name, b"").decode("ascii")

    def flag(self, name: bytes) -> bool:
        return self.parameters.get(name) == b"1"

    def number(self, name: bytes, base: int) -> int:
        return _number(self.parameters.get(name, b"0"), base)

    def load(self) -> int | None:
        """The client's estimate of its load, where it gives one that can be read."""
        load = read_load(self.parameters.get(b"h", b""))
        return None if load is None else int(load)

    def with_wait(self, wait_ms: int) -> list[memoryview]:
        """The same line with another `d`, in the pieces of a gathered write."""
        start, end = self.wait_span
        return [self.line[:start], memoryview(str(max(1, wait_ms)).encode()), self.line[end:]]


def _number(text: bytes, base: int) -> int:
    # int() alone would let signs, underscores and blanks through.
    if not text.isalnum() or len(text) > 16:
        raise Malformed("a number is not one")
    try:
        return int(text, base)
    except ValueError as error:
        raise Malformed("a number is not one") from error


def parse_open(data: bytearray, end: int, max_wait_ms: int = MAX_WAIT_MS) -> OpenLine:
    """`OPEN ID KEY NAME=VALUE,...`; names that mean nothing here go on unchanged. A connection that stood
    before has no deadline, and may say so with a wait beyond any."""
    last = end - len(LINE_END)
    view = memoryview(data)[:end]
    id_at = data.find(b" ", 0, last) + 1
    key_at = data.find(b" ", id_at, last) + 1
    parameters_at = data.find(b" ", key_at, last) + 1
    if not 0 < id_at < key_at - 1 or parameters_at == 0 or data[:id_at] != b"OPEN ":
        raise Malformed("a first line is not OPEN ID KEY FIGURES")
    if not bytes(view[:last]).isascii() or b" " in view[parameters_at:last].tobytes():
        raise Malformed("a first line has stray characters")
    parameters: dict[bytes, bytes] = {}
    wait_span = (0, 0)
    at = parameters_at
    while at < last:
        stop = data.find(b",", at, last)
        stop = last if stop < 0 else stop
        name, equals, value = bytes(view[at:stop]).partition(b"=")
        if not name or not equals or name in parameters:
            raise Malformed("a figure is not NAME=VALUE, or comes twice")
        parameters[name] = value
        if name == b"d":
            wait_span = (at + 2, stop)
        at = stop + 1
    if b"d" not in parameters or b"c" not in parameters:
        raise Malformed("a first line lacks its class or its deadline")
    key = _number(bytes(view[key_at : parameters_at - 1]), 16)
    wait_ms = _number(parameters[b"d"], 10)
    if b"at" in parameters:
        wait_ms = min(wait_ms, max_wait_ms)
    if not 0 < wait_ms <= max_wait_ms:
        raise Malformed("nobody waits for so long, or for no time")
    return OpenLine(view, bytes(view[id_at : key_at - 1]), key, wait_ms, wait_span, parameters)


def busy(wait_us: int) -> bytes:
    return b"BUSY %d\r\n" % (wait_us // 1000) if wait_us >= 1000 else b"BUSY\r\n"


def remaining_pieces(pieces: Sequence[memoryview], sent: int) -> list[memoryview]:
    """What is remaining of a gathered write that took only part of it."""
    remaining: list[memoryview] = []
    for piece in pieces:
        if sent < len(piece):
            remaining.append(piece[sent:])
        sent = max(0, sent - len(piece))
    return remaining


def read_load(text: bytes) -> float | None:
    """Microseconds of work a second. One NaN, or one figure without measure, would spoil every sum of loads
    that it enters."""
    try:
        load = float(text)
    except ValueError:
        return None
    return load if 0 <= load <= MAX_LOAD else None


class LineTracker:
    """Sees the whole lines in a stream that is passed on as it comes."""

    def __init__(self) -> None:
        self._partial = b""
        self.too_long = False

    @property
    def between_lines(self) -> bool:
        return not self._partial

    def feed(self, data: bytes) -> list[bytes]:
        *lines, self._partial = (self._partial + data).split(LINE_END)
        self.too_long = len(self._partial) >= MAX_LINE_BYTES or any(
            len(line) > MAX_LINE_BYTES - len(LINE_END) for line in lines
        )
        return lines
