"""Changes of the list that come in a row are taken as one, and in their order with all else."""

from collections.abc import Callable

import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from glenfold.clock import Clock
from glenfold.decisions import JOIN_S, MOST_JOIN_S, Closed, Decisions, Message
from glenfold.rules.list_changes import merge_changes
from linnetspread import interface as i

READY, DRAINING, GONE = i.ServerState.READY, i.ServerState.DRAINING, i.ServerState.GONE
STATES = st.sampled_from([READY, DRAINING, GONE])
LINES = st.lists(
    st.builds(i.ListedServer, st.integers(1, 6), STATES, started_us=st.integers(0, 3)), max_size=5
)


def change(version: int, *lines: i.ListedServer) -> i.ServerList:
    return i.ServerList(i.ListKind.DELTA, version, tuple(lines))


def whole(version: int, *lines: i.ListedServer) -> i.ServerList:
    return i.ServerList(i.ListKind.FULL, version, tuple(lines))


def last_words(*changes: i.ServerList) -> dict[int, i.ListedServer]:
    return {line.server: line for told in changes for line in told.servers}


@given(LINES, LINES)
def test_two_changes_are_the_last_that_was_said_of_each_server(first, second) -> None:
    one, other = change(1, *first), change(2, *second)
    both = merge_changes(one, other)
    assert both is not None
    assert both.version == 2
    assert {line.server: line for line in both.servers} == last_words(one, other)
    assert len(both.servers) == len(last_words(one, other))


def test_a_whole_list_and_a_failure_are_taken_by_themselves() -> None:
    alone = i.ServerList(i.ListKind.FAILED)
    assert merge_changes(change(1), whole(2)) is None
    assert merge_changes(whole(1), change(2)) is None
    assert merge_changes(change(1), alone) is None


class Told:
    """The events that the decisions are given, in their order."""

    def __init__(self, decisions: Decisions, takes: Callable[[], object] = lambda: None) -> None:
        self.events: list[i.Event] = []
        self._takes = takes
        balancer, self._handle = decisions.dispatch.balancer, decisions.dispatch.balancer.handle
        balancer.handle = self.handle  # type: ignore[method-assign]

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        self.events.append(event)
        self._takes()
        return self._handle(now, event)

    @property
    def lists(self) -> list[i.ServerList]:
        return [event for event in self.events if isinstance(event, i.ServerList)]


def told_by(*messages: Message, apart_s: float = 0.0) -> Told:
    """What the decisions are given when another task tells them these, one in a turn of the loop."""

    async def main() -> Told:
        decisions = Decisions(i.Settings(), 1, Clock())
        told = Told(decisions)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run)
            for message in messages:
                await decisions.tell(message)
                if apart_s:
                    await trio.sleep(apart_s)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        return told

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def servers(count: int) -> list[i.ListedServer]:
    return [i.ListedServer(number, READY) for number in range(1, count + 1)]


def test_a_zone_that_leaves_server_by_server_is_few_changes() -> None:
    fleet = servers(200)
    changes = [change(2 + n, i.ListedServer(line.server, GONE)) for n, line in enumerate(fleet[:100])]
    told = told_by(whole(1, *fleet), *changes)
    assert len(told.lists) <= 3
    assert told.lists[0].kind is i.ListKind.FULL
    assert {line.server for after in told.lists[1:] for line in after.servers} == set(range(1, 101))
    assert told.lists[-1].version == 101


def test_changes_apart_from_each_other_are_taken_as_they_come() -> None:
    changes = [change(n, i.ListedServer(n, READY)) for n in range(1, 6)]
    assert told_by(*changes, apart_s=2 * JOIN_S).lists == changes


def test_what_comes_between_is_taken_between() -> None:
    request = i.ClientLeft(7)
    told = told_by(change(1, *servers(1)), change(2, *servers(2)), request, Closed(7), change(3, *servers(3)))
    kinds = [event.version if isinstance(event, i.ServerList) else event for event in told.events]
    assert kinds == [2, request, 3]


def gathered(takes_s: float, count: int) -> list[int]:
    """How many servers each change names, when one comes each 10 ms and the decisions take so long for it."""
    clock = trio.testing.MockClock()

    async def main() -> list[int]:
        decisions = Decisions(i.Settings(), 1, Clock())
        told = Told(decisions, lambda: clock.jump(takes_s))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run)
            for number in range(1, count + 1):
                await decisions.tell(change(number, i.ListedServer(number, READY)))
                clock.jump(0.01)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        return [len(event.servers) for event in told.lists]

    return trio.run(main, clock=clock)


def test_a_larger_fleet_gathers_for_longer_and_within_a_bound() -> None:
    small, large, huge = (gathered(takes_s, 120) for takes_s in (0.0, 0.05, 5.0))
    assert sum(small) == sum(large) == sum(huge) == 120
    waiting = 4  # at the most, when gathering begins
    assert max(small) <= waiting + JOIN_S / 0.01
    assert max(small) < max(large) <= waiting + 2 * 0.05 / 0.01
    assert max(large) < max(huge) <= waiting + MOST_JOIN_S / 0.01


def test_gathering_ends_while_changes_keep_coming() -> None:
    """Who waits for a decision must not wait for the end of a flood."""

    async def main() -> tuple[int, int]:
        decisions = Decisions(i.Settings(), 1, Clock())
        told, sent = Told(decisions), 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run)
            while len(told.lists) < 2:
                sent += 1
                await decisions.tell(change(sent, *servers(1)))
                clock.jump(JOIN_S / 10)
            nursery.cancel_scope.cancel()
        return sent, len(told.lists)

    clock = trio.testing.MockClock()
    sent, taken = trio.run(main, clock=clock)
    assert sent < 40 and taken >= 2
