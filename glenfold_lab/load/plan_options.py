"""The options of a load plan: plain values, checked as they are read. Shares are relative to each other."""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from glenfold import toml_file
from glenfold.lines import MAX_WAIT_MS
from glenfold.toml_file import Key, TomlFile
from glenfold_lab.spec import Name, Part, Positive, Share

MAX_STARTS = 5_000_000  # The tables of the workers hold no more clients of one plan.
DAY_S = 86_400
MIN_LINE_GAP_MS = 10  # This bounds the number of unanswered lines of one client.
NAME_PATTERN = re.compile(r"[!-+\--~]+")  # Names in a first line have no blanks and no commas.

Rate = Annotated[float, Meta(ge=0, le=1e6)]
Ramp = Annotated[tuple[Rate, ...], Meta(min_length=2, max_length=2)]
Seconds = Annotated[float, Meta(ge=0, le=DAY_S)]
Length = Annotated[float, Meta(gt=0, le=DAY_S)]
Wait = Annotated[int, Meta(ge=1, le=MAX_WAIT_MS)]
Milliseconds = Annotated[float, Meta(ge=0, le=1000 * DAY_S)]
Spread = Annotated[float, Meta(ge=0, le=4)]
PositiveCount = Annotated[int, Meta(ge=1, le=1_000_000)]


class Arrivals(Part, frozen=True):
    """Clients that start from `at_s` on, for `for_s` seconds. Entries may overlap; their rates add up.

    `rate` is in starts per second; a pair is a linear ramp from the first value to the second. `process` is
    "constant" for evenly spaced starts or "poisson" for independent random ones.
    """

    rate: Rate | Ramp
    for_s: Length
    at_s: Seconds = 0.0
    process: Literal["constant", "poisson"] = "constant"


class Reconnect(Part, frozen=True):
    """Clients that are connected at `at_s`, drop, and reconnect within `within_s`, uniformly at random.

    A `within_s` of 0 means all at once. Each old connection ends halfway to its client's return. If the plan
    has fewer than `clients` connections up at that time, new clients make up the rest. All send `again=1`.
    """

    at_s: Seconds
    clients: PositiveCount
    within_s: Seconds = 0.0


class LoadClass(Part, frozen=True):
    """A class of connections, by its name in the relays' settings.

    `wait_ms` is how long a client waits for the answer. `life_s` is the mean lifetime of a connection from
    the intended start; lifetimes are lognormal with `life_sigma` (0: all alike), up to a day. `line_gap_ms`
    is the time between a client's lines; 0 sends none.
    """

    name: Name
    share: Positive = 1.0
    wait_ms: Wait = 2000
    life_s: Length = 10.0
    life_sigma: Spread = 0.0
    line_gap_ms: Milliseconds = 2000.0


class SchemeShare(Part, frozen=True):
    """A scheme (tenant), by its name in the relays' settings."""

    name: Name
    share: Positive = 1.0


class Groups(Part, frozen=True):
    """Groups of clients.

    `share` is the share of clients that belong to one of the `count` groups; each other client is a group of
    its own. `zipf` is the exponent of the Zipf distribution of group sizes; 0 makes them equal.
    """

    count: PositiveCount
    share: Share = 1.0
    zipf: Spread = 0.8


class LoadPlan(Part, frozen=True):
    """The load to put on the relays; each seed draws one plan from it."""

    format: Literal[1]
    arrivals: Annotated[tuple[Arrivals, ...], Meta(min_length=1)]
    classes: Annotated[tuple[LoadClass, ...], Meta(min_length=1)]
    schemes: tuple[SchemeShare, ...] = ()
    groups: Groups | None = None
    reconnects: tuple[Reconnect, ...] = ()


def read(path: str | Path) -> LoadPlan:
    """Reads a plan file. Raises BadFile, with key and line, for the first problem."""
    return checked(toml_file.read(path))


def checked(values: TomlFile) -> LoadPlan:
    """Converts and checks the values of a plan file. Raises BadFile for the first problem."""
    options = values.convert(LoadPlan)
    for key, reason in problems(options):
        raise values.error(key, reason)
    return options


def rates(arrivals: Arrivals) -> tuple[float, float]:
    """Returns the rate at the start and at the end of the arrivals."""
    if isinstance(arrivals.rate, tuple):
        return arrivals.rate[0], arrivals.rate[1]
    return arrivals.rate, arrivals.rate


def expected_starts(options: LoadPlan) -> float:
    """Returns the expected number of clients that these options start."""
    arriving = sum(sum(rates(arrivals)) / 2 * arrivals.for_s for arrivals in options.arrivals)
    return arriving + sum(reconnect.clients for reconnect in options.reconnects)


def problems(options: LoadPlan) -> Iterator[tuple[Key, str]]:
    """Yields the problems that the types of the values do not rule out, by key."""
    expected = expected_starts(options)
    if not 1 <= expected <= MAX_STARTS:
        yield ("arrivals",), f"{expected:.0f} clients would start; it must be 1 to {MAX_STARTS}"
    for part, names in (
        ("classes", [kind.name for kind in options.classes]),
        ("schemes", [scheme.name for scheme in options.schemes]),
    ):
        for n, name in enumerate(names):
            if not NAME_PATTERN.fullmatch(name):
                yield (part, n, "name"), f"{name!r} can't be in a first line: use ASCII, no blank or comma"
            if name in names[:n]:
                yield (part, n, "name"), f"{name!r} is listed twice"
    for n, kind in enumerate(options.classes):
        if 0 < kind.line_gap_ms < MIN_LINE_GAP_MS:
            yield ("classes", n, "line_gap_ms"), f"must be 0 or at least {MIN_LINE_GAP_MS}"
