"""Reads the fleet settings of an operators' file for the supervisor.

The supervisor saves a copy of each accepted file, and instances run from that copy. So a file that is being
edited, or is faulty, can't prevent the restart of an instance that exits.
"""

import os
import sys
from pathlib import Path

import msgspec

from glenfold import logs
from glenfold.config import operators
from glenfold.config.locations import InstanceLocation
from glenfold.config.tables import FileErrors
from glenfold.config.terms import Fleet
from glenfold.daemon.logfiles import LogFiles
from glenfold.daemon.state_file import write_atomically
from glenfold.daemon.supervisor import FileRefused, FleetSettings, SettingsSource, Supervisor, SupervisorPaths
from glenfold.rules.fleet.options import Options
from glenfold.toml_file import BadFile, parse, read_text

MAX_LOG_BYTES = 16 << 20  # An instance may use twice as much: its current and its previous log file.


def _read(file: Path) -> operators.OperatorsFile:
    try:
        return operators.read(file)
    except FileErrors as error:
        raise FileRefused(error.message) from error


def supervisor_folder(file: Path) -> Path:
    """Returns the folder of the supervisor's own files.

    Reads only this key, as the status and stop commands have to work when other parts of the file are faulty.
    Raises FileRefused.
    """
    try:
        instance = parse(read_text(file), str(file)).data.get("instance")
    except BadFile as error:
        raise FileRefused(error.message) from error
    folder = instance.get("folder") if isinstance(instance, dict) else None
    if not isinstance(folder, str) or not folder:
        raise FileRefused(f"{file}: instance.folder: is missing; a supervisor keeps its files there")
    return file.parent.absolute() / folder / "supervisor"


def _fleet_options(read: operators.OperatorsFile, names: tuple[str, ...]) -> Options:
    fleet = msgspec.structs.asdict(read.terms.fleet or Fleet(instances=1))
    settings = {name: value for name, value in fleet.items() if name in Options.__struct_fields__}
    return Options(**(settings | {"instances": names, "take_over": read.terms.restart.take_over}))


class FleetFile:
    """One operators' file. `read` and `command` are the functions of the supervisor's SettingsSource."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.paths = SupervisorPaths(supervisor_folder(file))
        self._numbers: dict[str, int | None] = {}

    def read(self) -> FleetSettings:
        """Returns the checked settings of the file. Raises FileRefused."""
        text, read = _read_stable(self.file)
        locations = [read.location(number) for number in read.numbers]
        if supervisor_folder(self.file) != self.paths.folder:
            raise FileRefused(
                f"{self.file}: instance.folder: is another one than this supervisor's; "
                "`glenfold fleet down` and `up` change it"
            )
        controls = {location.name: location.socket for location in locations if location.socket is not None}
        if len(controls) < len(locations):
            raise FileRefused(f"{self.file}: control.on: must be true for a supervisor, which looks there")
        return FleetSettings(
            _fleet_options(read, tuple(controls)), controls, lambda: self._accept(text, read, locations)
        )

    def _accept(self, text: bytes, read: operators.OperatorsFile, locations: list[InstanceLocation]) -> None:
        self._accepted.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        write_atomically(self._accepted, text)
        self._numbers = {location.name: location.number for location in locations}
        settings = read.terms.logging
        logs.set_options(
            logs.Options(
                settings.form, settings.level, settings.levels, settings.events_per_s, settings.burst
            )
        )

    @property
    def _accepted(self) -> Path:
        return self.paths.folder / "accepted.toml"

    def command(self, name: str) -> list[str]:
        """Returns the command line that starts the instance `name` from the accepted copy of the file."""
        number = self._numbers[name]
        instance_option = [] if number is None else ["--instance", str(number)]
        return [
            sys.executable,
            "-m",
            "glenfold",
            "run",
            os.fspath(self._accepted),
            *instance_option,
            "--base",
            os.fspath(self.file.parent.absolute()),
        ]


def _read_stable(file: Path) -> tuple[bytes, operators.OperatorsFile]:
    """Returns the text of the file and its checked contents.

    Reads again if the file changed during the check, so that the text is the one that was checked.
    """
    while True:
        try:
            before = file.read_bytes()
            read = _read(file)
            if file.read_bytes() == before:
                return before, read
        except OSError as error:
            raise FileRefused(f"{file}: {error.strerror or error}") from error


def create_supervisor(file: Path) -> Supervisor:
    """Returns a supervisor for the fleet of this file. Raises FileRefused."""
    fleet = FleetFile(file)
    return Supervisor(
        fleet.paths,
        SettingsSource(fleet.read, fleet.command),
        LogFiles(fleet.paths.folder / "logs", MAX_LOG_BYTES),
    )
