"""Runs a `StandInWorker` in a child process that is controlled over a pipe."""

import gc
import multiprocessing
import signal
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from multiprocessing.connection import Connection

import trio

from glenfold_lab.load.worker_pool import raise_descriptor_limit
from glenfold_lab.stand_ins.addresses import Addresses
from glenfold_lab.stand_ins.service import SecondCounts
from glenfold_lab.stand_ins.worker import Report, StandInWorker, Times


class WorkerFailed(Exception):
    """Raised when a process of stand-ins ends without sending its report."""


class RemoteWorker:
    """A `StandInWorker` in a child process, which ends with this process at the latest."""

    def __init__(self, worker: StandInWorker) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._number = worker.share.number
        self._process = context.Process(target=_child_main, args=(child_pipe, worker), daemon=True)
        self._process.start()
        child_pipe.close()
        self._report: Report | None = None

    async def bind(self) -> Addresses:
        addresses = await self._receive_message()
        assert isinstance(addresses, Addresses)
        return addresses

    async def play(
        self,
        addresses: Addresses,
        wait_for_start: Callable[[], Awaitable[Times]],
        report_second: Callable[[SecondCounts], None],
    ) -> None:
        self._pipe.send(addresses)
        self._pipe.send(await wait_for_start())
        while not isinstance(message := await self._receive_message(), Report):
            assert isinstance(message, SecondCounts)
            report_second(message)
        self._report = message

    def report(self) -> Report:
        assert self._report is not None
        return self._report

    async def _receive_message(self) -> object:
        try:
            return await _receive(self._pipe)
        except EOFError:
            self._process.join(1)
            text = f"process {self._number} of the stand-ins ended with status {self._process.exitcode}"
            raise WorkerFailed(text) from None

    def end(self) -> None:
        """Closes the pipe, which ends the child process; a child that does not end within 2 s is killed."""
        self._pipe.close()
        self._process.join(2)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


@contextmanager
def remote(workers: Sequence[StandInWorker]) -> Iterator[list[RemoteWorker]]:
    """Starts a child process for each worker and ends all of them with the context, also after an error."""
    remotes: list[RemoteWorker] = []
    try:
        for worker in workers:
            remotes.append(RemoteWorker(worker))
        yield remotes
    finally:
        for each in remotes:
            each.end()


async def _receive(pipe: Connection) -> object:
    await trio.lowlevel.wait_readable(pipe.fileno())
    message: object = pipe.recv()
    return message


def _child_main(pipe: Connection, worker: StandInWorker) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # The child ends when its pipe is closed.
    raise_descriptor_limit()
    gc.disable()  # A collection would block the event loop for longer than the permitted lateness.
    with suppress(EOFError, BrokenPipeError):
        trio.run(_play, pipe, worker)


async def _play(pipe: Connection, worker: StandInWorker) -> None:
    pipe.send(await worker.bind())
    addresses = await _receive(pipe)
    assert isinstance(addresses, Addresses)
    async with trio.open_nursery() as nursery:
        started = trio.Event()
        nursery.start_soon(_cancel_at_pipe_end, pipe, started, nursery.cancel_scope)
        await worker.play(addresses, lambda: _receive_times(pipe, started), pipe.send)
        nursery.cancel_scope.cancel()
    pipe.send(worker.report())


async def _receive_times(pipe: Connection, started: trio.Event) -> Times:
    times = await _receive(pipe)
    assert isinstance(times, Times)
    started.set()
    return times


async def _cancel_at_pipe_end(pipe: Connection, started: trio.Event, scope: trio.CancelScope) -> None:
    """Cancels `scope` at the end of the pipe, the only thing that can arrive after the start."""
    await started.wait()
    await trio.lowlevel.wait_readable(pipe.fileno())
    scope.cancel()
