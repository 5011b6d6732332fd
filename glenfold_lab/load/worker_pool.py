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

START_DELAY_S = 0.3  # The start time has to reach every worker before the load starts.
READY_TIMEOUT_S = 60.0
REPORT_TIMEOUT_S = 20.0  # The report is due this long after the deadline of the last answer.
POLL_INTERVAL_S = 0.2  # `stopped` is checked at this interval.
MAX_DESCRIPTORS = 1 << 16
RESERVED_DESCRIPTORS = 64  # These are kept for everything but client connections.


class LoadFailed(Exception):
    """Raised when a worker process ends without a result or does not end in time."""


@dataclass(frozen=True, slots=True)
class Ready:
    """The worker is ready and waits for the start time."""


@dataclass(frozen=True, slots=True)
class Report:
    """The measurements of one worker. `cpu_s` is the CPU time of its process since the start of the load."""

    tally: Tally
    cpu_s: float
    memory_mb: float


def cores_for(workers: int) -> list[list[int]]:
    """Returns the cores of each worker.

    Each worker gets one core of its own, counted from the last, if that leaves at least one for everything
    else; otherwise every worker may use all cores.
    """
    cores = psutil.Process().cpu_affinity()
    if workers >= len(cores):
        return [cores] * workers
    return [[core] for core in cores[-workers:]]


def run_load(offer: Offer, clients: Clients, workers: int, stopped: Callable[[], bool]) -> list[Report]:
    """Runs the plan over `workers` processes; ends it early once `stopped`, polled regularly, returns True.

    Raises LoadFailed.
    """
    pool = _WorkerPool(offer, clients, workers)
    try:
        return pool.run(stopped)
    finally:
        pool.end()


class _WorkerPool:
    """The worker processes; `end` has to be called in every case."""

    def __init__(self, offer: Offer, clients: Clients, workers: int) -> None:
        context = multiprocessing.get_context("spawn")
        last_start = int(clients["start_us"].max()) if len(clients) else 0
        max_answer_us = int(2 * clients["wait_us"].max()) + ANSWER_SLACK_US if len(clients) else 0
        self._max_run_s = (last_start + max_answer_us) / SECOND_US + REPORT_TIMEOUT_S
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
        """Returns one message of each worker, in the order of the workers."""
        messages: dict[int, object] = {}
        stop_sent = False
        while len(messages) < len(self._pipes):
            if stopped() and not stop_sent:
                self._send_all(None)
                stop_sent = True
            if time.monotonic() > deadline:
                raise LoadFailed(
                    "a worker did not answer in time; it is too slow for this load, or was suspended"
                )
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
            with suppress(OSError):  # The next receive reports that the worker has exited.
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
    """Runs one worker process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # The parent stops the worker, which then reports.
    process = psutil.Process()
    process.cpu_affinity(list(cores))
    offer = replace(offer, most_open=min(offer.most_open, raise_descriptor_limit() - RESERVED_DESCRIPTORS))
    # Collecting after one second of clients takes 10 to 25 ms, and the load leaves no reference cycles that
    # need the garbage collector.
    gc.disable()
    pipe.send(Ready())
    try:
        start_us = pipe.recv()
    except EOFError:
        return
    cpu_start_s = time.process_time()
    tally = trio.run(_run_slice, offer, clients, pipe, start_us)
    report = Report(tally, time.process_time() - cpu_start_s, process.memory_info().rss / 1e6)
    with suppress(OSError):  # The parent has exited.
        pipe.send(report)


def raise_descriptor_limit() -> int:
    """Raises this process's descriptor limit, grows the kernel's descriptor table, and returns the limit.

    The table doubles as it fills, and each doubling stalls a process with threads (numpy starts some) for 10
    to 25 ms; so it is grown to its full size at once.
    """
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
