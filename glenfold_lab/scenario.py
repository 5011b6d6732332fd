"""Scenario files: read, checked beyond what the types of their values say, and those that are shipped."""

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
    """What a value means something within; `least` itself only with `closed`."""

    least: float = 0.0
    most: float = float("inf")
    closed: bool = True

    def holds(self, value: float) -> bool:
        return self.least <= value <= self.most and (self.closed or value > self.least)

    def __str__(self) -> str:
        least = f"{'at least' if self.closed else 'above'} {self.least:g}"
        return least if self.most == float("inf") else f"{least} and at most {self.most:g}"


SHARE = Bound(most=1)
SOME = Bound(closed=False)
SOME_SHARE = Bound(most=1, closed=False)

# Narrower than the types of spec.py, where the type is a Range or bears no upper bound.
BOUNDS = {
    "length_s": Bound(most=DAY_S, closed=False),
    "zones.jitter": SHARE,
    "servers.count": Bound(1, 100_000),
    "servers.error_rate": SHARE,
    "servers.kinds.speed": SOME,
    "servers.kinds.speed_cv": SHARE,
    "servers.kinds.per_core": SOME,
    "servers.kinds.cap": SOME,
    "servers.kinds.cold_from": SOME_SHARE,
    "servers.kinds.buffer_s": SOME,
    "servers.kinds.message_ms": SOME,
    "servers.kinds.burst": Bound(1),
    "relays.count": Bound(1, 10_000),
    "relays.cores": SOME,
    "front.reshuffle": SHARE,
    "classes.load": SOME,
    "classes.change_s": SOME,
    "clients.life_s": SOME,
    "clients.swing": SHARE,
    "clients.group_size": Bound(1),
    "clients.honour": SHARE,
    "clients.zone_skew": SHARE,
    "faults.part": SOME_SHARE,
    "faults.every_s": SOME,
}


class Terms(NamedTuple):
    """Which values a kind of fault needs (`who`: one of part and count) and which others mean something."""

    needs: tuple[str, ...]
    may: tuple[str, ...] = ()
    who: bool = True
    size: Bound | None = None


FAULTS = {
    "neighbour": Terms(("size",), ("len_s", "every_s"), size=SOME_SHARE),
    "shrink": Terms(("size", "over_s"), who=False, size=Bound(1, closed=False)),
    "drain": Terms(("over_s",), ("replace",)),
    "restart_servers": Terms((), ("over_s", "len_s")),
    "start_servers": Terms(("count",), ("over_s",), who=False),
    "server_crash": Terms((), ("len_s",)),
    "server_vanish": Terms((), ("len_s",)),
    "server_jam": Terms((), ("len_s",)),
    "zone_loss": Terms(("zone",), ("len_s", "relays"), who=False),
    "relay_crash": Terms(()),
    "relay_restart": Terms((), ("over_s",)),
    "relay_stall": Terms(("len_s",)),
    "reconnect": Terms(("size",), ("over_s",), who=False, size=SOME_SHARE),
    "list_silent": Terms((), ("len_s",), who=False),
    "flap": Terms(("every_s",), ("len_s",)),
}


def shipped() -> list[str]:
    """The names of the scenarios that come with the lab."""
    return sorted(path.stem for path in FOLDER.glob("*.toml"))


def load(name_or_path: str) -> Scenario:
    """A shipped scenario by its name, or one from a file; BadFile tells key, line and reason."""
    return check(find(name_or_path))


def find(name_or_path: str, beside: Path | None = None) -> TomlFile:
    """The unchecked values of that file. A path is taken from the folder `beside`, if there is one."""
    if name_or_path in shipped():
        return toml_file.read(FOLDER / f"{name_or_path}.toml")
    if "/" in name_or_path or name_or_path.endswith(".toml"):
        return toml_file.read((beside or Path()) / name_or_path)
    raise BadFile(
        name_or_path, "no scenario of this name; " + toml_file.suggest_name(name_or_path, shipped())
    )


def check(file: TomlFile) -> Scenario:
    """The scenario, if all of its values fit each other."""
    scenario = file.convert(Scenario)
    for key, value, kind in _values(scenario, ()):
        _check_value(file, key, value, kind)
    _check_names(file, scenario)
    _check_whole(file, scenario)
    for number, fault in enumerate(scenario.faults):
        _check_fault(file, ("faults", number), fault, scenario)
    return scenario


def _values(part: Part, at: Key) -> Iterator[tuple[Key, Any, Any]]:
    """All values, with their keys and types; those of tables within tables one by one."""
    for field in msgspec.structs.fields(part):
        key, value = (*at, field.name), getattr(part, field.name)
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
        if not bound.holds(number):
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


def _check_whole(file: TomlFile, scenario: Scenario) -> None:
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
    terms, given = FAULTS[fault.kind], file.data["faults"][key[-1]]
    known = ["kind", "at_s", *(("part", "count") if terms.who else ()), *terms.needs, *terms.may]
    for name in given:
        if name not in known:
            reason = f"has no meaning for {fault.kind}, which takes {', '.join(known)}"
            raise file.error((*key, name), reason)
    for name in terms.needs:
        if not getattr(fault, name):
            raise file.error((*key, name), f"{fault.kind} needs it" + " above 0" * (name in given))
    if terms.who and ("part" in given) == ("count" in given):
        raise file.error((*key, "part"), f"{fault.kind} needs one of part and count")
    if terms.size is not None:
        _check_bound(file, (*key, "size"), fault.size, terms.size)
    _check_against(file, key, fault, scenario)


def _check_against(file: TomlFile, key: Key, fault: Fault, scenario: Scenario) -> None:
    latest = fault.at_s[1] if isinstance(fault.at_s, tuple) else fault.at_s
    if latest >= scenario.length_s:
        raise file.error((*key, "at_s"), f"{latest:g} is beyond length_s ({scenario.length_s:g})")
    if fault.zone is not None and fault.zone not in scenario.zones.names:
        reason = f"no zone {fault.zone!r}; " + toml_file.suggest_name(fault.zone, list(scenario.zones.names))
        raise file.error((*key, "zone"), reason)
    machines = scenario.relays.count if fault.kind.startswith("relay") else scenario.servers.count
    if fault.count is not None and fault.kind != "start_servers" and fault.count > machines:
        raise file.error((*key, "count"), f"{fault.count} of only {machines}")
