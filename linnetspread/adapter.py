"""Connects the decision module to the wire.

Many independent instances are served over one standard input and output.
"""

import struct
import sys
from typing import BinaryIO

from linnetspread import wire
from linnetspread.choice import Balancer

HEADER = struct.Struct(">II")


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise wire.BrokenFrame("the input ends within a frame")
    return data


class Host:
    """The decision instances of one process, by number."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}

    def answer(self, frame: bytes) -> list[bytes]:
        """Returns the records of the actions that follow from the events of a frame."""
        now, events = wire.read_batch(frame)
        records: list[bytes] = []
        for instance, event in events:
            try:
                records += self._handle(now, instance, event)
            except Exception as error:  # The failure of one instance must not end the others.
                self.instances.pop(instance, None)
                records.append(wire.write_fatal(instance, f"{type(error).__name__}: {error}"))
        return records

    def _handle(self, now: int, instance: int, event: wire.Incoming) -> list[bytes]:
        if isinstance(event, wire.PowerOn):
            self.instances[instance] = Balancer(event.settings, event.seed)
        elif isinstance(event, wire.Kill):
            self.instances.pop(instance, None)
        elif instance in self.instances:
            actions = self.instances[instance].handle(now, event)
            return [wire.write_action(instance, action) for action in actions]
        return []


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Replies to each frame until the input ends."""
    host = Host()
    while header := source.read(HEADER.size):
        if len(header) < HEADER.size:
            raise wire.BrokenFrame("the input ends within a header")
        number, size = HEADER.unpack(header)
        sink.write(wire.write_reply(number, host.answer(_read_exactly(source, size))))
        sink.flush()


def main() -> int:
    """Serves standard input; returns 1 after a broken frame, else 0."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.BrokenFrame as error:
        print(f"linnetspread: broken frame: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
