"""`python -m glenfold_lab.experiments.worker MODULE:FUNCTION`: plays one cell after another.

The worker is a separate process so that it can import another decision package, the one whose folder is first
in PYTHONPATH. Tasks arrive on standard input; the worker exits when that closes, even in the middle of a
cell.
"""

import math
import os
import re
import sys
import traceback
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from queue import SimpleQueue
from threading import Thread

import msgspec

import linnetspread
from glenfold_lab.experiments import frames
from glenfold_lab.experiments.revisions import tree_id
from glenfold_lab.experiments.store import Outcome
from glenfold_lab.results import RunResult
from glenfold_lab.spec import Scenario

Play = Callable[..., RunResult]


def play(player: Play, task: frames.Task) -> Outcome:
    """Plays one cell and returns the outcome.

    The text of a failure names the exception and its place, without addresses of objects, so that every try
    gives the same text.
    """
    try:
        result = player(msgspec.convert(task.scenario, Scenario), task.seed, revision=task.revision)
        for name, value in result.figures.items():
            if not math.isfinite(value):
                raise ValueError(f"the figure {name} is {value}")
    except Exception as error:
        last_frame = traceback.extract_tb(error.__traceback__)[-1]
        location = f"{Path(last_frame.filename).name}:{last_frame.lineno} in {last_frame.name}"
        text = " ".join(f"{type(error).__name__}: {error} ({location})".split())
        return Outcome(task.cell, failed=re.sub(r"\b0x[0-9a-f]{6,}", "0x...", text)[:1000])
    return Outcome(task.cell, msgspec.structs.replace(result, factors=task.levels))


def _read_tasks(queue: "SimpleQueue[frames.Task]") -> None:
    while (data := frames.read(sys.stdin.buffer)) is not None:
        queue.put(msgspec.msgpack.decode(data, type=frames.Task))
    os._exit(0)  # The parent has exited or needs no more results, so nothing is finished or reported.


def main() -> None:
    """Runs the worker until standard input closes."""
    answers = os.fdopen(os.dup(1), "wb")
    os.dup2(os.open(os.devnull, os.O_WRONLY), 1)  # Output printed by a run must not mix with the answers.
    module, _, name = sys.argv[1].partition(":")
    player: Play = getattr(import_module(module), name)
    folder = Path(str(linnetspread.__file__)).parent
    answers.write(frames.pack(frames.Hello(tree_id(folder), str(folder))))
    answers.flush()
    tasks: SimpleQueue[frames.Task] = SimpleQueue()
    Thread(target=_read_tasks, args=(tasks,), daemon=True).start()
    while True:
        outcome = play(player, tasks.get())
        answers.write(frames.pack(frames.Done(msgspec.json.encode(outcome, order="sorted"))))
        answers.flush()


if __name__ == "__main__":
    main()
