"""Plays one soak run and returns its result."""

from pathlib import Path

import msgspec

from glenfold_lab.results import Verdict
from glenfold_lab.soak.disturbance import Disturbance
from glenfold_lab.soak.plan import draw_plan
from glenfold_lab.stand_ins.run import play_on_sockets


class Soaked(msgspec.Struct, frozen=True):
    """The result of one soak run.

    `verdicts` has the broken rules and the connections that a relay did not close. `faults` has the kinds of
    the faults. `late` says that the stand-ins themselves ran late, so that measured times are unreliable.
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

    @property
    def passed(self) -> bool:
        return not self.verdicts


def play(seed: int, length_s: float, logs: Path | None = None) -> Soaked:
    """Plays one soak run. Raises as `play_on_sockets` does, and ValueError for a length that is too short."""
    plan = draw_plan(seed, length_s)
    disturbance = Disturbance(plan, seed)
    result = play_on_sockets(plan.scenario, seed, side_task=disturbance.run, logs=logs)
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
    )
