"""Reads a TOML file into a Struct and reports all its errors at once; msgspec alone reports only the first.

Each valid value is stored even where others are invalid, so that the checks between values can run in the
same pass.
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

from glenfold.toml_file import BadFile, Key, TomlFile, read_text, scan, shorten, suggest_name

T = TypeVar("T", bound=msgspec.Struct)


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """A table of a TOML file. Its fields are the keys it may have; their Annotated types carry the bounds."""


class FileErrors(click.ClickException):
    """All errors of one file, ordered by line, each as `FILE:LINE: key.path: reason`.

    Ends a command with status 2.
    """

    exit_code = 2

    def __init__(self, errors: Iterable[BadFile]) -> None:
        self.errors = tuple(sorted(errors, key=lambda error: (error.line or 0, error.message)))
        super().__init__("\n".join(error.message for error in self.errors))

    def show(self, file: Any = None) -> None:
        click.echo(self.message, err=True, file=file)


def unwrap_type(annotation: Any) -> Any:
    """Returns the type of an annotation without its bounds and without None."""
    if get_origin(annotation) is Annotated:
        return unwrap_type(get_args(annotation)[0])
    if get_origin(annotation) in (Union, UnionType):
        return unwrap_type(next(member for member in get_args(annotation) if member is not NoneType))
    return annotation


def element_type(annotation: Any) -> Any:
    """Returns the type of the values in a list or in a table with free keys; None for any other type."""
    origin = get_origin(unwrap_type(annotation))
    if origin is tuple:
        return get_args(unwrap_type(annotation))[0]
    return get_args(unwrap_type(annotation))[1] if origin is dict else None


def is_table(annotation: Any) -> bool:
    """Returns whether the annotation is a Table, with or without None."""
    unwrapped = unwrap_type(annotation)
    return isinstance(unwrapped, type) and issubclass(unwrapped, Table)


def describe_type(annotation: Any) -> str:
    """Returns a description of the valid values of a type, for operators."""
    if is_table(annotation):
        return "a table"
    type_info = inspect.type_info(annotation)
    if isinstance(type_info, inspect.UnionType):
        type_info = next(member for member in type_info.types if not isinstance(member, inspect.NoneType))
    match type_info:
        case inspect.Metadata(extra_json_schema={"description": str(description)}):
            return description
        case inspect.LiteralType():
            return " or ".join(map(str, get_args(unwrap_type(annotation))))
        case inspect.IntType():
            return "a whole number" + _bounds(type_info.gt, type_info.ge, type_info.le)
        case inspect.FloatType():
            return "a number" + _bounds(type_info.gt, type_info.ge, type_info.le)
        case inspect.StrType():
            return "a text" + _bounds(None, type_info.min_length, type_info.max_length, " characters")
        case inspect.VarTupleType():
            return "a list" + _bounds(None, type_info.min_length, type_info.max_length, " entries")
        case inspect.BoolType():
            return "true or false"
    return "a table"


def _bounds(above: float | None, minimum: float | None, maximum: float | None, unit: str = "") -> str:
    """Returns a text for the bounds of a type; every type that has bounds has an upper one."""
    if maximum is None:
        return ""
    lower_bound = f"of {minimum or 0:,}" if above is None else f"above {above:,}"
    return f" {lower_bound} to {maximum:,}{unit}"


def default_value(field: FieldInfo) -> Any:
    """Returns the default of a field; None for a required field."""
    if field.default is not msgspec.NODEFAULT:
        return field.default
    return None if field.default_factory is msgspec.NODEFAULT else field.default_factory()


def read_file(path: str | Path, table_type: type[T]) -> tuple["TableReader", T]:
    """Reads a file of format 1 and returns its table, with the reader that holds the errors so far.

    Raises FileErrors if the file can't be read, is not TOML or has another `format`.
    """
    try:
        toml_file = scan(read_text(path), str(path))
    except BadFile as error:
        raise FileErrors([error]) from error
    reader = TableReader(toml_file)
    terms = reader.read_table(toml_file.data, table_type)
    if toml_file.data.get("format", 1) != 1:  # Other errors are dropped: keys may differ in another format.
        raise FileErrors([toml_file.error(("format",), "this glenfold reads format 1 only")])
    return reader, terms


class TableReader:
    """Converts the values of a file to Tables and collects the errors in `errors`, by key.

    An invalid value is replaced by its default, which is None for a required key.
    """

    def __init__(self, toml_file: TomlFile) -> None:
        self.toml_file = toml_file
        self.errors: dict[Key, BadFile] = {}
        self._invalid_keys: set[Key] = set()
        # Whether a required table is something else, so that the file can't be checked any further.
        self.lacks_table = False

    def add_error(self, key: Key, reason: str) -> None:
        """Records an error; only the first error of a key is kept, as the others follow from it."""
        self.errors.setdefault(key, self.toml_file.error(key, reason))
        self._invalid_keys.add(key)

    def is_valid(self, *keys: Key) -> bool:
        """Returns whether no error was recorded for these keys, or for keys above or below them."""
        return not any(a[: len(b)] == b[: len(a)] for a in self._invalid_keys for b in keys)

    def read_table(self, data: dict[str, Any], table_type: type[T], key: Key = ()) -> T:
        """Converts a table of the file, at `key`; records an error for each unknown key and invalid value."""
        fields = {field.name: field for field in msgspec.structs.fields(table_type)}
        for name in data:
            if name not in fields:
                reason = "unknown key; " + suggest_name(name, list(fields))
                self.errors[*key, name] = self.toml_file.error((*key, name), reason)
        return table_type(
            **{name: self._read_field(data, field, (*key, name)) for name, field in fields.items()}
        )

    def _read_field(self, data: dict[str, Any], field: FieldInfo, key: Key) -> Any:
        if field.name in data:
            return self._read_value(data[field.name], field.type, key, default_value(field))
        if field.required and is_table(field.type):
            return self.read_table({}, unwrap_type(field.type), key)
        if field.required:
            self.add_error(key, f"is missing; it must be {describe_type(field.type)}")
        return default_value(field)

    def _read_value(self, data: Any, annotation: Any, key: Key, fallback: Any) -> Any:
        if isinstance(data, dict) and is_table(annotation):
            return self.read_table(data, unwrap_type(annotation), key)
        invalid_before, element = len(self._invalid_keys), element_type(annotation)
        takes_table = get_origin(unwrap_type(annotation)) is dict
        if isinstance(data, list) and element and not takes_table:
            data = [self._read_value(item, element, (*key, n), None) for n, item in enumerate(data)]
        elif isinstance(data, dict) and element and takes_table:
            data = {name: self._read_value(item, element, (*key, name), None) for name, item in data.items()}
        if len(self._invalid_keys) > invalid_before:
            return tuple(data) if isinstance(data, list) else data
        try:
            if isinstance(data, float) and not math.isfinite(data):
                raise msgspec.ValidationError
            return msgspec.convert(data, annotation)
        except msgspec.ValidationError:
            self.add_error(key, f"expected {describe_type(annotation)}, not {shorten(data)}")
            self.lacks_table |= fallback is None and len(key) == 1 and is_table(annotation)
            return fallback
