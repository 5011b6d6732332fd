"""The schedule of moves during a shutdown, in virtual time, and shutdowns with too little time for all moves.

`benchmarks/leave.py` runs the full size, 6,000 connections to a real process.
"""

import os
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial
from itertools import pairwise
from pathlib import Path

import pytest
import relaying
import trio
from hypothesis import given
from hypothesis import strategies as st
from relaying import OPEN, accept_and_echo, read_line, relay

from glenfold.daemon.process import Process, finish_requests
from glenfold.lines import MOVE
from glenfold.net import passing
from glenfold.net.exchange import Relay
from glenfold.shutdown import ShutdownSchedule, move_order
from linnetspread import interface

PASS_THROUGH = interface.Settings(pass_through=True, classes=(interface.RequestClass(deadline_us=3_000_000),))


def simulated_moves(
    schedule: ShutdownSchedule, standing: int, cost: float, begin: float = 0.0, turn_s: float = 0.0
) -> tuple[list[float], int]:
    """Returns the time of each move, and how many the final sweep makes.

    Each move takes `cost` seconds of processor time, each turn of the event loop at least `turn_s`.
    """
    now, worked_s, move_times, sweep_size = max(begin, schedule.moves_start_at(standing)), 0.0, [], 0
    while len(move_times) < standing:
        step = schedule.step(now, worked_s, standing - len(move_times))
        assert 0 < step.moves <= standing - len(move_times)
        sweep_size = step.moves if step.sweep else 0
        move_times += [now] * step.moves
        worked_s += step.moves * cost
        now = max(step.next_at, now + max(turn_s, step.moves * cost))
    return move_times, sweep_size


@given(st.integers(1, 700), st.floats(0, 0.0005))
def test_hundreds_of_moves_are_spread_evenly(standing: int, cost: float) -> None:
    move_times, _ = simulated_moves(ShutdownSchedule(10.0, PASS_THROUGH), standing, cost)
    now, expected = 13.4 - 0.3 - 1.5, []
    for remaining in range(standing, 0, -1):
        expected.append(now)
        now += (13.1 - now) / (1 + remaining)
    assert move_times == pytest.approx(expected, abs=1e-6)


@given(st.integers(1, 20_000), st.floats(0, 0.02), st.booleans(), st.floats(0.7, 30))
def test_no_move_comes_after_the_end_however_many_and_expensive_they_are(
    standing: int, cost: float, pass_through: bool, deadline_s: float
) -> None:
    schedule = ShutdownSchedule(0.0, replace(PASS_THROUGH, pass_through=pass_through), deadline_s)
    move_times, sweep_size = simulated_moves(schedule, standing, cost)
    # One turn may begin just before the sweep, and the cost of the first two turns is not known in advance.
    assert move_times[-1] <= max(schedule.exit_at + 64 * cost, move_times[0] + 2 * 250 * cost) + 1e-6
    assert not sweep_size or schedule.is_short_of_time


@given(st.floats(0.05, 60.0), st.floats(0.0, 60.0), st.booleans())
def test_the_phases_of_the_end_are_in_order_for_any_deadline(
    longest_s: float, last_arrival: float, pass_through: bool
) -> None:
    settings = replace(
        PASS_THROUGH,
        pass_through=pass_through,
        classes=tuple(interface.RequestClass(deadline_us=int(s * 1e6)) for s in (0.05, longest_s)),
    )
    schedule = ShutdownSchedule(0.0, settings)
    phase_times = [
        schedule.arrivals_end_at(last_arrival),
        schedule.moves_end,
        schedule.answers_end,
        schedule.exit_at,
        schedule.last_answers_at,
        max(3.0, int(longest_s * 1e6) / 1e6) + 0.7,
    ]
    assert phase_times[0] > 0.4 and phase_times == sorted(phase_times)
    assert schedule.answers_end >= longest_s and all(b - a > 0.1 for a, b in pairwise(phase_times))
    assert schedule.moves_start_at(100) == pytest.approx(schedule.moves_end - 1.5 if pass_through else 0.0)


@given(st.integers(2_000, 6_000), st.floats(0.0001, 0.0004))
def test_thousands_of_moves_start_early_enough_to_finish(standing: int, cost: float) -> None:
    schedule = ShutdownSchedule(0.0, PASS_THROUGH)
    move_times, sweep_size = simulated_moves(schedule, standing, cost, begin=0.45)
    assert move_times[-1] <= schedule.moves_end + 0.05 and not sweep_size and not schedule.is_short_of_time
    assert move_times[0] <= max(0.45, schedule.moves_end - standing * cost) + 1e-6


def test_a_shortage_of_time_is_detected_early() -> None:
    schedule = ShutdownSchedule(0.0, PASS_THROUGH)
    now, worked_s, remaining = 0.45, 0.0, 6000
    while not schedule.is_short_of_time:
        step = schedule.step(now, worked_s, remaining)
        worked_s, remaining, now = (
            worked_s + step.moves * 0.001,
            remaining - step.moves,
            now + step.moves * 0.001,
        )
    assert now < 1.7 and 2500 < step.late < 4500


def test_a_loop_with_turns_of_a_second_moves_all_clients_in_time() -> None:
    schedule = ShutdownSchedule(0.0, PASS_THROUGH)
    schedule.record_lateness(0.9, 0.1)
    schedule.record_lateness(1.2, 0.45)
    move_times, sweep_size = simulated_moves(schedule, 6000, 0.0, begin=1.2, turn_s=1.0)
    assert sweep_size and move_times[-1] < schedule.exit_at - 1.0


def test_moves_start_earlier_on_a_busy_core() -> None:
    schedule = ShutdownSchedule(0.0, PASS_THROUGH)
    assert schedule.moves_start_at(3000) == pytest.approx(1.6)
    schedule.set_passing_share(0.6)
    assert schedule.moves_start_at(3000) == pytest.approx(0.1)
    assert schedule.moves_start_at(900) == pytest.approx(1.6)


def test_moves_go_by_age_and_by_worth_when_time_is_short() -> None:
    standing = {"watch 1": 1.0, "feed 1": 4.0, "watch 2": 1.0, "feed 2": 4.0}
    assert move_order(standing, False) == list(standing)
    assert move_order(standing, True) == ["feed 1", "feed 2", "watch 1", "watch 2"]


@relaying.async_test(relaying.instance)
async def test_the_end_counts_from_the_signal_and_not_from_its_handling(process: Process) -> None:
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        process.record_signal_times(signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGTERM)
        sent = trio.current_time()
        time.sleep(0.2)  # a long turn of the event loop
        await anext(signals)
        assert process._stop_requested_time() - sent < 0.1


# ---- With real sockets ----


Standing = tuple[Relay, list[trio.SocketStream]]


def standing(clients: int, handler: relaying.Handler = accept_and_echo) -> relaying.SetUp:
    @asynccontextmanager
    async def set_up(folder: Path) -> AsyncIterator[Standing]:
        async with relay(relaying.config(folder), handler) as (shared, _, port):
            streams = []
            for n in range(clients):
                streams.append(stream := await trio.open_tcp_stream("127.0.0.1", port))
                await stream.send_all(OPEN.replace(b"9b1f03aa", b"%08x" % n))
                assert await read_line(stream) == b"UP r1\r\n"
            while len(shared.standing) < clients:
                await trio.sleep(0.005)
            yield shared, streams

    return set_up


async def wait_until_closed(shared: Relay) -> None:
    """Waits for the end of all connections, which are counted as moved or not once they are closed."""
    with trio.fail_after(5.0):
        while shared.connections:
            await trio.sleep(0.005)


def schedule_ending_in(seconds: float) -> ShutdownSchedule:
    return ShutdownSchedule(trio.current_time(), PASS_THROUGH, deadline_s=seconds + 0.3)


@relaying.async_test(standing(300))
async def test_all_clients_are_moved_in_time_on_a_slow_machine(
    context: Standing, monkeypatch: pytest.MonkeyPatch
) -> None:
    schedule, counters = schedule_ending_in(1.0), context[0].counters
    real = schedule.step
    # Simulates a machine on which each turn of the event loop takes 0.4 s.
    monkeypatch.setattr(
        schedule,
        "step",
        lambda now, worked_s, remaining: replace(step, next_at=step.next_at + 0.4)
        if (step := real(now, worked_s, remaining))
        else step,
    )
    await finish_requests(schedule, context[0])
    for stream in context[1]:
        assert await read_line(stream) == MOVE and not await stream.receive_some()
        await stream.aclose()
    await wait_until_closed(context[0])
    assert counters.moved == 300 and 0 < counters.moved_late < 300 and not counters.not_moved


# Guards against a client that is reset without MOVE, as its server stopped within a line (incident 19).
@relaying.async_test(standing(2, partial(accept_and_echo, following_data=b"half a li")))
async def test_a_client_whose_server_stopped_within_a_line_is_moved_at_the_end(context: Standing) -> None:
    await finish_requests(schedule_ending_in(0.1), context[0])
    for stream in context[1]:
        assert await read_line(stream) == MOVE and not await stream.receive_some()
        await stream.aclose()
    await wait_until_closed(context[0])
    assert (context[0].counters.moved, context[0].counters.not_moved) == (2, 0)


# Guards against a part of a line that its client takes for a whole one.
@relaying.async_test(standing(2))
async def test_a_client_that_has_taken_part_of_a_line_gets_a_reset_and_is_counted(
    context: Standing, monkeypatch: pytest.MonkeyPatch
) -> None:
    shared, streams = context
    part_sent, writing = trio.Event(), list[object]()

    async def send_part(sock: trio.socket.SocketType, data: bytes) -> None:
        await sock.send(data[:9])
        writing.append(sock)
        if len(writing) == len(streams):
            part_sent.set()
        await trio.sleep_forever()

    monkeypatch.setattr(passing, "send_now", lambda sock, data: 0)
    real_send = passing.send
    clients = {connection.client for connection in shared.standing}

    async def send(sock: trio.socket.SocketType, data: bytes) -> None:
        await (send_part if sock in clients else real_send)(sock, data)

    monkeypatch.setattr(passing, "send", send)
    for stream in streams:
        await stream.send_all(b"half a line\r\n")
    await part_sent.wait()
    await finish_requests(schedule_ending_in(0.1), shared)
    for stream in streams:
        assert await stream.receive_some() == b"half a li"
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
    await wait_until_closed(shared)
    assert (shared.counters.moved, shared.counters.not_moved) == (0, 2)


@relaying.async_test(standing(1))
async def test_a_partly_sent_move_is_completed_without_other_data_inside(
    context: Standing, monkeypatch: pytest.MonkeyPatch
) -> None:
    (shared, [stream]), real = context, passing.send_now
    monkeypatch.setattr(passing, "send_now", lambda sock, data: real(sock, data[:2]))
    assert not next(iter(shared.standing)).move_now()
    await stream.send_all(b"hello\r\n")
    await trio.testing.wait_all_tasks_blocked(0.05)
    await finish_requests(schedule_ending_in(1.0), shared)
    assert await read_line(stream) == MOVE and not await stream.receive_some()
    await stream.aclose()
    await wait_until_closed(shared)
    assert shared.counters.moved == 1
