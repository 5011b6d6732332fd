"""What passes between an experiment and its workers: msgpack, each message behind its length."""

import struct
from typing import Any, BinaryIO

import msgspec

LENGTH_PREFIX = struct.Struct(">I")


class Hello(msgspec.Struct):
    """A worker's first message: which decisions it has in fact imported, and from where."""

    decisions: str
    folder: str


class Task(msgspec.Struct):
    """A cell to play. scenario: as plain values. revision, levels: to be told in its result."""

    cell: int
    scenario: dict[str, Any]
    seed: int
    revision: str
    levels: dict[str, str]


class Done(msgspec.Struct):
    """A cell's outcome, as JSON in one line, ready for the file of results."""

    record: bytes


def pack(message: Hello | Task | Done) -> bytes:
    data = msgspec.msgpack.encode(message)
    return LENGTH_PREFIX.pack(len(data)) + data


def read(stream: BinaryIO) -> bytes | None:
    """The next message's bytes; None at the end of the stream, within a message too."""
    head = stream.read(LENGTH_PREFIX.size)
    if len(head) < LENGTH_PREFIX.size:
        return None
    size: int = LENGTH_PREFIX.unpack(head)[0]
    data = stream.read(size)
    return data if len(data) == size else None
