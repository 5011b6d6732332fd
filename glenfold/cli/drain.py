"""`glenfold drain`: has one instance finish the work it has accepted, and exit."""

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
from glenfold.daemon.process_handle import ProcessHandle, identity_of


@click.command("drain")
@file_argument
@instance_option
@click.option("--wait", is_flag=True, help="Return only after the process of the instance has exited.")
@json_option
def command(file: Path, instance: int | None, wait: bool, as_json: bool) -> None:
    """Have one instance finish the work it has accepted, and exit, as on SIGTERM.

    A supervisor restarts an instance that exits; `glenfold fleet down` stops all of them.

    Exit status: 0 done, 1 the instance refused, 2 the arguments or the file are invalid, 3 the instance does
    not answer.
    """
    locations = locate_instances(file, instance, one_only=True)
    process = _find_process(ask_all(locations, "counters")[0].get("pid"))
    answers = ask_all(locations, "drain")
    print_answers(answers, as_json, [outcome_line(answer, "drain started") for answer in answers])
    status = exit_status(answers, ["refused" not in answer for answer in answers])
    if wait and status == 0 and process is not None:
        trio.run(process.wait_for_exit)
    raise SystemExit(status)


def _find_process(pid: int | None) -> ProcessHandle | None:
    """Returns a handle on the instance's process, or None if it does not run.

    Must be called before the instance is told to drain: after that, `pid` may belong to another process.
    """
    name = None if pid is None else identity_of(pid)
    return None if name is None else ProcessHandle.find(name)
