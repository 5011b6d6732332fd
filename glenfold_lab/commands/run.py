"""`glenfold lab run`: plays one history of a scenario in virtual time."""

from contextlib import ExitStack
from pathlib import Path
from typing import BinaryIO

import click
import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from glenfold_lab import results, scenario
from glenfold_lab.model.world import play
from glenfold_lab.observe import OBSERVATIONS, Watcher
from glenfold_lab.results import RunResult, Verdict

SHOWN_FIGURES = (
    "goal",
    "service",
    "worst_window",
    "worst_class",
    "worst_scheme",
    "requests",
    "attempts_per_request",
    "cross_zone",
    "moves",
    "servers_fallen",
)
MAX_VERDICTS_SHOWN = 5


class TraceWriter(Watcher):
    """Writes each observation as a line of JSON: its kind, and its values, the first of which is the time."""

    def __init__(self, file: BinaryIO) -> None:
        write, encode = file.write, msgspec.json.Encoder().encode
        for name in OBSERVATIONS:
            setattr(self, name, lambda *values, name=name: write(encode((name, values)) + b"\n"))


@click.command("run")
@click.argument("name", metavar="SCENARIO")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the history.")
@click.option(
    "--json",
    "json_file",
    type=click.Path(path_type=Path, dir_okay=False, writable=True),
    help="Write the full result to this file; the same seed gives the same bytes.",
)
@click.option(
    "--trace",
    type=click.Path(path_type=Path, dir_okay=False, writable=True),
    help="Write every observation to this file, as lines of JSON.",
)
def command(name: str, seed: int, json_file: Path | None, trace: Path | None) -> None:
    """Play one history of SCENARIO, the name of a shipped scenario or a file, and check the rules on it.

    Exit status: 0 every rule was kept, 1 a rule was broken, 2 an argument or the file is invalid.
    """
    loaded = scenario.load(name)
    with ExitStack() as stack:
        watchers = [TraceWriter(stack.enter_context(trace.open("wb")))] if trace else []
        progress_bar = stack.enter_context(Progress(console=Console(stderr=True), transient=True))
        task = progress_bar.add_task(f"{loaded.name}, seed {seed}", total=1.0)
        result = play(
            loaded,
            seed,
            watchers=watchers,
            progress=lambda fraction: progress_bar.update(task, completed=fraction),
        )
    if json_file:
        json_file.write_bytes(results.encode(result) + b"\n")
    show(result)
    if result.figures["rules_broken"]:
        raise SystemExit(1)


def show(result: RunResult) -> None:
    """Prints the figures, the events and the first verdicts."""
    console = Console()
    console.print(figures_table(result))
    for event in result.happened:
        affected = [
            f"{len(numbers)} {noun}"
            for numbers, noun in ((event.servers, "servers"), (event.relays, "relays"))
            if numbers
        ]
        console.print(f"{event.at_us / 1e6:8.2f} s  {event.what}  {', '.join(affected)}")
    for verdict in result.verdicts[:MAX_VERDICTS_SHOWN]:
        console.print(f"\nrule broken: {format_verdict(verdict)}", markup=False, soft_wrap=True)
    broken = int(result.figures["rules_broken"])
    console.print("every rule kept" if not broken else f"\n{broken} times a rule was broken")


def figures_table(result: RunResult) -> Table:
    """Returns a table of the main figures, the answers and the set-up latencies."""
    table = Table(
        title=f"{result.scenario}, seed {result.seed}, {result.length_us / 1e6:g} s "
        f"played in {result.cost['seconds']:.1f} s"
    )
    table.add_column("figure")
    table.add_column("", justify="right")
    for name in SHOWN_FIGURES:
        table.add_row(name, f"{result.figures[name]:.4g}")
    for name, count in result.answers.items():
        table.add_row(f"answers: {name}", str(count))
    for name, distribution in result.set_up.items():
        table.add_row(
            f"set-up of {name}, ms: median, 99 %",
            " ".join(f"{distribution.quantiles[quantile] / 1000:.1f}" for quantile in ("50", "99")),
        )
    return table


def format_verdict(verdict: Verdict) -> str:
    """Returns the broken rule, its time, the parties and the evidence."""
    evidence = "\n".join(f"  {line}" for line in verdict.evidence)
    subjects = [
        f"{name} {value}"
        for name, value in (
            ("request", verdict.request),
            ("server", verdict.server),
            ("relay", verdict.relay),
        )
        if value is not None
    ]
    return f"{verdict.rule} at {verdict.at_us / 1e6:.6f} s, {', '.join(subjects)}\n{evidence}"
