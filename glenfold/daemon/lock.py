"""A lock file per instance name, so that at most one process runs under the name.

The kernel releases the lock when the process exits. The file stays empty: a process id in it could belong to
an unrelated process by the time that it is read. The kernel gives the id of the holder at its control socket.
"""

import fcntl
import os
from pathlib import Path


class NameHeld(Exception):
    """Raised when another process holds the lock of the name."""


def path_of(folder: Path, name: str) -> Path:
    """Returns the path of the name's lock file."""
    return folder / f"{name}.lock"


def acquire(folder: Path, name: str) -> int:
    """Acquires the lock of the name and returns its descriptor.

    The lock is held until the last copy of the descriptor is closed. Creates a missing folder with mode 0700.
    Raises NameHeld, and OSError if the lock file can't be opened or locked.
    """
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    path = path_of(folder, name)
    while True:
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            if _is_at(descriptor, path):
                return descriptor
        except BlockingIOError:
            os.close(descriptor)
            raise NameHeld(f"{name} runs already: {path} is locked") from None
        except OSError:
            os.close(descriptor)
            raise
        os.close(descriptor)


def _is_at(descriptor: int, path: Path) -> bool:
    """Whether the descriptor is the file at `path`: a lock on a file removed meanwhile excludes nobody."""
    try:
        return os.path.samestat(os.fstat(descriptor), os.stat(path))
    except FileNotFoundError:
        return False
