"""Verdicts, and the words of their evidence."""

from glenfold_lab.results import Verdict

Seen = tuple[int, str]  # the moment of an observation, and what was seen


class Verdicts:
    """Keeps the first `keep` verdicts and counts those beyond."""

    def __init__(self, keep: int, start_us: int) -> None:
        self.kept: list[Verdict] = []
        self.left_out = 0
        self._keep = keep
        self._start_us = start_us

    def add(
        self,
        rule: str,
        at: int,
        seen: list[Seen],
        request: int | None = None,
        server: int | None = None,
        relay: int | None = None,
    ) -> None:
        """`seen`: what proves it; put into the order of its moments here."""
        if len(self.kept) >= self._keep:
            self.left_out += 1
            return
        evidence = tuple(f"{self._seconds(moment)}: {words}" for moment, words in sorted(seen))
        self.kept.append(Verdict(rule, at - self._start_us, request, server, relay, evidence))

    def _seconds(self, moment: int) -> str:
        return f"{(moment - self._start_us) / 1e6:.6f} s"
