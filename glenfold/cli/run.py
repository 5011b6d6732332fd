"""`glenfold run`: one instance of an operators' file."""

from pathlib import Path

import click

from glenfold.config import ConfigError
from glenfold.config.operators import read
from glenfold.config.tables import FileErrors
from glenfold.daemon.run import Run


@click.command("run")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--instance", type=int, metavar="N", help="Which one of a fleet's: 1 and up.")
@click.option(
    "--base",
    type=click.Path(file_okay=False, path_type=Path),
    metavar="DIR",
    help="What paths in FILE are relative to, if not to its folder.",
)
def command(file: Path, instance: int | None, base: Path | None) -> None:
    """Run one instance of an operators' file in the foreground.

    SIGTERM and SIGINT have it finish all that it has taken and end, SIGHUP has it read its file again,
    SIGUSR1 log its counters. Where an instance of that name runs, this one takes over from it.

    Exit status: 0 it has finished, 1 it failed, 2 the file is at fault, 3 another instance of that name
    runs and goes on, 4 it can't listen where the file says.
    """
    try:
        one = Run(read(file, base), instance)
    except FileErrors as error:
        error.show()
        raise SystemExit(FileErrors.exit_code) from None
    except ConfigError as error:
        click.echo(f"{file}: {error}", err=True)
        raise SystemExit(FileErrors.exit_code) from None
    raise SystemExit(int(one.main()))
