"""`glenfold check`: validates operators' files before anything is started."""

import click

from glenfold.config.operators import read
from glenfold.config.tables import FileErrors


@click.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(), metavar="FILE...")
def command(files: tuple[str, ...]) -> None:
    """Report every error in operators' files by line and key, also where a file does not fit this machine.

    Nothing is started and nothing is written. Exit status: 0 all files are valid, 2 a file is invalid.
    """
    any_invalid = False
    for file in files:
        try:
            operators = read(file)
        except FileErrors as error:
            any_invalid = True
            error.show()
        else:
            count = len(operators.numbers)
            click.echo(f"{file}: sound, {count} instance{'s' * (count > 1)}")
    if any_invalid:
        raise SystemExit(FileErrors.exit_code)
