"""Push servers on loopback sockets, many in one process: one address for each relay, so that each attempt
tells which relay made it. What they say and hold is in `push_states`."""

import socket
from collections.abc import Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from glenfold_lab.model.servers.calls import TICK_US
from glenfold_lab.model.servers.server import Stage
from glenfold_lab.observe import Over
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.push_states import Ending, Fault, Phase, ServerConnection, ServerProcess
from glenfold_lab.stand_ins.sockets import (
    Address,
    SocketType,
    bind,
    reset_on_close,
    send_all,
    shutdown_send,
    start_connect,
)

BACKLOG = 1024
READ_BYTES = 16 * 1024
SLOW_READ_BYTES = 16  # that a slow reader takes at a time
SLOW_READ_INTERVAL_US = 100_000  # between two such times
SLOW_RECEIVE_BUFFER_BYTES = 2048  # of its kernel's, in bytes
CLOSING_TIMEOUT_US = SECOND_US  # for the relay to close after a last word


@dataclass(slots=True, eq=False)
class OpenConnection:
    """One open connection, and how to wake the task that serves it."""

    sock: SocketType
    state: ServerConnection
    wait_scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def wake(self) -> None:
        """Its state has changed from outside."""
        self.wait_scope.cancel()


@dataclass(slots=True, eq=False)
class RelayEndpoint:
    """Where one relay finds this server. `bound` keeps the address while nobody listens there; `filler` fills
    the queue of a listener from whose relay the server is cut off."""

    relay: int
    address: Address
    reserved: SocketType | None
    listener: SocketType | None = None
    queue_filler: SocketType | None = None
    accepting: trio.CancelScope = field(default_factory=trio.CancelScope)

    def close(self) -> None:
        self.accepting.cancel()
        for sock in (self.reserved, self.listener, self.queue_filler):
            if sock is not None:
                sock.close()
        self.reserved = self.listener = self.queue_filler = None


class PushServer:
    """`serve` runs until it is cancelled; everything else may be called while it runs.

    hosts: a loopback address for each relay, by its number."""

    def __init__(self, process: ServerProcess, clock: MachineClock, hosts: Sequence[str]) -> None:
        self.process = process
        self._clock = clock
        self._endpoints = []
        for relay, host in enumerate(hosts):
            reserved = bind(host)
            self._endpoints.append(RelayEndpoint(relay, reserved.getsockname(), reserved))
        self._connections: dict[OpenConnection, None] = {}
        self._nursery: trio.Nursery | None = None
        self._cut_off_relays: set[int] = set()  # relays
        self._is_reported_ended = False  # has been told to have ended, though its process runs

    @property
    def addresses(self) -> list[Address]:
        """Of this server, by relay."""
        return [endpoint.address for endpoint in self._endpoints]

    @property
    def up(self) -> bool:
        return self.process.fluid.running

    @property
    def standing(self) -> int:
        return len(self.process.by_key)

    def load(self) -> float:
        """Over what it can do at this moment; 0 while it is down."""
        fluid = self.process.fluid
        fluid.advance(self._clock.now_us())
        return fluid.demand / fluid.capacity() if fluid.running and fluid.capacity() > 0 else 0.0

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Not up until `start` is called: until then connections are refused."""
        try:
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self._check_periodically)
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._nursery = None
            for endpoint in self._endpoints:
                endpoint.close()

    # ---- its life ----

    def start(self, cold: bool) -> None:
        """Its process comes up."""
        self._is_reported_ended = False
        self._cut_off_relays.clear()
        self.process.start(self._clock.now_us(), cold)
        self.listen()

    def listen(self) -> None:
        """Connections are accepted again after `refuse`."""
        for endpoint in self._endpoints:
            if endpoint.listener is None:
                self._open(endpoint)

    def refuse(self) -> None:
        """Its listeners are closed; what stands goes on."""
        for endpoint in self._endpoints:
            endpoint.close()

    def end(self) -> None:
        """Its process is gone: connections are reset, new ones refused."""
        if not self.up:
            return
        now = self._clock.now_us()
        self._report_ended(now)
        self._is_reported_ended = False
        self.refuse()
        for connection in self._connections:
            connection.state.end(now, Ending.RESET, Over.RESET)
            connection.wake()
        self.process.fluid.stage = Stage.DOWN

    def _report_ended(self, now: int) -> None:
        if not self._is_reported_ended:
            self.process.seen.server_ended(now, self.process.number)
        self._is_reported_ended = True

    # ---- drains ----

    def drain(self) -> None:
        """It finishes its work and takes nothing new."""
        if self.process.fluid.stage is Stage.RUNS:
            self.process.fluid.stage = Stage.DRAINS
            self.process.seen.server_draining(self._clock.now_us(), self.process.number)

    def send_away(self, over_us: int) -> None:
        """While it drains it tells its clients to move, one by one over this time."""
        if self._nursery is not None:
            self._nursery.start_soon(self._pace_moves, self._clock.now_us(), over_us)

    def undrain(self) -> None:
        """The drain is called off."""
        if self.process.fluid.stage is Stage.DRAINS:
            self.process.fluid.stage = Stage.RUNS
            self.process.seen.server_started(
                self._clock.now_us(), self.process.number, self.process.capacity, False
            )

    async def _pace_moves(self, started_at: int, over_us: int) -> None:
        clients = [connection for connection in self._connections if connection.state.phase is Phase.STANDING]
        for n, connection in enumerate(clients, 1):
            await self._clock.until(started_at + n * over_us // (len(clients) + 1))
            if self.process.fluid.stage is not Stage.DRAINS:
                return
            connection.state.move(self._clock.now_us())
            connection.wake()

    # ---- silence ----

    def vanish(self) -> None:
        """Its machine is cut off from all relays."""
        self.cut_off(range(len(self._endpoints)))

    def cut_off(self, relays: Iterable[int], ended: bool = True) -> None:
        """Nothing passes between it and these relays: what is open stays open and silent, nothing new comes
        up. ended: whether the machine counts as gone from then on."""
        now = self._clock.now_us()
        if not self.up:
            return
        if ended:
            self._report_ended(now)
        self._cut_off_relays |= set(relays)
        for connection in self._connections:
            if connection.state.relay in self._cut_off_relays:
                connection.state.hang(now)
                connection.wake()
        for endpoint in self._endpoints:
            if (
                endpoint.relay in self._cut_off_relays
                and endpoint.listener is not None
                and endpoint.queue_filler is None
            ):
                # With its queue full the kernel takes no further connection: those who ask get no answer.
                endpoint.accepting.cancel()
                endpoint.listener.listen(0)
                endpoint.queue_filler = start_connect(endpoint.address)

    def come_back(self) -> None:
        """What was cut off is reset, and it goes on with the rest as it was."""
        if not self.up:
            return
        now, cut_off, self._cut_off_relays = self._clock.now_us(), self._cut_off_relays, set()
        for connection in self._connections:
            if connection.state.relay in cut_off:
                connection.state.end(now, Ending.RESET, Over.RESET)
                connection.wake()
        for endpoint in self._endpoints:
            if endpoint.queue_filler is not None:
                endpoint.close()
                self._open(endpoint)
        if self._is_reported_ended:
            self._is_reported_ended = False
            self.process.seen.server_started(now, self.process.number, self.process.capacity, False)

    # ---- what else befalls it ----

    def set_fault(self, fault: Fault | None, share: float = 1.0) -> None:
        """What befalls this share of the connections accepted from now on; None: nothing."""
        self.process.fault, self.process.fault_share = fault, share

    def apply_fault(self, fault: Fault, share: float = 1.0) -> None:
        """What befalls this share of those that are open."""
        now = self._clock.now_us()
        for connection in self._connections:
            if self.process.random.random() < share:
                connection.state.apply_fault(fault, now)
                connection.wake()

    def take_away(self, share: float) -> None:
        """A neighbour takes this share of its cores; 0: none."""
        self.process.fluid.neighbour = share
        self.process.fluid.refresh(self._clock.now_us())

    def set_overloaded(self, overloaded: bool) -> None:
        """While it is jammed nothing is done, and what comes piles up."""
        self.process.fluid.jammed = overloaded
        self.process.fluid.refresh(self._clock.now_us())

    # ---- its tasks ----

    def _open(self, endpoint: RelayEndpoint) -> None:
        assert self._nursery is not None
        if endpoint.reserved is not None:
            endpoint.reserved.close()
            endpoint.reserved = None
        endpoint.listener = bind(*endpoint.address)
        endpoint.listener.listen(BACKLOG)
        endpoint.accepting = trio.CancelScope()
        self._nursery.start_soon(self._accept, endpoint.accepting, endpoint.listener, endpoint.relay)

    async def _accept(self, scope: trio.CancelScope, listener: SocketType, relay: int) -> None:
        assert self._nursery is not None
        with scope:
            while True:
                try:
                    sock, _ = await listener.accept()
                except OSError:  # the connection went before it was accepted
                    continue
                connection = OpenConnection(sock, self.process.accept(relay))
                self._connections[connection] = None
                self._nursery.start_soon(self._serve_connection, connection)

    async def _serve_connection(self, connection: OpenConnection) -> None:
        try:
            with suppress(OSError):
                await self._exchange(connection)
        finally:
            self._connections.pop(connection, None)
            connection.state.disconnected(self._clock.now_us())
            connection.sock.close()

    async def _exchange(self, connection: OpenConnection) -> None:
        state, sock = connection.state, connection.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while await self._write(connection):
            slow = state.fault is Fault.SLOW
            if slow:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
                await self._clock.until(self._clock.now_us() + SLOW_READ_INTERVAL_US)
            if state.output or state.ending:  # said from outside while this task wrote or waited
                continue
            data = None
            with trio.CancelScope() as connection.wait_scope:
                if state.due is not None:
                    connection.wait_scope.deadline = self._clock.to_trio(state.due)
                data = await sock.recv(SLOW_READ_BYTES if slow else READ_BYTES)
            now = self._clock.now_us()
            if data is not None:
                state.received(data, now)
            if state.due is not None and state.due <= now:
                state.tick(now)

    async def _write(self, connection: OpenConnection) -> bool:
        """What the state has to say; False once the connection is over."""
        state, sock = connection.state, connection.sock
        while state.output:  # while this writes, more may be said from outside
            data, state.output = state.output, b""
            await send_all(sock, data)
        if state.ending is Ending.RESET:
            reset_on_close(sock)
            return False
        if state.ending is None:
            return True
        shutdown_send(sock)
        # Closing on unread bytes would reset the connection, and might take the last word with it.
        with trio.CancelScope() as closing:
            if state.ending is Ending.CLOSE:
                closing.deadline = self._clock.to_trio(self._clock.now_us() + CLOSING_TIMEOUT_US)
            while await sock.recv(READ_BYTES):
                pass
        return False

    async def _check_periodically(self) -> None:
        while True:
            await self._clock.until(self._clock.now_us() + TICK_US)
            now = self._clock.now_us()
            if not self.up:
                continue
            dropped = set(self.process.check(now))
            for connection in [connection for connection in self._connections if connection.state in dropped]:
                connection.state.end(now, Ending.RESET, Over.RESET)
                connection.wake()
