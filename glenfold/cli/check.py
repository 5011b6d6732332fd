"""`glenfold check`: whether operators' files are sound, before anything starts."""

import click

from glenfold.config.operators import read
from glenfold.config.tables import FileErrors


@click.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(), metavar="FILE...")
def command(files: tuple[str, ...]) -> None:
    """Tell all that is amiss with operators' files, by line and key, and with this machine for them.

    Nothing is started and nothing written. Exit status: 0 all are sound, 2 one is not.
    """
    bad = False
    for file in files:
        try:
            operators = read(file)
        except FileErrors as error:
            bad = True
            error.show()
        else:
            count = len(operators.numbers)
            click.echo(f"{file}: sound, {count} instance{'s' * (count > 1)}")
    if bad:
        raise SystemExit(FileErrors.exit_code)
