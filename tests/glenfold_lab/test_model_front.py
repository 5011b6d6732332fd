"""Moments of clients that were planned come in their order."""

from glenfold_lab.model.kernel import Kernel
from glenfold_lab.model.plan import STEP_BITS, Plan


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
        (30, 3),
        (35, 7),
        (40, 2),
        (7 * step - 1, 5),
        (7 * step, 1),
        (9 * step + 30, 8),
    ]
    assert all(at == after for after, _, at in came)
