"""`glenfold lab scenarios`: lists the shipped scenarios, or checks scenario files."""

from textwrap import shorten

import click

from glenfold.toml_file import BadFile
from glenfold_lab import scenario


@click.command("scenarios")
@click.option(
    "--check", is_flag=True, help="Check FILES instead; each error is printed with key, line and reason."
)
@click.argument("files", nargs=-1)
def command(check: bool, files: tuple[str, ...]) -> None:
    """List the shipped scenarios with what each guards against, or check FILES (names or paths).

    Exit status: 0 the scenarios were listed or all FILES are valid, 2 an argument or a file is invalid.
    """
    if check != bool(files):
        raise click.UsageError("--check requires FILES, and FILES require --check")
    if check:
        check_all(files)
    else:
        list_all()


def list_all() -> None:
    """Prints the name of each shipped scenario and the failure that it guards against."""
    for name in scenario.shipped():
        click.echo(f"{name:16}{shorten(scenario.load(name).guards_against, 94, placeholder=' ...')}")


def check_all(files: tuple[str, ...]) -> None:
    """Checks all files, so that one run reports every invalid one."""
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
