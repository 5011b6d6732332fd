"""The operators' file: reads it, checks it as a whole and makes the configuration of each instance."""

import json
import os
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from glenfold.config import locations
from glenfold.config.address import Address, read_address
from glenfold.config.checks import Checks
from glenfold.config.locations import InstanceLocation
from glenfold.config.platform import (
    Config,
    ConfigError,
    ConnectionLimits,
    Parents,
    names_of,
    settings_of,
)
from glenfold.config.settings import as_platform, relays
from glenfold.config.tables import FileErrors, Table, read_file
from glenfold.config.terms import Terms
from glenfold.toml_file import Key, TomlFile, format_key

# Tables whose changes need no restart of an instance; `fleet` is read by the supervisor.
RELOADABLE_TABLES = ("list", "limits", "logging", "fleet")


@dataclass(frozen=True, slots=True)
class Value:
    """The value of a key and where it comes from.

    `key` is a path such as `settings.classes[0].name`. `value` is None where the key has no value. `origin`
    is FILE:LINE, `default`, or a text that names the key that the value follows from.
    """

    key: str
    value: Any
    origin: str


class OperatorsFile:
    """An operators' file without errors. `terms` are its tables; paths in them are relative to `base`."""

    def __init__(self, toml_file: TomlFile, terms: Terms, base: Path) -> None:
        self._toml_file, self.terms, self.base = toml_file, terms, base
        self.path = Path(toml_file.name)

    @property
    def numbers(self) -> tuple[int | None, ...]:
        """The numbers of its instances: 1 and up in a fleet, None for the only instance without one."""
        return locations.instance_numbers(self.terms)

    def location(self, number: int | None) -> InstanceLocation:
        """Returns the location of an instance. Raises ConfigError if the file has no such instance."""
        if number not in self.numbers:
            raise ConfigError(
                "instance",
                f"{self._describe_instances()}, but no instance {number}"
                if number is not None
                else f"{self._describe_instances()}: give the number of one",
            )
        return locations.locate(self.terms, self.base, number)

    def _describe_instances(self) -> str:
        instances = f"instances 1 to {self.numbers[-1]}" if self.terms.fleet else "no fleet"
        return f"{self.path} has {instances}"

    def config(self, number: int | None = None) -> Config:
        """Returns the configuration of the relay of an instance, with a new random seed at each call.

        Raises ConfigError if the file has no such instance, or if its known list can't be read any more.
        """
        location, limits, settings = self.location(number), self.terms.limits, as_platform(self.terms)
        sockets = limits.sockets - (len(location.listeners) - 1)
        return Config(
            name=location.name,
            listen=location.listeners[0],
            discovery=self._discovery(),
            parents=self._parents(),
            seed=int.from_bytes(os.urandom(8)),
            connection_limits=ConnectionLimits.within(
                sockets, float("inf") if limits.memory_mb is None else limits.memory_mb
            ),
            settings=settings_of(settings)[0],  # It has no problems, as the file was checked.
            names=names_of(settings),
            cores=limits.cores,
            known=self._known_list(),
            split_groups=self.terms.settings.rules.split_groups,
        )

    def _discovery(self) -> Address:
        """Returns the address of the discovery agent, or else of the first parent."""
        source = self.terms.list
        return read_address(source.discovery or (source.parents or ())[0].address)

    def _parents(self) -> Parents | None:
        source, settings = self.terms.list, self.terms.settings
        if source.parents is None:
            return None
        parents = tuple(entry.parent for entry in source.parents)
        zone = settings.zone or next(iter(settings.zones), None)
        regions_of_zone = (parent.region for parent in parents if parent.zone == zone is not None)
        return Parents(parents, zone, source.region or next(regions_of_zone, None))

    def _known_list(self) -> dict[str, Any]:
        if self.terms.list.known is None:
            return {}
        try:
            return dict(json.loads((self.base / self.terms.list.known).read_text("utf-8")))
        except (OSError, ValueError, RecursionError) as error:
            raise ConfigError("list.known", f"can't be read: {error}") from error

    def effective(self) -> Iterator[Value]:
        """Yields the value of every key, with the origin of the value."""
        yield from self._values(self.terms, ())

    def _values(self, value: Any, key: Key) -> Iterator[Value]:
        if isinstance(value, Table):
            for name in value.__struct_fields__:
                if key or getattr(value, name) is not None:
                    yield from self._values(getattr(value, name), (*key, name))
        elif isinstance(value, tuple) and value and isinstance(value[0], Table):
            for n, item in enumerate(value):
                yield from self._values(item, (*key, n))
        elif key in self._toml_file.lines:
            yield Value(format_key(key), value, f"{self._toml_file.name}:{self._toml_file.lines[key]}")
        else:
            yield self._implied_value(key, value)

    def _implied_value(self, key: Key, value: Any) -> Value:
        """Returns the value of a key that the file does not set: derived from other keys, or the default."""
        implied, origin = value, "default"
        match key:
            case ("settings", "rules", "relays"):
                implied, origin = (
                    relays(self.terms),
                    "from fleet.instances" if self.terms.fleet else "default",
                )
            case ("fleet", "port_step") if self.terms.fleet and self.terms.fleet.addresses:
                implied, origin = None, "from fleet.addresses"
            case (("control" | "snapshot"), "on") | ("restart", "take_over") if not self._has_path(key[0]):
                implied, origin = False, "there is no instance.folder"
            case (("control" | "snapshot"), ("socket" | "folder")) if self._has_path(key[0]):
                folder = self.terms.instance.folder or ""
                implied = str(Path(folder, "{name}.sock" if key[0] == "control" else "snapshots"))
                origin = "from instance.folder"
        return Value(format_key(key), implied, origin)

    def _has_path(self, part: str | int) -> bool:
        """Returns whether the file gives a path for the files of `part`; without one the part is off."""
        if part == "control":
            return locations.socket_path(self.terms, self.base, "") is not None
        if part == "snapshot":
            return locations.snapshots_path(self.terms, self.base) is not None
        return self.terms.instance.folder is not None


def read(path: str | Path, base: Path | None = None) -> OperatorsFile:
    """Reads and checks an operators' file. Raises FileErrors with all errors, also those of this machine.

    `base` is the folder that its paths are relative to, for a copy of a file; by default the file's folder.
    """
    base = Path(path).parent.absolute() if base is None else base
    reader, terms = read_file(path, Terms)
    if not reader.lacks_table:
        Checks(terms, reader, base).run()
    if reader.errors:
        raise FileErrors(reader.errors.values())
    return OperatorsFile(reader.toml_file, terms, base)


class ConfigReload:
    """Reads the file again for a running instance, like `glenfold.config.read_again` for the platform's file.

    `operators` is the file as it was last read without errors.
    """

    def __init__(self, started_with: OperatorsFile, number: int | None) -> None:
        self._started_with, self._number = started_with, number
        self.operators = started_with

    def __call__(self, current: Config) -> tuple[Config, list[str]]:
        """Returns the new configuration and the tables whose changes wait for a restart.

        Raises ConfigError with all errors of the file.
        """
        try:
            operators = read(self._started_with.path, self._started_with.base)
        except FileErrors as error:
            raise ConfigError(str(self._started_with.path), "; ".join(error.message.splitlines())) from error
        new = operators.config(self._number)
        waiting = self._tables_needing_restart(operators, new.settings != current.settings)
        if (new.parents is None) != (current.parents is None):
            waiting.insert(0, "list")
            new = replace(new, discovery=current.discovery, parents=current.parents)
        self.operators = operators
        return replace(
            current,
            discovery=new.discovery,
            parents=new.parents,
            connection_limits=new.connection_limits,
            cores=new.cores,
        ), waiting

    def _tables_needing_restart(self, new: OperatorsFile, settings_changed: bool) -> list[str]:
        names = [
            name
            for name in Terms.__struct_fields__
            if name not in RELOADABLE_TABLES
            and getattr(self._started_with.terms, name) != getattr(new.terms, name)
        ]
        location_changed = self._started_with.location(self._number) != new.location(self._number)
        # Changes of `fleet` require a restart only if they alter the location or settings of the instance.
        return names or ["fleet"] * (location_changed or settings_changed)
