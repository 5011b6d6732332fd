"""The store that every set-up queries: in a burst, calls from all push servers wait in order."""

from modelled_machines import FixedMachines, S


def test_a_burst_of_set_ups_is_delayed_by_the_shared_store() -> None:
    def slowest(headroom: float) -> int:
        world = FixedMachines(count=10, store=headroom)
        calls = [world.call(place % 10) for place in range(40)]
        world.run(5 * S)
        assert len(world.replies) == len(calls)
        return max(world.answer_times.values())

    assert slowest(40.0) > 3 * slowest(0.0)


def test_rounding_of_removed_loads_does_not_yield_nan_waits() -> None:
    world = FixedMachines()
    calls = [world.standing(load=load)[0] for load in (0.7, 0.1, 0.3)]
    for call in calls:  # Rounding leaves the sum less each of its terms slightly below 0.
        world.servers.park(call)
    assert world.server().demand < 0
    world.run(S)
    assert world.server().wait_us == 0
