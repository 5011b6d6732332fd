"""`glenfold lab soak`: real relays under faults that seeds draw, one run after the other."""

from pathlib import Path

import click
import msgspec

from glenfold_lab.commands.play import format_verdict
from glenfold_lab.soak.day import SHORTEST_S
from glenfold_lab.soak.run import Soaked, play
from glenfold_lab.stand_ins.places import TooLarge
from glenfold_lab.stand_ins.relays import NotReady
from glenfold_lab.stand_ins.remote_part import PartFailed


@click.command("soak")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of the first run.")
@click.option("--count", type=click.IntRange(1, 10_000), default=3, show_default=True, help="Of runs.")
@click.option(
    "--seconds",
    type=click.FloatRange(SHORTEST_S, 3600),
    default=20.0,
    show_default=True,
    help="How long each run goes.",
)
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep the relays' logs there.")
def command(seed: int, count: int, seconds: float, logs: Path | None) -> None:
    """Play runs with real relays, stand-ins and faults that each seed draws; print a JSON line for each.

    Relays get signals in series, half of the clients go on using a connection after MOVE until it ends, and
    in some runs a crowd of idle clients fills the descriptors of a relay. The rules of the platform are
    judged from outside, and so is whether a relay keeps descriptors, or goes over its memory.

    Exit status: 0 all runs passed, 1 a rule was broken or a run failed, 2 the words are at fault.
    """
    failed = 0
    for run_seed in range(seed, seed + count):
        try:
            soaked = play(run_seed, seconds, None if logs is None else logs / str(run_seed))
        except (TooLarge, NotReady, PartFailed) as error:
            raise click.ClickException(f"seed {run_seed}: {error}") from error
        print_run(soaked)
        failed += not soaked.passed
    click.echo(f"{count - failed} of {count} runs passed")
    raise SystemExit(failed > 0)


def print_run(soaked: Soaked) -> None:
    fields = msgspec.to_builtins(soaked) | {"verdicts": len(soaked.verdicts), "passed": soaked.passed}
    click.echo(msgspec.json.encode(fields).decode())
    for verdict in soaked.verdicts:
        click.echo(click.style(format_verdict(verdict).replace("[red]", "").replace("[/]", "")))
