"""`glenfold lab scale control`: thousands of hollow relays that follow lists and changes."""

import subprocess
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import click
from rich.console import Console

from glenfold_lab.scale import control_replicas, control_slopes
from glenfold_lab.scale.control_plays import PlayFailed, PlayResult
from glenfold_lab.scale.control_processes import NotReady
from glenfold_lab.scale.control_replicas import Order
from glenfold_lab.scale.control_slopes import Size
from glenfold_lab.scale.driven_process import ProcessFailed
from glenfold_lab.scale.measurements import Machine, Point, Results
from glenfold_lab.stand_ins.relays import NotReady as RelayNotReady

DEFAULT_SERVERS = 1024
DEFAULT_WATCHERS = 340
FAILURES = (ProcessFailed, PlayFailed, NotReady, RelayNotReady)
ROOT = Path(__file__).parents[2]

Tell = Callable[[PlayResult], None]


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
@click.option(
    "--replicas",
    is_flag=True,
    help="Under two layers of control replicas, in place of one agent that all follow.",
)
@click.option(
    "--play",
    "plays",
    type=click.Choice(list(control_replicas.PLAYS)),
    multiple=True,
    help="With --replicas: only these, in this order.  [default: all]",
)
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=ROOT,
    help="With --replicas: the checkout whose replicas run.  [default: this one]",
)
@click.option(
    "--relays",
    type=click.IntRange(0, 40),
    default=20,
    show_default=True,
    help="With --replicas: real relays beside the hollow ones.",
)
@click.option("--repeats", type=click.IntRange(1, 10), default=3, show_default=True, help="Of each size.")
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Of the first repeat.")
@click.option(
    "--out",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Where the results go; points of other sizes in that file stay.",
)
def command(
    watchers: tuple[int, ...],
    servers: tuple[int, ...],
    replicas: bool,
    plays: tuple[str, ...],
    program: Path,
    relays: int,
    repeats: int,
    seed: int,
    out: Path | None,
) -> None:
    """Measure what the control side costs under hollow relays, and how late they hear of changes.

    Exit status: 0 measured, 1 a bound was exceeded or a run failed, 2 the words are at fault."""
    console = Console(soft_wrap=True)
    sizes = [Size("watchers", count, DEFAULT_SERVERS) for count in watchers]
    sizes += [Size("servers", DEFAULT_WATCHERS, count) for count in servers]
    if not sizes:
        raise click.UsageError("--watchers or --servers says what is measured")
    if (plays or program != ROOT) and not replicas:
        raise click.UsageError("--play and --program go with --replicas")
    order = Order(plays or tuple(control_replicas.PLAYS), relays, program)
    broken: list[str] = []

    def tell(result: PlayResult) -> None:
        faults = control_replicas.broken(result) if replicas else []
        _tell(result, faults, console)
        broken.extend(f"{result.name}: {fault}" for fault in faults)

    for repeat in range(1, repeats + 1):
        for size in sizes:
            console.print(f"{size.watchers} watchers, {size.servers} servers, repeat {repeat}")
            at = seed + repeat - 1
            with _failures():
                if replicas:
                    points = control_replicas.measure(size, order, repeat, at, tell)
                else:
                    points = control_slopes.measure(size, repeat, at, tell)
            if out is not None:
                add(out, points, replicas, program)
    if broken:
        raise click.ClickException("exceeded: " + "; ".join(broken))


@contextmanager
def _failures() -> Iterator[None]:
    try:
        yield
    except FAILURES as error:
        raise click.ClickException(str(error)) from error


def _tell(result: PlayResult, faults: list[str], console: Console) -> None:
    judged = result.judgement
    waits = judged.in_force
    console.print(
        f"  [bold]{result.name}[/] {result.length_s:.1f} s, {judged.revisions} changes: in force "
        f"{waits.p50_s:.3f} / {waits.p99_s:.3f} / {waits.max_s:.3f} s (50 % / 99 % / last); "
        f"{judged.lost} lost, {judged.doubled} doubled, {judged.disagreeing} disagree; "
        f"{judged.whole_lists} whole lists, {judged.connects} connects, {judged.refused} refused"
    )
    console.print(
        f"    a watcher: {judged.bytes_mean:.0f} B/s, worst {judged.bytes_worst:.0f}, "
        f"{judged.most_bytes} B in a second; hollow relays: {judged.fleet_cpu_s:.1f} s of CPU, "
        f"longest turn {judged.turn_s:.2f} s; faults: {judged.faults or 'none'}"
    )
    if result.back_s:
        console.print(f"    all of the layer served again after {result.back_s:.2f} s")
    if result.relays.expected:
        relays = ", ".join(f"{wait:.2f}" for wait in sorted(result.relays.waits_s))
        console.print(f"    at real relays, {result.relays.expected} times: in force after {relays} s")
    for name, usage in result.usage.items():
        console.print(f"    {name}: {usage.cpu_s:.2f} s of CPU, {usage.memory_mb:.0f} MB")
    for fault in faults:
        console.print(f"    [bold red]exceeded: {fault}[/]")


# ---- the file of results ----


def add(out: Path, points: list[Point], replicas: bool, program: Path) -> None:
    """A size that is measured again replaces what stood there."""
    run = "replica" if replicas else "control"
    results = Results.load(out) if out.exists() else Results(run, "", "", Machine.here(), _conditions())
    new = {(point.quantity, point.dimension, point.size, point.repeat) for point in points}
    kept = [
        point
        for point in results.points
        if (point.quantity, point.dimension, point.size, point.repeat) not in new
    ]
    results.points = kept + points
    results.command = _again(results.points, replicas)
    results.revision = _revision(program)
    results.machine = Machine.here()
    results.save(out)


def _again(points: list[Point], replicas: bool) -> str:
    """The command that plays all of this again."""
    sizes = sorted({(point.dimension, int(point.size)) for point in points})
    words = [f"--{dimension} {size}" for dimension, size in sizes]
    repeats = max(point.repeat for point in points)
    return " ".join(
        ["glenfold lab scale control", *(["--replicas"] if replicas else []), *words, f"--repeats {repeats}"]
    )


def _conditions() -> dict[str, object]:
    return {
        "servers, where watchers vary": DEFAULT_SERVERS,
        "watchers, where servers vary": DEFAULT_WATCHERS,
        "seconds between changes, steady": control_slopes.GAP_S,
        "seconds between changes, fast": control_slopes.FAST_GAP_S,
    }


def _revision(program: Path) -> str:
    """The commit of the program measured, with a mark if a tracked file differs from it."""
    words = ["git", "describe", "--always", "--dirty", "--abbrev=40"]
    return subprocess.run(words, cwd=program, capture_output=True, text=True, check=True).stdout.strip()
