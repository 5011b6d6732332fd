"""Unix sockets that only processes of this user can connect to."""

import os
import socket
import struct
from dataclasses import dataclass
from pathlib import Path

import trio

CREDENTIALS = struct.Struct("3i")  # SO_PEERCRED returns the process id, user id and group id.
OWNER_ONLY = 0o600


@dataclass(frozen=True, slots=True)
class Peer:
    """The process at the other end, as the kernel noted it when it connected or began to listen."""

    pid: int
    user: int

    @property
    def is_own_user(self) -> bool:
        """Whether the peer runs as the same user as this process."""
        return self.user == os.getuid()


def peer(sock: trio.socket.SocketType | socket.socket) -> Peer:
    """The peer of a connected Unix socket. Raises OSError."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    pid, user, _ = CREDENTIALS.unpack(credentials)
    return Peer(pid, user)


def listen(path: Path, kind: socket.SocketKind, backlog: int) -> trio.socket.SocketType:
    """Listens at `path` and replaces whatever was there. Nobody can connect before the mode is 0600, as the
    socket is bound under a temporary name and begins to listen after that. Raises OSError."""
    sock = socket.socket(socket.AF_UNIX, kind)
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        temporary.unlink(missing_ok=True)
        sock.bind(str(temporary))
        temporary.chmod(OWNER_ONLY)
        sock.listen(backlog)
        temporary.rename(path)
    except OSError:
        sock.close()
        temporary.unlink(missing_ok=True)
        raise
    return trio.socket.from_stdlib_socket(sock)
