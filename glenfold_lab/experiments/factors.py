"""Factors of an experiment: keys of its scenarios with the values to play."""

import copy
import json
import re
from collections.abc import Iterator, Sequence
from itertools import product
from typing import Any, NamedTuple

from glenfold.toml_file import BadFile, Key, TomlFile, format_key
from glenfold_lab import scenario
from glenfold_lab.spec import Scenario


class Factor(NamedTuple):
    """A key of the scenarios and the values to play.

    `name` is the scenario key as written, `key` the position of the factor in the experiment file, `path` the
    path of the value within a scenario's data.
    """

    name: str
    key: Key
    path: Key
    levels: tuple[Any, ...]


class Variant(NamedTuple):
    """A scenario at one level of each factor; `levels` are the values as JSON by the factors' names."""

    scenario: Scenario
    levels: dict[str, str]


def read(file: TomlFile) -> tuple[Factor, ...]:
    """Returns the factors of an experiment file in its order. Raises BadFile for the first problem."""
    factors = tuple(_factors(file, file.data.get("factors", {}), ("factors",)))
    for number, factor in enumerate(factors):
        if factor.path in [other.path for other in factors[:number]]:
            raise file.error(factor.key, f"{factor.name} is listed twice")
        texts = [_level_text(level) for level in factor.levels]
        for index, text in enumerate(texts):
            if text in texts[:index]:
                raise file.error((*factor.key, index), f"{text} is listed twice")
    return factors


def _factors(file: TomlFile, value: dict[str, Any], key: Key) -> Iterator[Factor]:
    """Yields the factors under `key`.

    `"clients.load" = [...]`, `clients.load = [...]` and a table [factors.clients] all mean the same.
    """
    for part, inner in value.items():
        key_path = (*key, part)
        if isinstance(inner, dict):
            yield from _factors(file, inner, key_path)
            continue
        name = ".".join(str(part) for part in key_path[1:])
        if not isinstance(inner, list) or not inner:
            raise file.error(key_path, "expected a list of the values to play")
        yield Factor(name, key_path, _path(file, key_path, name), tuple(inner))


def _path(file: TomlFile, key_path: Key, name: str) -> Key:
    if not re.fullmatch(r"\w+(\[\d+\])*(\.\w+(\[\d+\])*)*", name, re.ASCII):
        raise file.error(key_path, "expected a key of a scenario, as clients.load or faults[0].size")
    return tuple(word or int(number) for word, number in re.findall(r"(\w+)|\[(\d+)\]", name))


def _level_text(level: Any) -> str:
    return json.dumps(level, default=str)


def variants(file: TomlFile, base: TomlFile, factors: Sequence[Factor]) -> Iterator[Variant]:
    """Yields the scenario `base` at each combination of levels. Raises BadFile if one of them is invalid."""
    for indexes in product(*(range(len(factor.levels)) for factor in factors)):
        chosen = list(zip(factors, indexes, strict=True))
        data = copy.deepcopy(base.data)
        for factor, index in chosen:
            _set_level(file, base, data, factor, factor.levels[index])
        try:
            checked = scenario.check(TomlFile(base.name, data, base.lines))
        except BadFile as error:
            raise _level_error(file, base, chosen, error) from error
        yield Variant(checked, {factor.name: _level_text(factor.levels[index]) for factor, index in chosen})


def _set_level(file: TomlFile, base: TomlFile, data: Any, factor: Factor, level: Any) -> None:
    *parents, last = factor.path
    for part in parents:
        data = data.setdefault(part, {}) if _is_table_key(data, part) else _item_or_none(data, part)
    if not _is_table_key(data, last) and _item_or_none(data, last) is None:
        raise file.error(factor.key, f"{base.data['name']} has nothing at {factor.name}")
    data[last] = copy.deepcopy(level)


def _is_table_key(data: Any, part: str | int) -> bool:
    return isinstance(data, dict) and isinstance(part, str)


def _item_or_none(data: Any, part: str | int) -> Any:
    return data[part] if isinstance(data, list) and isinstance(part, int) and part < len(data) else None


def _level_error(
    file: TomlFile, base: TomlFile, chosen: Sequence[tuple[Factor, int]], error: BadFile
) -> BadFile:
    """Returns `error` with the position of the level in the experiment file.

    The scenario is valid without the levels, so the cause is the level of the key that the error names, or
    several levels together.
    """
    named = [(factor, index) for factor, index in chosen if error.key[: len(factor.path)] == factor.path]
    levels = ", ".join(
        f"{factor.name} = {_level_text(factor.levels[index])}" for factor, index in named or chosen
    )
    factor, index = (named or chosen)[0]
    reason = f"{base.data['name']} with {levels}: {format_key(error.key)}: {error.reason}"
    return file.error((*factor.key, index), reason)
