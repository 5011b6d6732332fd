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
    plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    plain.bind((host, port))
    plain.setblocking(False)
    return trio.socket.from_stdlib_socket(plain)


def written(address: Address) -> str:
    """HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def begin_connect(address: Address) -> SocketType:
    """A connection that need not come up."""
    plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    plain.setblocking(False)
    plain.connect_ex(address)
    return trio.socket.from_stdlib_socket(plain)


async def take(sock: SocketType, data: bytes) -> None:
    """Writes it all."""
    left = memoryview(data)
    while left:
        left = left[await sock.send(left) :]


def finish(sock: SocketType) -> None:
    """Ends our side; what was written still arrives."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def end_now(sock: SocketType) -> None:
    """The close to come resets the connection."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
