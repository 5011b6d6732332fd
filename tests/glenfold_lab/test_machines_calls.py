"""Limits of the model's push servers, and the state after a server ends."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from modelled_machines import MS, ONE_WAY_US, FixedMachines, S

from glenfold_lab.model.servers.calls import SILENT_US
from glenfold_lab.model.servers.server import Stage
from glenfold_lab.model.wire import Call
from glenfold_lab.observe import AttemptOutcome, End
from glenfold_lab.spec import Clients

GROUP = 200_000.0  # Load of a group: 2 mean loads.


def test_a_set_up_finishes_after_a_stall_even_if_later_work_is_dropped() -> None:
    world = FixedMachines()
    stands, call = world.standing(9)[0], world.call()
    world.run(4 * ONE_WAY_US)
    world.lifecycle.set_stalled(world.server(), True)
    world.run(2 * S)
    assert not world.replies and world.servers.answer_us(stands) is None and world.ends
    world.lifecycle.set_stalled(world.server(), False)
    world.run(100 * MS)
    assert world.replies == {call.request: AttemptOutcome.UP}


def test_a_full_table_refuses_connections_and_a_full_queue_answers_busy() -> None:
    world = FixedMachines()
    world.standing(19, load=0.0)
    calls = [world.call() for _ in range(2)]
    world.run(100 * MS)
    assert [world.replies[call.request] for call in calls] == [AttemptOutcome.UP, AttemptOutcome.REFUSED]
    assert len(world.observed("sent")) == 1  # A line on a refused connection never arrives.
    busy = FixedMachines()
    calls = [busy.call() for _ in range(8)]
    busy.run(1 * S)
    assert [busy.replies[call.request] for call in calls] == [AttemptOutcome.UP] * 5 + [
        AttemptOutcome.BUSY
    ] * 3


# The deadline passes before the arrival, or while queued.
@pytest.mark.parametrize("late", [2 * ONE_WAY_US, 20 * MS])
def test_a_line_after_its_deadline_is_answered_busy(late: int) -> None:
    world = FixedMachines(kind={"queue": 50.0})
    for _ in range(10):
        world.call()
    call = world.call(deadline=world.kernel.now + late)
    world.run(1 * S)
    assert world.replies[call.request] is AttemptOutcome.BUSY
    assert world.answer_times[call.request] == ONE_WAY_US * 2 or late > 2 * ONE_WAY_US


def test_abandoned_attempts_take_no_more_work_and_are_reported_once() -> None:
    world = FixedMachines(kind={"queue": 100.0})
    calls = [world.call() for _ in range(20)]
    world.run(4 * ONE_WAY_US)
    for call in calls[:19]:
        world.servers.close(call)
        world.servers.close(call)
    world.run(1 * S)
    assert list(world.replies) == [calls[19].request]
    assert world.answer_times[calls[19].request] < 50 * MS
    over = [how for _, _, _, how in world.observed("attempt_over")]
    assert over == [AttemptOutcome.ABANDONED] * 19 + [AttemptOutcome.UP]


def test_a_parked_connection_resumes_only_at_its_own_server() -> None:
    world = FixedMachines(count=2)
    kept, moved, late = world.standing(3)
    for call in (kept, moved, late):
        world.servers.park(call)
    world.lifecycle.start_drain(world.server())  # A draining server refuses new connections only.
    again = world.call(connection=kept.connection, mid_flow=True)
    elsewhere = world.call(1, connection=moved.connection, mid_flow=True)
    world.run(4 * S)
    world.servers.park(again)
    world.run(2 * S)
    too_late = world.call(connection=late.connection, mid_flow=True)
    third = world.call(connection=kept.connection, mid_flow=True)  # Parking again restarts the parking time.
    world.run(1 * S)
    assert again.resumed and world.answer_times[again.request] < 4 * ONE_WAY_US and third.resumed
    assert world.replies[elsewhere.request] is AttemptOutcome.UP and not elsewhere.resumed
    assert world.replies[too_late.request] is AttemptOutcome.BUSY
    assert not world.server().parked and world.server().demand == 100_000.0


def test_a_full_backlog_drops_the_heaviest_connections_until_the_rest_fits() -> None:
    world = FixedMachines()
    light = world.standing(8)
    heavy = world.standing(1, load=500_000.0)[0]
    world.run(10 * S)
    assert world.ends == {heavy.request: End.BROKEN}
    assert all(call.is_standing for call in light)


def test_unanswered_lines_are_reported_once_per_period_of_silence() -> None:
    world = FixedMachines(kind={"buffer_s": 9.0})
    call = world.standing()[0]
    for _ in range(2):
        world.server().backlog = SILENT_US / S * 1.3e6
        world.run(1 * S)
        assert (world.servers.answer_us(call) or 0) < SILENT_US
    assert world.silent == [call.request] * 2
    world.servers.change_load(call, 3e6)
    world.run(2 * S)
    late = world.call(deadline=world.kernel.now + 9 * S)
    world.run(7 * S)
    assert world.silent == [call.request] * 3 + [late.request]


def test_a_crash_resets_connections_and_attempts_and_refuses_new_ones() -> None:
    world = FixedMachines()
    stands, waits = world.standing()[0], world.call()
    world.run(4 * ONE_WAY_US + 123)
    for _ in range(2):  # Two restarts still start the server once.
        world.lifecycle.restart(world.server(), 2 * S)
    comes = world.call()
    world.run(1 * S)
    assert world.ends == {stands.request: End.BROKEN}
    assert world.replies == {waits.request: AttemptOutcome.RESET, comes.request: AttemptOutcome.REFUSED}
    # The refusal arrives when the connection would have been up.
    assert world.answer_times[comes.request] == 0
    world.run(2 * S)
    (_, (_, again, capacity, cold)), started = world.observed("server_started"), world.server().started
    assert (again, cold, started % MS) == (world.server().machine.number, True, 0)
    assert world.server().warmth(started + 5 * S) == pytest.approx(0.6)
    assert capacity.warm_per_s == pytest.approx(10 * S / world.machinery.parameters.life_us)


def test_a_vanished_machine_sends_nothing_until_it_is_back() -> None:
    world = FixedMachines()
    stands, waits = world.standing()[0], world.call()
    world.run(4 * ONE_WAY_US)
    world.lifecycle.vanish(world.server())
    comes = world.call()
    world.run(2 * S)
    assert not world.replies and not world.ends and not comes.sent_at
    assert world.silent == [stands.request] and world.servers.answer_us(stands) is None
    world.servers.close(waits)
    world.lifecycle.appear(world.server(), world.server().life)
    world.run(2 * S)
    assert stands.is_standing and world.servers.answer_us(stands) is not None and not world.replies
    assert [how for *_, how in world.observed("attempt_over")] == [AttemptOutcome.ABANDONED]


def test_events_planned_for_one_process_do_not_apply_to_the_next() -> None:
    world = FixedMachines()
    server, life = world.server(), world.server().life
    world.lifecycle.drain(server, 2 * S)
    world.lifecycle.restart(server, 1 * S)
    world.run(3 * S)
    assert server.stage is Stage.RUNS
    world.lifecycle.start_drain(server)
    world.lifecycle.cancel_drain(server, life)
    assert server.stage is Stage.DRAINS
    world.lifecycle.vanish(server)
    world.lifecycle.appear(server, life)
    assert server.silent
    world.lifecycle.end(server)
    assert len(world.observed("server_ended")) == 2  # Its second end was reported when it vanished.


@pytest.mark.parametrize("cold", [True, False])
def test_only_a_cold_server_fails_when_overloaded(cold: bool) -> None:
    """A cold server fails under too many connections.

    With a lifetime of 1 s the server takes 0.2 of 10 connections per second. Three times that rate is 18 in 3
    s, plus a margin for random variation.
    """
    world = FixedMachines(kind={"cap": 100.0, "queue": 100.0}, clients=Clients(life_s=1.0))
    if cold:
        world.lifecycle.restart(world.server(), 0)
        world.run(1 * MS)
    for _ in range(40):
        world.call(load=0.0)
        world.run(5 * MS)
    world.run(2 * S)
    fell = [one.what for one in world.machinery.happened]
    assert fell == (["fell_over"] if cold else [])
    assert world.server().running is not cold


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "call",
                "call",
                "call",
                "close",
                "park",
                "return",
                "load",
                "crash",
                "drain",
                "vanish",
                "appear",
                "jam",
            ]
        ),
        st.integers(0, 999),
        st.integers(0, 300),
    ),
    max_size=60,
)


def _apply_step(world: FixedMachines, calls: list[Call], what: str, which: int) -> None:
    server, lifecycle = world.server(which % 2), world.lifecycle
    if what == "call" or not calls:
        calls.append(world.call(which % 2, load=1000.1 * (which % 97), group=which % 4))
    call = calls[which % len(calls)]
    match what:
        case "return":
            calls.append(world.call(which % 2, connection=call.connection, group=call.group, mid_flow=True))
        case "load":
            world.servers.change_load(call, 1000.1 * (which % 89))
        case "close" | "park":
            getattr(world.servers, what)(call)
        case "crash":
            lifecycle.restart(server, 100 * MS)
        case "drain":
            lifecycle.drain(server, 400 * MS)
        case "vanish":
            lifecycle.vanish(server)
        case "appear":
            lifecycle.appear(server, server.life)
        case "jam":
            lifecycle.set_stalled(server, which % 3 == 0)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(STEPS)
def test_a_server_always_holds_exactly_the_standing_connections(steps: list[tuple[str, int, int]]) -> None:
    world, calls = FixedMachines(count=2), list[Call]()
    for what, which, wait in steps:
        _apply_step(world, calls, what, which)
        world.run(wait * MS)
        for server in world.servers.all:
            stands = [call for call in calls if call.is_standing and call.server == server.machine.number]
            # Two calls that are made at one moment may reach a server in either order.
            assert server.standing == {call.request: call for call in stands}
            groups = {call.group for call in [*stands, *server.parked.values()]} - {0}
            assert server.demand == pytest.approx(sum(call.load for call in stands) + GROUP * len(groups))
            assert server.backlog >= 0 and server.held <= server.cap
        assert world.servers.placed.table().sum() == sum(call.is_standing for call in calls)
    for call in calls:
        world.servers.close(call)
    world.run(10 * S)
    assert not any(server.held or server.demand for server in world.servers.all)
    over = [
        request for _, request, _, how in world.observed("attempt_over") if how is not AttemptOutcome.REFUSED
    ]
    assert sorted(over) == sorted(request for _, request, *_ in world.observed("sent"))
