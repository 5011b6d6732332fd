"""Whether a relay is there, as the front finds out: a connection, PING, and PONG."""

from enum import Enum, auto

import trio

from glenfold_lab.stand_ins.sockets import Address, take

WAIT_S = 1.0


class Ping(Enum):
    ANSWERED = auto()
    REFUSED = auto()  # nobody listens, or whoever did is going away
    NOTHING = auto()  # no answer within a second


async def ping(address: Address) -> Ping:
    with trio.move_on_at(trio.current_time() + WAIT_S):
        try:
            with trio.socket.socket() as sock:
                await sock.connect(address)
                await take(sock, b"PING\r\n")
                return Ping.ANSWERED if await sock.recv(64) == b"PONG\r\n" else Ping.REFUSED
        except OSError:
            return Ping.REFUSED
    return Ping.NOTHING
