"""What a history was like for its clients, from the same observations as the checker's."""

from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from glenfold_lab.observe import End, Final, Watcher
from glenfold_lab.results import Distribution, Series

LONGEST_US = 3_600_000_000
DIGITS = 3
KINDS = ("up", "refused", "error", "closed")  # names of series, in the order of Final
QUANTILES = ("50", "90", "99", "99.9", "100")
FORGET_US = 60_000_000  # a try that is open for longer (at least; twice that at most) had no answer


@dataclass(slots=True, eq=False)
class Try:
    """first_ask is None where nobody observed it."""

    request_class: int
    first_ask: int | None
    attempts: int = 0


class Measures(Watcher):
    """Answers and latencies are counted from `counted_from` on (the warm-up does not count), series from
    `start_us`, in steps of step_us. classes: their names, in their order."""

    def __init__(
        self, classes: Sequence[str], start_us: int = 0, counted_from: int = 0, step_us: int = 1_000_000
    ) -> None:
        self._classes = classes
        self._start = start_us
        self._counted_from = counted_from
        self._step = step_us
        self._open: dict[int, Try] = {}
        self._older: dict[int, Try] = {}  # of the minute before
        self._forget_at = start_us + FORGET_US
        self._answers = [0] * len(Final)
        self._set_up: list[HdrHistogram] = [HdrHistogram(1, LONGEST_US, DIGITS) for _ in classes]
        self._by_kind: list[list[int]] = [[] for _ in Final]
        self._moved: list[int] = []
        self._attempts: list[int] = []
        self._most_attempts = 0
        self._moves = 0
        self._left = 0
        self._down_since: dict[int, int] = {}
        self._down_us = 0
        self._ends_at = start_us

    # ---- what is seen ----

    def asked(self, at: int, request: int, connection: int, request_class: int, first_ask: int) -> None:
        self._begin(at, request, Try(request_class, first_ask))

    def taken(self, at: int, request: int, relay: int, deadline: int, request_class: int) -> None:
        if request not in self._open:
            self._begin(at, request, Try(request_class, None))

    def _begin(self, at: int, request: int, new: Try) -> None:
        if at >= self._forget_at:
            self._older, self._open = self._open, {}
            self._forget_at = at + FORGET_US
        self._open[request] = new

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        self._count(self._attempts, at)
        known = self._open.get(request) or self._older.get(request)
        if known is not None:
            known.attempts += 1
            if known.attempts > self._most_attempts:
                self._most_attempts = known.attempts

    def answered(self, at: int, request: int, final: Final, server: int | None, wait_us: int) -> None:
        known = self._open.pop(request, None) or self._older.pop(request, None)
        self._count(self._by_kind[final], at)
        if at < self._counted_from:
            return
        self._answers[final] += 1
        if final == Final.UP and known is not None and known.first_ask is not None:
            took = at - known.first_ask
            self._set_up[known.request_class].record_value(min(max(took, 1), LONGEST_US))

    def left(self, at: int, request: int) -> None:
        if self._open.pop(request, None) or self._older.pop(request, None):
            self._left += at >= self._counted_from

    def ended(self, at: int, request: int, how: End) -> None:
        if how == End.MOVED:
            self._count(self._moved, at)
            self._moves += at >= self._counted_from

    def relay_down(self, at: int, relay: int) -> None:
        self._down_since.setdefault(relay, at)

    def relay_up(self, at: int, relay: int) -> None:
        self._down_us += at - self._down_since.pop(relay, at)

    def finish(self, at: int) -> None:
        self._ends_at = at
        for relay in sorted(self._down_since):
            self.relay_up(at, relay)

    def _count(self, series: list[int], at: int) -> None:
        step = max(0, at - self._start) // self._step
        if step >= len(series):
            series.extend([0] * (step + 1 - len(series)))
        series[step] += 1

    # ---- what it comes to ----

    def answers(self) -> dict[str, int]:
        """By kind; "left" are clients that went away before theirs."""
        return {final.name.lower(): self._answers[final] for final in Final} | {"left": self._left}

    def set_up(self) -> dict[str, Distribution]:
        """From a client's first ask to its UP, in microseconds, by class; a class without any is left out."""
        return {
            name: _distribution(seen)
            for name, seen in zip(self._classes, self._set_up, strict=True)
            if seen.get_total_count()
        }

    def series(self) -> dict[str, Series]:
        """Answers by kind ("refused" are BUSY), "moved" and "attempts": each in a second, however long a step
        is."""
        steps = -(-max(0, self._ends_at - self._start) // self._step)
        counts = dict(zip(KINDS, self._by_kind, strict=True))
        return {
            name: self._per_second(seen, steps, f"{name} a second")
            for name, seen in (*counts.items(), ("moved", self._moved), ("attempts", self._attempts))
        }

    def figures(self) -> dict[str, float]:
        """most_attempts of any try, moves, and relays_down_s of all relays together."""
        return {
            "most_attempts": float(self._most_attempts),
            "moves": float(self._moves),
            "relays_down_s": self._down_us / 1e6,
        }

    def _per_second(self, counts: list[int], steps: int, label: str) -> Series:
        full = [*counts, *[0] * (steps - len(counts))]
        return Series(self._step, tuple(count * 1e6 / self._step for count in full), label)


def _distribution(seen: HdrHistogram) -> Distribution:
    quantiles = {name: int(seen.get_value_at_percentile(float(name))) for name in QUANTILES}
    return Distribution(int(seen.get_total_count()), float(seen.get_mean_value()), quantiles)
