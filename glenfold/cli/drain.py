"""`glenfold drain`: an instance finishes what it has taken, and ends."""

from pathlib import Path

import click
import trio

from glenfold.cli.instances import (
    ask_all,
    exit_status,
    file_argument,
    instance_option,
    json_option,
    locate_instances,
    outcome_line,
    print_answers,
)
from glenfold.daemon.owned import Owned, name_of


@click.command("drain")
@file_argument
@instance_option
@click.option("--wait", is_flag=True, help="Return only when its process has ended.")
@json_option
def command(file: Path, instance: int | None, wait: bool, as_json: bool) -> None:
    """Have one instance finish all that it has taken, and end, as SIGTERM does.

    A supervisor starts an instance that ends anew; `glenfold fleet down` ends them all.

    Exit status: 0 done, 1 it refused, 2 the file is at fault, 3 it does not answer.
    """
    found = locate_instances(file, instance, one_only=True)
    process = _find_process(ask_all(found, "counters")[0].get("pid"))
    answers = ask_all(found, "drain")
    print_answers(answers, as_json, [outcome_line(answer, "told to finish and end") for answer in answers])
    status = exit_status(answers, ["refused" not in answer for answer in answers])
    if wait and status == 0 and process is not None:
        trio.run(process.end)
    raise SystemExit(status)


def _find_process(pid: int | None) -> Owned | None:
    """Found while it answers, and before it is told to end: then the id can't be a stranger's yet."""
    name = None if pid is None else name_of(pid)
    return None if name is None else Owned.find(name)
