"""TOML files with the line number of every key, whose values are converted to a Struct.

Each error is reported in one line with the file, the line and the key. tomllib reads the values and refuses
invalid TOML. No library reports the line of a key: tomlkit keeps the text, but joins the parts of an array of
tables that other tables interrupt, so that lines can't be counted in what it holds. A small scanner therefore
finds the lines in texts that tomllib has accepted.
"""

import json
import math
import re
import tomllib
from collections.abc import Iterator
from difflib import get_close_matches
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import msgspec
from msgspec import inspect

Key = tuple[str | int, ...]
T = TypeVar("T")

TOKEN = re.compile(
    r"""
    (?P<text> \"{3}(?:[^\\]|\\.)*?\"{3,5} | '{3}.*?'{3,5} | "(?:[^"\\]|\\.)*" | '[^']*' )
  | (?P<skip> \#[^\n]* | [ \t\r]+ )
  | (?P<mark> [][{},.=\n] )
  | (?P<bare> [^][{},.=\n\s\#"']+ )""",
    re.VERBOSE | re.DOTALL,
)

EXPECTED = re.compile(r"Expected `([^`]+)`(?: of length)?(?: ([<>]=?) ([-\d.e+]+))?")
TYPE_WORDS = {
    "float": "a number",
    "int": "a whole number",
    "str": "a text",
    "array": "a list",
    "object": "a table",
    "bool": "true or false",
    "float | array": "a number, or a pair of which the first is the smaller",
}
BOUND_WORDS = {">=": "of at least", "<=": "of at most", ">": "above", "<": "below"}
LENGTH_UNITS = {"str": " characters", "array": " entries"}


class BadFile(click.ClickException):
    """Raised when a file can't be read or is invalid.

    The message is one line, `FILE:LINE: key.path: reason`. A command ends with status 2.
    """

    exit_code = 2

    def __init__(self, name: str, reason: str, line: int | None = None, key: Key = ()) -> None:
        self.name, self.reason, self.line, self.key = name, " ".join(reason.split()), line, key
        location = name if line is None else f"{name}:{line}"
        super().__init__(
            ": ".join([location, format_key(key), self.reason] if key else [location, self.reason])
        )

    def show(self, file: Any = None) -> None:
        click.echo(self.message, err=True, file=file)


def format_key(key: Key) -> str:
    """Returns the key as in `faults[0].size`; parts that need quotes in TOML are quoted."""
    text = ""
    for part in key:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += "." * bool(text) + (part if re.fullmatch(r"[\w-]+", part, re.ASCII) else json.dumps(part))
    return text


class TomlFile:
    """The values of one file, and the line of each key."""

    def __init__(self, name: str, data: dict[str, Any], lines: dict[Key, int]) -> None:
        self.name, self.data, self.lines = name, data, lines

    def line(self, key: Key) -> int:
        """Returns the line of the key, or of the nearest table or list around it that has one."""
        while key and key not in self.lines:
            key = key[:-1]
        return self.lines.get(key, 1)

    def error(self, key: Key, reason: str) -> BadFile:
        """Returns an error at this key, to be raised."""
        return BadFile(self.name, reason, self.line(key), key)

    def convert(self, kind: type[T]) -> T:
        """Returns the values as a Struct of type `kind`. Raises BadFile for the first that is invalid."""
        return convert(self, self.data, kind)


def read(path: str | Path) -> TomlFile:
    """Reads a file. Raises BadFile if it can't be read, or is not UTF-8 or not TOML."""
    return parse(read_text(path), str(path))


def read_text(path: str | Path) -> str:
    """Returns the text of a file. Raises BadFile if it can't be read or is not UTF-8."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise BadFile(str(path), f"can't be read: {error.strerror or error}") from error
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = 1 + data.count(b"\n", 0, error.start)
        raise BadFile(str(path), f"byte {error.start} is not UTF-8", line) from error


def parse(text: str, name: str) -> TomlFile:
    """Parses a text of the file `name`. Raises BadFile, also for infinite numbers and NaN."""
    file = scan(text, name)
    for key, value in leaves(file.data):
        if isinstance(value, float) and not math.isfinite(value):
            raise file.error(key, f"{value} is not a finite number")
    return file


def scan(text: str, name: str) -> TomlFile:
    """Parses a text as `parse` does, but accepts infinite numbers and NaN."""
    try:
        data = tomllib.loads(text)
    except RecursionError as error:
        raise BadFile(name, "nested too deep") from error
    except ValueError as error:
        reason, at = str(error), re.search(r" \(at line (\d+), column \d+\)$", str(error))
        line = int(at[1]) if at else 1 + text.rstrip("\n").count("\n")
        raise BadFile(name, f"not TOML: {reason[: at.start()] if at else reason}", line) from error
    return TomlFile(name, data, Scanner(text).lines)


def leaves(value: Any, key: Key = ()) -> Iterator[tuple[Key, Any]]:
    """Yields all values that are neither tables nor lists, with their keys."""
    if isinstance(value, dict):
        for part, inner in value.items():
            yield from leaves(inner, (*key, part))
    elif isinstance(value, list):
        for number, inner in enumerate(value):
            yield from leaves(inner, (*key, number))
    else:
        yield key, value


class Scanner:
    """Finds the line of each key, table and list element in a text that tomllib has accepted."""

    def __init__(self, text: str) -> None:
        self.lines: dict[Key, int] = {}
        self._last_index: dict[Key, int] = {}  # index of the last element of each array of tables
        self._tokens = list(self._tokenize(text))
        self._position = 0
        table: Key = ()
        while self._position < len(self._tokens):
            if self._consume("\n"):
                continue
            line = self._line
            if not self._consume("["):
                self._read_entry(table)
                continue
            is_array = self._consume("[")
            table = self._read_header(self._read_key(), is_array, line)
            self._position += 1 + is_array

    @staticmethod
    def _tokenize(text: str) -> Iterator[tuple[str, int]]:
        line = 1
        for match in TOKEN.finditer(text):
            if match.lastgroup != "skip":
                yield match[0], line
            line += match[0].count("\n")

    @property
    def _line(self) -> int:
        return self._tokens[self._position][1]

    def _consume(self, mark: str) -> bool:
        taken = self._position < len(self._tokens) and self._tokens[self._position][0] == mark
        self._position += taken
        return taken

    def _read_key(self) -> list[str]:
        parts = [self._read_part()]
        while self._consume("."):
            parts.append(self._read_part())
        return parts

    def _read_part(self) -> str:
        text = self._tokens[self._position][0]
        self._position += 1
        return str(tomllib.loads(f"part = {text}")["part"]) if text[0] in "\"'" else text

    def _read_header(self, parts: list[str], is_array: bool, line: int) -> Key:
        key: Key = ()
        for number, part in enumerate(parts):
            key = (*key, part)
            self.lines.setdefault(key, line)
            if is_array and number == len(parts) - 1:
                self._last_index[key] = self._last_index.get(key, -1) + 1
            if key in self._last_index:
                key = (*key, self._last_index[key])
        self.lines[key] = line
        return key

    def _read_entry(self, table: Key) -> None:
        line = self._line
        for part in self._read_key():
            table = (*table, part)
            self.lines.setdefault(table, line)
        self._consume("=")
        self._read_value(table)

    def _read_value(self, key: Key) -> None:
        if self._consume("["):
            number = 0
            while not self._consume("]"):
                if not (self._consume("\n") or self._consume(",")):
                    self.lines[(*key, number)] = self._line
                    self._read_value((*key, number))
                    number += 1
        elif self._consume("{"):
            while not self._consume("}"):
                if not self._consume(","):
                    self._read_entry(key)
        else:
            while self._position < len(self._tokens) and self._tokens[self._position][0] not in (
                ",",
                "]",
                "}",
                "\n",
            ):
                self._position += 1


# ---- conversion of values to a Struct -----------------------------------------------------------


def convert(file: TomlFile, data: dict[str, Any], kind: type[T]) -> T:
    """Returns `data` as a Struct of type `kind`. Raises BadFile for the first invalid value."""
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        _raise_file_error(file, data, kind, str(error))


def _raise_file_error(file: TomlFile, data: dict[str, Any], kind: type, message: str) -> NoReturn:
    """Raises BadFile, which restates an error of msgspec for operators with what would be right."""
    message, _, where = message.partition(" - at `$")
    key: Key = tuple(name or int(number) for name, number in re.findall(r"\.(\w+)|\[(\d+)\]", where))
    field = re.search(r"(unknown|required) field `([^`]*)`", message)
    type_info = type_at(inspect.type_info(kind), key)
    if field:
        reason = _describe_unknown(field[2], type_info) if field[1] == "unknown" else "is missing"
        raise file.error((*key, field[2]), reason)
    value = data
    for part in key:
        value = value[part]  # type: ignore[index]
    raise file.error(key, _describe_error(message, value, type_info))


def _describe_unknown(name: str, type_info: inspect.Type) -> str:
    assert isinstance(type_info, inspect.StructType)
    return "unknown key; " + suggest_name(name, [field.encode_name for field in type_info.fields])


def suggest_name(name: str, known: list[str]) -> str:
    """Returns a hint for an unknown name: the closest known name, or all known names."""
    close = get_close_matches(name, known, 1)
    return f"did you mean {close[0]!r}?" if close else "known are " + ", ".join(known)


def _describe_error(message: str, value: Any, type_info: inspect.Type) -> str:
    if isinstance(type_info, inspect.LiteralType):
        known = ", ".join(map(str, type_info.values))
        suggestion = (
            suggest_name(str(value), list(map(str, type_info.values))) if len(type_info.values) > 1 else ""
        )
        return f"{value!r} is unknown; it must be one of {known}" + f" ({suggestion})" * ("?" in suggestion)
    if expected := EXPECTED.match(message):
        kind, sign, bound = expected.groups()
        text = f"expected {TYPE_WORDS.get(kind, kind)}"
        text += f" {BOUND_WORDS[sign]} {float(bound):g}{LENGTH_UNITS.get(kind, '')}" if sign else ""
        return f"{text}, not {shorten(value)}"
    return f"{message.lower()}: {shorten(value)}"


def shorten(value: Any) -> str:
    """Returns the value as JSON of up to 40 characters."""
    text = json.dumps(value, default=str)
    return text if len(text) <= 40 else text[:37] + "..."


def type_at(type_info: inspect.Type, key: Key) -> inspect.Type:
    """Returns the type that the value under this key should have."""
    for part in key:
        type_info = _unwrap(type_info)
        if isinstance(type_info, inspect.StructType):
            type_info = next(field.type for field in type_info.fields if field.encode_name == part)
        elif isinstance(type_info, inspect.VarTupleType):
            type_info = type_info.item_type
    return _unwrap(type_info)


def _unwrap(type_info: inspect.Type) -> inspect.Type:
    """Returns the type without its metadata, and the tuple of a union of a type and a tuple.

    Of other unions the first type is returned, as none of them has parts that keys refer to.
    """
    if isinstance(type_info, inspect.Metadata):
        return _unwrap(type_info.type)
    if isinstance(type_info, inspect.UnionType):
        inner = [_unwrap(one) for one in type_info.types]
        return next((one for one in inner if isinstance(one, inspect.VarTupleType)), inner[0])
    return type_info
