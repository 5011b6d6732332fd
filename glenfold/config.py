"""The one place where the environment and LB_CONFIG are read, checked and given defaults."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from linnetspread import interface as i
from linnetspread.wire import read_settings

Address = tuple[str, int]


class ConfigError(Exception):
    """Names the faulty key."""

    def __init__(self, key: str, fault: str) -> None:
        super().__init__(f"{key}: {fault}")


@dataclass(frozen=True, slots=True)
class Names:
    """Where the settings list a name; the decisions know only its place."""

    classes: dict[str, int]
    tenants: dict[str, int]
    sites: dict[str, int]
    kinds: dict[str, int]


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: i.Settings
    names: Names
    known: dict[str, Any] = field(default_factory=dict)  # in discovery's form; checked where that is read


def read_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def _address(text: Any, key: str) -> Address:
    if not isinstance(text, str) or not text:
        raise ConfigError(key, "is missing")
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
        return [f"{path}={','.join(_plain(inner) for inner in value)}"]
    return [f"{path}={_plain(value)}"]


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return str(value).replace(" ", "_").replace(",", "_")


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


def _names(settings: dict[str, Any]) -> Names:
    if not settings.get("classes"):
        raise ConfigError("settings.classes", "is missing")
    found = [_places(settings.get(key, []), f"settings.{key}")
             for key in ("classes", "accounts", "areas", "kinds")]
    return Names(*found)


def _object(parent: Mapping[str, Any], key: str, path: str, default: Any = None) -> dict[str, Any]:
    value = parent.get(key, default)
    if not isinstance(value, dict):
        raise ConfigError(path, "is missing" if value is None else "is not an object")
    return value


def read_config(environment: Mapping[str, str]) -> Config:
    """LB_NAME, LB_LISTEN and LB_DISCOVERY go before what the file named by LB_CONFIG says."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG", "is not set")
    try:
        document = json.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError("LB_CONFIG", f"can't be read: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError("LB_CONFIG", "is not a JSON object")
    settings = _object(document, "settings", "settings")
    limits = _object(document, "limits", "limits", {})
    sockets = limits.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 32:
        raise ConfigError("limits.sockets", f"{sockets!r} is not a number of at least 32")
    try:
        seed = int(document.get("seed", "0"), 16)
    except (TypeError, ValueError) as error:
        raise ConfigError("seed", "is not a hexadecimal number") from error
    return Config(
        name=environment.get("LB_NAME") or str(document.get("name", "relay")),
        listen=_address(environment.get("LB_LISTEN") or document.get("listen"), "LB_LISTEN"),
        discovery=_address(environment.get("LB_DISCOVERY") or document.get("discovery"), "LB_DISCOVERY"),
        seed=seed,
        sockets=sockets,
        settings=read_settings("\n".join(_flat(settings, ""))),
        names=_names(settings),
        known=_object(document, "known", "known", {}),
    )
