"""Push servers on loopback sockets, many in one process: one address for each relay, so that each attempt
tells which relay made it. What they say and hold is in `push_states`."""

import socket
from collections.abc import Sequence
from contextlib import suppress

import trio

from glenfold_lab.observe import Over
from glenfold_lab.stands.moments import SECOND_US, MachineClock
from glenfold_lab.stands.push_states import Conversation, Ending, Fault, Holder, Stage
from glenfold_lab.stands.sockets import Address, SocketType, begin_connect, bind, end_now, finish, take

BACKLOG = 1024
CHUNK = 16 * 1024
SLOW_BYTES = 8        # that a slow reader takes at a time
SLOW_US = 100_000     # between two such times
SLOW_BUFFER = 2048    # of its kernel's, in bytes
PARTING_US = SECOND_US  # for the relay to close after a last word
LOOK_S = 0.5          # between two looks at what is parked and piled up


class Held:
    """One open connection, and how to wake the task that serves it."""

    def __init__(self, sock: SocketType, state: Conversation) -> None:
        self.sock = sock
        self.state = state
        self.wait = trio.CancelScope()

    def wake(self) -> None:
        """Its state has changed from outside."""
        self.wait.cancel()


class PushServer:
    """`serve` runs until it is cancelled; everything else may be called while it runs.

    addresses: of this server, by relay."""

    def __init__(self, holder: Holder, clock: MachineClock, hosts: Sequence[str],
                 mean_load: float = 30_000.0) -> None:
        self.holder = holder
        self._clock = clock
        self._mean_load = mean_load
        self.addresses: list[Address] = []
        self._reserved: list[SocketType] = []
        for host in hosts:
            sock = bind(host)
            self._reserved.append(sock)
            self.addresses.append(sock.getsockname())
        self._held: dict[Held, None] = {}
        self._nursery: trio.Nursery | None = None
        self._accepting: trio.CancelScope | None = None
        self._fillers: list[SocketType] = []
        self._listeners: list[SocketType] = []
        self.up = False
        self._vanished = False

    @property
    def standing(self) -> int:
        return len(self.holder.standing)

    async def serve(self) -> None:
        """Not up until `start` is called: until then connections are refused."""
        try:
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self._look_round)
                await trio.sleep_forever()
        finally:
            self._nursery = None
            for sock in (*self._reserved, *self._listeners, *self._fillers):
                sock.close()

    # ---- what befalls it ----

    def start(self, cold: bool) -> None:
        """Its process comes up."""
        now = self._clock.now_us()
        self.holder.start(now, cold)
        capacity = self.holder.machine.describe(self._mean_load)
        self.holder.seen.server_started(now, self.holder.number, capacity, cold)
        self.up = True
        self.listen()

    def listen(self) -> None:
        """Connections are accepted again after `refuse`."""
        assert self._nursery is not None
        if self._listeners:
            return
        while self._reserved:
            self._reserved.pop().close()
        self._accepting = trio.CancelScope()
        for relay, address in enumerate(self.addresses):
            listener = bind(*address)
            listener.listen(BACKLOG)
            self._listeners.append(listener)
            self._nursery.start_soon(self._accept, self._accepting, listener, relay)

    def refuse(self) -> None:
        """Its listener is closed; what stands goes on."""
        if self._accepting is not None:
            self._accepting.cancel()
        for sock in (*self._listeners, *self._fillers):
            sock.close()
        self._listeners, self._fillers = [], []

    def end(self) -> None:
        """Its process is gone: connections are reset, new ones refused."""
        now = self._clock.now_us()
        if self.up and not self._vanished:
            self.holder.seen.server_ended(now, self.holder.number)
        self.up = self._vanished = False
        self.refuse()
        for held in self._held:
            held.state.end(now, Ending.RESET, Over.RESET)
            held.wake()

    def vanish(self) -> None:
        """Its machine is cut off: what is open stays open and silent, and nothing new comes up."""
        now = self._clock.now_us()
        self.holder.seen.server_ended(now, self.holder.number)
        self._vanished = True
        for held in self._held:
            held.state.hang(now)
            held.wake()
        if self._accepting is not None:
            self._accepting.cancel()
        for listener in self._listeners:
            # With its queue full the kernel takes no further connection: those who ask get no answer.
            listener.listen(0)
            self._fillers.append(begin_connect(listener.getsockname()))

    def come_back(self) -> None:
        """After `vanish`: what was open is reset, and its process goes on as it was, but empty."""
        self.end()
        self.start(cold=False)

    def drain(self, over_us: int) -> None:
        """It wants nothing new, and sends its clients away one by one over this time."""
        now = self._clock.now_us()
        self.holder.draining = True
        self.holder.seen.server_draining(now, self.holder.number)
        if self._nursery is not None and over_us:
            self._nursery.start_soon(self._pace_moves, now, over_us)

    def undrain(self) -> None:
        """It takes new connections again, as after a drain that was called off."""
        self.holder.draining = False

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
        """A neighbour takes this share of its machine; 0: none."""
        self.holder.machine.take_away(self._clock.now_us(), share)

    # ---- its tasks ----

    async def _accept(self, scope: trio.CancelScope, listener: SocketType, relay: int) -> None:
        assert self._nursery is not None
        with scope:
            while True:
                try:
                    sock, _ = await listener.accept()
                except OSError:  # closed by `refuse`, or the connection went before it was accepted
                    if listener.fileno() < 0:
                        return
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
        while await self._write(held):
            slow = state.fault is Fault.SLOW
            if slow:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER)
                await self._clock.until(self._clock.now_us() + SLOW_US)
            data = None
            if state.out or state.ending:  # said from outside while this task wrote
                continue
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
        if state.out:
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

    async def _pace_moves(self, began: int, over_us: int) -> None:
        clients = [held for held in self._held if held.state.stage is Stage.STANDING]
        for n, held in enumerate(clients, 1):
            await self._clock.until(began + n * over_us // (len(clients) + 1))
            if not self.holder.draining or not self.up:
                return
            held.state.move(self._clock.now_us())
            held.wake()

    async def _look_round(self) -> None:
        while True:
            await self._clock.until(self._clock.now_us() + LOOK_S * SECOND_US)
            now = self._clock.now_us()
            self.holder.forget_parked(now)
            heavy = set(self.holder.heaviest(now))
            for held in [held for held in self._held if held.state in heavy]:
                held.state.end(now, Ending.RESET, Over.RESET)
                held.wake()
