"""The demo prints a line for each second, then service and verdicts, and sets its exit status."""

import io

import msgspec
import pytest
from click.testing import CliRunner
from rich.console import Console

from glenfold_lab.commands import demo
from glenfold_lab.reports import live
from glenfold_lab.results import RunResult, Verdict
from glenfold_lab.stand_ins.relays import NotReady
from glenfold_lab.stand_ins.run import RelayNow, Snapshot

BROKEN = Verdict("move", 5, 7, None, 1, ("4.0 s: [bold]told relay 1", "4.5 s: cut"))


def second(number: int, **changes: object) -> Snapshot:
    fields: dict[str, object] = {
        "second": number,
        "relays_up": 1,
        "standing": 1000 + number,
        "new": 11,
        "answers": {"up": 9, "busy": 2},
        "lines": 77,
        "moves": 3,
        "set_up_p50_ms": 12.4,
        "set_up_p99_ms": 34.6,
        "relays": (RelayNow("n0", True, 0.25, 33.3), RelayNow("n1", False, 0.0, 0.0)),
    }
    return Snapshot(**(fields | changes))  # type: ignore[arg-type]


def result(*verdicts: Verdict) -> RunResult:
    figures = {"service": 0.994, "worst_window": 0.9, "rules_broken": float(len(verdicts))}
    return RunResult("demo", 1, "here", 20_000_000, figures, answers={"up": 9, "busy": 0}, verdicts=verdicts)


def test_without_a_terminal_each_second_is_one_plain_line():
    output = io.StringIO()
    with live.live_display(
        Console(file=output, force_terminal=False, width=100), {1: "a server [drains]"}
    ) as on_second:
        on_second(second(0))
        on_second(second(1, answers={}))
    assert output.getvalue().splitlines() == [
        "second 0, clients up 1000, new/s 11, set-up p50 ms 12, set-up p99 ms 35, lines/s 77, moves 3, "
        "answers up 9 busy 2, n0 25% 33 MB, n1 down",
        "second 1, clients up 1001, new/s 11, set-up p50 ms 12, set-up p99 ms 35, lines/s 77, moves 3, "
        "answers none, n0 25% 33 MB, n1 down, a server [drains]",
    ]


@pytest.mark.parametrize(
    ("played", "status", "expected_text"),
    [
        (result(), 0, "rule move      MOVE before a cut: kept"),
        (result(BROKEN), 1, "broken 1 times\n  4.0 s: [bold]told relay 1\n  4.5 s: cut"),
        (NotReady("n1 did not answer"), 1, "Error: n1 did not answer"),
    ],
)
def test_the_demo_prints_service_and_verdicts_and_exits_1_if_a_rule_was_broken(
    monkeypatch, tmp_path, played, status, expected_text
):
    def play(*_: object, on_second: object) -> RunResult:
        if isinstance(played, Exception):
            raise played
        return played

    monkeypatch.setattr(demo, "play_on_sockets", play)
    invocation = CliRunner().invoke(demo.command, ["--json", str(tmp_path / "out.json")])
    assert invocation.exit_code == status and expected_text in invocation.output
    if isinstance(played, RunResult):
        assert "99.4% of what they wanted, 90.0% in the worst 10 s\nup 9 answers" in invocation.output
        assert msgspec.json.decode((tmp_path / "out.json").read_bytes(), type=RunResult) == played
