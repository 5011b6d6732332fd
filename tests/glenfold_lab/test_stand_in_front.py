"""When the front on sockets takes relays out, and admits them again."""

from functools import partial

import numpy as np
import trio
import trio.testing

from glenfold_lab.stand_ins.front import SocketFront
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.relays import free_address

ADDRESS = "127.9.4.1"


class FakeRelay:
    """Answers PING while it is up."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.address = free_address(ADDRESS)
        self._nursery = nursery
        self._scope = trio.CancelScope()

    async def come_up(self) -> None:
        await self._nursery.start(self._serve)

    def go(self) -> None:
        self._scope.cancel()

    async def _serve(self, task_status: trio.TaskStatus[object]) -> None:
        serve = partial(trio.serve_tcp, self._pong, self.address[1], host=ADDRESS)
        with trio.CancelScope() as self._scope:
            await serve(task_status=task_status)

    async def _pong(self, stream: trio.SocketStream) -> None:
        async with stream:
            assert await stream.receive_some() == b"PING\r\n"
            await stream.send_all(b"PONG\r\n")


async def until(front: SocketFront, admitted: list[int]) -> float:
    """Seconds until the front knows it so."""
    began = trio.current_time()
    while front.admitted != admitted:
        await trio.sleep(0.05)
    return trio.current_time() - began


def test_a_death_is_noticed_late_and_a_planned_end_at_once() -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            relays = [FakeRelay(nursery), FakeRelay(nursery)]
            addresses = [relay.address for relay in relays]
            front = SocketFront([0, 0], addresses, 2.0, np.random.default_rng(1), MachineClock())
            nursery.start_soon(front.watch, trio.Event())
            for relay in relays:
                await relay.come_up()
            await until(front, [0, 1])
            relays[0].go()
            assert 1.5 < await until(front, [1]) < 2.5
            await relays[0].come_up()
            await until(front, [0, 1])
            nursery.start_soon(front.retire, 0)  # still answers for a while
            assert await until(front, [1]) < 0.5
            await trio.sleep(3)
            assert front.admitted == [1]
            relays[0].go()
            await trio.sleep(1)
            await relays[0].come_up()
            assert await until(front, [0, 1]) < 0.5
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.002))
