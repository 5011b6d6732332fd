"""The operators' file: read whole, checked whole, and turned into what one instance is told."""

import json
import os
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from glenfold.config import locations
from glenfold.config.checks import Checks
from glenfold.config.locations import InstanceLocation
from glenfold.config.platform import (
    Address,
    Config,
    ConfigError,
    ConnectionLimits,
    Parents,
    names_of,
    read_address,
    settings_of,
)
from glenfold.config.settings import as_platform, relays
from glenfold.config.tables import FileErrors, Table, read_file
from glenfold.config.terms import Terms
from glenfold.located import Key, Located, written

AT_ONCE = ("list", "limits", "logging", "fleet")  # not to wait for a restart: `fleet` is its supervisor's


@dataclass(frozen=True, slots=True)
class Value:
    """`key` as in `settings.classes[0].name`; `value` None: there is none; `origin`: FILE:LINE, `default`, or
    what it follows from."""

    key: str
    value: Any
    origin: str


class OperatorsFile:
    """A sound file. `terms` are its tables; paths in them are relative to `base`."""

    def __init__(self, located: Located, terms: Terms, base: Path) -> None:
        self._located, self.terms, self.base = located, terms, base
        self.path = Path(located.name)

    @property
    def numbers(self) -> tuple[int | None, ...]:
        """Of its instances: 1 and up in a fleet, None for the one of a file without."""
        return locations.numbers(self.terms)

    def location(self, number: int | None) -> InstanceLocation:
        """Raises ConfigError for an instance that the file has not."""
        if number not in self.numbers:
            raise ConfigError(
                "instance",
                f"{self._how_many()}, and no {number}"
                if number is not None
                else f"{self._how_many()}: say which",
            )
        return locations.locate(self.terms, self.base, number)

    def _how_many(self) -> str:
        has = f"instances 1 to {self.numbers[-1]}" if self.terms.fleet else "no fleet"
        return f"{self.path} has {has}"

    def config(self, number: int | None = None) -> Config:
        """What that instance's relay is told; each call draws a new seed. Raises ConfigError for an instance
        that the file has not, and if its known list has gone."""
        place, limits, told = self.location(number), self.terms.limits, as_platform(self.terms)
        sockets = limits.sockets - (len(place.listeners) - 1)
        return Config(
            name=place.name,
            listen=place.listeners[0],
            discovery=self._discovery(),
            parents=self._parents(),
            seed=int.from_bytes(os.urandom(8)),
            connection_limits=ConnectionLimits.within(
                sockets, float("inf") if limits.memory_mb is None else limits.memory_mb
            ),
            settings=settings_of(told)[0],  # the file itself is checked whole
            names=names_of(told),
            cores=limits.cores,
            known=self._known(),
            split_groups=self.terms.settings.rules.split_groups,
        )

    def _discovery(self) -> Address:
        """The agent's, or the first of the parents'."""
        told = self.terms.list
        return read_address(told.discovery or (told.parents or ())[0].address)

    def _parents(self) -> Parents | None:
        told, settings = self.terms.list, self.terms.settings
        if told.parents is None:
            return None
        parents = tuple(one.parent for one in told.parents)
        zone = settings.zone or next(iter(settings.zones), None)
        same_zone = (one.region for one in parents if one.zone == zone is not None)
        return Parents(parents, zone, told.region or next(same_zone, None))

    def _known(self) -> dict[str, Any]:
        if self.terms.list.known is None:
            return {}
        try:
            return dict(json.loads((self.base / self.terms.list.known).read_text("utf-8")))
        except (OSError, ValueError, RecursionError) as error:
            raise ConfigError("list.known", f"can't be read: {error}") from error

    def effective(self) -> Iterator[Value]:
        """Every key that holds, with where its value came from."""
        yield from self._values(self.terms, ())

    def _values(self, value: Any, key: Key) -> Iterator[Value]:
        if isinstance(value, Table):
            for name in value.__struct_fields__:
                if key or getattr(value, name) is not None:
                    yield from self._values(getattr(value, name), (*key, name))
        elif isinstance(value, tuple) and value and isinstance(value[0], Table):
            for n, one in enumerate(value):
                yield from self._values(one, (*key, n))
        elif key in self._located.lines:
            yield Value(written(key), value, f"{self._located.name}:{self._located.lines[key]}")
        else:
            yield self._implied(key, value)

    def _implied(self, key: Key, value: Any) -> Value:
        """What the file does not say; some of it follows from what it does."""
        found, origin = value, "default"
        match key:
            case ("settings", "rules", "relays"):
                found, origin = relays(self.terms), "from fleet.instances" if self.terms.fleet else "default"
            case ("fleet", "port_step") if self.terms.fleet and self.terms.fleet.addresses:
                found, origin = None, "from fleet.addresses"
            case (("control" | "snapshot"), "on") | ("restart", "take_over") if not self._has_place(key[0]):
                found, origin = False, "there is no instance.folder"
            case (("control" | "snapshot"), ("socket" | "folder")) if self._has_place(key[0]):
                folder = self.terms.instance.folder or ""
                found = str(Path(folder, "{name}.sock" if key[0] == "control" else "snapshots"))
                origin = "from instance.folder"
        return Value(written(key), found, origin)

    def _has_place(self, part: str | int) -> bool:
        """For what is written; else that part is off."""
        if part == "control":
            return locations.socket_path(self.terms, self.base, "") is not None
        if part == "snapshot":
            return locations.snapshots_path(self.terms, self.base) is not None
        return self.terms.instance.folder is not None


def read(path: str | Path, base: Path | None = None) -> OperatorsFile:
    """Raises Faults: all that is amiss with the file, and with this machine for it. `base`: what its paths
    are relative to, where it is a copy; else that is the file's folder."""
    base = Path(path).parent.absolute() if base is None else base
    reading, terms = read_file(path, Terms)
    Checks(terms, reading, base).run()
    if reading.faults:
        raise FileErrors(reading.faults.values())
    return OperatorsFile(reading.located, terms, base)


class ConfigReload:
    """Reads the file again for an instance that runs, as `glenfold.config.read_again` does the platform's."""

    def __init__(self, begun: OperatorsFile, number: int | None) -> None:
        self._begun, self._number = begun, number
        self.operators = begun  # as read last

    def __call__(self, current: Config) -> tuple[Config, list[str]]:
        """The configuration from now on, and what waits for a restart. Raises ConfigError with all faults."""
        try:
            operators = read(self._begun.path, self._begun.base)
        except FileErrors as error:
            raise ConfigError(str(self._begun.path), "; ".join(error.message.splitlines())) from error
        new = operators.config(self._number)
        waiting = self._waiting(operators, new.settings != current.settings)
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

    def _waiting(self, new: OperatorsFile, decides_otherwise: bool) -> list[str]:
        names = [
            name
            for name in Terms.__struct_fields__
            if name not in AT_ONCE and getattr(self._begun.terms, name) != getattr(new.terms, name)
        ]
        moved = self._begun.location(self._number) != new.location(self._number)
        return names or ["fleet"] * (moved or decides_otherwise)  # what this instance has of it
