"""The plan of an end in virtual time, and ends of a relay that has more to move than there is time for.

The full size, 6,000 connections to a real process, is in `benchmarks/leave.py`.
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
from relaying import OPEN, read_line, relay, up

from glenfold.daemon.process import Process, finish_requests
from glenfold.leaving import Leaving, in_order
from glenfold.lines import MOVE
from glenfold.net import passing
from glenfold.net.inbound import Relay
from linnetspread import interface as i

THROUGH = i.Settings(pass_through=True, classes=(i.RequestClass(deadline_us=3_000_000),))


def played(
    leaving: Leaving, standing: int, cost: float, begin: float = 0.0, turn_s: float = 0.0
) -> tuple[list[float], int]:
    """When each move is made, where each takes `cost` seconds of the core and each turn of the loop at least
    `turn_s`, and how many the sweep takes."""
    now, worked, moments, swept = max(begin, leaving.moves_from(standing)), 0.0, [], 0
    while len(moments) < standing:
        step = leaving.step(now, worked, standing - len(moments))
        assert 0 < step.moves <= standing - len(moments)
        swept = step.moves if step.sweep else 0
        moments += [now] * step.moves
        worked += step.moves * cost
        now = max(step.again_at, now + max(turn_s, step.moves * cost))
    return moments, swept


@given(st.integers(1, 700), st.floats(0, 0.0005))
def test_at_hundreds_each_move_has_the_moment_that_it_always_had(standing: int, cost: float) -> None:
    moments, _ = played(Leaving(10.0, THROUGH), standing, cost)
    now, usual = 13.4 - 0.3 - 1.5, []
    for left in range(standing, 0, -1):
        usual.append(now)
        now += (13.1 - now) / (1 + left)
    assert moments == pytest.approx(usual, abs=1e-6)


@given(st.integers(1, 20_000), st.floats(0, 0.02), st.booleans(), st.floats(0.7, 30))
def test_no_move_comes_after_the_end_however_many_and_dear_they_are(
    standing: int, cost: float, through: bool, deadline_s: float
) -> None:
    leaving = Leaving(0.0, replace(THROUGH, pass_through=through), deadline_s)
    moments, swept = played(leaving, standing, cost)
    # One turn may begin just before the sweep, and the first two are not known to take as long as they do.
    assert moments[-1] <= max(leaving.leave_at + 64 * cost, moments[0] + 2 * 250 * cost) + 1e-6
    assert not swept or leaving.short


@given(st.floats(0.05, 60.0), st.floats(0.0, 60.0), st.booleans())
def test_the_spans_of_an_end_hold_for_any_deadline(longest_s: float, last: float, through: bool) -> None:
    settings = replace(
        THROUGH,
        pass_through=through,
        classes=tuple(i.RequestClass(deadline_us=int(s * 1e6)) for s in (0.05, longest_s)),
    )
    leaving = Leaving(0.0, settings)
    moments = [
        leaving.arrivals_until(last),
        leaving.moves_end,
        leaving.answers_end,
        leaving.leave_at,
        leaving.over_at,
        max(3.0, int(longest_s * 1e6) / 1e6) + 0.7,
    ]
    assert moments[0] > 0.4 and moments == sorted(moments)
    assert leaving.answers_end >= longest_s and all(b - a > 0.1 for a, b in pairwise(moments))
    assert leaving.moves_from(100) == pytest.approx(leaving.moves_end - 1.5 if through else 0.0)


@given(st.integers(2_000, 6_000), st.floats(0.0001, 0.0004))
def test_thousands_are_begun_early_enough_for_the_pace(standing: int, cost: float) -> None:
    leaving = Leaving(0.0, THROUGH)
    moments, swept = played(leaving, standing, cost, begin=0.45)
    assert moments[-1] <= leaving.moves_end + 0.05 and not swept and not leaving.short
    assert moments[0] <= max(0.45, leaving.moves_end - standing * cost) + 1e-6


def test_what_there_is_no_time_for_is_known_long_before() -> None:
    leaving = Leaving(0.0, THROUGH)
    now, worked, left = 0.45, 0.0, 6000
    while not leaving.short:
        step = leaving.step(now, worked, left)
        worked, left, now = worked + step.moves * 0.001, left - step.moves, now + step.moves * 0.001
    assert now < 1.7 and 2500 < step.late < 4500


def test_a_loop_that_takes_a_second_for_a_turn_tells_all_before_it_is_too_late() -> None:
    leaving = Leaving(0.0, THROUGH)
    leaving.came_back(0.9, 0.1)
    leaving.came_back(1.2, 0.45)
    moments, swept = played(leaving, 6000, 0.0, begin=1.2, turn_s=1.0)
    assert swept and moments[-1] < leaving.leave_at - 1.0


def test_a_core_that_is_busy_is_given_more_time() -> None:
    leaving = Leaving(0.0, THROUGH)
    assert leaving.moves_from(3000) == pytest.approx(1.6)
    leaving.busy(0.6)
    assert leaving.moves_from(3000) == pytest.approx(0.1)
    assert leaving.moves_from(900) == pytest.approx(1.6)


def test_the_oldest_move_first_and_when_time_is_short_those_of_greatest_worth() -> None:
    standing = {"watch 1": 1.0, "feed 1": 4.0, "watch 2": 1.0, "feed 2": 4.0}
    assert in_order(standing, False) == list(standing)
    assert in_order(standing, True) == ["feed 1", "feed 2", "watch 1", "watch 2"]


@relaying.scripted(relaying.instance)
async def test_an_end_counts_from_the_signal_and_not_from_when_the_loop_came_to_it(told: Process) -> None:
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        told.record_signal_times(signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGTERM)
        sent = trio.current_time()
        time.sleep(0.2)  # a long turn
        await anext(signals)
        assert told._stop_requested_time() - sent < 0.1


# ---- on sockets ----


Standing = tuple[Relay, list[trio.SocketStream]]


def standing(clients: int, handler: relaying.Handler = up) -> relaying.Setting:
    @asynccontextmanager
    async def setting(folder: Path) -> AsyncIterator[Standing]:
        async with relay(relaying.config(folder), handler) as (shared, _, port):
            streams = []
            for n in range(clients):
                streams.append(stream := await trio.open_tcp_stream("127.0.0.1", port))
                await stream.send_all(OPEN.replace(b"9b1f03aa", b"%08x" % n))
                assert await read_line(stream) == b"UP r1\r\n"
            while len(shared.standing) < clients:
                await trio.sleep(0.005)
            yield shared, streams

    return setting


def leaving_in(seconds: float) -> Leaving:
    return Leaving(trio.current_time(), THROUGH, deadline_s=seconds + 0.3)


@relaying.scripted(standing(300))
async def test_all_are_told_in_time_where_there_is_none_for_each(
    made: Standing, monkeypatch: pytest.MonkeyPatch
) -> None:
    leaving, counters = leaving_in(1.0), made[0].counters
    real = leaving.step
    # As on a machine that takes 0.4 s for each turn.
    monkeypatch.setattr(
        leaving,
        "step",
        lambda now, worked_s, left: replace(step, again_at=step.again_at + 0.4)
        if (step := real(now, worked_s, left))
        else step,
    )
    await finish_requests(leaving, made[0])
    for stream in made[1]:
        assert await read_line(stream) == MOVE and not await stream.receive_some()
    assert counters.moved == 300 and 0 < counters.moved_late < 300 and not counters.not_moved


@relaying.scripted(standing(2, partial(up, more=b"half a li")))
async def test_a_client_with_part_of_a_line_sees_a_reset_and_is_counted(made: Standing) -> None:
    await finish_requests(leaving_in(0.1), made[0])
    for stream in made[1]:
        assert await stream.receive_some() == b"half a li"
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()
    assert (made[0].counters.moved, made[0].counters.not_moved) == (0, 2)


@relaying.scripted(standing(1))
async def test_a_move_that_the_kernel_took_part_of_is_completed_and_nothing_comes_within_it(
    made: Standing, monkeypatch: pytest.MonkeyPatch
) -> None:
    (shared, [stream]), real = made, passing.send_now
    monkeypatch.setattr(passing, "send_now", lambda sock, data: real(sock, data[:2]))
    assert not next(iter(shared.standing)).move_now()
    await stream.send_all(b"hello\r\n")
    await trio.testing.wait_all_tasks_blocked(0.05)
    await finish_requests(leaving_in(1.0), shared)
    assert await read_line(stream) == MOVE and not await stream.receive_some()
    assert shared.counters.moved == 1
