"""The line protocol, without I/O: first lines parsed in place, and written out again in pieces."""

from collections.abc import Sequence
from dataclasses import dataclass, field

MAX_LINE = 4096
MOST_WAIT_MS = 60_000  # what stood before has 40 s to come up; where no class waits longer, nobody does
MOST_LOAD = 1e9  # a thousand standard cores
END = b"\r\n"

PING = b"PING"
PONG = b"PONG\r\n"
MOVE = b"MOVE\r\n"
FAILED = b"ERR\r\n"


class Malformed(Exception):
    """A first line that no client should send."""


class LineBuffer:
    """Room for one line of the greatest length, filled by `recv_into`."""

    def __init__(self) -> None:
        self.data = bytearray(MAX_LINE)
        self.filled = 0

    def room(self) -> memoryview:
        return memoryview(self.data)[self.filled :]

    def wrote(self, count: int) -> None:
        self.filled += count

    def line_end(self) -> int | None:
        """Where the first line ends, its CRLF included; None while it is incomplete."""
        at = self.data.find(END, 0, self.filled)
        if at < 0 and self.filled == MAX_LINE:
            raise Malformed("a line is too long")
        return at + len(END) if at >= 0 else None

    def drop(self, count: int) -> None:
        self.data[: self.filled - count] = self.data[count : self.filled]
        self.filled -= count

    def after(self, end: int) -> bytes:
        return bytes(memoryview(self.data)[end : self.filled])


@dataclass(frozen=True, slots=True)
class OpenLine:
    """A client's first line; `line` is a view of the buffer that it was received into."""

    line: memoryview
    id: bytes
    key: int
    wait_ms: int
    wait_at: tuple[int, int]  # where the figure of `d` stands
    figures: dict[bytes, bytes] = field(default_factory=dict)

    def text(self, name: bytes) -> str:
        return self.figures.get(name, b"").decode("ascii")

    def flag(self, name: bytes) -> bool:
        return self.figures.get(name) == b"1"

    def number(self, name: bytes, base: int) -> int:
        return _number(self.figures.get(name, b"0"), base)

    def load(self) -> int | None:
        """The client's estimate of its load, where it gives one that can be read."""
        load = read_load(self.figures.get(b"h", b""))
        return None if load is None else int(load)

    def with_wait(self, wait_ms: int) -> list[memoryview]:
        """The same line with another `d`, in the pieces of a gathered write."""
        start, end = self.wait_at
        return [self.line[:start], memoryview(str(max(1, wait_ms)).encode()), self.line[end:]]


def _number(text: bytes, base: int) -> int:
    # int() alone would let signs, underscores and blanks through.
    if not text.isalnum() or len(text) > 16:
        raise Malformed("a number is not one")
    try:
        return int(text, base)
    except ValueError as error:
        raise Malformed("a number is not one") from error


def parse_open(data: bytearray, end: int, most_wait_ms: int = MOST_WAIT_MS) -> OpenLine:
    """`OPEN ID KEY NAME=VALUE,...`; names that mean nothing here go on unchanged. A connection that stood
    before has no deadline, and may say so with a wait beyond any."""
    last = end - len(END)
    view = memoryview(data)[:end]
    id_at = data.find(b" ", 0, last) + 1
    key_at = data.find(b" ", id_at, last) + 1
    figures_at = data.find(b" ", key_at, last) + 1
    if not 0 < id_at < key_at - 1 or figures_at == 0 or data[:id_at] != b"OPEN ":
        raise Malformed("a first line is not OPEN ID KEY FIGURES")
    if not bytes(view[:last]).isascii() or b" " in view[figures_at:last].tobytes():
        raise Malformed("a first line has stray characters")
    figures: dict[bytes, bytes] = {}
    wait_at = (0, 0)
    at = figures_at
    while at < last:
        stop = data.find(b",", at, last)
        stop = last if stop < 0 else stop
        name, equals, value = bytes(view[at:stop]).partition(b"=")
        if not name or not equals or name in figures:
            raise Malformed("a figure is not NAME=VALUE, or comes twice")
        figures[name] = value
        if name == b"d":
            wait_at = (at + 2, stop)
        at = stop + 1
    if b"d" not in figures or b"c" not in figures:
        raise Malformed("a first line lacks its class or its deadline")
    key = _number(bytes(view[key_at : figures_at - 1]), 16)
    wait_ms = _number(figures[b"d"], 10)
    if b"at" in figures:
        wait_ms = min(wait_ms, most_wait_ms)
    if not 0 < wait_ms <= most_wait_ms:
        raise Malformed("nobody waits for so long, or for no time")
    return OpenLine(view, bytes(view[id_at : key_at - 1]), key, wait_ms, wait_at, figures)


def busy(wait_us: int) -> bytes:
    return b"BUSY %d\r\n" % (wait_us // 1000) if wait_us >= 1000 else b"BUSY\r\n"


def unsent(pieces: Sequence[memoryview], sent: int) -> list[memoryview]:
    """What is left of a gathered write that took only part of it."""
    left: list[memoryview] = []
    for piece in pieces:
        if sent < len(piece):
            left.append(piece[sent:])
        sent = max(0, sent - len(piece))
    return left


def read_load(text: bytes) -> float | None:
    """Microseconds of work a second. One NaN, or one figure without measure, would spoil every sum of loads
    that it enters."""
    try:
        load = float(text)
    except ValueError:
        return None
    return load if 0 <= load <= MOST_LOAD else None


class LineTracker:
    """Sees the whole lines in a stream that is passed on as it comes."""

    def __init__(self) -> None:
        self._part = b""
        self.too_long = False

    @property
    def between_lines(self) -> bool:
        return not self._part

    def feed(self, data: bytes) -> list[bytes]:
        *lines, self._part = (self._part + data).split(END)
        self.too_long = len(self._part) >= MAX_LINE or any(len(line) > MAX_LINE - len(END) for line in lines)
        return lines
