"""The orderly end of a client's connection: nothing that was sent before is lost by the close itself.

A socket that is closed answers the client's next line with a reset, and a reset drops what the client's
system has not received yet. So the sending side is ended first, and the client is read until it closes.
"""

import math

import trio

from glenfold.net.sockets import SocketType, unacknowledged_bytes

DROPPED_CHUNK_BYTES = 16 * 1024
HALF_CLOSE_TIMEOUT_S = 0.7  # Time for a side to close after the other side has closed.
CLIENT_STALL_TIMEOUT_S = 5.0  # A client whose system takes nothing for so long is given up.
# The first and the longest interval between two looks at what the client's system has taken.
MIN_CHECK_INTERVAL_S, MAX_CHECK_INTERVAL_S = 0.05, 0.4


class OrderlyClose:
    """The end of one client's connection, after the last byte for it was written.

    `delivered` says whether the client's system has taken all that was sent, `left` whether the client reset
    the connection before. `stall_timeout_s` is the time without progress after which a slow client is given
    up, infinite if only a cancellation ends the wait. `half_closed_at` is when the client was sent FIN.
    """

    def __init__(self, client: SocketType, stall_timeout_s: float, half_closed_at: float) -> None:
        self.delivered = False
        self.left = False
        self._client = client
        self._stall_timeout_s = stall_timeout_s
        self._half_closed_at = half_closed_at
        self._client_closed = False
        self._remaining = math.inf  # bytes that the client's system has not taken
        self._progress_at = trio.current_time()

    async def wait(self) -> None:
        """Waits until the client closes, or has taken all and had time to close, or is given up.

        The caller closes the socket, and calls `look` before if the wait was cancelled.
        """
        interval_s = MIN_CHECK_INTERVAL_S
        while not self._is_over():
            with trio.move_on_at(trio.current_time() + interval_s):
                await self._read_until_closed()
            interval_s = min(2 * interval_s, MAX_CHECK_INTERVAL_S)

    def look(self) -> None:
        """Notes what the client's system has not taken yet."""
        remaining = unacknowledged_bytes(self._client)
        if remaining < self._remaining:
            self._remaining, self._progress_at = remaining, trio.current_time()
        self.delivered = self.delivered or remaining == 0

    def _is_over(self) -> bool:
        if self.left:
            return True
        self.look()
        now = trio.current_time()
        if self.delivered:
            return self._client_closed or now >= self._half_closed_at + HALF_CLOSE_TIMEOUT_S
        return now >= self._progress_at + self._stall_timeout_s

    async def _read_until_closed(self) -> None:
        """Reads and drops what the client still sends, until it closes or resets the connection.

        A client that has ended its sending side alone may still read, so the next look is waited for then.
        """
        try:
            while not self._client_closed:
                self._client_closed = not await self._client.recv(DROPPED_CHUNK_BYTES)
        except OSError:  # a reset empties the queue, so a look would tell nothing any more
            self._client_closed = True
            self.left = not self.delivered
            return
        if unacknowledged_bytes(self._client):
            await trio.sleep_forever()
