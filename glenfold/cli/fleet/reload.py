"""`glenfold fleet reload FILE`: has all instances reload the file."""

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
    """Check FILE and have all instances reload it; start the instances it adds and stop those it removes.

    Exit status: 0 done, 1 refused, such as during a roll, 2 the arguments or the file are invalid (nothing
    has changed), 3 no supervisor answers.
    """
    print_answer(
        ask_supervisor(supervisor_location(file), "reload"),
        as_json,
        lambda _: "all instances were told to reload the file",
    )
