"""The cases of this review as tests for pytest, for KNOWN-RED.txt. The default test run doesn't collect them.

.venv/bin/python -m pytest -q --timeout 150 review/test_cases.py
"""

import subprocess
from pathlib import Path

FOLDER = Path(__file__).resolve().parent


def run_case(number: int) -> None:
    """Runs a case; it fails unless the rule held."""
    assert subprocess.run([str(FOLDER / str(number) / "run.sh")], timeout=140).returncode == 0


def test_case_1() -> None:
    run_case(1)


def test_case_2() -> None:
    run_case(2)


def test_case_3() -> None:
    run_case(3)
