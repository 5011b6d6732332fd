"""The terms of a load plan: plain values, checked as they are read. Shares are relative to each other."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from glenfold.lines import MOST_WAIT_MS
from glenfold_lab.spec import Count, Name, NotNegative, Pair, Part, Positive, Share

MOST_STARTS = 5_000_000  # of one plan: what its arrays and the tables of its workers can hold

Wait = Annotated[int, Meta(ge=1, le=MOST_WAIT_MS)]


class Arrivals(Part, frozen=True):
    """Clients that start from `at_s` on, for `for_s`. Several of these may overlap: their rates add up.

    rate: starts a second; of a pair, it goes evenly from the first to the second.
    process: "constant" has starts evenly apart, "poisson" at random, each without regard to the others."""

    rate: NotNegative | Pair
    for_s: Positive
    at_s: NotNegative = 0.0
    process: Literal["constant", "poisson"] = "constant"


class Reconnect(Part, frozen=True):
    """At `at_s`, `clients` connections end at once, and their clients come again within `within_s`, evenly at
    random; 0: at once. Where fewer stand by the plan, the rest come from elsewhere. All say `again=1`."""

    at_s: NotNegative
    clients: Count
    within_s: NotNegative = 0.0


class LoadClass(Part, frozen=True):
    """A class of connections, by its name in the relays' settings.

    wait_ms: how long a client waits for its answer. life_s: the mean time for which it wants its connection,
    from the intended start on; life_sigma: its spread (lognormal; 0: all alike). line_gap_ms: between its
    lines; 0: it says none."""

    name: Name
    share: Positive = 1.0
    wait_ms: Wait = 2000
    life_s: Positive = 10.0
    life_sigma: NotNegative = 0.0
    line_gap_ms: NotNegative = 2000.0


class SchemeShare(Part, frozen=True):
    name: Name
    share: Positive = 1.0


class Groups(Part, frozen=True):
    """share: of the clients that belong to a group; the rest are each their own. zipf: how unequal the sizes
    of the `count` groups are; 0: alike."""

    count: Count
    share: Share = 1.0
    zipf: NotNegative = 0.8


class LoadPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What is asked of the relays; each seed draws one plan of it."""

    format: Literal[1]
    arrivals: Annotated[tuple[Arrivals, ...], Meta(min_length=1)]
    classes: Annotated[tuple[LoadClass, ...], Meta(min_length=1)]
    schemes: tuple[SchemeShare, ...] = ()
    groups: Groups | None = None
    reconnects: tuple[Reconnect, ...] = ()
