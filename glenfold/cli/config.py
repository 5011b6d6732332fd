"""`glenfold config show`: prints the effective values of an operators' file and the origin of each."""

import json
from typing import Any

import click

from glenfold.config.locations import InstanceLocation
from glenfold.config.operators import OperatorsFile, Value, read


@click.group("config")
def command() -> None:
    """Show the effective configuration of an operators' file.

    Exit status: 0 done, 2 the arguments or the file are invalid.
    """


@command.command("show")
@click.argument("file", type=click.Path())
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print one JSON object with the values, their origins and all instances.",
)
def show(file: str, as_json: bool) -> None:
    """Print every effective value with its origin, and the name, addresses and socket of each instance.

    The output is a valid operators' file. Exit status: 0 done, 2 the file is invalid.
    """
    operators = read(file)
    click.echo(to_json(operators) if as_json else "\n".join(to_toml_lines(operators)))


def to_json(operators: OperatorsFile) -> str:
    """Returns the values, their origins and the instances of the file as one JSON object."""
    return json.dumps(
        {
            "file": str(operators.path),
            "values": [
                {"key": value.key, "value": value.value, "from": value.origin}
                for value in operators.effective()
            ],
            "instances": [_instance_fields(operators.location(number)) for number in operators.numbers],
        },
        indent=1,
    )


def _instance_fields(location: InstanceLocation) -> dict[str, Any]:
    return {
        "number": location.number,
        "name": location.name,
        "listeners": [f"{host}:{port}" for host, port in location.listeners],
        **{
            part: None if path is None else str(path)
            for part, path in (
                ("folder", location.folder),
                ("control", location.socket),
                ("snapshots", location.snapshots),
            )
        },
    }


def to_toml_lines(operators: OperatorsFile) -> list[str]:
    """Returns the lines of an operators' file with the same values; origins and instances are comments."""
    lines, table = [], ""
    for value in operators.effective():
        owner, _, name = value.key.rpartition(".")
        if owner != table:
            lines += ["", f"[{owner}]" if "[" not in owner else f"[[{owner.partition('[')[0]}]]"]
            table = owner
        lines.append(_value_line(name, value))
    return [*lines, "", *(_instance_comment(operators.location(number)) for number in operators.numbers)]


def _value_line(name: str, value: Value) -> str:
    """Returns one key as a line of TOML. A key without a value is a comment, as TOML has no null."""
    text = f"# {name}: none" if value.value is None else f"{name} = {toml_value(value.value)}"
    return f"{text:44} # {value.origin}"


def toml_value(value: Any) -> str:
    """Returns `value` as TOML, with lists and tables inline.

    Other values have the same text in JSON, except that TOML requires DEL (U+007F) to be escaped.
    """
    if isinstance(value, dict):
        return (
            "{" + ", ".join(f"{toml_value(name)} = {toml_value(item)}" for name, item in value.items()) + "}"
        )
    if isinstance(value, tuple | list):
        return "[" + ", ".join(map(toml_value, value)) + "]"
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")


def _instance_comment(location: InstanceLocation) -> str:
    number = "" if location.number is None else f" {location.number}"
    listeners = ", ".join(f"{host}:{port}" for host, port in location.listeners)
    return f"# instance{number}: {location.name} on {listeners}; control socket {location.socket or 'none'}"
