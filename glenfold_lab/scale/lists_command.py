"""`glenfold lab scale lists`: what lists of push servers cost a relay as they grow."""

import multiprocessing
import subprocess
import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from itertools import product
from pathlib import Path

import click
import trio
from rich.console import Console

from glenfold_lab.scale import list_costs
from glenfold_lab.scale.measurements import Machine, Point, Results
from glenfold_lab.scale.point_table import point_table
from glenfold_lab.scale.relay_lists import CHANGES_A_DAY, Play, Terms
from glenfold_lab.scale.server_lists import ZONES
from glenfold_lab.scale.worker import WorkerFailed
from glenfold_lab.stand_ins.relays import NotReady

SIZES = 200, 1_024, 4_096, 10_240
FEWEST_SERVERS = 56  # four to a zone, so that every zone has a server with a key of its own
MOST_SERVERS = 20_000
ROOT = Path(__file__).parents[2]
NOTES = [
    "numbers.pair_collision is computed, not measured.",
    "machine.reference_loop.cpu is the CPU time of one fixed piece of work: compare the machine by it.",
    "In force and loop stops are wall time: they grow with the machine's load. watch_late is how late the "
    "watching client itself was.",
    "CPU of relay.zone_lines and the seconds in force include the requests that look for the change.",
]


def in_own_process(servers: int, seed: int, repeat: int) -> list[Point]:
    """One size in a process that has done nothing before."""
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=1, mp_context=spawn) as pool:
        return pool.submit(list_costs.measure, servers, seed, repeat).result()


def with_relays(servers: int, seed: int, repeat: int, terms: Terms) -> list[Point]:
    with tempfile.TemporaryDirectory() as folder:

        async def play() -> list[Point]:
            played = Play(servers, seed, repeat, terms, Path(folder))
            await played.run()
            return played.points

        return trio.run(play)


def revision() -> str:
    """The commit of the work tree, with a mark if a tracked file differs from it."""
    words = ["git", "describe", "--always", "--dirty", "--abbrev=40"]
    return subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()


def written_command(sizes: tuple[int, ...], repeats: int, seed: int, terms: Terms) -> str:
    words = [f"--size {size}" for size in sizes]
    words += [f"--repeats {repeats}", f"--seed {seed}"]
    words += [f"--relays {terms.relays}", f"--seconds {terms.seconds:g}"]
    return " ".join(["glenfold lab scale lists", *words])


def measured(sizes: tuple[int, ...], repeats: int, seed: int, terms: Terms) -> Iterator[list[Point]]:
    """Each repeat draws other servers. Repeats are outermost: a busy minute then befalls all sizes."""
    for repeat, size in product(range(1, repeats + 1), sizes):
        drawn = seed + repeat - 1
        yield in_own_process(size, drawn, repeat)
        if terms.relays:
            yield with_relays(size, drawn, repeat, terms)


@click.command("lists")
@click.option(
    "--size",
    "sizes",
    multiple=True,
    type=click.IntRange(FEWEST_SERVERS, MOST_SERVERS),
    default=SIZES,
    show_default=True,
    help="Servers in the list; once for each size.",
)
@click.option("--repeats", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option(
    "--seed", default=1, show_default=True, help="Of the first repeat; it draws servers and changes."
)
@click.option(
    "--relays",
    type=click.IntRange(0, 10),
    default=3,
    show_default=True,
    help="Real relays; 0: only what happens inside one process.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(3, 600),
    default=24.0,
    show_default=True,
    help="How long changes come at the target's mean rate.",
)
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="Write the results there.")
def command(
    sizes: tuple[int, ...], repeats: int, seed: int, relays: int, seconds: float, out: Path | None
) -> None:
    """Measure what lists of push servers cost a relay.

    Exit status: 0 measured, 1 a run failed, 2 the words are at fault.
    """
    terms = Terms(relays=relays, seconds=seconds)
    results = Results("lists", written_command(sizes, repeats, seed, terms), revision(), Machine.here())
    results.conditions = {
        **asdict(terms),
        "zones": ZONES,
        "changes_a_day": CHANGES_A_DAY,
        "load_before": results.machine.load,
    }
    results.notes = list(NOTES)
    try:
        for points in measured(sizes, repeats, seed, terms):
            results.points += points
            results.machine = Machine.here()
            if out is not None:  # after each play: a run that breaks off keeps what it has
                results.save(out)
    except (NotReady, WorkerFailed, trio.TooSlowError, ExceptionGroup) as error:
        raise click.ClickException(f"a play failed: {error!r}") from error
    Console().print(point_table("Lists of push servers", results.points))
