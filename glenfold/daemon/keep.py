"""What the supervisor keeps on disk: its state, and the operators' file as it was accepted."""

import os
from pathlib import Path

import msgspec

from glenfold.daemon.owned import boot
from glenfold.rules.fleet.state import State

FORMAT = 1


class Kept(msgspec.Struct):
    """`boot`: on which start of the machine; moments mean nothing on another one."""

    format: int
    boot: str
    state: State


def write_whole(path: Path, data: bytes) -> None:
    """There is either the file before or this one, whenever the machine stops. Raises OSError."""
    new = path.with_name(f"{path.name}.new")
    descriptor = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with open(descriptor, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(descriptor)
    new.replace(path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Keep:
    def __init__(self, path: Path) -> None:
        self.path = path
        self._boot = boot()
        self._last = b""

    def load(self) -> tuple[State, bool, str | None]:
        """The state, whether its moments are of this start of the machine, and what is wrong with the file,
        which then is put aside: instances are still found by their control sockets. Raises OSError."""
        try:
            kept: Kept = msgspec.json.decode(self.path.read_bytes(), type=Kept)
        except FileNotFoundError:
            return State(), True, None
        except (msgspec.DecodeError, RecursionError) as error:
            return State(), True, self._aside(str(error))
        if kept.format != FORMAT:
            return State(), True, self._aside(f"format {kept.format}, not {FORMAT}")
        return kept.state, kept.boot == self._boot, None

    def _aside(self, fault: str) -> str:
        aside = self.path.with_name(f"{self.path.name}.bad")
        self.path.replace(aside)
        return f"{fault}; put aside as {aside}"

    def save(self, state: State) -> None:
        """Raises OSError; what has not changed since is not written again."""
        data = msgspec.json.encode(Kept(FORMAT, self._boot, state))
        if data != self._last:
            write_whole(self.path, data)
            self._last = data
