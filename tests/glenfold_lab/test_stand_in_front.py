"""When the stand-in front removes relays and admits them again."""

from functools import partial

import numpy as np
import trio
import trio.testing

from glenfold_lab.stand_ins.front import SocketFront
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.relays import free_address

ADDRESS = "127.9.4.1"


class FakeRelay:
    """A relay that answers PING while it runs."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.address = free_address(ADDRESS)
        self._nursery = nursery
        self._scope = trio.CancelScope()

    async def start(self) -> None:
        await self._nursery.start(self._serve)

    def stop(self) -> None:
        self._scope.cancel()

    async def _serve(self, task_status: trio.TaskStatus[object]) -> None:
        serve = partial(trio.serve_tcp, self._pong, self.address[1], host=ADDRESS)
        with trio.CancelScope() as self._scope:
            await serve(task_status=task_status)

    async def _pong(self, stream: trio.SocketStream) -> None:
        async with stream:
            assert await stream.receive_some() == b"PING\r\n"
            await stream.send_all(b"PONG\r\n")


async def wait_for_admitted(front: SocketFront, admitted: list[int]) -> float:
    """Waits until the front admits just these relays; returns the seconds that it took."""
    started_at = trio.current_time()
    while front.admitted != admitted:
        await trio.sleep(0.05)
    return trio.current_time() - started_at


def test_a_death_is_noticed_late_and_a_planned_restart_at_once() -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            relays = [FakeRelay(nursery), FakeRelay(nursery)]
            addresses = [relay.address for relay in relays]
            front = SocketFront([0, 0], addresses, 2.0, np.random.default_rng(1), MachineClock())
            nursery.start_soon(front.watch, trio.Event())
            for relay in relays:
                await relay.start()
            await wait_for_admitted(front, [0, 1])
            relays[0].stop()
            assert 1.5 < await wait_for_admitted(front, [1]) < 2.5
            await relays[0].start()
            await wait_for_admitted(front, [0, 1])
            nursery.start_soon(front.retire, 0)  # The relay still answers for a while.
            assert await wait_for_admitted(front, [1]) < 0.5
            await trio.sleep(3)
            assert front.admitted == [1]
            relays[0].stop()
            await trio.sleep(1)
            await relays[0].start()
            assert await wait_for_admitted(front, [0, 1]) < 0.5
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.002))
