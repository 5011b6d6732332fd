"""Replaces the model in tests of the code around it: fast, and certain seeds fail on purpose."""

import os
import signal
from pathlib import Path

import linnetspread
from glenfold_lab.results import Happened, RunResult
from glenfold_lab.spec import Scenario


def play(scenario: Scenario, seed: int, *, revision: str) -> RunResult:
    load = scenario.clients.load
    assert isinstance(load, float)
    print("the output of a run must not mix with the answers")
    if seed == 13:
        raise ValueError(f"no such day at {object()}")
    if seed == 66:
        os.kill(os.getpid(), signal.SIGKILL)
    tried = os.environ.get("FAKE_TRIED")
    if seed == 7 and tried and not Path(tried).exists():
        Path(tried).write_text("died once")
        os._exit(3)
    figures = {"service": load + seed / 10 ** len(str(seed)), "rules_broken": float(seed == 99)}
    if seed == 55:
        figures["service"] = float("nan")
    where = Happened(f"decisions of {linnetspread.__file__}", 0)
    return RunResult(scenario.name, seed, revision, 1, figures, happened=(where,), cost={"pid": os.getpid()})


def play_unlike(scenario: Scenario, seed: int, *, revision: str) -> RunResult:
    os.environ["PLAYED"] = str(1 + int(os.environ.get("PLAYED", "0")))
    return RunResult(scenario.name, seed, revision, 1, {"service": float(os.environ["PLAYED"])})
