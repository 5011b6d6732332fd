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

PLAYER = "glenfold_lab.model.world:play"  # The function that a worker calls to play a cell.
MAX_TRIES = 2  # A cell is recorded as failed after this many dead workers.
STDERR_TAIL_BYTES = 2000  # The last line of a dead worker's stderr is read from this tail.

T = TypeVar("T")
RecordCallback = Callable[[bytes], None]


class WorkerDied(Exception):
    """Raised when a worker process ends while it is needed."""


class WrongDecisions(click.ClickException):
    """Raised when a worker has imported other decisions than the intended ones."""


class Worker:
    """One worker process with the decisions of one revision.

    `stderr_file` collects the process's stderr, which is read when the process has died.
    """

    def __init__(self, decisions: Decisions, stderr_file: IO[bytes], process: trio.Process) -> None:
        self.decisions, self._stderr_file, self._process = decisions, stderr_file, process
        assert process.stdin is not None and process.stdout is not None
        self._stdin, self._stdout = process.stdin, process.stdout
        self._buffer = b""

    @classmethod
    async def start(cls, decisions: Decisions, stderr_file: IO[bytes]) -> "Worker":
        """Starts a worker process that imports `decisions`."""
        paths = [str(decisions.folder), str(ROOT), os.environ.get("PYTHONPATH", "")]
        # Without -P the current folder would come first in the path. A session of its own keeps Ctrl-C from
        # the worker.
        process = await trio.lowlevel.open_process(
            [sys.executable, "-P", "-m", "glenfold_lab.experiments.worker", PLAYER],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=stderr_file,
            start_new_session=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))},
        )
        return cls(decisions, stderr_file, process)

    async def check_decisions(self) -> None:
        """Raises WrongDecisions if the worker has imported other decisions, or WorkerDied."""
        hello = await self._receive(frames.Hello)
        if hello.decisions != self.decisions.id:
            raise WrongDecisions(f"a worker has imported {hello.folder} instead of {self.decisions.name}")

    async def play(self, task: frames.Task) -> bytes:
        """Plays a cell and returns the outcome as a record for the file of results. Raises WorkerDied."""
        try:
            await self._stdin.send_all(frames.pack(task))
        except trio.BrokenResourceError as error:
            raise await self._death_error() from error
        record = (await self._receive(frames.Done)).record
        self._stderr_file.truncate(0)
        return record

    async def _receive(self, kind: type[T]) -> T:
        size: int = frames.LENGTH_PREFIX.unpack(await self._read_exactly(frames.LENGTH_PREFIX.size))[0]
        return msgspec.msgpack.decode(await self._read_exactly(size), type=kind)

    async def _read_exactly(self, size: int) -> bytes:
        pieces, missing = [self._buffer], size - len(self._buffer)
        while missing > 0:
            piece = bytes(await self._stdout.receive_some(1 << 20))
            if not piece:
                raise await self._death_error()
            pieces.append(piece)
            missing -= len(piece)
        data = b"".join(pieces)
        self._buffer = data[size:]
        return data[:size]

    async def _death_error(self) -> WorkerDied:
        status = await self._process.wait()
        self._stderr_file.seek(max(0, self._stderr_file.seek(0, os.SEEK_END) - STDERR_TAIL_BYTES))
        last_line = self._stderr_file.read().decode(errors="replace").strip().rpartition("\n")[2]
        how = f"signal {-status}" if status < 0 else f"status {status}"
        return WorkerDied(f"the worker died of {how}" + f": {last_line}" * bool(last_line))

    async def close(self) -> None:
        """Kills the process and waits for its end."""
        with trio.CancelScope(shield=True):
            self._process.kill()
            await self._process.wait()
            await self._stdin.aclose()
            await self._stdout.aclose()
        self._stderr_file.truncate(0)


async def run(plan: Plan, cells: Iterable[Cell], workers: int, on_record: RecordCallback) -> None:
    """Plays `cells` and calls `on_record` with each record as soon as the cell is done, in any order.

    A cell that fails is recorded as failed, and so is a cell whose worker died MAX_TRIES times.
    """
    # Sorts by revision, as a change of revision needs a new worker.
    pending = deque(sorted(cells, key=lambda cell: (cell.revision, cell.number)))
    try:
        async with trio.open_nursery() as nursery:
            for _ in range(min(workers, len(pending))):
                nursery.start_soon(WorkerSlot(plan, on_record).work, pending)
    except BaseExceptionGroup as group:
        raise first_error(group) from group


def first_error(error: BaseException) -> BaseException:
    """Returns the first exception of a group, or the exception itself."""
    return first_error(error.exceptions[0]) if isinstance(error, BaseExceptionGroup) else error


class WorkerSlot:
    """Runs one worker at a time, and replaces the worker when it dies or the revision changes."""

    def __init__(self, plan: Plan, on_record: RecordCallback) -> None:
        self._plan, self._on_record = plan, on_record
        self._worker: Worker | None = None

    async def work(self, pending: "deque[Cell]") -> None:
        """Plays cells from `pending` until none remain."""
        with tempfile.TemporaryFile() as stderr_file:
            # O_APPEND: a worker must write at the end, wherever this process has read or truncated the file.
            fcntl.fcntl(stderr_file, fcntl.F_SETFL, fcntl.fcntl(stderr_file, fcntl.F_GETFL) | os.O_APPEND)
            try:
                while pending:
                    self._on_record(await self._outcome(pending.popleft(), stderr_file))
            finally:
                await self._stop_worker()

    async def _outcome(self, cell: Cell, stderr_file: IO[bytes]) -> bytes:
        reason = ""
        for _ in range(MAX_TRIES):
            try:
                worker = await self._worker_for(self._plan.decisions[cell.revision], stderr_file)
                return await worker.play(_task(self._plan, cell))
            except WorkerDied as error:
                reason = str(error)
                await self._stop_worker()
        return msgspec.json.encode(Outcome(cell.number, failed=reason), order="sorted")

    async def _worker_for(self, decisions: Decisions, stderr_file: IO[bytes]) -> Worker:
        if self._worker is not None and self._worker.decisions is not decisions:
            await self._stop_worker()
        if self._worker is None:
            self._worker = await Worker.start(decisions, stderr_file)
            await self._worker.check_decisions()
        return self._worker

    async def _stop_worker(self) -> None:
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
