"""A compact store of millions of planned client actions, at 8 bytes each.

As an event of the kernel each action would take 200 bytes and slow down every push to the queue. The plan
keeps one array per step of about a hundredth of a second, and hands its actions to the kernel when the step
begins.
"""

from array import array
from collections.abc import Callable, Sequence

from glenfold_lab.model.kernel import Kernel

STEP_BITS = 13  # A step spans 8,192 microseconds.
CLIENT_BITS = 26
KIND_BITS = 2
CLIENT_MASK = (1 << CLIENT_BITS) - 1
KIND_MASK = (1 << KIND_BITS) - 1
MAX_CLIENTS = 1 << CLIENT_BITS

PlannedCall = Callable[[int, int], None]


class Plan:
    """Planned actions of clients up to the time `until`; later ones are dropped.

    `kinds` lists the functions to call by the number of a kind, with the client and the planned time.
    """

    def __init__(self, kernel: Kernel, until: int, kinds: Sequence[PlannedCall]) -> None:
        self._kernel = kernel
        self._start = kernel.now
        self._until = until
        self._kinds = kinds
        self._steps: dict[int, array[int]] = {}
        self._open = -1  # The current step, whose actions are in the kernel's queue.

    def add(self, time_us: int, client: int, kind: int) -> None:
        """Plans an action of a client at `time_us`."""
        if time_us > self._until:
            return
        after = max(0, time_us - self._start)
        step = after >> STEP_BITS
        if step <= self._open:
            self._kernel.at(time_us, self._kinds[kind], client, time_us)
            return
        codes = self._steps.get(step)
        if codes is None:
            codes = self._steps[step] = array("Q")
            self._kernel.at(self._start + (step << STEP_BITS), self._begin, step)
        codes.append((after << CLIENT_BITS | client) << KIND_BITS | kind)

    def _begin(self, step: int) -> None:
        self._open = step
        at, start, kinds = self._kernel.at, self._start, self._kinds
        for code in sorted(self._steps.pop(step)):
            client, time_us = code >> KIND_BITS & CLIENT_MASK, start + (code >> KIND_BITS + CLIENT_BITS)
            at(time_us, kinds[code & KIND_MASK], client, time_us)
