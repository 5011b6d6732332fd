"""Many relays that lose one discovery together, at sizes from 2 to 200."""

import heapq
import random

import pytest

from glenfold.net.discovery import (
    CALL_INTERVAL_S,
    CALL_SPREAD_S,
    MAX_BACKOFF_FACTOR,
    MAX_LIST_DELAY_S,
    RETRY_DELAY_S,
)
from glenfold.rules.backoff import Backoff

SERVES_S = 0.125  # discovery's time for one call, also for one that nobody waits for any more
PATIENCE_S = 2.0


def waits(relay: int, spread_s: float, soon_s: float = float("inf")) -> Backoff:
    return Backoff(0.25, spread_s, 4.0, random.Random(relay), soon_s)


def until_all_are_told(relays: int, spread_s: float, soon_s: float | None = None) -> float:
    """All lose discovery at the moment 0; it serves them in turn, and who waits too long has failed.
    `soon_s`: the spread of the first calls, which it has not refused yet."""
    backoffs = [waits(relay, spread_s, soon_s or spread_s) for relay in range(relays)]
    calls = [(backoff.again_s(busy=soon_s is None), relay) for relay, backoff in enumerate(backoffs)]
    heapq.heapify(calls)
    free_at, told_at = 0.0, 0.0
    while calls and calls[0][0] < 120:
        now, relay = heapq.heappop(calls)
        free_at = max(free_at, now) + SERVES_S
        if free_at - now <= PATIENCE_S:
            told_at = max(told_at, free_at)
        else:
            heapq.heappush(calls, (now + PATIENCE_S + backoffs[relay].again_s(), relay))
    return float("inf") if calls else told_at


@pytest.mark.parametrize("relays", [2, 40, 200])
def test_a_fleet_that_spreads_its_calls_is_told_within_a_few_times_what_serving_all_takes(relays):
    assert until_all_are_told(relays, relays / 10) <= 1.0 + 5 * relays * SERVES_S


@pytest.mark.parametrize("relays", [2, 40])
def test_calls_that_come_soon_at_first_are_spread_once_they_are_refused(relays):
    assert until_all_are_told(relays, relays / 10, 0.75) <= 1.0 + 5 * relays * SERVES_S


def test_forty_that_ask_together_are_never_told():
    assert until_all_are_told(40, 0.0) == float("inf")


@pytest.mark.parametrize("relays", [2, 40, 200])
@pytest.mark.parametrize("call", ["first", "again"])
def test_waits_of_many_relays_do_not_bunch(relays, call):
    backoffs = [waits(relay, relays / 10) for relay in range(relays)]
    moments = sorted(one.first_s() if call == "first" else one.again_s() for one in backoffs)
    assert max(sum(at <= other < at + 1 for other in moments) for at in moments) <= 10 + 3 * 10**0.5


def test_success_makes_the_next_fault_the_first_of_a_row():
    backoff, fresh = waits(3, 4.0), waits(3, 4.0)
    first = [fresh.again_s(), fresh.again_s() / 2]
    assert backoff.again_s() == first[0]
    backoff.worked()
    assert backoff.again_s() == pytest.approx(first[1])


DOWN_S = 30.0  # all calls are refused up to then


class BoundedFleet:
    """Relays that bound their waits as `Discovery` does. From DOWN_S on discovery serves them in turn, all of
    them within `serves_all_s`. `called`: the moments of all calls. `told`: those of the answers."""

    def __init__(self, relays: int, serves_all_s: float, refusal_s: float) -> None:
        chances = [random.Random(relay) for relay in range(relays)]
        self.backoffs = [
            Backoff(RETRY_DELAY_S, relays / 10, MAX_BACKOFF_FACTOR, chance, CALL_SPREAD_S)
            for chance in chances
        ]
        self.serves_s, self.refusal_s = serves_all_s / relays, refusal_s
        self.called: list[float] = []
        self.told: list[float] = []
        self.free_at = 0.0

    def run(self, until: float) -> None:
        calls = [(one.again_s(False, CALL_INTERVAL_S), relay) for relay, one in enumerate(self.backoffs)]
        heapq.heapify(calls)
        while calls and calls[0][0] < until:
            now, relay = heapq.heappop(calls)
            self.called.append(now)
            if (took_s := self._refused_after(now)) is not None:
                wait_s = self.backoffs[relay].again_s(True, CALL_INTERVAL_S - took_s)
                heapq.heappush(calls, (now + took_s + wait_s, relay))

    def _refused_after(self, now: float) -> float | None:
        if now < DOWN_S:
            return self.refusal_s
        self.free_at = max(self.free_at, now) + self.serves_s
        if self.free_at - now > PATIENCE_S:
            return PATIENCE_S
        self.told.append(self.free_at)
        return None


@pytest.mark.parametrize("relays", [2, 40, 230, 3_400])
@pytest.mark.parametrize("refusal_s", [0.0, PATIENCE_S])
def test_relays_that_were_refused_for_long_are_told_in_time_where_discovery_can_serve_them(relays, refusal_s):
    fleet = BoundedFleet(relays, 3.0, refusal_s)
    fleet.run(DOWN_S + 2 * MAX_LIST_DELAY_S)
    assert len(fleet.told) == relays and max(fleet.told) - DOWN_S <= MAX_LIST_DELAY_S


@pytest.mark.parametrize("relays", [230, 3_400])
def test_refused_calls_of_a_bounded_fleet_are_no_more_than_the_time_allowed_needs(relays):
    fleet = BoundedFleet(relays, 3.0, 0.0)
    fleet.run(DOWN_S)
    late = [at for at in fleet.called if at >= 2 * CALL_INTERVAL_S]
    busiest = max(sum(second <= at < second + 1 for at in late) for second in range(8, int(DOWN_S)))
    fair = relays / CALL_INTERVAL_S
    assert len(late) <= 1.2 * fair * (DOWN_S - 2 * CALL_INTERVAL_S)
    assert busiest <= 1.2 * fair + 3 * fair**0.5


@pytest.mark.parametrize(("within_s", "least_s"), [(3.75, 0.125), (0.0, 0.125), (-2.0, 0.125)])
def test_a_wait_is_no_longer_than_allowed_and_never_none(within_s, least_s):
    for relay in range(200):
        backoff = Backoff(RETRY_DELAY_S, 340.0, MAX_BACKOFF_FACTOR, random.Random(relay), CALL_SPREAD_S)
        for busy in (True, True, True, False):
            assert least_s <= backoff.again_s(busy, within_s) <= max(RETRY_DELAY_S, within_s)
