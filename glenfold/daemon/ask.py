"""Questions and answers over a Unix socket: one JSON object in a line each way.

Only this user can connect, and both sides have the kernel tell them whose process the other one is.
"""

import os
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import trio

MOST_BYTES = 1 << 20
MOST_QUESTION = 1 << 14
MOST_ASKING = 16  # at once; of more the oldest gives way, as it has had its time
ASKING_S = 5.0  # for a question to come and its answer to be taken
AGAIN_S = 0.1  # when there is no descriptor for another connection
Answering = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class NoAnswer(Exception):
    """Nobody is there, it is another user's, or no whole answer came."""


def peer(sock: trio.socket.SocketType | socket.socket) -> tuple[int, int]:
    """Process id and user of the other end, as the kernel noted them when it connected or began to listen."""
    size = struct.calcsize("3i")
    pid, user, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size))
    return pid, user


async def ask(path: Path, question: dict[str, Any], by: float) -> tuple[int, dict[str, Any]]:
    """Who answered, as its process id, and what. `by`: on trio's clock. Raises NoAnswer."""
    try:
        with trio.fail_at(by):
            stream = await trio.open_unix_socket(str(path))
            async with stream:
                pid, user = peer(stream.socket)
                if user != os.getuid():
                    raise NoAnswer(f"{path} is another user's")
                await stream.send_all(msgspec.json.encode(question) + b"\n")
                line = await _line(stream, MOST_BYTES)
                answer: dict[str, Any] = msgspec.json.decode(line, type=dict[str, Any])
                return pid, answer
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
    """Takes the place of whatever was there; nobody gets in before its mode is 0600. Raises OSError."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    own = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        own.unlink(missing_ok=True)
        sock.bind(str(own))
        own.chmod(0o600)
        sock.listen(MOST_ASKING)
        own.rename(path)
    except OSError:
        sock.close()
        own.unlink(missing_ok=True)
        raise
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


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
            if peer(stream.socket)[1] != os.getuid():
                await trio.aclose_forcefully(stream)
                continue
            if len(asking) >= MOST_ASKING:
                next(iter(asking.values())).cancel()
                await trio.lowlevel.checkpoint()
            scope = asking[stream] = trio.CancelScope(deadline=trio.current_time() + ASKING_S)
            nursery.start_soon(one, stream, scope)
