"""A TOML file as a Struct, with all its faults at once: msgspec alone would tell of the first.

Each value that fits goes in, whatever is amiss beside it, so that what must hold between values can be
looked at in the same round.
"""

import math
from collections.abc import Iterable
from pathlib import Path
from types import NoneType, UnionType
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin

import click
import msgspec
from msgspec import inspect
from msgspec.structs import FieldInfo

from glenfold.located import BadFile, Key, Located, nearest, read_text, scan, short

T = TypeVar("T", bound=msgspec.Struct)


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """A table of a file. What is Annotated carries bounds; other keys than its own are faults."""


class FileErrors(click.ClickException):
    """All that is amiss with one file, by line: one `FILE:LINE: key.path: reason` each. Ends a command with
    status 2."""

    exit_code = 2

    def __init__(self, faults: Iterable[BadFile]) -> None:
        self.faults = tuple(sorted(faults, key=lambda fault: (fault.line or 0, fault.message)))
        super().__init__("\n".join(fault.message for fault in self.faults))

    def show(self, file: Any = None) -> None:
        click.echo(self.message, err=True, file=file)


def bare(kind: Any) -> Any:
    """Without bounds and without None."""
    if get_origin(kind) is Annotated:
        return bare(get_args(kind)[0])
    if get_origin(kind) in (Union, UnionType):
        return bare(next(one for one in get_args(kind) if one is not NoneType))
    return kind


def inner(kind: Any) -> Any:
    """The type of what a list or table of any keys holds; None: it is neither."""
    origin = get_origin(bare(kind))
    if origin is tuple:
        return get_args(bare(kind))[0]
    return get_args(bare(kind))[1] if origin is dict else None


def is_table(kind: Any) -> bool:
    found = bare(kind)
    return isinstance(found, type) and issubclass(found, Table)


def described(kind: Any) -> str:
    """What is right for it, in an operator's words."""
    if is_table(kind):
        return "a table"
    here = inspect.type_info(kind)
    if isinstance(here, inspect.UnionType):
        here = next(one for one in here.types if not isinstance(one, inspect.NoneType))
    match here:
        case inspect.Metadata(extra_json_schema={"description": str(words)}):
            return words
        case inspect.LiteralType():
            return " or ".join(map(str, get_args(bare(kind))))
        case inspect.IntType():
            return "a whole number" + _bounds(here.gt, here.ge, here.le)
        case inspect.FloatType():
            return "a number" + _bounds(here.gt, here.ge, here.le)
        case inspect.StrType():
            return "a text" + _bounds(None, here.min_length, here.max_length, " characters")
        case inspect.VarTupleType():
            return "a list" + _bounds(None, here.min_length, here.max_length, " entries")
        case inspect.BoolType():
            return "true or false"
    return "a table"


def _bounds(above: float | None, least: float | None, most: float | None, unit: str = "") -> str:
    """Every type with bounds has an upper one."""
    if most is None:
        return ""
    first = f"of {least or 0:,}" if above is None else f"above {above:,}"
    return f" {first} to {most:,}{unit}"


def default(field: FieldInfo) -> Any:
    """None for one that must be given."""
    if field.default is not msgspec.NODEFAULT:
        return field.default
    return None if field.default_factory is msgspec.NODEFAULT else field.default_factory()


def read_file(path: str | Path, kind: type[T]) -> tuple["Reading", T]:
    """A file whose `format` is 1, with what is amiss so far. Raises Faults where it is no such file."""
    try:
        located = scan(read_text(path), str(path))
    except BadFile as error:
        raise FileErrors([error]) from error
    reading = Reading(located)
    terms = reading.table(located.data, kind)
    if located.data.get("format", 1) != 1:  # whatever else it says may mean something else there
        raise FileErrors([located.fault(("format",), "this glenfold reads format 1 only")])
    return reading, terms


class Reading:
    """`faults` grows as it reads; what is at fault takes its default, None where it must be given."""

    def __init__(self, located: Located) -> None:
        self.located = located
        self.faults: dict[Key, BadFile] = {}
        self._unsound: set[Key] = set()

    def fault(self, key: Key, reason: str) -> None:
        """The first one of a key counts: the others follow from it."""
        self.faults.setdefault(key, self.located.fault(key, reason))
        self._unsound.add(key)

    def sound(self, *keys: Key) -> bool:
        """Whether nothing is amiss with these, with what they hold, or with what holds them."""
        return not any(a[: len(b)] == b[: len(a)] for a in self._unsound for b in keys)

    def table(self, data: dict[str, Any], kind: type[T], key: Key = ()) -> T:
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        for name in data:
            if name not in fields:
                reason = "unknown key; " + nearest(name, list(fields))
                self.faults[*key, name] = self.located.fault((*key, name), reason)
        return kind(**{name: self._field(data, field, (*key, name)) for name, field in fields.items()})

    def _field(self, data: dict[str, Any], field: FieldInfo, key: Key) -> Any:
        if field.name in data:
            return self._value(data[field.name], field.type, key, default(field))
        if field.required and is_table(field.type):
            return self.table({}, bare(field.type), key)
        if field.required:
            self.fault(key, f"is missing; it must be {described(field.type)}")
        return default(field)

    def _value(self, data: Any, kind: Any, key: Key, fallback: Any) -> Any:
        if isinstance(data, dict) and is_table(kind):
            return self.table(data, bare(kind), key)
        before, held = len(self._unsound), inner(kind)
        if isinstance(data, list) and held:
            data = [self._value(one, held, (*key, n), None) for n, one in enumerate(data)]
        elif isinstance(data, dict) and held:
            data = {name: self._value(one, held, (*key, name), None) for name, one in data.items()}
        if len(self._unsound) > before:
            return tuple(data) if isinstance(data, list) else data
        try:
            if isinstance(data, float) and not math.isfinite(data):
                raise msgspec.ValidationError
            return msgspec.convert(data, kind)
        except msgspec.ValidationError:
            self.fault(key, f"expected {described(kind)}, not {short(data)}")
            return fallback
