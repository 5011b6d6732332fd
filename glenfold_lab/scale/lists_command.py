"""`glenfold lab scale lists`: what lists of push servers cost a relay as they grow."""

import multiprocessing
import subprocess
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
from rich.console import Console

from glenfold_lab.scale import list_costs
from glenfold_lab.scale.measurements import Machine, Point, Results
from glenfold_lab.scale.point_table import point_table

SIZES = 200, 1_024, 4_096, 10_240
MOST_SERVERS = 20_000
ROOT = Path(__file__).parents[2]
COMMAND = "glenfold lab scale lists"


def in_own_process(servers: int, seed: int, repeat: int) -> list[Point]:
    """One size in a process that has done nothing before."""
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=1, mp_context=spawn) as pool:
        return pool.submit(list_costs.measure, servers, seed, repeat).result()


def revision() -> str:
    """The commit of the work tree, with a mark if a tracked file differs from it."""
    words = ["git", "describe", "--always", "--dirty", "--abbrev=40"]
    return subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()


@click.command("lists")
@click.option("--size", "sizes", multiple=True, type=click.IntRange(14, MOST_SERVERS), default=SIZES)
@click.option("--repeats", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option("--seed", default=1, show_default=True, help="Draws the servers and their changes.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="Write the results there.")
def command(sizes: tuple[int, ...], repeats: int, seed: int, out: Path | None) -> None:
    """Measure what lists of push servers cost.

    Exit status: 0 measured, 1 a run failed, 2 the words are at fault.
    """
    console = Console()
    results = Results("lists", COMMAND, revision(), Machine.here())
    for size in sizes:
        for repeat in range(1, repeats + 1):
            results.points += in_own_process(size, seed, repeat)
    results.machine = Machine.here()
    console.print(point_table("Lists inside one process", results.points))
    if out is not None:
        results.save(out)
