"""Operators' files as texts, and what is amiss with them."""

from pathlib import Path

from glenfold.config.operators import OperatorsFile, read
from glenfold.config.tables import FileErrors

FIVE = """format = 1
listeners.addresses = ["127.0.0.1:3000"]
list.discovery = "127.0.0.1:8500"
[[settings.classes]]
name = "trip-watch"
"""


def reading(folder: Path, text: str) -> OperatorsFile:
    (folder / "glenfold.toml").write_text(text)
    return read(folder / "glenfold.toml")


def faults(folder: Path, text: str) -> list[str]:
    """One line each, without the file's name."""
    try:
        reading(folder, text)
    except FileErrors as error:
        return [line.removeprefix(f"{folder}/glenfold.toml:") for line in error.message.splitlines()]
    return []
