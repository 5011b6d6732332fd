"""`glenfold fleet roll FILE`: restarts the instances of a fleet one after the other."""

import time
from pathlib import Path
from typing import Any

import click

from glenfold.cli.fleet.supervisor_client import (
    Failed,
    ask_supervisor,
    file_argument,
    json_option,
    print_answer,
    supervisor_location,
)

POLL_INTERVAL_S = 0.2


@click.command("roll")
@file_argument
@click.option(
    "--most-out",
    type=click.IntRange(1),
    help="Maximum number of instances out at once, instead of `fleet.most_out`.",
)
@click.option("--continue", "go_on", is_flag=True, help="Continue a roll that was stopped.")
@click.option("--call-off", is_flag=True, help="Call the roll off: no further instance is restarted.")
@click.option("--no-wait", is_flag=True, help="Do not wait until the roll has finished.")
@json_option
def command(
    file: Path, most_out: int | None, go_on: bool, call_off: bool, no_wait: bool, as_json: bool
) -> None:
    """Check FILE, then restart one instance after the other with it.

    Before the next instance is taken out, the restarted one must be ready and service as good as before the
    roll. The roll continues even if this command does not wait for it.

    Exit status: 0 done (with --no-wait: started), 1 the roll was refused, stopped or called off, 2 the
    arguments or the file are invalid, 3 no supervisor answers.
    """
    if go_on + call_off + (most_out is not None) > 1:
        raise click.UsageError("--most-out, --continue and --call-off can't be combined")
    location = supervisor_location(file)
    if call_off:
        print_answer(ask_supervisor(location, "call-off"), as_json, lambda _: "called off")
        return
    answer = (
        ask_supervisor(location, "continue") if go_on else ask_supervisor(location, "roll", most_out=most_out)
    )
    if no_wait:
        print_answer(answer, as_json, lambda _: "the roll has started")
        return
    while (status := ask_supervisor(location, "status"))["rolls"] == answer["rolls"] and _is_running(status):
        time.sleep(POLL_INTERVAL_S)
    _report_outcome(status, status["rolls"] == answer["rolls"], as_json)


def _is_running(status: dict[str, Any]) -> bool:
    """Whether a roll is in progress and not stopped."""
    return status["roll"] is not None and status["roll"]["running"]


def _report_outcome(status: dict[str, Any], is_same_roll: bool, as_json: bool) -> None:
    """Prints how the roll ended. `is_same_roll` is false if another roll has been started since.

    Raises Failed if the roll is stopped, and SystemExit if it did not finish.
    """
    roll = status["roll"] if is_same_roll else None
    if roll is not None:
        if as_json:
            print_answer(status, True, str)
        raise Failed(
            f"the roll was stopped: {roll['reason']}; done: {', '.join(roll['done']) or 'none'}. "
            "Continue it (--continue) or call it off (--call-off)"
        )
    print_answer(status, as_json, lambda answer: f"the roll is {answer['last_roll']}")
    if status["last_roll"] != "done":
        raise SystemExit(Failed.exit_code)
