"""The socket side of one client: carries out what its states say."""

from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

from glenfold.config import Address
from glenfold.lines import MAX_LINE
from glenfold_lab.load import client as c

SECOND_US = 1_000_000

Stream = trio.abc.HalfCloseableStream
Connect = Callable[[], Awaitable[Stream]]
Tell = Callable[[c.News], None]


def now_us() -> int:
    """Trio's clock, in which all moments of clients count."""
    return round(trio.current_time() * SECOND_US)


async def connect_to(address: Address) -> Stream:
    sock = trio.socket.socket()
    try:
        await sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


async def talk(state: c.ClientState, connect: Connect, tell: Tell) -> None:
    """From the connecting to the end; whatever the other side does, only this client's end comes of it."""
    stream = await _connected(state, connect)
    if stream is None:
        for effect in state.on(c.Unreachable(), now_us()):
            if isinstance(effect, c.News):
                tell(effect)
        return
    incident: c.Incident = c.Connected()
    try:
        while True:
            for effect in state.on(incident, now_us()):
                await _carry_out(effect, stream, tell)
            if state.phase is c.Phase.ENDED:
                return
            incident = await _next(stream, state.due_us)
    finally:
        await trio.aclose_forcefully(stream)


async def _connected(state: c.ClientState, connect: Connect) -> Stream | None:
    with trio.move_on_at(state.due_us / SECOND_US), suppress(OSError):
        return await connect()
    return None


async def _carry_out(effect: c.Effect, stream: Stream, tell: Tell) -> None:
    match effect:
        case c.Send(data):
            with trio.move_on_at(trio.current_time() + c.SILENT_US / SECOND_US):
                await _unless_broken(stream.send_all(data))
        case c.Finish():
            await _unless_broken(stream.send_eof())
        case c.Close():
            pass  # done by the stream's owner, as the states have ended
        case _:
            tell(effect)


async def _unless_broken(sending: Awaitable[None]) -> None:
    """A side that can't be sent to has ended; that is heard where it is read from."""
    with suppress(trio.BrokenResourceError):
        await sending


async def _next(stream: Stream, due_us: int) -> c.Incident:
    with trio.move_on_at(due_us / SECOND_US):
        try:
            data = await stream.receive_some(MAX_LINE)
        except trio.BrokenResourceError:
            return c.Broken()
        return c.Heard(bytes(data)) if data else c.Finished()
    return c.Due()
