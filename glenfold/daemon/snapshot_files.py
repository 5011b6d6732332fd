"""The files of one instance's snapshots: two generations, each replaced atomically.

All functions may block.
"""

import contextlib
import fcntl
import os
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import quote

from glenfold.destinations import DestinationState
from glenfold.rules.history import Section
from glenfold.rules.snapshots import Content, Owner, Snapshot, SnapshotRefused, decode, encode

ROWS_PER_BATCH = 64  # Encoding a batch takes about 0.1 ms.
BATCH_PAUSE_S = 0.0005  # The pause after a batch lets the event loop run.


class LockedElsewhere(Exception):
    """Raised when another process has locked these files.

    After a takeover this is the old process, until it has finished its accepted requests.
    """


class Files:
    """The file system operations that snapshots need. Every call may raise OSError."""

    def read(self, path: Path, max_bytes: int) -> bytes | None:
        """Returns at most `max_bytes` bytes of the file, or None if there is no such file."""
        try:
            with path.open("rb") as file:
                return file.read(max_bytes)
        except FileNotFoundError:
            return None

    def write(self, path: Path, pieces: Iterable[bytes]) -> None:
        """Writes and syncs the contents; the file's name may not be on disk yet when it returns."""
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        with open(descriptor, "wb") as file:
            file.writelines(pieces)
            file.flush()
            os.fsync(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Renames the file and replaces an existing target."""
        os.replace(source, target)

    def sync_folder(self, folder: Path) -> None:
        """Writes the names of the files in the folder to disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, path: Path) -> None:
        """Removes the file if it exists."""
        path.unlink(missing_ok=True)

    def lock(self, path: Path) -> int | None:
        """Acquires the lock and returns its descriptor, or None if another process holds the lock.

        The lock is held for as long as the descriptor is open.
        """
        path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def unlock(self, descriptor: int) -> None:
        """Releases a lock that `lock` returned."""
        os.close(descriptor)


@dataclass(slots=True)
class Store:
    """The two snapshot files of one instance. Only one thread at a time may use it."""

    folder: Path
    owner: Owner
    max_bytes: int
    files: Files = field(default_factory=Files)
    _lock: int | None = None
    # The generation in each path; 0 if there is no valid one.
    _generations: list[int] = field(default_factory=list)

    def _path(self, suffix: str) -> Path:
        return self.folder / f"{quote(self.owner.fleet, '')}.{quote(self.owner.name, '')}.{suffix}"

    @property
    def paths(self) -> list[Path]:
        """The paths of the two generations."""
        return [self._path("a.snapshot"), self._path("b.snapshot")]

    def read(self) -> list[Snapshot | SnapshotRefused | None]:
        """Returns the snapshot in each path, why it was refused, or None if there is no file."""
        return [self._read(path) for path in self.paths]

    def _read(self, path: Path) -> Snapshot | SnapshotRefused | None:
        try:
            data = self.files.read(path, self.max_bytes + 1)
            if data is None:
                return None
            if len(data) > self.max_bytes:
                return SnapshotRefused("too_large", f"it is over {self.max_bytes} bytes")
            return decode(data, self.owner)
        except OSError as error:
            return SnapshotRefused("unreadable", str(error))
        except SnapshotRefused as refused:
            return refused

    def save(self, heard_at: float, state: DestinationState, history: Section | None) -> int:
        """Replaces the older generation, and returns the number of the new one once that is on disk.

        Raises OSError, TooLarge or LockedElsewhere. The newer generation stays untouched in each case.
        """
        if self._lock is None:
            self._lock = self._acquire_lock()
        generation = max(self._generations) + 1
        index = self._generations.index(min(self._generations))
        pieces = _encode_in_batches(Content(self.owner, generation, heard_at, state, history), self.max_bytes)
        temporary = self._path("new")
        try:
            self.files.write(temporary, pieces)
            self.files.rename(temporary, self.paths[index])
        except OSError:
            with contextlib.suppress(OSError):
                self.files.remove(temporary)  # On a full disk the partial file would take up space.
            raise
        self.files.sync_folder(self.folder)
        self._generations[index] = generation
        return generation

    def _acquire_lock(self) -> int:
        lock = self.files.lock(self._path("lock"))
        if lock is None:
            raise LockedElsewhere(f"{self._path('lock')} is held by another process")
        # Read after locking, as the previous process may have written until now.
        self._generations = [found.generation if isinstance(found, Snapshot) else 0 for found in self.read()]
        return lock

    def close(self) -> None:
        """Releases the lock, if it is held."""
        if self._lock is not None:
            self.files.unlock(self._lock)
            self._lock = None


def _encode_in_batches(content: Content, max_bytes: int) -> list[bytes]:
    """Encodes in batches with pauses, so that the event loop gets the interpreter in between."""
    pieces = []
    for number, piece in enumerate(encode(content, max_bytes)):
        pieces.append(piece)
        if number % ROWS_PER_BATCH == ROWS_PER_BATCH - 1:
            time.sleep(BATCH_PAUSE_S)
    return [piece for piece in pieces if piece]
