"""A disk in memory that loses unsynced data when its machine dies, and that can be full or slow."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from glenfold.daemon.snapshot_files import Files


class MachineDied(BaseException):
    """Raised when the machine dies in the middle of a file operation."""


@dataclass
class File:
    data: bytes = b""
    synced: bool = False


@dataclass
class Disk(Files):
    """A simulated disk.

    `dies_at_step` is the step, counted over all operations, at which the machine dies. `draw(n)` returns one
    of 0..n-1 for choices that a real disk makes arbitrarily. While `write_allowed` is clear, a sync waits.
    """

    draw: Callable[[int], int] = lambda n: 0
    dies_at_step: int = -1
    steps: int = 0
    fault: OSError | None = None
    files: dict[Path, File] = field(default_factory=dict)
    synced: dict[Path, File] = field(default_factory=dict)
    write_allowed: threading.Event = field(default_factory=threading.Event)
    writing: int = 0
    max_concurrent_writes: int = 0

    def __post_init__(self) -> None:
        self.write_allowed.set()

    def _step(self) -> None:
        self.steps += 1
        if self.steps - 1 == self.dies_at_step:
            raise MachineDied

    def read(self, path: Path, max_bytes: int) -> bytes | None:
        return self.files[path].data[:max_bytes] if path in self.files else None

    def write(self, path: Path, pieces: Iterable[bytes]) -> None:
        self.writing += 1
        self.max_concurrent_writes = max(self.max_concurrent_writes, self.writing)
        self._step()
        file = self.files[path] = File()
        self._step()
        if self.fault is not None:
            self.writing -= 1
            raise self.fault
        file.data = b"".join(pieces)
        self.write_allowed.wait(30)
        self._step()
        file.synced = True
        self.writing -= 1

    def rename(self, source: Path, target: Path) -> None:
        self._step()
        self.files[target] = self.files.pop(source)

    def sync_folder(self, folder: Path) -> None:
        self._step()
        self.synced = dict(self.files)

    def remove(self, path: Path) -> None:
        self.files.pop(path, None)

    def lock(self, path: Path) -> int | None:
        return 1

    def unlock(self, descriptor: int) -> None:
        pass

    def restore_after_crash(self) -> None:
        """Restores the disk after a crash.

        Each name is either in its last synced or its last state; of an unsynced file any part may be there.
        """
        names = sorted(self.files.keys() | self.synced.keys())
        kept = {name: (self.files, self.synced)[self.draw(2)].get(name) for name in names}
        self.files = {name: file for name, file in kept.items() if file is not None}
        for file in self.files.values():
            if not file.synced:
                file.data = file.data[: self.draw(len(file.data) + 1)]
        self.synced, self.dies_at_step, self.writing = dict(self.files), -1, 0
