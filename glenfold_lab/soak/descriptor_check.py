"""Finds connections that processes keep after the other end has closed them, in a process of its own.

The kernel's table of TCP sockets may have tens of thousands of lines, and reading it takes up to half a
second on a busy machine: an event loop that observes must not do that. `python -m
glenfold_lab.soak.descriptor_check` reads one `CheckRequest` a line from standard input and writes one
`CheckReply` a line.
"""

import os
import socket
import sys
from contextlib import suppress
from pathlib import Path

import msgspec

SOCKET_TABLE = Path("/proc/net/tcp")
CLOSE_WAIT = b"08"  # The state of a socket whose other end has closed, as the table has it.
LOCAL_COLUMN, REMOTE_COLUMN, STATE_COLUMN, INODE_COLUMN = 1, 2, 3, 9


class CheckRequest(msgspec.Struct, frozen=True):
    """The ids of the processes to check, by a number that the reply repeats."""

    process_ids: dict[int, int]


class HalfClosed(msgspec.Struct, frozen=True):
    """A connection that process `number` keeps although the other end has closed it."""

    number: int
    process_id: int
    local: str
    remote: str


class CheckReply(msgspec.Struct, frozen=True):
    """The half-closed connections of all processes, or `error` if the machine could not be read."""

    half_closed: tuple[HalfClosed, ...] = ()
    error: str = ""


def check(request: CheckRequest) -> CheckReply:
    """Reads the machine's table of sockets once and returns the half-closed ones of the processes."""
    try:
        with SOCKET_TABLE.open("rb") as table:
            next(table)
            rows = [row for line in table if (row := line.split())[STATE_COLUMN] == CLOSE_WAIT]
    except OSError as error:
        return CheckReply(error=f"{SOCKET_TABLE}: {error.strerror or error}")
    by_inode = {int(row[INODE_COLUMN]): row for row in rows if row[INODE_COLUMN] != b"0"}
    return CheckReply(
        tuple(
            HalfClosed(number, process_id, _address(row[LOCAL_COLUMN]), _address(row[REMOTE_COLUMN]))
            for number, process_id in request.process_ids.items()
            for inode in sorted(_socket_inodes(process_id) & by_inode.keys() if by_inode else ())
            for row in (by_inode[inode],)
        )
    )


def _socket_inodes(process_id: int) -> set[int]:
    """Returns the inodes of the process's sockets; none if it has exited."""
    inodes = set[int]()
    with suppress(OSError):
        for entry in os.scandir(f"/proc/{process_id}/fd"):
            with suppress(OSError):
                kind, _, inode = os.readlink(entry.path).partition(":")
                if kind == "socket":
                    inodes.add(int(inode.strip("[]")))
    return inodes


def _address(column: bytes) -> str:
    """Returns HOST:PORT for an address of the table, whose host is a word in the machine's byte order."""
    host, port = column.decode().split(":")
    return f"{socket.inet_ntoa(int(host, 16).to_bytes(4, sys.byteorder))}:{int(port, 16)}"


def main() -> None:
    """Answers requests until standard input ends."""
    for line in sys.stdin.buffer:
        reply = check(msgspec.json.decode(line, type=CheckRequest))
        sys.stdout.buffer.write(msgspec.json.encode(reply) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
