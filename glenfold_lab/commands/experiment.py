"""`glenfold lab experiment`: plays an experiment file over many processes, and goes on where it stopped."""

import os
import sys
from collections.abc import Sequence
from contextlib import closing
from pathlib import Path

import click
import trio
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from glenfold.toml_file import BadFile
from glenfold_lab.experiments import pool
from glenfold_lab.experiments.compare import differences
from glenfold_lab.experiments.export import ExperimentResults, differences_grid, figures_grid, write_json
from glenfold_lab.experiments.plan import Cell, Plan, load
from glenfold_lab.experiments.store import Header, Short, Store, go_on

WIDE = 240  # columns of tables that go to a file or a pipe
SHOWN = 10  # failed cells that are told one by one
BROKEN_OFF = 130


@click.command("experiment")
@click.argument("file")
@click.option("--out", required=True, help="The file of results; if it is there, the experiment goes on.")
@click.option(
    "--workers",
    type=click.IntRange(1, 1024),
    default=lambda: len(os.sched_getaffinity(0)),
    help="Processes; as many as this process may use cores, if not given.",
)
@click.option(
    "--against",
    multiple=True,
    metavar="REV",
    help="Also play the decisions of this git revision, and compare with them.",
)
@click.option("--json", "json_out", help="Write all results and differences there, as JSON.")
def command(file: str, out: str, workers: int, against: tuple[str, ...], json_out: str | None) -> None:
    """Play the experiment in FILE.

    Exit status: 0 all cells were played and every rule was kept, 1 a rule was broken, a cell failed or a
    repeat was unlike its first play, 2 FILE or a revision is at fault (then nothing was written), 130 broken
    off; the same command then goes on where it stopped.
    """
    plan = load(file, against)
    if json_out is not None and not Path(json_out).parent.is_dir():
        raise BadFile(json_out, "there is no such folder")
    with closing(go_on(out, Header(plan.name, plan.asks, plan.size, plan.identity()))) as store:
        left = _left(plan, store)
        _tell_state(plan, store, left)
        play(plan, store, left, workers)
        raise SystemExit(tell(plan, store, json_out))


def _left(plan: Plan, store: Store) -> list[Cell]:
    """Cells that failed are tried again: memory may have run out, or a worker been killed."""
    return [
        cell
        for cell in plan.cells()
        if cell.number not in store.locations or store.read(cell.number, Short).failed is not None
    ]


def _tell_state(plan: Plan, store: Store, left: Sequence[Cell]) -> None:
    if store.torn_bytes:
        click.echo(f"{store.path}: the last line was torn; {store.torn_bytes} bytes were cut off", err=True)
    if len(left) < plan.size:
        click.echo(f"{store.path}: {plan.size - len(left)} of {plan.size} cells were played before", err=True)


def play(plan: Plan, store: Store, left: Sequence[Cell], workers: int) -> None:
    """With a progress bar, if there is a terminal."""
    columns = (TextColumn("cells"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), disable=not sys.stderr.isatty()) as progress:
        bar = progress.add_task("cells", total=plan.size, completed=plan.size - len(left))

        def take(record: bytes) -> None:
            store.add(record)
            progress.advance(bar)

        try:
            trio.run(pool.run, plan, left, workers, take)
        except KeyboardInterrupt:
            click.echo(f"broken off; the same command goes on from {store.path}", err=True)
            raise SystemExit(BROKEN_OFF) from None


def tell(plan: Plan, store: Store, json_out: str | None) -> int:
    """Prints tables, writes the JSON file, and gives the exit status."""
    found = ExperimentResults(plan, store)
    compared = list(differences(plan, found.table))
    console = Console() if sys.stdout.isatty() else Console(width=WIDE)
    console.print(figures_grid(plan, found))
    if compared:
        console.print(differences_grid(plan, found, compared))
    if json_out is not None:
        write_json(json_out, plan, store, compared)
    for cell, error in found.failed[:SHOWN]:
        click.echo(f"failed: {_name(plan, cell)}: {error}", err=True)
    for cell in found.nondeterministic[:SHOWN]:
        click.echo(f"not the same as its first play: {_name(plan, cell)}", err=True)
    click.echo(
        f"{plan.size - len(found.failed)} of {plan.size} cells played, {len(found.failed)} failed, "
        f"{len(found.nondeterministic)} unlike; rules broken {found.rules_broken} times"
    )
    return 1 if found.failed or found.nondeterministic or found.rules_broken else 0


def _name(plan: Plan, cell: Cell) -> str:
    variant = plan.variants[cell.variant]
    levels = "".join(f", {name} = {level}" for name, level in variant.levels.items())
    revision = plan.decisions[cell.revision].name
    return f"{variant.scenario.name}{levels}, {revision}, seed {cell.seed}, repeat {cell.repeat}"
