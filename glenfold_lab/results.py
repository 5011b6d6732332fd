"""The results of one history. The model and runs on sockets write them; experiments and reports read them."""

import msgspec

FORMAT = 1


class Verdict(msgspec.Struct, frozen=True, omit_defaults=True):
    """One broken rule and its evidence.

    `rule` is "answer", "attempt", "drain", "cold" or "move". `at_us` is the time since the start of the
    history. `evidence` describes the observations that prove the break, in the order of time. `undecided` is
    set if they rest on a time limit, and their observer did not run when it would have seen that it was kept:
    then neither a break nor its absence was shown.
    """

    rule: str
    at_us: int
    request: int | None
    server: int | None
    relay: int | None
    evidence: tuple[str, ...]
    undecided: bool = False


class Happened(msgspec.Struct, frozen=True):
    """A fault or a planned event on the time line. `until_us` is None for an event without an end."""

    what: str
    at_us: int
    until_us: int | None = None
    servers: tuple[int, ...] = ()
    relays: tuple[int, ...] = ()


class Distribution(msgspec.Struct, frozen=True):
    """A distribution of latencies in microseconds, from an HDR histogram with three significant digits."""

    count: int
    mean: float
    quantiles: dict[str, int]  # The keys are "50", "90", "99", "99.9" and "100" (the maximum).


class Series(msgspec.Struct, frozen=True):
    """Values over time: value n stands for the step that ends at (n + 1) * step_us."""

    step_us: int
    values: tuple[float, ...]
    label: str = ""


class RunResult(msgspec.Struct, frozen=True):
    """The result of one history.

    The same scenario, seed and revision give the same bytes. Values that differ between machines (time taken,
    memory) are in `cost`, which is kept apart from everything that is compared.

    `figures` holds single numbers by name, such as "service", "worst_window" and "rules_broken"; all are
    finite. `series` holds time series by name, such as "service", "connections" and "refused". `server_load`
    holds, by server, its load divided by its limit at that time. `answers` counts the answers of each kind.
    `set_up` holds, by class, the time from a client's first request to its UP.
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
    verdicts_left_out: int = 0  # Number of broken rules beyond the verdicts that are kept.
    happened: tuple[Happened, ...] = ()
    factors: dict[str, str] = {}
    guards_against: str = ""  # The text of the scenario.
    format: int = FORMAT
    cost: dict[str, float] = {}


def encode(result: RunResult) -> bytes:
    """Returns the bytes that are compared: JSON with sorted keys, without `cost`."""
    plain = msgspec.to_builtins(result)
    del plain["cost"]
    return msgspec.json.encode(plain, order="sorted")
