"""Zero-downtime restart: the sockets through which a new process takes over from an old one.

The old process serves a private socket, and the new process connects to it. Listening sockets are passed and
never opened twice: the kernel keeps one queue of clients for both processes, so no client is refused or reset
during the takeover. The state machines are in `handshake`.
"""

import os
import socket
import struct
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from glenfold import events
from glenfold.config.address import Address, format_address
from glenfold.daemon import handshake, private_socket
from glenfold.daemon.life import State
from glenfold.daemon.listeners import BadListener, addresses_of, check, reconcile, resolve
from glenfold.daemon.process import Process
from glenfold.net.sockets import SocketType

READY_TIMEOUT_S = 30.0  # The time that a new process has to become ready.
MAX_CONNECTIONS = 4  # Further connections are closed at once.
RETRY_DELAY_S = 0.1  # The wait when no descriptor is free or the socket's queue is full.
MAX_MESSAGE_BYTES = 1 << 16
INT = struct.calcsize("i")
ENCODER = msgspec.json.Encoder()
DECODER: msgspec.json.Decoder[handshake.Message] = msgspec.json.Decoder(handshake.Message)


class Refused(Exception):
    """Raised when the old process continues to serve, so that this process can't."""


@dataclass(frozen=True, slots=True)
class TakeoverLocation:
    """The takeover socket of an instance.

    `ready_s` is the time that the old process waits for a new one to be ready.
    """

    folder: Path
    instance: str
    ready_s: float = READY_TIMEOUT_S

    @property
    def path(self) -> Path:
        """The path of the socket."""
        return self.folder / f"{self.instance}.takeover"


class Channel:
    """Sends and receives messages over a SOCK_SEQPACKET socket; only `next_input` waits."""

    def __init__(self, sock: socket.socket, max_descriptors: int = 0) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._ancillary_bytes = socket.CMSG_SPACE(max_descriptors * INT) if max_descriptors else 0
        self._receiving_stopped = False

    def send(self, message: handshake.Message, descriptors: Sequence[int] = ()) -> None:
        """Sends a message, which is in the peer's receive queue on return. Raises OSError."""
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, struct.pack(f"{len(descriptors)}i", *descriptors))]
        self._sock.sendmsg([ENCODER.encode(message)], rights if descriptors else [], socket.MSG_NOSIGNAL)

    def stop_receiving(self) -> None:
        """Makes further sends of the peer fail; messages sent before can still be received."""
        self._receiving_stopped = True
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)

    def receive(self) -> tuple[handshake.Input, list[int]] | None:
        """Returns the next message with its descriptors, or None if there is no message yet.

        The caller has to close the descriptors.
        """
        try:
            data, rights, flags, _ = self._receive()
        except BlockingIOError:
            return None
        except OSError as error:
            return handshake.ChannelFailed(error.strerror or str(error)), []
        descriptors = [
            descriptor
            for _, kind, packed in rights
            if kind == socket.SCM_RIGHTS
            for descriptor in struct.unpack(f"{len(packed) // INT}i", packed[: len(packed) // INT * INT])
        ]
        if not data:
            return None if self._receiving_stopped else (handshake.Disconnected(), [])
        try:
            if flags & socket.MSG_CTRUNC and self._ancillary_bytes:
                raise msgspec.DecodeError("too few descriptors are left to take what is passed")
            if flags & socket.MSG_TRUNC:
                raise msgspec.DecodeError("a message is too long")
            return DECODER.decode(data), descriptors
        except (msgspec.DecodeError, RecursionError) as error:
            close_all(descriptors)
            return handshake.ChannelFailed(str(error)), []

    def _receive(self) -> tuple[bytes, list[tuple[int, int, bytes]], int, object]:
        flags = socket.MSG_DONTWAIT | socket.MSG_CMSG_CLOEXEC
        try:
            return self._sock.recvmsg(MAX_MESSAGE_BYTES, self._ancillary_bytes, flags)
        except ConnectionResetError:
            # Reported once if the peer closed with unread data; its messages follow.
            return self._sock.recvmsg(MAX_MESSAGE_BYTES, self._ancillary_bytes, flags)

    async def next_input(self, due: float) -> tuple[handshake.Input, list[int]]:
        """Waits for the next message until `due`, and returns it as an input with its descriptors."""
        while (received := self.receive()) is None:
            if trio.current_time() >= due:
                return handshake.DeadlineReached(), []
            try:
                with trio.move_on_at(due):
                    await trio.lowlevel.wait_readable(self._sock)
            except trio.ClosedResourceError:  # This process closed the channel meanwhile.
                return handshake.Disconnected(), []
        return received

    def close(self) -> None:
        """Closes the socket; further calls do nothing."""
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


def close_all(descriptors: Sequence[int]) -> None:
    """Closes these descriptors."""
    for descriptor in descriptors:
        os.close(descriptor)


# ---- the new process ---------------------------------------------------------------------------


async def obtain_listeners(
    location: TakeoverLocation | None,
    addresses: Sequence[Address],
    passed: Sequence[socket.socket],
    ready_by: float,
) -> "tuple[list[socket.socket], Takeover | None]":
    """Returns the listeners of a process that starts, and its takeover if there was an old process.

    The listeners come from the old process at `location`, or else from `passed`, the sockets of the service
    manager. Missing ones are opened. Raises Refused and BadListener.
    """
    wants = await resolve(addresses)
    takeover = None if location is None else await ask(location, wants, ready_by, passed)
    return (reconcile(passed, wants).all, None) if takeover is None else (takeover.listeners, takeover)


async def ask(
    location: TakeoverLocation, wants: Sequence[str], ready_by: float, passed: Sequence[socket.socket] = ()
) -> "Takeover | None":
    """Asks the old process at `location` for its listeners.

    Returns None if there is no old process, or it died before it passed them on. `wants` holds the addresses
    to listen at as getsockname returns them, `ready_by` the time at which this process has to be ready, and
    `passed` the sockets that it has already. Raises Refused.
    """
    sock = await _connect(location.path, ready_by)
    if sock is None:
        return None
    if not private_socket.peer(sock).is_own_user:
        sock.close()
        raise Refused(f"{location.path} is another user's")
    takeover = Takeover(Channel(sock, handshake.MAX_LISTENERS + 1), location, wants, ready_by, passed)
    try:
        return takeover if await takeover.await_offer() else None
    except BaseException:
        takeover.close()
        raise


async def _connect(path: Path, ready_by: float) -> socket.socket | None:
    while True:
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        except OSError as error:
            raise Refused(f"no socket for the takeover could be opened: {error.strerror or error}") from error
        try:
            sock.setblocking(False)
            sock.connect(str(path))
            return sock
        except (FileNotFoundError, ConnectionRefusedError):
            sock.close()
            return None
        except BlockingIOError:  # The queue of the old process's socket is full.
            sock.close()
            if trio.current_time() >= ready_by:
                raise Refused("no answer") from None
            await trio.sleep(RETRY_DELAY_S)
        except OSError as error:
            sock.close()
            raise Refused(f"{path}: {error.strerror or error}") from error


class Takeover:
    """The new process's side of a takeover.

    After the offer, `listeners` holds the sockets and `lock` the descriptor of the name's lock, if one was
    passed. The caller creates a Process from the listeners with `start_paused`, and a TakeoverServer as one
    of its background tasks. `refused` says why the old process continues to serve, or is None.
    """

    def __init__(
        self,
        channel: Channel,
        location: TakeoverLocation,
        wants: Sequence[str],
        ready_by: float,
        inherited: Sequence[socket.socket] = (),
    ) -> None:
        self.listeners: list[socket.socket] = []
        self.lock: int | None = None
        self.refused: str | None = None
        self._channel = channel
        self._wants = list(wants)
        self._inherited = inherited
        # The descriptors of listeners that the old process or the service manager also has.
        self._passed: set[int] = set()
        hello = handshake.Hello(handshake.FORMAT, location.instance, self._wants)
        self._successor = handshake.Successor(
            hello, ready_by, min(ready_by, trio.current_time() + handshake.GREETING_TIMEOUT_S)
        )
        self._process: Process | None = None

    async def await_offer(self) -> bool:
        """Requests the takeover and waits for the offer.

        Returns False if the old process died before that. Raises Refused.
        """
        self._perform(self._successor.start())
        while self._successor.state is handshake.SuccessorState.AWAITING_OFFER:
            received_input, descriptors = await self._channel.next_input(self._successor.due)
            if isinstance(received_input, handshake.Offer):
                received_input = self._adopt(received_input, descriptors)
            else:
                close_all(descriptors)
            self._perform(self._successor.on(received_input))
        if self.refused is not None:
            raise Refused(self.refused)
        return self._successor.state is not handshake.SuccessorState.FINISHED

    def _adopt(self, offer: handshake.Offer, descriptors: list[int]) -> handshake.Input:
        """Adopts the sockets of an offer; if one is unusable, closes all and returns ChannelFailed."""
        if len(descriptors) != len(offer.listeners) + offer.lock:
            close_all(descriptors)
            return handshake.ChannelFailed("an offer came with other descriptors than it names")
        self.lock = descriptors.pop() if offer.lock else None
        self.listeners = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        try:
            for sock in self.listeners:
                check(sock)
            found = reconcile([*self.listeners, *self._inherited], self._wants)
        except BadListener as error:
            return handshake.ChannelFailed(str(error))
        self.listeners = found.all
        self._passed = {sock.fileno() for sock in found.kept}
        events.takeover_offered(
            passed=addresses_of(found.kept), opened=addresses_of(found.opened), closed=offer.others
        )
        return offer

    async def complete(self, process: Process) -> bool:
        """Waits for the end of the takeover and returns whether this process owns the name.

        If it does not, the process has been told to stop.
        """
        self._process = process
        process.life.watches.append(self._on_life_change)
        # The process may already be ready or stopping.
        self._on_life_change(process.life.state, process.life.state)
        while not self._successor.finished:
            received_input, descriptors = await self._channel.next_input(self._successor.due)
            close_all(descriptors)
            self._perform(self._successor.on(received_input))
        process.life.watches.remove(self._on_life_change)
        return self._successor.state is handshake.SuccessorState.OWNER

    def _on_life_change(self, before: State, now: State) -> None:
        if now is State.READY:
            self._perform(self._successor.on(handshake.ProcessReady()))
        elif now in (State.DRAINING, State.FINISHING):
            self._perform(self._successor.on(handshake.ProcessStopping()))

    def _perform(self, effects: Sequence[handshake.Effect]) -> None:
        for effect in effects:
            match effect:
                case handshake.Send(message):
                    self._send(message)
                case handshake.Accept():
                    assert self._process is not None
                    self._process.accept()
                case handshake.BecomeOwner():
                    events.takeover_done()
                case handshake.GiveUp(reason):
                    self._give_up(reason)
                case handshake.Close():
                    self._channel.close()

    def _send(self, message: handshake.Message) -> None:
        try:
            self._channel.send(message)
        except OSError as error:
            self._perform(self._successor.on(handshake.ChannelFailed(error.strerror or str(error))))
        else:
            self._perform(self._successor.on(handshake.Delivered()))

    def _give_up(self, reason: str) -> None:
        self.refused = reason
        events.takeover_refused(reason=reason)
        if self._process is not None:
            listeners = self._process.listeners
            self._process.release([one for one in listeners if one.fileno() in self._passed])
            self._process.stop()
        self.close()

    def close(self) -> None:
        """Closes the channel, the lock and, without a Process, the listeners.

        The old process keeps its own descriptors.
        """
        self._channel.close()
        if self._process is None:
            for sock in self.listeners:
                sock.close()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None


# ---- the old process ---------------------------------------------------------------------------


class TakeoverServer:
    """The old process's side: a background task that lets the next process take over.

    If this process started with a takeover, it completes that first. `lock` is the descriptor of the name's
    lock, which is passed on too. It may only be closed: unlocking it would release it for both processes. The
    socket's file is never removed: without a listener it is harmless, and it may be the next process's
    already.
    """

    def __init__(
        self, location: TakeoverLocation, lock: int | None = None, takeover: Takeover | None = None
    ) -> None:
        self.location = location
        self.lock = lock if takeover is None else takeover.lock
        self._takeover = takeover
        self.serving = False  # Whether this process owns the name and accepts takeover requests.
        self._chosen_predecessor: handshake.Predecessor | None = None
        self._connections = 0

    async def __call__(self, process: Process) -> None:
        if self._takeover is not None and not await self._takeover.complete(process):
            return
        try:
            listener = private_socket.listen(self.location.path, socket.SOCK_SEQPACKET, MAX_CONNECTIONS)
        except OSError as error:
            events.takeover_unheard(error=error)
            return
        self.serving = True
        with listener:
            async with trio.open_nursery() as nursery:
                await self._serve(listener, process, nursery)

    async def _serve(self, listener: SocketType, process: Process, nursery: trio.Nursery) -> None:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                events.takeover_unheard(error=error)
                await trio.sleep(RETRY_DELAY_S)
                continue
            stdlib_socket = socket.socket(fileno=sock.detach())
            if self._connections >= MAX_CONNECTIONS or not private_socket.peer(stdlib_socket).is_own_user:
                events.takeover_stranger()
                stdlib_socket.close()
                continue
            self._connections += 1
            nursery.start_soon(self._serve_successor, Channel(stdlib_socket), process)

    async def _serve_successor(self, channel: Channel, process: Process) -> None:
        now = trio.current_time()
        predecessor = handshake.Predecessor(
            self.location.instance, now + self.location.ready_s, now + handshake.GREETING_TIMEOUT_S
        )
        connection = _PredecessorConnection(channel, predecessor, process, self.lock)
        try:
            while not predecessor.finished:
                received_input = await connection.next_input()
                if isinstance(received_input, handshake.Hello):
                    connection.on_hello(
                        received_input,
                        self._chosen_predecessor is not None and self._chosen_predecessor.is_chosen,
                    )
                    self._chosen_predecessor = (
                        predecessor if predecessor.is_chosen else self._chosen_predecessor
                    )
                else:
                    connection.perform(predecessor.on(received_input, trio.current_time()))
        finally:
            self._connections -= 1
            channel.close()


class _PredecessorConnection:
    """The old process's connection to one new process."""

    def __init__(
        self, channel: Channel, predecessor: handshake.Predecessor, process: Process, lock: int | None
    ) -> None:
        self._channel, self._predecessor, self._process, self._lock = channel, predecessor, process, lock
        self._passed: list[SocketType] = []

    async def next_input(self) -> handshake.Input:
        """Waits for the next input, at most until the deadline of the handshake."""
        received_input, _ = await self._channel.next_input(self._predecessor.due)
        if (
            isinstance(received_input, handshake.DeadlineReached)
            and self._predecessor.state is handshake.PredecessorState.PAUSED
        ):
            # A Taken sent before the deadline counts, as the new process can't know that it was received
            # late.
            self._channel.stop_receiving()
            received_input, _ = self._channel.receive() or (received_input, [])
        return received_input

    def on_hello(self, hello: handshake.Hello, other_is_chosen: bool) -> None:
        """Answers a Hello; `other_is_chosen` is true if another process is taking over already."""
        addresses = {listener: format_address(listener.getsockname()) for listener in self._process.listeners}
        passed = [listener for listener, address in addresses.items() if address in hello.wants]
        offer = handshake.Offer(
            [addresses[listener] for listener in passed],
            [address for listener, address in addresses.items() if listener not in passed],
            self._lock is not None,
        )
        self._passed = passed
        self.perform(self._predecessor.on_hello(hello, offer, other_is_chosen))

    def perform(self, effects: Sequence[handshake.Effect]) -> None:
        """Performs the effects of the handshake."""
        for effect in effects:
            match effect:
                case handshake.Send(message):
                    self._send(message)
                case handshake.Pause():
                    self._process.pause(self._passed)
                case handshake.Resume():
                    self._process.accept()
                case handshake.Retire():
                    events.takeover_retired()
                    self._process.handed_over = True
                    self._process.release(set(self._passed).intersection(self._process.listeners))
                    self._process.stop()
                case handshake.Close(reason) if reason is not None:
                    events.takeover_failed(reason=reason)

    def _send(self, message: handshake.Message) -> None:
        lock = [] if self._lock is None else [self._lock]
        passed = [*(listener.fileno() for listener in self._passed), *lock]
        try:
            self._channel.send(message, passed if isinstance(message, handshake.Offer) else ())
        except OSError as error:
            send_failed = handshake.ChannelFailed(error.strerror or str(error))
            self.perform(self._predecessor.on(send_failed, trio.current_time()))
