"""`glenfold fleet status FILE`: shows the state of a fleet and of its roll."""

from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from glenfold.cli.fleet.supervisor_client import (
    Failed,
    ask_supervisor,
    file_argument,
    json_option,
    print_answer,
    supervisor_location,
)

SHOWN_COUNTERS = ("taken", "answered_up", "answered_busy", "answered_failed")


@click.command("status")
@file_argument
@json_option
def command(file: Path, as_json: bool) -> None:
    """Show the state of each instance and of a roll.

    Exit status: 0 all instances are ready, 1 an instance is not ready or a roll was stopped, 2 the arguments
    or the file are invalid, 3 no supervisor answers.
    """
    status = ask_supervisor(supervisor_location(file), "status")
    if as_json:
        print_answer(status, True, str)
    else:
        _print_status(status)
    all_ready = all(instance["phase"] == "ready" for instance in status["instances"])
    if not all_ready or (status["roll"] and not status["roll"]["running"]):
        raise SystemExit(Failed.exit_code)


def _print_status(status: dict[str, Any]) -> None:
    table = Table("instance", "phase", "state", "pid", "for s", "starts", *SHOWN_COUNTERS, "last exit")
    for instance in status["instances"]:
        counters = (str(instance["counters"].get(name, "")) for name in SHOWN_COUNTERS)
        phase = instance["phase"] + (", being replaced" if instance["replacing"] else "")
        phase += f", {instance['leaving']} leaving" if instance["leaving"] else ""
        table.add_row(
            instance["name"],
            phase,
            instance["state"] or "",
            str(instance["pid"] or ""),
            f"{instance['for_s']:.0f}",
            str(instance["starts"]),
            *counters,
            instance["last_end"],
        )
    console = Console()
    console.print(table)
    service = status["service"]
    console.print(
        f"service: {service['asked']} requests ended recently, {service['refused']:.1%} refused, "
        f"{service['unanswered']:.1%} unanswered"
    )
    if roll := status["roll"]:
        roll_state = "is running" if roll["running"] else f"was stopped: {roll['reason']}"
        console.print(
            f"roll {roll_state}; {len(roll['done'])} done, out: {', '.join(roll['out']) or 'none'}, "
            f"pending: {', '.join(roll['todo']) or 'none'}",
            markup=False,
            highlight=False,
        )
    if not status["state_saved"]:
        console.print("the supervisor can't save its state: see its log")
