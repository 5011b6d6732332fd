"""Push servers of the model at their limits, and what their ends leave behind."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from modelled_machines import MS, WAY, Fixed, S

from glenfold_lab.model.servers.calls import SILENT_US
from glenfold_lab.observe import End, Over
from glenfold_lab.spec import Clients

GROUP = 200_000.0  # what a group costs: 2 mean loads


def test_a_set_up_waits_for_what_is_piled_up_and_its_own_work() -> None:
    world = Fixed(kind={"queue": 100.0})
    calls = [world.call() for _ in range(20)]
    world.run(2 * S)
    took = [world.back.took[call.request] for call in calls]
    assert took == sorted(took)
    assert 0.5 * 20 * 10 * MS < took[-1] < 2 * 20 * 10 * MS  # a server without a queue would take 10 ms


def test_a_set_up_under_way_waits_for_a_jam_to_end() -> None:
    world = Fixed()
    call = world.call()
    world.run(4 * WAY)
    world.lives.jam(world.server(), True)
    world.run(1 * S)
    assert not world.back.replies and world.servers.answer_us(world.standing()[0]) is None
    world.lives.jam(world.server(), False)
    world.run(100 * MS)
    assert world.back.replies == {call.request: Over.UP}


def test_full_tables_refuse_and_full_queues_turn_away() -> None:
    world = Fixed()
    world.standing(19, load=0.0)
    calls = [world.call() for _ in range(2)]
    world.run(100 * MS)
    assert [world.back.replies[call.request] for call in calls] == [Over.UP, Over.REFUSED]
    assert len(world.observed("sent")) == 1  # a line to a refused connection never arrives
    crowd = Fixed()
    calls = [crowd.call() for _ in range(8)]
    crowd.run(1 * S)
    assert [crowd.back.replies[call.request] for call in calls] == [Over.UP] * 5 + [Over.BUSY] * 3


@pytest.mark.parametrize("late", [2 * WAY, 20 * MS])  # by its arrival, or by the time it is its turn
def test_a_line_whose_deadline_is_past_is_turned_away(late: int) -> None:
    world = Fixed(kind={"queue": 50.0})
    for _ in range(10):
        world.call()
    call = world.call(deadline=world.kernel.now + late)
    world.run(1 * S)
    assert world.back.replies[call.request] is Over.BUSY


def test_what_a_relay_abandons_takes_no_more_work_and_is_told_once() -> None:
    world = Fixed(kind={"queue": 100.0})
    calls = [world.call() for _ in range(20)]
    world.run(4 * WAY)
    for call in calls[:19]:
        world.servers.close(call)
        world.servers.close(call)
    world.run(1 * S)
    assert list(world.back.replies) == [calls[19].request]
    assert world.back.took[calls[19].request] < 50 * MS
    over = [how for _, _, _, how in world.observed("attempt_over")]
    assert over == [Over.ABANDONED] * 19 + [Over.UP]


def test_a_close_that_races_the_answer_leaves_nothing_standing() -> None:
    world = Fixed()
    call = world.call()
    while not call.stands:
        world.run(100)
    world.servers.close(call)
    world.run(1 * S)
    assert not world.back.replies and not world.server().standing
    assert [how for *_, how in world.observed("attempt_over")] == [Over.UP]
    assert not world.servers.placed.table().any()


def test_a_group_costs_its_server_once_and_leaves_with_its_last() -> None:
    world = Fixed()
    first, second = world.standing(2, group=7)
    assert world.server().demand == 200_000.0 + GROUP
    world.servers.close(first)
    assert world.server().demand == 100_000.0 + GROUP
    world.servers.close(second)
    assert world.server().demand == 0.0


def test_a_parked_connection_goes_on_where_it_stands_and_nowhere_else() -> None:
    world = Fixed(count=2)
    kept, moved, late = world.standing(3)
    for call in (kept, moved, late):
        world.servers.park(call)
    world.lives.turn_away(world.server())  # draining bars new ones, not those it holds
    again = world.call(connection=kept.connection, mid_flow=True)
    elsewhere = world.call(1, connection=moved.connection, mid_flow=True)
    world.run(5 * S + 1)
    too_late = world.call(connection=late.connection, mid_flow=True)
    world.run(1 * S)
    assert again.resumed and world.back.took[again.request] < 4 * WAY
    assert world.back.replies[elsewhere.request] is Over.UP and not elsewhere.resumed
    assert world.back.replies[too_late.request] is Over.BUSY
    assert not world.server().parked and world.server().demand == 100_000.0


def test_too_much_piled_up_drops_the_heaviest_until_the_rest_fits() -> None:
    world = Fixed()
    light = world.standing(8)
    heavy = world.standing(1, load=500_000.0)[0]
    world.run(10 * S)
    assert world.back.ends == {heavy.request: End.BROKEN}
    assert all(call.stands for call in light)


def test_lines_that_wait_too_long_are_told_once_and_again_after_it_was_well() -> None:
    world = Fixed(kind={"buffer_s": 3.0})
    call = world.standing()[0]
    for _ in range(2):
        world.server().piled = SILENT_US / S * 1.3e6
        world.run(1 * S)
        assert (world.servers.answer_us(call) or 0) < SILENT_US
    assert world.back.silent == [call.request] * 2


def test_a_crash_resets_what_stands_or_waits_and_refuses_what_comes() -> None:
    world = Fixed()
    stands, waits = world.standing()[0], world.call()
    world.run(4 * WAY)
    world.lives.restart(world.server(), 2 * S)
    comes = world.call()
    world.run(1 * S)
    assert world.back.ends == {stands.request: End.BROKEN}
    assert world.back.replies == {waits.request: Over.RESET, comes.request: Over.REFUSED}
    world.run(2 * S)
    (_, again, capacity, cold), started = world.observed("server_started")[-1], world.server().started
    assert (again, cold, started % MS) == (world.server().machine.number, True, 0)
    assert world.server().warmth(started + 5 * S) == pytest.approx(0.6)
    assert capacity.warm_per_s == pytest.approx(10 * S / world.machinery.terms.life_us)


def test_a_machine_that_vanishes_says_nothing_until_it_is_back() -> None:
    world = Fixed()
    stands, waits = world.standing()[0], world.call()
    world.run(4 * WAY)
    world.lives.vanish(world.server())
    comes = world.call()
    world.run(2 * S)
    assert not world.back.replies and not world.back.ends and not comes.sent_at
    assert world.back.silent == [stands.request] and world.servers.answer_us(stands) is None
    world.servers.close(waits)
    world.lives.appear(world.server(), world.server().life)
    world.run(2 * S)
    assert stands.stands and world.servers.answer_us(stands) is not None and not world.back.replies


def test_a_zone_that_is_cut_off_still_reaches_itself_when_its_relays_went_along() -> None:
    world = Fixed(count=2, relays=2, zones={"names": ("here", "there")})
    here, there = (next(n for n in (0, 1) if world.server(n).machine.zone == zone) for zone in (0, 1))
    world.lives.cut(1, True)
    calls = [world.call(server, relay=relay) for server in (here, there) for relay in (0, 1)]
    world.run(1 * S)
    assert [call.request in world.back.replies for call in calls] == [True, False, False, True]
    world.lives.cut(1, False)  # its servers alone: then nobody reaches them, and its relays reach the others
    calls = [world.call(server, relay=relay) for server in (here, there) for relay in (0, 1)]
    world.run(1 * S)
    assert [call.request in world.back.replies for call in calls] == [True, True, False, False]


def test_a_drain_asks_its_clients_to_leave_evenly_and_resets_the_rest() -> None:
    world = Fixed()
    world.standing(18, load=0.0)
    world.lives.drain(world.server(), 3 * S)
    left = []
    for _ in range(3):
        world.run(1 * S)
        left.append(len(world.back.ends))
    assert 5 <= left[0] <= 8 and 11 <= left[1] <= 14 and left[2] == 18
    late = world.call()
    world.run(1 * S)
    assert set(world.back.ends.values()) == {End.MOVED} and world.back.replies[late.request] is Over.REFUSED
    assert len(world.observed("server_ended")) == 1


@pytest.mark.parametrize("cold", [True, False])
def test_only_a_cold_server_falls_over_when_pressed(cold: bool) -> None:
    """A life is 1 s, so it takes 0.2 of 10 a second: 18 in 3 s at three times that, and some by chance."""
    world = Fixed(kind={"cap": 100.0, "queue": 100.0}, clients=Clients(life_s=1.0))
    if cold:
        world.lives.restart(world.server(), 0)
        world.run(1 * MS)
    for _ in range(40):
        world.call(load=0.0)
        world.run(5 * MS)
    world.run(2 * S)
    fell = [one.what for one in world.machinery.happened]
    assert fell == (["fell_over"] if cold else [])
    assert world.server().running is not cold


STEPS = st.lists(st.tuples(st.sampled_from(
    ["call", "call", "call", "close", "park", "return", "load", "crash", "drain", "vanish", "appear", "jam"]),
    st.integers(0, 999), st.integers(0, 300)), max_size=60)


def _take(world: Fixed, calls: list[Any], what: str, which: int) -> None:
    call, server = calls[which % len(calls)] if calls else None, world.server(which % 2)
    match what:
        case "call":
            calls.append(world.call(which % 2, load=1000.0 * (which % 97), group=which % 4))
        case "close" if call is not None:
            world.servers.close(call)
        case "park" if call is not None:
            world.servers.park(call)
        case "return" if call is not None:
            calls.append(world.call(which % 2, connection=call.connection, group=call.group, mid_flow=True))
        case "load" if call is not None:
            world.servers.change_load(call, 1000.0 * (which % 89))
        case "crash":
            world.lives.restart(server, 100 * MS)
        case "drain":
            world.lives.drain(server, 400 * MS)
        case "vanish":
            world.lives.vanish(server)
        case "appear":
            world.lives.appear(server, server.life)
        case "jam":
            world.lives.jam(server, which % 3 == 0)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(STEPS)
def test_whatever_happens_a_server_holds_just_what_stands(steps: list[tuple[str, int, int]]) -> None:
    world, calls = Fixed(count=2), []
    for what, which, wait in steps:
        _take(world, calls, what, which)
        world.run(wait * MS)
        for server in world.servers.all:
            stands = [call for call in calls if call.stands and call.server == server.machine.number]
            assert list(server.standing.values()) == stands
            groups = {call.group for call in [*stands, *server.parked.values()]} - {0}
            assert server.demand == pytest.approx(sum(call.load for call in stands) + GROUP * len(groups))
            assert server.piled >= 0 and server.held <= server.cap
        assert world.servers.placed.table().sum() == sum(call.stands for call in calls)
    for call in calls:
        world.servers.close(call)
    world.run(10 * S)
    assert not any(server.held or server.demand for server in world.servers.all)
    over = [request for _, request, _, how in world.observed("attempt_over") if how is not Over.REFUSED]
    assert sorted(over) == sorted(request for _, request, *_ in world.observed("sent"))
