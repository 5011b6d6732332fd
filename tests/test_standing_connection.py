"""Standing connections whose client or server leaves in the moment in which the client is to be sent MOVE."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest
import relaying
import trio
import trio.testing
from relaying import OPEN, read_line
from test_last_moments import StoppingProcess, stopping_process

from glenfold import lines
from glenfold.lines import LineTracker
from glenfold.net import passing
from glenfold.net.passing import StandingConnection
from glenfold.net.sockets import reset_on_close
from linnetspread.interface import Move, Outcome

HALF_LINE = b"half of a"
RESTS_OF_LINE = (b" line\r\n", b" second line\r\n")  # for the first connection and the second


class Ends:
    """A standing connection that is not running yet, and the other ends of its two sockets."""

    def __init__(self) -> None:
        client, self.client = trio.socket.socketpair()
        server, self.server = trio.socket.socketpair()
        self.connection = StandingConnection(client, server, self._ignore_load)

    async def _ignore_load(self, load: float) -> None:
        return

    def close(self) -> None:
        for sock in (self.client, self.server, self.connection.client, self.connection.server):
            sock.close()


@asynccontextmanager
async def standing(folder: Path) -> AsyncIterator[Ends]:
    ends = Ends()
    yield ends
    ends.close()


@relaying.async_test(standing)
async def test_a_client_that_closed_before_its_move_ends_without_an_error(ends: Ends) -> None:
    """Guards against a BrokenPipeError that counts as a fault of the relay."""
    ends.client.close()
    with trio.fail_after(2.0):
        await ends.connection.move()
    assert ends.connection.is_ending and not ends.connection.moved and not ends.connection.cut_off
    assert ends.connection.outcome is Outcome.CANCELLED


@pytest.mark.parametrize("at_once", [False, True])
@pytest.mark.parametrize(
    ("last_line", "outcome"),
    [(b"BYE\r\n", Outcome.OK), (b"MOVE\r\n", Outcome.CANCELLED), (b"", Outcome.RESET)],
)
@relaying.async_test(standing)
async def test_a_client_that_was_sent_the_servers_end_is_not_moved_as_well(
    ends: Ends, last_line: bytes, outcome: Outcome, at_once: bool
) -> None:
    """Guards against an error in MOVE after FIN, and against a wrong report of how the server ended."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.connection.run, b"", b"UP r1\r\n")
        await ends.server.send(last_line)
        ends.server.shutdown(socket.SHUT_WR)
        received = b""
        while data := await ends.client.recv(100):
            received += data
        if at_once:
            assert ends.connection.move_now()
        else:
            await ends.connection.move()
        ends.client.close()
    assert received == last_line
    assert ends.connection.outcome is outcome and not ends.connection.moved


@relaying.async_test(standing)
async def test_a_move_that_waits_for_room_survives_the_end_of_its_connection(ends: Ends) -> None:
    """Guards against an error in the task that moves clients when the socket closes under it."""
    while passing.send_now(ends.connection.client, b"#" * 4096):
        pass
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.connection.move, trio.current_time() + 5.0)
        await trio.testing.wait_all_tasks_blocked()
        ends.connection._end(Outcome.RESET)
        ends.connection.client.close()
    assert not ends.connection.moved and ends.connection.outcome is Outcome.RESET


@relaying.async_test(standing)
async def test_a_move_that_was_sent_in_part_is_continued_and_not_begun_anew(
    ends: Ends, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a client that receives MOMOVE where its buffer took two bytes before the time limit."""
    real, sent = type(ends.connection.client).send, list[bytes]()

    async def send_two_bytes(sock: object, data: bytes) -> int:
        if sent:
            await trio.sleep_forever()
        sent.append(data)
        return await real(sock, data[:2])  # type: ignore[arg-type]

    async def send_nothing(sock: object, data: object) -> int:
        return await trio.sleep_forever()

    monkeypatch.setattr(type(ends.connection.client), "send", send_two_bytes)
    monkeypatch.setattr(type(ends.connection.client), "sendmsg", send_nothing)
    await ends.connection.move(trio.current_time() + 0.05)
    assert ends.connection.moved and await ends.client.recv(100) == lines.MOVE


def reset_when_line_ends(monkeypatch: pytest.MonkeyPatch, client: trio.SocketStream) -> None:
    """Resets the first connection in the turn in which the relay has sent its client the line."""
    real = StandingConnection._note_reports

    async def note_reports(connection: StandingConnection, data: bytes) -> None:
        if data == HALF_LINE + RESTS_OF_LINE[0]:
            reset_on_close(client.socket)
            client.socket.close()
        await real(connection, data)

    monkeypatch.setattr(StandingConnection, "_note_reports", note_reports)


class HalfLineServer:
    """A push server that sends half of a line after UP, and the rest when `finish` is set."""

    def __init__(self) -> None:
        self.finish = trio.Event()
        self._rests = iter(RESTS_OF_LINE)

    async def __call__(self, stream: trio.SocketStream) -> None:
        rest = next(self._rests)
        await stream.send_all(b"UP r1\r\n" + HALF_LINE)
        await self.finish.wait()
        await stream.send_all(rest)
        await stream.receive_some()


async def wait_for_half_lines(stopping: StoppingProcess, count: int) -> None:
    """Waits until the relay has the beginning of a line for this many connections."""
    with trio.fail_after(5.0):
        while sum(connection.has_begun_line for connection in stopping.process.relay.standing) < count:
            await trio.sleep(0.005)


def test_a_client_that_resets_as_it_is_moved_does_not_end_the_shutdown_of_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one client's reset ending a stopping relay and cutting off all its other clients."""

    async def main() -> None:
        server = HalfLineServer()
        async with stopping_process(server, 2.5)(tmp_path) as stopping:
            streams = []
            for number in range(2):
                streams.append(stopping.connect(OPEN.replace(b"9b1f03aa", b"%08x" % number)))
                assert await read_line(streams[number]) == b"UP r1\r\n"
                await wait_for_half_lines(stopping, number + 1)
            leaving, staying = streams
            reset_when_line_ends(monkeypatch, leaving)
            moving = observe_moves(monkeypatch)
            stopping.process.stop()
            with trio.fail_after(5.0):
                while not moving:  # the oldest is the first
                    await trio.sleep(0.005)
            server.finish.set()
            assert await read_line(staying) == HALF_LINE + RESTS_OF_LINE[1]
            assert await read_line(staying) == lines.MOVE
            await stopping.wait_until_ended()
            check_counters(stopping)

    trio.run(main)


def observe_moves(monkeypatch: pytest.MonkeyPatch) -> list[StandingConnection]:
    """Returns the list to which each connection is added when a task begins to move its client."""
    real, moving = StandingConnection.move, list[StandingConnection]()

    async def move(connection: StandingConnection, until: float | None = None) -> None:
        moving.append(connection)
        await real(connection, until)

    monkeypatch.setattr(StandingConnection, "move", move)
    return moving


def check_counters(stopping: StoppingProcess) -> None:
    counters = stopping.process.relay.counters
    assert (counters.faults, counters.moved, counters.not_moved, counters.broken) == (0, 1, 0, 0)
    assert counters.ended == 2


def test_a_client_that_was_sent_the_servers_end_as_the_decisions_move_it_is_no_fault(tmp_path: Path) -> None:
    """Guards against connection.failed and a count in `faults` for a connection that is ending already."""

    async def say_bye(stream: trio.SocketStream) -> None:
        await read_line(stream)
        await stream.send_all(b"UP r1\r\nBYE\r\n")

    async def main() -> None:
        async with relaying.relay(relaying.config(tmp_path), say_bye) as (relay, _, port):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(OPEN)
            for line in (b"UP r1\r\n", b"BYE\r\n", b""):
                assert await read_line(stream) == line
            relay.decisions._send_action(Move(next(iter(relay.decisions._routes))))
            with trio.fail_after(5.0):
                while relay.standing or relay.ids:
                    await trio.sleep(0.005)
        counters = relay.counters
        assert (counters.faults, counters.moved, counters.broken, counters.ended) == (0, 0, 0, 1)

    trio.run(main)


# Guards against MOVE that finds no place, as each chunk ends within a line (incident 15).
@pytest.mark.parametrize(
    ("before", "after", "passed"),
    [
        (b"a 1\r\na 2 beg", b"in\r\na 3 half", b"a 1\r\na 2 begin\r\n"),
        (b"a 1\r\na 2\r", b"\na 3 half", b"a 1\r\na 2\r\n"),
        (b"a 1\r\na 2 beg", b"in\r\na 3\r\na 4\r\na 5 half", b"a 1\r\na 2 begin\r\na 3\r\na 4\r\n"),
        (b"a 1 half", b" of a line\r\n", b"a 1 half of a line\r\n"),
    ],
)
@relaying.async_test(standing)
async def test_move_is_put_at_the_line_end_within_a_chunk(
    ends: Ends, before: bytes, after: bytes, passed: bytes
) -> None:
    with trio.fail_after(5.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ends.connection.run, b"", b"UP r1\r\n")
            await ends.server.send(before)
            await trio.testing.wait_all_tasks_blocked(0.01)
            nursery.start_soon(ends.connection.move)
            await trio.testing.wait_all_tasks_blocked(0.01)
            await ends.server.send(after)
            received = b""
            while not received.endswith(lines.MOVE):
                part = await ends.client.recv(100)
                assert part, "the stream ended without MOVE"
                received += part
    assert received == passed + lines.MOVE
    assert ends.connection.moved and not ends.connection.cut_off
    assert ends.connection.outcome is Outcome.CANCELLED


@pytest.mark.parametrize("data", [b"", b"a", b"a\r", b"a\r\n", b"\n", b"\nb", b"a\r\nb\r\nc", b"\r\n\r\n"])
@pytest.mark.parametrize("partial", [b"", b"x", b"x\r"])
def test_what_a_chunk_completes_ends_with_its_last_line_and_the_rest_is_kept(
    partial: bytes, data: bytes
) -> None:
    tracker = LineTracker()
    assert tracker.complete(partial) == b""
    completed = tracker.complete(data)
    assert completed == lines.whole_lines(partial + data)
    assert completed + tracker.partial == partial + data
    assert not completed or completed.endswith(lines.LINE_END)
    assert lines.LINE_END not in tracker.partial
    assert tracker.between_lines is (completed == partial + data)


async def received_until_end(sock: trio.socket.SocketType) -> bytes:
    """Returns all that a client received until its connection ended in order; raises after a reset."""
    received = b""
    with trio.fail_after(5.0):
        while data := await sock.recv(10_000):
            received += data
    return received


# Guards against a client that is reset without MOVE in the middle of a line (incident 19).
@pytest.mark.parametrize("begun", [b"half", b"half\r", b"#" * 4000], ids=["half", "up to LF", "long"])
@pytest.mark.parametrize("at_once", [False, True])
@relaying.async_test(standing)
async def test_a_client_is_moved_while_its_server_stays_within_a_line(
    ends: Ends, begun: bytes, at_once: bool
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.connection.run, b"", b"UP r1\r\n")
        await ends.server.send(b"a 1\r\n" + begun)
        await trio.testing.wait_all_tasks_blocked(0.02)
        if at_once:
            assert ends.connection.move_now()
        else:
            await ends.connection.move()
    ends.connection.half_close_client()
    assert await received_until_end(ends.client) == b"a 1\r\n" + lines.MOVE
    assert ends.connection.moved and not ends.connection.cut_off


# Guards against half a line that comes in one chunk with UP and is passed on with it (incident 19).
def test_a_line_that_begins_in_the_chunk_of_up_is_passed_on_once_it_is_complete(tmp_path: Path) -> None:
    server = HalfLineServer()

    async def main() -> None:
        async with relaying.relay(relaying.config(tmp_path), server) as (relay, _, port):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(OPEN)
            with trio.fail_after(5.0):
                while not any(connection.has_begun_line for connection in relay.standing):
                    await trio.sleep(0.005)
                assert await stream.receive_some() == b"UP r1\r\n"
                server.finish.set()
                assert await read_line(stream) == HALF_LINE + RESTS_OF_LINE[0]

    trio.run(main)


# Guards against the loss of a server's last bytes where they are no whole line.
@pytest.mark.parametrize("last", [b"half", b"a 1\r\nhalf\r"])
@relaying.async_test(standing)
async def test_the_beginning_of_a_line_is_passed_on_where_the_server_ends_after_it(
    ends: Ends, last: bytes
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.connection.run, b"", b"UP r1\r\n")
        await ends.server.send(last)
        ends.server.shutdown(socket.SHUT_WR)
        assert await received_until_end(ends.client) == last
        ends.client.close()
    assert ends.connection.outcome is Outcome.RESET


# Guards against a client that is cut off, as its server sends a line without an end (incident 19).
@relaying.async_test(standing)
async def test_a_client_is_moved_off_a_server_that_sends_an_overlong_line(ends: Ends) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.connection.run, b"", b"UP r1\r\n")
        await ends.server.send(b"a 1\r\n" + b"#" * lines.MAX_LINE_BYTES)
    ends.connection.half_close_client()
    assert await received_until_end(ends.client) == b"a 1\r\n" + lines.MOVE
    assert ends.connection.moved and ends.connection.outcome is Outcome.ERROR


# Guards against a part of a line that a client takes for a whole one, as it reads too slowly for the rest.
@relaying.async_test(standing)
async def test_a_client_that_took_part_of_a_line_is_reset_when_its_time_is_over(ends: Ends) -> None:
    while passing.send_now(ends.connection.client, b"#" * 4096):
        pass
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.connection.run, b"", b"UP r1\r\n")
        await ends.server.send(b"#" * 100 + b"\r\n")
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert not ends.connection.move_now()
        ends.connection.cut()
    assert ends.connection.cut_off and ends.connection._aborted


# Guards against a line that begins with LOAD and reports none, which ended the connection (incident 17).
@pytest.mark.parametrize("rest", [b" average 0.5", b"", b" nan", b" -1", b" 1e999"])
@relaying.async_test(standing)
async def test_a_line_that_reports_no_load_is_passed_on_like_any_other(ends: Ends, rest: bytes) -> None:
    loads = list[float]()

    async def on_load(load: float) -> None:
        loads.append(load)

    connection = StandingConnection(ends.connection.client, ends.connection.server, on_load)
    with trio.fail_after(5.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.run, b"", b"UP r1\r\n")
            for data in (b"LOAD%b\r\n" % rest, b"LOAD 50.5\r\n"):
                await ends.server.send(data)
                assert await ends.client.recv(100) == data
            await trio.testing.wait_all_tasks_blocked()
            assert loads == [50.5] and not connection.is_ending
            nursery.cancel_scope.cancel()


# Guards against lines sent on for a client that has reset, as its server reads nothing (incident 24).
@relaying.async_test(standing)
async def test_a_reset_is_passed_on_while_the_server_takes_nothing(ends: Ends) -> None:
    while passing.send_now(ends.connection.server, b"#" * lines.MAX_LINE_BYTES):
        pass
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.connection.run, b"M 1\r\n", b"UP r1\r\n")
        await trio.testing.wait_all_tasks_blocked(0.01)
        ends.client.close()  # of a Unix socket: the kernel tells the relay's end at once
        with trio.fail_after(5.0):
            while not ends.connection.is_ending:
                await trio.sleep(0.005)
    assert not ends.connection.silent  # it did not end for the server's silence, which is noticed much later
    received = b""
    with suppress(OSError):
        while data := await ends.server.recv(1 << 20):
            received += data
    assert b"M 1" not in received
