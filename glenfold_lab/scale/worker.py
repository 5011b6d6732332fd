"""A process of a scale run that answers requests over a pipe, one after the other."""

import gc
import multiprocessing
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from multiprocessing.connection import Connection
from typing import Self

import trio

END_S = 2.0  # for a worker to end by itself


class WorkerFailed(Exception):
    """A worker has ended without an answer."""


class Worker:
    """`serve` runs there, in a trio loop, until its pipe ends; it has to be importable by name."""

    def __init__(self, serve: Callable[["Requests"], Awaitable[None]]) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, there = context.Pipe()
        self._process = context.Process(target=_work, args=(there, serve), daemon=True)
        self._process.start()
        there.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        """It hears the end of its pipe; one that does not heed it is killed."""
        self._pipe.close()
        self._process.join(END_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()

    async def ask(self, request: object) -> object:
        """Sends it, and waits for the answer. Raises WorkerFailed."""
        try:
            self._pipe.send(request)
            return await _receive(self._pipe)
        except (EOFError, OSError) as error:
            raise WorkerFailed(f"a worker failed: {error!r}") from error


class Requests:
    """The worker's end: each request is to be answered before the next one is read. No request is None."""

    def __init__(self, pipe: Connection) -> None:
        self._pipe = pipe

    async def next(self) -> object:
        """None once the parent has closed the pipe or ended."""
        try:
            return await _receive(self._pipe)
        except (EOFError, ConnectionResetError):
            return None

    def answer(self, message: object) -> None:
        with suppress(BrokenPipeError):  # the parent has ended, which `next` tells
            self._pipe.send(message)


async def _receive(pipe: Connection) -> object:
    await trio.lowlevel.wait_readable(pipe.fileno())
    message: object = pipe.recv()
    return message


def _work(pipe: Connection, serve: Callable[[Requests], Awaitable[None]]) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # it ends with its pipe
    gc.disable()  # a collection would look like a stop of what is measured
    trio.run(serve, Requests(pipe))
