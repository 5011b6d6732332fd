"""The result of one load."""

from collections.abc import Sequence

import msgspec

from glenfold.config import Address
from glenfold_lab.load.offer import Offer
from glenfold_lab.load.plan import SECOND_US, Clients
from glenfold_lab.load.tally import Tally
from glenfold_lab.load.worker_pool import Report
from glenfold_lab.results import Distribution

FORMAT = 1
MAX_WINDOWS = 10
LATENESS_PERCENTILE = 99.0  # This percentile of the load's own lateness must stay within the bound.

LATE = "late"  # The load itself ran behind its plan.
NO_ROOM = "no room"  # Starts were skipped for lack of sockets or ports.
ENDED_EARLY = "ended early"  # A signal ended the load.


class Window(msgspec.Struct, frozen=True):
    """The starts intended between `from_us` and the next window."""

    from_us: int
    started: int
    set_up: Distribution


class LoadResult(msgspec.Struct, frozen=True):
    """The result of one load. Latencies are in microseconds.

    `planned` counts the starts of the full plan, `started` those that took place. `marks` are the reasons why
    the result does not measure what was requested; empty if it does. `answers`, by kind, and `set_up`, by
    class, are latencies from the intended start to the answer. `lines` are round trips from the lines'
    intended times. `lateness` and `line_lateness` are how far the load itself ran behind its plan. `targets`
    counts answers by address and kind. `partings` counts connections that were up by how they ended,
    `standing` those still up at the end. `cost` is that of the load's own processes; it differs between
    machines.
    """

    seed: int
    length_us: int
    planned: int
    started: int
    marks: tuple[str, ...]
    answers: dict[str, Distribution]
    set_up: dict[str, Distribution]
    lines: Distribution
    lines_unanswered: int
    lateness: Distribution
    line_lateness: Distribution
    late_bound_us: int
    targets: dict[str, dict[str, int]]
    partings: dict[str, int]
    standing: int
    no_room: int
    windows: tuple[Window, ...]
    cost: dict[str, float]
    format: int = FORMAT


def window_us(length_us: int) -> int:
    """Returns the window length, a multiple of a second that gives at most MAX_WINDOWS windows.

    A start at the very end of the load falls into one more window.
    """
    return -(-length_us // (MAX_WINDOWS * SECOND_US)) * SECOND_US


def summarize(
    seed: int,
    offer: Offer,
    clients: Clients,
    length_us: int,
    reports: Sequence[Report],
    late_bound_us: int,
    ended_early: bool,
) -> LoadResult:
    """Adds up the measurements of the workers."""
    tally = Tally()
    for report in reports:
        tally.add(report.tally)
    late = tally.late.at(LATENESS_PERCENTILE) > late_bound_us
    marks = {LATE: late, NO_ROOM: tally.no_room > 0, ENDED_EARLY: ended_early}
    return LoadResult(
        seed=seed,
        length_us=length_us,
        planned=len(clients),
        started=tally.started.total(),
        marks=tuple(mark for mark, holds in marks.items() if holds),
        answers={kind: tally.answers[kind].distribution() for kind in sorted(tally.answers)},
        set_up={name: tally.set_up[name].distribution() for name in sorted(tally.set_up)},
        lines=tally.lines.distribution(),
        lines_unanswered=tally.lines_unanswered,
        lateness=tally.late.distribution(),
        line_lateness=tally.lines_late.distribution(),
        late_bound_us=late_bound_us,
        targets=_targets(tally, offer.targets),
        partings=dict(sorted(tally.partings.items())),
        standing=tally.standing,
        no_room=tally.no_room,
        windows=tuple(
            Window(n * offer.window_us, tally.started[n], tally.windows[n].distribution())
            for n in sorted(tally.started)
        ),
        cost={
            "workers": len(reports),
            "cpu_s": sum(report.cpu_s for report in reports),
            "memory_mb": sum(report.memory_mb for report in reports),
        },
    )


def _targets(tally: Tally, targets: Sequence[Address]) -> dict[str, dict[str, int]]:
    by_target: dict[str, dict[str, int]] = {f"{host}:{port}": {} for host, port in targets}
    for (n, kind), count in sorted(tally.targets.items()):
        host, port = targets[n]
        by_target[f"{host}:{port}"][kind] = count
    return by_target
