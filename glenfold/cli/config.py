"""`glenfold config show`: what holds, and where each value came from."""

import json
from typing import Any

import click

from glenfold.config.operators import Operators, Value, read
from glenfold.config.places import Place


@click.group("config")
def command() -> None:
    """What an operators' file amounts to.

    Exit status: 0 done, 2 the words or the file are at fault.
    """


@command.command("show")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="For machines: values with origins, and all instances.")
def show(file: str, as_json: bool) -> None:
    """Print every value that holds with where it came from, and where each instance is.

    The output is an operators' file itself. Exit status: 0 done, 2 the file is at fault.
    """
    operators = read(file)
    click.echo(to_json(operators) if as_json else "\n".join(to_toml_lines(operators)))


def to_json(operators: Operators) -> str:
    return json.dumps(
        {
            "file": str(operators.path),
            "values": [
                {"key": value.key, "value": value.value, "from": value.origin}
                for value in operators.effective()
            ],
            "instances": [_instance_fields(operators.place(number)) for number in operators.numbers],
        },
        indent=1,
    )


def _instance_fields(place: Place) -> dict[str, Any]:
    return {
        "number": place.number,
        "name": place.name,
        "listeners": [f"{host}:{port}" for host, port in place.listeners],
        **{
            part: None if path is None else str(path)
            for part, path in (
                ("folder", place.folder),
                ("control", place.socket),
                ("snapshots", place.snapshots),
            )
        },
    }


def to_toml_lines(operators: Operators) -> list[str]:
    lines, table = [], ""
    for value in operators.effective():
        owner, _, name = value.key.rpartition(".")
        if owner != table:
            lines += ["", f"[{owner}]" if "[" not in owner else f"[[{owner.partition('[')[0]}]]"]
            table = owner
        lines.append(_value_line(name, value))
    return [*lines, "", *(_instance_comment(operators.place(number)) for number in operators.numbers)]


def _value_line(name: str, value: Value) -> str:
    """What has no value can only be told in a comment."""
    told = f"# {name}: none" if value.value is None else f"{name} = {toml_value(value.value)}"
    return f"{told:44} # {value.origin}"


def toml_value(value: Any) -> str:
    """Lists, and tables of any keys, inline. JSON writes all else as TOML does, but for one character."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{toml_value(name)} = {toml_value(one)}" for name, one in value.items()) + "}"
    if isinstance(value, tuple | list):
        return "[" + ", ".join(map(toml_value, value)) + "]"
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")


def _instance_comment(place: Place) -> str:
    number = "" if place.number is None else f" {place.number}"
    listeners = ", ".join(f"{host}:{port}" for host, port in place.listeners)
    return f"# instance{number}: {place.name} on {listeners}; control socket {place.socket or 'none'}"
