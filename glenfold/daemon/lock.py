"""One instance a name: a lock in the instance's folder that dies with its process.

Nothing is written into the file: a process id there could be a stranger's by the time that it is read. Who
holds the name is asked at its control socket, whose kernel knows.
"""

import fcntl
import os
from pathlib import Path


class NameHeld(Exception):
    """Another process has the name."""


def path_of(folder: Path, name: str) -> Path:
    return folder / f"{name}.lock"


def acquire(folder: Path, name: str) -> int:
    """The descriptor that holds the lock, until its last copy is closed. The folder is made, for this user
    only, if it is missing. Raises Held, and OSError where there can't be a lock."""
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
    """Somebody may have removed the file meanwhile: a lock on that one keeps nobody out."""
    try:
        return os.path.samestat(os.fstat(descriptor), os.stat(path))
    except FileNotFoundError:
        return False
