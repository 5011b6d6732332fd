"""`glenfold lab soak`: runs real relays under randomly drawn faults, one seed after the other."""

from pathlib import Path

import click
import msgspec

from glenfold_lab.commands.play import exit_status, format_verdict
from glenfold_lab.results import Verdict
from glenfold_lab.soak.descriptors import CheckFailed
from glenfold_lab.soak.plan import MIN_LENGTH_S
from glenfold_lab.soak.run import Soaked, play
from glenfold_lab.stand_ins.addresses import TooLarge
from glenfold_lab.stand_ins.relays import NotReady
from glenfold_lab.stand_ins.remote_worker import WorkerFailed


@click.command("soak")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first run.")
@click.option("--count", type=click.IntRange(1, 10_000), default=3, show_default=True, help="Number of runs.")
@click.option(
    "--seconds",
    type=click.FloatRange(MIN_LENGTH_S, 3600),
    default=20.0,
    show_default=True,
    help="Length of each run.",
)
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep the logs of the relays in this folder.",
)
def command(seed: int, count: int, seconds: float, logs: Path | None) -> None:
    """Play runs with real relays, stand-ins and faults that each seed draws; print a JSON line for each.

    Relays get series of signals, half of the clients keep using a connection after MOVE until it ends, and
    in some runs a flood of idle clients uses up the descriptors of a relay. The rules of the platform are
    checked from outside, and so is whether a relay leaks descriptors or exceeds its memory limit.

    A verdict that rests on times at which the lab's own process did not run is undecided: the run counts
    neither as passed nor as failed.

    Exit status: 0 all runs passed, 1 a rule was broken or a run failed, 2 an argument is invalid, 3 no rule
    was shown to be broken but a run is undecided.
    """
    verdicts: list[Verdict] = []
    passed = undecided = 0
    for run_seed in range(seed, seed + count):
        try:
            soaked = play(run_seed, seconds, None if logs is None else logs / str(run_seed))
        except (TooLarge, NotReady, WorkerFailed, CheckFailed) as error:
            raise click.ClickException(f"seed {run_seed}: {error}") from error
        print_run(soaked)
        verdicts += soaked.verdicts
        passed += soaked.passed
        undecided += soaked.undecided
    undecided_text = f", {undecided} undecided" if undecided else ""
    click.echo(f"{passed} of {count} runs passed{undecided_text}")
    raise SystemExit(exit_status(verdicts))


def print_run(soaked: Soaked) -> None:
    """Prints the run as a line of JSON, followed by its verdicts."""
    outcome = {"passed": soaked.passed, "undecided": soaked.undecided}
    fields = msgspec.to_builtins(soaked) | {"verdicts": len(soaked.verdicts)} | outcome
    click.echo(msgspec.json.encode(fields).decode())
    for verdict in soaked.verdicts:
        click.echo(click.style(format_verdict(verdict).replace("[red]", "").replace("[/]", "")))
