"""What the operators' file says of a fleet, as its supervisor takes it.

What was accepted is kept as a copy, and instances run by that: a file that is being edited, or is faulty,
can't keep an instance that ends at night from coming back.
"""

import os
import sys
from pathlib import Path

import msgspec

from glenfold import logs
from glenfold.config import operators
from glenfold.config.locations import InstanceLocation as InstancePlace
from glenfold.config.tables import FileErrors
from glenfold.config.terms import Fleet
from glenfold.daemon.keep import write_whole
from glenfold.daemon.logfiles import LogFiles
from glenfold.daemon.supervisor import FileRefused, Order, Orders, Place, Supervisor
from glenfold.located import BadFile, parse, read_text
from glenfold.rules.fleet.terms import Terms

LOG_BYTES = 16 << 20  # of one instance, twice: the file and the one before


def _read(file: Path) -> operators.OperatorsFile:
    try:
        return operators.read(file)
    except FileErrors as error:
        raise FileRefused(error.message) from error


def folder_of(file: Path) -> Path:
    """Where the supervisor of that file has its own files, whatever else is faulty in it: a fleet has to be
    looked at and stopped then, too. Raises FileRefused."""
    try:
        instance = parse(read_text(file), str(file)).data.get("instance")
    except BadFile as error:
        raise FileRefused(error.message) from error
    folder = instance.get("folder") if isinstance(instance, dict) else None
    if not isinstance(folder, str) or not folder:
        raise FileRefused(f"{file}: instance.folder: is missing; a supervisor keeps its files there")
    return file.parent.absolute() / folder / "supervisor"


def _terms(read: operators.OperatorsFile, names: tuple[str, ...]) -> Terms:
    fleet = msgspec.structs.asdict(read.terms.fleet or Fleet(instances=1))
    told = {name: value for name, value in fleet.items() if name in Terms.__struct_fields__}
    return Terms(**(told | {"instances": names, "take_over": read.terms.restart.take_over}))


class FleetFile:
    """`read` and `command` are a supervisor's orders."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.place = Place(folder_of(file))
        self._numbers: dict[str, int | None] = {}

    def read(self) -> Order:
        """Raises FileRefused."""
        text, read = _stable(self.file)
        places = [read.location(number) for number in read.numbers]
        if folder_of(self.file) != self.place.folder:
            raise FileRefused(
                f"{self.file}: instance.folder: is another one than this supervisor's; "
                "`glenfold fleet down` and `up` change it"
            )
        controls = {place.name: place.socket for place in places if place.socket is not None}
        if len(controls) < len(places):
            raise FileRefused(f"{self.file}: control.on: must be true for a supervisor, which looks there")
        return Order(_terms(read, tuple(controls)), controls, lambda: self._accept(text, read, places))

    def _accept(self, text: bytes, read: operators.OperatorsFile, places: list[InstancePlace]) -> None:
        self._accepted.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        write_whole(self._accepted, text)
        self._numbers = {place.name: place.number for place in places}
        told = read.terms.logging
        logs.take_terms(logs.Terms(told.form, told.level, told.levels, told.events_per_s, told.burst))

    @property
    def _accepted(self) -> Path:
        return self.place.folder / "accepted.toml"

    def command(self, name: str) -> list[str]:
        number = self._numbers[name]
        which = [] if number is None else ["--instance", str(number)]
        return [
            sys.executable,
            "-m",
            "glenfold",
            "run",
            os.fspath(self._accepted),
            *which,
            "--base",
            os.fspath(self.file.parent.absolute()),
        ]


def _stable(file: Path) -> tuple[bytes, operators.OperatorsFile]:
    """The text that was checked, and not one that was written meanwhile."""
    while True:
        try:
            before = file.read_bytes()
            read = _read(file)
            if file.read_bytes() == before:
                return before, read
        except OSError as error:
            raise FileRefused(f"{file}: {error.strerror or error}") from error


def fleet_of(file: Path) -> Supervisor:
    """Raises FileRefused."""
    fleet = FleetFile(file)
    return Supervisor(
        fleet.place, Orders(fleet.read, fleet.command), LogFiles(fleet.place.folder / "logs", LOG_BYTES)
    )
