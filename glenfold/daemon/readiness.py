"""When an instance that has started may say that it is ready, without I/O.

A start burns CPU faster than a part of a core allows, and a scheduler that gives such parts lets it do so at
first and holds the process back later: in the first second of service, when most connections are placed and
it is learnt what set-ups take. So readiness waits until the part that it may use has covered what was used,
and until the event loop has been on time for a while. Moments and spans are in seconds.
"""

CHECK_INTERVAL_S = 0.01  # between two looks
LATE_CHECK_S = 0.008  # a look that comes so late tells of a busy machine
CALM_PERIOD_S = 0.1  # for which none may
MAX_WAIT_S = 2.0  # a machine that stays busy: it serves as well as it can


class Readiness:
    """`cores`: the part of a core that this process may use. `cpu_s`: what it has used by `now`, so old it is
    at least. The kernel's own word of its start goes by a clock that need not be this process's."""

    def __init__(self, now: float, cpu_s: float, cores: float) -> None:
        self._cores = cores
        self._started_at = now - cpu_s
        self._late_at = self._next_check = now
        self._ready_by = now + MAX_WAIT_S

    @property
    def next_check(self) -> float:
        return self._next_check

    def check(self, now: float, cpu_s: float) -> bool:
        """Whether it is ready. cpu_s: what the process has used since it began."""
        if now > self._next_check + LATE_CHECK_S:
            self._late_at = now
        self._next_check = now + CHECK_INTERVAL_S
        cpu_covered = cpu_s <= self._cores * (now - self._started_at)
        loop_on_time = now >= self._late_at + CALM_PERIOD_S
        return cpu_covered and loop_on_time or now >= self._ready_by
