"""Socket helpers of the stand-ins.

The relay's own helpers are not used, since a fault in them would then affect both sides and go unseen.
"""

import socket
import struct
from contextlib import suppress

import trio

SocketType = trio.socket.SocketType
Address = tuple[str, int]

_NO_LINGER = struct.pack("ii", 1, 0)
# The kernel's `struct tcp_info` up to the field with the time since data last arrived, in milliseconds.
_TCP_INFO_BYTES = 104
_SINCE_RECEIVED_MS_OFFSET = 52
_MAX_TICK_MS = 10


def bind(host: str, port: int = 0) -> SocketType:
    """Returns a bound socket that does not listen: the address stays reserved and refuses connections.

    Raises ValueError if `host` is not a loopback address.
    """
    if not host.startswith("127."):
        raise ValueError(f"{host} is not a loopback address")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.setblocking(False)
    return trio.socket.from_stdlib_socket(sock)


def format_address(address: Address) -> str:
    """Returns the address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def start_connect(address: Address) -> SocketType:
    """Returns a socket that has begun to connect; the connection may never be established."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.connect_ex(address)
    return trio.socket.from_stdlib_socket(sock)


def since_arrival_us(sock: SocketType) -> int:
    """Returns how long ago data last arrived at this machine's end of the connection, by the kernel.

    An event loop that stands still reads data long after that. The kernel counts in ticks, so one of them is
    taken off: the time returned is never too long.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    since_ms = int(struct.unpack_from("=I", info, _SINCE_RECEIVED_MS_OFFSET)[0])
    return 1000 * max(0, since_ms - _MAX_TICK_MS)


async def send_all(sock: SocketType, data: bytes) -> None:
    """Writes all bytes of `data`."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[await sock.send(remaining) :]


def shutdown_send(sock: SocketType) -> None:
    """Shuts down the sending side; data already written is still delivered."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def reset_on_close(sock: SocketType) -> None:
    """Makes the next close of the socket reset the connection."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
