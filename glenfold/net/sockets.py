"""What trio's sockets lack: gathered writes to the end, and endings of either kind."""

import fcntl
import os
import select
import socket
import struct
import sys
import termios
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass

import trio

from glenfold.lines import remaining_pieces

SocketType = trio.socket.SocketType

# Of the kernel's tcp_info, as it has been since Linux 2.6: eight bytes, then words of four.
_TCP_INFO_BYTES = 104
_LAST_DATA_RECEIVED_MS, _ROUND_TRIP_US, _RESENT = 52, 68, 100
_INT_BYTES = struct.calcsize("i")
_AT_ONCE = struct.pack("ii", 1, 0)  # linger on, for no time: close sends RST


async def send_pieces(sock: SocketType, pieces: Sequence[memoryview]) -> None:
    left = list(pieces)
    while left:
        left = remaining_pieces(left, await sock.sendmsg(left))


async def send(sock: SocketType, data: bytes) -> None:
    """Most often the kernel takes it all at once; then there is nothing to cut."""
    sent = await sock.send(data)
    if sent < len(data):
        await send_pieces(sock, [memoryview(data)[sent:]])


def send_now(sock: SocketType, data: bytes | memoryview) -> int:
    """As much as the kernel takes without waiting, for callers that have no time for a turn of the loop each.
    trio's sockets do not block, and SIGPIPE is ignored."""
    try:
        return os.write(sock.fileno(), data)
    except BlockingIOError:
        return 0


def receive_now(sock: SocketType, room: memoryview) -> int:
    """How many bytes are there already, put into `room`; 0 also at an end."""
    try:
        data = os.read(sock.fileno(), len(room))
    except OSError:  # nothing yet, or a reset, which whoever writes next will meet
        return 0
    room[: len(data)] = data
    return len(data)


def hung_up(sock: SocketType) -> bool:
    """Whether the other side has ended or reset it, as far as the kernel knows: also behind bytes that nobody
    has read, and before the loop comes to tell it."""
    return _told_now(sock, select.POLLRDHUP)  # a reset is told without being asked for


def unread(sock: SocketType) -> int:
    """How many bytes the kernel has that nobody has read; 0 where it does not tell."""
    count = bytearray(_INT_BYTES)
    with suppress(OSError):
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return int.from_bytes(count, sys.byteorder)


def finish(sock: SocketType) -> None:
    """FIN: nothing more will be sent."""
    with suppress(OSError):  # the other side has reset it already
        sock.shutdown(socket.SHUT_WR)


def reset_on_close(sock: SocketType) -> None:
    """RST, for the one side when the other was reset; whoever owns the socket closes it."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _AT_ONCE)


def _told_now(sock: SocketType, what: int) -> bool:
    """By the kernel, without a turn of the loop."""
    look = select.poll()
    look.register(sock.fileno(), what)
    return bool(look.poll(0))


def queued(listener: SocketType) -> bool:
    """Whether the kernel has a client that nobody has accepted yet."""
    return _told_now(listener, select.POLLIN)


def without_delay(sock: SocketType) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


@dataclass(frozen=True, slots=True)
class KernelTimes:
    """What the kernel knows of a TCP connection, however late this process looks. came_s: since when the data
    read last has been there. round_trip_s: to the other side. resent: segments sent again."""

    came_s: float
    round_trip_s: float
    resent: int


def kernel_times(sock: SocketType) -> KernelTimes:
    """All zero where the kernel does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        came_ms, trip_us, resent = (
            struct.unpack_from("=I", info, at)[0] for at in (_LAST_DATA_RECEIVED_MS, _ROUND_TRIP_US, _RESENT)
        )
    except (OSError, struct.error):
        return KernelTimes(0.0, 0.0, 0)
    return KernelTimes(came_ms / 1e3, trip_us / 1e6, resent)
