"""A process that plays one end of many connections with as little work a line as possible.

It runs one epoll loop and obeys one order at a time, which comes as a message over a pipe; the answer to an
order goes back over the same pipe. It ends with its pipe.
"""

import gc
import multiprocessing
import select
import signal
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from multiprocessing.connection import Connection

import trio

from glenfold_lab.load.worker_pool import raise_descriptor_limit

MOST_EVENTS = 1024  # of one look at the sockets
STEP_S = 0.001  # between two looks at the schedule of an open loop
MOST_IN_A_STEP = 256  # sends between two looks at the sockets: a schedule that is late must not starve them
END_S = 2.0  # for a process to heed the end of its pipe


class HollowFailed(Exception):
    """A hollow process broke off without its answer, or could not do what it was told to."""


class Peer:
    """One end of many connections, in the process that plays it."""

    def __init__(self) -> None:
        self.poll = select.epoll()
        self.sockets: dict[int, socket.socket] = {}

    def obey(self, order: object) -> object:
        """Carries out one order and returns the answer to it."""
        raise NotImplementedError

    def ready(self, number: int) -> None:
        """The socket with this descriptor can be read."""
        raise NotImplementedError

    def turn(self, timeout_s: float) -> None:
        """Serves whatever can be read, after at most that time."""
        for number, _ in self.poll.poll(timeout_s, MOST_EVENTS):
            self.ready(number)

    def keep(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets[sock.fileno()] = sock
        self.poll.register(sock, select.EPOLLIN)

    def drop(self, number: int) -> None:
        self.sockets.pop(number).close()

    def open_loop(self, schedule: "Schedule", send: Callable[[int, float], None]) -> list[float]:
        """Calls `send` with the number and the intended moment of each message; returns by how much each was
        late, in seconds."""
        lateness: list[float] = []
        while len(lateness) < schedule.count:
            now = time.monotonic()
            due = min(schedule.due(now), len(lateness) + MOST_IN_A_STEP)
            for number in range(len(lateness), due):
                intended = schedule.moment(number)
                send(number, intended)
                lateness.append(time.monotonic() - intended)
            self.turn(STEP_S)
        return lateness


@dataclass(frozen=True, slots=True)
class Schedule:
    """`count` messages, evenly apart at `rate` a second from `begin` on (seconds of CLOCK_MONOTONIC)."""

    begin: float
    rate: float
    count: int

    def due(self, now: float) -> int:
        """How many should have gone by then."""
        return max(0, min(self.count, int((now - self.begin) * self.rate) + 1))

    def moment(self, number: int) -> float:
        return self.begin + number / self.rate

    @property
    def end(self) -> float:
        return self.moment(self.count)


class HollowProcess:
    """The process of one `Peer`, seen from the one that gives it orders."""

    def __init__(self, make: Callable[[], Peer]) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, there = context.Pipe()
        self._process = context.Process(target=_play, args=(there, make), daemon=True)
        self._process.start()
        there.close()

    async def order(self, order: object) -> object:
        """Raises HollowFailed if the process ends, or says why it could not."""
        try:
            self._pipe.send(order)
            await trio.lowlevel.wait_readable(self._pipe.fileno())
            answer: object = self._pipe.recv()
        except (EOFError, OSError) as error:
            raise HollowFailed(f"a hollow process ended within {order}") from error
        if isinstance(answer, HollowFailed):
            raise answer
        return answer

    def end(self) -> None:
        self._pipe.close()
        self._process.join(END_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


def _play(pipe: Connection, make: Callable[[], Peer]) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # it ends with its pipe
    raise_descriptor_limit()
    gc.disable()  # its pauses would be taken for the relay's
    peer = make()
    peer.poll.register(pipe.fileno(), select.EPOLLIN)
    with suppress(EOFError, BrokenPipeError):
        while True:
            while not pipe.poll():
                for number, _ in peer.poll.poll(None, MOST_EVENTS):
                    if number != pipe.fileno():
                        peer.ready(number)
            order = pipe.recv()
            try:
                answer = peer.obey(order)
            except HollowFailed as error:
                answer = error
            pipe.send(answer)
