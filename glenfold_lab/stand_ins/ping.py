"""The front's health check of a relay: connects, sends PING and expects PONG."""

from enum import Enum, auto

import trio

from glenfold_lab.stand_ins.sockets import Address, send_all

ANSWER_TIMEOUT_S = 1.0


class PingResult(Enum):
    """The result of one health check."""

    ANSWERED = auto()
    REFUSED = auto()  # No process listens, or the relay is shutting down.
    TIMED_OUT = auto()  # No answer within `ANSWER_TIMEOUT_S`.


async def ping(address: Address) -> PingResult:
    """Checks the relay at `address` once."""
    with trio.move_on_at(trio.current_time() + ANSWER_TIMEOUT_S):
        try:
            with trio.socket.socket() as sock:
                await sock.connect(address)
                await send_all(sock, b"PING\r\n")
                return PingResult.ANSWERED if await sock.recv(64) == b"PONG\r\n" else PingResult.REFUSED
        except OSError:
            return PingResult.REFUSED
    return PingResult.TIMED_OUT
