"""A restarted relay is ready in time, whatever the state of discovery and of its stored list.

Times are in seconds of a virtual clock, so the processor time of the start is counted by another clock, as in
simulations with a virtual clock.
"""

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
from test_quiet_lists import (
    Agent,
    Answer,
    answers_as_late_as_allowed,
    refuses,
    refuses_late,
    resets,
    run_script,
    stays_silent,
)

from glenfold.daemon.process import Process
from glenfold.daemon.readiness import MAX_WAIT_S
from glenfold.net.discovery import MAX_ASKING_ANSWER_S, MAX_LIST_DELAY_S

READY_S = 10.0  # Nine in ten restarted relays have to be ready within this time.
RELAYS = 3_400
SERVERS = 1_024  # The number of servers in a large list.


@pytest.fixture(autouse=True)
def _restored_garbage_collection() -> Iterator[None]:
    """Undoes the changes to garbage collection that a process makes at its start."""
    yield
    gc.unfreeze()
    gc.enable()


async def seconds_until_ready(folder: Path, agent: Agent, **changes: Any) -> float:
    """Returns the seconds from the start of a process that calls `agent` until PING would be answered."""
    settings = relaying.SETTINGS | {"registry_mode": "ask", "replicas_of_me": RELAYS}
    written = {"discovery": f"127.0.0.1:{agent.address[1]}", "settings": settings, **changes}
    started_at = trio.current_time()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        config = relaying.config(folder, **written)
        process = Process(config, lambda config: (config, []), listeners=[listener])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(process.run)
            with trio.move_on_after(2 * READY_S):
                await process.relay.ready.wait()
            nursery.cancel_scope.cancel()
    return trio.current_time() - started_at


@pytest.mark.parametrize("fault", [refuses, stays_silent])
def test_a_relay_with_a_stored_list_does_not_wait_for_discovery(tmp_path: Path, fault: Answer) -> None:
    """A relay does not wait too long for its share of a core to cover the cost of the start."""
    known = whole(*(entry(f"s-{n}") for n in range(SERVERS)))

    async def script(nursery: trio.Nursery) -> None:
        agent = Agent(tmp_path, fault)
        await agent.listen(nursery)
        after_s = await seconds_until_ready(tmp_path, agent, known=known, limits={"cores": 0.01})
        assert MAX_WAIT_S <= after_s <= READY_S

    run_script(script, threshold_s=0.001)


@pytest.mark.parametrize("fault", [refuses_late, resets])
def test_a_relay_without_a_readable_list_is_ready_although_two_calls_fail(
    tmp_path: Path, fault: Answer
) -> None:
    """Both calls fail as late as possible, and the third is answered as late as possible."""

    async def script(nursery: trio.Nursery) -> None:
        agent = Agent(tmp_path, fault, fault, answers_as_late_as_allowed)
        await agent.listen(nursery)
        for seed in range(2):
            agent.requests.clear()
            after_s = await seconds_until_ready(tmp_path, agent, known={"seq": "none"}, seed=f"{seed:x}")
            assert after_s <= 2 * (MAX_LIST_DELAY_S - MAX_ASKING_ANSWER_S) + MAX_ASKING_ANSWER_S <= READY_S

    run_script(script, threshold_s=0.001)
