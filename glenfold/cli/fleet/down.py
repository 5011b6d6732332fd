"""`glenfold fleet down FILE`: stops all instances and their supervisor."""

import time
from pathlib import Path

import click

from glenfold.cli.fleet.supervisor_client import (
    NoSupervisor,
    ask_supervisor,
    file_argument,
    json_option,
    print_answer,
    supervisor_location,
)
from glenfold.daemon.supervisor import SupervisorPaths

POLL_INTERVAL_S = 0.1


@click.command("down")
@file_argument
@click.option("--no-wait", is_flag=True, help="Do not wait until all instances have stopped.")
@json_option
def command(file: Path, no_wait: bool, as_json: bool) -> None:
    """Stop all instances after they have finished the work they have accepted, and then the supervisor.

    A roll is called off. An instance that has not stopped within `fleet.stop_within_s` is killed.

    Exit status: 0 done (with --no-wait: started), 1 refused, 2 the arguments or the file are invalid, 3 no
    supervisor answers.
    """
    location = supervisor_location(file)
    answer = ask_supervisor(location, "down")
    while not no_wait and _is_running(location):
        time.sleep(POLL_INTERVAL_S)
    print_answer(answer, as_json, lambda _: "going down" if no_wait else "all instances have stopped")


def _is_running(location: SupervisorPaths) -> bool:
    """Whether the supervisor still answers."""
    try:
        ask_supervisor(location, "status")
    except NoSupervisor:
        return False
    return True
