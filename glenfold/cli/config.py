"""`glenfold config show`: what holds, and where each value came from."""

import json
from typing import Any

import click

from glenfold.config.locations import InstanceLocation
from glenfold.config.operators import OperatorsFile, Value, read


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
    click.echo(as_document(operators) if as_json else "\n".join(as_lines(operators)))


def as_document(operators: OperatorsFile) -> str:
    return json.dumps(
        {
            "file": str(operators.path),
            "values": [
                {"key": value.key, "value": value.value, "from": value.origin}
                for value in operators.effective()
            ],
            "instances": [_instance(operators.location(number)) for number in operators.numbers],
        },
        indent=1,
    )


def _instance(place: InstanceLocation) -> dict[str, Any]:
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


def as_lines(operators: OperatorsFile) -> list[str]:
    lines, table = [], ""
    for value in operators.effective():
        owner, _, name = value.key.rpartition(".")
        if owner != table:
            lines += ["", f"[{owner}]" if "[" not in owner else f"[[{owner.partition('[')[0]}]]"]
            table = owner
        lines.append(_line(name, value))
    return [*lines, "", *(_comment(operators.location(number)) for number in operators.numbers)]


def _line(name: str, value: Value) -> str:
    """What has no value can only be told in a comment."""
    told = f"# {name}: none" if value.value is None else f"{name} = {in_toml(value.value)}"
    return f"{told:44} # {value.origin}"


def in_toml(value: Any) -> str:
    """Lists, and tables of any keys, inline. JSON writes all else as TOML does, but for one character."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{in_toml(name)} = {in_toml(one)}" for name, one in value.items()) + "}"
    if isinstance(value, tuple | list):
        return "[" + ", ".join(map(in_toml, value)) + "]"
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")


def _comment(place: InstanceLocation) -> str:
    number = "" if place.number is None else f" {place.number}"
    listeners = ", ".join(f"{host}:{port}" for host, port in place.listeners)
    return f"# instance{number}: {place.name} on {listeners}; control socket {place.socket or 'none'}"
