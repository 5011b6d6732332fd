"""How much work cold push servers were sent, against the budget that rule "cold" gives them."""

from dataclasses import dataclass

import msgspec

from glenfold_lab.checker.cold import ColdServer, exceeds_budget, previous_end_bound
from glenfold_lab.observe import Capacity, ListedState, Watcher
from glenfold_lab.spec import Rules


class Span(msgspec.Struct, frozen=True):
    """The `fall_s` in which most was sent against the budget, both in attempts. over: more than chance
    explains."""

    sent: int = 0
    budget: float = 0.0
    over: bool = False

    @property
    def used(self) -> float:
        """The part of the budget."""
        return self.sent / self.budget if self.budget else 0.0


class ColdLife(msgspec.Struct, frozen=True):
    """One cold start. sent: attempts until it was warm. worst: of all spans; known: of those in which two
    thirds came from relays that had been told of the start, which alone the rule judges."""

    server: int
    at_us: int
    sent: int
    worst: Span
    known: Span


@dataclass(slots=True, eq=False)
class _Life:
    cold: ColdServer
    sent: int = 0
    worst: Span = Span()
    known: Span = Span()


class ColdWork(Watcher):
    """Every cold start of a history, in their order. slack_us: as the checker's."""

    def __init__(self, rules: Rules, slack_us: int = 0) -> None:
        self._slack = slack_us
        self._cold_us = round(rules.cold_s * 1e6)
        self._span_us = round(rules.fall_s * 1e6)
        self._multiple = rules.fall_multiple
        self._lives: list[tuple[int, _Life]] = []
        self._now: dict[int, _Life] = {}
        self._ended: dict[int, int] = {}
        self._told: dict[tuple[int, int], int] = {}

    def server_started(self, at: int, server: int, capacity: Capacity, cold: bool) -> None:
        if cold:
            before = previous_end_bound(self._ended.get(server, 0), self._slack)
            life = self._now[server] = _Life(ColdServer(at, before, capacity))
            self._lives.append((server, life))

    def server_ended(self, at: int, server: int) -> None:
        self._ended[server] = at

    def told(self, at: int, relay: int, server: int, state: ListedState, started_us: int) -> None:
        self._told[relay, server] = started_us

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        life = self._now.get(server)
        if life is None or goes_on or at >= life.cold.since + self._cold_us:
            return
        cold = life.cold
        life.sent += 1
        cold.take(at, self._told.get((relay, server), 0) > cold.before, self._span_us)
        budget, count = self._multiple * cold.capacity_between(at - self._span_us, at), len(cold.sends)
        span = Span(count, budget, exceeds_budget(count, budget))
        life.worst = max(life.worst, span, key=_order)
        if 3 * cold.knowing >= 2 * count:
            life.known = max(life.known, span, key=_order)

    def lives(self) -> tuple[ColdLife, ...]:
        return tuple(
            ColdLife(server, life.cold.since, life.sent, life.worst, life.known)
            for server, life in self._lives
        )


def _order(span: Span) -> tuple[bool, float]:
    return span.over, span.used
