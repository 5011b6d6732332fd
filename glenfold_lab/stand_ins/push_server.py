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
from glenfold_lab.stand_ins.push_states import Conversation, Ending, Fault, Holder, Phase
from glenfold_lab.stand_ins.sockets import Address, SocketType, begin_connect, bind, end_now, finish, take

BACKLOG = 1024
CHUNK = 16 * 1024
SLOW_BYTES = 16  # that a slow reader takes at a time
SLOW_US = 100_000  # between two such times
SLOW_BUFFER = 2048  # of its kernel's, in bytes
PARTING_US = SECOND_US  # for the relay to close after a last word


@dataclass(slots=True, eq=False)
class Held:
    """One open connection, and how to wake the task that serves it."""

    sock: SocketType
    state: Conversation
    wait: trio.CancelScope = field(default_factory=trio.CancelScope)

    def wake(self) -> None:
        """Its state has changed from outside."""
        self.wait.cancel()


@dataclass(slots=True, eq=False)
class Door:
    """Where one relay finds this server. `bound` keeps the address while nobody listens there; `filler` fills
    the queue of a listener from whose relay the server is cut off."""

    relay: int
    address: Address
    bound: SocketType | None
    listener: SocketType | None = None
    filler: SocketType | None = None
    accepting: trio.CancelScope = field(default_factory=trio.CancelScope)

    def close(self) -> None:
        self.accepting.cancel()
        for sock in (self.bound, self.listener, self.filler):
            if sock is not None:
                sock.close()
        self.bound = self.listener = self.filler = None


class PushServer:
    """`serve` runs until it is cancelled; everything else may be called while it runs.

    hosts: a loopback address for each relay, by its number."""

    def __init__(self, holder: Holder, clock: MachineClock, hosts: Sequence[str]) -> None:
        self.holder = holder
        self._clock = clock
        self._doors = []
        for relay, host in enumerate(hosts):
            bound = bind(host)
            self._doors.append(Door(relay, bound.getsockname(), bound))
        self._held: dict[Held, None] = {}
        self._nursery: trio.Nursery | None = None
        self._cut: set[int] = set()  # relays
        self._gone = False  # has been told to have ended, though its process runs

    @property
    def addresses(self) -> list[Address]:
        """Of this server, by relay."""
        return [door.address for door in self._doors]

    @property
    def up(self) -> bool:
        return self.holder.fluid.running

    @property
    def standing(self) -> int:
        return len(self.holder.by_key)

    def load(self) -> float:
        """Over what it can do at this moment; 0 while it is down."""
        fluid = self.holder.fluid
        fluid.advance(self._clock.now_us())
        return fluid.demand / fluid.capacity() if fluid.running and fluid.capacity() > 0 else 0.0

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Not up until `start` is called: until then connections are refused."""
        try:
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self._look_round)
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._nursery = None
            for door in self._doors:
                door.close()

    # ---- its life ----

    def start(self, cold: bool) -> None:
        """Its process comes up."""
        self._gone = False
        self._cut.clear()
        self.holder.start(self._clock.now_us(), cold)
        self.listen()

    def listen(self) -> None:
        """Connections are accepted again after `refuse`."""
        for door in self._doors:
            if door.listener is None:
                self._open(door)

    def refuse(self) -> None:
        """Its listeners are closed; what stands goes on."""
        for door in self._doors:
            door.close()

    def end(self) -> None:
        """Its process is gone: connections are reset, new ones refused."""
        if not self.up:
            return
        now = self._clock.now_us()
        self._tell_ended(now)
        self._gone = False
        self.refuse()
        for held in self._held:
            held.state.end(now, Ending.RESET, Over.RESET)
            held.wake()
        self.holder.fluid.stage = Stage.DOWN

    def _tell_ended(self, now: int) -> None:
        if not self._gone:
            self.holder.seen.server_ended(now, self.holder.number)
        self._gone = True

    # ---- drains ----

    def drain(self) -> None:
        """It finishes its work and takes nothing new."""
        if self.holder.fluid.stage is Stage.RUNS:
            self.holder.fluid.stage = Stage.DRAINS
            self.holder.seen.server_draining(self._clock.now_us(), self.holder.number)

    def send_away(self, over_us: int) -> None:
        """While it drains it tells its clients to move, one by one over this time."""
        if self._nursery is not None:
            self._nursery.start_soon(self._pace_moves, self._clock.now_us(), over_us)

    def undrain(self) -> None:
        """The drain is called off."""
        if self.holder.fluid.stage is Stage.DRAINS:
            self.holder.fluid.stage = Stage.RUNS
            self.holder.seen.server_started(
                self._clock.now_us(), self.holder.number, self.holder.capacity, False
            )

    async def _pace_moves(self, began: int, over_us: int) -> None:
        clients = [held for held in self._held if held.state.phase is Phase.STANDING]
        for n, held in enumerate(clients, 1):
            await self._clock.until(began + n * over_us // (len(clients) + 1))
            if self.holder.fluid.stage is not Stage.DRAINS:
                return
            held.state.move(self._clock.now_us())
            held.wake()

    # ---- silence ----

    def vanish(self) -> None:
        """Its machine is cut off from all relays."""
        self.cut(range(len(self._doors)))

    def cut(self, relays: Iterable[int], ended: bool = True) -> None:
        """Nothing passes between it and these relays: what is open stays open and silent, nothing new comes
        up. ended: whether the machine counts as gone from then on."""
        now = self._clock.now_us()
        if not self.up:
            return
        if ended:
            self._tell_ended(now)
        self._cut |= set(relays)
        for held in self._held:
            if held.state.relay in self._cut:
                held.state.hang(now)
                held.wake()
        for door in self._doors:
            if door.relay in self._cut and door.listener is not None and door.filler is None:
                # With its queue full the kernel takes no further connection: those who ask get no answer.
                door.accepting.cancel()
                door.listener.listen(0)
                door.filler = begin_connect(door.address)

    def come_back(self) -> None:
        """What was cut off is reset, and it goes on with the rest as it was."""
        if not self.up:
            return
        now, cut, self._cut = self._clock.now_us(), self._cut, set()
        for held in self._held:
            if held.state.relay in cut:
                held.state.end(now, Ending.RESET, Over.RESET)
                held.wake()
        for door in self._doors:
            if door.filler is not None:
                door.close()
                self._open(door)
        if self._gone:
            self._gone = False
            self.holder.seen.server_started(now, self.holder.number, self.holder.capacity, False)

    # ---- what else befalls it ----

    def from_now(self, fault: Fault | None, share: float = 1.0) -> None:
        """What befalls this share of the connections accepted from now on; None: nothing."""
        self.holder.fault, self.holder.fault_share = fault, share

    def strike(self, fault: Fault, share: float = 1.0) -> None:
        """What befalls this share of those that are open."""
        now = self._clock.now_us()
        for held in self._held:
            if self.holder.random.random() < share:
                held.state.strike(fault, now)
                held.wake()

    def take_away(self, share: float) -> None:
        """A neighbour takes this share of its cores; 0: none."""
        self.holder.fluid.neighbour = share
        self.holder.fluid.refresh(self._clock.now_us())

    def jam(self, jammed: bool) -> None:
        """While it is jammed nothing is done, and what comes piles up."""
        self.holder.fluid.is_stalled = jammed
        self.holder.fluid.refresh(self._clock.now_us())

    # ---- its tasks ----

    def _open(self, door: Door) -> None:
        assert self._nursery is not None
        if door.bound is not None:
            door.bound.close()
            door.bound = None
        door.listener = bind(*door.address)
        door.listener.listen(BACKLOG)
        door.accepting = trio.CancelScope()
        self._nursery.start_soon(self._accept, door.accepting, door.listener, door.relay)

    async def _accept(self, scope: trio.CancelScope, listener: SocketType, relay: int) -> None:
        assert self._nursery is not None
        with scope:
            while True:
                try:
                    sock, _ = await listener.accept()
                except OSError:  # the connection went before it was accepted
                    continue
                held = Held(sock, self.holder.accept(relay))
                self._held[held] = None
                self._nursery.start_soon(self._converse, held)

    async def _converse(self, held: Held) -> None:
        try:
            with suppress(OSError):
                await self._exchange(held)
        finally:
            self._held.pop(held, None)
            held.state.gone(self._clock.now_us())
            held.sock.close()

    async def _exchange(self, held: Held) -> None:
        state, sock = held.state, held.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while await self._write(held):
            slow = state.fault is Fault.SLOW
            if slow:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER)
                await self._clock.until(self._clock.now_us() + SLOW_US)
            if state.out or state.ending:  # said from outside while this task wrote or waited
                continue
            data = None
            with trio.CancelScope() as held.wait:
                if state.due is not None:
                    held.wait.deadline = self._clock.to_trio(state.due)
                data = await sock.recv(SLOW_BYTES if slow else CHUNK)
            now = self._clock.now_us()
            if data is not None:
                state.received(data, now)
            if state.due is not None and state.due <= now:
                state.tick(now)

    async def _write(self, held: Held) -> bool:
        """What the state has to say; False once the connection is over."""
        state, sock = held.state, held.sock
        while state.out:  # while this writes, more may be said from outside
            data, state.out = state.out, b""
            await take(sock, data)
        if state.ending is Ending.RESET:
            end_now(sock)
            return False
        if state.ending is None:
            return True
        finish(sock)
        # Closing on unread bytes would reset the connection, and might take the last word with it.
        with trio.CancelScope() as parting:
            if state.ending is Ending.CLOSE:
                parting.deadline = self._clock.to_trio(self._clock.now_us() + PARTING_US)
            while await sock.recv(CHUNK):
                pass
        return False

    async def _look_round(self) -> None:
        while True:
            await self._clock.until(self._clock.now_us() + TICK_US)
            now = self._clock.now_us()
            if not self.up:
                continue
            heavy = set(self.holder.look(now))
            for held in [held for held in self._held if held.state in heavy]:
                held.state.end(now, Ending.RESET, Over.RESET)
                held.wake()
