"""The socket side of one client: feeds `ClientState` and carries out its effects."""

import errno
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Protocol

import trio

from glenfold.config import Address
from glenfold.lines import MAX_LINE_BYTES
from glenfold_lab.load.client import (
    LINE_TIMEOUT_US,
    Broken,
    ClientEvent,
    ClientState,
    Close,
    Connected,
    Due,
    Effect,
    Input,
    Phase,
    Received,
    ReceivedEof,
    Send,
    SendEof,
    Unreachable,
)

SEND_TIMEOUT_S = LINE_TIMEOUT_US / 1e6  # A send is given up when the server reads nothing for this long.
NO_SOCKET_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)

Stream = trio.abc.HalfCloseableStream
Connect = Callable[[], Awaitable[Stream]]
Tell = Callable[[ClientEvent], None]


class Clock(Protocol):
    """The clock of the clients, such as `stand_ins.machine_clock.MachineClock`.

    At the trio time that `to_trio` returns for `at_us`, `now_us` must return `at_us` or later; otherwise a
    client would wake up too early and sleep again.
    """

    def now_us(self) -> int: ...

    def to_trio(self, at_us: int) -> float: ...


async def connect_to(address: Address) -> Stream:
    """Opens a TCP connection to `address`. Raises OSError."""
    sock = trio.socket.socket()
    try:
        await sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


async def run_connection(state: ClientState, connect: Connect, on_event: Tell, clock: Clock) -> None:
    """Runs one client from connecting to the end; no behaviour of the server affects other clients.

    Raises OSError, before any event is reported, if this machine has no socket or port left for the
    connection.
    """
    stream = await _connect_or_none(connect, clock.to_trio(state.due_us))
    if stream is None:
        for effect in state.on(Unreachable(), clock.now_us()):
            if isinstance(effect, ClientEvent):
                on_event(effect)
        return
    event_input: Input = Connected()
    try:
        while True:
            for effect in state.on(event_input, clock.now_us()):
                await _carry_out(effect, stream, on_event)
            if state.phase is Phase.ENDED:
                return
            event_input = await _next_input(stream, clock.to_trio(state.due_us))
    finally:
        await trio.aclose_forcefully(stream)


async def _connect_or_none(connect: Connect, deadline: float) -> Stream | None:
    with trio.move_on_at(deadline):
        try:
            return await connect()
        except OSError as error:
            if error.errno in NO_SOCKET_ERRNOS:
                raise
    return None


async def _carry_out(effect: Effect, stream: Stream, on_event: Tell) -> None:
    match effect:
        case Send(data):
            with trio.move_on_at(trio.current_time() + SEND_TIMEOUT_S):
                await _unless_broken(stream.send_all(data))
        case SendEof():
            await _unless_broken(stream.send_eof())
        case Close():
            pass  # `run_connection` closes the stream once the phase is ENDED.
        case _:
            on_event(effect)


async def _unless_broken(sending: Awaitable[None]) -> None:
    """Ignores a failed send: the connection has ended, and the next read reports how."""
    with suppress(trio.BrokenResourceError):
        await sending


async def _next_input(stream: Stream, deadline: float) -> Input:
    with trio.move_on_at(deadline):
        try:
            data = await stream.receive_some(MAX_LINE_BYTES)
        except trio.BrokenResourceError:
            return Broken()
        return Received(bytes(data)) if data else ReceivedEof()
    return Due()
