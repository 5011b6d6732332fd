"""`glenfold lab scale topics`: how many servers the largest topic's listeners end up at."""

import subprocess
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from glenfold_lab.scale.measurements import Machine, Point, Results
from glenfold_lab.scale.topics import Fleet, Spread, place_all

LISTENERS = (12_000, 120_000, 1_200_000)
REPEATS = 3
TARGET = Fleet(relays=3400, servers=10_240, connections=210_000_000, groups=180_000, topic=1_200_000)
COMMAND = "glenfold lab scale topics --out benchmarks/scale/topics.json"


def revision() -> str:
    """The commit of the program that is measured; `unknown` outside a checkout."""
    found = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    )
    return found.stdout.strip() or "unknown"


def points(spread: Spread, listeners: int, repeat: int, split: bool) -> list[Point]:
    """What one play measured, by the number of the topic's listeners in the fleet."""
    prefix = "topic.split" if split else "topic"
    values = (
        (f"{prefix}.busiest_over_mean", "times", spread.busiest_over_mean),
        (f"{prefix}.servers", "servers", float(spread.servers)),
        (f"{prefix}.placement.cpu", "us", spread.cpu_us),
    )
    return [
        Point(quantity, unit, "listeners", listeners, value, repeat, seed=repeat)
        for quantity, unit, value in values
    ]


def measure(listeners: int, repeat: int, split: bool) -> list[Point]:
    """One play; the repeat is its seed."""
    fleet = Fleet(TARGET.relays, TARGET.servers, TARGET.connections, TARGET.groups, listeners)
    return points(place_all(fleet, repeat, split), listeners, repeat, split)


@click.command("topics")
@click.option("--processes", type=click.IntRange(1, 8), default=2, show_default=True)
@click.option(
    "--out", type=click.Path(path_type=Path, dir_okay=False, writable=True), help="File of results."
)
def command(processes: int, out: Path | None) -> None:
    """Give the real decisions of one relay its part of 210 million connections and of one topic, with every
    group placed as one and with large groups in parts.

    Exit status: 0 measured, 2 the words are at fault.
    """
    results = Results("topics", COMMAND, revision(), Machine.here(), vars_of(TARGET))
    plays = [
        (listeners, repeat, split)
        for split in (False, True)
        for listeners in LISTENERS
        for repeat in range(1, REPEATS + 1)
    ]
    with ProcessPoolExecutor(processes) as pool:
        for found in pool.map(measure, *zip(*plays, strict=True)):
            results.points += found
            for point in found:
                click.echo(
                    f"{point.size:>12,.0f} listeners  {point.quantity:26} {point.value:12.4g} {point.unit}"
                )
    results.machine = Machine.here()
    if out is not None:
        results.save(out)


def vars_of(fleet: Fleet) -> dict[str, int]:
    """Its figures by name, for the file of results."""
    return {name: getattr(fleet, name) for name in fleet.__slots__}
