"""What trio's sockets lack: gathered writes to the end, and endings of either kind."""

import os
import socket
import struct
from collections.abc import Sequence
from contextlib import suppress

import trio

from glenfold.lines import unsent

SocketType = trio.socket.SocketType

_AT_ONCE = struct.pack("ii", 1, 0)  # linger on, for no time: close sends RST


async def send_pieces(sock: SocketType, pieces: Sequence[memoryview]) -> None:
    left = list(pieces)
    while left:
        left = unsent(left, await sock.sendmsg(left))


async def send(sock: SocketType, data: bytes) -> None:
    """Most often the kernel takes it all at once; then there is nothing to cut."""
    sent = await sock.send(data)
    if sent < len(data):
        await send_pieces(sock, [memoryview(data)[sent:]])


def send_now(sock: SocketType, data: bytes) -> int:
    """As much as the kernel takes without waiting, for callers that have no time for a turn of the loop each.
    trio's sockets do not block, and SIGPIPE is ignored."""
    try:
        return os.write(sock.fileno(), data)
    except BlockingIOError:
        return 0


def finish(sock: SocketType) -> None:
    """FIN: nothing more will be sent."""
    with suppress(OSError):  # the other side has reset it already
        sock.shutdown(socket.SHUT_WR)


def reset_on_close(sock: SocketType) -> None:
    """RST, for the one side when the other was reset; whoever owns the socket closes it."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _AT_ONCE)


def without_delay(sock: SocketType) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
