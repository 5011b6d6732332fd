"""Measures the lateness of an event loop: how late a timer fires, and when the loop did not run."""

import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

import numpy as np
import trio

from glenfold_lab.checker.gaps import Gap
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock

CHECK_INTERVAL_S = 0.01
MIN_GAP_S = 0.005  # A timer that fires later than this reveals a gap; less is the time of a normal turn.
# Beyond this 99th percentile the stand-ins' own lateness distorts what they record.
MAX_P99_MS = 20.0


class Lateness:
    """Samples the lateness every `interval_s` seconds; `ms` holds the samples since `run` started.

    `gaps` holds the intervals between two samples of which the second was late. A loop that has not caught up
    takes a sample in each turn, so that each of its turns is a gap of its own.
    """

    def __init__(self, interval_s: float = CHECK_INTERVAL_S) -> None:
        self.ms: list[float] = []
        self.gaps: list[Gap] = []
        self._step_s = interval_s

    async def run(self) -> None:
        """Samples until it is cancelled."""
        clock = MachineClock()
        due, last_us = trio.current_time(), clock.now_us()
        while True:
            due += self._step_s  # A deadline that has passed already counts as a sample too.
            await trio.sleep_until(due)
            late_s, now_us = trio.current_time() - due, clock.now_us()
            self.ms.append(late_s * 1000)
            if late_s > MIN_GAP_S:
                self.gaps.append(Gap(last_us, now_us))
            last_us = now_us


@dataclass(frozen=True, slots=True)
class BlockingCall:
    """A call that blocked the event loop of an observer; times are in microseconds of the machine's clock."""

    name: str
    start: int
    end: int


class BlockingCalls:
    """Times the calls that block the event loop of an observer and keeps the longer ones."""

    def __init__(self) -> None:
        self.kept: list[BlockingCall] = []

    @contextmanager
    def timed(self, name: str) -> Iterator[None]:
        """Times the block; `name` appears in the gaps that it causes."""
        start = _machine_us()
        try:
            yield
        finally:
            end = _machine_us()
            if end - start > MIN_GAP_S * SECOND_US:
                self.kept.append(BlockingCall(name, start, end))


def _machine_us() -> int:
    """Returns the time of the machine's clock, also outside an event loop."""
    return round(time.monotonic() * SECOND_US)


def named_gaps(gaps: Sequence[Gap], calls: Sequence[BlockingCall]) -> list[Gap]:
    """Returns the gaps, each with the name of the blocking call that took the largest part of it."""
    return [Gap(gap.start, gap.end, _longest_call(gap, calls)) for gap in gaps]


def _longest_call(gap: Gap, calls: Sequence[BlockingCall]) -> str:
    shares = [(min(call.end, gap.end) - max(call.start, gap.start), call.name) for call in calls]
    share_us, name = max(shares, default=(0, ""))
    return name if 2 * share_us >= gap.length_us else ""


def percentile(ms: list[float], part: float) -> float:
    """Returns the percentile `part` (0 to 100) of the samples; 0 without samples."""
    return float(np.percentile(ms, part)) if ms else 0.0
