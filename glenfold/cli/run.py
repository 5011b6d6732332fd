"""`glenfold run`: runs one instance of an operators' file."""

from pathlib import Path

import click

from glenfold.config import ConfigError
from glenfold.config.operators import read
from glenfold.config.tables import FileErrors
from glenfold.daemon.run import Run


@click.command("run")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--instance", type=int, metavar="N", help="The number of one instance of a fleet, from 1.")
@click.option(
    "--base",
    type=click.Path(file_okay=False, path_type=Path),
    metavar="DIR",
    help="The folder that paths in FILE are relative to; by default the folder of FILE.",
)
def command(file: Path, instance: int | None, base: Path | None) -> None:
    """Run one instance of an operators' file in the foreground.

    On SIGTERM and SIGINT the instance finishes the work it has accepted and exits, on SIGHUP it reloads its
    file, on SIGUSR1 it logs its counters. If an instance of the same name is running, this one takes over
    from it.

    Exit status: 0 the instance has finished, 1 it failed, 2 the arguments or the file are invalid, 3 another
    instance of the same name is running and continues, 4 it can't listen on a configured address.
    """
    try:
        run = Run(read(file, base), instance)
    except FileErrors as error:
        error.show()
        raise SystemExit(FileErrors.exit_code) from None
    except ConfigError as error:
        click.echo(f"{file}: {error}", err=True)
        raise SystemExit(FileErrors.exit_code) from None
    raise SystemExit(int(run.main()))
