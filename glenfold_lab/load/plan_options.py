"""The terms of a load plan: plain values, checked as they are read. Shares are relative to each other."""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from glenfold import toml_file
from glenfold.lines import MAX_WAIT_MS
from glenfold.toml_file import Key, TomlFile
from glenfold_lab.spec import Name, Part, Positive, Share

MAX_STARTS = 5_000_000  # of one plan: what the tables of its workers can hold
DAY_S = 86_400
MIN_LINE_GAP_MS = 10  # bounds how many lines of one client can be unanswered
NAME_PATTERN = re.compile(r"[!-+\--~]+")  # what can stand in a first line: no blank, no comma

Rate = Annotated[float, Meta(ge=0, le=1e6)]
Ramp = Annotated[tuple[Rate, ...], Meta(min_length=2, max_length=2)]
OffsetS = Annotated[float, Meta(ge=0, le=DAY_S)]
DurationS = Annotated[float, Meta(gt=0, le=DAY_S)]
Wait = Annotated[int, Meta(ge=1, le=MAX_WAIT_MS)]
Milliseconds = Annotated[float, Meta(ge=0, le=1000 * DAY_S)]
Spread = Annotated[float, Meta(ge=0, le=4)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]


class Arrivals(Part, frozen=True):
    """Clients that start from `at_s` on, for `for_s`. Several of these may overlap: their rates add up.

    rate: starts a second; of a pair, it goes evenly from the first to the second.
    process: "constant" has starts evenly apart, "poisson" at random, each without regard to the others."""

    rate: Rate | Ramp
    for_s: DurationS
    at_s: OffsetS = 0.0
    process: Literal["constant", "poisson"] = "constant"


class Reconnect(Part, frozen=True):
    """Of those that stand at `at_s`, so many clients come again within `within_s`, evenly at random; 0: at
    once. Each one's connection ends half way to that. Where fewer stand by the plan, the rest come from
    elsewhere. All say `again=1`."""

    at_s: OffsetS
    clients: PositiveCount
    within_s: OffsetS = 0.0


class LoadClass(Part, frozen=True):
    """A class of connections, by its name in the relays' settings.

    wait_ms: how long a client waits for its answer. life_s: the mean time for which it wants its connection,
    from the intended start on; life_sigma: its spread (lognormal; 0: all alike), up to a day. line_gap_ms:
    between its lines; 0: it says none."""

    name: Name
    share: Positive = 1.0
    wait_ms: Wait = 2000
    life_s: DurationS = 10.0
    life_sigma: Spread = 0.0
    line_gap_ms: Milliseconds = 2000.0


class SchemeShare(Part, frozen=True):
    """A scheme (tenant), by its name in the relays' settings."""

    name: Name
    share: Positive = 1.0


class Groups(Part, frozen=True):
    """share: of the clients that belong to a group; the rest are each their own. zipf: how unequal the sizes
    of the `count` groups are; 0: alike."""

    count: PositiveCount
    share: Share = 1.0
    zipf: Spread = 0.8


class LoadPlan(Part, frozen=True):
    """What is asked of the relays; each seed draws one plan of it."""

    format: Literal[1]
    arrivals: Annotated[tuple[Arrivals, ...], Meta(min_length=1)]
    classes: Annotated[tuple[LoadClass, ...], Meta(min_length=1)]
    schemes: tuple[SchemeShare, ...] = ()
    groups: Groups | None = None
    reconnects: tuple[Reconnect, ...] = ()


def read(path: str | Path) -> LoadPlan:
    """Raises BadFile, with key and line, for the first fault."""
    return checked(toml_file.read(path))


def checked(values: TomlFile) -> LoadPlan:
    """Raises BadFile, too."""
    options = values.convert(LoadPlan)
    for key, reason in problems(options):
        raise values.error(key, reason)
    return options


def rates(arrivals: Arrivals) -> tuple[float, float]:
    """At their first moment and at their last."""
    if isinstance(arrivals.rate, tuple):
        return arrivals.rate[0], arrivals.rate[1]
    return arrivals.rate, arrivals.rate


def expected_starts(options: LoadPlan) -> float:
    """How many clients these terms ask for, on the mean."""
    arriving = sum(sum(rates(arrivals)) / 2 * arrivals.for_s for arrivals in options.arrivals)
    return arriving + sum(reconnect.clients for reconnect in options.reconnects)


def problems(options: LoadPlan) -> Iterator[tuple[Key, str]]:
    """What the types of the values don't tell."""
    expected = expected_starts(options)
    if not 1 <= expected <= MAX_STARTS:
        yield ("arrivals",), f"{expected:.0f} clients would start; it must be 1 to {MAX_STARTS}"
    for part, names in (
        ("classes", [kind.name for kind in options.classes]),
        ("schemes", [scheme.name for scheme in options.schemes]),
    ):
        for n, name in enumerate(names):
            if not NAME_PATTERN.fullmatch(name):
                yield (part, n, "name"), f"{name!r} can't stand in a first line: blanks, commas and such"
            if name in names[:n]:
                yield (part, n, "name"), f"{name!r} comes twice"
    for n, kind in enumerate(options.classes):
        if 0 < kind.line_gap_ms < MIN_LINE_GAP_MS:
            yield ("classes", n, "line_gap_ms"), f"must be 0 or at least {MIN_LINE_GAP_MS}"
