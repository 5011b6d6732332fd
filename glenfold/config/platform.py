"""The one place where the environment and LB_CONFIG are read, checked and given defaults."""

import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from linnetspread import interface as i
from linnetspread.wire import Problem, read_settings

Address = tuple[str, int]


class ConfigError(Exception):
    """Names the faulty key."""

    def __init__(self, key: str, fault: str) -> None:
        super().__init__(f"{key}: {fault}")


@dataclass(frozen=True, slots=True)
class Parent:
    """A control replica, or discovery itself, that lists can be followed from. None: it is not said where it
    stands."""

    address: Address
    zone: str | None = None
    region: str | None = None


@dataclass(frozen=True, slots=True)
class Parents:
    """Several to follow one of, and where the one that follows stands."""

    parents: tuple[Parent, ...]
    zone: str | None = None
    region: str | None = None


@dataclass(frozen=True, slots=True)
class Names:
    """Where the settings list a name; the decisions know only its place."""

    classes: dict[str, int]
    tenants: dict[str, int]
    sites: dict[str, int]
    kinds: dict[str, int]


OWN_SOCKETS = 15  # standard streams, event loop, listener, log, control socket, discovery: no client gets one
REFUSED_SOCKETS = 6  # of clients that are told why they are refused, and read from meanwhile
CLOSING_SOCKETS = 3  # of clients that are closed within a few turns of the event loop
SPARE_SOCKETS = OWN_SOCKETS + REFUSED_SOCKETS + CLOSING_SOCKETS
BASE_MB = 22  # of a relay without connections
CONNECTION_MB = 0.04  # of one with both its sides


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections there may be at once, within the limits on descriptors and memory."""

    max_awaiting_first_line: int  # without a whole first line
    max_accepted: int  # with one: a descriptor on each side
    max_refusing: int  # told that they are refused, and read from for a moment

    @classmethod
    def within(cls, sockets: int, memory_mb: float) -> "ConnectionLimits":
        waiting = min(64, (sockets - SPARE_SOCKETS) // 8 + 1)
        taken = min((sockets - SPARE_SOCKETS - waiting) // 2, (memory_mb - BASE_MB) / CONNECTION_MB)
        return cls(waiting, int(taken), REFUSED_SOCKETS)


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    connection_limits: ConnectionLimits
    settings: i.Settings
    names: Names
    cores: float = 1.0  # the part of a core that this process may use
    known: dict[str, Any] = field(default_factory=dict)  # in discovery's form; checked where that is read
    split_groups: bool = False  # whether a large group is placed in parts
    faults: tuple[Problem, ...] = ()  # in the settings, where a default stands for what they say
    parents: Parents | None = None  # in place of `discovery`, which is the first of them then


def read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    """As `read_address` reads it."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _address(*places: tuple[str, Any]) -> Address:
    """From the first of these places that says anything; a fault is put down to that one."""
    key, text = next((place for place in places if place[1]), places[0])
    if not isinstance(text, str) or not text:
        raise ConfigError(key, "is not HOST:PORT" if text else "is missing")
    try:
        return read_address(text)
    except ValueError as error:
        raise ConfigError(key, str(error)) from error


def _flat(value: Any, path: str) -> list[str]:
    """Nested JSON as the `path=value` lines of the simulator's settings."""
    if isinstance(value, dict):
        return [line for name, inner in value.items() for line in _flat(inner, f"{path}.{name}".lstrip("."))]
    if isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        inner_lines = [line for n, inner in enumerate(value) for line in _flat(inner, f"{path}.{n}")]
        return [f"{path}.count={len(value)}", *inner_lines]
    if isinstance(value, list):
        return [f"{path}={','.join(_plain(inner, path) for inner in value)}"]
    return [f"{path}={_plain(value, path)}"]


def _plain(value: Any, path: str) -> str:
    if isinstance(value, float) and not math.isfinite(value):
        raise ConfigError(f"settings.{path}", "is not a finite number")
    if isinstance(value, bool):
        return str(value).lower()
    return re.sub(r"[\s,]", "_", str(value))  # a line's end too, or a name could bring a setting of its own


def _places(values: Any, key: str) -> dict[str, int]:
    """The place of each name in a list of names, or of objects that have one."""
    if not isinstance(values, list):
        raise ConfigError(key, "is not a list")
    places: dict[str, int] = {}
    for n, value in enumerate(values):
        name = value.get("name") if isinstance(value, dict) else value
        if not isinstance(name, str):
            raise ConfigError(f"{key}.{n}", "has no name")
        places[name] = n
    return places


def settings_of(settings: dict[str, Any]) -> tuple[i.Settings, tuple[Problem, ...]]:
    """Of that JSON object, with what is faulty in it. Whatever it says: no line of the protocol tells what a
    message takes."""
    faults: list[Problem] = []
    read = replace(read_settings("\n".join(_flat(settings, "")), faults), tells_delay=False)
    return read, tuple((f"settings.{key}", fault) for key, fault in faults)


def names_of(settings: dict[str, Any]) -> Names:
    if not settings.get("classes"):
        raise ConfigError("settings.classes", "is missing")
    found = [
        _places(settings.get(key, []), f"settings.{key}") for key in ("classes", "accounts", "areas", "kinds")
    ]
    return Names(*found)


def _object(parent: Mapping[str, Any], key: str, path: str, default: Any = None) -> dict[str, Any]:
    value = parent.get(key, default)
    if not isinstance(value, dict):
        raise ConfigError(path, "is missing" if value is None else "is not an object")
    return value


def _limit(limits: Mapping[str, Any], key: str, default: float, least: float) -> float:
    value = limits.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < math.inf:
        raise ConfigError(f"limits.{key}", f"{value!r} is not a number of at least {least}")
    return float(value)


def read_config(environment: Mapping[str, str], again: bool = False) -> Config:
    """LB_NAME, LB_LISTEN and LB_DISCOVERY go before what the file named by LB_CONFIG says; when it is read
    again, what it says of discovery is the newer word and goes before the environment."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG", "is not set")
    try:
        document = json.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError("LB_CONFIG", f"can't be read: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError("LB_CONFIG", "is not a JSON object")
    settings = _object(document, "settings", "settings")
    limits = _object(document, "limits", "limits", {})
    connection_limits = ConnectionLimits.within(
        int(_limit(limits, "sockets", 1024, 32)), _limit(limits, "memory_mb", math.inf, 24)
    )
    try:
        seed = int(document.get("seed", "0"), 16)
    except (TypeError, ValueError) as error:
        raise ConfigError("seed", "is not a hexadecimal number") from error
    names = names_of(settings)
    read, faults = settings_of(settings)
    discovery = [("LB_DISCOVERY", environment.get("LB_DISCOVERY")), ("discovery", document.get("discovery"))]
    return Config(
        name=environment.get("LB_NAME") or str(document.get("name", "relay")),
        listen=_address(("LB_LISTEN", environment.get("LB_LISTEN")), ("listen", document.get("listen"))),
        discovery=_address(*(reversed(discovery) if again else discovery)),
        seed=seed,
        connection_limits=connection_limits,
        settings=read,
        names=names,
        cores=_limit(limits, "cores", 1.0, 0.01),
        known=_object(document, "known", "known", {}),
        faults=faults,
    )


NEED_RESTART = ("name", "listen", "settings")  # `seed` and `known` are for a start alone


def read_again(environment: Mapping[str, str], current: Config) -> tuple[Config, list[str]]:
    """The configuration after SIGHUP, and the keys whose new values wait for a restart. A setting that has
    become faulty is refused: at a start somebody must serve, here somebody does."""
    new = read_config(environment, again=True)
    for key, fault in new.faults:
        if (key, fault) not in current.faults:
            raise ConfigError(key, fault)
    waiting = [key for key in NEED_RESTART if getattr(new, key) != getattr(current, key)]
    return replace(current, discovery=new.discovery, connection_limits=new.connection_limits), waiting
