"""By how much an event loop runs late: what it had planned for a moment came so much after it."""

import numpy as np
import trio

CHECK_INTERVAL_S = 0.01
MAX_P99_MS = 20.0  # at the 99th percentile: beyond it the stand-ins' own lateness colours what they saw


class Lateness:
    """Looks every `step_s`; the figures are of the time since `run` began."""

    def __init__(self, interval_s: float = CHECK_INTERVAL_S) -> None:
        self.ms: list[float] = []
        self._step_s = interval_s

    async def run(self) -> None:
        due = trio.current_time()
        while True:
            due += self._step_s  # also one that is past by now: each that was missed counts
            await trio.sleep_until(due)
            self.ms.append((trio.current_time() - due) * 1000)


def percentile(ms: list[float], part: float) -> float:
    return float(np.percentile(ms, part)) if ms else 0.0
