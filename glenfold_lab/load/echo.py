"""The simplest server for a load: answers UP to each first line at once and echoes all later lines.

A measurement against it shows the cost of the load generator itself, with the machine and its loopback.
"""

import gc
import multiprocessing
import signal
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from multiprocessing.connection import Connection

import psutil  # type: ignore[import-untyped]
import trio

from glenfold.config import Address
from glenfold.lines import LINE_END, MAX_LINE_BYTES
from glenfold_lab.load.worker_pool import raise_descriptor_limit

BACKLOG = 4096
UP = b"UP echo" + LINE_END


@contextmanager
def echo_servers(count: int, cores: Sequence[int]) -> Iterator[list[Address]]:
    """Runs `count` echo server processes on ephemeral loopback ports, pinned to `cores`.

    Yields their addresses. The processes end with this block, or with this process.
    """
    context = multiprocessing.get_context("spawn")
    pipes = []
    processes = []
    for _ in range(count):
        parent_end, child_end = context.Pipe()
        process = context.Process(target=serve, args=(child_end, list(cores)), daemon=True)
        process.start()
        child_end.close()
        pipes.append(parent_end)
        processes.append(process)
    try:
        yield [pipe.recv() for pipe in pipes]
    finally:
        for pipe in pipes:
            pipe.close()
        for process in processes:
            process.join()


def serve(pipe: Connection, cores: list[int]) -> None:
    """Runs one echo server process: sends its address over `pipe` and ends when the pipe closes."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    psutil.Process().cpu_affinity(cores)
    raise_descriptor_limit()
    gc.disable()  # Pauses of the garbage collector would be measured as latency of the load.
    trio.run(_serve, pipe)


async def _serve(pipe: Connection) -> None:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=BACKLOG)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, echo, listeners)
        pipe.send(listeners[0].socket.getsockname())
        await trio.lowlevel.wait_readable(pipe.fileno())
        nursery.cancel_scope.cancel()


async def echo(stream: trio.abc.HalfCloseableStream) -> None:
    """Serves one connection until it ends."""
    try:
        first = b""
        while not first.endswith(LINE_END):
            data = await stream.receive_some(MAX_LINE_BYTES)
            if not data:
                return
            first += data
        await stream.send_all(UP)
        while data := await stream.receive_some(MAX_LINE_BYTES):
            await stream.send_all(data)
    except trio.BrokenResourceError:
        pass  # A reset ends the connection too.
    finally:
        await trio.aclose_forcefully(stream)
