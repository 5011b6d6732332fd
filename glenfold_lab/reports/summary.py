"""The content of a report as plain values. The page is rendered from it, and --json writes it unchanged."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from statistics import fmean

import msgspec
import numpy as np

from glenfold.list_entry import server_number
from glenfold_lab.reports.downsampling import ServerLoads, downsample, server_loads
from glenfold_lab.reports.labels import RULES
from glenfold_lab.reports.read import Experiment, ReportInput, Short, StoredHistory
from glenfold_lab.results import Distribution, Happened, RunResult, Series, Verdict

FORMAT = 1
MAX_HISTORIES = 12  # Limits the histories with a section of their own.
MAX_VERDICTS = 100  # Limits the verdicts of a history.
MAX_EVENTS = 100  # Limits the events of a history.
MAX_SERVERS = 12  # Limits the worst servers of a history.
MAX_ENTRIES = 60  # Limits the rows of any other table.


class ServerLoad(msgspec.Struct, frozen=True):
    """The load of one server, divided by its limit at that time. `over_s` is the time over the limit."""

    server: str
    peak: float
    mean: float
    over_s: float


class History(msgspec.Struct, frozen=True):
    """One history, with downsampled series, and with tables that are cut to a bounded number of entries."""

    name: str  # The unique id of its section of the page.
    scenario: str
    guards_against: str
    seed: int
    revision: str
    factors: dict[str, str]
    length_s: float
    figures: dict[str, float]
    answers: dict[str, int]
    set_up: dict[str, Distribution]
    series: dict[str, Series]
    servers: int  # Number of servers whose load the result records.
    all_servers: bool
    worst_servers: tuple[ServerLoad, ...]
    broken: dict[str, int]  # Number of recorded verdicts, by rule.
    verdicts: tuple[Verdict, ...]
    verdicts_left_out: int
    hosts: dict[str, str]  # Names of servers in verdicts, by number, if their load is recorded.
    happened: tuple[Happened, ...]
    happened_left_out: int
    cost: dict[str, float]


class Spread(msgspec.Struct, frozen=True):
    """One figure over the seeds of a group. `values` are in the order of the seeds."""

    mean: float
    least: float
    greatest: float
    values: tuple[float, ...]


class Group(msgspec.Struct, frozen=True):
    """Histories that differ only in their seeds."""

    name: str
    scenario: str
    revision: str
    factors: dict[str, str]
    seeds: tuple[int, ...]
    rules_broken: int
    figures: dict[str, Spread]


class Report(msgspec.Struct, frozen=True):
    """The content of a report.

    `histories` are the ones that most need attention, if there are too many for all to get a section.
    `groups` cover every history.
    """

    histories: tuple[History, ...]
    histories_left_out: int
    groups: tuple[Group, ...]
    experiments: tuple[Experiment, ...] = ()
    format: int = FORMAT


def select_histories(histories: Sequence[StoredHistory]) -> list[RunResult]:
    """Returns the full results of the histories that get a section, in the order of `found`.

    If there are too many, the histories with the most broken rules come first, then the ones with the least
    service. Raises BadFile if one of these results is invalid.
    """
    chosen = sorted(range(len(histories)), key=lambda index: _priority(histories[index].short))[
        :MAX_HISTORIES
    ]
    return [histories[index].read_full() for index in sorted(chosen)]


def _priority(short: Short) -> tuple[float, float]:
    return -short.rules_broken, short.figures.get("service", 1.0)


def summarize(report_input: ReportInput, results: Sequence[RunResult]) -> Report:
    """Returns the report. `results` are the results of the histories that get a section."""
    return Report(
        histories=tuple(_history(f"h{n}", result) for n, result in enumerate(results, start=1)),
        histories_left_out=len(report_input.histories) - len(results),
        groups=tuple(_groups([history.short for history in report_input.histories])),
        experiments=tuple(report_input.experiments),
    )


def _history(name: str, result: RunResult) -> History:
    loads = server_loads(result.server_load)
    happened = sorted(result.happened, key=lambda event: event.at_us)
    verdicts = _interleave_by_rule(result.verdicts)[:MAX_VERDICTS]
    return History(
        name=name,
        scenario=result.scenario,
        guards_against=result.guards_against,
        seed=result.seed,
        revision=result.revision,
        factors=result.factors,
        length_s=result.length_us / 1e6,
        figures=result.figures,
        answers=result.answers,
        set_up=dict(sorted(result.set_up.items(), key=lambda pair: -pair[1].count)[:MAX_ENTRIES]),
        series={key: downsample(series) for key, series in list(result.series.items())[:MAX_ENTRIES]},
        servers=len(loads.names),
        all_servers=not loads.percentiles,
        worst_servers=_worst_servers(loads),
        broken=dict.fromkeys(RULES, 0) | Counter(verdict.rule for verdict in result.verdicts),
        verdicts=tuple(sorted(verdicts, key=lambda verdict: verdict.at_us)),
        verdicts_left_out=len(result.verdicts) + result.verdicts_left_out - len(verdicts),
        hosts=_verdict_hosts(verdicts, result.server_load),
        happened=tuple(happened[:MAX_EVENTS]),
        happened_left_out=len(happened[MAX_EVENTS:]),
        cost=result.cost,
    )


def _interleave_by_rule(verdicts: Iterable[Verdict]) -> list[Verdict]:
    """Returns the first verdict of each rule, then the second of each, and so on.

    When the list is cut, a rule with many verdicts must not hide another rule.
    """
    counts: Counter[str] = Counter()
    numbered = []
    for verdict in sorted(verdicts, key=lambda verdict: verdict.at_us):
        counts[verdict.rule] += 1
        numbered.append((counts[verdict.rule], verdict))
    return [verdict for _, verdict in sorted(numbered, key=lambda pair: pair[0])]


def _verdict_hosts(verdicts: Iterable[Verdict], hosts: Iterable[str]) -> dict[str, str]:
    servers = {verdict.server for verdict in verdicts}
    return {str(server_number(host)): host for host in hosts if server_number(host) in servers}


def _worst_servers(loads: ServerLoads) -> tuple[ServerLoad, ...]:
    return tuple(
        ServerLoad(name, float(np.nanmax(row)), float(np.nanmean(row)), float(over_s))
        for name, row, over_s in zip(loads.names[:MAX_SERVERS], loads.values, loads.over_s, strict=False)
    )


def _groups(histories: Iterable[Short]) -> Iterator[Group]:
    members_by_key: dict[tuple[object, ...], list[Short]] = defaultdict(list)
    for history in histories:
        members_by_key[history.scenario, history.revision, *sorted(history.factors.items())].append(history)
    several_revisions = len({members[0].revision for members in members_by_key.values()}) > 1
    for members in members_by_key.values():
        first = members[0]
        names = [first.scenario, *(f"{key} {value}" for key, value in sorted(first.factors.items()))]
        if several_revisions:
            names.append(f"decisions of {first.revision}")
        yield Group(
            name=", ".join(names),
            scenario=first.scenario,
            revision=first.revision,
            factors=first.factors,
            seeds=tuple(history.seed for history in members),
            rules_broken=sum(history.rules_broken for history in members),
            figures={
                name: _spread([history.figures[name] for history in members if name in history.figures])
                for name in dict.fromkeys(name for history in members for name in history.figures)
            },
        )


def _spread(values: Sequence[float]) -> Spread:
    return Spread(fmean(values), min(values), max(values), tuple(values))
