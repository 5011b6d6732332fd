"""Work sent to cold push servers, compared with their budget, for few and for many relays.

    python -m benchmarks.cold_fleet sockets|model [--relays 2] [--seed 1] [--repeats 1] [--case NAME]

`sockets` runs real relay processes, which don't know of each other, and stand-in push servers on loopback;
`model` runs the lab's model, for fleets too large for one machine. The cases are the scenarios in
benchmarks/fleet/. All runs of one case have the same push servers and clients, for any number of relays.
Prints a line of JSON for each run; `--out` keeps the results for `glenfold lab report`. A run on sockets
takes half a minute.
"""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
import msgspec
import numpy as np

from glenfold_lab import scenario as scenarios
from glenfold_lab.cold_work import ColdLife, ColdWork, Span
from glenfold_lab.model import world
from glenfold_lab.results import RunResult
from glenfold_lab.spec import Scenario
from glenfold_lab.stand_ins.reconciler import SLACK_US
from glenfold_lab.stand_ins.run import play_on_sockets, scaled

SCENARIO_FOLDER = Path(__file__).parent / "fleet"
CASES = (
    "one-joins",
    "all-restart-marked",
    "all-restart-unmarked",
    "all-restart-marked-shares",
    "all-restart-unmarked-shares",
    "all-restart-late-list",
)
REPORTED_FIGURES = ("requests", "refused", "service", "rules_broken", "late_p99_ms")


def measure(where: str, scenario: Scenario, seed: int) -> tuple[RunResult, tuple[ColdLife, ...]]:
    """Runs the scenario in the model or on sockets, and returns its result and its cold starts."""
    work = ColdWork(scenario.rules, 0 if where == "model" else SLACK_US)
    if where == "model":
        return world.play(scenario, seed, watchers=[work]), work.lives()
    return play_on_sockets(scenario, seed, bad_per_s=0.0, watchers=[work]), work.lives()


def summarize_run(result: RunResult, lives: tuple[ColdLife, ...]) -> dict[str, Any]:
    """Returns the figures to report for one run; the spans are those of `ColdLife`."""
    cold = [verdict for verdict in result.verdicts if verdict.rule == "cold"]
    return {
        "cold_starts": len(lives),
        "worst": summarize_spans([life.worst for life in lives]),
        "known": summarize_spans([life.known for life in lives]),
        "cold_verdicts": len(cold),
    } | {name: round(result.figures[name], 4) for name in REPORTED_FIGURES if name in result.figures}


def summarize_spans(spans: Sequence[Span]) -> dict[str, Any]:
    """Returns the used part of the budget, as the median and the worst of all cold starts, and the figures of
    the worst one.
    """
    worst = max(spans, key=lambda span: span.used)
    return {
        "used_median": round(float(np.median([span.used for span in spans])), 2),
        "used_worst": round(worst.used, 2),
        "sent": worst.sent,
        "budget": round(worst.budget, 2),
        "starts_over": sum(span.over for span in spans),
    }


@click.command()
@click.argument("where", type=click.Choice(["sockets", "model"]))
@click.option("--relays", type=click.IntRange(1, 1000), default=2, show_default=True)
@click.option(
    "--servers", type=click.IntRange(2, 1000), help="Number of push servers, in place of the scenario's."
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--repeats", type=click.IntRange(1, 20), default=1, show_default=True)
@click.option("--case", "cases", multiple=True, type=click.Choice(CASES), default=CASES)
@click.option("--out", type=click.Path(file_okay=False, path_type=Path))
def main(
    where: str,
    relays: int,
    servers: int | None,
    seed: int,
    repeats: int,
    cases: tuple[str, ...],
    out: Path | None,
) -> None:
    for case in cases:
        scenario = scaled(scenarios.load(str(SCENARIO_FOLDER / f"{case}.toml")), 1, relays, servers)
        for run_seed in range(seed, seed + repeats):
            result, lives = measure(where, scenario, run_seed)
            click.echo(
                json.dumps(
                    {"case": case, "where": where, "relays": relays, "seed": run_seed}
                    | summarize_run(result, lives)
                )
            )
            if out is not None:
                out.mkdir(parents=True, exist_ok=True)
                name = f"{case}-{where}-{relays}-{run_seed}.json"
                (out / name).write_bytes(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
