"""The files of one instance's snapshots: two generations, each replaced as a whole. All of it may block."""

import contextlib
import fcntl
import os
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import quote

from glenfold.destinations import State
from glenfold.rules.history import Section
from glenfold.rules.snapshots import Content, Owner, Snapshot, SnapshotRefused, decode, encode

ROWS_AT_ONCE = 64  # some 0.1 ms of work,
PAUSE_S = 0.0005  # after which the event loop gets the interpreter


class HeldElsewhere(Exception):
    """Another process writes these files: the one before, as long as it finishes what it has taken."""


class Files:
    """What is asked of the file system. Every call may raise OSError."""

    def read(self, path: Path, most: int) -> bytes | None:
        """At most `most` bytes; None if there is no such file."""
        try:
            with path.open("rb") as file:
                return file.read(most)
        except FileNotFoundError:
            return None

    def write(self, path: Path, pieces: Iterable[bytes]) -> None:
        """They are on the disk when it returns; the file's name may not be."""
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        with open(descriptor, "wb") as file:
            file.writelines(pieces)
            file.flush()
            os.fsync(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        os.replace(source, target)

    def sync_folder(self, folder: Path) -> None:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def lock(self, path: Path) -> int | None:
        """For as long as the descriptor is open; None if another process has it."""
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
        os.close(descriptor)


@dataclass(slots=True)
class Store:
    """`most`: bytes of a file. One thread at a time may use it."""

    folder: Path
    owner: Owner
    most: int
    files: Files = field(default_factory=Files)
    _lock: int | None = None
    _generations: list[int] = field(default_factory=list)  # in each place; 0: nothing that is worth keeping

    def _path(self, suffix: str) -> Path:
        return self.folder / f"{quote(self.owner.fleet, '')}.{quote(self.owner.name, '')}.{suffix}"

    @property
    def places(self) -> list[Path]:
        return [self._path("a.snapshot"), self._path("b.snapshot")]

    def read(self) -> list[Snapshot | SnapshotRefused | None]:
        """Of each place; None where there is nothing."""
        return [self._read(path) for path in self.places]

    def _read(self, path: Path) -> Snapshot | SnapshotRefused | None:
        try:
            data = self.files.read(path, self.most + 1)
            if data is None:
                return None
            if len(data) > self.most:
                return SnapshotRefused("too_large", f"it is over {self.most} bytes")
            return decode(data, self.owner)
        except OSError as error:
            return SnapshotRefused("unreadable", str(error))
        except SnapshotRefused as refused:
            return refused

    def save(self, heard_at: float, state: State, history: Section | None) -> int:
        """Replaces the older generation; returns the number of the new one, which is on the disk then.

        Raises OSError, TooLarge or HeldElsewhere; the newer generation is untouched, whatever happens."""
        if self._lock is None:
            self._lock = self._locked()
        generation = max(self._generations) + 1
        place = self._generations.index(min(self._generations))
        pieces = _patiently(Content(self.owner, generation, heard_at, state, history), self.most)
        new = self._path("new")
        try:
            self.files.write(new, pieces)
            self.files.rename(new, self.places[place])
        except OSError:
            with contextlib.suppress(OSError):
                self.files.remove(new)  # on a full disk it would stand in the way of all else
            raise
        self.files.sync_folder(self.folder)
        self._generations[place] = generation
        return generation

    def _locked(self) -> int:
        lock = self.files.lock(self._path("lock"))
        if lock is None:
            raise HeldElsewhere(f"{self._path('lock')} is held by another process")
        # Only now, as the process before may have written until now.
        self._generations = [found.generation if isinstance(found, Snapshot) else 0 for found in self.read()]
        return lock

    def close(self) -> None:
        if self._lock is not None:
            self.files.unlock(self._lock)
            self._lock = None


def _patiently(content: Content, most: int) -> list[bytes]:
    pieces = []
    for n, piece in enumerate(encode(content, most)):
        pieces.append(piece)
        if n % ROWS_AT_ONCE == ROWS_AT_ONCE - 1:
            time.sleep(PAUSE_S)
    return [piece for piece in pieces if piece]
