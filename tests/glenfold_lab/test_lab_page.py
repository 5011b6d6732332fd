"""Tests that the example on the operators' page runs unchanged."""

import json
import re
import subprocess
import sys
from pathlib import Path

PAGE = Path(__file__).parents[2] / "docs/operators/lab.md"


def test_the_example_runs_unchanged(tmp_path: Path):
    script = "\n".join(re.findall(r"```sh\n(.*?)```", PAGE.read_text(), re.S))
    assert script.count("glenfold lab") == 5
    script = f'set -e\nglenfold() {{ "{sys.executable}" -m glenfold "$@" || test $? -eq 1; }}\n{script}'
    done = subprocess.run(
        ["sh", "-c", script],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        env={"PYTHONPATH": str(PAGE.parents[2]), "PATH": "/usr/bin:/bin"},
    )
    assert done.returncode == 0, done.stderr
    report = json.loads((tmp_path / "both.json").read_bytes())
    assert [group["scenario"] for group in report["groups"]] == ["calm", "crashes"]
    assert "server crash" in (tmp_path / "both.html").read_text()
