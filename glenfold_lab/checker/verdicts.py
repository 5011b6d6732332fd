"""Collects verdicts and formats their evidence."""

from glenfold_lab.checker.gaps import Gap, ObserverGaps, Overrun
from glenfold_lab.results import Verdict

Evidence = tuple[int, str]  # An observation: its time in microseconds, and a description.


class Verdicts:
    """Keeps the first `keep` verdicts, and as many undecided ones, and counts the others.

    `observers` has the gaps of the processes that recorded the observations, none in the model. A verdict
    that rests on a time limit which these gaps explain is undecided.
    """

    def __init__(self, keep: int, start_us: int, observers: ObserverGaps | None = None) -> None:
        self.kept: list[Verdict] = []
        self.undecided: list[Verdict] = []
        self.left_out = 0
        self._keep = keep
        self._start_us = start_us
        self._observers = observers if observers is not None else ObserverGaps([])

    def add(
        self,
        rule: str,
        at: int,
        evidence: list[Evidence],
        request: int | None = None,
        server: int | None = None,
        relay: int | None = None,
        overrun: Overrun | None = None,
    ) -> None:
        """Adds a verdict. `evidence` may be in any order; the verdict lists it in the order of time.

        `overrun` is the time limit on which it rests, None if it rests on none.
        """
        gaps = [] if overrun is None else self._observers.about(overrun)
        undecided = overrun is not None and overrun.is_explained_by(gaps)
        verdicts = self.undecided if undecided else self.kept
        if len(verdicts) >= self._keep:
            self.left_out += 1
            return
        all_evidence = sorted([*evidence, *map(_gap_evidence, gaps)])
        lines = tuple(f"{self._seconds(time)}: {description}" for time, description in all_evidence)
        verdicts.append(Verdict(rule, at - self._start_us, request, server, relay, lines, undecided))

    def _seconds(self, time: int) -> str:
        return f"{(time - self._start_us) / 1e6:.6f} s"


def _gap_evidence(gap: Gap) -> Evidence:
    in_call = f", in {gap.call}" if gap.call else ""
    return gap.start, f"from here its observer did not run for {gap.length_us / 1e6:.6f} s{in_call}"
