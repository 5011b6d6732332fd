"""Collects verdicts and formats their evidence."""

from glenfold_lab.results import Verdict

Evidence = tuple[int, str]  # An observation: its time in microseconds, and a description.


class Verdicts:
    """Keeps the first `keep` verdicts and counts the others."""

    def __init__(self, keep: int, start_us: int) -> None:
        self.kept: list[Verdict] = []
        self.left_out = 0
        self._keep = keep
        self._start_us = start_us

    def add(
        self,
        rule: str,
        at: int,
        evidence: list[Evidence],
        request: int | None = None,
        server: int | None = None,
        relay: int | None = None,
    ) -> None:
        """Adds a verdict. `evidence` may be in any order; the verdict lists it in the order of time."""
        if len(self.kept) >= self._keep:
            self.left_out += 1
            return
        lines = tuple(f"{self._seconds(time)}: {description}" for time, description in sorted(evidence))
        self.kept.append(Verdict(rule, at - self._start_us, request, server, relay, lines))

    def _seconds(self, time: int) -> str:
        return f"{(time - self._start_us) / 1e6:.6f} s"
