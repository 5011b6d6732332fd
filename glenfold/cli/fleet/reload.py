"""`glenfold fleet reload FILE`."""

from pathlib import Path

import click

from glenfold.cli.fleet.talk import file_argument, json_option, place_of, talk, tell


@click.command("reload")
@file_argument
@json_option
def command(file: Path, as_json: bool) -> None:
    """Check FILE and have all instances read it; start those it adds and stop those it no longer names.

    A faulty file changes nothing (status 2). While a roll runs this is refused (status 1).
    """
    tell(talk(place_of(file), "reload"), as_json, lambda _: "told all instances to read the file again")
