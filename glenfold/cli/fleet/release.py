"""`glenfold fleet release FILE [NAME]`."""

from pathlib import Path

import click

from glenfold.cli.fleet.supervisor_client import (
    ask_supervisor,
    file_argument,
    json_option,
    print_answer,
    supervisor_location,
)


@click.command("release")
@file_argument
@click.argument("name", required=False)
@json_option
def command(file: Path, name: str | None, as_json: bool) -> None:
    """Start the instance NAME again, or all, that are held because they ended too often.

    Exit status: 0 done, 1 refused, 2 the words or the file are at fault, 3 no supervisor answers.
    """
    print_answer(
        ask_supervisor(supervisor_location(file), "release", name=name), as_json, lambda _: "released"
    )
