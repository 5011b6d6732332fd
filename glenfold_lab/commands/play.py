"""`glenfold lab play`: plays one history with real relays and stand-ins on loopback sockets."""

from collections.abc import Sequence
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from glenfold_lab import scenario as scenarios
from glenfold_lab.results import RunResult, Verdict
from glenfold_lab.stand_ins.addresses import TooLarge
from glenfold_lab.stand_ins.outcome import LONGEST_GAP
from glenfold_lab.stand_ins.relays import NotReady
from glenfold_lab.stand_ins.remote_worker import WorkerFailed
from glenfold_lab.stand_ins.run import Snapshot, play_on_sockets, scaled

SHOWN_FIGURES = (
    "service",
    "worst_window",
    "worst_class",
    "clients",
    "requests",
    "attempts_per_request",
    "refused",
    "moves",
    "relays_down_s",
    "rules_broken",
    "undecided",
    "late_p99_ms",
)
BROKEN_STATUS = 1
UNDECIDED_STATUS = 3
MAX_VERDICTS_SHOWN = 5


@click.command("play")
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, help="Seed of the history.")
@click.option(
    "--seconds",
    type=click.FloatRange(1, 3600),
    help="Length of the run, instead of the length of the scenario.",
)
@click.option(
    "--relays", type=click.IntRange(1, 250), help="Number of relays, instead of the number in the scenario."
)
@click.option(
    "--servers", type=click.IntRange(2, 1000), help="Number of push servers; the load scales with it."
)
@click.option(
    "--scale",
    type=click.FloatRange(0.001, 1),
    default=1.0,
    show_default=True,
    help="Share of the relays and push servers of the scenario to play.",
)
@click.option(
    "--processes",
    type=click.IntRange(0, 32),
    help="Number of processes of stand-ins; 0: all stand-ins run in this process.",
)
@click.option(
    "--bad-clients",
    default=0.5,
    show_default=True,
    type=click.FloatRange(0, 100),
    help="Misbehaving clients per second; relays have to tolerate them.",
)
@click.option(
    "--json",
    "json_file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the result to this file.",
)
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep the logs of the relays in this folder.",
)
def command(
    scenario: str,
    seed: int,
    seconds: float | None,
    relays: int | None,
    servers: int | None,
    scale: float,
    processes: int | None,
    bad_clients: float,
    json_file: Path | None,
    logs: Path | None,
) -> None:
    """Play one history of SCENARIO (a name or a file) in real time, with real relays.

    Exit status: 0 every rule was kept, 1 a rule was broken or the run failed, 2 an argument or the file is
    invalid, 3 no rule was shown to be broken but a verdict is undecided, as its observer did not run.
    """
    scaled_scenario, console = scaled(scenarios.load(scenario), scale, relays, servers), Console()
    console.print(format_columns("second", "relays", "standing", "new", "up", "refused", "p99 ms", "lines"))
    try:
        result = play_on_sockets(
            scaled_scenario,
            seed,
            seconds,
            processes=processes,
            bad_per_s=bad_clients,
            logs=logs,
            on_second=lambda second: console.print(format_second(second)),
        )
    except (TooLarge, NotReady, WorkerFailed) as error:
        raise click.ClickException(str(error)) from error
    if json_file is not None:
        json_file.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    show(console, result)
    raise SystemExit(exit_status(result.verdicts))


def format_columns(*values: object) -> str:
    """Returns one line of the output, with right-aligned columns."""
    return "".join(f"{value!s:>10}" for value in values)


def format_second(second: Snapshot) -> str:
    """Returns the line of the output for one second."""
    answers = second.answers
    return format_columns(
        second.second + 1,
        second.relays_up,
        second.standing,
        second.new,
        answers.get("up", 0),
        answers.get("busy", 0),
        round(second.set_up_p99_ms),
        second.lines,
    )


def show(console: Console, result: RunResult) -> None:
    """Prints the figures, the CPU time and memory of each relay, and the first verdicts with evidence."""
    table = Table("figure", "value", title=f"{result.scenario}, seed {result.seed}")
    for name in SHOWN_FIGURES:
        table.add_row(name, f"{result.figures[name]:.4g}")
    console.print(table)
    if result.figures["late"]:
        console.print("[bold]late[/]: the stand-ins themselves ran late; what was measured is worth little")
    for name in sorted(name for name in result.cost if name.startswith(LONGEST_GAP)):
        console.print(f"{name}: {result.cost[name]:.0f}")
    for name in sorted(name for name in result.cost if name.endswith("cpu_s")):
        relay = name.removesuffix(" cpu_s")
        cpu_s, peak_mb = result.cost[name], result.cost[f"{relay} peak_mb"]
        console.print(f"{relay}: {cpu_s:.1f} s CPU, at most {peak_mb:.0f} MB")
    for verdict in result.verdicts[:MAX_VERDICTS_SHOWN]:
        console.print(format_verdict(verdict))
    remaining = len(result.verdicts) - MAX_VERDICTS_SHOWN + result.verdicts_left_out
    console.print(
        f"and {remaining} more" if remaining > 0 else "" if result.verdicts else "every rule was kept"
    )


def format_verdict(verdict: Verdict) -> str:
    """Returns the broken rule, its time and its evidence, with rich markup."""
    evidence = "\n".join(f"    {line}" for line in verdict.evidence)
    kind = "undecided, as its observer did not run" if verdict.undecided else "rule broken"
    return f"[red]{kind}[/]: {verdict.rule}, at {verdict.at_us / 1e6:.3f} s\n{evidence}"


def exit_status(verdicts: Sequence[Verdict]) -> int:
    """Returns the exit status for these verdicts: 1 if a rule was broken, else 3 if one is undecided."""
    if any(not verdict.undecided for verdict in verdicts):
        return BROKEN_STATUS
    return UNDECIDED_STATUS if verdicts else 0
