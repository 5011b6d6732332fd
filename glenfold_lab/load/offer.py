"""Runs a load plan: each client starts at its intended time, whatever happened to earlier clients."""

from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass

import trio

from glenfold.config import Address
from glenfold_lab.load.client import (
    Answer,
    Answered,
    ClientEvent,
    ClientState,
    ConnectionEnded,
    ConnectionOptions,
    open_line,
)
from glenfold_lab.load.connection import Clock, Stream, connect_to, run_connection
from glenfold_lab.load.plan import Clients
from glenfold_lab.load.plan_options import LoadPlan
from glenfold_lab.load.tally import ClientRecorder, Tally

BLOCK_CLIENTS = 4096  # Clients are converted from the plan's array in blocks of this many.

ConnectTo = Callable[[Address], Awaitable[Stream]]


@dataclass(frozen=True, slots=True)
class PlannedClient:
    """One client of a plan; the fields are those of `plan.CLIENT`."""

    start_us: int
    end_us: int
    wait_us: int
    line_gap_us: int
    ident: int
    key: int
    group: int
    request_class: int
    scheme: int
    target: int
    again: bool


@dataclass(frozen=True, slots=True)
class Offer:
    """What to offer to which relays.

    `targets` are the addresses of the relays. `most_open` bounds the connections open at once. `window_us` is
    the length of one window of the tally.
    """

    options: LoadPlan
    targets: Sequence[Address]
    most_open: int
    window_us: int


def planned_clients(clients: Clients) -> Iterator[PlannedClient]:
    """Yields the clients of a plan's array."""
    for begin in range(0, len(clients), BLOCK_CLIENTS):
        for values in clients[begin : begin + BLOCK_CLIENTS].tolist():
            yield PlannedClient(*values)


def connection_options(options: LoadPlan, client: PlannedClient, begin_us: int) -> ConnectionOptions:
    """Returns the connection options of `client`. `begin_us` is the load's start on the clients' clock."""
    figures: dict[str, str | int] = {"c": options.classes[client.request_class].name}
    if options.schemes:
        figures["t"] = options.schemes[client.scheme].name
    figures["d"] = client.wait_us // 1000
    figures["g"] = f"{client.group:016x}"
    if client.again:
        figures["again"] = 1
    line = open_line(client.ident, client.key, figures)
    return ConnectionOptions(line, client.wait_us, begin_us + client.end_us, client.line_gap_us)


class Load:
    """One process's part of a load, which starts when `clock` reaches `begin_us`."""

    def __init__(self, offer: Offer, clock: Clock, begin_us: int, connect: ConnectTo = connect_to) -> None:
        self.tally = Tally()
        self._offer = offer
        self._clock = clock
        self._begin_us = begin_us
        self._connect = connect
        self._open = 0
        self._unanswered = 0
        self._standing = 0
        self._answer_event = trio.Event()

    async def run(self, clients: Clients, stop: trio.Event) -> None:
        """Runs until the last of these clients is answered (each has a deadline), or until `stop` is set.

        Connections still up then are closed. Clients without an answer count as started, and nothing more
        is reported of them.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stop_when_set, stop, nursery.cancel_scope)
            await self._start_all(clients, nursery)
            while self._unanswered:
                self._answer_event = trio.Event()
                await self._answer_event.wait()
            nursery.cancel_scope.cancel()
        # An answer that has arrived is still counted in the turn in which the clients are cancelled.
        self.tally.standing = self._standing

    async def _stop_when_set(self, stop: trio.Event, scope: trio.CancelScope) -> None:
        await stop.wait()
        scope.cancel()

    async def _start_all(self, clients: Clients, nursery: trio.Nursery) -> None:
        """Starts the clients, one per event loop pass, so that a burst does not delay reading answers."""
        for client in planned_clients(clients):
            await trio.sleep_until(self._clock.to_trio(self._begin_us + client.start_us))
            if self._open >= self._offer.most_open:
                self.tally.no_room += 1
                continue
            self._open += 1
            self._unanswered += 1
            nursery.start_soon(self._run_client, client)

    async def _run_client(self, client: PlannedClient) -> None:
        offer, tally = self._offer, self.tally
        intended_us, now_us = self._begin_us + client.start_us, self._clock.now_us()
        tally.late.record(now_us - intended_us)
        window = client.start_us // offer.window_us
        tally.started[window] += 1
        target = offer.targets[client.target]
        recorder = ClientRecorder(
            tally, offer.options.classes[client.request_class].name, client.target, window
        )

        def on_event(event: ClientEvent) -> None:
            recorder.record_event(event)
            if isinstance(event, Answered):
                self._standing += event.answer is Answer.UP
                self._record_answer()
            elif isinstance(event, ConnectionEnded):
                self._standing -= 1

        state = ClientState(connection_options(offer.options, client, self._begin_us), intended_us, now_us)
        try:
            await run_connection(state, lambda: self._connect(target), on_event, self._clock)
        except OSError:
            tally.started[window] -= 1
            tally.no_room += 1
            self._record_answer()
        finally:
            self._open -= 1

    def _record_answer(self) -> None:
        self._unanswered -= 1
        self._answer_event.set()
