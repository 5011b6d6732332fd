"""The live view of a run on sockets: a table on a terminal, or one plain line for each second."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from glenfold_lab.reports.labels import RULES
from glenfold_lab.results import RunResult
from glenfold_lab.spec import Scenario
from glenfold_lab.stand_ins.run import OnSecond, Snapshot

MAX_ROWS = 30  # The live table shows the newest seconds only.
FAULT_NOTES = {
    "drain": "a server drains",
    "relay_restart": "a relay restarts",
}
LINE_LABELS = (
    "second",
    "clients up",
    "new/s",
    "set-up p50 ms",
    "set-up p99 ms",
    "lines/s",
    "moves",
    "answers",
)
TABLE_HEADERS = (
    "s",
    "clients\nup",
    "new\n/s",
    "set-up\np50, ms",
    "set-up\np99, ms",
    "lines\n/s",
    "moves\n/s",
    "answers\n/s",
)


def notes_by_second(scenario: Scenario) -> dict[int, str]:
    """Returns a note for each second in which a fault starts, unless its start is drawn at random."""
    return {
        int(fault.at_s): FAULT_NOTES.get(fault.kind, fault.kind.replace("_", " "))
        for fault in scenario.faults
        if not isinstance(fault.at_s, tuple)
    }


@contextmanager
def live_display(console: Console, event_notes: Mapping[int, str]) -> Iterator[OnSecond]:
    """Yields a callable that displays the snapshot of one second."""
    if not console.is_terminal:
        yield lambda second: console.print(format_line(second, event_notes), soft_wrap=True, markup=False)
        return
    rows: list[Snapshot] = []
    with Live(console=console, auto_refresh=False) as live:

        def show(second: Snapshot) -> None:
            rows.append(second)
            live.update(build_table(rows[-MAX_ROWS:], event_notes), refresh=True)

        yield show


def build_table(rows: list[Snapshot], event_notes: Mapping[int, str]) -> Table:
    """Returns a table with one row for each snapshot. `rows` must not be empty."""
    relays = [f"{relay.name}: CPU,\nmemory" for relay in rows[-1].relays]
    table = Table(*TABLE_HEADERS, *relays, "", box=None, pad_edge=False)
    for column in table.columns[:7]:
        column.justify = "right"
    for row in rows:
        table.add_row(
            *_row_values(row), *_relay_values(row), Text(event_notes.get(row.second, ""), style="bold yellow")
        )
    return table


def format_line(row: Snapshot, event_notes: Mapping[int, str]) -> str:
    """Returns the snapshot as one plain line, each value after its name."""
    values = [f"{name} {value}" for name, value in zip(LINE_LABELS, _row_values(row), strict=True)]
    relays = [f"{relay.name} {value}" for relay, value in zip(row.relays, _relay_values(row), strict=True)]
    return ", ".join(filter(None, (*values, *relays, event_notes.get(row.second, ""))))


def _row_values(row: Snapshot) -> tuple[str, ...]:
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


def _relay_values(row: Snapshot) -> list[str]:
    return [f"{relay.cpu:.0%} {relay.mb:.0f} MB" if relay.up else "down" for relay in row.relays]


def outcome_lines(result: RunResult) -> Iterator[str]:
    """Yields lines that summarize the service, the answers and the verdict on each rule."""
    figures = result.figures
    yield (
        f"service: clients had {figures['service']:.1%} of what they wanted, "
        f"{figures['worst_window']:.1%} in the worst 10 s"
    )
    yield ", ".join(f"{kind} {count}" for kind, count in result.answers.items() if count) + " answers"
    for rule, description in RULES.items():
        broken = [verdict for verdict in result.verdicts if verdict.rule == rule]
        yield f"rule {rule:9} {description}: " + (f"broken {len(broken)} times" if broken else "kept")
        for evidence_line in broken[0].evidence if broken else ():
            yield f"  {evidence_line}"
