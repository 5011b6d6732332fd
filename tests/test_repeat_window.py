"""Repeats of keyed requests, which push servers drop only within a window after the first attempt."""

import math
import socket
from pathlib import Path
from typing import Any

import pytest
import relaying
import trio
import trio.testing
from relaying import OPEN, read_line

from glenfold.clock import SECOND_US
from glenfold.counters import Counters
from glenfold.net.exchange import Exchange

WINDOW_S = 1.0
UP = b"UP r1\r\n"


class FirstFailsServer:
    """Push servers of which the first that gets a line answers ERR, and all others UP; records the lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    async def __call__(self, stream: trio.SocketStream) -> None:
        if line := await read_line(stream):
            self.lines.append(line)
            await stream.send_all(b"ERR\r\n" if len(self.lines) == 1 else UP)
            await stream.receive_some()


def settings(group: str) -> dict[str, Any]:
    """Settings with one keyed class, whose connections may come up long after its window."""
    keyed = {"semantics": "by_key", "group": group, "window_us": round(WINDOW_S * SECOND_US)}
    return {
        **relaying.SETTINGS,
        "classes": [relaying.SETTINGS["classes"][0] | keyed],
        "ceilings": relaying.SETTINGS["ceilings"] | {"connect_timeout_us": 5 * SECOND_US},
    }


def run_request(
    folder: Path, servers: FirstFailsServer, clock: trio.testing.MockClock, group: str = "all"
) -> tuple[bytes, Counters]:
    """Sends one request to a relay of two push servers; returns its answer and the relay's counters."""

    async def main() -> tuple[bytes, Counters]:
        conf = relaying.config(folder, settings=settings(group))
        async with (
            relaying.relay(conf, servers, hosts=2) as (shared, _, port),
            await trio.open_tcp_stream("127.0.0.1", port) as client,
        ):
            await client.send_all(OPEN)
            return await read_line(client), shared.counters

    answer, counters = trio.run(main, clock=clock)
    assert counters.faults == 0
    return answer, counters


# Guards against a keyed request that is sent again after its window over a late connection (incident 09).
@pytest.mark.parametrize(
    ("group", "late_s", "answer", "lines_sent"),
    [
        ("all", WINDOW_S - 0.1, UP, 2),
        ("all", WINDOW_S, b"BUSY", 1),
        ("all", WINDOW_S + 0.4, b"BUSY", 1),
        ("zone", WINDOW_S + 0.4, b"ERR", 1),
    ],
)
def test_a_keyed_request_is_not_sent_over_a_connection_that_comes_up_after_its_window(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, group: str, late_s: float, answer: bytes, lines_sent: int
) -> None:
    servers, clock = FirstFailsServer(), trio.testing.MockClock()
    check, checks = Exchange._check_before_send, list[object]()

    def check_late(self: Exchange, *arguments: Any) -> object:
        checks.append(self)
        if len(checks) == 4:  # each call checks twice: before it begins, and once it has connected
            clock.jump(late_s)
        return check(self, *arguments)

    monkeypatch.setattr(Exchange, "_check_before_send", check_late)
    answered, counters = run_request(tmp_path, servers, clock, group)
    assert answered.startswith(answer) and len(servers.lines) == lines_sent
    assert counters.repeats_unsent == (lines_sent == 1)


# Guards against a keyed request that waits for a connection beyond its window (incident 09).
def test_a_keyed_request_is_answered_at_the_end_of_its_window_if_no_connection_comes_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    servers, clock = FirstFailsServer(), trio.testing.MockClock()
    with socket.socket() as sample:
        socket_type = type(trio.socket.from_stdlib_socket(sample))
    connect, waited_s = socket_type.connect, list[float]()

    async def connect_or_hang(self: Any, address: Any) -> None:
        if not servers.lines:
            return await connect(self, address)
        started_at, clock.autojump_threshold = trio.current_time(), 0
        try:
            await trio.sleep_forever()
        finally:
            clock.autojump_threshold = math.inf
            waited_s.append(trio.current_time() - started_at)

    monkeypatch.setattr(socket_type, "connect", connect_or_hang)
    answered, counters = run_request(tmp_path, servers, clock)
    assert answered.startswith(b"BUSY") and len(servers.lines) == 1
    assert waited_s == [pytest.approx(WINDOW_S, abs=0.001)] and counters.repeats_unsent == 1
