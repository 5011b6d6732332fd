"""Reads scenario files, checks more than the types of their values, and finds the shipped scenarios."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from glenfold import toml_file
from glenfold.toml_file import BadFile, Key, TomlFile
from glenfold_lab.spec import Fault, Pair, Part, Range, Scenario

FOLDER = Path(__file__).parent / "scenarios"
RANGES = (Range, Pair, Range | None)
DAY_S = 86_400


class Bound(NamedTuple):
    """The range of valid values; `minimum` itself is valid only if `includes_minimum` is set."""

    minimum: float = 0.0
    maximum: float = float("inf")
    includes_minimum: bool = True

    def contains(self, value: float) -> bool:
        return self.minimum <= value <= self.maximum and (self.includes_minimum or value > self.minimum)

    def __str__(self) -> str:
        lower = f"{'at least' if self.includes_minimum else 'above'} {self.minimum:g}"
        return lower if self.maximum == float("inf") else f"{lower} and at most {self.maximum:g}"


SHARE = Bound(maximum=1)
POSITIVE = Bound(includes_minimum=False)
POSITIVE_SHARE = Bound(maximum=1, includes_minimum=False)

# Bounds narrower than the types in spec.py, for values whose type is a Range or has no upper bound.
BOUNDS = {
    "length_s": Bound(maximum=DAY_S, includes_minimum=False),
    "zones.jitter": SHARE,
    "servers.count": Bound(1, 100_000),
    "servers.error_rate": SHARE,
    "servers.kinds.speed": POSITIVE,
    "servers.kinds.speed_cv": SHARE,
    "servers.kinds.per_core": POSITIVE,
    "servers.kinds.cap": POSITIVE,
    "servers.kinds.cold_from": POSITIVE_SHARE,
    "servers.kinds.buffer_s": POSITIVE,
    "servers.kinds.message_ms": POSITIVE,
    "servers.kinds.burst": Bound(1),
    "relays.count": Bound(1, 10_000),
    "relays.cores": POSITIVE,
    "front.reshuffle": SHARE,
    "classes.load": POSITIVE,
    "classes.change_s": POSITIVE,
    "clients.life_s": POSITIVE,
    "clients.swing": SHARE,
    "clients.group_size": Bound(1),
    "clients.honour": SHARE,
    "clients.zone_skew": SHARE,
    "faults.part": POSITIVE_SHARE,
    "faults.every_s": POSITIVE,
}


class FaultOptions(NamedTuple):
    """The keys that one kind of fault takes.

    `required` keys must be given, `optional` ones may be. If `has_targets` is set, the fault needs either
    `part` or `count`. `size` is the bound of the key of that name.
    """

    required: tuple[str, ...]
    optional: tuple[str, ...] = ()
    has_targets: bool = True
    size: Bound | None = None


FAULT_OPTIONS = {
    "neighbour": FaultOptions(("size",), ("len_s", "every_s"), size=POSITIVE_SHARE),
    "shrink": FaultOptions(("size", "over_s"), has_targets=False, size=Bound(1, includes_minimum=False)),
    "drain": FaultOptions(("over_s",), ("replace",)),
    "restart_servers": FaultOptions((), ("over_s", "len_s")),
    "start_servers": FaultOptions(("count",), ("over_s",), has_targets=False),
    "server_crash": FaultOptions((), ("len_s",)),
    "server_vanish": FaultOptions((), ("len_s",)),
    "server_jam": FaultOptions((), ("len_s",)),
    "zone_loss": FaultOptions(("zone",), ("len_s", "relays"), has_targets=False),
    "relay_crash": FaultOptions(()),
    "relay_restart": FaultOptions((), ("over_s",)),
    "relay_stall": FaultOptions(("len_s",)),
    "reconnect": FaultOptions(("size",), ("over_s",), has_targets=False, size=POSITIVE_SHARE),
    "list_silent": FaultOptions((), ("len_s",), has_targets=False),
    "flap": FaultOptions(("every_s",), ("len_s",)),
}


def shipped() -> list[str]:
    """Returns the names of the shipped scenarios."""
    return sorted(path.stem for path in FOLDER.glob("*.toml"))


def load(name_or_path: str) -> Scenario:
    """Returns a shipped scenario by its name, or the scenario of a file.

    Raises BadFile with the key, the line and the reason if the file is invalid.
    """
    return check(find(name_or_path))


def find(name_or_path: str, beside: Path | None = None) -> TomlFile:
    """Returns the unchecked values of a scenario file.

    A path is relative to the folder `beside`, or to the current folder if that is None.
    """
    if name_or_path in shipped():
        return toml_file.read(FOLDER / f"{name_or_path}.toml")
    if "/" in name_or_path or name_or_path.endswith(".toml"):
        return toml_file.read((beside or Path()) / name_or_path)
    raise BadFile(
        name_or_path, "no scenario of this name; " + toml_file.suggest_name(name_or_path, shipped())
    )


def check(file: TomlFile) -> Scenario:
    """Returns the scenario of a file; raises BadFile if its values are invalid or do not fit each other."""
    scenario = file.convert(Scenario)
    for key, value, kind in _values(scenario, ()):
        _check_value(file, key, value, kind)
    _check_names(file, scenario)
    _check_consistency(file, scenario)
    for number, fault in enumerate(scenario.faults):
        _check_fault(file, ("faults", number), fault, scenario)
    return scenario


def _values(part: Part, prefix: Key) -> Iterator[tuple[Key, Any, Any]]:
    """Yields each value with its key and type, also those of nested tables."""
    for field in msgspec.structs.fields(part):
        key, value = (*prefix, field.name), getattr(part, field.name)
        if isinstance(value, Part):
            yield from _values(value, key)
        elif isinstance(value, tuple) and value and isinstance(value[0], Part):
            for number, inner in enumerate(value):
                yield from _values(inner, (*key, number))
        else:
            yield key, value, field.type


def _check_value(file: TomlFile, key: Key, value: Any, kind: Any) -> None:
    if kind in RANGES and isinstance(value, tuple) and value[0] > value[1]:
        raise file.error(key, f"the first of a pair must not be the greater: [{value[0]:g}, {value[1]:g}]")
    bound = BOUNDS.get(".".join(part for part in key if isinstance(part, str)))
    if bound is not None and value is not None:
        _check_bound(file, key, value, bound)


def _check_bound(file: TomlFile, key: Key, value: Any, bound: Bound) -> None:
    for number in value if isinstance(value, tuple) else (value,):
        if not bound.contains(number):
            raise file.error(key, f"must be {bound}, not {number:g}")


def _check_names(file: TomlFile, scenario: Scenario) -> None:
    lists: list[tuple[Key, tuple[Any, ...]]] = [
        (("classes",), scenario.classes),
        (("schemes",), scenario.schemes),
        (("servers", "kinds"), scenario.servers.kinds),
        (("zones", "names"), scenario.zones.names),
    ]
    for key, parts in lists:
        seen: set[str] = set()
        for number, part in enumerate(parts):
            name = part if isinstance(part, str) else part.name
            if name in seen:
                at = (*key, number) if isinstance(part, str) else (*key, number, "name")
                raise file.error(at, f"there is another {name!r} already; names must differ")
            seen.add(name)


def _check_consistency(file: TomlFile, scenario: Scenario) -> None:
    shares, zones = scenario.servers.zone_shares, scenario.zones.names
    if not zones:
        raise file.error(("zones", "names"), "there must be at least one zone")
    if shares is not None and len(shares) != len(zones):
        raise file.error(("servers", "zone_shares"), f"{len(shares)} shares for {len(zones)} zones")
    if scenario.warm_up_s >= scenario.length_s:
        raise file.error(("warm_up_s",), f"must be below length_s ({scenario.length_s:g})")
    if scenario.clients.connections is not None and not scenario.clients.standing:
        raise file.error(("clients", "connections"), "has no meaning without standing = true")


def _check_fault(file: TomlFile, key: Key, fault: Fault, scenario: Scenario) -> None:
    options, given = FAULT_OPTIONS[fault.kind], file.data["faults"][key[-1]]
    allowed = [
        "kind",
        "at_s",
        *(("part", "count") if options.has_targets else ()),
        *options.required,
        *options.optional,
    ]
    for name in given:
        if name not in allowed:
            reason = f"has no meaning for {fault.kind}, which takes {', '.join(allowed)}"
            raise file.error((*key, name), reason)
    for name in options.required:
        if not getattr(fault, name):
            raise file.error(
                (*key, name), f"{fault.kind} needs this key" + " to be above 0" * (name in given)
            )
    if options.has_targets and ("part" in given) == ("count" in given):
        raise file.error((*key, "part"), f"{fault.kind} needs one of part and count")
    if options.size is not None:
        _check_bound(file, (*key, "size"), fault.size, options.size)
    _check_fault_fits(file, key, fault, scenario)


def _check_fault_fits(file: TomlFile, key: Key, fault: Fault, scenario: Scenario) -> None:
    latest = fault.at_s[1] if isinstance(fault.at_s, tuple) else fault.at_s
    if latest >= scenario.length_s:
        raise file.error((*key, "at_s"), f"{latest:g} is beyond length_s ({scenario.length_s:g})")
    if fault.zone is not None and fault.zone not in scenario.zones.names:
        reason = f"no zone {fault.zone!r}; " + toml_file.suggest_name(fault.zone, list(scenario.zones.names))
        raise file.error((*key, "zone"), reason)
    machines = scenario.relays.count if fault.kind.startswith("relay") else scenario.servers.count
    if fault.count is not None and fault.kind != "start_servers" and fault.count > machines:
        raise file.error((*key, "count"), f"{fault.count} is more than the {machines} there are")
