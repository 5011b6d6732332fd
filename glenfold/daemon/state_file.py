"""The supervisor's state file, and atomic writes for it and for the accepted operators' file."""

import os
from pathlib import Path

import msgspec

from glenfold.daemon.process_handle import boot_id
from glenfold.rules.fleet.state import State

FORMAT = 1


class Kept(msgspec.Struct):
    """The contents of the state file.

    `boot` is the id of the boot during which it was written: its monotonic times mean nothing after another.
    """

    format: int
    boot: str
    state: State


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces the file atomically: a crash leaves either the old or the new contents. Raises OSError."""
    temporary = path.with_name(f"{path.name}.new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with open(descriptor, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(descriptor)
    temporary.replace(path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class StateFile:
    """The supervisor's state, saved as JSON in the file at `path`."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._boot = boot_id()
        self._last_written = b""

    def load(self) -> tuple[State, bool, str | None]:
        """Returns the state, whether its times are of this boot, and what is wrong with the file, or None.

        A faulty file is renamed and an empty state returned: instances are still found by their control
        sockets. Raises OSError.
        """
        try:
            kept: Kept = msgspec.json.decode(self.path.read_bytes(), type=Kept)
        except FileNotFoundError:
            return State(), True, None
        except (msgspec.DecodeError, RecursionError) as error:
            return State(), True, self._put_aside(str(error))
        if kept.format != FORMAT:
            return State(), True, self._put_aside(f"format {kept.format}, not {FORMAT}")
        return kept.state, kept.boot == self._boot, None

    def _put_aside(self, problem: str) -> str:
        aside = self.path.with_name(f"{self.path.name}.bad")
        self.path.replace(aside)
        return f"{problem}; put aside as {aside}"

    def save(self, state: State) -> None:
        """Writes the state if it has changed since the last write. Raises OSError."""
        data = msgspec.json.encode(Kept(FORMAT, self._boot, state))
        if data != self._last_written:
            write_atomically(self.path, data)
            self._last_written = data
