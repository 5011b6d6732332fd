"""`glenfold completion`: prints a shell script that asks glenfold for the possible completions of a word."""

import click
from click.shell_completion import get_completion_class

COMPLETION_VARIABLE = "_GLENFOLD_COMPLETE"  # The script sets this variable when it runs glenfold.


@click.command("completion")
@click.argument("shell", type=click.Choice(("bash", "zsh", "fish")), metavar="SHELL")
@click.pass_context
def command(ctx: click.Context, shell: str) -> None:
    """Print the script that completes the arguments of glenfold in SHELL: bash, zsh or fish.

    For bash: eval "$(glenfold completion bash)" in ~/.bashrc; for zsh the same with zsh in ~/.zshrc, after
    compinit; for fish: glenfold completion fish > ~/.config/fish/completions/glenfold.fish

    Exit status: 0 done, 2 the arguments are invalid.
    """
    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(ctx.find_root().command, {}, "glenfold", COMPLETION_VARIABLE).source())
