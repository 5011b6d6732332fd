"""A standing connection: passes lines both ways unchanged and closes both sides when either one closes.

A line of the server is passed on once it is complete, so that MOVE has a place whenever a move is due: a
server that stops in the middle of a line may never send the rest.
"""

import errno
from collections.abc import Awaitable, Callable

import trio

from glenfold import events
from glenfold.lines import BYE_WORD, MAX_LINE_BYTES, MOVE, MOVE_WORD, LineTracker, read_reports
from glenfold.net.closing import CLIENT_STALL_TIMEOUT_S, HALF_CLOSE_TIMEOUT_S, OrderlyClose
from glenfold.net.sockets import SocketType, reset_on_close, send, send_fin, send_now, was_reset
from linnetspread.interface import Outcome

CHUNK_BYTES = MAX_LINE_BYTES  # Held for each direction of a connection whose receiving side doesn't read.
SERVER_SILENCE_TIMEOUT_S = 1.2  # A server that leaves a client's line unanswered so long counts as failed.
RESET_CHECK_INTERVAL_S = 0.05  # Nothing may be sent for a client that left 0.1 s ago.
LINE_COMPLETION_TIMEOUT_S = 0.3  # Time that a move waits for the server to complete a line that it began.

LoadCallback = Callable[[float], Awaitable[None]]


class StandingConnection:
    """The client's and the server's side of one standing connection.

    `outcome` is why the connection ended; `silent`, `moved` and `cut_off` say whether the server fell silent,
    the client was sent MOVE, and the client was disconnected without MOVE. Once the client's side is closed,
    a client whose system never took MOVE counts as disconnected without it.
    """

    def __init__(self, client: SocketType, server: SocketType, on_load: LoadCallback) -> None:
        self.client = client
        self.server = server
        self.outcome = Outcome.RESET
        self.silent = False
        self.moved = False
        self.cut_off = False
        self._on_load = on_load
        self._lines = LineTracker()
        self._last_word: bytes | None = None  # b"BYE" or b"MOVE", if the server sent one
        self._unanswered_since: float | None = None  # start of the wait for the server's answer
        self._writing = trio.Lock()  # held while data is sent to the client
        self._unsent_move = MOVE  # the part of MOVE that has not been sent to the client
        self._half_closed_at: float | None = None  # when the client was sent FIN
        self._aborted = False  # the client is gone, or its connection is to be reset
        self._closing: OrderlyClose | None = None  # the end of the client's side, once it has begun
        self._moved_at = 0.0  # when the last byte of MOVE was written
        self._client_finished = False
        self._server_reset = False
        self._server_end: Outcome | None = None  # how the server ended the connection, once it has
        self._client_closed = trio.Event()
        self._scope = trio.CancelScope()
        self._line_sent = trio.Event()  # set when the client was sent a line

    @property
    def has_begun_line(self) -> bool:
        """Whether the server has sent the beginning of a line and not its end."""
        return not self._lines.between_lines

    @property
    def is_ending(self) -> bool:
        """Whether this connection is closing or closed."""
        return self._scope.cancel_called

    async def run(self, early: bytes, receipt: bytes) -> None:
        """Passes lines until the connection ends, then closes the server's socket.

        The caller ends the client's side with `wait_for_client` and `close_client`. `early` is what the
        client sent before its connection was up. `receipt` is what the server sent until then, of which the
        client was sent all whole lines.
        """
        with self._scope:
            await self._note_reports(self._lines.complete(receipt))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward_to_server, early)
                nursery.start_soon(self._forward_to_client)
                await self._watch_silence()
        # Both directions have ended by now: closing a socket that another task reads from is an error.
        self.server.close()

    def half_close_client(self) -> None:
        """Sends FIN to the client after all that was sent to it; the first step after `run`."""
        if not self._aborted and self._half_closed_at is None:
            send_fin(self.client)
            self._half_closed_at = trio.current_time()

    async def wait_for_client(self, stall_timeout_s: float) -> None:
        """Waits until the client has received all that was sent to it, after `half_close_client`.

        A client that takes nothing for `stall_timeout_s` is given up.
        """
        if not self._aborted:
            self._closing = OrderlyClose(self.client, stall_timeout_s, self._half_closed_at or 0.0)
            await self._closing.wait()

    def close_client(self) -> None:
        """Closes the client's socket, also if `run` or `wait_for_client` was cancelled."""
        closing = self._closing
        if closing is None and not self._aborted:
            closing = OrderlyClose(self.client, 0.0, trio.current_time())
        if closing is not None and self.moved:
            self._check_delivery(closing)
        self.client.close()

    def _check_delivery(self, closing: OrderlyClose) -> None:
        if not closing.left:
            closing.look()
        if not closing.delivered:
            self.moved, self.cut_off = False, not closing.left
        if self.cut_off:
            events.move_undelivered(waited_s=round(trio.current_time() - self._moved_at, 3))

    def move_now(self) -> bool:
        """Sends MOVE without waiting and ends both sides; returns whether that was done.

        The beginning of a line that the server has not completed is dropped. Returns False if the client's
        socket buffer is full. A client that has just disconnected counts as moved, and so does one that was
        sent the server's end.
        """
        if self.is_ending:
            return True
        if self._server_end is not None:
            self._end(self._server_end)
            return True
        if self._writing.locked():
            return False
        try:
            sent = send_now(self.client, self._unsent_move)
        except OSError:
            self._end_without_client()
            return True
        self._unsent_move = self._unsent_move[sent:]
        if not self._unsent_move:
            self._end_moved()
        return self.moved

    def cut(self) -> None:
        """Ends both sides at once.

        A client that has received only part of a line, as its socket buffer is full, gets a reset, so that
        the part can't be taken for a complete line.
        """
        if self._writing.locked() or 0 < len(self._unsent_move) < len(MOVE):
            self._reset_client()
        self.cut_off = True
        self._end(Outcome.CANCELLED)

    def send_fin_to_both(self) -> None:
        """Sends FIN to both sides at once, before the event loop gets to closing the sockets."""
        send_fin(self.client)
        send_fin(self.server)

    async def move(self, until: float | None = None) -> None:
        """Sends MOVE to the client between two lines, then ends both sides.

        A line that the server has begun is waited for, for `LINE_COMPLETION_TIMEOUT_S` at most; its beginning
        is dropped then. Both sides are ended without MOVE at `until`; by default where the client takes
        nothing for `CLIENT_STALL_TIMEOUT_S`.
        """
        with trio.move_on_at(trio.current_time() + CLIENT_STALL_TIMEOUT_S if until is None else until):
            if self.has_begun_line:
                await self._wait_for_line()
            await self._send_move()
        if not self.is_ending and not self.move_now():
            self.cut()

    async def _wait_for_line(self) -> None:
        """Waits until the client was sent a line, for `LINE_COMPLETION_TIMEOUT_S` at most."""
        self._line_sent = trio.Event()
        with trio.move_on_at(trio.current_time() + LINE_COMPLETION_TIMEOUT_S):
            await self._line_sent.wait()

    async def _send_move(self) -> None:
        """Sends the rest of MOVE, after the data that is being sent to the client, and ends both sides.

        A client that has just disconnected, or was sent the server's end, can't be sent MOVE: its connection
        ends without.
        """
        async with self._writing:
            if self.is_ending or self._server_end is not None:
                return
            try:
                while self._unsent_move:
                    sent = await self.client.send(self._unsent_move)
                    self._unsent_move = self._unsent_move[sent:]
            except trio.ClosedResourceError:  # the connection ended while the client's buffer was full
                return
            except OSError:
                return self._end_without_client()
            self._end_moved()

    def _end_without_client(self) -> None:
        """Ends both sides after the client's side failed, and passes the reset on to the server."""
        self._aborted = True
        reset_on_close(self.server)
        self._end(Outcome.CANCELLED)

    def _end_moved(self) -> None:
        self.moved, self._moved_at = True, trio.current_time()
        self._end(Outcome.CANCELLED)

    def _reset_client(self) -> None:
        """Makes the close of the client's socket send a reset."""
        self._aborted = True
        reset_on_close(self.client)

    def _end(self, outcome: Outcome) -> None:
        self.outcome = outcome
        self._scope.cancel()

    async def _forward_to_server(self, early: bytes) -> None:
        data = early
        while True:
            if data:
                if self._unanswered_since is None:
                    self._unanswered_since = trio.current_time()
                try:
                    if not await self._send_to_server(data):
                        return self._end_without_client()
                except OSError as error:
                    # `_forward_to_client` still reads what the server has sent. The kernel reports a reset
                    # only once, so it is noted for that task. Any other error means that the line was
                    # written after the server had closed normally.
                    self._server_reset = error.errno == errno.ECONNRESET
                    return
            try:
                data = await self.client.recv(CHUNK_BYTES)
            except OSError:
                return self._end_without_client()
            if not data:
                break
        self._client_finished = True
        self._client_closed.set()
        send_fin(self.server)
        # The server has to close now. The limit on its silence applies, so that an unreachable server does
        # not keep a half-closed connection for ever.
        self._unanswered_since = self._unanswered_since or trio.current_time()

    async def _send_to_server(self, data: bytes) -> bool:
        """Sends `data` to the server; returns False if the client reset its connection meanwhile.

        Nobody reads the client while a server takes nothing, so its reset has to be looked for.
        """
        remaining = memoryview(data)[send_now(self.server, data) :]
        while remaining:
            with trio.move_on_at(trio.current_time() + RESET_CHECK_INTERVAL_S):
                remaining = remaining[await self.server.send(remaining) :]
            if remaining and was_reset(self.client):
                return False
        return True

    async def _forward_to_client(self) -> None:
        while True:
            try:
                data = await self.server.recv(CHUNK_BYTES)
            except OSError:
                self._reset_client()
                return self._end(Outcome.RESET)
            if not data:
                # A write may have consumed a reset; the task that wrote notes that after one checkpoint.
                await trio.lowlevel.checkpoint()
                if not self._server_reset:
                    break
                self._reset_client()
                return self._end(Outcome.RESET)
            self._unanswered_since = None
            try:
                if not await self._pass_lines(data):
                    return
            except OSError:
                return self._end_without_client()
            # The server was not read while the client took this data, so lines that the client sent meanwhile
            # could not be answered: the wait for their answer starts anew.
            self._unanswered_since = self._unanswered_since and trio.current_time()
        try:
            if self._lines.partial and not await self._send_to_client(self._lines.partial):
                return
        except OSError:
            return self._end_without_client()
        ends = {BYE_WORD: Outcome.OK, MOVE_WORD: Outcome.CANCELLED}
        default_outcome = Outcome.CANCELLED if self._client_finished else Outcome.RESET
        self._server_end = ends.get(self._last_word or b"", default_outcome)
        send_fin(self.client)
        self._half_closed_at = trio.current_time()
        if not self._client_finished:
            # The client's connection has to end within a second, even if the client does not close it.
            with trio.move_on_at(trio.current_time() + HALF_CLOSE_TIMEOUT_S):
                await self._client_closed.wait()
        self._end(self._server_end)

    async def _pass_lines(self, data: bytes) -> bool:
        """Sends the lines that `data` completes to the client; returns False if no more may follow."""
        if completed := self._lines.complete(data):
            if not await self._send_to_client(completed):
                return False
            self._line_sent.set()
            await self._note_reports(completed)
        if self._lines.too_long:
            return self._end_after_overlong_line()
        return True

    def _end_after_overlong_line(self) -> bool:
        """Moves the client off a server that breaks the protocol; returns False, as no data may follow."""
        if not self.move_now():
            self.cut()
        self._end(Outcome.ERROR)
        return False

    async def _send_to_client(self, data: bytes) -> bool:
        """Sends `data` to the client; returns False if no more may follow, as MOVE is being sent.

        Usually the kernel takes all of it without a checkpoint, so that no MOVE can come in between.
        """
        is_free = not self._writing.locked() and len(self._unsent_move) == len(MOVE)
        sent = send_now(self.client, data) if is_free else 0
        if sent == len(data):
            return True
        async with self._writing:
            if len(self._unsent_move) < len(MOVE):
                return False
            await send(self.client, data[sent:])
        return True

    async def _note_reports(self, data: bytes) -> None:
        """Notes what the server's lines say of the connection; of several loads only the last one counts."""
        reports = read_reports(data)
        self._last_word = reports.last_word or self._last_word
        if reports.load is not None:
            await self._on_load(reports.load)

    async def _watch_silence(self) -> None:
        """Ends the connection when the server leaves a client's line unanswered for too long.

        TCP does not report that a server is unreachable as long as there is nothing to send.
        """
        while True:
            since = None if self._writing.locked() else self._unanswered_since
            await trio.sleep_until((since or trio.current_time()) + SERVER_SILENCE_TIMEOUT_S)
            unanswered_since = None if self._writing.locked() else self._unanswered_since
            if (
                unanswered_since is not None
                and trio.current_time() - unanswered_since >= SERVER_SILENCE_TIMEOUT_S
            ):
                self.silent = True
                if not self._client_finished:
                    await self.move()
                return self._end(Outcome.RESET)
