"""Tests of the delays of many relays that lose one discovery service at the same time."""

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

SERVICE_TIME_S = 0.125  # Discovery's time for one call, even if the caller has already timed out.
CALL_TIMEOUT_S = 2.0


def make_backoff(relay: int, spread_s: float, initial_spread_s: float = float("inf")) -> Backoff:
    return Backoff(0.25, spread_s, 4.0, random.Random(relay), initial_spread_s)


def time_until_all_are_served(relays: int, spread_s: float, initial_spread_s: float | None = None) -> float:
    """Returns the time at which the last relay is served, infinity if not all are.

    All relays lose discovery at time 0. Discovery serves their calls in turn, and a call that waits too long
    fails. `initial_spread_s` is the spread of the first calls, which discovery has not refused yet.
    """
    backoffs = [make_backoff(relay, spread_s, initial_spread_s or spread_s) for relay in range(relays)]
    calls = [
        (backoff.retry_delay_s(busy=initial_spread_s is None), relay)
        for relay, backoff in enumerate(backoffs)
    ]
    heapq.heapify(calls)
    free_at, served_at = 0.0, 0.0
    while calls and calls[0][0] < 120:
        now, relay = heapq.heappop(calls)
        free_at = max(free_at, now) + SERVICE_TIME_S
        if free_at - now <= CALL_TIMEOUT_S:
            served_at = max(served_at, free_at)
        else:
            heapq.heappush(calls, (now + CALL_TIMEOUT_S + backoffs[relay].retry_delay_s(), relay))
    return float("inf") if calls else served_at


@pytest.mark.parametrize("relays", [2, 40, 200])
def test_a_fleet_that_spreads_its_calls_is_served_within_a_few_times_the_serving_time_of_all(relays):
    assert time_until_all_are_served(relays, relays / 10) <= 1.0 + 5 * relays * SERVICE_TIME_S


@pytest.mark.parametrize("relays", [2, 40])
def test_calls_with_a_short_initial_spread_are_spread_once_they_are_refused(relays):
    assert time_until_all_are_served(relays, relays / 10, 0.75) <= 1.0 + 5 * relays * SERVICE_TIME_S


def test_forty_relays_that_always_call_together_are_never_all_served():
    assert time_until_all_are_served(40, 0.0) == float("inf")


@pytest.mark.parametrize("relays", [2, 40, 200])
@pytest.mark.parametrize("call", ["first", "again"])
def test_delays_of_many_relays_are_spread_evenly(relays, call):
    backoffs = [make_backoff(relay, relays / 10) for relay in range(relays)]
    times = sorted(one.first_delay_s() if call == "first" else one.retry_delay_s() for one in backoffs)
    assert max(sum(at <= other < at + 1 for other in times) for at in times) <= 10 + 3 * 10**0.5


def test_reset_makes_the_next_refusal_the_first_of_a_series():
    backoff, fresh = make_backoff(3, 4.0), make_backoff(3, 4.0)
    first = [fresh.retry_delay_s(), fresh.retry_delay_s() / 2]
    assert backoff.retry_delay_s() == first[0]
    backoff.reset()
    assert backoff.retry_delay_s() == pytest.approx(first[1])


DOWN_S = 30.0  # All calls are refused until this time.


class BoundedFleet:
    """Relays that bound their delays as `Discovery` does.

    From DOWN_S on discovery serves the calls in turn, all of them within `total_service_time_s`. `call_times`
    has the times of all calls, `served_times` those of the answers.
    """

    def __init__(self, relays: int, total_service_time_s: float, refusal_s: float) -> None:
        generators = [random.Random(relay) for relay in range(relays)]
        self.backoffs = [
            Backoff(RETRY_DELAY_S, relays / 10, MAX_BACKOFF_FACTOR, rng, CALL_SPREAD_S) for rng in generators
        ]
        self.service_time_s, self.refusal_s = total_service_time_s / relays, refusal_s
        self.call_times: list[float] = []
        self.served_times: list[float] = []
        self.free_at = 0.0

    def run(self, until: float) -> None:
        calls = [
            (one.retry_delay_s(False, CALL_INTERVAL_S), relay) for relay, one in enumerate(self.backoffs)
        ]
        heapq.heapify(calls)
        while calls and calls[0][0] < until:
            now, relay = heapq.heappop(calls)
            self.call_times.append(now)
            if (took_s := self._refused_after(now)) is not None:
                wait_s = self.backoffs[relay].retry_delay_s(True, CALL_INTERVAL_S - took_s)
                heapq.heappush(calls, (now + took_s + wait_s, relay))

    def _refused_after(self, now: float) -> float | None:
        if now < DOWN_S:
            return self.refusal_s
        self.free_at = max(self.free_at, now) + self.service_time_s
        if self.free_at - now > CALL_TIMEOUT_S:
            return CALL_TIMEOUT_S
        self.served_times.append(self.free_at)
        return None


@pytest.mark.parametrize("relays", [2, 40, 230, 3_400])
@pytest.mark.parametrize("refusal_s", [0.0, CALL_TIMEOUT_S])
def test_relays_that_were_refused_for_long_are_served_in_time_if_discovery_can_serve_them(relays, refusal_s):
    fleet = BoundedFleet(relays, 3.0, refusal_s)
    fleet.run(DOWN_S + 2 * MAX_LIST_DELAY_S)
    assert len(fleet.served_times) == relays and max(fleet.served_times) - DOWN_S <= MAX_LIST_DELAY_S


@pytest.mark.parametrize("relays", [230, 3_400])
def test_refused_calls_of_a_bounded_fleet_are_no_more_than_the_allowed_delay_needs(relays):
    fleet = BoundedFleet(relays, 3.0, 0.0)
    fleet.run(DOWN_S)
    late_calls = [at for at in fleet.call_times if at >= 2 * CALL_INTERVAL_S]
    max_rate = max(sum(second <= at < second + 1 for at in late_calls) for second in range(8, int(DOWN_S)))
    mean_rate = relays / CALL_INTERVAL_S
    assert len(late_calls) <= 1.2 * mean_rate * (DOWN_S - 2 * CALL_INTERVAL_S)
    assert max_rate <= 1.2 * mean_rate + 3 * mean_rate**0.5


@pytest.mark.parametrize(("within_s", "min_s"), [(3.75, 0.125), (0.0, 0.125), (-2.0, 0.125)])
def test_a_delay_is_no_longer_than_allowed_and_never_zero(within_s, min_s):
    for relay in range(200):
        backoff = Backoff(RETRY_DELAY_S, 340.0, MAX_BACKOFF_FACTOR, random.Random(relay), CALL_SPREAD_S)
        for busy in (True, True, True, False):
            assert min_s <= backoff.retry_delay_s(busy, within_s) <= max(RETRY_DELAY_S, within_s)
