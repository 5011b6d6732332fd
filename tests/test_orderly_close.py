"""The end of a standing connection: its client receives all that was sent to it, and MOVE between lines."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import relaying
import trio
import trio.testing

from glenfold.lines import MOVE
from glenfold.net.closing import HALF_CLOSE_TIMEOUT_S
from glenfold.net.passing import StandingConnection
from glenfold.net.sockets import SocketType, reset_on_close
from linnetspread.interface import Outcome

RECEIPT = b"UP r1\r\n"
WITHIN_S = 10.0
# More than one chunk, and more than the system takes for a client that does not read, whose buffer is small.
BACKLOG = b"".join(b"TRIP %06d %s\r\n" % (n, b"x" * (n % 400)) for n in range(4000))
CLIENT_BUFFER_BYTES = 8192


class Ends:
    """A standing connection over TCP, and the sockets of its client and its push server."""

    def __init__(self, client: tuple[SocketType, SocketType], server: tuple[SocketType, SocketType]) -> None:
        """Takes the two TCP connections; the relay's end of each is the second socket."""
        self.client, self.server = client[0], server[0]
        self.connection = StandingConnection(client[1], server[1], self._ignore_load)
        self.closed = trio.Event()

    async def _ignore_load(self, load: float) -> None:
        return

    async def run(self, stall_timeout_s: float = WITHIN_S) -> None:
        try:
            await self.connection.run(b"", RECEIPT)
            self.connection.half_close_client()
            await self.connection.wait_for_client(stall_timeout_s)
        finally:
            self.connection.close_client()
            self.closed.set()

    async def read(self, count: int) -> bytes:
        """Reads `count` bytes as the client."""
        data = b""
        while len(data) < count:
            part = await self.client.recv(count - len(data))
            assert part, f"the stream ended after {len(data)} of {count} bytes"
            data += part
        return data


def tcp_pair(receive_buffer_bytes: int | None = None) -> tuple[SocketType, SocketType]:
    """Returns both ends of a TCP connection; the first one's receive buffer may be limited."""
    listener = socket.create_server(("127.0.0.1", 0))
    first = socket.socket()
    if receive_buffer_bytes is not None:
        first.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    first.connect(listener.getsockname())
    second, _ = listener.accept()
    listener.close()
    return trio.socket.from_stdlib_socket(first), trio.socket.from_stdlib_socket(second)


@asynccontextmanager
async def ends(folder: Path) -> AsyncIterator[Ends]:
    client, server = tcp_pair(CLIENT_BUFFER_BYTES), tcp_pair()
    yield Ends(client, server)
    for sock in (*client, *server):
        sock.close()


async def until_blocked() -> None:
    for _ in range(3):  # bytes on loopback may take several turns to arrive
        await trio.testing.wait_all_tasks_blocked(0.01)


# Guards against a client that is reset before it has read MOVE, by a close over its lines (incident 15).
@relaying.async_test(ends)
async def test_a_client_that_sends_while_it_still_reads_gets_all_lines_and_move(ends: Ends) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.run)
        nursery.start_soon(ends.server.send, BACKLOG)
        await until_blocked()
        nursery.start_soon(ends.connection.move)
        received, text = b"", b"HELLO\r\n"
        with trio.fail_after(WITHIN_S):
            while not received.endswith(b"\r\n" + MOVE):
                received += await ends.read(1)
                part = await ends.client.recv(20_000)
                assert part, "the stream ended without MOVE"
                received += part
                await ends.client.send(text)
            assert not await ends.client.recv(1)
        ends.client.close()
        await ends.closed.wait()
        nursery.cancel_scope.cancel()
    lines = received.removesuffix(MOVE)
    assert BACKLOG.startswith(lines) and lines.endswith(b"\r\n")
    assert ends.connection.moved and not ends.connection.cut_off


# Guards against lines that a client loses at the end of its push server, as it reads them late (incident 15).
@relaying.async_test(ends)
async def test_a_client_that_reads_late_gets_all_lines_before_the_end_of_its_server(ends: Ends) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.run)

        async def send_and_end() -> None:
            await trio.SocketStream(ends.server).send_all(BACKLOG + b"BYE\r\n")
            ends.server.close()

        nursery.start_soon(send_and_end)
        with trio.fail_after(2 * WITHIN_S):
            received = b""
            while not received.endswith(b"BYE\r\n"):
                received += await ends.client.recv(100_000)
                if len(received) < 200_000:
                    await trio.sleep(2 * HALF_CLOSE_TIMEOUT_S / 10)
                await ends.client.send(b"HELLO\r\n")
            assert not await ends.client.recv(1)
            ends.client.close()
            await ends.closed.wait()
    assert received == BACKLOG + b"BYE\r\n" and ends.connection.outcome is Outcome.OK


# Guards against a client that counts as moved, though its system never took MOVE (incident 15).
@relaying.async_test(ends)
async def test_a_client_that_never_reads_is_given_up_and_does_not_count_as_moved(ends: Ends) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.run, 0.2)
        # The system takes these for a client that reads nothing, and MOVE behind them.
        await ends.server.send(b"a line\r\n" * (2 * CLIENT_BUFFER_BYTES))
        await until_blocked()
        with trio.fail_after(WITHIN_S):
            await ends.connection.move()
            assert ends.connection.moved
            await ends.closed.wait()
        nursery.cancel_scope.cancel()
    assert not ends.connection.moved and ends.connection.cut_off


@relaying.async_test(ends)
async def test_a_client_that_reads_all_and_never_closes_is_closed_and_counts_as_moved(ends: Ends) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.run)
        await until_blocked()
        with trio.fail_after(WITHIN_S):
            await ends.connection.move()
            assert await ends.read(len(MOVE)) == MOVE
            await ends.closed.wait()
    assert ends.connection.moved and not ends.connection.cut_off


@relaying.async_test(ends)
async def test_a_client_that_resets_before_it_took_move_is_neither_moved_nor_cut_off(ends: Ends) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.run)
        await ends.server.send(b"a line\r\n" * (2 * CLIENT_BUFFER_BYTES))
        await until_blocked()
        with trio.fail_after(WITHIN_S):
            await ends.connection.move()
            ends.client.close()  # over bytes that it has not read
            await ends.closed.wait()
    assert not ends.connection.moved and not ends.connection.cut_off


# Guards against an end that a stopping relay passes on only once it has told all clients to move.
@pytest.mark.parametrize("how", ["reset", "end"])
def test_a_push_servers_end_is_passed_on_at_once_while_other_clients_are_moved(
    tmp_path: Path, how: str
) -> None:
    async def server(stream: trio.SocketStream) -> None:
        await relaying.read_line(stream)
        await stream.send_all(RECEIPT)
        await relaying.read_line(stream)
        if how == "reset":
            reset_on_close(stream.socket)

    async def main() -> None:
        conf = relaying.config(tmp_path)
        async with (
            relaying.relay(conf, server) as (shared, _, port),
            await trio.open_tcp_stream("127.0.0.1", port) as client,
        ):
            await client.send_all(relaying.OPEN)
            assert await relaying.read_line(client) == RECEIPT
            shared.moves_sent = trio.Event()  # others are still being moved
            await client.send_all(b"M 1\r\n")
            with trio.fail_after(1.0):
                if how == "reset":
                    with pytest.raises(trio.BrokenResourceError):
                        await client.receive_some()
                else:
                    assert not await client.receive_some()
                while shared.connections:
                    await trio.sleep(0.01)

    trio.run(main)
