"""Runs a `Part` in a child process that is controlled over a pipe."""

import gc
import multiprocessing
import signal
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from multiprocessing.connection import Connection

import trio

from glenfold_lab.load.worker_pool import raise_descriptor_limit
from glenfold_lab.stand_ins.part import Part, Report, Times
from glenfold_lab.stand_ins.places import Places
from glenfold_lab.stand_ins.service import SecondCounts


class PartFailed(Exception):
    """A process of stand-ins ended without its report."""


class RemotePart:
    """A `Part` in a child process, which ends with this process at the latest."""

    def __init__(self, part: Part) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, there = context.Pipe()
        self._number = part.share.number
        self._process = context.Process(target=_work, args=(there, part), daemon=True)
        self._process.start()
        there.close()
        self._report: Report | None = None

    async def bind(self) -> Places:
        places = await self._hear()
        assert isinstance(places, Places)
        return places

    async def play(
        self, places: Places, begin: Callable[[], Awaitable[Times]], tell: Callable[[SecondCounts], None]
    ) -> None:
        self._pipe.send(places)
        self._pipe.send(await begin())
        while not isinstance(heard := await self._hear(), Report):
            assert isinstance(heard, SecondCounts)
            tell(heard)
        self._report = heard

    def report(self) -> Report:
        assert self._report is not None
        return self._report

    async def _hear(self) -> object:
        try:
            return await _receive(self._pipe)
        except EOFError:
            self._process.join(1)
            words = f"process {self._number} of the stand-ins ended with status {self._process.exitcode}"
            raise PartFailed(words) from None

    def end(self) -> None:
        """Its process hears the end of the pipe; one that does not heed it is killed."""
        self._pipe.close()
        self._process.join(2)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


@contextmanager
def remote(parts: Sequence[Part]) -> Iterator[list[RemotePart]]:
    """Whatever happens inside, none of their processes is left."""
    started: list[RemotePart] = []
    try:
        for part in parts:
            started.append(RemotePart(part))
        yield started
    finally:
        for one in started:
            one.end()


async def _receive(pipe: Connection) -> object:
    await trio.lowlevel.wait_readable(pipe.fileno())
    heard: object = pipe.recv()
    return heard


def _work(pipe: Connection, part: Part) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # it ends with its pipe
    raise_descriptor_limit()
    gc.disable()  # a collection would stop its loop for longer than the lateness that is allowed
    with suppress(EOFError, BrokenPipeError):
        trio.run(_play, pipe, part)


async def _play(pipe: Connection, part: Part) -> None:
    pipe.send(await part.bind())
    places = await _receive(pipe)
    assert isinstance(places, Places)
    async with trio.open_nursery() as nursery:
        begun = trio.Event()
        nursery.start_soon(_end_with, pipe, begun, nursery.cancel_scope)
        await part.play(places, lambda: _begin(pipe, begun), pipe.send)
        nursery.cancel_scope.cancel()
    pipe.send(part.report())


async def _begin(pipe: Connection, begun: trio.Event) -> Times:
    times = await _receive(pipe)
    assert isinstance(times, Times)
    begun.set()
    return times


async def _end_with(pipe: Connection, begun: trio.Event, scope: trio.CancelScope) -> None:
    """After the start nothing more comes but the end of the pipe."""
    await begun.wait()
    await trio.lowlevel.wait_readable(pipe.fileno())
    scope.cancel()
