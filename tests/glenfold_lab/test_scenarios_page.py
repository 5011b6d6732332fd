"""Tests that the example on the operators' page on scenario and experiment files is valid."""

import re
from pathlib import Path

from glenfold import toml_file
from glenfold_lab import scenario
from glenfold_lab.experiments import plan

PAGE = (Path(__file__).parents[2] / "docs/operators/lab-scenarios.md").read_text()


def test_the_example_is_valid(tmp_path: Path) -> None:
    blocks = re.findall(r"```toml\n# (\S+)\n(.*?)```", PAGE, re.S)
    for name, text in blocks:
        (tmp_path / name).write_text(text)
    assert plan.load(str(tmp_path / "question.toml")).size == 80
    assert scenario.check(toml_file.read(tmp_path / "restart.toml")).name == "restart"
