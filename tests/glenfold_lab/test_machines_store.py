"""The store that every set-up asks: in a crowd calls wait in turn, whichever push server they are from."""

from modelled_machines import Fixed, S


def test_a_crowd_of_set_ups_is_late_by_the_one_store_though_each_server_has_room() -> None:
    def slowest(headroom: float) -> int:
        world = Fixed(count=10, store=headroom)
        calls = [world.call(place % 10) for place in range(40)]
        world.run(5 * S)
        assert len(world.replies) == len(calls)
        return max(world.took.values())

    assert slowest(40.0) > 3 * slowest(0.0)


def test_loads_that_came_and_went_leave_no_time_that_is_not_a_number() -> None:
    world = Fixed()
    calls = [world.standing(load=load)[0] for load in (0.7, 0.1, 0.3)]
    for call in calls:  # 0.7 + 0.1 + 0.3 less each of them is a hair below 0
        world.servers.park(call)
    assert world.server().demand < 0
    world.run(S)
    assert world.server().wait_us == 0
