"""`glenfold lab experiment`: plays an experiment in many processes, and resumes an interrupted one."""

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

PIPE_WIDTH = 240  # Width in columns of tables that are written to a file or a pipe.
MAX_CELLS_SHOWN = 10  # Limits the failed cells and differing repeats that are listed.
INTERRUPTED_STATUS = 130  # The exit status that shells use for SIGINT.


@click.command("experiment")
@click.argument("file")
@click.option("--out", required=True, help="The results file; an existing one is resumed.")
@click.option(
    "--workers",
    type=click.IntRange(1, 1024),
    default=lambda: len(os.sched_getaffinity(0)),
    help="Number of processes; by default the number of cores that this process may use.",
)
@click.option(
    "--against",
    multiple=True,
    metavar="REV",
    help="Also play the decisions of this git revision, and compare the results.",
)
@click.option("--json", "json_out", help="Write all results and differences to this file, as JSON.")
def command(file: str, out: str, workers: int, against: tuple[str, ...], json_out: str | None) -> None:
    """Play the experiment in FILE.

    Exit status: 0 all cells were played and every rule was kept, 1 a rule was broken, a cell failed or a
    repeat differed from its first play, 2 FILE or a revision is invalid (then nothing was written), 130
    interrupted; the same command then resumes the experiment.
    """
    plan = load(file, against)
    if json_out is not None and not Path(json_out).parent.is_dir():
        raise BadFile(json_out, "the folder does not exist")
    with closing(go_on(out, Header(plan.name, plan.asks, plan.size, plan.identity()))) as store:
        remaining = _remaining_cells(plan, store)
        _report_state(plan, store, remaining)
        play(plan, store, remaining, workers)
        raise SystemExit(report_results(plan, store, json_out))


def _remaining_cells(plan: Plan, store: Store) -> list[Cell]:
    """Returns the cells without a result.

    Failed cells are played again, because memory may have run out or a worker may have been killed.
    """
    return [
        cell
        for cell in plan.cells()
        if cell.number not in store.locations or store.read(cell.number, Short).failed is not None
    ]


def _report_state(plan: Plan, store: Store, remaining: Sequence[Cell]) -> None:
    if store.torn_bytes:
        click.echo(
            f"{store.path}: the last line was incomplete; {store.torn_bytes} bytes were cut off", err=True
        )
    if len(remaining) < plan.size:
        click.echo(
            f"{store.path}: {plan.size - len(remaining)} of {plan.size} cells were played before", err=True
        )


def play(plan: Plan, store: Store, remaining: Sequence[Cell], workers: int) -> None:
    """Plays the remaining cells, with a progress bar if stderr is a terminal."""
    columns = (TextColumn("cells"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), disable=not sys.stderr.isatty()) as progress:
        task = progress.add_task("cells", total=plan.size, completed=plan.size - len(remaining))

        def add_record(record: bytes) -> None:
            store.add(record)
            progress.advance(task)

        try:
            trio.run(pool.run, plan, remaining, workers, add_record)
        except KeyboardInterrupt:
            click.echo(f"interrupted; the same command resumes from {store.path}", err=True)
            raise SystemExit(INTERRUPTED_STATUS) from None


def report_results(plan: Plan, store: Store, json_out: str | None) -> int:
    """Prints tables, writes the JSON file, and returns the exit status."""
    found = ExperimentResults(plan, store)
    pairs = list(differences(plan, found.table))
    console = Console() if sys.stdout.isatty() else Console(width=PIPE_WIDTH)
    console.print(figures_grid(plan, found))
    if pairs:
        console.print(differences_grid(plan, found, pairs))
    if json_out is not None:
        write_json(json_out, plan, store, pairs)
    for cell, error in found.failed[:MAX_CELLS_SHOWN]:
        click.echo(f"failed: {_cell_name(plan, cell)}: {error}", err=True)
    for cell in found.nondeterministic[:MAX_CELLS_SHOWN]:
        click.echo(f"not the same as its first play: {_cell_name(plan, cell)}", err=True)
    click.echo(
        f"{plan.size - len(found.failed)} of {plan.size} cells played, {len(found.failed)} failed, "
        f"{len(found.nondeterministic)} unlike; rules broken {found.rules_broken} times"
    )
    return 1 if found.failed or found.nondeterministic or found.rules_broken else 0


def _cell_name(plan: Plan, cell: Cell) -> str:
    variant = plan.variants[cell.variant]
    levels = "".join(f", {name} = {level}" for name, level in variant.levels.items())
    revision = plan.decisions[cell.revision].name
    return f"{variant.scenario.name}{levels}, {revision}, seed {cell.seed}, repeat {cell.repeat}"
