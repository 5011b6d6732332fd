"""Stand-ins for push servers on loopback sockets, many in one process.

Each server has one address for each relay, so that every attempt shows which relay made it. The protocol and
the state of a server are in `push_states`.
"""

import socket
from collections.abc import Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from glenfold_lab.model.servers.calls import TICK_US
from glenfold_lab.model.servers.server import Stage
from glenfold_lab.observe import AttemptOutcome
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.push_states import Ending, Fault, Phase, ServerConnection, ServerProcess
from glenfold_lab.stand_ins.sockets import (
    Address,
    SocketType,
    bind,
    reset_on_close,
    send_all,
    shutdown_send,
    since_arrival_us,
    start_connect,
)

BACKLOG = 1024
READ_BYTES = 16 * 1024
# A connection with `Fault.SLOW` reads this many bytes in each interval, with a small kernel buffer.
SLOW_READ_BYTES = 16
SLOW_READ_INTERVAL_US = 100_000
SLOW_RECEIVE_BUFFER_BYTES = 2048
# The time that the relay has to close a connection after the server's last line.
CLOSING_TIMEOUT_US = SECOND_US


@dataclass(slots=True, eq=False)
class OpenConnection:
    """One open connection, and the cancel scope that wakes the task serving it."""

    sock: SocketType
    state: ServerConnection
    wait_scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def wake(self) -> None:
        """Wakes the serving task after another task has changed the connection's state."""
        self.wait_scope.cancel()


@dataclass(slots=True, eq=False)
class RelayEndpoint:
    """The address at which one relay reaches this server.

    `reserved` keeps the address while the server does not listen. `queue_filler` is a connection that fills
    the accept queue while the server is cut off from this relay.
    """

    relay: int
    address: Address
    reserved: SocketType | None
    listener: SocketType | None = None
    queue_filler: SocketType | None = None
    accepting: trio.CancelScope = field(default_factory=trio.CancelScope)

    def close(self) -> None:
        """Stops accepting and closes the sockets."""
        self.accepting.cancel()
        for sock in (self.reserved, self.listener, self.queue_filler):
            if sock is not None:
                sock.close()
        self.reserved = self.listener = self.queue_filler = None


class PushServer:
    """One push server; `serve` runs until it is cancelled, and the other methods may be called meanwhile.

    `hosts` holds a loopback address for each relay, by the relay's number.
    """

    def __init__(self, process: ServerProcess, clock: MachineClock, hosts: Sequence[str]) -> None:
        self.process = process
        self._clock = clock
        self._endpoints = []
        for relay, host in enumerate(hosts):
            reserved = bind(host)
            self._endpoints.append(RelayEndpoint(relay, reserved.getsockname(), reserved))
        self._connections: dict[OpenConnection, None] = {}
        self._nursery: trio.Nursery | None = None
        self._cut_off_relays: set[int] = set()  # Numbers of relays.
        self._is_reported_ended = False  # The end was recorded, though the process still runs.

    @property
    def addresses(self) -> list[Address]:
        """The server's addresses, by relay."""
        return [endpoint.address for endpoint in self._endpoints]

    @property
    def up(self) -> bool:
        """Whether the server's process runs."""
        return self.process.fluid.running

    @property
    def standing(self) -> int:
        """The number of standing connections."""
        return len(self.process.by_key)

    def load(self) -> float:
        """Returns demand divided by present capacity; 0 without capacity or while the server is down."""
        fluid = self.process.fluid
        fluid.advance(self._clock.now_us())
        return fluid.demand / fluid.capacity() if fluid.running and fluid.capacity() > 0 else 0.0

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until it is cancelled; connections are refused until `start` is called."""
        try:
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self._check_periodically)
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._nursery = None
            for endpoint in self._endpoints:
                endpoint.close()

    # ---- start and end ----

    def start(self, cold: bool) -> None:
        """Starts the server's process; a cold server has reduced capacity at first."""
        self._is_reported_ended = False
        self._cut_off_relays.clear()
        self.process.start(self._clock.now_us(), cold)
        self.listen()

    def listen(self) -> None:
        """Accepts connections again after `refuse`."""
        for endpoint in self._endpoints:
            if endpoint.listener is None:
                self._open(endpoint)

    def refuse(self) -> None:
        """Closes the listeners; open connections continue."""
        for endpoint in self._endpoints:
            endpoint.close()

    def end(self) -> None:
        """Ends the server's process: open connections are reset and new ones refused."""
        if not self.up:
            return
        now = self._clock.now_us()
        self._report_ended(now)
        self._is_reported_ended = False
        self.refuse()
        for connection in self._connections:
            connection.state.end(now, Ending.RESET, AttemptOutcome.RESET)
            connection.wake()
        self.process.fluid.stage = Stage.DOWN

    def _report_ended(self, now: int) -> None:
        if not self._is_reported_ended:
            self.process.seen.server_ended(now, self.process.number)
        self._is_reported_ended = True

    # ---- drains ----

    def drain(self) -> None:
        """Begins a drain: set-ups under way are finished, and new requests are answered BUSY."""
        if self.process.fluid.stage is Stage.RUNS:
            self.process.fluid.stage = Stage.DRAINS
            self.process.seen.server_draining(self._clock.now_us(), self.process.number)

    def send_away(self, over_us: int) -> None:
        """Sends MOVE to the clients one by one over `over_us`, as long as the server drains."""
        if self._nursery is not None:
            self._nursery.start_soon(self._pace_moves, self._clock.now_us(), over_us)

    def undrain(self) -> None:
        """Cancels the drain."""
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

    # ---- network cuts ----

    def vanish(self) -> None:
        """Cuts the server off from all relays."""
        self.cut_off(range(len(self._endpoints)))

    def cut_off(self, relays: Iterable[int], ended: bool = True) -> None:
        """Cuts the server off from these relays.

        Open connections stay open and silent, and no new connection is established. `ended` says whether the
        server is recorded as ended from now on.
        """
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
                # With the accept queue full the kernel drops further connection attempts without an answer.
                endpoint.accepting.cancel()
                endpoint.listener.listen(0)
                endpoint.queue_filler = start_connect(endpoint.address)

    def come_back(self) -> None:
        """Ends a cut: resets the connections that were cut off and leaves the others as they are."""
        if not self.up:
            return
        now, cut_off, self._cut_off_relays = self._clock.now_us(), self._cut_off_relays, set()
        for connection in self._connections:
            if connection.state.relay in cut_off:
                connection.state.end(now, Ending.RESET, AttemptOutcome.RESET)
                connection.wake()
        for endpoint in self._endpoints:
            if endpoint.queue_filler is not None:
                endpoint.close()
                self._open(endpoint)
        if self._is_reported_ended:
            self._is_reported_ended = False
            self.process.seen.server_started(now, self.process.number, self.process.capacity, False)

    # ---- other faults ----

    def set_fault(self, fault: Fault | None, share: float = 1.0) -> None:
        """Applies the fault to this share of the connections accepted from now on; None means no fault."""
        self.process.fault, self.process.fault_share = fault, share

    def apply_fault(self, fault: Fault, share: float = 1.0) -> None:
        """Applies the fault to this share of the open connections."""
        now = self._clock.now_us()
        for connection in self._connections:
            if self.process.random.random() < share:
                connection.state.apply_fault(fault, now)
                connection.wake()

    def take_away(self, share: float) -> None:
        """Lets another workload on the machine use this share of the cores; 0 means none."""
        self.process.fluid.neighbour = share
        self.process.fluid.refresh(self._clock.now_us())

    def set_overloaded(self, overloaded: bool) -> None:
        """Stops all work while `overloaded` is set; work that arrives meanwhile piles up."""
        self.process.fluid.is_stalled = overloaded
        self.process.fluid.refresh(self._clock.now_us())

    # ---- tasks ----

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
                except OSError:  # The relay closed the connection before it was accepted.
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
            if state.output or state.ending:  # Another task added output during the write or the wait.
                continue
            data = None
            with trio.CancelScope() as connection.wait_scope:
                if state.due is not None:
                    connection.wait_scope.deadline = self._clock.to_trio(state.due)
                data = await sock.recv(SLOW_READ_BYTES if slow else READ_BYTES)
            now = self._clock.now_us()
            if data is not None:
                state.received(data, now, now - since_arrival_us(sock) if data else now)
            if state.due is not None and state.due <= now:
                state.tick(now)

    async def _write(self, connection: OpenConnection) -> bool:
        """Writes the pending output; returns False once the connection has ended."""
        state, sock = connection.state, connection.sock
        while state.output:  # Other tasks may add output during the write.
            data, state.output = state.output, b""
            await send_all(sock, data)
        if state.ending is Ending.RESET:
            reset_on_close(sock)
            return False
        if state.ending is None:
            return True
        shutdown_send(sock)
        # A close with unread bytes would reset the connection, and the last line might be lost.
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
                connection.state.end(now, Ending.RESET, AttemptOutcome.RESET)
                connection.wake()
