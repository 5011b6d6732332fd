"""What stand-ins need of sockets; not the relay's own helpers, whose faults must not hide themselves here."""

import socket
import struct
from contextlib import suppress

import trio

SocketType = trio.socket.SocketType
Address = tuple[str, int]

_NO_LINGER = struct.pack("ii", 1, 0)


def bind(host: str, port: int = 0) -> SocketType:
    """Bound and not listening: the address is kept, and whoever connects to it is refused."""
    if not host.startswith("127."):
        raise ValueError(f"{host} is not a loopback address")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.setblocking(False)
    return trio.socket.from_stdlib_socket(sock)


def format_address(address: Address) -> str:
    """HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def start_connect(address: Address) -> SocketType:
    """A connection that need not come up."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.connect_ex(address)
    return trio.socket.from_stdlib_socket(sock)


async def send_all(sock: SocketType, data: bytes) -> None:
    """Writes it all."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[await sock.send(remaining) :]


def shutdown_send(sock: SocketType) -> None:
    """Ends our side; what was written still arrives."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def reset_on_close(sock: SocketType) -> None:
    """The close to come resets the connection."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
