"""A click group that imports the module of a command only when the command is called."""

from importlib import import_module

import click
from click.shell_completion import CompletionItem


class LazyGroup(click.Group):
    """A group that can list its commands without importing them.

    `lazy_commands` maps the name of each command to the name of a module, whose attribute `command` is the
    command, and to a summary of one line.
    """

    def __init__(self, *args: object, lazy_commands: dict[str, tuple[str, str]], **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self._lazy_commands = lazy_commands

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(self._lazy_commands)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in self._lazy_commands:
            return None
        try:
            module_command = import_module(self._lazy_commands[name][0]).command
        except ModuleNotFoundError as error:
            if error.name is None or error.name.split(".")[0] in ("glenfold", "glenfold_lab"):
                raise
            raise click.ClickException(
                f"'{name}' needs the package {error.name}: pip install 'glenfold[lab]'"
            ) from error
        assert isinstance(module_command, click.Command)
        return module_command

    def shell_complete(self, ctx: click.Context, incomplete: str) -> list[CompletionItem]:
        # click.Group.shell_complete is skipped, as it would import every command for its help.
        items = [
            CompletionItem(name, help=summary)
            for name, (_, summary) in self._lazy_commands.items()
            if name.startswith(incomplete)
        ]
        return items + super(click.Group, self).shell_complete(ctx, incomplete)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, summary) for name, (_, summary) in self._lazy_commands.items()])
