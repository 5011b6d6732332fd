"""Reads the environment and the file named by LB_CONFIG, checks them and fills in the defaults."""

import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from glenfold.config.address import Address, read_address
from linnetspread import interface
from linnetspread.wire import Problem, read_settings


class ConfigError(Exception):
    """Raised when the configuration has an error; the message starts with the key."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")


@dataclass(frozen=True, slots=True)
class Parent:
    """A control replica, or discovery itself, that server lists can be followed from.

    `zone` and `region` are None where the configuration does not give them.
    """

    address: Address
    zone: str | None = None
    region: str | None = None


@dataclass(frozen=True, slots=True)
class Parents:
    """The parents that a relay may follow one of, and the zone and region of the relay itself."""

    parents: tuple[Parent, ...]
    zone: str | None = None
    region: str | None = None


@dataclass(frozen=True, slots=True)
class Names:
    """The index of each name in the lists of the settings; the decisions know a name only by its index."""

    classes: dict[str, int]
    tenants: dict[str, int]
    sites: dict[str, int]
    kinds: dict[str, int]


# Descriptors that no client gets: standard streams, event loop, listener, log, control socket, discovery.
OWN_SOCKETS = 15
REFUSED_SOCKETS = 6  # Clients that are being sent the reason of their refusal, and read from meanwhile.
CLOSING_SOCKETS = 3  # Clients whose sockets are closed within a few turns of the event loop.
SPARE_SOCKETS = OWN_SOCKETS + REFUSED_SOCKETS + CLOSING_SOCKETS
BASE_MB = 22  # The memory of a relay without connections.
CONNECTION_MB = 0.04  # The memory of one connection with both its sides.
MAX_LIMIT = 1e15  # Far over what any machine has, and exact as a float.
MAX_SETTINGS_DEPTH = 32  # The settings of the simulator have four levels.


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The numbers of connections that a relay may have at once, by their state."""

    max_awaiting_first_line: int  # Connections whose first line is not complete.
    max_accepted: int  # Connections with a complete first line; each takes a descriptor on both sides.
    max_refusing: int  # Connections that are being sent a refusal and are read from for a short time.

    @classmethod
    def within(cls, sockets: int, memory_mb: float) -> "ConnectionLimits":
        """Returns the limits that fit into `sockets` descriptors and `memory_mb` of memory."""
        max_awaiting = min(64, (sockets - SPARE_SOCKETS) // 8 + 1)
        max_accepted = min(
            (sockets - SPARE_SOCKETS - max_awaiting) // 2, (memory_mb - BASE_MB) / CONNECTION_MB
        )
        return cls(max_awaiting, int(max_accepted), REFUSED_SOCKETS)


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one relay."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    connection_limits: ConnectionLimits
    settings: interface.Settings
    names: Names
    cores: float = 1.0  # The part of a core that this process may use.
    # The known list, in the form that discovery sends; it is checked when the list is read.
    known: dict[str, Any] = field(default_factory=dict)
    split_groups: bool = False  # Whether a large group is placed in parts.
    problems: tuple[Problem, ...] = ()  # Invalid settings; the default is used in place of each.
    parents: Parents | None = None  # If given, they replace `discovery`, which is the first parent then.


def _address(*sources: tuple[str, Any]) -> Address:
    """Returns the address from the first of these (key, text) pairs whose text is not empty.

    An error names the key of that pair, or of the first pair if all are empty.
    """
    key, text = next((source for source in sources if source[1]), sources[0])
    if not isinstance(text, str) or not text:
        raise ConfigError(key, "is not HOST:PORT" if text else "is missing")
    try:
        return read_address(text)
    except ValueError as error:
        raise ConfigError(key, str(error)) from error


def _flatten(value: Any, path: str, depth: int = 0) -> list[str]:
    """Converts nested JSON to the `path=value` lines of the simulator's settings."""
    if depth > MAX_SETTINGS_DEPTH:
        raise ConfigError("settings", f"is nested in more than {MAX_SETTINGS_DEPTH} levels")
    if isinstance(value, dict):
        items = ((f"{path}.{name}".lstrip("."), item) for name, item in value.items())
        return [line for item_path, item in items for line in _flatten(item, item_path, depth + 1)]
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        item_lines = [
            line for n, item in enumerate(value) for line in _flatten(item, f"{path}.{n}", depth + 1)
        ]
        return [f"{path}.count={len(value)}", *item_lines]
    if isinstance(value, list):
        return [f"{path}={','.join(_format_value(item, path) for item in value)}"]
    return [f"{path}={_format_value(value, path)}"]


def _format_value(value: Any, path: str) -> str:
    if isinstance(value, float) and not math.isfinite(value):
        raise ConfigError(f"settings.{path}", "is not a finite number")
    if isinstance(value, bool):
        return str(value).lower()
    # Line breaks are replaced too, as a name that holds one could otherwise inject a setting.
    return re.sub(r"[\s,]", "_", str(value))


def _name_indexes(values: Any, key: str) -> dict[str, int]:
    """Returns the index of each name in a list of names or of objects with a `name`."""
    if not isinstance(values, list):
        raise ConfigError(key, "is not a list")
    indexes: dict[str, int] = {}
    for n, value in enumerate(values):
        name = value.get("name") if isinstance(value, dict) else value
        if not isinstance(name, str):
            raise ConfigError(f"{key}.{n}", "has no name")
        indexes[name] = n
    return indexes


def settings_of(settings: dict[str, Any]) -> tuple[interface.Settings, tuple[Problem, ...]]:
    """Returns the settings in the JSON object, and the problems found in it.

    `tells_delay` is always False, as no line of the protocol reports how long a message takes.
    """
    problems: list[Problem] = []
    parsed = replace(read_settings("\n".join(_flatten(settings, "")), problems), tells_delay=False)
    return parsed, tuple((f"settings.{key}", problem) for key, problem in problems)


def names_of(settings: dict[str, Any]) -> Names:
    """Returns the indexes of all names in the JSON object. Raises ConfigError if a list is not valid."""
    if not settings.get("classes"):
        raise ConfigError("settings.classes", "is missing")
    indexes = [
        _name_indexes(settings.get(key, []), f"settings.{key}")
        for key in ("classes", "accounts", "areas", "kinds")
    ]
    return Names(*indexes)


def _object(parent: Mapping[str, Any], key: str, path: str, default: Any = None) -> dict[str, Any]:
    value = parent.get(key, default)
    if not isinstance(value, dict):
        raise ConfigError(path, "is missing" if value is None else "is not an object")
    return value


def _limit(limits: Mapping[str, Any], key: str, default: float, minimum: float) -> float:
    value = limits.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= MAX_LIMIT:
        raise ConfigError(f"limits.{key}", f"is not a number from {minimum} to {MAX_LIMIT:g}")
    return float(value)


def read_config(environment: Mapping[str, str], is_reload: bool = False) -> Config:
    """Returns the configuration from the environment and the file named by LB_CONFIG.

    LB_NAME, LB_LISTEN and LB_DISCOVERY take precedence over the file. At a reload (`is_reload`), the file's
    address of discovery is the newer one and takes precedence over LB_DISCOVERY. Raises ConfigError.
    """
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
    parsed, problems = settings_of(settings)
    discovery = [("LB_DISCOVERY", environment.get("LB_DISCOVERY")), ("discovery", document.get("discovery"))]
    return Config(
        name=environment.get("LB_NAME") or str(document.get("name", "relay")),
        listen=_address(("LB_LISTEN", environment.get("LB_LISTEN")), ("listen", document.get("listen"))),
        discovery=_address(*(reversed(discovery) if is_reload else discovery)),
        seed=seed,
        connection_limits=connection_limits,
        settings=parsed,
        names=names,
        cores=_limit(limits, "cores", 1.0, 0.01),
        known=_object(document, "known", "known", {}),
        problems=problems,
    )


# Keys whose changes need a restart. `seed` and `known` are not among them, as only a start uses them.
NEED_RESTART = ("name", "listen", "settings")


def read_again(environment: Mapping[str, str], current: Config) -> tuple[Config, list[str]]:
    """Returns the configuration after SIGHUP, and the keys whose new values wait for a restart.

    Raises ConfigError for a setting that has become invalid. A start accepts such a setting and uses the
    default, as a relay must serve; at a reload the relay already serves with valid settings.
    """
    new = read_config(environment, is_reload=True)
    for key, reason in new.problems:
        if (key, reason) not in current.problems:
            raise ConfigError(key, reason)
    waiting = [key for key in NEED_RESTART if getattr(new, key) != getattr(current, key)]
    return replace(current, discovery=new.discovery, connection_limits=new.connection_limits), waiting
