"""One instance: its parts wired together, from its start to its end.

What other installations add to the platform's relay (a control socket, readiness, snapshots, a listener that
was passed on) comes in as companions and as listeners that are open already; nothing here imports them.
"""

import gc
import signal
import socket
import time
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import trio

from glenfold import events
from glenfold.clock import Clock
from glenfold.config.platform import Config, ConfigError, format_address
from glenfold.counters import Counters
from glenfold.daemon.life import Life, State
from glenfold.daemon.readiness import STEP_S, Readiness
from glenfold.daemon.warming import warm_up
from glenfold.decisions import Decisions
from glenfold.destinations import BadList, DestinationSet
from glenfold.leaving import ANSWER_TURNS, ANSWERS_S, Leaving, in_order
from glenfold.net.discovery import Discovery
from glenfold.net.inbound import LISTEN_BACKLOG, Inbound, Relay
from glenfold.net.passing import StandingConnection
from glenfold.net.sockets import SocketType, has_queued_client
from linnetspread import interface as i

if TYPE_CHECKING:
    from glenfold.rules.group_parts import GroupParts

CALLS_PER_S = 10.0  # that all relays together may ask of one discovery, where each call costs it time
LOOK_S = 0.1  # between two looks at how many connections stand, before their clients move


class ListSource(Protocol):
    """Where the list comes from in place of discovery's agent."""

    @property
    def heard_at(self) -> float:
        """When the source last said that what is known holds, on trio's clock."""

    async def follow(self) -> None:
        """Until it is cancelled."""

    def reload(self, config: Config) -> None:
        """The configuration from now on."""


MakeListSource = Callable[[Config, Decisions, DestinationSet, Counters], ListSource]
ReadAgain = Callable[[Config], tuple[Config, list[str]]]
Companion = Callable[["Process"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Reloaded:
    """`refused`: why nothing was taken over; `file`: because the file is at fault. `waits`: keys that have
    changed and need a restart."""

    refused: str | None = None
    file: bool = False
    waits: tuple[str, ...] = ()


class Process:
    """`read_again`: what the configuration says now, and the keys that wait for a restart; raises
    ConfigError. `listeners`: sockets that listen already; without them it listens at `config.listen`.
    `held`: it accepts nobody until `accept` is called, as another process still does.
    `companions` run beside it until it has finished, and are cancelled then. `deadline_s`: from being told
    to stop until it may be killed, where that is not what the platform promises. `make_list_source`: of
    where the list comes from, if not from the agent at `config.discovery`.

    `accepts` is set once it takes clients. `handed_on`: another process serves under its name by now."""

    def __init__(
        self,
        config: Config,
        read_again: ReadAgain,
        *,
        listeners: Sequence[socket.socket] = (),
        held: bool = False,
        companions: Sequence[Companion] = (),
        deadline_s: float | None = None,
        make_list_source: MakeListSource | None = None,
    ) -> None:
        clock, counters = Clock(), Counters()
        decisions = Decisions(config.settings, config.seed, clock)
        destinations = DestinationSet(config.names)
        self.life = Life()
        self.relay = Relay(config, clock, decisions, destinations, counters)
        if config.split_groups:
            self.relay.group_parts = group_parts()
        self.inbound = Inbound(self.relay)
        self.discovery: Discovery | ListSource
        if make_list_source is not None:
            self.discovery = make_list_source(config, decisions, destinations, counters)
        else:
            self.discovery = Discovery(
                config.discovery,
                destinations,
                decisions.tell,
                counters,
                calls_spread_s(config.settings),
                config.seed,
                config.settings.ask_within_us / 1e6,
            )
        self.listeners: list[SocketType] = [trio.socket.from_stdlib_socket(s) for s in listeners]
        self._accepting: dict[SocketType, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self._held = held
        self.accepts = trio.Event()
        self.handed_on = False
        self._deadline_s = deadline_s
        self._read_again = read_again
        self._companions = companions
        self._told_to_stop = trio.Event()
        self._signalled_at: float | None = None  # by the monotonic clock
        self.life.watches.append(
            lambda before, now: events.life_changed(before=before.value, state=now.value)
        )

    async def run(self) -> None:
        """Until it was told to stop and has finished all that it has taken."""
        config = self.relay.config
        await self._take_known()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.relay.decisions.run)
            nursery.start_soon(self.discovery.follow)
            if not self.listeners:
                self.listeners.append(await _listen(config.listen))
            if not self._held:
                self.accept()
            self.life.to(State.WAITING)
            nursery.start_soon(self._become_ready)
            for companion in self._companions:
                nursery.start_soon(companion, self)
            await self._told_to_stop.wait()
            leaving = Leaving(self._told_at(), self.relay.config.settings, self._deadline_s)
            self.relay.limit_answers(leaving.answers_end)
            self.life.to(State.DRAINING)
            if self._accepting:
                await last_arrivals(leaving, self.inbound)
                await self._empty_queues(leaving.moves_end)
            self.release(self.listeners)
            self.life.to(State.FINISHING)
            gc.freeze()  # looking through all that stands would hold up the moves time and again
            await finish_taken(leaving, self.relay)
            self.life.to(State.STOPPED)
            nursery.cancel_scope.cancel()
        events.relay_exit(counters=self.relay.counters.plain())

    async def _take_known(self) -> None:
        """Before the first client: a relay that died starts again from the list it last had."""
        relay = self.relay
        if relay.config.known:
            try:
                await relay.decisions.tell(relay.destinations.read(relay.config.known, cached=True))
            except BadList as error:
                events.list_known_refused(error=error)

    def accept(self) -> None:
        """At all its listeners, from now on; where it does already, nothing changes."""
        assert self._nursery is not None
        self._held = False
        self.accepts.set()
        for listener in self.listeners:
            if listener not in self._accepting:
                scope = self._accepting[listener] = trio.CancelScope()
                self._nursery.start_soon(self._accept, scope, listener, self._nursery)
                events.relay_listens(
                    name=self.relay.config.name, address=format_address(listener.getsockname())
                )

    def pause(self, listeners: Iterable[SocketType]) -> None:
        """Accepts no more there. The sockets stay open, and with them the kernel's queue of clients."""
        for listener in listeners:
            if (scope := self._accepting.pop(listener, None)) is not None:
                scope.cancel()

    def release(self, listeners: Iterable[SocketType]) -> None:
        """Closes its own descriptors, and no more: where another process has one of the same socket, that
        goes on listening, with all who are queued there."""
        for listener in list(listeners):
            self.pause([listener])
            self.listeners.remove(listener)
            listener.close()

    async def _empty_queues(self, until: float) -> None:
        """Closing resets who is queued, as some are when a loop that lags sees that arrivals are over. Not
        where it accepts no more, as another process does now; in a flood, no more than a queue holds."""
        most = self.relay.counters.accepted + LISTEN_BACKLOG
        while (
            any(map(has_queued_client, self._accepting))
            and self.relay.counters.accepted < most
            and trio.current_time() < until
        ):
            await trio.lowlevel.checkpoint()

    async def _become_ready(self) -> None:
        """Clients that come before are served as well as it goes; only PING waits."""
        relay = self.relay
        gc.freeze()  # what stands now stays to the end: no collection looks at it again
        gc.enable()
        while not relay.destinations.listed:
            await trio.sleep_until(trio.current_time() + STEP_S)
        warm_up(relay.config, relay.destinations.servers(), relay.clock.now_us())
        readiness = Readiness(trio.current_time(), time.process_time(), relay.config.cores)
        while not readiness.look(trio.current_time(), time.process_time()):
            await trio.sleep_until(readiness.next_look)
        if not self.life.ending:
            relay.ready.set()
            self.life.to(State.READY)

    async def _accept(self, scope: trio.CancelScope, listener: SocketType, nursery: trio.Nursery) -> None:
        # one that it has just accepted, when it is paused, is known a turn later
        self.relay.awaiting_first_line += 1
        with scope:
            try:
                await self.inbound.serve(listener, nursery)
            except (OSError, trio.ClosedResourceError):
                if not scope.cancel_called:  # closed just as a client arrived
                    raise
            finally:
                self.relay.awaiting_first_line -= 1

    def note_moment(self, *numbers: int) -> None:
        """Of these signals, which trio receives already: a loop with many lines to pass comes to heed one
        up to a second later, but the kill comes by the signal's own moment."""
        for number in numbers:
            signal.signal(number, self._noting(signal.getsignal(number)))

    def _noting(self, before: Any) -> Callable[[int, Any], None]:
        def note(number: int, frame: Any) -> None:
            if self._signalled_at is None:
                self._signalled_at = time.monotonic()
            before(number, frame)

        return note

    def _told_at(self) -> float:
        ago_s = 0.0 if self._signalled_at is None else time.monotonic() - self._signalled_at
        return trio.current_time() - ago_s

    def stop(self) -> None:
        self._told_to_stop.set()

    def reload(self) -> Reloaded:
        """A faulty file changes nothing: the relay goes on as it was told before."""
        relay, before = self.relay, self.life.state
        if self.life.ending:
            return Reloaded("it is ending")
        if before is not State.STARTING:
            self.life.to(State.RELOADING)
        try:
            config, waiting = self._read_again(relay.config)
        except ConfigError as error:
            relay.counters.reloads_refused += 1
            events.config_refused(error=error)
            return Reloaded(str(error), file=True)
        finally:
            self.life.to(before)
        relay.counters.reloads += 1
        relay.config = config
        if isinstance(self.discovery, Discovery):
            self.discovery.move_to(config.discovery)
        else:
            self.discovery.reload(config)
        events.config_reloaded(discovery=format_address(config.discovery))
        if waiting:
            events.config_waits(keys=waiting)
        return Reloaded(waits=tuple(waiting))


def group_parts() -> "GroupParts":
    """Loaded here, as most relays place every group as one."""
    from glenfold.rules.group_parts import GroupParts

    return GroupParts()


def calls_spread_s(settings: i.Settings) -> float:
    """Where the list must be asked for, one service answers all relays in turn: those who wait too long there
    have asked in vain, yet cost it as much, so a fleet that asks at once may be told nothing for good."""
    return settings.gateways / CALLS_PER_S if settings.ask_for_list else 0.0


async def _listen(address: tuple[str, int]) -> SocketType:
    listener = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await listener.bind(address)
    listener.listen(LISTEN_BACKLOG)
    return listener


async def last_arrivals(leaving: Leaving, inbound: Inbound) -> None:
    while trio.current_time() < (until := leaving.arrivals_until(inbound.last_arrival)):
        await trio.sleep_until(until)
        leaving.came_back(trio.current_time(), until)


async def finish_taken(leaving: Leaving, relay: Relay) -> None:
    """Every request taken gets its answer, and every standing connection's client is told to move in time."""
    with trio.move_on_at(leaving.leave_at):
        await _until_moves(leaving, relay)
        async with trio.open_nursery() as nursery:
            await _move_all(leaving, relay, nursery)
    _end_all(relay)
    turns = 0
    # Their time is up, and a turn or two of the loop shows it. One may have come up just now.
    while relay.unanswered and (turns < ANSWER_TURNS or trio.current_time() < leaving.over_at):
        await trio.sleep_until(min(trio.current_time() + ANSWERS_S, leaving.over_at))
        turns += 1
        _end_all(relay)


def _end_all(relay: Relay) -> None:
    cut = [passage for passage in list(relay.standing) if not _tell(passage, relay, late=True)]
    for passage in cut:
        passage.cut()
        del relay.standing[passage]
    if cut:
        events.leave_cut(connections=len(cut))


def _tell(passage: StandingConnection, relay: Relay, late: bool) -> bool:
    told = passage.move_now()
    if told:
        del relay.standing[passage]
    if told and late:
        relay.counters.moved_late += passage.moved
        passage.send_fin_to_both()
    return told


async def _until_moves(leaving: Leaving, relay: Relay) -> None:
    began, worked_s = trio.current_time(), time.process_time()
    while relay.has_pending_clients and (
        (now := trio.current_time()) < (begin := leaving.moves_from(len(relay.standing)))
    ):
        await trio.sleep_until(look := min(begin, now + LOOK_S))
        leaving.came_back(trio.current_time(), look)
        leaving.busy((time.process_time() - worked_s) / (trio.current_time() - began))


async def _move_all(leaving: Leaving, relay: Relay, nursery: trio.Nursery) -> None:
    """A connection counts as standing until its client has been told to move, or is gone."""
    asked: set[StandingConnection] = set()  # they have only part of a line
    queue: deque[StandingConnection] = deque()
    while relay.has_pending_clients:
        while queue and queue[0] not in relay.standing:
            queue.popleft()
        left = len(relay.standing) - len(asked & relay.standing.keys())
        short_before = leaving.short
        step = leaving.step(trio.current_time(), time.process_time(), left)
        if leaving.short and not short_before:
            events.leave_short(late=step.late, connections=left, per_s=round(leaving.pace))
            queue.clear()  # to be put in another order
        if len(queue) < step.moves:
            queue = deque(one for one in in_order(relay.standing, leaving.short) if one not in asked)
        for _ in range(min(step.moves, len(queue))):
            passage = queue.popleft()
            if passage not in relay.standing:
                continue
            if not _tell(passage, relay, step.sweep):
                asked.add(passage)
                nursery.start_soon(_move, passage, relay, leaving.leave_at)
        await trio.sleep_until(step.again_at)


async def _move(passage: StandingConnection, relay: Relay, until: float) -> None:
    """Not given up sooner: a turn of the loop may take as long as a move usually may."""
    await passage.move(until)
    if passage.moved:
        relay.standing.pop(passage, None)


async def run_by_signals(process: Process) -> None:
    """Until it has finished; SIGTERM and SIGINT tell it to stop, SIGHUP to read its configuration again."""
    by_signal: dict[int, Callable[[], object]] = {
        signal.SIGHUP: process.reload,
        signal.SIGUSR1: lambda: events.relay_counters(counters=process.relay.counters.plain()),
        signal.SIGTERM: process.stop,
        signal.SIGINT: process.stop,
    }
    # What trio goes back to: by their default any of them would end a relay that has stopped listening to it.
    # Blocking does not keep them off: another thread would take them.
    early: list[int] = []
    for number in by_signal:
        signal.signal(number, lambda number, frame: early.append(number))
    try:
        with trio.open_signal_receiver(*by_signal) as signals:
            process.note_moment(signal.SIGTERM, signal.SIGINT)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, by_signal)  # those that came during the start come now
            for number in early:
                by_signal[number]()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(heed, signals, by_signal)
                await process.run()
                nursery.cancel_scope.cancel()
    finally:
        for number in by_signal:
            signal.signal(number, signal.SIG_IGN)


async def heed(signals: AsyncIterator[int], by_signal: Mapping[int, Callable[[], object]]) -> None:
    """Calls what belongs to each signal, for as long as it is not cancelled."""
    async for number in signals:
        by_signal[number]()
