"""`glenfold lab scenarios`: what is shipped, and whether files are sound."""

from textwrap import shorten

import click

from glenfold.toml_file import BadFile
from glenfold_lab import scenario


@click.command("scenarios")
@click.option("--check", is_flag=True, help="Check FILES instead: each fault with key, line and reason.")
@click.argument("files", nargs=-1)
def command(check: bool, files: tuple[str, ...]) -> None:
    """List the shipped scenarios with what each guards against, or check FILES (names or paths).

    Exit status: 0 done, 2 the words or a file are at fault.
    """
    if check != bool(files):
        raise click.UsageError("--check and FILES go together")
    if check:
        check_all(files)
    else:
        list_all()


def list_all() -> None:
    for name in scenario.shipped():
        click.echo(f"{name:16}{shorten(scenario.load(name).guards_against, 94, placeholder=' ...')}")


def check_all(files: tuple[str, ...]) -> None:
    """All of them are looked at, so that one run tells of every bad file."""
    has_errors = False
    for file in files:
        try:
            loaded = scenario.load(file)
        except BadFile as error:
            has_errors = True
            error.show()
        else:
            click.echo(f"{file}: sound ({loaded.name})")
    if has_errors:
        raise SystemExit(BadFile.exit_code)
