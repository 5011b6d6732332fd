"""`glenfold fleet status FILE`."""

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
    """Tell how each instance and a roll stand.

    Exit status: 0 all are ready, 1 one is not or a roll was stopped, 2 the words or the file are at fault, 3
    no supervisor answers.
    """
    status = ask_supervisor(supervisor_location(file), "status")
    if as_json:
        print_answer(status, True, str)
    else:
        _print_tables(status)
    well = all(one["phase"] == "ready" for one in status["instances"])
    if not well or (status["roll"] and not status["roll"]["running"]):
        raise SystemExit(Failed.exit_code)


def _print_tables(status: dict[str, Any]) -> None:
    table = Table("instance", "stands", "its life", "pid", "for s", "starts", *SHOWN_COUNTERS, "last end")
    for one in status["instances"]:
        counted = (str(one["counters"].get(name, "")) for name in SHOWN_COUNTERS)
        stands = one["phase"] + (", being replaced" if one["replacing"] else "")
        stands += f", {one['leaving']} leaving" if one["leaving"] else ""
        table.add_row(
            one["name"],
            stands,
            one["state"] or "",
            str(one["pid"] or ""),
            f"{one['for_s']:.0f}",
            str(one["starts"]),
            *counted,
            one["last_end"],
        )
    console = Console()
    console.print(table)
    service = status["service"]
    console.print(
        f"service: {service['asked']} requests ended lately, {service['refused']:.1%} refused, "
        f"{service['unanswered']:.1%} unanswered"
    )
    if roll := status["roll"]:
        stands = "runs" if roll["running"] else f"was stopped: {roll['reason']}"
        console.print(
            f"roll {stands}; {len(roll['done'])} done, out: {', '.join(roll['out']) or 'none'}, "
            f"to come: {', '.join(roll['todo']) or 'none'}",
            markup=False,
            highlight=False,
        )
    if not status["state_saved"]:
        console.print("the supervisor can't save its state: see its log")
