"""Push servers of the model at their limits, and what their ends leave behind."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from modelled_machines import MS, WAY, Fixed, S

from glenfold_lab.model.servers.calls import SILENT_US
from glenfold_lab.model.servers.server import Stage
from glenfold_lab.model.wire import Call
from glenfold_lab.observe import End, Over
from glenfold_lab.spec import Clients

GROUP = 200_000.0  # what a group costs: 2 mean loads


def test_a_set_up_under_way_waits_for_a_jam_to_end_whatever_is_dropped_behind_it() -> None:
    world = Fixed()
    stands, call = world.standing(9)[0], world.call()
    world.run(4 * WAY)
    world.lifecycle.set_stalled(world.server(), True)
    world.run(2 * S)
    assert not world.replies and world.servers.answer_us(stands) is None and world.ends
    world.lifecycle.set_stalled(world.server(), False)
    world.run(100 * MS)
    assert world.replies == {call.request: Over.UP}


def test_full_tables_refuse_and_full_queues_turn_away() -> None:
    world = Fixed()
    world.standing(19, load=0.0)
    calls = [world.call() for _ in range(2)]
    world.run(100 * MS)
    assert [world.replies[call.request] for call in calls] == [Over.UP, Over.REFUSED]
    assert len(world.observed("sent")) == 1  # a line to a refused connection never arrives
    crowd = Fixed()
    calls = [crowd.call() for _ in range(8)]
    crowd.run(1 * S)
    assert [crowd.replies[call.request] for call in calls] == [Over.UP] * 5 + [Over.BUSY] * 3


@pytest.mark.parametrize("late", [2 * WAY, 20 * MS])  # by its arrival, or by the time it is its turn
def test_a_line_whose_deadline_is_past_is_turned_away(late: int) -> None:
    world = Fixed(kind={"queue": 50.0})
    for _ in range(10):
        world.call()
    call = world.call(deadline=world.kernel.now + late)
    world.run(1 * S)
    assert world.replies[call.request] is Over.BUSY
    assert world.took[call.request] == WAY * 2 or late > 2 * WAY


def test_what_a_relay_abandons_takes_no_more_work_and_is_told_once() -> None:
    world = Fixed(kind={"queue": 100.0})
    calls = [world.call() for _ in range(20)]
    world.run(4 * WAY)
    for call in calls[:19]:
        world.servers.close(call)
        world.servers.close(call)
    world.run(1 * S)
    assert list(world.replies) == [calls[19].request]
    assert world.took[calls[19].request] < 50 * MS
    over = [how for _, _, _, how in world.observed("attempt_over")]
    assert over == [Over.ABANDONED] * 19 + [Over.UP]


def test_a_parked_connection_goes_on_where_it_stands_and_nowhere_else() -> None:
    world = Fixed(count=2)
    kept, moved, late = world.standing(3)
    for call in (kept, moved, late):
        world.servers.park(call)
    world.lifecycle.start_drain(world.server())  # draining bars new ones, not those it holds
    again = world.call(connection=kept.connection, mid_flow=True)
    elsewhere = world.call(1, connection=moved.connection, mid_flow=True)
    world.run(4 * S)
    world.servers.park(again)
    world.run(2 * S)
    too_late = world.call(connection=late.connection, mid_flow=True)
    third = world.call(connection=kept.connection, mid_flow=True)  # it has its time again
    world.run(1 * S)
    assert again.resumed and world.took[again.request] < 4 * WAY and third.resumed
    assert world.replies[elsewhere.request] is Over.UP and not elsewhere.resumed
    assert world.replies[too_late.request] is Over.BUSY
    assert not world.server().parked and world.server().demand == 100_000.0


def test_too_much_piled_up_drops_the_heaviest_until_the_rest_fits() -> None:
    world = Fixed()
    light = world.standing(8)
    heavy = world.standing(1, load=500_000.0)[0]
    world.run(10 * S)
    assert world.ends == {heavy.request: End.BROKEN}
    assert all(call.stands for call in light)


def test_lines_that_wait_too_long_are_told_once_and_again_after_it_was_well() -> None:
    world = Fixed(kind={"buffer_s": 9.0})
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


def test_a_crash_resets_what_stands_or_waits_and_refuses_what_comes() -> None:
    world = Fixed()
    stands, waits = world.standing()[0], world.call()
    world.run(4 * WAY + 123)
    for _ in range(2):  # whatever starts it again, it starts once
        world.lifecycle.restart(world.server(), 2 * S)
    comes = world.call()
    world.run(1 * S)
    assert world.ends == {stands.request: End.BROKEN}
    assert world.replies == {waits.request: Over.RESET, comes.request: Over.REFUSED}
    assert world.took[comes.request] == 0  # known as soon as a connection would have been up
    world.run(2 * S)
    (_, (_, again, capacity, cold)), started = world.observed("server_started"), world.server().started
    assert (again, cold, started % MS) == (world.server().machine.number, True, 0)
    assert world.server().warmth(started + 5 * S) == pytest.approx(0.6)
    assert capacity.warm_per_s == pytest.approx(10 * S / world.machinery.parameters.life_us)


def test_a_machine_that_vanishes_says_nothing_until_it_is_back() -> None:
    world = Fixed()
    stands, waits = world.standing()[0], world.call()
    world.run(4 * WAY)
    world.lifecycle.vanish(world.server())
    comes = world.call()
    world.run(2 * S)
    assert not world.replies and not world.ends and not comes.sent_at
    assert world.silent == [stands.request] and world.servers.answer_us(stands) is None
    world.servers.close(waits)
    world.lifecycle.appear(world.server(), world.server().life)
    world.run(2 * S)
    assert stands.stands and world.servers.answer_us(stands) is not None and not world.replies
    assert [how for *_, how in world.observed("attempt_over")] == [Over.ABANDONED]


def test_what_was_planned_for_one_process_does_not_happen_to_the_next() -> None:
    world = Fixed()
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
    assert len(world.observed("server_ended")) == 2  # its second end was seen when it vanished


@pytest.mark.parametrize("cold", [True, False])
def test_only_a_cold_server_falls_over_when_pressed(cold: bool) -> None:
    """A life is 1 s, so it takes 0.2 of 10 a second: 18 in 3 s at three times that, and some by chance."""
    world = Fixed(kind={"cap": 100.0, "queue": 100.0}, clients=Clients(life_s=1.0))
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


def _take(world: Fixed, calls: list[Call], what: str, which: int) -> None:
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
def test_whatever_happens_a_server_holds_just_what_stands(steps: list[tuple[str, int, int]]) -> None:
    world, calls = Fixed(count=2), list[Call]()
    for what, which, wait in steps:
        _take(world, calls, what, which)
        world.run(wait * MS)
        for server in world.servers.all:
            stands = [call for call in calls if call.stands and call.server == server.machine.number]
            assert list(server.standing.values()) == stands
            groups = {call.group for call in [*stands, *server.parked.values()]} - {0}
            assert server.demand == pytest.approx(sum(call.load for call in stands) + GROUP * len(groups))
            assert server.backlog >= 0 and server.held <= server.cap
        assert world.servers.placed.table().sum() == sum(call.stands for call in calls)
    for call in calls:
        world.servers.close(call)
    world.run(10 * S)
    assert not any(server.held or server.demand for server in world.servers.all)
    over = [request for _, request, _, how in world.observed("attempt_over") if how is not Over.REFUSED]
    assert sorted(over) == sorted(request for _, request, *_ in world.observed("sent"))
