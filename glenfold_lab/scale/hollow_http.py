"""The answers of discovery as hollow watchers read them: HTTP/1.1 heads, bodies by length or in chunks.
No I/O.

Thousands of watchers get the same bytes: a reader that stands between two chunks looks them up in a table of
what was read before (`ChunkTable`) and parses only what is new.
"""

from dataclasses import dataclass

END_OF_LINE = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"
LONGEST_HEAD = 16 << 10
LONGEST_SIZE_LINE = 64
MOST_PARSED = 512
LONGEST_PARSED = 256 << 10


class BadAnswer(Exception):
    """The bytes are not an HTTP answer that discovery gives."""


@dataclass(frozen=True, slots=True)
class Head:
    """`fields`: by name in lower case."""

    status: int
    fields: dict[str, str]


class ChunkTable:
    """Runs of whole chunks that ended a line, and their bodies."""

    def __init__(self) -> None:
        self._bodies: dict[bytes, bytes] = {}

    def get(self, data: bytes) -> bytes | None:
        return self._bodies.get(data)

    def keep(self, data: bytes, body: bytes) -> None:
        if len(data) > LONGEST_PARSED:
            return
        if len(self._bodies) >= MOST_PARSED:
            del self._bodies[next(iter(self._bodies))]
        self._bodies[data] = body


class AnswerReader:
    """One answer. `head`: once it is there; `ended`: with the whole body."""

    def __init__(self, chunks: ChunkTable) -> None:
        self.head: Head | None = None
        self.ended = False
        self._chunks = chunks
        self._raw = bytearray()
        self._chunked = False
        self._left = 0  # of the body or of the present chunk, with the end of line that closes a chunk

    def feed(self, data: bytes) -> bytes:
        """What these bytes add to the body. Raises BadAnswer."""
        between = self._chunked and not self._raw and not self._left
        if between and (known := self._chunks.get(data)) is not None:
            return known
        self._raw += data
        if self.head is None and not self._read_head():
            return b""
        body = self._read_chunks() if self._chunked else self._read_plain()
        if between and not self._raw and not self._left and not self.ended:
            self._chunks.keep(data, body)
        return body

    def _read_head(self) -> bool:
        end = self._raw.find(END_OF_HEAD)
        if end < 0:
            if len(self._raw) > LONGEST_HEAD:
                raise BadAnswer("a head is too long")
            return False
        first, *lines = bytes(self._raw[:end]).decode("latin-1").split("\r\n")
        del self._raw[: end + len(END_OF_HEAD)]
        try:
            status = int(first.split(" ")[1])
            fields = {name.strip().lower(): value.strip() for name, _, value in map(_parted, lines)}
            self._left = int(fields.get("content-length", "0"))
        except (IndexError, ValueError) as error:
            raise BadAnswer(f"a head begins with {first!r}") from error
        self._chunked = fields.get("transfer-encoding", "").lower() == "chunked"
        self.head = Head(status, fields)
        return True

    def _read_plain(self) -> bytes:
        body = bytes(self._raw[: self._left])
        del self._raw[: self._left]
        self._left -= len(body)
        self.ended = not self._left
        return body

    def _read_chunks(self) -> bytes:
        body = bytearray()
        while self._raw and not self.ended:
            if self._left:
                part = self._raw[: self._left]
                # The last two bytes of a chunk are its end of line, not body.
                body += part[: max(0, self._left - len(END_OF_LINE))]
                self._left -= len(part)
                del self._raw[: len(part)]
            elif not self._begin_chunk():
                break
        return bytes(body)

    def _begin_chunk(self) -> bool:
        end = self._raw.find(END_OF_LINE)
        if end < 0:
            if len(self._raw) > LONGEST_SIZE_LINE:
                raise BadAnswer("a chunk has no size")
            return False
        try:
            size = int(bytes(self._raw[:end]).split(b";")[0], 16)
        except ValueError as error:
            raise BadAnswer(f"a chunk's size is {bytes(self._raw[:end])!r}") from error
        del self._raw[: end + len(END_OF_LINE)]
        self.ended = size == 0
        self._left = 0 if self.ended else size + len(END_OF_LINE)
        return True


def _parted(line: str) -> tuple[str, str, str]:
    return line.partition(":")
