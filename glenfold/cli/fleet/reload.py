"""`glenfold fleet reload FILE`."""

from pathlib import Path

import click

from glenfold.cli.fleet.supervisor_client import (
    ask_supervisor,
    file_argument,
    json_option,
    print_answer,
    supervisor_location,
)


@click.command("reload")
@file_argument
@json_option
def command(file: Path, as_json: bool) -> None:
    """Check FILE and have all instances read it; start those it adds and stop those it no longer names.

    Exit status: 0 done, 1 refused, as while a roll runs, 2 the words or the file are at fault (nothing has
    changed), 3 no supervisor answers.
    """
    print_answer(
        ask_supervisor(supervisor_location(file), "reload"),
        as_json,
        lambda _: "told all instances to read the file again",
    )
