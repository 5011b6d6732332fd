"""Socket helpers that trio lacks: complete gathered writes, FIN and RST, non-blocking I/O and TCP_INFO."""

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

# Size and field offsets of the kernel's `struct tcp_info`, stable since Linux 2.6: eight single bytes, then
# words of four bytes.
_TCP_INFO_BYTES = 104
_LAST_DATA_RECEIVED_MS, _ROUND_TRIP_US, _RESENT_SEGMENTS = 52, 68, 100
_INT_BYTES = struct.calcsize("i")
_LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER on with a timeout of 0: close sends RST.


async def send_pieces(sock: SocketType, pieces: Sequence[memoryview]) -> None:
    """Sends all of `pieces` with gathered writes."""
    remaining = list(pieces)
    while remaining:
        remaining = remaining_pieces(remaining, await sock.sendmsg(remaining))


async def send(sock: SocketType, data: bytes) -> None:
    """Sends all of `data`; usually in one call, which needs no slicing."""
    sent = await sock.send(data)
    if sent < len(data):
        await send_pieces(sock, [memoryview(data)[sent:]])


def accept_now(listener: SocketType) -> SocketType | None:
    """Accepts a client that waits in the listener's queue; None if there is none. Raises OSError.

    A listener that was closed meanwhile has none.
    """
    if listener.fileno() < 0:
        return None
    view = socket.socket(fileno=listener.fileno())  # trio's sockets have no call without a checkpoint
    try:
        sock, _ = view.accept()
    except BlockingIOError:
        return None
    finally:
        view.detach()
    return trio.socket.from_stdlib_socket(sock)


def send_now(sock: SocketType, data: bytes | memoryview) -> int:
    """Sends as much as the kernel takes without waiting and returns the number of bytes.

    For callers that can't afford a checkpoint for each socket. trio's sockets are non-blocking and SIGPIPE is
    ignored, so `os.write` neither blocks nor kills the process.
    """
    try:
        return os.write(sock.fileno(), data)
    except BlockingIOError:
        return 0


def receive_now(sock: SocketType, buffer: memoryview) -> int:
    """Reads the bytes that have arrived into `buffer` and returns their number; 0 also at end of stream."""
    try:
        data = os.read(sock.fileno(), len(buffer))
    except OSError:  # nothing yet, or a reset, which the next write reports
        return 0
    buffer[: len(data)] = data
    return len(data)


def hung_up(sock: SocketType) -> bool:
    """Returns whether the peer has closed or reset the connection, as far as the kernel knows.

    Also sees an end behind unread bytes, and before the event loop reports it.
    """
    return _is_ready_now(sock, select.POLLRDHUP)  # poll always reports a reset, without a flag for it


def was_reset(sock: SocketType) -> bool:
    """Returns whether the connection was reset, or ended by both sides, as far as the kernel knows."""
    return _is_ready_now(sock, 0)  # poll reports both without a flag for it


def unread_bytes(sock: SocketType) -> int:
    """Returns the number of received bytes that are still unread; 0 where the kernel does not say."""
    count = bytearray(_INT_BYTES)
    with suppress(OSError):
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return int.from_bytes(count, sys.byteorder)


def unacknowledged_bytes(sock: SocketType) -> int:
    """Returns the number of sent bytes that the peer's system has not taken; 0 where the kernel can't say."""
    count = bytearray(_INT_BYTES)
    with suppress(OSError):
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return int.from_bytes(count, sys.byteorder)


def send_fin(sock: SocketType) -> None:
    """Closes the sending side, so that the peer sees the end of the stream."""
    with suppress(OSError):  # the peer has already reset the connection
        sock.shutdown(socket.SHUT_WR)


def reset_on_close(sock: SocketType) -> None:
    """Makes `close` send RST, to pass a reset on to the other side. The caller still closes the socket."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def _is_ready_now(sock: SocketType, event_mask: int) -> bool:
    """Polls the kernel for `event_mask` without a checkpoint."""
    poller = select.poll()
    poller.register(sock.fileno(), event_mask)
    return bool(poller.poll(0))


def has_queued_client(listener: SocketType) -> bool:
    """Returns whether a client in the listener's queue has not been accepted yet."""
    return _is_ready_now(listener, select.POLLIN)


def without_delay(sock: SocketType) -> None:
    """Sets TCP_NODELAY, so that small writes are sent at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


@dataclass(frozen=True, slots=True)
class KernelTimes:
    """The kernel's figures for a TCP connection, which do not depend on when this process reads them.

    `since_received_s` is the time since the data read last arrived, `round_trip_s` the round trip to the
    peer, `resent_segments` the number of segments that were retransmitted.
    """

    since_received_s: float
    round_trip_s: float
    resent_segments: int


def kernel_times(sock: SocketType) -> KernelTimes:
    """Returns the kernel's figures for `sock`; all zero where the kernel does not provide them."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        came_ms, trip_us, resent_segments = (
            struct.unpack_from("=I", info, at)[0]
            for at in (_LAST_DATA_RECEIVED_MS, _ROUND_TRIP_US, _RESENT_SEGMENTS)
        )
    except (OSError, struct.error):
        return KernelTimes(0.0, 0.0, 0)
    return KernelTimes(came_ms / 1e3, trip_us / 1e6, resent_segments)
