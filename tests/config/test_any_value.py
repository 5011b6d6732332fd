"""Configuration files with any value replaced: each is read, or refused by its reader's own error."""

import copy
import json
import math
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import relaying

from glenfold.config import ConfigError, operators, read_again, read_config, replica
from glenfold.config.tables import FileErrors

Place = tuple[str | int, ...]
PLATFORM: dict[str, Any] = {
    "listen": "127.0.0.1:9",
    "discovery": "127.0.0.1:9",
    "settings": relaying.SETTINGS | {"invariants": {"cold_us": 1, "fall_multiple": 2.0}},
    "seed": "1f",
    "limits": {"sockets": 300, "memory_mb": 100, "cores": 1.0},
    "name": "a",
    "known": {"seq": 1, "whole": True, "hosts": []},
}
OPERATORS = """format = 1
instance = { name = "a", folder = "state" }
listeners = { addresses = ["127.0.0.1:3000"] }
limits = { sockets = 1024, memory_mb = 192, cores = 1.0 }
list = { region = "n", parents = [{ address = "127.0.0.1:7", zone = "cardiff", region = "n" }] }
logging = { form = "text", level = "info", levels = { client = "warning" } }
fleet = { instances = 2, port_step = 1 }
[settings]
classes = [{ name = "x", deadline_ms = 3000, semantics = "by_key", window_ms = 100, worth = 3 }]
zones = ["cardiff"]
zone = "cardiff"
kinds = ["m"]
tenants = [{ name = "v", quota_connections = 500 }]
rules = { relays = 2, max_attempts = 5, connect_timeout_ms = 250, cold_share = 0.12 }
"""
REPLICA = """format = 1
replica = { name = "north-1", listen = "127.0.0.1:7100", zone = "north-1", region = "north" }
parents = [{ address = "127.0.0.1:7000" }]
limits = { children = 100 }
shutdown = { spread_s = 1.0 }
logging = { form = "text" }
"""


def nested(levels: int) -> tuple[Any, Any]:
    tables: Any = 1
    lists: Any = 1
    for _ in range(levels):
        tables, lists = {"a": tables}, [lists]
    return tables, lists


NUMBERS = [-1, 0, 1, 1 << 63, 10**400, -(10**400), 1e308, -1e308, 5e-324, math.nan, math.inf, -math.inf]
HOSTS = ["127.0.0..1:9", "[::1]:80", "[::1%a]:80", "a:0", "a:65536", "a" * 64 + ":9", "a" * 300]
TEXTS = ["", "x", "\0", "a\0b:80", "9" * 5000, "1e400", "nan", "a=b\nc=d", *HOSTS]
FORMS = [None, True, False, [], {}, [[]], [1], ["a"], [{}], [None], {"a": 1}, *nested(30)]
# JSON alone can write half of a surrogate pair, and nests deeper than the reader of TOML.
JSON_ONLY = ["s-\ud800", *nested(900)]


def places(value: Any, place: Place = ()) -> Iterator[Place]:
    """Yields the place of each value within a document."""
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in items:
        yield (*place, key)
        yield from places(item, (*place, key))


def replaced(document: dict[str, Any], place: Place, value: Any) -> dict[str, Any]:
    """Returns a copy of the document with another value at the place."""
    result = copy.deepcopy(document)
    parent: Any = result
    for key in place[:-1]:
        parent = parent[key]
    parent[place[-1]] = value
    return result


def as_toml(value: Any) -> str:
    """Returns a value as inline TOML."""
    if isinstance(value, dict):
        return "{" + ", ".join(f'"{key}" = {as_toml(item)}' for key, item in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(as_toml, value)) + "]"
    return json.dumps(value).replace("NaN", "nan").replace("Infinity", "inf").replace("null", "[]")


# Guards against a value that ends the start or a reload in an error of another kind (incident 14).
def test_any_value_of_the_platforms_file_is_read_or_refused_with_its_key(tmp_path: Path) -> None:
    file, keys = tmp_path / "config.json", {*PLATFORM, "LB_CONFIG", "LB_LISTEN", "LB_DISCOVERY"}
    environment = {"LB_CONFIG": str(file)}
    file.write_text(json.dumps(PLATFORM))
    sound = read_config(environment)
    for place in places(PLATFORM):
        for value in (*NUMBERS, *TEXTS, *FORMS, *JSON_ONLY):
            file.write_text(json.dumps(replaced(PLATFORM, place, value)))
            for read in (read_config, lambda variables: read_again(variables, sound)):
                try:
                    read(environment)
                except ConfigError as error:
                    assert re.split("[.:]", str(error))[0] in keys


# Guards against a table of another type, which ended `glenfold run` in a traceback (incident 14).
@pytest.mark.parametrize(
    ("text", "read"), [(OPERATORS, operators.read), (REPLICA, replica.read)], ids=["operators", "replica"]
)
def test_any_value_of_a_toml_file_is_read_or_refused_by_line(tmp_path: Path, text: str, read: Any) -> None:
    document, path = tomllib.loads(text), tmp_path / "file.toml"
    path.write_text(text)
    read(path)
    for place in places(document):
        for value in (*NUMBERS, *TEXTS, *FORMS):
            lines = (f"{key} = {as_toml(item)}\n" for key, item in replaced(document, place, value).items())
            path.write_text("".join(lines))
            try:
                read(path)
            except FileErrors as error:
                assert error.message.startswith(f"{path}:")
