"""Measures what the clients of a history got, from the same observations that the checker reads."""

from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from glenfold_lab.observe import End, Final, Watcher
from glenfold_lab.results import Distribution, Series

MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
KINDS = ("up", "refused", "error", "closed")  # Names of the series of answers, in the order of Final.
QUANTILES = ("50", "90", "99", "99.9", "100")
# A try that is open for longer counts as unanswered and is forgotten, after twice this time at the latest.
FORGET_AFTER_US = 60_000_000


@dataclass(slots=True, eq=False)
class Try:
    """One open try of a client. `first_ask` is None if the client's first request was not observed."""

    request_class: int
    first_ask: int | None
    attempts: int = 0


class Measures(Watcher):
    """Collects answers, latencies and series.

    Answers and latencies are counted from `counted_from` on, so that the warm-up does not count. Series start
    at `start_us` and have steps of `step_us`. `classes` holds the names of the classes in their order.
    """

    def __init__(
        self, classes: Sequence[str], start_us: int = 0, counted_from: int = 0, step_us: int = 1_000_000
    ) -> None:
        self._classes = classes
        self._start_us = start_us
        self._counted_from = counted_from
        self._step_us = step_us
        self._open: dict[int, Try] = {}
        self._previous: dict[int, Try] = {}  # The tries of the period before.
        self._forget_at = start_us + FORGET_AFTER_US
        self._answers = [0] * len(Final)
        self._set_up_times: list[HdrHistogram] = [
            HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS) for _ in classes
        ]
        self._answers_by_kind: list[list[int]] = [[] for _ in Final]
        self._moved_by_step: list[int] = []
        self._attempts_by_step: list[int] = []
        self._max_attempts = 0
        self._moves = 0
        self._left = 0
        self._down_since: dict[int, int] = {}
        self._down_us = 0
        self._finished_at = start_us

    # ---- observations ----

    def asked(self, at: int, request: int, connection: int, request_class: int, first_ask: int) -> None:
        self._add_try(at, request, Try(request_class, first_ask))

    def taken(self, at: int, request: int, relay: int, deadline: int, request_class: int) -> None:
        if request not in self._open:
            self._add_try(at, request, Try(request_class, None))

    def _add_try(self, at: int, request: int, new: Try) -> None:
        if at >= self._forget_at:
            self._previous, self._open = self._open, {}
            self._forget_at = at + FORGET_AFTER_US
        self._open[request] = new

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        self._count(self._attempts_by_step, at)
        open_try = self._open.get(request) or self._previous.get(request)
        if open_try is not None:
            open_try.attempts += 1
            if open_try.attempts > self._max_attempts:
                self._max_attempts = open_try.attempts

    def answered(self, at: int, request: int, final: Final, server: int | None, wait_us: int) -> None:
        open_try = self._open.pop(request, None) or self._previous.pop(request, None)
        self._count(self._answers_by_kind[final], at)
        if at < self._counted_from:
            return
        self._answers[final] += 1
        if final == Final.UP and open_try is not None and open_try.first_ask is not None:
            took = at - open_try.first_ask
            self._set_up_times[open_try.request_class].record_value(min(max(took, 1), MAX_LATENCY_US))

    def left(self, at: int, request: int) -> None:
        if self._open.pop(request, None) or self._previous.pop(request, None):
            self._left += at >= self._counted_from

    def ended(self, at: int, request: int, how: End) -> None:
        if how == End.MOVED:
            self._count(self._moved_by_step, at)
            self._moves += at >= self._counted_from

    def relay_down(self, at: int, relay: int, exited_at: int | None = None) -> None:
        self._down_since.setdefault(relay, at)

    def relay_up(self, at: int, relay: int) -> None:
        self._down_us += at - self._down_since.pop(relay, at)

    def finish(self, at: int) -> None:
        self._finished_at = at
        for relay in sorted(self._down_since):
            self.relay_up(at, relay)

    def _count(self, series: list[int], at: int) -> None:
        step = max(0, at - self._start_us) // self._step_us
        if step >= len(series):
            series.extend([0] * (step + 1 - len(series)))
        series[step] += 1

    # ---- results ----

    def answers(self) -> dict[str, int]:
        """Returns the number of answers of each kind; "left" counts clients that left before their answer."""
        return {final.name.lower(): self._answers[final] for final in Final} | {"left": self._left}

    def set_up(self) -> dict[str, Distribution]:
        """Returns, by class, the time from a client's first request to its UP, in microseconds.

        Classes without an UP are left out.
        """
        return {
            name: _distribution(times)
            for name, times in zip(self._classes, self._set_up_times, strict=True)
            if times.get_total_count()
        }

    def series(self) -> dict[str, Series]:
        """Returns the series of answers by kind ("refused" counts BUSY), "moved" and "attempts".

        Each value is a rate per second, whatever the length of a step.
        """
        steps = -(-max(0, self._finished_at - self._start_us) // self._step_us)
        counts = dict(zip(KINDS, self._answers_by_kind, strict=True))
        return {
            name: self._per_second(step_counts, steps, f"{name} a second")
            for name, step_counts in (
                *counts.items(),
                ("moved", self._moved_by_step),
                ("attempts", self._attempts_by_step),
            )
        }

    def figures(self) -> dict[str, float]:
        """Returns single numbers by name.

        "most_attempts" is the maximum of any try, "moves" the number of moved connections, and
        "relays_down_s" the downtime of all relays together.
        """
        return {
            "most_attempts": float(self._max_attempts),
            "moves": float(self._moves),
            "relays_down_s": self._down_us / 1e6,
        }

    def _per_second(self, counts: list[int], steps: int, label: str) -> Series:
        padded = [*counts, *[0] * (steps - len(counts))]
        return Series(self._step_us, tuple(count * 1e6 / self._step_us for count in padded), label)


def _distribution(times: HdrHistogram) -> Distribution:
    quantiles = {name: int(times.get_value_at_percentile(float(name))) for name in QUANTILES}
    return Distribution(int(times.get_total_count()), float(times.get_mean_value()), quantiles)
