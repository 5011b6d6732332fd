"""The durable, append-only file of an experiment's results.

    glenfold-experiment 1
    0000012c 9f3b7a10 {"name": ...}       the header, which identifies the experiment
    00004e7b 01d2c3b4 {"cell": 3, ...}    one line for each cell played, in the order of completion

Each line starts with the length and the CRC-32 of its JSON, in hexadecimal, and is on the disk before the
next is written; so a kill or a power loss can tear only the last line. A cell may occur twice: the last line
counts.
"""

import fcntl
import os
import re
import tempfile
import zlib
from collections.abc import Iterator
from mmap import ACCESS_READ, mmap
from pathlib import Path
from typing import Any, BinaryIO, NamedTuple, TypeVar, cast

import msgspec

from glenfold.toml_file import BadFile
from glenfold_lab.results import RunResult

MAGIC = b"glenfold-experiment 1\n"
PREFIX = re.compile(rb"([0-9a-f]{8}) ([0-9a-f]{8}) ")
PREFIX_BYTES = 18

T = TypeVar("T")


class Header(msgspec.Struct, frozen=True):
    """The experiment that a file belongs to. `identity` has to be equal for results to be in one file."""

    name: str
    asks: str
    cells: int
    identity: dict[str, Any]


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of one cell: the result, or the error with which the cell failed."""

    cell: int
    result: RunResult | None = None
    failed: str | None = None


class Figures(msgspec.Struct, frozen=True):
    """The part of a result that is compared; much faster to decode than the full result."""

    revision: str
    figures: dict[str, float]


class Short(msgspec.Struct, frozen=True):
    """An outcome without the series of the result."""

    cell: int
    result: Figures | None = None
    failed: str | None = None


class RecordLocation(NamedTuple):
    """The position and the size of a record's JSON in the file, in bytes."""

    offset: int
    size: int


class Store:
    """An open file of results. `torn_bytes` is the size of a torn last line, which holds no result."""

    def __init__(self, path: str, file: BinaryIO, header: Header) -> None:
        self.path, self.header, self._file = path, header, file
        self.locations: dict[int, RecordLocation] = {}
        self.torn_bytes = 0

    def add(self, record: bytes) -> None:
        """Appends an Outcome, one line of JSON, and returns once it is on the disk. Raises BadFile."""
        summary: Short = msgspec.json.decode(record, type=Short)
        try:
            offset = self._file.seek(0, os.SEEK_END)
            self._file.write(_encode_line(record))
            self._file.flush()
            os.fdatasync(self._file.fileno())
        except OSError as error:
            raise BadFile(self.path, f"can't be written: {error.strerror}") from error
        self.locations[summary.cell] = RecordLocation(offset + PREFIX_BYTES, len(record))

    def read(self, cell: int, kind: type[T]) -> T:
        """Returns a cell's Outcome or Short. Raises KeyError if the cell has none yet."""
        offset, size = self.locations[cell]
        return msgspec.json.decode(os.pread(self._file.fileno(), size, offset), type=kind)

    def outcomes(self, kind: type[T]) -> Iterator[T]:
        """Yields the outcomes in the order of the cells, whatever the order in which they were played."""
        for cell in sorted(self.locations):
            yield self.read(cell, kind)

    def close(self) -> None:
        self._file.close()


def open_read_only(path: str) -> Store:
    """Opens a file of results for reading; ignores a torn last line. Raises BadFile."""
    return _scan_lines(path, _open(path, "rb"))


def go_on(path: str, header: Header) -> Store:
    """Opens a file of results for appending, or creates it, and locks it until it is closed.

    Raises BadFile, and leaves the file unchanged, if it is not a file of results, is damaged before the last
    line, is in use, or holds another experiment's results.
    """
    if not Path(path).exists():
        _create(path, header)
    file = _open(path, "r+b")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        file.close()
        raise BadFile(path, "another experiment is writing to this file") from error
    store = _scan_lines(path, file)
    _check_identity(store, header)
    if store.torn_bytes:
        file.truncate(os.fstat(file.fileno()).st_size - store.torn_bytes)
        os.fsync(file.fileno())
    return store


def _open(path: str, mode: str) -> BinaryIO:
    try:
        return cast(BinaryIO, Path(path).open(mode))
    except OSError as error:
        raise BadFile(path, f"can't be opened: {error.strerror}") from error


def _create(path: str, header: Header) -> None:
    """Creates the file completely or not at all, and never replaces one that another process has created."""
    folder = Path(path).parent
    try:
        with tempfile.NamedTemporaryFile(dir=folder, prefix=".results-") as file:
            file.write(MAGIC + _encode_line(msgspec.json.encode(header)))
            file.flush()
            os.fchmod(file.fileno(), 0o644)
            os.fsync(file.fileno())
            os.link(file.name, path)
        sync_folder(folder)
    except FileExistsError:
        pass
    except OSError as error:
        raise BadFile(path, f"can't be written: {error.strerror}") from error


def sync_folder(folder: Path) -> None:
    """Flushes the entries of `folder` to the disk, so that a new file name survives a power loss."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _check_identity(store: Store, wanted: Header) -> None:
    found = store.header
    for part, value in wanted.identity.items():
        if found.identity.get(part) != value:
            store.close()
            raise BadFile(
                store.path,
                f"holds results of {found.name!r}, of which these differ: {part}; "
                "name another file, or remove this one",
            )


# ---- lines -------------------------------------------------------------------------------------


def _encode_line(record: bytes) -> bytes:
    return b"%08x %08x %b\n" % (len(record), zlib.crc32(record), record)


def _read_record(data: mmap, offset: int) -> bytes | None:
    """Returns the complete and valid record that starts at `offset`, or None."""
    prefix = PREFIX.match(data, offset)
    if prefix is None:
        return None
    size, checksum = (int(part, 16) for part in prefix.groups())
    record = data[offset + PREFIX_BYTES : offset + PREFIX_BYTES + size]
    is_valid = (
        zlib.crc32(record) == checksum
        and data[offset + PREFIX_BYTES + size : offset + PREFIX_BYTES + size + 1] == b"\n"
    )
    return record if is_valid else None


def _scan_lines(path: str, file: BinaryIO) -> Store:
    try:
        if not os.fstat(file.fileno()).st_size:
            raise BadFile(path, "is empty: not a file of an experiment's results")
        with mmap(file.fileno(), 0, access=ACCESS_READ) as data:
            return _read_lines(path, file, data)
    except BaseException:
        file.close()
        raise


def _read_lines(path: str, file: BinaryIO, data: mmap) -> Store:
    if data[: len(MAGIC)] != MAGIC:
        raise BadFile(path, "is not a file of an experiment's results")
    offset, line_number, store = len(MAGIC), 2, None
    while (record := _read_record(data, offset)) is not None:
        if store is None:
            store = Store(path, file, msgspec.json.decode(record, type=Header))
        else:
            summary: Short = msgspec.json.decode(record, type=Short)
            store.locations[summary.cell] = RecordLocation(offset + PREFIX_BYTES, len(record))
        offset, line_number = offset + PREFIX_BYTES + len(record) + 1, line_number + 1
    if store is None or _has_later_record(data, offset):
        raise BadFile(path, f"is damaged in the line that begins at byte {offset}", line_number)
    store.torn_bytes = len(data) - offset
    return store


def _has_later_record(data: mmap, offset: int) -> bool:
    """Returns whether a valid record starts on a later line; then `offset` is not the start of a torn end."""
    while (offset := data.find(b"\n", offset) + 1) > 0:
        if _read_record(data, offset) is not None:
            return True
    return False
