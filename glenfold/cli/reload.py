"""`glenfold reload`: instances read their file again."""

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
    """Have instances read their file again; a faulty one changes nothing.

    What changed and needs a restart is told. Where a supervisor runs, `glenfold fleet reload` is what takes a
    new file to its instances.

    Exit status: 0 done, 1 one refused or does not answer, 2 the file is at fault, 3 none answers.
    """
    answers = ask_all(locate_instances(file, instance), "reload")
    print_answers(answers, as_json, [outcome_line(answer, _success_text(answer)) for answer in answers])
    raise SystemExit(exit_status(answers, ["waits" in answer for answer in answers]))


def _success_text(answer: Answer) -> str:
    waits = answer.get("waits")
    return f"read again; needs a restart to change: {', '.join(waits)}" if waits else "read again"
