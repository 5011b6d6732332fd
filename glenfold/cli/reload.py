"""`glenfold reload`: has instances reload their file."""

from pathlib import Path

import click

from glenfold.cli.instances import (
    Answer,
    ask_all,
    exit_status,
    file_argument,
    instance_option,
    json_option,
    locate_instances,
    outcome_line,
    print_answers,
)


@click.command("reload")
@file_argument
@instance_option
@json_option
def command(file: Path, instance: int | None, as_json: bool) -> None:
    """Have instances reload their file; an invalid file changes nothing.

    The output names the changed settings that need a restart. Under a supervisor, use `glenfold fleet reload`
    to pass a new file to the instances.

    Exit status: 0 done, 1 an instance refused or does not answer, 2 the arguments or the file are invalid, 3
    no instance answers.
    """
    answers = ask_all(locate_instances(file, instance), "reload")
    print_answers(answers, as_json, [outcome_line(answer, _success_text(answer)) for answer in answers])
    raise SystemExit(exit_status(answers, ["waits" in answer for answer in answers]))


def _success_text(answer: Answer) -> str:
    waits = answer.get("waits")
    return f"read again; needs a restart to change: {', '.join(waits)}" if waits else "read again"
