"""Plays one soak run and returns its result."""

from pathlib import Path

import msgspec

from glenfold_lab.results import Verdict
from glenfold_lab.soak.descriptors import CheckFailed
from glenfold_lab.soak.disturbance import Disturbance
from glenfold_lab.soak.plan import draw_plan
from glenfold_lab.stand_ins.outcome import LONGEST_GAP
from glenfold_lab.stand_ins.run import play_on_sockets


class Soaked(msgspec.Struct, frozen=True):
    """The result of one soak run.

    `verdicts` has the broken rules and the connections that a relay did not close. `faults` has the kinds of
    the faults. `late` says that the stand-ins themselves ran late, so that measured times are unreliable.
    `gaps_ms` has the longest time in which one of them did not run, in all and in each call that blocked it.
    `late_checks` counts the checks of descriptors that took longer than the time between two of them.
    """

    seed: int
    verdicts: tuple[Verdict, ...]
    requests: int
    up: int
    refused: int
    moves: int
    faults: tuple[str, ...]
    signals: dict[str, int]
    crowded: int
    peak_mb: float
    late: bool
    gaps_ms: dict[str, float]
    late_checks: int

    @property
    def passed(self) -> bool:
        return not self.verdicts

    @property
    def undecided(self) -> bool:
        """Whether no rule was shown to be broken, and some was not shown to be kept."""
        return bool(self.verdicts) and all(verdict.undecided for verdict in self.verdicts)


def play(seed: int, length_s: float, logs: Path | None = None) -> Soaked:
    """Plays one soak run.

    Raises as `play_on_sockets` does, ValueError for a length that is too short, and CheckFailed if the
    descriptors of the relays could not be checked.
    """
    plan = draw_plan(seed, length_s)
    disturbance = Disturbance(plan, seed)
    result = play_on_sockets(plan.scenario, seed, side_task=disturbance.run, logs=logs)
    if not disturbance.descriptors.checks:
        raise CheckFailed("no check of descriptors finished within the run")
    return Soaked(
        seed=seed,
        verdicts=result.verdicts,
        requests=int(result.figures["requests"]),
        up=result.answers["up"],
        refused=int(result.figures["refused"]),
        moves=int(result.figures["moves"]),
        faults=tuple(fault.kind for fault in plan.scenario.faults),
        signals=dict(sorted(disturbance.signals.items())),
        crowded=disturbance.crowded,
        peak_mb=max(mb for name, mb in result.cost.items() if name.endswith("peak_mb")),
        late=bool(result.figures["late"]),
        gaps_ms={name: ms for name, ms in result.cost.items() if name.startswith(LONGEST_GAP)},
        late_checks=disturbance.descriptors.late,
    )
