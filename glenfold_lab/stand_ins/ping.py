"""Whether a relay is there, as the front finds out: a connection, PING, and PONG."""

from enum import Enum, auto

import trio

from glenfold_lab.stand_ins.sockets import Address, send_all

ANSWER_TIMEOUT_S = 1.0


class PingResult(Enum):
    ANSWERED = auto()
    REFUSED = auto()  # nobody listens, or whoever did is going away
    TIMED_OUT = auto()  # no answer within a second


async def ping(address: Address) -> PingResult:
    with trio.move_on_at(trio.current_time() + ANSWER_TIMEOUT_S):
        try:
            with trio.socket.socket() as sock:
                await sock.connect(address)
                await send_all(sock, b"PING\r\n")
                return PingResult.ANSWERED if await sock.recv(64) == b"PONG\r\n" else PingResult.REFUSED
        except OSError:
            return PingResult.REFUSED
    return PingResult.TIMED_OUT
