"""Log files of bounded length for the output of instances.

Files replace a pipe to the supervisor, which would break when the supervisor exits.
"""

import os
import shutil
from pathlib import Path


class LogFiles:
    """The log files in `folder`: NAME.log, and NAME.log.1 with the previous contents.

    An instance keeps writing to the descriptor that it was started with, so rotation copies the file and then
    truncates it. Lines written between the two steps are lost. Nothing is rotated while no supervisor runs.
    """

    def __init__(self, folder: Path, most_bytes: int) -> None:
        self.folder, self.most_bytes = folder, most_bytes

    def path(self, name: str) -> Path:
        """Returns the path of the instance's current log file."""
        return self.folder / f"{name}.log"

    def open(self, name: str) -> int:
        """Opens the instance's log file and returns a descriptor that appends to it. Raises OSError."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        return os.open(self.path(name), os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)

    def rotate(self, name: str) -> str | None:
        """Rotates the log file if it exceeds the limit.

        Returns what went wrong, or None. If only the copy fails, the file is truncated all the same.
        """
        path, failed = self.path(name), None
        try:
            if path.stat().st_size <= self.most_bytes:
                return None
            try:
                shutil.copyfile(path, path.with_name(f"{path.name}.1"))
            except OSError as error:
                failed = str(error)
            os.truncate(path, 0)
        except FileNotFoundError:
            return None
        except OSError as error:
            return str(error)
        return failed
