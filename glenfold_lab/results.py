"""What one history gave: written by the model and by runs on sockets, read by experiments and reports."""

import msgspec

FORMAT = 1


class Verdict(msgspec.Struct, frozen=True):
    """One broken rule, with what shows it.

    rule: "answer", "attempt", "drain", "cold" or "move". at_us: the moment, from the history's start.
    evidence: the observations that prove it, in words, in their order.
    """

    rule: str
    at_us: int
    request: int | None
    server: int | None
    relay: int | None
    evidence: tuple[str, ...]


class Happened(msgspec.Struct, frozen=True):
    """A fault or a planned event, for the time line. until_us is None for what has no end."""

    what: str
    at_us: int
    until_us: int | None = None
    servers: tuple[int, ...] = ()
    relays: tuple[int, ...] = ()


class Distribution(msgspec.Struct, frozen=True):
    """Of latencies in microseconds, from a HDR histogram with three digits."""

    count: int
    mean: float
    quantiles: dict[str, int]  # "50", "90", "99", "99.9", "100" (the greatest)


class Series(msgspec.Struct, frozen=True):
    """Values over time: the n-th stands for the step that ends at (n + 1) * step_us."""

    step_us: int
    values: tuple[float, ...]
    label: str = ""


class RunResult(msgspec.Struct, frozen=True):
    """One history. The same scenario, seed and revision give the same bytes; what differs between two
    machines (time taken, memory) is in `cost`, which is kept apart from everything that is compared.

    figures: single numbers by name, as "service", "worst_window", "rules_broken"; all finite.
    series: by name, as "service", "connections", "refused"; servers_load: by server, the load over the
    limit at that moment. answers: by kind. set_up: by class, from the client's first ask to its UP.
    """

    scenario: str
    seed: int
    revision: str
    length_us: int
    figures: dict[str, float]
    answers: dict[str, int] = {}
    set_up: dict[str, Distribution] = {}
    series: dict[str, Series] = {}
    server_load: dict[str, Series] = {}
    verdicts: tuple[Verdict, ...] = ()
    verdicts_left_out: int = 0  # broken rules beyond those that are kept
    happened: tuple[Happened, ...] = ()
    factors: dict[str, str] = {}
    guards_against: str = ""  # the scenario's own words
    format: int = FORMAT
    cost: dict[str, float] = {}


def encode(result: RunResult) -> bytes:
    """The bytes that are compared: JSON with sorted keys, without `cost`."""
    plain = msgspec.to_builtins(result)
    del plain["cost"]
    return msgspec.json.encode(plain, order="sorted")
