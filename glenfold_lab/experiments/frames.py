"""Messages between an experiment and its workers: msgpack, each message after its length."""

import struct
from typing import Any, BinaryIO

import msgspec

LENGTH_PREFIX = struct.Struct(">I")


class Hello(msgspec.Struct):
    """A worker's first message: the id and the folder of the decisions that the worker has imported."""

    decisions: str
    folder: str


class Task(msgspec.Struct):
    """A cell to play. `scenario` is in plain values; `revision` and `levels` are copied into the result."""

    cell: int
    scenario: dict[str, Any]
    seed: int
    revision: str
    levels: dict[str, str]


class Done(msgspec.Struct):
    """A cell's outcome, as one line of JSON for the file of results."""

    record: bytes


def pack(message: Hello | Task | Done) -> bytes:
    """Returns a message with its length prefix."""
    data = msgspec.msgpack.encode(message)
    return LENGTH_PREFIX.pack(len(data)) + data


def read(stream: BinaryIO) -> bytes | None:
    """Returns the next message's bytes, or None if the stream ends, even within a message."""
    head = stream.read(LENGTH_PREFIX.size)
    if len(head) < LENGTH_PREFIX.size:
        return None
    size: int = LENGTH_PREFIX.unpack(head)[0]
    data = stream.read(size)
    return data if len(data) == size else None
