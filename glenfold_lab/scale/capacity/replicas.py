"""What control replicas carry, as measured under hollow and real relays, and how many machines they need."""

from glenfold_lab.scale.capacity.context import MB, US, Context
from glenfold_lab.scale.capacity.estimates import Estimate, rounded
from glenfold_lab.scale.capacity.slopes import NotMeasured, Slopes
from glenfold_lab.scale.capacity.tables import Row, evaluated, markdown

COPIES = 2  # of each replica, so that one may fail
RENEWALS_PER_S = 0.5  # empty lines of discovery, which replicas pass on
WHOLE_LISTS_MB_PER_S = 20.0  # the default of `limits.whole_lists_mb_per_s`
FIGURES = (
    ("in_force.p50", "p50, s"),
    ("in_force.p99", "p99, s"),
    ("in_force.max", "last, s"),
    ("relay.in_force.max", "last real relay, s"),
    ("lost", "lost"),
    ("doubled", "doubled"),
    ("whole_lists", "whole lists"),
    ("watcher.bytes.worst", "worst relay, B/s"),
)


def plays(slopes: Slopes) -> tuple[str, ...]:
    """Names of the plays that were measured, in their order."""
    suffix = ".in_force.max"
    found = [name for name, _ in slopes.quantities if name.startswith("replica.") and name.endswith(suffix)]
    names = [name.removeprefix("replica.").removesuffix(suffix) for name in found]
    return tuple(dict.fromkeys(name for name in names if not name.endswith(".relay")))


def play_table(slopes: Slopes) -> str:
    """One line a play, at the largest number of relays that was played."""
    header = ["play", *(title for _, title in FIGURES), "plays"]
    rows = [[f"`{play}`", *_figures(slopes, play)] for play in plays(slopes)]
    return markdown(header, rows)


def _figures(slopes: Slopes, play: str) -> list[str]:
    cells = [_worst(slopes, f"replica.{play}.{figure}") for figure, _ in FIGURES]
    return [*cells, str(slopes.quantity(f"replica.{play}.in_force.max").repeats)]


def _worst(slopes: Slopes, name: str) -> str:
    """The largest of its repeats: a demand on the last of all relays is not met by a median."""
    try:
        quantity = slopes.quantity(name)
    except NotMeasured:
        return "-"
    return rounded(max(point.value for point in quantity.points if point.size == quantity.largest))


def children(context: Context) -> Estimate:
    """Of a zone's replica, when a copy of it and another zone's replicas of its region are lost."""
    zones_a_region = context.given("zones") / context.given("regions")
    return context.size.relays / context.given("zones") * zones_a_region / (zones_a_region - 1)


def replica_cores(context: Context) -> Estimate:
    """Of that replica: changes and renewals to all its children."""
    lines = context.sizes.changes_per_s() + RENEWALS_PER_S
    return lines * children(context) * context.slopes.typical("replica.change.cpu") * US


def storm_seconds(context: Context) -> Estimate:
    """Until that replica has given each of its children a whole list, at the default rate."""
    return children(context) * context.list_bytes() / (WHOLE_LISTS_MB_PER_S * MB)


def machines(context: Context) -> Estimate:
    """A copy to a machine, for each zone and each region."""
    places = context.given("zones") + context.given("regions")
    return places * COPIES


MACHINES = (
    Row(
        "children of a zone's replica, another zone of its region lost",
        "",
        "relays / zones x 3.5 / 2.5",
        children,
    ),
    Row(
        "its processor time",
        "% of a core",
        "(changes + renewals) x children x replica.change.cpu",
        replica_cores,
        0.01,
    ),
    Row("its memory", "MB", "replica.memory", lambda c: c.slopes.at("replica.memory", c.servers, "servers")),
    Row("all its children need a whole list", "s", "children x list.bytes / 20 MB/s", storm_seconds),
    Row(
        "machines, two for each zone and each region",
        "",
        "2 x (zones + regions)",
        machines,
    ),
)


def machine_table(context: Context) -> str:
    """What the replicas need at the target, against the operators' bounds."""
    rows: list[list[str]] = []
    for row in MACHINES:
        found = evaluated(row.formula, context)
        value = row.cell(context) if found is None else f"{row.cell(context)} {row.unit}".strip()
        rows.append([row.what, row.written, value, row.basis(context)])
    return markdown(["what", "formula", "at the target", "rests on"], rows)
