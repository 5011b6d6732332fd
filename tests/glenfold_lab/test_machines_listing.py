"""The lists that each relay of the model receives, and when the relay counts as notified."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from modelled_machines import MS, FixedMachines, S

from glenfold.destinations import BadList, DestinationSet
from glenfold_lab.model.fleet import Fleet
from glenfold_lab.model.listing.shared_destinations import SharedDestinations
from glenfold_lab.model.listing.versions import Entry, Versions, make_names
from glenfold_lab.observe import ListedState
from glenfold_lab.spec import RequestClass, Scenario, Servers
from glenfold_lab.streams import Streams
from linnetspread.interface import ListKind, ServerList, ServerState

NOTICE_US = 2500 * MS + 50 * MS  # Latest time until a change is noticed, gathered and sent.


class RelayZero:
    """Relay 0 of a model and the lists that it receives."""

    def __init__(self, seed: int = 1, **listed: Any) -> None:
        self.world = FixedMachines(count=3, seed=seed, listed=listed)
        self.numbers = [server.machine.number for server in self.world.servers.all]
        self.up()

    def up(self) -> None:
        self.received: list[ServerList] = []
        self.world.machinery.listing.relay_up(0, self.received.append)

    def kinds(self) -> list[ListKind]:
        return [servers.kind for servers in self.received]

    def states(self, which: int = -1) -> dict[int, ServerState]:
        return {self.numbers.index(line.server): line.state for line in self.received[which].servers}

    def drain(self, server: int) -> None:
        self.world.lifecycle.start_drain(self.world.server(server))

    def notified(self, server: int) -> list[tuple[float, ListedState]]:
        """Returns the notifications after the start, in seconds from the start of the history."""
        return [
            ((at - self.world.kernel.start) / S, state)
            for at, _, number, state, _ in self.world.observed("told")
            if number == self.numbers[server] and at > self.world.kernel.start
        ]


def test_changes_are_noticed_gathered_and_reported_on_arrival() -> None:
    relay = RelayZero(doubled=1.0)
    assert relay.kinds() == [ListKind.CACHED] and len(relay.received[0].servers) == 3
    relay.world.run(100 * MS)
    relay.drain(0)
    relay.world.run(300 * MS)
    relay.drain(1)
    relay.world.run(NOTICE_US)
    assert relay.kinds() == [ListKind.CACHED, ListKind.DELTA, ListKind.DELTA]  # Every change arrives twice.
    assert relay.states() == {0: ServerState.DRAINING, 1: ServerState.DRAINING}
    ((at, state),) = relay.notified(0)
    assert state is ListedState.DRAINING and 2.5 <= at <= 2.55


def test_a_restart_noticed_first_is_not_undone_by_the_earlier_end() -> None:
    relay = RelayZero()
    relay.world.lifecycle.restart(relay.world.server(0), 500 * MS)
    relay.world.run(8 * S)
    started = relay.world.server(0).started
    assert [(one.state, one.started_us) for servers in relay.received[1:] for one in servers.servers] == [
        (ServerState.READY, started)
    ]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("fault", [{"lost": 0.5}, {"late": 0.5, "late_s": 1.0}])
def test_no_change_arrives_before_earlier_lost_or_late_changes(seed: int, fault: dict[str, float]) -> None:
    """A lost change is detected by the next change, or by the next heartbeat of discovery."""
    relay = RelayZero(seed, period_ms=100.0, **fault)
    relay.drain(0)
    relay.world.run(500 * MS)
    relay.drain(1)
    relay.world.run(6 * S)
    draining: set[int] = set()
    for which in range(1, len(relay.received)):
        draining |= {n for n, state in relay.states(which).items() if state is ServerState.DRAINING}
        assert draining != {1}
    assert draining == {0, 1} and ("lost" in fault or ListKind.FULL not in relay.kinds())


def test_a_change_out_of_order_ends_the_watch_and_a_full_list_follows() -> None:
    relay = RelayZero(out_of_order=1.0, period_ms=100.0)
    relay.drain(0)
    relay.world.run(1500 * MS)  # A return is noticed 1 s sooner than a drain.
    relay.world.lifecycle.cancel_drain(relay.world.server(0), relay.world.server(0).life)
    relay.world.run(6 * S)
    assert relay.kinds() == [ListKind.CACHED, ListKind.DELTA, ListKind.FULL]
    assert relay.states() == dict.fromkeys(range(3), ServerState.READY)
    assert [state for _, state in relay.notified(0)] == [ListedState.READY]


def test_a_relay_counts_as_notified_of_a_change_that_arrives_too_late() -> None:
    relay = RelayZero(late=1.0, late_s=9.0)
    relay.drain(0)
    relay.world.run(10 * S)
    relay.world.machinery.listing.relay_down(0)
    relay.up()  # The cached list does not contain the drain.
    relay.world.run(10 * S)
    times = [at for at, state in relay.notified(0) if state is ListedState.DRAINING]
    assert times[:2] == [8.5, 10.0] and 11 <= times[2] <= 11.6


def test_a_watch_restarts_after_a_long_silence_and_continues_after_a_short_one() -> None:
    for before, silent, kind in ((1 * S, 2 * S, ListKind.DELTA), (0, 9 * S, ListKind.FULL)):
        relay = RelayZero()
        relay.drain(0)
        relay.world.run(before)
        relay.world.machinery.listing.silence(silent)
        relay.world.run(silent - 1)
        assert relay.kinds() == [ListKind.CACHED]
        relay.world.run(1 * S)
        assert relay.kinds() == [ListKind.CACHED, kind]
        assert relay.notified(0)[0][0] == (3.0 if before else 8.5)


def test_a_relay_starts_with_its_cached_list_and_receives_what_its_agent_holds() -> None:
    relay = RelayZero()
    relay.drain(0)
    relay.world.run(NOTICE_US)
    relay.world.machinery.listing.relay_down(0)
    relay.drain(1)
    relay.world.lifecycle.end(relay.world.server(0))
    relay.world.run(4 * S)
    before = len(relay.notified(1))
    relay.up()
    assert relay.kinds() == [ListKind.CACHED]
    assert relay.states() == {0: ServerState.DRAINING, 1: ServerState.READY, 2: ServerState.READY}
    # The agent held the change, so the relay counts as notified.
    assert before == 0 and relay.notified(1)[-1][1] is ListedState.DRAINING
    assert relay.notified(0)[-1][1] is ListedState.GONE
    relay.world.run(10 * MS)
    assert relay.kinds() == [ListKind.CACHED, ListKind.FULL]
    assert relay.states() == {1: ServerState.DRAINING, 2: ServerState.READY}


ENTRIES = st.lists(
    st.tuples(st.integers(0, 4), st.sampled_from(list(ListedState)), st.integers(0, 3)),
    min_size=1,
    max_size=3,
)
READS = st.lists(st.tuples(st.integers(0, 2), st.integers(1, 8), st.booleans(), st.booleans()), max_size=30)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(ENTRIES, min_size=7, max_size=7), READS)
def test_relays_with_shared_destinations_receive_the_same_lists_as_alone(
    changes: list[list[tuple[int, ListedState, int]]], reads: list[tuple[int, int, bool, bool]]
) -> None:
    """Holds for any lists in any order, including stale lists and starts from old lists."""
    scenario = Scenario(
        format=1, name="t", guards_against="-", classes=(RequestClass(name="c"),), servers=Servers(count=5)
    )
    names, machines = make_names(scenario), Fleet(scenario, Streams(1)).machines
    versions = Versions(scenario.zones.names, [Entry(machine, ListedState.READY, 0) for machine in machines])
    for change in changes:
        entries = {n: Entry(machines[n], state, started * S) for n, state, started in change}
        versions.add(list(entries.values()))
    no_lists = SharedDestinations.empty(names)
    shared, alone = [no_lists] * 3, [DestinationSet(names) for _ in range(3)]
    for relay, number, is_full, starts in reads:
        version = min(number, versions.last)
        if starts:
            shared[relay], alone[relay] = no_lists, DestinationSet(names)
        document = versions.full_list(version) if is_full or version == 1 else versions.change(version)
        try:
            expected = alone[relay].read(document, cached=starts)
        except BadList:
            with pytest.raises(BadList):
                shared[relay].read(document, cached=starts)
        else:
            shared[relay] = shared[relay].read(document, cached=starts)
            assert shared[relay].server_list == expected
