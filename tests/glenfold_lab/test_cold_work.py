"""Tests of the work that cold push servers are sent, compared with their budget."""

from glenfold_lab.cold_work import ColdWork
from glenfold_lab.observe import Capacity, ListedState, Watcher
from glenfold_lab.spec import Rules

SECOND_US = 1_000_000
RULES = Rules(cold_share=0.1, cold_s=20.0, fall_multiple=3.0, fall_s=3.0)
CAPACITY = Capacity(10.0, 0.1, 20 * SECOND_US)


def start_cold_server(watcher: Watcher, at: int) -> None:
    watcher.server_started(at, 7, CAPACITY, True)


def test_work_counts_against_the_budget_of_the_span_that_used_most() -> None:
    work = ColdWork(RULES)
    start_cold_server(work, SECOND_US)
    work.told(SECOND_US, 0, 7, ListedState.READY, SECOND_US)
    for n in range(6):  # At the start the budget of a span is 3 s * 3 * 1 a second.
        work.sent(SECOND_US, n, n % 2, 7, SECOND_US)
    for n in range(20):  # Nearly warm, the budget of a span is 3 s * 3 * 9.5 a second.
        work.sent(20 * SECOND_US, 10 + n, 0, 7, 20 * SECOND_US)
    work.sent(22 * SECOND_US, 99, 0, 7, 22 * SECOND_US)  # The server is warm.
    [life] = work.lives()
    assert (life.server, life.at_us, life.sent) == (7, SECOND_US, 26)
    assert life.worst.sent == 6 and abs(life.worst.budget - 9.0) < 1e-6 and not life.worst.over
    assert life.known.sent == 3  # Relay 1 was not notified; two thirds of the first three came from relay 0.
