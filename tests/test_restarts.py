"""A restarted relay is ready in time, whatever discovery, its list and its clock do. Moments are in seconds
of a clock that jumps, so the processor time of the start is by another clock, as where clocks are led."""

import gc
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import relaying
import trio
import trio.testing
from relaying import entry, whole
from test_quiet_lists import Agent, Answer, refused, refused_late, reset, run, silent, told_as_late_as_may_be

from glenfold.daemon.process import Process
from glenfold.daemon.readiness import MAX_WAIT_S
from glenfold.net.discovery import BUSY_S, MISSED_S

READY_S = 10.0  # within which nine in ten restarted relays have to be ready
RELAYS = 3_400
SERVERS = 1_024  # in a large list of the last run


@pytest.fixture(autouse=True)
def _collecting() -> Iterator[None]:
    """A process freezes what stands when it starts."""
    yield
    gc.unfreeze()
    gc.enable()


async def ready_after(folder: Path, agent: Agent, **changes: Any) -> float:
    """Seconds from the start of a process that asks this agent until PING is answered."""
    settings = relaying.SETTINGS | {"registry_mode": "ask", "replicas_of_me": RELAYS}
    written = {"discovery": f"127.0.0.1:{agent.address[1]}", "settings": settings, **changes}
    began = trio.current_time()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        config = relaying.config(folder, **written)
        process = Process(config, lambda config: (config, []), listeners=[listener])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(process.run)
            with trio.move_on_after(2 * READY_S):
                await process.relay.ready.wait()
            nursery.cancel_scope.cancel()
    return trio.current_time() - began


@pytest.mark.parametrize("fault", [refused, silent])
def test_with_the_list_of_its_last_run_it_waits_for_no_discovery(tmp_path: Path, fault: Answer) -> None:
    """Nor for its part of a core to cover the start, where that would take too long."""
    known = whole(*(entry(f"s-{n}") for n in range(SERVERS)))

    async def script(nursery: trio.Nursery) -> None:
        agent = Agent(tmp_path, fault)
        await agent.listen(nursery)
        after_s = await ready_after(tmp_path, agent, known=known, limits={"cores": 0.01})
        assert MAX_WAIT_S <= after_s <= READY_S

    run(script, threshold_s=0.001)


@pytest.mark.parametrize("fault", [refused_late, reset])
def test_without_a_list_that_can_be_read_it_is_ready_though_two_calls_fail(
    tmp_path: Path, fault: Answer
) -> None:
    """Each as late as may be, and the third is answered as late."""

    async def script(nursery: trio.Nursery) -> None:
        agent = Agent(tmp_path, fault, fault, told_as_late_as_may_be)
        await agent.listen(nursery)
        for seed in range(2):
            agent.asked.clear()
            after_s = await ready_after(tmp_path, agent, known={"seq": "none"}, seed=f"{seed:x}")
            assert after_s <= 2 * (MISSED_S - BUSY_S) + BUSY_S <= READY_S

    run(script, threshold_s=0.001)
