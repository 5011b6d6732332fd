"""Push servers that say UP to whatever opens, answer a line that asks for it, and send deliveries down."""

import random
import socket
from collections.abc import Sequence
from dataclasses import dataclass

import numpy

from glenfold.lines import LINE_END
from glenfold_lab.scale.hollow_process import HollowFailed, Peer, Schedule
from glenfold_lab.stand_ins.sockets import Address

BACKLOG = 1024
CHUNK = 4096
FIRST = b"OPEN "
UP = b"UP receipt" + LINE_END
ASK = b"ask" + LINE_END  # a client's line that is answered by the same line
SAY = b"say" + LINE_END  # one that is not
DELIVERY = b"D %d" + LINE_END  # the intended moment, in microseconds of CLOCK_MONOTONIC


@dataclass(frozen=True, slots=True)
class Listen:
    """Order: to listen at a port of each of these loopback hosts. Answer: the addresses."""

    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Deliver:
    """Order: to send deliveries by this schedule, to all connections in turn; `seed` draws their order."""

    schedule: Schedule
    seed: int


@dataclass(frozen=True, slots=True)
class Delivered:
    """`full`: deliveries that the kernel had no room for; `late_p99_ms`: the sender's own lateness."""

    count: int
    full: int
    late_p99_ms: float


class PushServers(Peer):
    def __init__(self) -> None:
        super().__init__()
        self._listeners: dict[int, socket.socket] = {}

    def obey(self, order: object) -> object:
        match order:
            case Listen():
                return self._listen(order.hosts)
            case Deliver():
                return self._deliver(order)
        raise HollowFailed(f"push servers know no order {order}")

    def ready(self, number: int) -> None:
        listener = self._listeners.get(number)
        if listener is not None:
            self.keep(listener.accept()[0])
        elif number in self.sockets:
            self._read(number)

    def _listen(self, hosts: Sequence[str]) -> list[Address]:
        for host in hosts:
            listener = socket.create_server((host, 0), backlog=BACKLOG)
            self._listeners[listener.fileno()] = listener
            self.poll.register(listener)
        return [listener.getsockname() for listener in self._listeners.values()]

    def _read(self, number: int) -> None:
        sock = self.sockets[number]
        try:
            data = sock.recv(CHUNK)
            if asked := data.count(ASK):
                sock.send(ASK * asked)
            elif data.startswith(FIRST):
                sock.send(UP)
        except OSError:
            data = b""
        if not data:
            self.drop(number)

    def _deliver(self, order: Deliver) -> Delivered:
        targets = list(self.sockets.values())
        random.Random(order.seed).shuffle(targets)
        full = 0

        def send(number: int, intended: float) -> None:
            nonlocal full
            try:
                targets[number % len(targets)].send(DELIVERY % int(intended * 1e6))
            except BlockingIOError:
                full += 1
            except OSError as error:
                raise HollowFailed(f"a connection broke under deliveries: {error}") from error

        if not targets:
            raise HollowFailed("there is no connection to deliver to")
        late = self.open_loop(order.schedule, send)
        return Delivered(len(late), full, float(numpy.percentile(late, 99)) * 1000)
