"""A standing connection: lines pass both ways unchanged, and an end on one side is an end on the other."""

import errno
from collections.abc import Awaitable, Callable

import trio

from glenfold.lines import MOVE, LineTracker, parse_load
from glenfold.net.sockets import SocketType, finish, reset_on_close, send, send_now
from linnetspread.interface import Outcome

CHUNK = 16 * 1024
SILENT_S = 1.2  # a server that leaves a client's line unanswered for so long is taken to be gone
PART_S = 0.7  # how long a side may take to close after the other side has
WHOLE_S = 0.3  # how long a move waits for a line to be complete

LoadHeard = Callable[[float], Awaitable[None]]


class Passage:
    """The two sides of one connection, and what is known of it while it stands."""

    def __init__(self, client: SocketType, server: SocketType, load_heard: LoadHeard) -> None:
        self.client = client
        self.server = server
        self.outcome = Outcome.RESET
        self.silent = False
        self.moved = False
        self.cut_off = False
        self._load_heard = load_heard
        self._lines = LineTracker()
        self._said: bytes | None = None  # the server's last word on this connection
        self._asked_at: float | None = None  # since when a client's line is unanswered
        self._writing = trio.Lock()  # held while the client is sent something
        self._move_left = MOVE  # what of it the client has not been sent
        self._client_done = False
        self._server_reset = False
        self._client_over = trio.Event()
        self._scope = trio.CancelScope()
        self._between_lines = trio.Event()

    @property
    def over(self) -> bool:
        return self._scope.cancel_called

    async def run(self, early: bytes, receipt: bytes) -> None:
        """`early` is what the client sent before it was up, `receipt` what the client was sent."""
        with self._scope:
            await self._hear(receipt)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._upward, early)
                nursery.start_soon(self._downward)
                await self._watch_silence()
        # Only here, with both directions ended: closing a socket that another task reads from is an error.
        self.client.close()
        self.server.close()

    def move_now(self) -> bool:
        """As `move`, for a client that can be told without waiting; False if it has only part of a line, or
        no room. A client that has just gone counts as told: its end is seen where it is read from."""
        if self.over:
            return True
        if self._writing.locked() or not self._lines.between_lines:
            return False
        try:
            sent = send_now(self.client, self._move_left)
        except OSError:
            self._end(Outcome.CANCELLED)
            return True
        self._move_left = self._move_left[sent:]
        if not self._move_left:
            self.moved = True
            self._end(Outcome.CANCELLED)
        return self.moved

    def cut(self) -> None:
        """Ends both sides at once. A line that a client has only part of must not look like a whole one."""
        if not self._lines.between_lines or self._writing.locked() or 0 < len(self._move_left) < len(MOVE):
            reset_on_close(self.client)
        self.cut_off = True
        self._end(Outcome.CANCELLED)

    def finish_both(self) -> None:
        """Ends both sides for those who look from outside, before the loop comes to close them."""
        finish(self.client)
        finish(self.server)

    async def move(self, until: float | None = None) -> None:
        """Tells the client to come again, between two lines, and ends both sides; without telling it `until`
        then, or after `WHOLE_S`."""
        with trio.move_on_at(trio.current_time() + WHOLE_S if until is None else until):
            # Not beside a chunk that the client has only part of, however that chunk ends.
            while not await self._send_move():
                self._between_lines = trio.Event()
                await self._between_lines.wait()
        if not self.over and not self.move_now():
            self.cut()

    async def _send_move(self) -> bool:
        async with self._writing:
            if self._lines.between_lines:
                await send(self.client, self._move_left)
                self._move_left = b""
                self.moved = True
                self._end(Outcome.CANCELLED)
                return True
        return False

    def _end(self, outcome: Outcome) -> None:
        self.outcome = outcome
        self._scope.cancel()

    async def _upward(self, early: bytes) -> None:
        data = early
        while True:
            if data:
                if self._asked_at is None:
                    self._asked_at = trio.current_time()
                try:
                    await send(self.server, data)
                except OSError as error:
                    # What the server still had to say is read downward; its reset is told but once. Any other
                    # error comes of a line that met a server which had ended in the usual way.
                    self._server_reset = error.errno == errno.ECONNRESET
                    return
            try:
                data = await self.client.recv(CHUNK)
            except OSError:
                reset_on_close(self.server)
                return self._end(Outcome.CANCELLED)
            if not data:
                break
        self._client_done = True
        self._client_over.set()
        finish(self.server)
        # The server owes an end: one that vanished must not keep half a connection for ever.
        self._asked_at = self._asked_at or trio.current_time()

    async def _downward(self) -> None:
        while True:
            try:
                data = await self.server.recv(CHUNK)
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
            self._asked_at = None
            try:
                if not await self._pass_down(data):
                    return
            except OSError:
                reset_on_close(self.server)
                return self._end(Outcome.CANCELLED)
            # What was asked meanwhile could not be answered: that was not the server's silence.
            self._asked_at = self._asked_at and trio.current_time()
        finish(self.client)
        ended_by_client = self._client_done
        if not ended_by_client:
            # The client has to be ended within a second, whether it closes its side or not.
            with trio.move_on_at(trio.current_time() + PART_S):
                await self._client_over.wait()
        ends = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}
        silent = Outcome.CANCELLED if ended_by_client else Outcome.RESET
        self._end(ends.get(self._said or b"", silent))

    async def _pass_down(self, data: bytes) -> bool:
        """False if the client is being told to move: nothing may come within that, or after it. Most often
        the kernel takes all without a turn of the loop, in which the client could not be told."""
        free = not self._writing.locked() and len(self._move_left) == len(MOVE)
        sent = send_now(self.client, data) if free else 0
        if sent == len(data):
            await self._hear(data)
            return True
        async with self._writing:
            if len(self._move_left) < len(MOVE):
                return False
            await send(self.client, data[sent:])
            await self._hear(data)
        return True

    async def _hear(self, data: bytes) -> None:
        for line in self._lines.feed(data):
            word, _, rest = line.partition(b" ")
            if word in (b"BYE", b"MOVE"):
                self._said = word
            elif word == b"LOAD":
                load = parse_load(rest)
                if load is None:
                    return self._end(Outcome.ERROR)
                await self._load_heard(load)
        if self._lines.too_long:
            return self._end(Outcome.ERROR)
        if self._lines.between_lines:
            self._between_lines.set()

    async def _watch_silence(self) -> None:
        """TCP does not tell that a server is cut off; a client that asks in vain does."""
        while True:
            since = None if self._writing.locked() else self._asked_at
            await trio.sleep_until((since or trio.current_time()) + SILENT_S)
            asked = None if self._writing.locked() else self._asked_at
            if asked is not None and trio.current_time() - asked >= SILENT_S:
                self.silent = True
                if not self._client_done:
                    await self.move()
                return self._end(Outcome.RESET)
