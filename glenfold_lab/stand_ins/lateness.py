"""Measures the lateness of an event loop: how long after its deadline a timer fires."""

import numpy as np
import trio

CHECK_INTERVAL_S = 0.01
# Beyond this 99th percentile the stand-ins' own lateness distorts what they record.
MAX_P99_MS = 20.0


class Lateness:
    """Samples the lateness every `interval_s` seconds; `ms` holds the samples since `run` started."""

    def __init__(self, interval_s: float = CHECK_INTERVAL_S) -> None:
        self.ms: list[float] = []
        self._step_s = interval_s

    async def run(self) -> None:
        """Samples until it is cancelled."""
        due = trio.current_time()
        while True:
            due += self._step_s  # A deadline that has passed already counts as a sample too.
            await trio.sleep_until(due)
            self.ms.append((trio.current_time() - due) * 1000)


def percentile(ms: list[float], part: float) -> float:
    """Returns the percentile `part` (0 to 100) of the samples; 0 without samples."""
    return float(np.percentile(ms, part)) if ms else 0.0
