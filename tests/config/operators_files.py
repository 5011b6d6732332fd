"""Texts of operators' files, and the errors that they give."""

from pathlib import Path

from glenfold.config.operators import OperatorsFile, read
from glenfold.config.tables import FileErrors

MINIMAL_FILE = """format = 1
listeners.addresses = ["127.0.0.1:3000"]
list.discovery = "127.0.0.1:8500"
[[settings.classes]]
name = "trip-watch"
"""


def read_text(folder: Path, text: str) -> OperatorsFile:
    """Writes the text to a file in `folder` and reads it."""
    (folder / "glenfold.toml").write_text(text)
    return read(folder / "glenfold.toml")


def errors_of(folder: Path, text: str) -> list[str]:
    """Returns the errors of the text, one line each, without the file's name."""
    try:
        read_text(folder, text)
    except FileErrors as error:
        return [line.removeprefix(f"{folder}/glenfold.toml:") for line in error.message.splitlines()]
    return []
