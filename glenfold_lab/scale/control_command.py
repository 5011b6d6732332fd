"""`glenfold lab scale control`: thousands of hollow relays that follow lists and changes."""

import subprocess
from dataclasses import asdict
from pathlib import Path

import click
from rich.console import Console

from glenfold_lab.scale import control_slopes
from glenfold_lab.scale.control_plays import PlayFailed, PlayResult
from glenfold_lab.scale.control_slopes import Size
from glenfold_lab.scale.control_source import SourceFailed
from glenfold_lab.scale.hollow_fleet import FleetFailed
from glenfold_lab.scale.measurements import Machine, Point, Results

DEFAULT_SERVERS = 1024
DEFAULT_WATCHERS = 340


@click.command("control")
@click.option(
    "--watchers",
    type=click.IntRange(1, 10_000),
    multiple=True,
    help=f"Hollow relays, once for each size, under {DEFAULT_SERVERS} servers.",
)
@click.option(
    "--servers",
    type=click.IntRange(14, 20_000),
    multiple=True,
    help=f"Servers in the list, once for each size, with {DEFAULT_WATCHERS} hollow relays.",
)
@click.option("--repeats", type=click.IntRange(1, 10), default=3, show_default=True, help="Of each size.")
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Of the first repeat.")
@click.option(
    "--json",
    "out",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Where the results go; points of other sizes in that file stay.",
)
def command(
    watchers: tuple[int, ...], servers: tuple[int, ...], repeats: int, seed: int, out: Path | None
) -> None:
    """Measure what one agent that all relays follow costs, and how late they hear.

    Exit status: 0 measured, 1 a run failed, 2 the words are at fault."""
    sizes = [Size("watchers", count, DEFAULT_SERVERS) for count in watchers]
    sizes += [Size("servers", DEFAULT_WATCHERS, count) for count in servers]
    if not sizes:
        raise click.UsageError("--watchers or --servers says what is measured")
    console = Console()
    for repeat in range(1, repeats + 1):
        for size in sizes:
            points = _measured(size, repeat, seed + repeat - 1, console)
            if out is not None:
                _add(out, points)


def _measured(size: Size, repeat: int, seed: int, console: Console) -> list[Point]:
    console.print(f"{size.watchers} watchers, {size.servers} servers, repeat {repeat}, seed {seed}")
    try:
        points = control_slopes.measure(size, repeat, seed, lambda result: _tell(result, console))
    except (FleetFailed, SourceFailed, PlayFailed) as error:
        raise click.ClickException(str(error)) from error
    for point in points:
        console.print(f"  {point.quantity}: {point.value:.6g} {point.unit}")
    return points


def _tell(result: PlayResult, console: Console) -> None:
    console.print(f"  [bold]{result.name}[/] {result.length_s:.1f} s: {asdict(result.judgement)}")
    for name, usage in result.usage.items():
        console.print(f"    {name}: {usage.cpu_s:.2f} s of CPU, {usage.memory_mb:.0f} MB")


def _add(out: Path, points: list[Point]) -> None:
    """A size that is measured again replaces what stood there."""
    results = (
        Results.load(out) if out.exists() else Results("control", "", "", Machine.here(), _conditions(), [])
    )
    new = {(point.quantity, point.dimension, point.size, point.repeat) for point in points}
    results.points = [
        point
        for point in results.points
        if (point.quantity, point.dimension, point.size, point.repeat) not in new
    ]
    results.points += points
    results.command = "glenfold lab scale control --watchers 340 --watchers 1000 --watchers 3400"
    results.revision = _revision()
    results.machine = Machine.here()
    results.save(out)


def _conditions() -> dict[str, object]:
    return {
        "servers, where watchers vary": DEFAULT_SERVERS,
        "watchers, where servers vary": DEFAULT_WATCHERS,
        "seconds between changes, steady": control_slopes.GAP_S,
        "seconds between changes, fast": control_slopes.FAST_GAP_S,
    }


def _revision() -> str:
    """The commit of the program."""
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=Path(__file__).parent,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip()
