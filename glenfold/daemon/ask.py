"""Questions and answers over a Unix socket: one JSON object per line in each direction.

Only processes of this user can connect. Each side learns the process id and user of its peer from the kernel.
"""

import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import trio

from glenfold.daemon import private_socket

MAX_ANSWER_BYTES = 1 << 20
MAX_QUESTION_BYTES = 1 << 14
# When a further client connects, the oldest connection is cancelled: it has had the most time.
MAX_CONNECTIONS = 16
CONNECTION_TIMEOUT_S = 5.0  # Covers receiving the question and sending its answer.
RETRY_DELAY_S = 0.1  # The wait before the next accept when no descriptor is free.
AnswerHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class NoAnswer(Exception):
    """Raised when nothing listens at the path, another user's process does, or no complete answer arrives."""


async def ask(path: Path, question: dict[str, Any], deadline: float) -> tuple[int, dict[str, Any]]:
    """Asks one question and returns the process id of the peer and its answer.

    `deadline` is a time on trio's clock. Raises NoAnswer.
    """
    try:
        with trio.fail_at(deadline):
            stream = await trio.open_unix_socket(str(path))
            async with stream:
                peer = private_socket.peer(stream.socket)
                if not peer.is_own_user:
                    raise NoAnswer(f"{path} is another user's")
                await stream.send_all(msgspec.json.encode(question) + b"\n")
                line = await _read_line(stream, MAX_ANSWER_BYTES)
                answer: dict[str, Any] = msgspec.json.decode(line, type=dict[str, Any])
                return peer.pid, answer
    except trio.TooSlowError:
        raise NoAnswer(f"{path}: no answer in time") from None
    except (OSError, trio.BrokenResourceError, msgspec.DecodeError, RecursionError) as error:
        raise NoAnswer(f"{path}: {error}") from error


async def _read_line(stream: trio.SocketStream, max_bytes: int) -> bytes:
    data = bytearray()
    while not data.endswith(b"\n"):
        chunk = await stream.receive_some(1 << 16)
        if not chunk or len(data) + len(chunk) > max_bytes:
            raise msgspec.DecodeError(
                f"a line is longer than {max_bytes} bytes"
                if chunk
                else "the connection ended before a complete line"
            )
        data += chunk
    return bytes(data)


def open_private(path: Path) -> trio.SocketListener:
    """Opens a listener for questions with `private_socket.listen`. Raises OSError."""
    return trio.SocketListener(private_socket.listen(path, socket.SOCK_STREAM, MAX_CONNECTIONS))


async def _answer(stream: trio.SocketStream, handler: AnswerHandler) -> dict[str, Any]:
    try:
        line = await _read_line(stream, MAX_QUESTION_BYTES)
        question: dict[str, Any] = msgspec.json.decode(line, type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError) as error:
        return {"refused": f"no question: {error}"}
    return await handler(question)


async def serve_answers(listener: trio.SocketListener, handler: AnswerHandler) -> None:
    """Answers one question per connection until it is cancelled.

    A malformed question is answered with a line that says so; a connection error ends only that connection.
    A silent client is disconnected after CONNECTION_TIMEOUT_S, or sooner when many others connect.
    """
    open_connections: dict[trio.SocketStream, trio.CancelScope] = {}

    async def serve_connection(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        try:
            with scope:
                async with stream:
                    answer = await _answer(stream, handler)
                    await stream.send_all(msgspec.json.encode(answer) + b"\n")
        except (OSError, trio.BrokenResourceError):
            return
        finally:
            del open_connections[stream]

    async with trio.open_nursery() as nursery:
        while True:
            try:
                stream = await listener.accept()
            except OSError:
                await trio.sleep(RETRY_DELAY_S)
                continue
            if not private_socket.peer(stream.socket).is_own_user:
                await trio.aclose_forcefully(stream)
                continue
            if len(open_connections) >= MAX_CONNECTIONS:
                next(iter(open_connections.values())).cancel()
                await trio.lowlevel.checkpoint()
            scope = open_connections[stream] = trio.CancelScope(
                deadline=trio.current_time() + CONNECTION_TIMEOUT_S
            )
            nursery.start_soon(serve_connection, stream, scope)
