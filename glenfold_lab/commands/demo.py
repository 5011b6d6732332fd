"""`glenfold lab demo`: a short run with relays, stand-ins and clients, as a first look at the system."""

from pathlib import Path

import click
import msgspec
from rich.console import Console

from glenfold_lab import scenario
from glenfold_lab.reports import live
from glenfold_lab.stand_ins.addresses import TooLarge
from glenfold_lab.stand_ins.relays import NotReady
from glenfold_lab.stand_ins.remote_worker import WorkerFailed
from glenfold_lab.stand_ins.run import play_on_sockets, shortened

SCENARIO_FILE = Path(__file__).with_name("demo.toml")
MIN_LENGTH_S = 5.0


@click.command("demo")
@click.option(
    "--seconds",
    type=click.FloatRange(MIN_LENGTH_S, 3600),
    default=20.0,
    show_default=True,
    help="Length of the run; the times of faults scale with it.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Seed of the clients and of the targets of faults.",
)
@click.option(
    "--json",
    "json_file",
    type=click.Path(path_type=Path, dir_okay=False, writable=True),
    help="Write the result to this file, for `report`.",
)
def command(seconds: float, seed: int, json_file: Path | None) -> None:
    """Run two relays with stand-ins for push servers and some 200 clients, all on loopback.

    A table shows each second; without a terminal, each second is a plain line. Half-way through, a push
    server drains and a relay restarts.

    Exit status: 0 every rule was kept, 1 a rule was broken or the demo could not run, 2 an argument is
    invalid.
    """
    demo_scenario, console = shortened(scenario.load(str(SCENARIO_FILE)), seconds), Console(highlight=False)
    servers, relays = demo_scenario.servers.count, demo_scenario.relays.count
    console.print(f"Starting {relays} relays, stand-ins for {servers} push servers, and clients ...")
    try:
        with live.live_display(console, live.notes_by_second(demo_scenario)) as show:
            result = play_on_sockets(demo_scenario, seed, on_second=show)
    except (NotReady, WorkerFailed, TooLarge) as error:
        raise click.ClickException(str(error)) from error
    for line in live.outcome_lines(result):
        console.print(line, soft_wrap=True, markup=False)
    if json_file is not None:
        json_file.write_bytes(msgspec.json.encode(result) + b"\n")
    raise SystemExit(1 if result.figures["rules_broken"] else 0)
