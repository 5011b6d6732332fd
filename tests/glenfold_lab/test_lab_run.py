"""Tests of `glenfold lab run`: exit status, result file, and trace of observations as lines of JSON."""

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from glenfold_lab.commands.run import command
from glenfold_lab.results import RunResult

SCENARIO = """
format = 1
name = "mine"
guards_against = "nothing"
length_s = 5
[[classes]]
name = "watch"
[relays]
count = 2
pass_through = false
"""
RELAY_FAULTS = """
[[faults]]
kind = "relay_restart"
at_s = 1
part = 1.0
[[faults]]
kind = "relay_stall"
at_s = 1.1
part = 1.0
len_s = 9
"""


def run(folder: Path, text: str, *options: str) -> tuple[int, str]:
    (folder / "mine.toml").write_text(text)
    result = CliRunner().invoke(command, [str(folder / "mine.toml"), *options])
    return result.exit_code, result.output


def test_a_history_is_printed_written_and_traced(tmp_path: Path) -> None:
    files = [str(tmp_path / name) for name in ("result.json", "trace.jsonl")]
    status, output = run(tmp_path, SCENARIO, "--seed", "7", "--json", files[0], "--trace", files[1])
    assert status == 0 and "every rule kept" in output
    result = msgspec.json.decode((tmp_path / "result.json").read_bytes(), type=RunResult)
    assert (result.scenario, result.seed, result.cost) == ("mine", 7, {})
    lines = [msgspec.json.decode(line) for line in (tmp_path / "trace.jsonl").read_bytes().splitlines()]
    assert sum(name == "taken" for name, _ in lines) == result.figures["requests"]
    assert lines[-1][0] == "finish" and lines == sorted(lines, key=lambda line: line[1][0])


def test_a_broken_rule_is_printed_with_its_evidence_and_exit_status_1(tmp_path: Path) -> None:
    status, output = run(tmp_path, SCENARIO + RELAY_FAULTS)
    assert status == 1 and "rule broken: move at " in output and "without MOVE" in output


@pytest.mark.parametrize("text", [SCENARIO.replace("count", "cuont"), SCENARIO.replace("= 2", "= -2")])
def test_an_invalid_scenario_is_refused_before_anything_is_written(tmp_path: Path, text: str) -> None:
    status, output = run(
        tmp_path, text, "--json", str(tmp_path / "result.json"), "--trace", str(tmp_path / "trace.jsonl")
    )
    assert status == 2 and "relays" in output
    assert [path.name for path in tmp_path.iterdir()] == ["mine.toml"]
