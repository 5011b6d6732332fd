"""The worker processes of a load generator. Each runs a slice of the plan, on its own core where possible.

On its pipe a worker sends `Ready`, receives the start time on the machine's clock, and sends a `Report`. A
further message to it, or the end of the pipe, stops it early.
"""

import fcntl
import gc
import multiprocessing
import os
import resource
import signal
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, replace
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess

import psutil  # type: ignore[import-untyped]
import trio

from glenfold_lab.load.client import ANSWER_SLACK_US
from glenfold_lab.load.offer import Load, Offer
from glenfold_lab.load.plan import Clients
from glenfold_lab.load.tally import Tally
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock

START_DELAY_S = 0.3  # from the last worker's being ready to the start: time for all to hear of it
READY_TIMEOUT_S = 60.0  # for a worker to be ready
REPORT_TIMEOUT_S = 20.0  # from the last answer's deadline to what was measured
POLL_INTERVAL_S = 0.2  # between two looks for a signal
MAX_DESCRIPTORS = 1 << 16
RESERVED_DESCRIPTORS = 64  # descriptors for all that is not a client


class LoadFailed(Exception):
    """A worker process ended without a result, or did not end in time."""


@dataclass(frozen=True, slots=True)
class Ready:
    """A worker waits for the start time."""


@dataclass(frozen=True, slots=True)
class Report:
    """What one worker measured. cpu_s: of its process from the start on."""

    tally: Tally
    cpu_s: float
    memory_mb: float


def cores_for(workers: int) -> list[list[int]]:
    """A core of its own for each worker, from the last one on, if that leaves at least one for all others;
    else all cores for each."""
    cores = psutil.Process().cpu_affinity()
    if workers >= len(cores):
        return [cores] * workers
    return [[core] for core in cores[-workers:]]


def run_load(offer: Offer, clients: Clients, workers: int, stopped: Callable[[], bool]) -> list[Report]:
    """Plays the plan over so many processes; `stopped` is asked now and then, and ends it early.

    Raises LoadFailed."""
    pool = _WorkerPool(offer, clients, workers)
    try:
        return pool.run(stopped)
    finally:
        pool.end()


class _WorkerPool:
    """Starts the workers; `end` has to be called whatever happens."""

    def __init__(self, offer: Offer, clients: Clients, workers: int) -> None:
        context = multiprocessing.get_context("spawn")
        last_start_us = int(clients["start_us"].max()) if len(clients) else 0
        max_answer_us = int(2 * clients["wait_us"].max()) + ANSWER_SLACK_US if len(clients) else 0
        self._max_run_s = (last_start_us + max_answer_us) / SECOND_US + REPORT_TIMEOUT_S
        self._pipes: list[Connection] = []
        self._processes: list[BaseProcess] = []
        worker_offer = replace(offer, most_open=max(1, offer.most_open // workers))
        for n, cores in enumerate(cores_for(workers)):
            parent_end, child_end = context.Pipe()
            process = context.Process(target=work, args=(child_end, worker_offer, clients[n::workers], cores))
            process.daemon = True
            process.start()
            child_end.close()
            self._pipes.append(parent_end)
            self._processes.append(process)

    def run(self, stopped: Callable[[], bool]) -> list[Report]:
        self._receive_all(time.monotonic() + READY_TIMEOUT_S, lambda: False)
        start = time.monotonic() + START_DELAY_S
        self._send_all(round(start * SECOND_US))
        reports = self._receive_all(start + self._max_run_s, stopped)
        return [report for report in reports if isinstance(report, Report)]

    def _receive_all(self, deadline: float, stopped: Callable[[], bool]) -> list[object]:
        """One message of each worker, in the workers' order."""
        messages: dict[int, object] = {}
        stop_sent = False
        while len(messages) < len(self._pipes):
            if stopped() and not stop_sent:
                self._send_all(None)
                stop_sent = True
            if time.monotonic() > deadline:
                raise LoadFailed("a worker does not end; it is too slow for this load, or was stopped")
            for n, pipe in enumerate(self._pipes):
                if n not in messages and pipe.poll(0):
                    messages[n] = self._receive(n, pipe)
            wait([pipe for n, pipe in enumerate(self._pipes) if n not in messages], POLL_INTERVAL_S)
        return [messages[n] for n in sorted(messages)]

    def _receive(self, n: int, pipe: Connection) -> object:
        try:
            message: object = pipe.recv()
        except (EOFError, OSError):
            self._processes[n].join(1)
            raise LoadFailed(f"worker {n} ended with status {self._processes[n].exitcode}") from None
        return message

    def _send_all(self, message: int | None) -> None:
        for pipe in self._pipes:
            with suppress(OSError):  # that it is gone is heard where it is heard
                pipe.send(message)

    def end(self) -> None:
        for pipe in self._pipes:
            pipe.close()
        for process in self._processes:
            process.join(1)
            if process.is_alive():
                process.kill()
                process.join()


def work(pipe: Connection, offer: Offer, clients: Clients, cores: Sequence[int]) -> None:
    """One worker process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # it ends when it is told to, with what it measured
    process = psutil.Process()
    process.cpu_affinity(list(cores))
    offer = replace(offer, most_open=min(offer.most_open, raise_descriptor_limit() - RESERVED_DESCRIPTORS))
    # A collection of what a second of clients leaves takes 10 to 25 ms; none of it is garbage that only a
    # collector finds.
    gc.disable()
    pipe.send(Ready())
    try:
        start_us = pipe.recv()
    except EOFError:
        return
    cpu_start_s = time.process_time()
    tally = trio.run(_run_slice, offer, clients, pipe, start_us)
    report = Report(tally, time.process_time() - cpu_start_s, process.memory_info().rss / 1e6)
    with suppress(OSError):  # whom it would be for is gone
        pipe.send(report)


def raise_descriptor_limit() -> int:
    """As many as this process may have, and the kernel's table of them at its full size from here on. That
    table doubles as it fills, and each time a process with threads (numpy has some) stands still for 10 to
    25 ms."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = min(hard, MAX_DESCRIPTORS)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    with open(os.devnull) as devnull:
        os.close(fcntl.fcntl(devnull, fcntl.F_DUPFD, limit - 1))
    return limit


async def _run_slice(offer: Offer, clients: Clients, pipe: Connection, start_us: int) -> Tally:
    load = Load(offer, MachineClock(), start_us)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_wait_for_stop, pipe, stop)
        await load.run(clients, stop)
        nursery.cancel_scope.cancel()
    return load.tally


async def _wait_for_stop(pipe: Connection, stop: trio.Event) -> None:
    await trio.lowlevel.wait_readable(pipe.fileno())
    stop.set()
