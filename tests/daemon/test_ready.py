"""An instance is ready once it works at its usual rate, and doesn't count its own stalls as set-up time."""

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

from glenfold import request
from glenfold.daemon.life import State
from glenfold.daemon.process import Process
from glenfold.daemon.readiness import CALM_PERIOD_S, CHECK_INTERVAL_S, MAX_WAIT_S, Readiness
from glenfold.daemon.warming import WARM_UP_REQUESTS, warm_up
from glenfold.dispatch import Dispatch, RequestAction
from glenfold.net.outbound import compute_stall_s
from glenfold.net.sockets import KernelTimes, kernel_times
from linnetspread import Balancer, interface


def ready_at(
    cores: float, cpu_s: float, cpu_before_s: float = 0.0, delay: Callable[[float], float] = lambda now: 0.0
) -> float:
    """Returns the virtual time of readiness. `delay` returns how late the check due at a time comes."""
    now, readiness = 0.0, Readiness(0.0, cpu_before_s, cores)
    while not readiness.check(now, cpu_s):
        now = readiness.next_check + delay(readiness.next_check)
    return now


@pytest.mark.parametrize(
    "cores, cpu_s, cpu_before_s, at",
    [
        (0.25, 0.2, 0.0, 0.8),
        (0.25, 0.2, 0.2, 0.6),
        (1.0, 0.2, 0.2, CALM_PERIOD_S),
        (0.01, 5.0, 0.0, MAX_WAIT_S),
    ],
)
def test_readiness_waits_until_the_cpu_quota_has_covered_the_start(cores, cpu_s, cpu_before_s, at):
    assert ready_at(cores, cpu_s, cpu_before_s) == pytest.approx(at, abs=CHECK_INTERVAL_S)


def test_readiness_does_not_depend_on_the_kernels_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    ages = []

    class Seen(Readiness):
        def __init__(self, now: float, *more: float) -> None:
            super().__init__(now, *more)
            ages.append(now - self._started_at)

    async def main() -> None:
        async with instance_without_list(tmp_path) as process:
            await process.relay.decisions.submit(process.relay.destinations.read(whole(entry("s-1"))))
            await process.relay.ready.wait()

    # With this clock the process appears to start in the future.
    monkeypatch.setattr(time, "clock_gettime", lambda clock: -1.0)
    monkeypatch.setattr("glenfold.daemon.process.Readiness", Seen)
    trio.run(main)
    assert ages[0] >= 0


@pytest.mark.parametrize("busy_s, at", [(0.5, 0.5 + CALM_PERIOD_S), (99.0, MAX_WAIT_S)])
def test_readiness_waits_until_the_loop_is_on_time_or_the_maximum_wait(busy_s, at):
    calm_at = ready_at(1.0, 0.0, delay=lambda now: 0.05 if now < busy_s else 0.0)
    assert calm_at == pytest.approx(at, abs=0.06)


def test_time_of_a_reply_in_the_kernel_during_a_stall_is_no_set_up_time():
    async def read_kernel_times() -> KernelTimes:
        return kernel_times(trio.socket.from_stdlib_socket(client_end))

    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as client_end,
        listener.accept()[0] as server_end,
    ):
        server_end.sendall(b"UP x\r\n")
        time.sleep(0.2)
        kernel = trio.run(read_kernel_times)
    assert kernel.since_received_s == pytest.approx(0.2, abs=0.1) and kernel.round_trip_s < 0.1
    assert compute_stall_s(0.0, kernel) == kernel.since_received_s
    # A stall before the line was written counts too, except for a late connection or a very short stall.
    assert compute_stall_s(0.15, KernelTimes(0.0, 0.001, 0)) == pytest.approx(0.149)
    assert compute_stall_s(0.15, KernelTimes(0.0, 0.001, 1)) == 0
    assert compute_stall_s(0.009, KernelTimes(0.009, 0.0, 0)) == 0


def test_the_reported_set_up_time_excludes_the_stall():
    state = request.RequestState(1, 3_000_000)
    state.on(interface.Attempt(1, 7, 1_000_000), 0)
    effects = state.on(request.CallUp(b"UP x\r\n", 140_000), 150_000)
    assert request.Report(interface.Established(1, 0, 7, 10_000)) in effects


@pytest.mark.parametrize("ready", [0, 1, 20])
def test_a_warm_up_runs_requests_to_their_ends(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, ready: int):
    seen, handle = Counter[str](), Dispatch.handle

    def spy(self: Dispatch, now_us: int, event: interface.Event) -> list[RequestAction]:
        seen[type(event).__name__] += 1
        return handle(self, now_us, event)

    monkeypatch.setattr(Dispatch, "handle", spy)
    servers = tuple(interface.ListedServer(n, interface.ServerState.READY) for n in range(ready))
    conf = relaying.config(tmp_path)
    warm_up(conf, servers, 10, Balancer(conf.settings, 1))
    ended = WARM_UP_REQUESTS if ready else 0
    assert seen == Counter(ServerList=1, Request=WARM_UP_REQUESTS, Established=ended, Answer=ended)


async def exchange(process: Process, line: bytes) -> bytes:
    async with await trio.open_tcp_stream(*process.listeners[0].getsockname()) as stream:
        await stream.send_all(line)
        return bytes(await stream.receive_some(64))


@asynccontextmanager
async def instance_without_list(folder: Path) -> AsyncIterator[Process]:
    """Runs an instance that starts without a list."""
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


@relaying.async_test(instance_without_list)
async def test_ping_is_answered_once_there_is_a_list_and_clients_are_served_before(process: Process):
    states: list[State] = []
    process.life.watches.append(lambda _, now: states.append(now))
    with trio.move_on_after(0.3) as too_early:
        await exchange(process, b"PING\r\n")
    assert too_early.cancelled_caught and states == [State.WAITING]
    assert (await exchange(process, OPEN)).startswith(b"BUSY")
    await process.relay.decisions.submit(process.relay.destinations.read(whole(entry("s-1"))))
    assert await exchange(process, b"PING\r\n") == b"PONG\r\n"
    assert states == [State.WAITING, State.READY]
