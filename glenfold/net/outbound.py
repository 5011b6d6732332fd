"""One outbound call: a client's first line sent to one push server, and the line that comes back."""

import math
import socket

import trio

from glenfold.config import Address
from glenfold.lines import END, LineBuffer, Malformed, OpenLine
from glenfold.net.sockets import SocketType, send_pieces, without_delay
from glenfold.request import CallEnded, CallUp
from linnetspread.interface import Outcome


class OutboundCall:
    def __init__(self, address: Address, first: OpenLine, connect_by: float, deadline: float) -> None:
        self.address = address
        self.first = first
        self.connect_by = min(connect_by, deadline)
        self.deadline = deadline
        self.sock: SocketType | None = None
        self._scope = trio.CancelScope()

    def close(self) -> None:
        """Also ends `run`: nothing of this call is out any more once this returns."""
        self._scope.cancel()
        if self.sock is not None:
            self.sock.close()

    async def run(self) -> CallUp | CallEnded:
        """Closed before it returns, unless it came up: the next call may begin right away."""
        ended = CallEnded(Outcome.CANCELLED)
        with self._scope:
            result = await self._call()
            if isinstance(result, CallUp):
                return result
            ended = result
        if self.sock is not None:
            self.sock.close()
        return ended

    async def _call(self) -> CallUp | CallEnded:
        try:
            sock = self.sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            without_delay(sock)
            with trio.fail_at(self.connect_by):
                await sock.connect(self.address)
            with trio.fail_at(self.deadline):
                left = self.deadline - trio.current_time()
                await send_pieces(sock, self.first.with_wait(math.ceil(left * 1000)))
        except (OSError, trio.TooSlowError):
            # Until the line's last byte is written it has not run; from then on it may have.
            return CallEnded(Outcome.CONNECT_FAILED)
        try:
            with trio.fail_at(self.deadline):
                return await self._reply(sock)
        except OSError:
            return CallEnded(Outcome.RESET)
        except trio.TooSlowError:
            return CallEnded(Outcome.TIMEOUT)
        except Malformed:
            return CallEnded(Outcome.ERROR)

    async def _reply(self, sock: SocketType) -> CallUp | CallEnded:
        buffer = LineBuffer()
        while (end := buffer.line_end()) is None:
            count = await sock.recv_into(buffer.room())
            if not count:
                return CallEnded(Outcome.RESET)
            buffer.wrote(count)
        word, _, rest = bytes(buffer.data[:end - len(END)]).partition(b" ")
        if word == b"UP" and rest:
            return CallUp(bytes(buffer.data[:buffer.filled]))
        if word == b"BUSY":
            return CallEnded(Outcome.FULL)
        return CallEnded(Outcome.CANCELLED if word == b"MOVE" else Outcome.ERROR)
