"""Planned actions of clients run in order."""

from glenfold_lab.model.kernel import Kernel
from glenfold_lab.model.plan import STEP_BITS, Plan


def test_planned_actions_run_in_order_however_far_ahead() -> None:
    kernel, step = Kernel(), 1 << STEP_BITS
    called: list[tuple[int, int, int]] = []

    def on_due(client: int, time_us: int) -> None:
        called.append((time_us - kernel.start, client, kernel.now - kernel.start))
        if client == 3:  # One falls into the current step, one far ahead.
            plan.add(kernel.now + 5, 7, 0)
            plan.add(kernel.now + 9 * step, 8, 0)

    plan = Plan(kernel, kernel.start + 20 * step, [on_due])
    for after, client in ((7 * step, 1), (40, 2), (30, 3), (20 * step + 1, 4), (7 * step - 1, 5)):
        plan.add(kernel.start + after, client, 0)
    kernel.run(kernel.start + 30 * step)
    assert [(after, client) for after, client, _ in called] == [
        (30, 3),
        (35, 7),
        (40, 2),
        (7 * step - 1, 5),
        (7 * step, 1),
        (9 * step + 30, 8),
    ]
    assert all(at == after for after, _, at in called)
