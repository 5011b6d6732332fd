"""The cases 6 to 10 as tests for pytest, for KNOWN-RED.txt. The default test run doesn't collect them.

.venv/bin/python -m pytest -q --timeout 150 review/test_cases_2.py
"""

import subprocess
from pathlib import Path

import pytest

FOLDER = Path(__file__).resolve().parent


@pytest.mark.parametrize("number", range(6, 11))
def test_case(number: int) -> None:
    assert subprocess.run([str(FOLDER / str(number) / "run.sh")], timeout=140).returncode == 0
