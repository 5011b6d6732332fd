"""What instances print, in files of bounded length: a pipe to the supervisor would break with it."""

import os
import shutil
from pathlib import Path


class LogFiles:
    """NAME.log in `folder`, and NAME.log.1 with what came before. An instance goes on writing to the file it
    was given, so that this is copied and then cut; lines written between the two are lost, and while no
    supervisor runs nothing is cut."""

    def __init__(self, folder: Path, most_bytes: int) -> None:
        self.folder, self.most_bytes = folder, most_bytes

    def path(self, name: str) -> Path:
        return self.folder / f"{name}.log"

    def open(self, name: str) -> int:
        """A descriptor to append to. Raises OSError."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        return os.open(self.path(name), os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)

    def rotate(self, name: str) -> str | None:
        """If it has grown too long; says what went wrong, and cuts all the same if only the copy failed."""
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
