"""`glenfold fleet down FILE`."""

import time
from pathlib import Path

import click

from glenfold.cli.fleet.talk import Nobody, file_argument, json_option, place_of, talk, tell
from glenfold.daemon.supervisor import SupervisorPaths

LOOK_S = 0.1


@click.command("down")
@file_argument
@click.option("--no-wait", is_flag=True, help="Do not wait until all have stopped.")
@json_option
def command(file: Path, no_wait: bool, as_json: bool) -> None:
    """Stop all instances, each once it has finished what it has taken, and then the supervisor.

    A roll is called off. Who has not stopped within `fleet.stop_within_s` is killed.

    Exit status: 0 done (with --no-wait: begun), 1 refused, 2 the words or the file are at fault, 3 no
    supervisor answers.
    """
    place = place_of(file)
    answer = talk(place, "down")
    while not no_wait and _stands(place):
        time.sleep(LOOK_S)
    tell(answer, as_json, lambda _: "going down" if no_wait else "all instances have stopped")


def _stands(place: SupervisorPaths) -> bool:
    try:
        talk(place, "status")
    except Nobody:
        return False
    return True
