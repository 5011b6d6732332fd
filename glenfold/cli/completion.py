"""`glenfold completion`: a script for a shell, which asks glenfold itself what may follow."""

import click
from click.shell_completion import get_completion_class

COMPLETION_VARIABLE = "_GLENFOLD_COMPLETE"  # the variable by which the script asks


@click.command("completion")
@click.argument("shell", type=click.Choice(("bash", "zsh", "fish")), metavar="SHELL")
@click.pass_context
def command(ctx: click.Context, shell: str) -> None:
    """Print the script that completes words of glenfold in SHELL: bash, zsh or fish.

    For bash: eval "$(glenfold completion bash)" in ~/.bashrc; for zsh the same with zsh in ~/.zshrc, after
    compinit; for fish: glenfold completion fish > ~/.config/fish/completions/glenfold.fish

    Exit status: 0 done, 2 the words are at fault.
    """
    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(ctx.find_root().command, {}, "glenfold", COMPLETION_VARIABLE).source())
