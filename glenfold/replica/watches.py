"""The open watches of a replica. One loop writes each change to all of them.

A watch holds an index into the shared history and a view of those shared bytes that the kernel has not yet
accepted. If the kernel accepts everything, a change costs one system call per watch. Only a watch whose child
reads slowly has a task of its own, which waits until the socket is writable.
"""

from collections import deque
from collections.abc import Callable

import trio

from glenfold.net.sockets import SocketType, reset_on_close, send_now
from glenfold.replica import events
from glenfold.replica.counters import ReplicaCounters
from glenfold.rules.replication_history import PastRevision, RevisionHistory
from glenfold.rules.replication_http import LAST_CHUNK, RENEWAL_CHUNK
from glenfold.rules.replication_lease import Lease

MAX_WRITE_BYTES = 64 * 1024  # limit on the changes joined into one write
WATCHES_PER_TURN = 128  # watches written before the loop runs other tasks
END_STEP_S = 0.02  # interval between two steps of `end_all`

EMPTY = memoryview(b"")  # replaces an empty slice, which would keep its whole chunk in memory

WriteStep = Callable[["Watch"], bool]


class Watch:
    """The watch of one child.

    `scope` is the cancel scope of the task that owns and closes the socket. `index` is the position of the
    next change in the history. `unsent` holds the earlier bytes that the kernel has not yet accepted.
    """

    __slots__ = ("sock", "scope", "incarnation", "index", "unsent", "is_catching_up")

    def __init__(self, sock: SocketType, incarnation: int, index: int, head: bytes) -> None:
        self.sock = sock
        self.scope = trio.CancelScope()
        self.incarnation = incarnation
        self.index = index
        self.unsent = memoryview(head)
        self.is_catching_up = False  # whether a task waits for the child to read


class Watches:
    """The open watches of one replica. A child that reads nothing for `blocked_s` is disconnected."""

    def __init__(
        self, history: RevisionHistory, lease: Lease, counters: ReplicaCounters, blocked_s: float
    ) -> None:
        self._history = history
        self._lease = lease
        self._counters = counters
        self._blocked_s = blocked_s
        self._open: dict[Watch, None] = {}  # oldest first
        self._update = trio.Event()
        # The incarnation and index that every watch has or is catching up to.
        self._written_position = (0, history.end_index)
        self._nursery: trio.Nursery | None = None

    def __len__(self) -> int:
        return len(self._open)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Writes changes and renewals to the watches until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            while True:
                await self._wait_for_update()
                await self._write_to_all()

    def wake(self) -> None:
        """Wakes the loop after a change or a renewal was published."""
        self._update.set()

    def open(self, watch: Watch) -> None:
        """Adds a watch. It gets its response head and the missed changes first, then changes and renewals."""
        self._open[watch] = None
        self._counters.watches += 1
        self._write(watch, self._advance)

    def close(self, watch: Watch) -> None:
        """Removes a watch whose socket is about to be closed."""
        if watch in self._open:
            del self._open[watch]
            self._counters.watches_ended += 1

    async def end_all(self, spread_s: float) -> None:
        """Ends all watches, oldest first and evenly over `spread_s`.

        Otherwise all children would call other replicas at the same moment.
        """
        remaining, start_s = deque(self._open), trio.current_time()
        per_s = len(remaining) / max(spread_s, END_STEP_S)
        ended_count = 0
        while remaining:
            due_count = 1 + int(per_s * (trio.current_time() - start_s))
            while remaining and ended_count < due_count:
                self._end(remaining.popleft())
                ended_count += 1
            await trio.sleep(END_STEP_S)

    # ---- writing ----

    async def _wait_for_update(self) -> None:
        due_at_s = None if self._history.position is None else self._lease.due_at_s()
        with trio.move_on_at(float("inf") if due_at_s is None else due_at_s):
            await self._update.wait()
        self._update = trio.Event()

    async def _write_to_all(self) -> None:
        position = self._history.position
        if position is None:
            return
        newest_position = (position.incarnation, self._history.end_index)
        if newest_position != self._written_position:
            self._written_position = newest_position
            self._lease.record_line(trio.current_time())
            await self._write_each(self._advance)
        elif self._lease.take_renewal(trio.current_time()):
            self._counters.renewals_told += 1
            await self._write_each(self._renew)

    async def _write_each(self, step: WriteStep) -> None:
        for count, watch in enumerate(tuple(self._open), 1):
            if watch in self._open and not watch.is_catching_up:
                self._write(watch, step)
            if count % WATCHES_PER_TURN == 0:
                await trio.lowlevel.checkpoint()

    def _write(self, watch: Watch, step: WriteStep) -> None:
        """Runs a write step without blocking. A task writes what the kernel does not accept."""
        assert self._nursery is not None
        try:
            is_complete = step(watch)
        except PastRevision:
            self._cut_behind(watch)
        except OSError:  # the child disconnected
            watch.scope.cancel()
        else:
            if not is_complete:
                watch.is_catching_up = True
                self._nursery.start_soon(self._catch_up, watch)

    def _advance(self, watch: Watch) -> bool:
        """Writes the changes that the watch lacks. Returns False if the kernel does not accept them all."""
        position = self._history.position
        while True:
            if not self._flush(watch):
                return False
            if position is not None and watch.incarnation != position.incarnation:
                self._end(watch)
                return True
            if watch.index >= self._history.end_index:
                return True
            chunks, watch.index = self._history.read(watch.index, MAX_WRITE_BYTES)
            watch.unsent = memoryview(chunks)

    def _renew(self, watch: Watch) -> bool:
        """Writes the empty line of a renewal after all earlier bytes. Returns False if some are left over."""
        if not self._advance(watch):
            return False
        watch.unsent = memoryview(RENEWAL_CHUNK)
        return self._flush(watch)

    def _flush(self, watch: Watch) -> bool:
        sent = send_now(watch.sock, watch.unsent) if watch.unsent else 0
        watch.unsent = watch.unsent[sent:] or EMPTY
        return not watch.unsent

    async def _catch_up(self, watch: Watch) -> None:
        try:
            while not self._advance(watch):
                with trio.fail_after(self._blocked_s):
                    await trio.lowlevel.wait_writable(watch.sock)
        except trio.TooSlowError:
            self._counters.cut_blocked += 1
            self._cut(watch, f"the child read nothing for {self._blocked_s:g} s")
        except PastRevision:
            self._cut_behind(watch)
        except (OSError, trio.ClosedResourceError):  # the child disconnected
            watch.scope.cancel()
        finally:
            watch.is_catching_up = False

    # ---- ending watches ----

    def _cut_behind(self, watch: Watch) -> None:
        self._counters.cut_behind += 1
        self._cut(watch, "the child is behind the history")

    def _cut(self, watch: Watch, reason: str) -> None:
        """Resets the connection, even within a line. The child discards an incomplete line."""
        events.watch_cut(reason=reason)
        reset_on_close(watch.sock)
        watch.scope.cancel()

    def _end(self, watch: Watch) -> None:
        """Ends the watch with the last chunk, so that the child resumes elsewhere from its revision."""
        if watch not in self._open:
            return
        try:
            if not watch.unsent:
                send_now(watch.sock, LAST_CHUNK)
        except OSError:
            pass
        watch.scope.cancel()
