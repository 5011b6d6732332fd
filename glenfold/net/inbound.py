"""The client side: accepts connections, reads first lines, and starts the exchange of each request."""

import errno
import os
from contextlib import suppress

import trio

from glenfold import events, lines
from glenfold.clock import SECOND_US
from glenfold.config import ConnectionLimits
from glenfold.net.exchange import Exchange, Relay
from glenfold.net.sockets import SocketType, accept_now, receive_now, send, send_fin, without_delay
from linnetspread import interface

LISTEN_BACKLOG = 1024
# Clients accepted in one turn of the event loop, which may be long where many connections are busy.
MAX_ACCEPTS_PER_TURN = 16
# From the accept to a complete first line, PING included. Clients are promised 3 s.
FIRST_LINE_TIMEOUT_S = 2.0
CLOSING_TIMEOUT_S = 0.3  # Time for a client to take an answer before its connection closes.
MAX_CLOSING_BYTES = 1 << 16  # Read from the client in that time; limits the cost of a client that floods.
OUT_OF_SOCKETS_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Inbound:
    """Accepts clients, reads their first lines within the room of the relay, and runs their exchanges."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._names = relay.config.names
        self._counters = relay.counters
        self._max_wait_ms = max(
            lines.MAX_WAIT_MS, *(kind.deadline_us // 1000 for kind in relay.config.settings.classes)
        )
        # Clients without a complete first line, oldest first.
        self._waiting: dict[SocketType, trio.CancelScope] = {}
        self._taken = 0  # clients with a complete first line; each takes two sockets
        self._refusing = 0
        self._spare_descriptor: int | None = os.open(os.devnull, os.O_RDONLY)
        self.last_arrival = float("-inf")

    @property
    def _limits(self) -> ConnectionLimits:
        """The current limits, which SIGHUP may change."""
        return self._relay.config.connection_limits

    async def serve(self, listener: SocketType, nursery: trio.Nursery) -> None:
        """Accepts clients until cancelled or the listener is closed; each runs as a task in `nursery`."""
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                if error.errno in OUT_OF_SOCKETS_ERRNOS:
                    await self._refuse_without_socket(listener)
                elif error.errno == errno.EBADF:
                    raise
                continue
            self._take_in(sock, nursery)
            self._accept_queued(listener, nursery)

    def _accept_queued(self, listener: SocketType, nursery: trio.Nursery) -> None:
        """Accepts further clients in the same turn, as long as no other has to make room for them."""
        with suppress(OSError):  # the next turn meets it again
            for _ in range(MAX_ACCEPTS_PER_TURN - 1):
                if self._relay.awaiting_first_line >= self._limits.max_awaiting_first_line:
                    return
                if (sock := accept_now(listener)) is None:
                    return
                self._take_in(sock, nursery)

    def _take_in(self, sock: SocketType, nursery: trio.Nursery) -> None:
        """Starts the task of a client that was accepted."""
        self.last_arrival = trio.current_time()
        self._counters.accepted += 1
        self._make_room()
        line_by = min(self.last_arrival + FIRST_LINE_TIMEOUT_S, self._relay.answers_end)
        scope = self._waiting[sock] = trio.CancelScope(deadline=line_by)
        self._relay.awaiting_first_line += 1
        nursery.start_soon(self._connection, sock, scope)

    def _make_room(self) -> None:
        """Cancels the oldest client without a first line when too many wait.

        Clients that connect in large numbers and send nothing displace only each other: the first line of a
        normal client has arrived by the time the client is accepted.
        """
        if len(self._waiting) >= self._limits.max_awaiting_first_line:
            self._waiting.pop(next(iter(self._waiting))).cancel()
            self._counters.crowded_out += 1

    async def _refuse_without_socket(self, listener: SocketType) -> None:
        """Answers BUSY to one client when no descriptor is left.

        Without a descriptor `accept` fails again and again. Closing a spare descriptor makes room to accept
        one client and refuse it.
        """
        if self._spare_descriptor is not None:
            os.close(self._spare_descriptor)
            self._spare_descriptor = None  # its number may be reused before a new spare is opened
        # Shielded: a pause of the listener must neither cut off this client nor lose the spare descriptor.
        with trio.move_on_at(trio.current_time() + CLOSING_TIMEOUT_S, shield=True):
            try:
                sock, _ = await listener.accept()
                self._counters.fail_fast += 1
                with sock:
                    await send(sock, self._busy())
            except (OSError, trio.ClosedResourceError):
                pass
        try:
            self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)
        except OSError as error:
            events.sockets_exhausted(error=error)
            await trio.sleep_until(trio.current_time() + CLOSING_TIMEOUT_S)

    def _busy(self) -> bytes:
        settings = self._relay.config.settings
        return lines.busy_line(settings.max_retry_after_us if settings.may_retry_after else 0)

    async def _connection(self, sock: SocketType, scope: trio.CancelScope) -> None:
        """Handles one connection to its end; an error ends only this connection and is logged."""
        try:
            try:
                without_delay(sock)
                exchange = await self._read_request(sock, scope)
            finally:
                self._relay.awaiting_first_line -= 1
            if exchange is not None:
                await self._run_exchange(exchange)
        except OSError as error:
            events.client_broke(error=error)
        except Exception as error:
            self._counters.faults += 1
            events.connection_failed(error=error)
        finally:
            self._waiting.pop(sock, None)
            sock.close()

    async def _read_request(self, sock: SocketType, scope: trio.CancelScope) -> Exchange | None:
        """Reads the first line; returns None if the client disconnected or was refused."""
        buffer = lines.LineBuffer()
        end = None
        try:
            with scope:
                end = await self._first_line(sock, buffer)
            self._waiting.pop(sock, None)
            if scope.cancelled_caught:  # the line may have arrived as the wait was cancelled
                buffer.mark_filled(receive_now(sock, buffer.free_space()))
                end = buffer.line_end()
            if end is None:
                if scope.cancelled_caught:
                    self._counters.silent_clients += 1
                    await self._send_answer(sock, lines.FAILED)
                return None
            exchange = self._make_exchange(sock, buffer, end)
        except lines.Malformed as error:
            self._waiting.pop(sock, None)
            self._counters.malformed += 1
            events.client_malformed(count=self._counters.malformed, error=error)
            more = buffer.filled > (end or 0)
            await self._refuse(sock, lines.FAILED, more)
            return None
        if self._taken >= self._limits.max_accepted:
            self._counters.fail_fast += 1
            await self._refuse(sock, self._busy(), False)
            return None
        return exchange

    async def _run_exchange(self, exchange: Exchange) -> None:
        self._taken += 1
        try:
            await exchange.run()
        finally:
            self._taken -= 1

    async def _refuse(self, sock: SocketType, answer: bytes, more: bool) -> None:
        """Sends the refusal `answer`; if the client has sent `more` data, also reads some of it.

        Closing a socket with unread data resets the connection, which may discard the answer. The time and
        the bytes read are limited, so that a client that floods can't hold the connection.
        """
        await self._send_answer(sock, answer)
        if not more or self._refusing >= self._limits.max_refusing:
            return
        self._refusing += 1
        try:
            send_fin(sock)
            remaining = MAX_CLOSING_BYTES
            with trio.move_on_at(trio.current_time() + CLOSING_TIMEOUT_S):
                while remaining > 0 and (data := await sock.recv(remaining)):
                    remaining -= len(data)
        finally:
            self._refusing -= 1

    async def _send_answer(self, sock: SocketType, answer: bytes) -> None:
        """Sends `answer` with a time limit, as a client that reads nothing must not hold its descriptor."""
        with trio.move_on_at(trio.current_time() + CLOSING_TIMEOUT_S):
            await send(sock, answer)

    async def _first_line(self, sock: SocketType, buffer: lines.LineBuffer) -> int | None:
        """Returns the end of the first line in the buffer, or None if the client closed without sending data.

        Answers PING lines on the way.
        """
        while True:
            while (end := buffer.line_end()) is None:
                count = await sock.recv_into(buffer.free_space())
                if not count and buffer.filled:
                    raise lines.Malformed("the connection ended before the first line was complete")
                if not count:
                    return None
                buffer.mark_filled(count)
            if buffer.data[:end] != lines.PING + lines.LINE_END:
                return end
            buffer.discard(end)
            self._counters.pings += 1
            await self._relay.ready.wait()
            await send(sock, lines.PONG)

    def _make_exchange(self, sock: SocketType, buffer: lines.LineBuffer, end: int) -> Exchange:
        first = lines.parse_open(buffer.data, end, self._max_wait_ms)
        exchange = Exchange(
            self._relay,
            sock,
            first,
            self._request(first),
            buffer.bytes_after(end),
            self._existing_server_of(first),
        )
        if exchange.is_continuation:
            # Its client may send early, and its id may still be in use by its former connection.
            return exchange
        if buffer.filled > end:
            raise lines.Malformed("the client sent data before its request was answered")
        if first.id in self._relay.ids:
            raise lines.Malformed("the id belongs to another open request")
        return exchange

    def _request(self, first: lines.OpenLine) -> interface.Request:
        request_class = self._names.classes.get(first.text(b"c"))
        if request_class is None:
            raise lines.Malformed("the class of the first line is unknown")
        semantics = self._relay.config.settings.classes[request_class].semantics
        is_repeatable = semantics is interface.Semantics.REPEATABLE
        return interface.Request(
            request=self._relay.decisions.new_request(),
            expires_in_us=self._expires_in_us(first),
            key=first.key,
            group=first.number(b"g", 16),
            request_class=request_class,
            tenant=self._names.tenants.get(first.text(b"t"), 0),
            load_us=first.load(),
            client_retry=first.flag(b"r"),
            mid_flow=first.flag(b"mid"),
            returning=first.flag(b"again"),
            identity=0 if is_repeatable else first.identity(),
        )

    def _expires_in_us(self, first: lines.OpenLine) -> int:
        """Returns the client's time limit in microseconds, capped at the time that a stopping relay has."""
        left_s = max(0.0, self._relay.answers_end - trio.current_time())
        return int(min(first.wait_ms * 1000, left_s * SECOND_US))

    def _existing_server_of(self, first: lines.OpenLine) -> int | None:
        """Returns the server named by a client whose connection stood before this relay started, or None."""
        if b"at" not in first.parameters:
            return None
        server = self._relay.destinations.number_of_host(first.text(b"at"))
        if server is None:
            raise lines.Malformed("the server of an existing connection is unknown")
        return server
