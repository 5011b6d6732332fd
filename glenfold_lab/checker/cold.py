"""No cold server is pushed over, by all relays together: what they send it within any span of `fall_s` stays
under `fall_multiple` times its capacity over that span.

The ramp is the true one of each server, and counts as flat before its start: a burst right after it has
the whole span's budget, as the server was cold then, and no more.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from glenfold_lab.checker.verdicts import Verdicts
from glenfold_lab.observe import Capacity, Watcher
from glenfold_lab.spec import Rules

# Beyond the budget: relays share nothing, so they can only hold the mean, and a server's budget may be a
# connection or two. Two more, and twice the spread of a Poisson count of the budget's size: a server
# that is sent half of its budget goes over that less than once in 7,000 spans, whatever the budget is.
ALLOWED_EXCESS = 2.0
ALLOWED_DEVIATIONS = 2.0


def exceeds_budget(count: int, budget: float) -> bool:
    """Whether so many new connections are more than a budget of this size explains."""
    return count > budget + ALLOWED_EXCESS + ALLOWED_DEVIATIONS * math.sqrt(budget)


@dataclass(slots=True, eq=False)
class ColdServer:
    """since: when it started. before: a relay that was told of a start after this was told of this one.
    sends: within the last span, by moment and whether its relay had been told. next_verdict: not before, as
    spans that overlap tell of the same sends."""

    since: int
    before: int
    capacity: Capacity
    sends: deque[tuple[int, bool]] = field(default_factory=deque)
    knowing: int = 0
    next_verdict: int = 0

    def take(self, at: int, told: bool, span_us: int) -> None:
        self.sends.append((at, told))
        self.knowing += told
        while self.sends[0][0] <= at - span_us:
            self.knowing -= self.sends.popleft()[1]

    def capacity_between(self, start: int, end: int) -> float:
        """New connections, from `start` to `end`."""
        return self.capacity.warm_per_s / 1e6 * (self._filled(end) - self._filled(start))

    def _filled(self, at: int) -> float:
        """The ramp's integral from its start until `at`, in microseconds of full capacity."""
        share, length = self.capacity.cold_share, max(1, self.capacity.cold_us)
        age = at - self.since
        if age <= 0:
            return share * age
        climbed = min(age, length)
        return share * climbed + (1 - share) * climbed * climbed / length / 2 + age - climbed


def previous_end_bound(ended: int, slack_us: int) -> int:
    """A relay that was told of a start after this was told of one after the server's end. On sockets a start
    that follows at once is told by its planned moment, which may be before that at which the end was seen."""
    return max(0, ended - slack_us)


class Cold(Watcher):
    """told_start: when a server last started, as a relay was told (`Drain.told_start`)."""

    def __init__(
        self, rules: Rules, slack_us: int, told_start: Callable[[int, int], int], found: Verdicts
    ) -> None:
        self._slack = slack_us
        self._cold_us = round(rules.cold_s * 1e6)
        self._span_us = round(rules.fall_s * 1e6)
        self._multiple = rules.fall_multiple
        self._told_start = told_start
        self._found = found
        self._cold: dict[int, ColdServer] = {}
        self._ended: dict[int, int] = {}

    def server_started(self, at: int, server: int, capacity: Capacity, cold: bool) -> None:
        if cold:
            before = previous_end_bound(self._ended.get(server, 0), self._slack)
            self._cold[server] = ColdServer(at, before, capacity)

    def server_ended(self, at: int, server: int) -> None:
        self._ended[server] = at  # if only its network was cut it comes back as cold as it went

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        cold = self._cold.get(server)
        if cold is None or goes_on:
            return
        if at >= cold.since + self._cold_us:
            del self._cold[server]
            return
        cold.take(at, self._told_start(relay, server) > cold.before, self._span_us)
        budget = self._multiple * cold.capacity_between(at - self._span_us, at)
        told_of = 3 * cold.knowing >= 2 * len(cold.sends)
        if told_of and exceeds_budget(len(cold.sends), budget) and at >= cold.next_verdict:
            cold.next_verdict = at + self._span_us
            self._pushed_over(cold, budget, at, request, relay, server)

    def _pushed_over(
        self, cold: ColdServer, budget: float, at: int, request: int, relay: int, server: int
    ) -> None:
        count, capacity = len(cold.sends), cold.capacity
        self._found.add(
            "cold",
            at,
            [
                (
                    cold.since,
                    f"server {server} started cold: {capacity.cold_share:g} of {capacity.warm_per_s:g} "
                    f"new connections a second, warm after {capacity.cold_us / 1e6:g} s",
                ),
                (
                    cold.sends[0][0],
                    f"the first of {count} attempts arrived there, {cold.knowing} of them from "
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
