"""A standing connection: lines pass both ways unchanged, and an end on one side is an end on the other."""

import errno
from collections.abc import Awaitable, Callable

import trio

from glenfold.lines import MOVE, LineTracker, read_load
from glenfold.net.sockets import SocketType, reset_on_close, send, send_fin, send_now
from linnetspread.interface import Outcome

CHUNK_BYTES = 16 * 1024
SERVER_SILENCE_TIMEOUT_S = (
    1.2  # a server that leaves a client's line unanswered for so long is taken to be gone
)
HALF_CLOSE_TIMEOUT_S = 0.7  # how long a side may take to close after the other side has
LINE_COMPLETION_TIMEOUT_S = 0.3  # how long a move waits for a line to be complete

LoadCallback = Callable[[float], Awaitable[None]]


class Passage:
    """The two sides of one connection, and what is known of it while it stands."""

    def __init__(self, client: SocketType, server: SocketType, on_load: LoadCallback) -> None:
        self.client = client
        self.server = server
        self.outcome = Outcome.RESET
        self.silent = False
        self.moved = False
        self.cut_off = False
        self._on_load = on_load
        self._lines = LineTracker()
        self._last_word: bytes | None = None  # the server's last word on this connection
        self._unanswered_since: float | None = None  # since when a client's line is unanswered
        self._writing = trio.Lock()  # held while the client is sent something
        self._unsent_move = MOVE  # what of it the client has not been sent
        self._client_finished = False
        self._server_reset = False
        self._client_closed = trio.Event()
        self._scope = trio.CancelScope()
        self._between_lines = trio.Event()

    @property
    def is_ending(self) -> bool:
        return self._scope.cancel_called

    async def run(self, early: bytes, receipt: bytes) -> None:
        """`early` is what the client sent before it was up, `receipt` what the client was sent."""
        with self._scope:
            await self._track_lines(receipt)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward_to_server, early)
                nursery.start_soon(self._forward_to_client)
                await self._watch_silence()
        # Only here, with both directions ended: closing a socket that another task reads from is an error.
        self.client.close()
        self.server.close()

    def move_now(self) -> bool:
        """As `move`, for a client that can be told without waiting; False if it has only part of a line, or
        no room. A client that has just gone counts as told: its end is seen where it is read from."""
        if self.is_ending:
            return True
        if self._writing.locked() or not self._lines.between_lines:
            return False
        try:
            sent = send_now(self.client, self._unsent_move)
        except OSError:
            self._end(Outcome.CANCELLED)
            return True
        self._unsent_move = self._unsent_move[sent:]
        if not self._unsent_move:
            self.moved = True
            self._end(Outcome.CANCELLED)
        return self.moved

    def cut(self) -> None:
        """Ends both sides at once. A line that a client has only part of must not look like a whole one."""
        if not self._lines.between_lines or self._writing.locked() or 0 < len(self._unsent_move) < len(MOVE):
            reset_on_close(self.client)
        self.cut_off = True
        self._end(Outcome.CANCELLED)

    def finish_both(self) -> None:
        """Ends both sides for those who look from outside, before the loop comes to close them."""
        send_fin(self.client)
        send_fin(self.server)

    async def move(self, until: float | None = None) -> None:
        """Tells the client to come again, between two lines, and ends both sides; without telling it `until`
        then, or after `WHOLE_S`."""
        with trio.move_on_at(trio.current_time() + LINE_COMPLETION_TIMEOUT_S if until is None else until):
            # Not beside a chunk that the client has only part of, however that chunk ends.
            while not await self._send_move():
                self._between_lines = trio.Event()
                await self._between_lines.wait()
        if not self.is_ending and not self.move_now():
            self.cut()

    async def _send_move(self) -> bool:
        async with self._writing:
            if self._lines.between_lines:
                await send(self.client, self._unsent_move)
                self._unsent_move = b""
                self.moved = True
                self._end(Outcome.CANCELLED)
                return True
        return False

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
                    await send(self.server, data)
                except OSError as error:
                    # What the server still had to say is read downward; its reset is told but once. Any other
                    # error comes of a line that met a server which had ended in the usual way.
                    self._server_reset = error.errno == errno.ECONNRESET
                    return
            try:
                data = await self.client.recv(CHUNK_BYTES)
            except OSError:
                reset_on_close(self.server)
                return self._end(Outcome.CANCELLED)
            if not data:
                break
        self._client_finished = True
        self._client_closed.set()
        send_fin(self.server)
        # The server owes an end: one that vanished must not keep half a connection for ever.
        self._unanswered_since = self._unanswered_since or trio.current_time()

    async def _forward_to_client(self) -> None:
        while True:
            try:
                data = await self.server.recv(CHUNK_BYTES)
            except OSError:
                reset_on_close(self.client)
                return self._end(Outcome.RESET)
            if not data:
                # Who met a reset with a line, and used it up, comes to say so a turn of the loop later.
                await trio.lowlevel.checkpoint()
                if not self._server_reset:
                    break
                reset_on_close(self.client)
                return self._end(Outcome.RESET)
            self._unanswered_since = None
            try:
                if not await self._send_to_client(data):
                    return
            except OSError:
                reset_on_close(self.server)
                return self._end(Outcome.CANCELLED)
            # What was asked meanwhile could not be answered: that was not the server's silence.
            self._unanswered_since = self._unanswered_since and trio.current_time()
        send_fin(self.client)
        ended_by_client = self._client_finished
        if not ended_by_client:
            # The client has to be ended within a second, whether it closes its side or not.
            with trio.move_on_at(trio.current_time() + HALF_CLOSE_TIMEOUT_S):
                await self._client_closed.wait()
        ends = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}
        default_outcome = Outcome.CANCELLED if ended_by_client else Outcome.RESET
        self._end(ends.get(self._last_word or b"", default_outcome))

    async def _send_to_client(self, data: bytes) -> bool:
        """False if the client is being told to move: nothing may come within that, or after it. Most often
        the kernel takes all without a turn of the loop, in which the client could not be told."""
        is_free = not self._writing.locked() and len(self._unsent_move) == len(MOVE)
        sent = send_now(self.client, data) if is_free else 0
        if sent == len(data):
            await self._track_lines(data)
            return True
        async with self._writing:
            if len(self._unsent_move) < len(MOVE):
                return False
            await send(self.client, data[sent:])
            await self._track_lines(data)
        return True

    async def _track_lines(self, data: bytes) -> None:
        for line in self._lines.feed(data):
            word, _, rest = line.partition(b" ")
            if word in (b"BYE", b"MOVE"):
                self._last_word = word
            elif word == b"LOAD":
                load = read_load(rest)
                if load is None:
                    return self._end(Outcome.ERROR)
                await self._on_load(load)
        if self._lines.too_long:
            return self._end(Outcome.ERROR)
        if self._lines.between_lines:
            self._between_lines.set()

    async def _watch_silence(self) -> None:
        """TCP does not tell that a server is cut off; a client that asks in vain does."""
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
