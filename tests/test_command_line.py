"""The whole command line: the page for operators documents every command, and shells complete commands."""

import os
import re
import shutil
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import click
import pytest

from glenfold.cli.main import main

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs/operators/command-line.md"


def walk_commands(command, words):
    """Yields the full name, the command and the click context of `command` and of all its subcommands."""
    context = click.Context(command, info_name=words[-1])
    yield " ".join(words), command, context
    if isinstance(command, click.Group):
        for name in command.list_commands(context):
            subcommand = command.get_command(context, name)
            assert subcommand is not None
            yield from walk_commands(subcommand, (*words, name))


COMMANDS = {words: (command, context) for words, command, context in walk_commands(main, ("glenfold",))}


def exit_statuses(text: str) -> set[str]:
    """The numbers that the sentence "Exit status ..." of a text lists."""
    sentence = re.search(r"Exit status.*?: (.+?)(\n\n|$)", text, re.S)
    return set(re.findall(r"(?:^|[,;]\s+)(\d+)\s", sentence[1])) if sentence else set()


@pytest.mark.parametrize("words", COMMANDS)
def test_the_page_documents_the_arguments_options_and_exit_statuses_of_each_command(words):
    command, context = COMMANDS[words]
    section = re.search(rf"(?m)^#+ `{words}((?: [A-Z.\[\]]+)*)`\n((?:(?!^#).*\n)*)", PAGE.read_text())
    assert section is not None
    parameters = command.get_params(context)
    arguments = [parameter for parameter in parameters if isinstance(parameter, click.Argument)]
    assert section[1].split() == [argument.make_metavar(context) for argument in arguments]
    options = {
        option
        for parameter in parameters
        if isinstance(parameter, click.Option)
        for option in parameter.opts
        if option.startswith("--")
    }
    assert set(re.findall(r"(?m)^\| `(--[a-z-]+)", section[2])) == options - {"--help"}
    assert {"0", "2"} <= exit_statuses(section[2]) == exit_statuses(command.help or "")


def test_the_page_documents_no_other_command():
    documented = re.findall(r"(?m)^#+ `(glenfold[a-z -]*?)(?: [A-Z\[].*)?`$", PAGE.read_text())
    assert sorted(documented) == sorted(COMMANDS)


# ---- completion ----

COMPLETION_SCRIPTS = {
    "bash": """source <(glenfold completion bash); COMP_WORDS=(glenfold lab re); COMP_CWORD=2
               _glenfold_completion glenfold; echo "${COMPREPLY[@]}" """,
    "zsh": """compdef() { }; _describe() { print -r -- ${(P)3%%:*} }; eval "$(glenfold completion zsh)"
              words=(glenfold lab re) CURRENT=3; _glenfold_completion""",
    "fish": """glenfold completion fish | source; complete -C "glenfold lab re" | string split -f 1 \\t""",
}


@pytest.fixture
def run(tmp_path: Path) -> Callable[..., subprocess.CompletedProcess[str]]:
    """Runs a command with `glenfold` on its PATH.

    LB_CONFIG is set as on the platform: a completion request, which has no arguments, must not start a relay.
    """
    (tmp_path / "glenfold").write_text(f'#!/bin/sh\nexec "{sys.executable}" -m glenfold "$@"\n')
    (tmp_path / "glenfold").chmod(0o755)
    environment = {
        "PATH": f"{tmp_path}:{os.environ['PATH']}",
        "PYTHONPATH": str(ROOT),
        "HOME": str(tmp_path),
        "LB_CONFIG": str(tmp_path / "none.json"),
    }
    return lambda *words, **variables: subprocess.run(
        words, env=environment | variables, capture_output=True, text=True
    )


@pytest.mark.parametrize("shell", COMPLETION_SCRIPTS)
def test_the_completion_script_completes_a_word_in_the_shell(shell, run):
    if shutil.which(shell) is None:
        pytest.skip(f"{shell} is not installed")
    completed = run(shell, "-c", COMPLETION_SCRIPTS[shell])
    assert (completed.stdout.strip(), completed.stderr) == ("report", "")
