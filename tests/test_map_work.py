"""Changes of the map of a large fleet, in steps between which lines flow and requests are placed."""

import tracemalloc
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import replace
from functools import partial

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from glenfold.clock import Clock
from glenfold.decisions import Closed, Decisions, Taken
from glenfold.dispatch import RequestAction
from linnetspread import Balancer, interface
from linnetspread.anchor import Anchor
from linnetspread.hashing import SEEDS, mix
from linnetspread.map_update import CLAIMS_PER_STEP

READY, GONE = interface.ServerState.READY, interface.ServerState.GONE
WEIGHTED = interface.Settings(weighted=True)
MAX_BUCKETS = 512  # of one server: 32 for each of up to 16 weight units
# The order of tasks within a turn is random, so that two steps may come between two turns of one task.
MAX_CLAIMS_PER_TURN = 2 * (CLAIMS_PER_STEP + MAX_BUCKETS)
KEYS = [mix(number) for number in range(1, 300)]
# With 192 MB, less 64 MB for the relay with its connections, and 3,200 servers that claim 512 buckets each.
MAX_BYTES_PER_CLAIM = (192 - 64) * 1e6 / (3200 * MAX_BUCKETS)


def fleet(count: int, shares: tuple[float, ...]) -> list[interface.ListedServer]:
    return [
        interface.ListedServer(mix(number) >> 32, READY, shares[number % len(shares)])
        for number in range(1, count + 1)
    ]


def full_list(version: int, servers: list[interface.ListedServer]) -> interface.ServerList:
    return interface.ServerList(interface.ListKind.FULL, version, tuple(servers))


def change(version: int, servers: list[interface.ListedServer]) -> interface.ServerList:
    return interface.ServerList(interface.ListKind.DELTA, version, tuple(servers))


def gone(servers: list[interface.ListedServer]) -> list[interface.ListedServer]:
    return [replace(server, state=GONE) for server in servers]


class ClaimCounter:
    """Counts the claims that anchors add and remove."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.claims = 0
        add, remove = Anchor.add, Anchor.remove

        def counting_add(anchor: Anchor, server: int, count: int) -> None:
            self.claims += count
            add(anchor, server, count)

        def counting_remove(anchor: Anchor, server: int) -> None:
            self.claims += len(anchor.buckets_of[server])
            remove(anchor, server)

        monkeypatch.setattr(Anchor, "add", counting_add)
        monkeypatch.setattr(Anchor, "remove", counting_remove)


def has_map_of(decisions: Decisions, version: int) -> bool:
    """Whether the map is complete for the list of this version."""
    return decisions.dispatch.balancer.version == version and decisions.has_map


async def largest_turn(counter: ClaimCounter, is_over: Callable[[], bool]) -> int:
    """Returns the most claims that are changed between two turns of another task of the event loop."""
    largest, before = 0, counter.claims
    while not is_over():
        await trio.lowlevel.checkpoint()
        largest, before = max(largest, counter.claims - before), counter.claims
    return largest


# Guards against a relay that stands still for seconds when a zone of a large fleet leaves (incident 20).
@pytest.mark.parametrize(
    ("count", "shares"), [(60, (8.0, 12.0, 15.0)), (400, (0.8, 1.0, 1.5)), (150, (7.9, 1.0, 3.0))]
)
def test_a_turn_of_the_event_loop_changes_no_more_claims_than_a_step(
    monkeypatch: pytest.MonkeyPatch, count: int, shares: tuple[float, ...]
) -> None:
    counter = ClaimCounter(monkeypatch)
    servers = fleet(count, shares)
    zone = servers[::2]
    lists = [
        full_list(1, servers),
        change(2, gone(zone)),
        change(3, [replace(server, started_us=5) for server in zone]),
        full_list(4, [replace(server, weight=2.2 * server.weight) for server in servers]),  # another unit
    ]

    async def main() -> None:
        decisions = Decisions(WEIGHTED, 1, Clock())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run)
            for server_list in lists:
                before = counter.claims
                await decisions.submit(server_list)
                turn = await largest_turn(counter, partial(has_map_of, decisions, server_list.version))
                assert 0 < turn <= MAX_CLAIMS_PER_TURN < counter.claims - before
            nursery.cancel_scope.cancel()

    trio.run(main)


class Requests:
    """Submits requests to the decisions and notes what is decided on them."""

    def __init__(self, decisions: Decisions) -> None:
        self._decisions = decisions
        self._number = 0

    async def ask(self) -> RequestAction:
        """Returns the action on a new request."""
        self._number += 1
        sender, receiver = trio.open_memory_channel[RequestAction](4)
        request = interface.Request(self._number, 2_000_000, mix(self._number), mix(self._number))
        await self._decisions.submit(Taken(request, sender))
        action = await receiver.receive()
        await self._decisions.submit(interface.ClientLeft(self._number))
        await self._decisions.submit(Closed(self._number))
        return action


@contextmanager
def endless_map_work(monkeypatch: pytest.MonkeyPatch, decisions: Decisions):
    """Holds the work on the map back; yields the function that lets it go on."""
    real, held = Balancer.work_on_map, [True]
    monkeypatch.setattr(Balancer, "work_on_map", lambda balancer: None if held[0] else real(balancer))
    yield lambda: held.__setitem__(0, False)


# Guards against requests that are answered late, as they wait for the map of a large fleet.
def test_requests_are_placed_on_servers_that_stay_while_the_map_is_worked_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    servers = fleet(40, (1.0,))

    async def main() -> None:
        decisions = Decisions(WEIGHTED, 1, Clock())
        requests = Requests(decisions)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run)
            await decisions.submit(full_list(1, servers))
            assert isinstance(await requests.ask(), interface.Attempt)
            with endless_map_work(monkeypatch, decisions):
                await decisions.submit(change(2, gone(servers[:10])))
                left = {server.server for server in servers[:10]}
                with trio.fail_after(5.0):
                    for _ in range(100):
                        action = await requests.ask()
                        assert isinstance(action, interface.Attempt) and action.server not in left
                assert decisions.dispatch.balancer.has_map_work
            nursery.cancel_scope.cancel()

    trio.run(main)


# Guards against requests that are refused though servers are ready, as the map has none of them yet.
@pytest.mark.parametrize("before", [0, 30])
def test_requests_wait_for_a_map_that_has_a_ready_server(
    monkeypatch: pytest.MonkeyPatch, before: int
) -> None:
    servers = fleet(60, (1.0,))

    async def main() -> None:
        decisions = Decisions(WEIGHTED, 1, Clock())
        requests, actions = Requests(decisions), list[RequestAction]()

        async def ask() -> None:
            actions.append(await requests.ask())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run)
            if before:
                await decisions.submit(full_list(1, servers[:before]))
                assert isinstance(await requests.ask(), interface.Attempt)
            with endless_map_work(monkeypatch, decisions) as release:
                await decisions.submit(full_list(2, servers[before:]))
                while not decisions.dispatch.balancer.has_map_work:
                    await trio.lowlevel.checkpoint()
                nursery.start_soon(ask)
                for _ in range(200):
                    await trio.lowlevel.checkpoint()
                assert not actions
                release()
                with trio.fail_after(5.0):
                    while not actions:
                        await trio.lowlevel.checkpoint()
            assert isinstance(actions[0], interface.Attempt)
            nursery.cancel_scope.cancel()

    trio.run(main)


CHANGES = st.lists(
    st.tuples(
        st.lists(st.tuples(st.integers(0, 15), st.booleans(), st.sampled_from([1.0, 3.0, 9.0])), max_size=6),
        st.integers(0, 6),
    ),
    max_size=6,
)


# Guards against a map that depends on what a relay did while it worked on it.
@settings(max_examples=60, deadline=None)
@given(CHANGES)
def test_lists_that_come_while_the_map_is_worked_on_lead_to_the_map_of_the_last_one(changes) -> None:
    servers = [replace(server, started_us=0) for server in fleet(16, (1.0, 9.0))]
    stepwise, whole = Balancer(WEIGHTED, 1), Balancer(WEIGHTED, 1)
    stepwise.defers_map = True
    lists = [full_list(1, servers)]
    for version, (entries, _) in enumerate(changes, 2):
        listed = [
            replace(servers[n], state=READY if ready else GONE, weight=weight) for n, ready, weight in entries
        ]
        lists.append(change(version, listed))
    for server_list, steps in zip(lists, [0, *(steps for _, steps in changes)], strict=True):
        stepwise.handle(server_list.version, server_list)
        whole.handle(server_list.version, server_list)
        for _ in range(steps):
            stepwise.work_on_map()
    while stepwise.has_map_work:
        stepwise.work_on_map()
    assert stepwise.map_buckets == whole.map_buckets and stepwise.weight_unit == whole.weight_unit
    assert [stepwise.anchor.lookup(key, SEEDS[0]) for key in KEYS] == [
        whole.anchor.lookup(key, SEEDS[0]) for key in KEYS
    ]
    assert stepwise.servers.keys() == whole.servers.keys()


def test_a_copied_anchor_changes_on_its_own() -> None:
    anchor = Anchor([(server, 300) for server in range(8)])
    before = [anchor.lookup(key, SEEDS[0]) for key in KEYS]
    copy = anchor.copy()
    copy.remove(3)
    copy.add(9, 500)
    assert [anchor.lookup(key, SEEDS[0]) for key in KEYS] == before
    rebuilt = Anchor([(server, 300) for server in range(8) if server != 3] + [(9, 500)])
    assert [copy.lookup(key, SEEDS[0]) for key in KEYS] == [rebuilt.lookup(key, SEEDS[0]) for key in KEYS]


# Guards against a map that takes a relay over its limit of memory, as lists give shares in cores.
def test_the_memory_of_a_map_is_within_the_limit_of_a_relay() -> None:
    servers = fleet(300, (15.0,))
    tracemalloc.start()
    try:
        Balancer(WEIGHTED, 1).handle(1, full_list(1, servers))
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes / (300 * 480) <= MAX_BYTES_PER_CLAIM
