"""A fixed piece of work by which processor times are compared between machines, calm or busy.

Where others share a core's caches and threads, all work takes more processor time. So a bound on a cost is
stated in steps of this work, done in small pieces while the cost is measured.
"""

import time

import trio

from linnetspread.choice import mix

STEPS = 2_000  # of one piece: about a millisecond
GAP_S = 0.03  # between two pieces


class Reference:
    """Does the work, piece by piece, for as long as `run` runs. `spent_us` and `steps`: of all so far."""

    def __init__(self) -> None:
        self.spent_us = 0.0
        self.steps = 0

    async def run(self) -> None:
        while True:
            self.work()
            await trio.sleep(GAP_S)

    def work(self) -> None:
        began, value = time.thread_time_ns(), 1
        for _ in range(STEPS):
            value = mix(value)
        self.spent_us += (time.thread_time_ns() - began) / 1000
        self.steps += STEPS
