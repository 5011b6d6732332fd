"""Many relays that lose one discovery together, at sizes from 2 to 200."""

import heapq
import random

import pytest

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
