"""Decides without I/O when an instance that has started is ready.

A start uses CPU faster than a quota of part of a core allows. The scheduler permits that at first and
throttles the process later: in the first second of service, when most connections are placed and the relay
learns how long set-ups take. So readiness waits until the quota has covered the CPU time used, and until the
event loop has been on time for a while. Times and durations are in seconds.
"""

CHECK_INTERVAL_S = 0.01
LATE_CHECK_S = 0.008  # A check that is later than this shows that the machine is busy.
CALM_PERIOD_S = 0.1  # No check may be late for this long.
MAX_WAIT_S = 2.0  # On a machine that stays busy, the instance is ready after this time.


class Readiness:
    """The readiness of one process.

    `cores` is the share of a core that this process may use. `cpu_s` is the CPU time that it has used by
    `now`, which is a lower bound of its age. The start time that the kernel reports is not used, as its clock
    may differ from this process's clock.
    """

    def __init__(self, now: float, cpu_s: float, cores: float) -> None:
        self._cores = cores
        self._started_at = now - cpu_s
        self._late_at = self._next_check = now
        self._ready_by = now + MAX_WAIT_S

    @property
    def next_check(self) -> float:
        """The time at which `check` is to be called next."""
        return self._next_check

    def check(self, now: float, cpu_s: float) -> bool:
        """Returns whether the process is ready. `cpu_s` is the CPU time that it has used since its start."""
        if now > self._next_check + LATE_CHECK_S:
            self._late_at = now
        self._next_check = now + CHECK_INTERVAL_S
        cpu_covered = cpu_s <= self._cores * (now - self._started_at)
        loop_on_time = now >= self._late_at + CALM_PERIOD_S
        return cpu_covered and loop_on_time or now >= self._ready_by
