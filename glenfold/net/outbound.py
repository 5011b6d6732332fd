"""One outbound call: a client's first line sent to one push server, and the line that comes back."""

import math
import socket
from collections.abc import Callable

import trio

from glenfold.clock import SECOND_US
from glenfold.config import Address
from glenfold.lines import LINE_END, LineBuffer, Malformed, OpenLine
from glenfold.net.sockets import KernelTimes, SocketType, kernel_times, send_pieces, without_delay
from glenfold.request import CallEnded, CallUp, ClientDisconnected, ClientSentEarly
from linnetspread.interface import Outcome

Unsent = CallEnded | ClientDisconnected | ClientSentEarly
LEAST_STALL_S = 0.01  # below it the kernel's figures, in milliseconds and ticks, say nothing


def stalled_s(before_write_s: float, kernel: KernelTimes) -> float:
    """For how long this process, and not the network or the server, kept a call waiting: before its line was
    written, and once the reply was there. A connection whose first segment was sent again was slow itself."""
    before = 0.0 if kernel.resent else before_write_s - kernel.round_trip_s
    return sum(part for part in (before, kernel.came_s) if part > LEAST_STALL_S)


class OutboundCall:
    """`last_look`: why the line must not be sent any more, if so. The client may have left, and the server be
    about to go, before this call begins; and again before its line, as a connection may be long in coming up,
    and the loop in telling it."""

    def __init__(
        self,
        address: Address,
        first: OpenLine,
        connect_by: float,
        deadline: float,
        last_look: Callable[[], Unsent | None],
    ) -> None:
        self.address = address
        self.first = first
        self.connect_by = min(connect_by, deadline)
        self.deadline = deadline
        self._last_look = last_look
        self.sock: SocketType | None = None
        self._scope = trio.CancelScope()
        self._begun_at = self._written_at = trio.current_time()

    def close(self) -> None:
        """Also ends `run`: nothing of this call is out any more once this returns."""
        self._scope.cancel()
        if self.sock is not None:
            self.sock.close()

    async def run(self) -> CallUp | Unsent:
        """Closed before it returns, unless it came up: the next call may begin right away."""
        ended: Unsent = CallEnded(Outcome.CANCELLED)
        with self._scope:
            result = await self._call()
            if isinstance(result, CallUp):
                return result
            ended = result
        if self.sock is not None:
            self.sock.close()
        return ended

    async def _call(self) -> CallUp | Unsent:
        if (unsent := self._last_look()) is not None:
            return unsent
        try:
            sock = self.sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            without_delay(sock)
            with trio.fail_at(self.connect_by):
                await sock.connect(self.address)
            if (unsent := self._last_look()) is not None:  # no turn of the loop before the first byte
                return unsent
            with trio.fail_at(self.deadline):
                left = self.deadline - trio.current_time()
                await send_pieces(sock, self.first.with_wait(math.ceil(left * 1000)))
            self._written_at = trio.current_time()
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
            count = await sock.recv_into(buffer.free_space())
            if not count:
                return CallEnded(Outcome.RESET)
            buffer.mark_filled(count)
        word, _, rest = bytes(buffer.data[: end - len(LINE_END)]).partition(b" ")
        if word == b"UP" and rest:
            stalled = stalled_s(self._written_at - self._begun_at, kernel_times(sock))
            return CallUp(bytes(buffer.data[: buffer.filled]), round(stalled * SECOND_US))
        if word == b"BUSY":
            return CallEnded(Outcome.FULL)
        return CallEnded(Outcome.CANCELLED if word == b"MOVE" else Outcome.ERROR)
