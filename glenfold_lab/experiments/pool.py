"""Plays cells over many worker processes."""

import fcntl
import os
import subprocess
import sys
import tempfile
from collections import deque
from collections.abc import Callable, Iterable
from typing import IO, TypeVar

import click
import msgspec
import trio

from glenfold_lab.experiments import frames
from glenfold_lab.experiments.plan import Cell, Plan
from glenfold_lab.experiments.revisions import ROOT, Decisions
from glenfold_lab.experiments.store import Outcome

PLAYER = "glenfold_lab.model.world:play"  # what a worker calls to play a history
TRIES = 2  # of a cell whose worker died
TAIL = 2000  # bytes of a dead worker's last words

T = TypeVar("T")
Take = Callable[[bytes], None]


class Died(Exception):
    """A worker ended while it was wanted."""


class WrongDecisions(click.ClickException):
    """A worker has imported other decisions than those that it was given."""


class Worker:
    """One process, with the decisions of one revision. words: where it says what it has to say, which is
    looked at when it has died."""

    def __init__(self, decisions: Decisions, words: IO[bytes], process: trio.Process) -> None:
        self.decisions, self._words, self._process = decisions, words, process
        assert process.stdin is not None and process.stdout is not None
        self._tasks, self._answers = process.stdin, process.stdout
        self._input = b""

    @classmethod
    async def start(cls, decisions: Decisions, words: IO[bytes]) -> "Worker":
        paths = [str(decisions.folder), str(ROOT), os.environ.get("PYTHONPATH", "")]
        # -P: else the current folder would go ahead of them all. A session of its own: Ctrl-C is for us.
        process = await trio.lowlevel.open_process(
            [sys.executable, "-P", "-m", "glenfold_lab.experiments.worker", PLAYER],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=words,
            start_new_session=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))},
        )
        return cls(decisions, words, process)

    async def greet(self) -> None:
        """Raises Died, or WrongDecisions."""
        hello = await self._receive(frames.Hello)
        if hello.decisions != self.decisions.id:
            raise WrongDecisions(f"a worker has imported {hello.folder} instead of {self.decisions.name}")

    async def play(self, task: frames.Task) -> bytes:
        """The outcome, as a record for the file of results. Raises Died."""
        try:
            await self._tasks.send_all(frames.pack(task))
        except trio.BrokenResourceError as error:
            raise await self._death() from error
        record = (await self._receive(frames.Done)).record
        self._words.truncate(0)
        return record

    async def _receive(self, kind: type[T]) -> T:
        size: int = frames.LENGTH.unpack(await self._bytes(frames.LENGTH.size))[0]
        return msgspec.msgpack.decode(await self._bytes(size), type=kind)

    async def _bytes(self, size: int) -> bytes:
        pieces, missing = [self._input], size - len(self._input)
        while missing > 0:
            piece = bytes(await self._answers.receive_some(1 << 20))
            if not piece:
                raise await self._death()
            pieces.append(piece)
            missing -= len(piece)
        data = b"".join(pieces)
        self._input = data[size:]
        return data[:size]

    async def _death(self) -> Died:
        status = await self._process.wait()
        self._words.seek(max(0, self._words.seek(0, os.SEEK_END) - TAIL))
        last = self._words.read().decode(errors="replace").strip().rpartition("\n")[2]
        how = f"signal {-status}" if status < 0 else f"status {status}"
        return Died(f"the worker died of {how}" + f": {last}" * bool(last))

    async def close(self) -> None:
        with trio.CancelScope(shield=True):
            self._process.kill()
            await self._process.wait()
            await self._tasks.aclose()
            await self._answers.aclose()
        self._words.truncate(0)


async def run(plan: Plan, cells: Iterable[Cell], workers: int, take: Take) -> None:
    """Plays these cells; `take` gets each one's record as soon as it is done, in any order.

    A cell that fails is recorded as failed; so is one whose worker died, and died again."""
    # By revision, as a worker has to be replaced to change it.
    left = deque(sorted(cells, key=lambda cell: (cell.revision, cell.number)))
    try:
        async with trio.open_nursery() as nursery:
            for _ in range(min(workers, len(left))):
                nursery.start_soon(Place(plan, take).work, left)
    except BaseExceptionGroup as group:
        raise first(group) from group


def first(error: BaseException) -> BaseException:
    """Of what several tasks ran into at once."""
    return first(error.exceptions[0]) if isinstance(error, BaseExceptionGroup) else error


class Place:
    """Where one worker at a time plays: replaced when it has died, and for another revision."""

    def __init__(self, plan: Plan, take: Take) -> None:
        self._plan, self._take = plan, take
        self._worker: Worker | None = None

    async def work(self, left: "deque[Cell]") -> None:
        with tempfile.TemporaryFile() as words:
            # A worker must go on at the end, wherever this side has read to or cut it off.
            fcntl.fcntl(words, fcntl.F_SETFL, fcntl.fcntl(words, fcntl.F_GETFL) | os.O_APPEND)
            try:
                while left:
                    self._take(await self._outcome(left.popleft(), words))
            finally:
                await self._dismiss()

    async def _outcome(self, cell: Cell, words: IO[bytes]) -> bytes:
        reason = ""
        for _ in range(TRIES):
            try:
                worker = await self._with(self._plan.decisions[cell.revision], words)
                return await worker.play(_task(self._plan, cell))
            except Died as death:
                reason = str(death)
                await self._dismiss()
        return msgspec.json.encode(Outcome(cell.number, failed=reason), order="sorted")

    async def _with(self, decisions: Decisions, words: IO[bytes]) -> Worker:
        if self._worker is not None and self._worker.decisions is not decisions:
            await self._dismiss()
        if self._worker is None:
            self._worker = await Worker.start(decisions, words)
            await self._worker.greet()
        return self._worker

    async def _dismiss(self) -> None:
        worker, self._worker = self._worker, None
        if worker is not None:
            await worker.close()


def _task(plan: Plan, cell: Cell) -> frames.Task:
    variant, decisions = plan.variants[cell.variant], plan.decisions[cell.revision]
    return frames.Task(
        cell.number,
        msgspec.to_builtins(variant.scenario),
        cell.seed,
        f"{decisions.name} {decisions.id[:12]}",
        variant.levels,
    )
