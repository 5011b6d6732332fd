"""`glenfold replica`: one control replica, until it is told to stop."""

from pathlib import Path

import click

from glenfold.config.replica import read
from glenfold.config.tables import FileErrors
from glenfold.daemon.replica import main


@click.command("replica")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--check", is_flag=True, help="Only tell whether FILE is sound.")
def command(file: Path, check: bool) -> None:
    """Run a control replica in the foreground: it follows discovery or other replicas, and serves the same
    lists and watches.

    SIGTERM and SIGINT have it end its watches one after the other and end, SIGHUP has it read its file again,
    SIGUSR1 log its counters.

    Exit status: 0 it has finished, 1 it failed, 2 the file is at fault, 4 it can't listen where the file
    says.
    """
    try:
        terms = read(file)
    except FileErrors as error:
        error.show()
        raise SystemExit(FileErrors.exit_code) from None
    if check:
        click.echo(f"{file}: sound")
        return
    raise SystemExit(int(main(file, terms)))
