"""Busy connections take little from the others: lines cost by their bytes, accepts come in numbers."""

import socket
import tracemalloc
from pathlib import Path

import pytest
import relaying
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from glenfold import lines
from glenfold.lines import LINE_END, MAX_LINE_BYTES, LineTracker, Reports, parse_load, read_reports
from glenfold.net.inbound import MAX_ACCEPTS_PER_TURN
from glenfold.net.passing import CHUNK_BYTES, StandingConnection

QUEUED_CLIENTS = 100  # fewer than a listener's queue holds
TURNS_AROUND = 10  # of the event loop, to begin with


# Guards against lines of two bytes that each cost as much as a long one, while others wait (incident 22).
@pytest.mark.parametrize("line", [b"", b"x", b"tick"])
def test_small_lines_make_no_objects_of_their_own(line: bytes) -> None:
    data = (line + LINE_END) * (CHUNK_BYTES // len(line + LINE_END))
    tracker = LineTracker()
    tracemalloc.start()
    try:
        completed = tracker.complete(data)
        reports = read_reports(completed)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert completed == data and reports == Reports(None, None)
    assert peak_bytes < 4 * len(data)


LINE_LENGTHS = st.lists(st.sampled_from([0, 1, 7, 2000, 4093, 4094, 4095, 9000]), max_size=8)


@given(LINE_LENGTHS)
def test_an_overlong_line_is_found_among_any_others(lengths: list[int]) -> None:
    data = b"".join(b"#" * length + LINE_END for length in lengths)
    assert lines.has_overlong_line(data) is any(length + len(LINE_END) > MAX_LINE_BYTES for length in lengths)


SERVER_LINES = st.lists(
    st.sampled_from(
        [
            b"LOAD 5",
            b"LOAD 7.5",
            b"LOAD nan",
            b"LOAD",
            b"LOADS 3",
            b"a LOAD 4",
            b"BYE",
            b"MOVE",
            b"BYE x",
            b"",
        ]
    ),
    max_size=8,
)


@given(SERVER_LINES)
def test_reports_are_those_of_the_lines_read_one_by_one(server_lines: list[bytes]) -> None:
    last_word, last_load = None, None
    for line in server_lines:
        word, _, rest = line.partition(b" ")
        if word in (b"BYE", b"MOVE"):
            last_word = word
        if word == b"LOAD" and parse_load(rest) is not None:
            last_load = parse_load(rest)
    assert read_reports(b"".join(line + LINE_END for line in server_lines)) == Reports(last_word, last_load)


# Guards against a flood of loads that fills the queue of the decisions, in which all other clients wait.
def test_of_many_loads_in_a_chunk_the_last_is_reported() -> None:
    async def main() -> list[float]:
        loads = list[float]()

        async def on_load(load: float) -> None:
            loads.append(load)

        client, client_end = trio.socket.socketpair()
        server, server_end = trio.socket.socketpair()
        with client_end, server_end:
            connection = StandingConnection(client, server, on_load)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run, b"", b"UP r1\r\n")
                await trio.testing.wait_all_tasks_blocked()
                await server_end.send(b"".join(b"LOAD %d\r\n" % number for number in range(300)))
                await trio.testing.wait_all_tasks_blocked(0.01)
                nursery.cancel_scope.cancel()
            connection.close_client()
        return loads

    assert trio.run(main) == [299.0]


# Guards against clients that wait for seconds to be accepted, where a turn is long (incident 22).
def test_clients_in_the_queue_are_accepted_in_a_few_turns_of_the_event_loop(tmp_path: Path) -> None:
    async def main() -> int:
        async with relaying.relay(relaying.config(tmp_path), relaying.accept_and_echo) as (relay, _, port):
            clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(QUEUED_CLIENTS)]
            for number, client in enumerate(clients):
                client.sendall(relaying.OPEN.replace(b"9b1f03aa", b"%08x" % number))
            for _ in range(TURNS_AROUND + QUEUED_CLIENTS // MAX_ACCEPTS_PER_TURN):
                await trio.lowlevel.checkpoint()
            for client in clients:
                client.close()
            return relay.counters.accepted

    assert trio.run(main) == QUEUED_CLIENTS
