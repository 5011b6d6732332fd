"""`glenfold fleet reload FILE`."""

from pathlib import Path

import click

from glenfold.cli.fleet.talk import file_argument, json_option, place_of, talk, tell


@click.command("reload")
@file_argument
@json_option
def command(file: Path, as_json: bool) -> None:
    """Check FILE and have all instances read it; start those it adds and stop those it no longer names.

    Exit status: 0 done, 1 refused, as while a roll runs, 2 the words or the file are at fault (nothing has
    changed), 3 no supervisor answers.
    """
    tell(talk(place_of(file), "reload"), as_json, lambda _: "told all instances to read the file again")
