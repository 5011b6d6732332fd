"""`glenfold fleet release FILE [NAME]`: restarts instances that are held."""

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
    """Restart the held instance NAME, or all instances that are held because they exited too often.

    Exit status: 0 done, 1 refused, 2 the arguments or the file are invalid, 3 no supervisor answers.
    """
    print_answer(
        ask_supervisor(supervisor_location(file), "release", name=name), as_json, lambda _: "released"
    )
