"""Measures the work that cold push servers were sent, against the budget of rule "cold"."""

from dataclasses import dataclass

import msgspec

from glenfold_lab.checker.cold import ColdServer, exceeds_budget, previous_end_bound
from glenfold_lab.observe import Capacity, ListedState, Watcher
from glenfold_lab.spec import Rules


class Span(msgspec.Struct, frozen=True):
    """The span of `fall_s` in which most was sent compared with its budget.

    `sent` and `budget` are numbers of attempts. `over` is set if `sent` is more than chance explains.
    """

    sent: int = 0
    budget: float = 0.0
    over: bool = False

    @property
    def used(self) -> float:
        """The used part of the budget; 0 if there is no budget."""
        return self.sent / self.budget if self.budget else 0.0


class ColdLife(msgspec.Struct, frozen=True):
    """One cold start of a server.

    `sent` is the number of attempts until the server was warm. `worst` is the worst of all spans. `known` is
    the worst of those spans in which two thirds of the attempts came from relays that had been notified of
    the start; rule "cold" judges only these.
    """

    server: int
    at_us: int
    sent: int
    worst: Span
    known: Span


@dataclass(slots=True, eq=False)
class _ColdStart:
    cold: ColdServer
    sent: int = 0
    worst: Span = Span()
    known: Span = Span()


class ColdWork(Watcher):
    """Collects every cold start of a history, in order. `slack_us` is the slack of the checker."""

    def __init__(self, rules: Rules, slack_us: int = 0) -> None:
        self._slack_us = slack_us
        self._cold_us = round(rules.cold_s * 1e6)
        self._span_us = round(rules.fall_s * 1e6)
        self._multiple = rules.fall_multiple
        self._starts: list[tuple[int, _ColdStart]] = []
        self._latest: dict[int, _ColdStart] = {}
        self._ended_at: dict[int, int] = {}
        self._listed_starts: dict[tuple[int, int], int] = {}

    def server_started(self, at: int, server: int, capacity: Capacity, cold: bool) -> None:
        if cold:
            previous_end = previous_end_bound(self._ended_at.get(server, 0), self._slack_us)
            start = self._latest[server] = _ColdStart(ColdServer(at, previous_end, capacity))
            self._starts.append((server, start))

    def server_ended(self, at: int, server: int) -> None:
        self._ended_at[server] = at

    def told(self, at: int, relay: int, server: int, state: ListedState, started_us: int) -> None:
        self._listed_starts[relay, server] = started_us

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        start = self._latest.get(server)
        if start is None or goes_on or at >= start.cold.started_at + self._cold_us:
            return
        cold = start.cold
        start.sent += 1
        cold.add_attempt(at, self._listed_starts.get((relay, server), 0) > cold.previous_end, self._span_us)
        budget, count = self._multiple * cold.capacity_between(at - self._span_us, at), len(cold.recent)
        span = Span(count, budget, exceeds_budget(count, budget))
        start.worst = max(start.worst, span, key=_severity)
        if 3 * cold.notified_count >= 2 * count:
            start.known = max(start.known, span, key=_severity)

    def lives(self) -> tuple[ColdLife, ...]:
        """Returns the cold starts in the order in which they were observed."""
        return tuple(
            ColdLife(server, start.cold.started_at, start.sent, start.worst, start.known)
            for server, start in self._starts
        )


def _severity(span: Span) -> tuple[bool, float]:
    return span.over, span.used
