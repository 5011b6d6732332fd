"""Zero-downtime restart, the socket side: the old process's private socket, and a new one that asks there.

Listening sockets are passed, never opened twice: the kernel keeps one queue of clients for both processes,
so none is refused or reset while they change places. The states are in `handshake`.
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
from glenfold.config.platform import Address, format_address
from glenfold.daemon import handshake, private_socket
from glenfold.daemon.life import State
from glenfold.daemon.listeners import BadListener, check, resolved, sort_out, where
from glenfold.daemon.process import Process
from glenfold.net.sockets import SocketType

READY_S = 30.0  # for a new process to be ready
MOST_ASKING = 4  # connections at once; more are closed unheard
AGAIN_S = 0.1  # when there is no descriptor for another connection, or no room in its queue
MOST_BYTES = 1 << 16  # of one message
INT = struct.calcsize("i")
ENCODER = msgspec.json.Encoder()
DECODER: msgspec.json.Decoder[handshake.Message] = msgspec.json.Decoder(handshake.Message)


class Refused(Exception):
    """The old process serves on, and there is no place for this one."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where an instance of that name is asked. ready_s: how long it waits for a new process to be ready."""

    folder: Path
    instance: str
    ready_s: float = READY_S

    @property
    def path(self) -> Path:
        return self.folder / f"{self.instance}.takeover"


class Channel:
    """Whole messages over a SOCK_SEQPACKET socket; only `incident` waits."""

    def __init__(self, sock: socket.socket, most_descriptors: int = 0) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._room = socket.CMSG_SPACE(most_descriptors * INT) if most_descriptors else 0
        self._deaf = False

    def say(self, message: handshake.Message, descriptors: Sequence[int] = ()) -> None:
        """Once it returns the message lies with the other side. Raises OSError."""
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, struct.pack(f"{len(descriptors)}i", *descriptors))]
        self._sock.sendmsg([ENCODER.encode(message)], rights if descriptors else [], socket.MSG_NOSIGNAL)

    def deafen(self) -> None:
        """Whatever the other side says from now on fails there; what it has said can still be heard."""
        self._deaf = True
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)

    def hear(self) -> tuple[handshake.Incident, list[int]] | None:
        """The next message with its descriptors, which are whoever's calls to close; None: nothing yet."""
        try:
            data, rights, flags, _ = self._receive()
        except BlockingIOError:
            return None
        except OSError as error:
            return handshake.Unsaid(error.strerror or str(error)), []
        descriptors = [
            descriptor
            for _, kind, held in rights
            if kind == socket.SCM_RIGHTS
            for descriptor in struct.unpack(f"{len(held) // INT}i", held[: len(held) // INT * INT])
        ]
        if not data:
            return None if self._deaf else (handshake.Gone(), [])
        try:
            if flags & socket.MSG_CTRUNC and self._room:
                raise msgspec.DecodeError("too few descriptors are left to take what is passed")
            if flags & socket.MSG_TRUNC:
                raise msgspec.DecodeError("a message is too long")
            return DECODER.decode(data), descriptors
        except (msgspec.DecodeError, RecursionError) as error:
            close_all(descriptors)
            return handshake.Unsaid(str(error)), []

    def _receive(self) -> tuple[bytes, list[tuple[int, int, bytes]], int, object]:
        flags = socket.MSG_DONTWAIT | socket.MSG_CMSG_CLOEXEC
        try:
            return self._sock.recvmsg(MOST_BYTES, self._room, flags)
        except ConnectionResetError:  # told once, when it closed on something unread; its words come behind
            return self._sock.recvmsg(MOST_BYTES, self._room, flags)

    async def incident(self, due: float) -> tuple[handshake.Incident, list[int]]:
        while (heard := self.hear()) is None:
            if trio.current_time() >= due:
                return handshake.Due(), []
            try:
                with trio.move_on_at(due):
                    await trio.lowlevel.wait_readable(self._sock)
            except trio.ClosedResourceError:  # this side has ended it meanwhile
                return handshake.Gone(), []
        return heard

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()


def close_all(descriptors: Sequence[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


# ---- the new process ---------------------------------------------------------------------------


async def begin(
    place: Place | None, addresses: Sequence[Address], passed: Sequence[socket.socket], by: float
) -> "tuple[list[socket.socket], TakeOver | None]":
    """The listeners of a process that starts: from the old one of its name at `place`, or else those `passed`
    by its service manager, and opened where both lack one. Raises Refused and BadListener."""
    wants = await resolved(addresses)
    taken = None if place is None else await ask(place, wants, by, passed)
    return (sort_out(passed, wants).all, None) if taken is None else (taken.listeners, taken)


async def ask(
    place: Place, wants: Sequence[str], by: float, passed: Sequence[socket.socket] = ()
) -> "TakeOver | None":
    """What the process of that name passes on; None if there is none, or it died before it did. `wants`: the
    addresses to listen at, as getsockname tells them; `by`: when this process has to be ready; `passed`: what
    it has already. Raises Refused."""
    sock = await _connect(place.path, by)
    if sock is None:
        return None
    if not private_socket.peer(sock).is_own_user:
        sock.close()
        raise Refused(f"{place.path} is another user's")
    asking = TakeOver(Channel(sock, handshake.MOST_LISTENERS + 1), place, wants, by, passed)
    try:
        return asking if await asking.offered() else None
    except BaseException:
        asking.close()
        raise


async def _connect(path: Path, by: float) -> socket.socket | None:
    while True:
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        except OSError as error:
            raise Refused(f"no socket to ask with: {error.strerror or error}") from error
        try:
            sock.setblocking(False)
            sock.connect(str(path))
            return sock
        except (FileNotFoundError, ConnectionRefusedError):
            sock.close()
            return None
        except BlockingIOError:  # many ask at once
            sock.close()
            if trio.current_time() >= by:
                raise Refused("no answer") from None
            await trio.sleep(AGAIN_S)
        except OSError as error:
            sock.close()
            raise Refused(f"{path}: {error.strerror or error}") from error


class TakeOver:
    """The new process's side: `listeners` and `lock` (the descriptor of the name's lock, if one was passed)
    are there from the offer on; a Process has to be made with them and `held`, with a `Keeper` beside it.
    `refused`: why the old one serves on."""

    def __init__(
        self,
        channel: Channel,
        place: Place,
        wants: Sequence[str],
        by: float,
        had: Sequence[socket.socket] = (),
    ) -> None:
        self.listeners: list[socket.socket] = []
        self.lock: int | None = None
        self.refused: str | None = None
        self._channel = channel
        self._wants = list(wants)
        self._had = had
        self._passed: set[int] = set()  # of `listeners`, the descriptors of those that others have too
        hello = handshake.Hello(handshake.FORMAT, place.instance, self._wants)
        self._taker = handshake.Taker(hello, by, min(by, trio.current_time() + handshake.GREET_S))
        self._process: Process | None = None

    async def offered(self) -> bool:
        self._perform(self._taker.begin())
        while self._taker.state is handshake.Taking.ASKING:
            incident, descriptors = await self._channel.incident(self._taker.due)
            if isinstance(incident, handshake.Offer):
                incident = self._adopt(incident, descriptors)
            else:
                close_all(descriptors)
            self._perform(self._taker.on(incident))
        if self.refused is not None:
            raise Refused(self.refused)
        return self._taker.state is not handshake.Taking.OVER

    def _adopt(self, offer: handshake.Offer, descriptors: list[int]) -> handshake.Incident:
        """The sockets are this process's from here on, or all closed."""
        if len(descriptors) != len(offer.listeners) + offer.lock:
            close_all(descriptors)
            return handshake.Unsaid("an offer came with other descriptors than it names")
        self.lock = descriptors.pop() if offer.lock else None
        self.listeners = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        try:
            for sock in self.listeners:
                check(sock)
            found = sort_out([*self.listeners, *self._had], self._wants)
        except BadListener as error:
            return handshake.Unsaid(str(error))
        self.listeners = found.all
        self._passed = {sock.fileno() for sock in found.kept}
        events.takeover_offered(passed=where(found.kept), opened=where(found.opened), closed=offer.others)
        return offer

    async def complete(self, process: Process) -> bool:
        """Until the name is this process's; False: it isn't, and the process has been told to stop."""
        self._process = process
        process.life.watches.append(self._life)
        self._life(process.life.state, process.life.state)  # it may be ready, or told to stop, already
        while not self._taker.over:
            incident, descriptors = await self._channel.incident(self._taker.due)
            close_all(descriptors)
            self._perform(self._taker.on(incident))
        process.life.watches.remove(self._life)
        return self._taker.state is handshake.Taking.OWNER

    def _life(self, before: State, now: State) -> None:
        if now is State.READY:
            self._perform(self._taker.on(handshake.Prepared()))
        elif now in (State.DRAINING, State.FINISHING):
            self._perform(self._taker.on(handshake.Stopping()))

    def _perform(self, effects: Sequence[handshake.Effect]) -> None:
        for effect in effects:
            match effect:
                case handshake.Say(message):
                    self._say(message)
                case handshake.Accept():
                    assert self._process is not None
                    self._process.accept()
                case handshake.Own():
                    events.takeover_done()
                case handshake.GiveUp(reason):
                    self._give_up(reason)
                case handshake.Close():
                    self._channel.close()

    def _say(self, message: handshake.Message) -> None:
        try:
            self._channel.say(message)
        except OSError as error:
            self._perform(self._taker.on(handshake.Unsaid(error.strerror or str(error))))
        else:
            self._perform(self._taker.on(handshake.Said()))

    def _give_up(self, reason: str) -> None:
        self.refused = reason
        events.takeover_refused(reason=reason)
        if self._process is not None:
            listeners = self._process.listeners
            self._process.release([one for one in listeners if one.fileno() in self._passed])
            self._process.stop()
        self.close()

    def close(self) -> None:
        """What was passed on and is in no Process's hands yet; the old one has its own descriptors."""
        self._channel.close()
        if self._process is None:
            for sock in self.listeners:
                sock.close()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None


# ---- the old process ---------------------------------------------------------------------------


class Keeper:
    """A companion: ends the take-over that this process began with, if it did, and then lets the next one
    take over from it. `lock`: the descriptor of the name's lock, which is passed on too. It is only ever to
    be closed, as to unlock it would unlock it for both. The socket's file stays: one that nobody listens at
    does no harm, and to remove it could hit the next process's."""

    def __init__(self, place: Place, lock: int | None = None, taken: TakeOver | None = None) -> None:
        self.place = place
        self.lock = lock if taken is None else taken.lock
        self._taken = taken
        self.serving = False  # whether the name is this process's, and the next one may ask
        self._chosen: handshake.Giver | None = None
        self._asking = 0

    async def __call__(self, process: Process) -> None:
        if self._taken is not None and not await self._taken.complete(process):
            return
        try:
            listener = private_socket.listen(self.place.path, socket.SOCK_SEQPACKET, MOST_ASKING)
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
                await trio.sleep(AGAIN_S)
                continue
            plain = socket.socket(fileno=sock.detach())
            if self._asking >= MOST_ASKING or not private_socket.peer(plain).is_own_user:
                events.takeover_stranger()
                plain.close()
                continue
            self._asking += 1
            nursery.start_soon(self._give, Channel(plain), process)

    async def _give(self, channel: Channel, process: Process) -> None:
        now = trio.current_time()
        giver = handshake.Giver(self.place.instance, now + self.place.ready_s, now + handshake.GREET_S)
        giving = _Giving(channel, giver, process, self.lock)
        try:
            while not giver.over:
                incident = await giving.incident()
                if isinstance(incident, handshake.Hello):
                    giving.greet(incident, self._chosen is not None and self._chosen.chosen)
                    self._chosen = giver if giver.chosen else self._chosen
                else:
                    giving.perform(giver.on(incident, trio.current_time()))
        finally:
            self._asking -= 1
            channel.close()


class _Giving:
    """One connection to a new process."""

    def __init__(self, channel: Channel, giver: handshake.Giver, process: Process, lock: int | None) -> None:
        self._channel, self._giver, self._process, self._lock = channel, giver, process, lock
        self._passed: list[SocketType] = []

    async def incident(self) -> handshake.Incident:
        incident, _ = await self._channel.incident(self._giver.due)
        if isinstance(incident, handshake.Due) and self._giver.state is handshake.Giving.HANDING:
            # Taken counts if it was said before this: the new one would not know that it came too late.
            self._channel.deafen()
            incident, _ = self._channel.hear() or (incident, [])
        return incident

    def greet(self, hello: handshake.Hello, taken: bool) -> None:
        places = {listener: format_address(listener.getsockname()) for listener in self._process.listeners}
        passed = [listener for listener, where in places.items() if where in hello.wants]
        offer = handshake.Offer(
            [places[listener] for listener in passed],
            [where for listener, where in places.items() if listener not in passed],
            self._lock is not None,
        )
        self._passed = passed
        self.perform(self._giver.greet(hello, offer, taken))

    def perform(self, effects: Sequence[handshake.Effect]) -> None:
        for effect in effects:
            match effect:
                case handshake.Say(message):
                    self._say(message)
                case handshake.Pause():
                    self._process.pause(self._passed)
                case handshake.Resume():
                    self._process.accept()
                case handshake.Retire():
                    events.takeover_retired()
                    self._process.handed_on = True
                    self._process.release(set(self._passed).intersection(self._process.listeners))
                    self._process.stop()
                case handshake.Close(reason) if reason is not None:
                    events.takeover_failed(reason=reason)

    def _say(self, message: handshake.Message) -> None:
        lock = [] if self._lock is None else [self._lock]
        passed = [*(listener.fileno() for listener in self._passed), *lock]
        try:
            self._channel.say(message, passed if isinstance(message, handshake.Offer) else ())
        except OSError as error:
            unsaid = handshake.Unsaid(error.strerror or str(error))
            self.perform(self._giver.on(unsaid, trio.current_time()))
