"""The front spreads connections over the relays that it knows; moments of clients come in their order."""

from collections import Counter

from glenfold_lab.model.front import Front
from glenfold_lab.model.kernel import Kernel
from glenfold_lab.model.plan import STEP_BITS, Plan


def test_a_front_keeps_to_the_zone_and_falls_back_to_the_others() -> None:
    front = Front([0, 1, 0, 1])
    assert front.relay_for(0, 77, 0, -1) is None
    for relay in range(4):
        front.admit(relay)
    seen = Counter(front.relay_for(0, key * 7919, 0, -1) for key in range(2000))
    assert set(seen) == {0, 2} and abs(seen[0] - seen[2]) < 200
    assert len({front.relay_for(1, 77, turn, -1) for turn in range(20)}) == 2  # a try more, a new connection
    assert {front.relay_for(0, key, 0, 2) for key in range(50)} == {0}
    front.remove(0)
    front.remove(2)
    assert {front.relay_for(0, key, 0, -1) for key in range(50)} == {1, 3}


def test_planned_moments_come_in_their_order_however_far_ahead_they_lie() -> None:
    kernel, step = Kernel(), 1 << STEP_BITS
    came: list[tuple[int, int, int]] = []

    def due(client: int, moment: int) -> None:
        came.append((moment - kernel.start, client, kernel.now - kernel.start))
        if client == 3:  # into the step that is under way, and into one far ahead
            plan.add(kernel.now + 5, 7, 0)
            plan.add(kernel.now + 9 * step, 8, 0)

    plan = Plan(kernel, kernel.start + 20 * step, [due])
    for after, client in ((7 * step, 1), (40, 2), (30, 3), (20 * step + 1, 4), (7 * step - 1, 5)):
        plan.add(kernel.start + after, client, 0)
    kernel.run(kernel.start + 30 * step)
    assert [(after, client) for after, client, _ in came] == [
        (30, 3), (35, 7), (40, 2), (7 * step - 1, 5), (7 * step, 1), (9 * step + 30, 8)]
    assert all(at == after for after, _, at in came)
