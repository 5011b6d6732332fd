"""What a history on sockets brings, second by second: a table on a terminal, or a plain line a second."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from glenfold_lab.reports.terms import RULES
from glenfold_lab.results import RunResult
from glenfold_lab.spec import Scenario
from glenfold_lab.stand_ins.run import OnSecond, Snapshot

MOST_ROWS = 30  # of the newest seconds
NOTES = {
    "drain": "a server drains",
    "relay_restart": "a relay restarts",
}
COLUMNS = ("second", "clients up", "new/s", "set-up p50 ms", "set-up p99 ms", "lines/s", "moves", "answers")
NARROW = (
    "s",
    "clients\nup",
    "new\n/s",
    "set-up\np50, ms",
    "set-up\np99, ms",
    "lines\n/s",
    "moves\n/s",
    "answers\n/s",
)


def notes(scenario: Scenario) -> dict[int, str]:
    """What is to happen, by second; only of faults whose moment is not drawn."""
    return {
        int(fault.at_s): NOTES.get(fault.kind, fault.kind.replace("_", " "))
        for fault in scenario.faults
        if not isinstance(fault.at_s, tuple)
    }


@contextmanager
def watch(console: Console, happens: Mapping[int, str]) -> Iterator[OnSecond]:
    """Shows each second that the callable is given."""
    if not console.is_terminal:
        yield lambda second: console.print(line(second, happens), soft_wrap=True, markup=False)
        return
    rows: list[Snapshot] = []
    with Live(console=console, auto_refresh=False) as live:

        def show(second: Snapshot) -> None:
            rows.append(second)
            live.update(table(rows[-MOST_ROWS:], happens), refresh=True)

        yield show


def table(rows: list[Snapshot], happens: Mapping[int, str]) -> Table:
    relays = [f"{relay.name}: CPU,\nmemory" for relay in rows[-1].relays]
    shown = Table(*NARROW, *relays, "", box=None, pad_edge=False)
    for column in shown.columns[:7]:
        column.justify = "right"
    for row in rows:
        shown.add_row(*_cells(row), *_relays(row), Text(happens.get(row.second, ""), style="bold yellow"))
    return shown


def line(row: Snapshot, happens: Mapping[int, str]) -> str:
    """A second in one plain line, each value with its name."""
    named = [f"{name} {value}" for name, value in zip(COLUMNS, _cells(row), strict=True)]
    relays = [f"{relay.name} {value}" for relay, value in zip(row.relays, _relays(row), strict=True)]
    return ", ".join(filter(None, (*named, *relays, happens.get(row.second, ""))))


def _cells(row: Snapshot) -> tuple[str, ...]:
    answers = " ".join(f"{kind} {count}" for kind, count in row.answers.items()) or "none"
    return (
        str(row.second),
        str(row.standing),
        str(row.new),
        f"{row.set_up_p50_ms:.0f}",
        f"{row.set_up_p99_ms:.0f}",
        str(row.lines),
        str(row.moves),
        answers,
    )


def _relays(row: Snapshot) -> list[str]:
    return [f"{relay.cpu:.0%} {relay.mb:.0f} MB" if relay.up else "down" for relay in row.relays]


def outcome(result: RunResult) -> Iterator[str]:
    """Service and verdicts, line by line."""
    figures = result.figures
    yield (
        f"service: clients had {figures['service']:.1%} of what they wanted, "
        f"{figures['worst_window']:.1%} in the worst 10 s"
    )
    yield ", ".join(f"{kind} {count}" for kind, count in result.answers.items() if count) + " answers"
    for rule, says in RULES.items():
        broken = [verdict for verdict in result.verdicts if verdict.rule == rule]
        yield f"rule {rule:9} {says}: " + (f"broken {len(broken)} times" if broken else "kept")
        for seen in broken[0].evidence if broken else ():
            yield f"  {seen}"
