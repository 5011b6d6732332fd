"""What clients will do: millions of moments ahead, at 8 bytes each.

In the kernel's queue each would be an event of 200 bytes, and every push would wade through all of them. Here
moments lie in an array for each hundredth of a second, and reach the kernel when theirs begins.
"""

from array import array
from collections.abc import Callable, Sequence

from glenfold_lab.model.kernel import Kernel

STEP_BITS = 13  # moments of 8,192 microseconds lie together
CLIENT_BITS = 26
KIND_BITS = 2
CLIENT_MASK = (1 << CLIENT_BITS) - 1
KIND_MASK = (1 << KIND_BITS) - 1
MAX_CLIENTS = 1 << CLIENT_BITS

PlannedCall = Callable[[int, int], None]


class Plan:
    """`kinds`: by the number of a kind, what is called when such a moment comes, with the client and the
    moment. What lies beyond `until` never comes."""

    def __init__(self, kernel: Kernel, until: int, kinds: Sequence[PlannedCall]) -> None:
        self._kernel = kernel
        self._start = kernel.now
        self._until = until
        self._kinds = kinds
        self._steps: dict[int, array[int]] = {}
        self._open = -1  # the step under way: it is in the kernel's hands

    def add(self, moment: int, client: int, kind: int) -> None:
        if moment > self._until:
            return
        after = max(0, moment - self._start)
        step = after >> STEP_BITS
        if step <= self._open:
            self._kernel.at(moment, self._kinds[kind], client, moment)
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
            client, moment = code >> KIND_BITS & CLIENT_MASK, start + (code >> KIND_BITS + CLIENT_BITS)
            at(moment, kinds[code & KIND_MASK], client, moment)
