"""Rule "cold": all relays together must not overload a cold server.

The new connections that a cold server is sent within any span of `fall_s` stay under `fall_multiple` times
its capacity over that span.

The capacity is that of the server's real ramp, and counts as flat before the server's start. A burst right
after the start therefore has the budget of a full span, as the server was cold then, and no more.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from glenfold_lab.checker.verdicts import Verdicts
from glenfold_lab.observe import Capacity, Watcher
from glenfold_lab.spec import Rules

# Allowance beyond the budget, in connections and in standard deviations. Relays share no state, so they can
# only keep the mean within the budget, and a server's budget may be one or two connections. The allowance is
# two connections and twice the standard deviation of a Poisson count of the budget's size: a server that is
# sent half of its budget exceeds it less than once in 7,000 spans, whatever the budget is.
ALLOWED_EXCESS = 2.0
ALLOWED_DEVIATIONS = 2.0


def exceeds_budget(count: int, budget: float) -> bool:
    """Returns whether `count` new connections are more than chance explains for a budget of this size."""
    return count > budget + ALLOWED_EXCESS + ALLOWED_DEVIATIONS * math.sqrt(budget)


@dataclass(slots=True, eq=False)
class ColdServer:
    """One cold start of a server; times are in microseconds.

    `started_at` is when the server started. `previous_end` is a bound for its previous life: a relay that was
    sent a later start time was notified of this start. `recent` holds the attempts of the last span, as their
    time and whether their relay had been notified; `notified_count` is the number of those that were.
    `next_verdict_at` is the earliest time of another verdict, as overlapping spans contain the same attempts.
    """

    started_at: int
    previous_end: int
    capacity: Capacity
    recent: deque[tuple[int, bool]] = field(default_factory=deque)
    notified_count: int = 0
    next_verdict_at: int = 0

    def add_attempt(self, at: int, is_notified: bool, span_us: int) -> None:
        """Adds an attempt that arrived at `at` and drops those older than `span_us`."""
        self.recent.append((at, is_notified))
        self.notified_count += is_notified
        while self.recent[0][0] <= at - span_us:
            self.notified_count -= self.recent.popleft()[1]

    def capacity_between(self, start: int, end: int) -> float:
        """Returns how many new connections the server can take from `start` to `end`."""
        return self.capacity.warm_per_s / 1e6 * (self._full_capacity_us(end) - self._full_capacity_us(start))

    def _full_capacity_us(self, at: int) -> float:
        """Returns the integral of the ramp from the start to `at`, in microseconds of full capacity."""
        share, ramp_us = self.capacity.cold_share, max(1, self.capacity.cold_us)
        age = at - self.started_at
        if age <= 0:
            return share * age
        ramped = min(age, ramp_us)
        return share * ramped + (1 - share) * ramped * ramped / ramp_us / 2 + age - ramped


def previous_end_bound(ended: int, slack_us: int) -> int:
    """Returns the bound that a listed start exceeds if it is the start after the end at `ended`.

    On sockets, a start that follows the end at once is listed with its planned time, which may be before the
    time at which the end was observed; `slack_us` covers that.
    """
    return max(0, ended - slack_us)


class ColdRule(Watcher):
    """Checks rule "cold".

    `listed_start` returns when a server last started according to the list that a relay was sent
    (`DrainRule.listed_start`).
    """

    def __init__(
        self, rules: Rules, slack_us: int, listed_start: Callable[[int, int], int], verdicts: Verdicts
    ) -> None:
        self._slack_us = slack_us
        self._cold_us = round(rules.cold_s * 1e6)
        self._span_us = round(rules.fall_s * 1e6)
        self._multiple = rules.fall_multiple
        self._listed_start = listed_start
        self._verdicts = verdicts
        self._cold: dict[int, ColdServer] = {}
        self._ended_at: dict[int, int] = {}

    def server_started(self, at: int, server: int, capacity: Capacity, cold: bool) -> None:
        if cold:
            previous_end = previous_end_bound(self._ended_at.get(server, 0), self._slack_us)
            self._cold[server] = ColdServer(at, previous_end, capacity)

    def server_ended(self, at: int, server: int) -> None:
        # The server stays in `_cold`: if only its network was cut, it returns as cold as it was.
        self._ended_at[server] = at

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        cold = self._cold.get(server)
        if cold is None or goes_on:
            return
        if at >= cold.started_at + self._cold_us:
            del self._cold[server]
            return
        cold.add_attempt(at, self._listed_start(relay, server) > cold.previous_end, self._span_us)
        budget = self._multiple * cold.capacity_between(at - self._span_us, at)
        is_mostly_notified = 3 * cold.notified_count >= 2 * len(cold.recent)
        if is_mostly_notified and exceeds_budget(len(cold.recent), budget) and at >= cold.next_verdict_at:
            cold.next_verdict_at = at + self._span_us
            self._report(cold, budget, at, request, relay, server)

    def _report(
        self, cold: ColdServer, budget: float, at: int, request: int, relay: int, server: int
    ) -> None:
        count, capacity = len(cold.recent), cold.capacity
        self._verdicts.add(
            "cold",
            at,
            [
                (
                    cold.started_at,
                    f"server {server} started cold: {capacity.cold_share:g} of {capacity.warm_per_s:g} "
                    f"new connections a second, warm after {capacity.cold_us / 1e6:g} s",
                ),
                (
                    cold.recent[0][0],
                    f"the first of {count} attempts arrived there, {cold.notified_count} of them from "
                    "relays that had been told of its start",
                ),
                (
                    at,
                    f"the last of them, request {request} of relay {relay}; within {self._span_us / 1e6:g} s "
                    f"{self._multiple:g} times its capacity is {budget:.2f}",
                ),
            ],
            request,
            server,
            relay,
        )
