"""Consecutive changes of the server list are joined into one, in order with all other messages."""

from collections.abc import Callable

import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from glenfold.clock import Clock
from glenfold.decisions import MAX_JOIN_S, MIN_JOIN_S, Closed, Decisions, Message
from glenfold.rules.list_changes import merge_changes
from linnetspread import interface

READY, DRAINING, GONE = (
    interface.ServerState.READY,
    interface.ServerState.DRAINING,
    interface.ServerState.GONE,
)
STATES = st.sampled_from([READY, DRAINING, GONE])
LINES = st.lists(
    st.builds(interface.ListedServer, st.integers(1, 6), STATES, started_us=st.integers(0, 3)), max_size=5
)


def change(version: int, *lines: interface.ListedServer) -> interface.ServerList:
    return interface.ServerList(interface.ListKind.DELTA, version, tuple(lines))


def full_list(version: int, *lines: interface.ListedServer) -> interface.ServerList:
    return interface.ServerList(interface.ListKind.FULL, version, tuple(lines))


def last_entries(*changes: interface.ServerList) -> dict[int, interface.ListedServer]:
    return {line.server: line for server_list in changes for line in server_list.servers}


@given(LINES, LINES)
def test_two_joined_changes_hold_the_last_entry_of_each_server(first, second) -> None:
    one, other = change(1, *first), change(2, *second)
    both = merge_changes(one, other)
    assert both is not None
    assert both.version == 2
    assert {line.server: line for line in both.servers} == last_entries(one, other)
    assert len(both.servers) == len(last_entries(one, other))


def test_a_whole_list_and_a_failure_are_not_joined() -> None:
    failure = interface.ServerList(interface.ListKind.FAILED)
    assert merge_changes(change(1), full_list(2)) is None
    assert merge_changes(full_list(1), change(2)) is None
    assert merge_changes(change(1), failure) is None


class Recorder:
    """Records the events that the decisions handle, in order; `on_event` is called for each."""

    def __init__(self, decisions: Decisions, on_event: Callable[[], object] = lambda: None) -> None:
        self.events: list[interface.Event] = []
        self._on_event = on_event
        balancer, self._handle = decisions.dispatch.balancer, decisions.dispatch.balancer.handle
        balancer.handle = self.handle  # type: ignore[method-assign]

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        self.events.append(event)
        self._on_event()
        return self._handle(now, event)

    @property
    def lists(self) -> list[interface.ServerList]:
        return [event for event in self.events if isinstance(event, interface.ServerList)]


def record(*messages: Message, interval_s: float = 0.0) -> Recorder:
    """Returns the recorded events when another task submits `messages`, one in a turn of the event loop."""

    async def main() -> Recorder:
        decisions = Decisions(interface.Settings(), 1, Clock())
        recorder = Recorder(decisions)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run)
            for message in messages:
                await decisions.submit(message)
                if interval_s:
                    await trio.sleep(interval_s)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        return recorder

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def servers(count: int) -> list[interface.ListedServer]:
    return [interface.ListedServer(number, READY) for number in range(1, count + 1)]


def test_a_zone_that_leaves_server_by_server_is_joined_into_few_changes() -> None:
    fleet = servers(200)
    changes = [change(2 + n, interface.ListedServer(line.server, GONE)) for n, line in enumerate(fleet[:100])]
    recorder = record(full_list(1, *fleet), *changes)
    assert len(recorder.lists) <= 3
    assert recorder.lists[0].kind is interface.ListKind.FULL
    assert {line.server for after in recorder.lists[1:] for line in after.servers} == set(range(1, 101))
    assert recorder.lists[-1].version == 101


def test_changes_at_long_intervals_are_not_joined() -> None:
    changes = [change(n, interface.ListedServer(n, READY)) for n in range(1, 6)]
    assert record(*changes, interval_s=2 * MIN_JOIN_S).lists == changes


def test_a_message_between_changes_is_handled_between_them() -> None:
    request = interface.ClientLeft(7)
    recorder = record(
        change(1, *servers(1)), change(2, *servers(2)), request, Closed(7), change(3, *servers(3))
    )
    kinds = [event.version if isinstance(event, interface.ServerList) else event for event in recorder.events]
    assert kinds == [2, request, 3]


def joined_sizes(handling_s: float, count: int) -> list[int]:
    """Returns the number of servers in each change that the decisions handle.

    A change is submitted every 10 ms, and the decisions need `handling_s` for each that they handle.
    """
    clock = trio.testing.MockClock()

    async def main() -> list[int]:
        decisions = Decisions(interface.Settings(), 1, Clock())
        recorder = Recorder(decisions, lambda: clock.jump(handling_s))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run)
            for number in range(1, count + 1):
                await decisions.submit(change(number, interface.ListedServer(number, READY)))
                clock.jump(0.01)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        return [len(event.servers) for event in recorder.lists]

    return trio.run(main, clock=clock)


def test_slower_handling_joins_for_longer_within_a_bound() -> None:
    small, large, huge = (joined_sizes(handling_s, 120) for handling_s in (0.0, 0.05, 5.0))
    assert sum(small) == sum(large) == sum(huge) == 120
    queued = 4  # most changes in the queue when joining starts
    assert max(small) <= queued + MIN_JOIN_S / 0.01
    assert max(small) < max(large) <= queued + 2 * 0.05 / 0.01
    assert max(large) < max(huge) <= queued + MAX_JOIN_S / 0.01


def test_joining_ends_while_changes_keep_arriving() -> None:
    """A request that waits for a decision must not wait until a flood of changes ends."""

    async def main() -> tuple[int, int]:
        decisions = Decisions(interface.Settings(), 1, Clock())
        recorder, sent = Recorder(decisions), 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run)
            while len(recorder.lists) < 2:
                sent += 1
                await decisions.submit(change(sent, *servers(1)))
                clock.jump(MIN_JOIN_S / 10)
            nursery.cancel_scope.cancel()
        return sent, len(recorder.lists)

    clock = trio.testing.MockClock()
    sent, list_count = trio.run(main, clock=clock)
    assert sent < 40 and list_count >= 2
