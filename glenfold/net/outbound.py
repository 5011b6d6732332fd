"""An outbound call: sends a client's first line to one push server and reads the first line of its reply."""

import math
import socket
from collections.abc import Callable
from dataclasses import dataclass

import trio

from glenfold.clock import SECOND_US
from glenfold.config import Address
from glenfold.lines import LINE_END, LineBuffer, Malformed, OpenLine
from glenfold.net.sockets import KernelTimes, SocketType, kernel_times, send_pieces, without_delay
from glenfold.request import CallEnded, CallUp, ClientDisconnected, ClientSentEarly
from linnetspread.interface import Outcome

CallFailure = CallEnded | ClientDisconnected | ClientSentEarly  # Every result of a call other than CallUp.
MIN_STALL_S = 0.01  # The kernel's figures, in milliseconds and ticks, are too coarse below this.


def compute_stall_s(before_write_s: float, kernel: KernelTimes) -> float:
    """Returns for how many seconds this process, and not the network or the server, delayed a call.

    The delays counted are those before the line was written and those between the arrival of the reply and
    its reading. If the first segment was retransmitted, the network caused the first of them, which is then
    not counted. `before_write_s` is the time from the start of the call to the write of its line.
    """
    before = 0.0 if kernel.resent_segments else before_write_s - kernel.round_trip_s
    return sum(part for part in (before, kernel.since_received_s) if part > MIN_STALL_S)


@dataclass(frozen=True, slots=True)
class CallLimits:
    """The latest times, in seconds of trio's clock, of the steps of a call.

    `connect_by` is for the connection, `send_by` for the last byte of the line and `answer_by` for the reply.
    """

    connect_by: float
    send_by: float
    answer_by: float


class OutboundCall:
    """One attempt to connect a client to the push server at `address`.

    `check_before_send` returns why the line must not be sent any more, or None. It runs before the call
    begins and again before the line is written: the client may have left, or the server may be about to
    leave, and the connection or the event loop may take long in between. For the same reason the limit for
    sending is checked then, and not only where the attempt was decided on.
    """

    def __init__(
        self,
        address: Address,
        first: OpenLine,
        limits: CallLimits,
        check_before_send: Callable[[], CallFailure | None],
    ) -> None:
        self.address = address
        self.first = first
        self.limits = limits
        self._check_before_send = check_before_send
        self.sock: SocketType | None = None
        self._scope = trio.CancelScope()
        self._started_at = self._written_at = trio.current_time()

    def close(self) -> None:
        """Ends `run` and closes the socket at once."""
        self._scope.cancel()
        if self.sock is not None:
            self.sock.close()

    async def run(self) -> CallUp | CallFailure:
        """Makes the call and returns its result.

        Unless the call came up, its socket is closed on return, so that the next call may begin at once.
        """
        failure: CallFailure = CallEnded(Outcome.CANCELLED)
        with self._scope:
            result = await self._call()
            if isinstance(result, CallUp):
                return result
            failure = result
        if self.sock is not None:
            self.sock.close()
        return failure

    async def _call(self) -> CallUp | CallFailure:
        if (failure := self._failure_before_send()) is not None:
            return failure
        limits = self.limits
        try:
            sock = self.sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            without_delay(sock)
            with trio.fail_at(min(limits.connect_by, limits.send_by, limits.answer_by)):
                await sock.connect(self.address)
            # There is no checkpoint between this check and the first byte.
            if (failure := self._failure_before_send()) is not None:
                return failure
            with trio.fail_at(min(limits.send_by, limits.answer_by)):
                remaining_s = limits.answer_by - trio.current_time()
                await send_pieces(sock, self.first.with_wait(math.ceil(remaining_s * 1000)))
            self._written_at = trio.current_time()
        except (OSError, trio.TooSlowError):
            # A server runs a request only after the last byte of its line, so this one has not run.
            return self._too_late_to_send() or CallEnded(Outcome.CONNECT_FAILED)
        try:
            with trio.fail_at(limits.answer_by):
                return await self._reply(sock)
        except OSError:
            return CallEnded(Outcome.RESET)
        except trio.TooSlowError:
            return CallEnded(Outcome.TIMEOUT)
        except Malformed:
            return CallEnded(Outcome.ERROR)

    def _failure_before_send(self) -> CallFailure | None:
        return self._check_before_send() or self._too_late_to_send()

    def _too_late_to_send(self) -> CallEnded | None:
        """Returns the end of a call whose limit for sending has passed; the server is not to blame for it."""
        return CallEnded(Outcome.MOOT) if trio.current_time() >= self.limits.send_by else None

    async def _reply(self, sock: SocketType) -> CallUp | CallEnded:
        buffer = LineBuffer()
        while (end := buffer.line_end()) is None:
            count = await sock.recv_into(buffer.free_space())
            if not count:
                return CallEnded(Outcome.RESET)
            buffer.mark_filled(count)
        word, _, rest = bytes(buffer.data[: end - len(LINE_END)]).partition(b" ")
        if word == b"UP" and rest:
            stalled = compute_stall_s(self._written_at - self._started_at, kernel_times(sock))
            return CallUp(bytes(buffer.data[: buffer.filled]), round(stalled * SECOND_US))
        if word == b"BUSY":
            return CallEnded(Outcome.FULL)
        return CallEnded(Outcome.CANCELLED if word == b"MOVE" else Outcome.ERROR)
