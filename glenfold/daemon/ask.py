"""Questions and answers over a Unix socket: one JSON object in a line each way.

Only this user can connect, and both sides have the kernel tell them whose process the other one is.
"""

import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import trio

from glenfold.daemon import private_socket

MOST_BYTES = 1 << 20
MOST_QUESTION = 1 << 14
MOST_ASKING = 16  # at once; of more the oldest gives way, as it has had its time
ASKING_S = 5.0  # for a question to come and its answer to be taken
AGAIN_S = 0.1  # when there is no descriptor for another connection
Answering = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class NoAnswer(Exception):
    """Nobody is there, it is another user's, or no whole answer came."""


async def ask(path: Path, question: dict[str, Any], by: float) -> tuple[int, dict[str, Any]]:
    """Who answered, as its process id, and what. `by`: on trio's clock. Raises NoAnswer."""
    try:
        with trio.fail_at(by):
            stream = await trio.open_unix_socket(str(path))
            async with stream:
                peer = private_socket.peer(stream.socket)
                if not peer.is_own_user:
                    raise NoAnswer(f"{path} is another user's")
                await stream.send_all(msgspec.json.encode(question) + b"\n")
                line = await _line(stream, MOST_BYTES)
                answer: dict[str, Any] = msgspec.json.decode(line, type=dict[str, Any])
                return peer.pid, answer
    except trio.TooSlowError:
        raise NoAnswer(f"{path}: no answer in time") from None
    except (OSError, trio.BrokenResourceError, msgspec.DecodeError, RecursionError) as error:
        raise NoAnswer(f"{path}: {error}") from error


async def _line(stream: trio.SocketStream, most: int) -> bytes:
    data = bytearray()
    while not data.endswith(b"\n"):
        part = await stream.receive_some(1 << 16)
        if not part or len(data) + len(part) > most:
            raise msgspec.DecodeError(f"a line is longer than {most} bytes" if part else "no whole line")
        data += part
    return bytes(data)


def open_private(path: Path) -> trio.SocketListener:
    """Listens for questions; see `private_socket.listen`. Raises OSError."""
    return trio.SocketListener(private_socket.listen(path, socket.SOCK_STREAM, MOST_ASKING))


async def _answer(stream: trio.SocketStream, answering: Answering) -> dict[str, Any]:
    try:
        line = await _line(stream, MOST_QUESTION)
        question: dict[str, Any] = msgspec.json.decode(line, type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError) as error:
        return {"refused": f"no question: {error}"}
    return await answering(question)


async def answer_all(listener: trio.SocketListener, answering: Answering) -> None:
    """Until it is cancelled; one question a connection, and a fault ends only that one, with a line to tell.
    Whoever says nothing has ASKING_S, and gives way when many others come."""
    asking: dict[trio.SocketStream, trio.CancelScope] = {}

    async def one(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        try:
            with scope:
                async with stream:
                    answer = await _answer(stream, answering)
                    await stream.send_all(msgspec.json.encode(answer) + b"\n")
        except (OSError, trio.BrokenResourceError):
            return
        finally:
            del asking[stream]

    async with trio.open_nursery() as nursery:
        while True:
            try:
                stream = await listener.accept()
            except OSError:
                await trio.sleep(AGAIN_S)
                continue
            if not private_socket.peer(stream.socket).is_own_user:
                await trio.aclose_forcefully(stream)
                continue
            if len(asking) >= MOST_ASKING:
                next(iter(asking.values())).cancel()
                await trio.lowlevel.checkpoint()
            scope = asking[stream] = trio.CancelScope(deadline=trio.current_time() + ASKING_S)
            nursery.start_soon(one, stream, scope)
