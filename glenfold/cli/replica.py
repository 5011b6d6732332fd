"""`glenfold replica`: runs one control replica until it is told to stop."""

from pathlib import Path

import click

from glenfold.config.replica import read
from glenfold.config.tables import FileErrors
from glenfold.daemon.replica import main


@click.command("replica")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--check", is_flag=True, help="Only report whether FILE is valid.")
def command(file: Path, check: bool) -> None:
    """Run a control replica in the foreground: the replica follows discovery or other replicas and serves
    the same lists and watches.

    On SIGTERM and SIGINT the replica ends its watches one after the other and exits, on SIGHUP it reloads its
    file, on SIGUSR1 it logs its counters.

    Exit status: 0 the replica has finished, 1 it failed, 2 the arguments or the file are invalid, 4 it can't
    listen on the configured address.
    """
    try:
        options = read(file)
    except FileErrors as error:
        error.show()
        raise SystemExit(FileErrors.exit_code) from None
    if check:
        click.echo(f"{file}: sound")
        return
    raise SystemExit(int(main(file, options)))
