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
    outcome,
    places,
    tell,
)
from glenfold.daemon.process_handle import ProcessHandle, identity_of


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
    found = places(file, instance, one_only=True)
    process = _process(ask_all(found, "counters")[0].get("pid"))
    answers = ask_all(found, "drain")
    tell(answers, as_json, [outcome(answer, "told to finish and end") for answer in answers])
    status = exit_status(answers, ["refused" not in answer for answer in answers])
    if wait and status == 0 and process is not None:
        trio.run(process.wait_for_exit)
    raise SystemExit(status)


def _process(pid: int | None) -> ProcessHandle | None:
    """Found while it answers, and before it is told to end: then the id can't be a stranger's yet."""
    name = None if pid is None else identity_of(pid)
    return None if name is None else ProcessHandle.find(name)
