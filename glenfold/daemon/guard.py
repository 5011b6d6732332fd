"""Long-running tasks of a process: an unexpected error ends neither the process nor its other tasks."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from glenfold import events

RESTART_DELAY_S = 1.0  # Bounds what a task costs that fails again at once.


class FaultCounter(Protocol):
    """Counters of a process, among them that of its own faults."""

    faults: int


async def run_guarded(name: str, task: Callable[[], Awaitable[None]], counters: FaultCounter) -> None:
    """Runs `task` until it returns or is cancelled; after an unexpected error it is started anew.

    The error counts as a fault and is logged with its trace.
    """
    finished = False
    while not finished:
        try:
            await task()
            finished = True
        except* Exception as errors:
            record_fault(name, errors, counters)
        if not finished:
            await trio.sleep(RESTART_DELAY_S)


def record_fault(name: str, error: Exception, counters: FaultCounter) -> None:
    """Counts and logs an unexpected error of the task or signal handler `name`."""
    counters.faults += 1
    events.task_failed(task=name, error=error)
