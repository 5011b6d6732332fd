"""A click group whose commands are imported only when they are called."""

from importlib import import_module

import click
from click.shell_completion import CompletionItem


class LazyGroup(click.Group):
    """`places` gives for each command the module that holds it, as the attribute `command`, and one line on
    what it does: so that the list of commands imports none of them."""

    def __init__(self, *args: object, lazy_commands: dict[str, tuple[str, str]], **more: object) -> None:
        super().__init__(*args, **more)  # type: ignore[arg-type]
        self._lazy_commands = lazy_commands

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(self._lazy_commands)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in self._lazy_commands:
            return None
        try:
            found = import_module(self._lazy_commands[name][0]).command
        except ModuleNotFoundError as error:
            if error.name is None or error.name.split(".")[0] in ("glenfold", "glenfold_lab"):
                raise
            raise click.ClickException(
                f"'{name}' needs the package {error.name}: pip install 'glenfold[lab]'"
            ) from error
        assert isinstance(found, click.Command)
        return found

    def shell_complete(self, ctx: click.Context, incomplete: str) -> list[CompletionItem]:
        found = [
            CompletionItem(name, help=line)
            for name, (_, line) in self._lazy_commands.items()
            if name.startswith(incomplete)
        ]
        return found + super(click.Group, self).shell_complete(ctx, incomplete)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, line) for name, (_, line) in self._lazy_commands.items()])
