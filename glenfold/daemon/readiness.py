"""When an instance that has started may say that it is ready, without I/O.

A start burns CPU faster than a part of a core allows, and a scheduler that gives such parts lets it do so at
first and holds the process back later: in the first second of service, when most connections are placed and
it is learnt what set-ups take. So readiness waits until the part that it may use has covered what was used,
and until the event loop has been on time for a while. Moments and spans are in seconds.
"""

STEP_S = 0.01  # between two looks
LATE_S = 0.008  # a look that comes so late tells of a busy machine
CALM_S = 0.1  # for which none may
LATEST_S = 2.0  # a machine that stays busy: it serves as well as it can


class Readiness:
    """`cores`: the part of a core that this process may use. `cpu_s`: what it has used by `now`, so old it is
    at least. The kernel's own word of its start goes by a clock that need not be this process's."""

    def __init__(self, now: float, cpu_s: float, cores: float) -> None:
        self._cores = cores
        self._began = now - cpu_s
        self._late_at = self._next = now
        self._latest = now + LATEST_S

    @property
    def next_look(self) -> float:
        return self._next

    def look(self, now: float, cpu_s: float) -> bool:
        """Whether it is ready. cpu_s: what the process has used since it began."""
        if now > self._next + LATE_S:
            self._late_at = now
        self._next = now + STEP_S
        paid = cpu_s <= self._cores * (now - self._began)
        calm = now >= self._late_at + CALM_S
        return paid and calm or now >= self._latest
