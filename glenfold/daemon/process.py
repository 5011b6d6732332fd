"""One instance: wires its parts together and runs them from its start to its end.

Features that other installations add to the platform's relay (a control socket, notifications, snapshots,
passed listeners) are given as background tasks and open listeners; this module imports none of them.
"""

import gc
import signal
import socket
import time
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import trio

from glenfold import events
from glenfold.clock import Clock
from glenfold.config.address import format_address
from glenfold.config.platform import Config, ConfigError
from glenfold.counters import Counters
from glenfold.daemon.guard import record_fault, run_guarded
from glenfold.daemon.life import Life, State
from glenfold.daemon.readiness import CHECK_INTERVAL_S, Readiness
from glenfold.daemon.warming import warm_up
from glenfold.decisions import Decisions
from glenfold.destinations import BadList, DestinationSet
from glenfold.net.discovery import Discovery
from glenfold.net.exchange import Relay
from glenfold.net.inbound import LISTEN_BACKLOG, Inbound
from glenfold.net.passing import StandingConnection
from glenfold.net.sockets import SocketType, has_queued_client
from glenfold.shutdown import ANSWER_POLL_S, MIN_ANSWER_TURNS, ShutdownSchedule, move_order
from linnetspread import interface

if TYPE_CHECKING:
    from glenfold.rules.group_parts import GroupParts

# All relays together make at most this many calls to one discovery service, as each call costs it time.
CALLS_PER_S = 10.0
# Before clients are told to move, the standing connections are counted at this interval.
STANDING_CHECK_INTERVAL_S = 0.1


class ListSource(Protocol):
    """A source of the server list other than discovery's agent."""

    @property
    def heard_at(self) -> float:
        """The time on trio's clock at which the source last confirmed the list known."""

    async def follow(self) -> None:
        """Follows the list until it is cancelled."""

    def reload(self, config: Config) -> None:
        """Uses this configuration from now on."""


MakeListSource = Callable[[Config, Decisions, DestinationSet, Counters], ListSource]
RereadConfig = Callable[[Config], tuple[Config, list[str]]]
BackgroundTask = Callable[["Process"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class ReloadResult:
    """The result of a reload.

    `refused` is the reason if nothing was applied; `file` is true if the reason is a faulty file. `waits`
    holds changed keys that need a restart.
    """

    refused: str | None = None
    file: bool = False
    waits: tuple[str, ...] = ()


class Process:
    """One instance of the relay.

    `read_again` returns the current configuration and the changed keys that need a restart, or raises
    ConfigError. `listeners` are sockets that listen already; if there are none, the instance listens at
    `config.listen`. With `start_paused`, it accepts no clients until `accept` is called, as another process
    still does. `background_tasks` run until the instance has finished, and are cancelled then. `deadline_s`
    is the time from the request to stop until the process may be killed, if it differs from the platform's.
    `make_list_source` creates the source of the server list, if that is not the agent at `config.discovery`.

    `accepts` is set once the instance accepts clients. `handed_over` is true once another process serves
    under its name.
    """

    def __init__(
        self,
        config: Config,
        read_again: RereadConfig,
        *,
        listeners: Sequence[socket.socket] = (),
        start_paused: bool = False,
        background_tasks: Sequence[BackgroundTask] = (),
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
                decisions.submit,
                counters,
                calls_spread_s(config.settings),
                config.seed,
                config.settings.ask_within_us / 1e6,
            )
        self.listeners: list[SocketType] = [trio.socket.from_stdlib_socket(s) for s in listeners]
        self._accepting: dict[SocketType, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        self._start_paused = start_paused
        self.accepts = trio.Event()
        self.handed_over = False
        self._deadline_s = deadline_s
        self._read_again = read_again
        self._background_tasks = background_tasks
        self._stop_requested = trio.Event()
        self._signalled_at: float | None = None  # The time of the first stop signal on the monotonic clock.
        self.life.watches.append(
            lambda before, now: events.life_changed(before=before.value, state=now.value)
        )

    async def run(self) -> None:
        """Runs until the instance is told to stop and has finished all accepted requests."""
        config = self.relay.config
        await self._load_known_list()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._start(nursery, "decisions", self.relay.decisions.run)
            self._start(nursery, "discovery", self.discovery.follow)
            if not self.listeners:
                self.listeners.append(await _listen(config.listen))
            if not self._start_paused:
                self.accept()
            self.life.to(State.WAITING)
            self._start(nursery, "readiness", self._become_ready)
            for task in self._background_tasks:
                self._start(nursery, _task_name(task), partial(task, self))
            await self._stop_requested.wait()
            schedule = ShutdownSchedule(
                self._stop_requested_time(), self.relay.config.settings, self._deadline_s
            )
            self.relay.limit_answers(schedule.answers_end)
            self.life.to(State.DRAINING)
            if self._accepting:
                await wait_for_last_arrivals(schedule, self.inbound)
                await self._empty_queues(schedule.moves_end)
            self.release(self.listeners)
            self.life.to(State.FINISHING)
            gc.freeze()  # Collections that scan all connections would delay the moves.
            await finish_requests(schedule, self.relay)
            self.life.to(State.STOPPED)
            nursery.cancel_scope.cancel()
        events.relay_exit(counters=self.relay.counters.plain())

    def _start(self, nursery: trio.Nursery, name: str, task: Callable[[], Awaitable[None]]) -> None:
        """Starts a task whose unexpected errors must not cut off the clients of all connections."""
        nursery.start_soon(run_guarded, name, task, self.relay.counters)

    async def _load_known_list(self) -> None:
        """Loads the last known list before the first client, so that a relay that died restarts with it."""
        relay = self.relay
        if relay.config.known:
            try:
                await relay.decisions.submit(relay.destinations.read(relay.config.known, cached=True))
            except BadList as error:
                events.list_known_refused(error=error)

    def accept(self) -> None:
        """Accepts clients at all listeners; does nothing at those where it already does."""
        assert self._nursery is not None
        self._start_paused = False
        self.accepts.set()
        for listener in self.listeners:
            if listener not in self._accepting:
                scope = self._accepting[listener] = trio.CancelScope()
                self._nursery.start_soon(self._accept, scope, listener, self._nursery)
                events.relay_listens(
                    name=self.relay.config.name, address=format_address(listener.getsockname())
                )

    def pause(self, listeners: Iterable[SocketType]) -> None:
        """Stops accepting at these listeners. The sockets and the kernel's queue of clients stay open."""
        for listener in listeners:
            if (scope := self._accepting.pop(listener, None)) is not None:
                scope.cancel()

    def release(self, listeners: Iterable[SocketType]) -> None:
        """Closes this process's descriptors of the listeners.

        A socket that another process also has open continues to listen, with all clients in its queue.
        """
        for listener in list(listeners):
            self.pause([listener])
            self.listeners.remove(listener)
            listener.close()

    async def _empty_queues(self, until: float) -> None:
        """Accepts the clients in the kernel's queues, until `until` at the latest.

        Closing a socket resets its queued clients, and an event loop that lags may leave some in the queue
        when it sees the end of arrivals. Paused listeners are skipped, as another process accepts there. In a
        flood of clients, it accepts no more than one queue holds.
        """
        max_accepted = self.relay.counters.accepted + LISTEN_BACKLOG
        while (
            any(map(has_queued_client, self._accepting))
            and self.relay.counters.accepted < max_accepted
            and trio.current_time() < until
        ):
            await trio.lowlevel.checkpoint()

    async def _become_ready(self) -> None:
        """Waits for a list and for readiness. Clients are served meanwhile if possible; only PING waits."""
        relay = self.relay
        gc.freeze()  # Objects of the start live until the end, so no collection needs to scan them.
        gc.enable()
        while not relay.decisions.has_map:
            await trio.sleep_until(trio.current_time() + CHECK_INTERVAL_S)
        self._warm_up()
        readiness = Readiness(trio.current_time(), time.process_time(), relay.config.cores)
        while not readiness.check(trio.current_time(), time.process_time()):
            await trio.sleep_until(readiness.next_check)
        if not self.life.ending:
            relay.ready.set()
            self.life.to(State.READY)

    def _warm_up(self) -> None:
        """Warms the code up; a relay that can't do so is slower at first, and serves all the same."""
        relay = self.relay
        try:
            balancer = relay.decisions.dispatch.balancer
            warm_up(relay.config, relay.destinations.servers(), relay.clock.now_us(), balancer)
        except Exception as error:
            record_fault("warm-up", error, relay.counters)

    async def _accept(self, scope: trio.CancelScope, listener: SocketType, nursery: trio.Nursery) -> None:
        # A client accepted just before a pause is counted one turn later.
        self.relay.awaiting_first_line += 1
        with scope:
            try:
                await self.inbound.serve(listener, nursery)
            except (OSError, trio.ClosedResourceError):
                if not scope.cancel_called:  # The listener was closed while a client arrived.
                    raise
            finally:
                self.relay.awaiting_first_line -= 1

    def record_signal_times(self, *numbers: int) -> None:
        """Records the arrival time of these signals, which trio receives already.

        An event loop with many lines to pass may handle a signal up to a second late, but the deadline for
        the kill counts from the signal's arrival.
        """
        for number in numbers:
            signal.signal(number, self._recording_handler(signal.getsignal(number)))

    def _recording_handler(self, before: Any) -> Callable[[int, Any], None]:
        def record(number: int, frame: Any) -> None:
            if self._signalled_at is None:
                self._signalled_at = time.monotonic()
            before(number, frame)

        return record

    def _stop_requested_time(self) -> float:
        ago_s = 0.0 if self._signalled_at is None else time.monotonic() - self._signalled_at
        return trio.current_time() - ago_s

    def stop(self) -> None:
        """Tells the instance to stop; `run` drains it and returns."""
        self._stop_requested.set()

    def reload(self) -> ReloadResult:
        """Reads the configuration again and applies it.

        A faulty file changes nothing: the relay keeps its previous configuration.
        """
        relay, before = self.relay, self.life.state
        if self.life.ending:
            return ReloadResult("it is ending")
        if before is not State.STARTING:
            self.life.to(State.RELOADING)
        try:
            config, waiting = self._read_again(relay.config)
        except ConfigError as error:
            relay.counters.reloads_refused += 1
            events.config_refused(error=error)
            return ReloadResult(str(error), file=True)
        except Exception as error:
            relay.counters.reloads_refused += 1
            record_fault("reload", error, relay.counters)
            return ReloadResult(f"the configuration can't be read: {error!r}", file=True)
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
        return ReloadResult(waits=tuple(waiting))


def group_parts() -> "GroupParts":
    """Returns new GroupParts; imported only here, as most relays place each group as one."""
    from glenfold.rules.group_parts import GroupParts

    return GroupParts()


def calls_spread_s(settings: interface.Settings) -> float:
    """Returns the time in seconds over which the relays spread their calls for the list, or 0.

    Where relays have to ask for the list, one service answers all of them in turn. A call that times out
    there costs the service as much as an answered one, so a fleet whose relays all ask at once may never get
    a list.
    """
    return settings.gateways / CALLS_PER_S if settings.ask_for_list else 0.0


def _task_name(task: BackgroundTask) -> str:
    """Returns the name under which a background task is logged: that of its class or its function."""
    return getattr(task, "__qualname__", type(task).__name__)


async def _listen(address: tuple[str, int]) -> SocketType:
    listener = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await listener.bind(address)
    listener.listen(LISTEN_BACKLOG)
    return listener


async def wait_for_last_arrivals(schedule: ShutdownSchedule, inbound: Inbound) -> None:
    """Waits until no more clients are expected to arrive."""
    while trio.current_time() < (until := schedule.arrivals_end_at(inbound.last_arrival)):
        await trio.sleep_until(until)
        schedule.record_lateness(trio.current_time(), until)


async def finish_requests(schedule: ShutdownSchedule, relay: Relay) -> None:
    """Answers every accepted request, and tells each standing connection's client to move in time."""
    with trio.move_on_at(schedule.exit_at):
        await _wait_until_moves(schedule, relay)
    relay.moves_sent = trio.Event()
    with trio.move_on_at(schedule.exit_at):
        async with trio.open_nursery() as nursery:
            await _move_all(schedule, relay, nursery)
    _end_standing(relay)
    relay.moves_sent.set()
    turns = 0
    # The remaining requests have expired, which they handle within a loop turn or two. A connection may also
    # have come up just now.
    while relay.unanswered and (turns < MIN_ANSWER_TURNS or trio.current_time() < schedule.last_answers_at):
        await trio.sleep_until(min(trio.current_time() + ANSWER_POLL_S, schedule.last_answers_at))
        turns += 1
        _end_standing(relay)


def _end_standing(relay: Relay) -> None:
    unsent = [
        connection for connection in list(relay.standing) if not _send_move(connection, relay, late=True)
    ]
    for connection in unsent:
        connection.cut()
        del relay.standing[connection]
    if unsent:
        events.leave_cut(connections=len(unsent))


def _send_move(connection: StandingConnection, relay: Relay, late: bool) -> bool:
    """Sends MOVE at once; returns False if that has to wait for the server's line or the client's buffer.

    Where it is late, no line is waited for.
    """
    is_sent = (late or not connection.has_begun_line) and connection.move_now()
    if is_sent:
        del relay.standing[connection]
    if is_sent and late:
        relay.counters.moved_late += connection.moved
        connection.send_fin_to_both()
    return is_sent


async def _wait_until_moves(schedule: ShutdownSchedule, relay: Relay) -> None:
    started_at, cpu_before_s = trio.current_time(), time.process_time()
    while relay.has_pending_clients and (
        (now := trio.current_time()) < (begin := schedule.moves_start_at(len(relay.standing)))
    ):
        await trio.sleep_until(check_at := min(begin, now + STANDING_CHECK_INTERVAL_S))
        schedule.record_lateness(trio.current_time(), check_at)
        schedule.set_passing_share((time.process_time() - cpu_before_s) / (trio.current_time() - started_at))


async def _move_all(schedule: ShutdownSchedule, relay: Relay, nursery: trio.Nursery) -> None:
    """Tells all clients to move.

    A connection counts as standing until its client has been told to move, or has disconnected.
    """
    awaiting_move: set[StandingConnection] = set()  # Connections whose MOVE has to wait.
    queue: deque[StandingConnection] = deque()
    assert relay.moves_sent is not None
    while relay.has_pending_clients:
        while queue and queue[0] not in relay.standing:
            queue.popleft()
        remaining = len(relay.standing) - len(awaiting_move & relay.standing.keys())
        if not remaining:
            relay.moves_sent.set()
        short_before = schedule.is_short_of_time
        step = schedule.step(trio.current_time(), time.process_time(), remaining)
        if schedule.is_short_of_time and not short_before:
            events.leave_short(late=step.late, connections=remaining, per_s=round(schedule.moves_per_s))
            queue.clear()  # The queue is rebuilt in another order.
        if len(queue) < step.moves:
            queue = deque(
                connection
                for connection in move_order(relay.standing, schedule.is_short_of_time)
                if connection not in awaiting_move
            )
        for _ in range(min(step.moves, len(queue))):
            connection = queue.popleft()
            if connection not in relay.standing:
                continue
            if not _send_move(connection, relay, step.sweep):
                awaiting_move.add(connection)
                nursery.start_soon(_move, connection, relay, schedule.exit_at)
        await trio.sleep_until(step.next_at)


async def _move(connection: StandingConnection, relay: Relay, until: float) -> None:
    """Moves one client until `until`, without the usual time limit, as a loop turn may take that long."""
    await connection.move(until)
    if connection.moved:
        relay.standing.pop(connection, None)


async def run_by_signals(process: Process) -> None:
    """Runs the process until it has finished.

    SIGTERM and SIGINT stop it, SIGHUP reloads its configuration, SIGUSR1 logs its counters.
    """
    by_signal: dict[int, Callable[[], object]] = {
        signal.SIGHUP: process.reload,
        signal.SIGUSR1: lambda: events.relay_counters(counters=process.relay.counters.plain()),
        signal.SIGTERM: process.stop,
        signal.SIGINT: process.stop,
    }
    # Trio restores these handlers when it stops receiving the signals: the default action of each would kill
    # the relay. Blocking the signals is not enough, as another thread would receive them.
    early: list[int] = []
    for number in by_signal:
        signal.signal(number, lambda number, frame: early.append(number))
    try:
        with trio.open_signal_receiver(*by_signal) as signals:
            process.record_signal_times(signal.SIGTERM, signal.SIGINT)
            # Signals that arrived during the start are delivered now.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, by_signal)
            for number in early:
                by_signal[number]()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(dispatch_signals, signals, by_signal)
                await process.run()
                nursery.cancel_scope.cancel()
    finally:
        for number in by_signal:
            signal.signal(number, signal.SIG_IGN)


async def dispatch_signals(
    signals: AsyncIterator[int], by_signal: Mapping[int, Callable[[], object]]
) -> None:
    """Calls the handler of each received signal until it is cancelled."""
    async for number in signals:
        by_signal[number]()
