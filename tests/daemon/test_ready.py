"""An instance is ready only when it can go at its usual pace, and learns nothing from its own stalls."""

import gc
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import relaying
import trio
from relaying import OPEN, entry, whole

from glenfold import request as r
from glenfold.daemon.life import State
from glenfold.daemon.process import Process
from glenfold.daemon.readiness import CALM_S, LATEST_S, STEP_S, Readiness
from glenfold.daemon.warming import REQUESTS, warm_up
from glenfold.dispatch import Dispatch, RequestAction
from glenfold.net.outbound import compute_stall_s
from glenfold.net.sockets import KernelTimes, kernel_times
from linnetspread import interface as i


def ready_at(
    cores: float, cpu_s: float, used_before_s: float = 0.0, late: Callable[[float], float] = lambda now: 0.0
) -> float:
    """In virtual time; `late`: how late the look comes that is due at that moment."""
    now, readiness = 0.0, Readiness(0.0, used_before_s, cores)
    while not readiness.look(now, cpu_s):
        now = readiness.next_look + late(readiness.next_look)
    return now


@pytest.mark.parametrize(
    "cores, cpu_s, used_before_s, at",
    [(0.25, 0.2, 0.0, 0.8), (0.25, 0.2, 0.2, 0.6), (1.0, 0.2, 0.2, CALM_S), (0.01, 5.0, 0.0, LATEST_S)],
)
def test_it_waits_until_its_part_of_a_core_has_covered_the_start(cores, cpu_s, used_before_s, at):
    assert ready_at(cores, cpu_s, used_before_s) == pytest.approx(at, abs=STEP_S)


def test_a_start_is_not_held_up_by_a_kernel_whose_clock_is_not_the_process_s(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    told = []

    class Seen(Readiness):
        def __init__(self, now: float, *more: float) -> None:
            super().__init__(now, *more)
            told.append(now - self._began)

    async def main() -> None:
        async with listless(tmp_path) as process:
            process.relay.destinations.read(whole(entry("s-1")))
            await process.relay.ready.wait()

    monkeypatch.setattr(time, "clock_gettime", lambda clock: -1.0)  # by it the process starts in a while
    monkeypatch.setattr("glenfold.daemon.process.Readiness", Seen)
    trio.run(main)
    assert told[0] >= 0


@pytest.mark.parametrize("busy_s, at", [(0.5, 0.5 + CALM_S), (99.0, LATEST_S)])
def test_it_waits_until_its_loop_has_been_on_time_or_for_the_latest_moment(busy_s, at):
    calm_at = ready_at(1.0, 0.0, late=lambda now: 0.05 if now < busy_s else 0.0)
    assert calm_at == pytest.approx(at, abs=0.06)


def test_a_reply_that_lay_in_the_kernel_while_this_process_stood_still_was_no_slow_set_up():
    async def look() -> KernelTimes:
        return kernel_times(trio.socket.from_stdlib_socket(near))

    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as near,
        listener.accept()[0] as far,
    ):
        far.sendall(b"UP x\r\n")
        time.sleep(0.2)
        kernel = trio.run(look)
    assert kernel.since_received_s == pytest.approx(0.2, abs=0.1) and kernel.round_trip_s < 0.1
    assert compute_stall_s(0.0, kernel) == kernel.since_received_s
    # Before its line was written, too; but for a connection that came up late, and what is hardly seen.
    assert compute_stall_s(0.15, KernelTimes(0.0, 0.001, 0)) == pytest.approx(0.149)
    assert compute_stall_s(0.15, KernelTimes(0.0, 0.001, 1)) == 0
    assert compute_stall_s(0.009, KernelTimes(0.009, 0.0, 0)) == 0


def test_the_decisions_are_told_of_the_set_up_without_the_stall():
    state = r.RequestState(1, 3_000_000)
    state.on(i.Attempt(1, 7, 1_000_000), 0)
    effects = state.on(r.CallUp(b"UP x\r\n", 140_000), 150_000)
    assert r.Report(i.Established(1, 0, 7, 10_000)) in effects


@pytest.mark.parametrize("ready", [0, 1, 20])
def test_a_warm_up_takes_requests_to_their_ends(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, ready: int):
    seen, handle = Counter[str](), Dispatch.handle

    def spy(self: Dispatch, now_us: int, event: i.Event) -> list[RequestAction]:
        seen[type(event).__name__] += 1
        return handle(self, now_us, event)

    monkeypatch.setattr(Dispatch, "handle", spy)
    servers = tuple(i.ListedServer(n, i.ServerState.READY) for n in range(ready))
    warm_up(relaying.config(tmp_path), servers, now_us=10)
    ended = REQUESTS if ready else 0
    assert seen == Counter(ServerList=1, Request=REQUESTS, Established=ended, Answer=ended)


async def said(process: Process, line: bytes) -> bytes:
    async with await trio.open_tcp_stream(*process.listeners[0].getsockname()) as stream:
        await stream.send_all(line)
        return bytes(await stream.receive_some(64))


@asynccontextmanager
async def listless(folder: Path) -> AsyncIterator[Process]:
    """An instance that starts without any list."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        process = Process(
            relaying.config(folder, known=whole()), lambda current: (current, []), listeners=[sock]
        )
        process.relay.config.known.clear()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process.run)
                yield process
                nursery.cancel_scope.cancel()
            assert gc.isenabled() and gc.get_freeze_count() > 0
        finally:
            gc.unfreeze()


@relaying.async_test(listless)
async def test_ping_waits_for_a_list_while_clients_are_served_and_then_is_answered(process: Process):
    states: list[State] = []
    process.life.watches.append(lambda _, now: states.append(now))
    with trio.move_on_after(0.3) as too_early:
        await said(process, b"PING\r\n")
    assert too_early.cancelled_caught and states == [State.WAITING]
    assert (await said(process, OPEN)).startswith(b"BUSY")
    await process.relay.decisions.tell(process.relay.destinations.read(whole(entry("s-1"))))
    assert await said(process, b"PING\r\n") == b"PONG\r\n"
    assert states == [State.WAITING, State.READY]
