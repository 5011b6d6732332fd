"""The server of a replica: lists and watches in discovery's format, over HTTP/1.1 on trio.

The follower of the parents supplies the lists through `glenfold.rules.replication.Publisher`. The number of
idle connections, children and whole lists being sent is bounded, and so is the memory that each may use.
"""

import random
import socket
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from http import HTTPStatus

import trio

from glenfold.config.replica import MB, Limits
from glenfold.events import sockets_exhausted
from glenfold.net.inbound import OUT_OF_SOCKETS_ERRNOS
from glenfold.net.sockets import SocketType, send, send_fin, send_pieces, without_delay
from glenfold.replica import events
from glenfold.replica.counters import ReplicaCounters
from glenfold.replica.requests import MAX_READ_BYTES, RequestReader
from glenfold.replica.watches import Watch, Watches
from glenfold.rules.replication import ListDocument, Position
from glenfold.rules.replication_admission import WholeListAdmission
from glenfold.rules.replication_history import FutureRevision, PastRevision, RevisionHistory, chunk_framing
from glenfold.rules.replication_http import (
    ListStatus,
    RequestError,
    WatchRequest,
    error_response,
    read_request,
    watch_head,
    whole_list_head,
)
from glenfold.rules.replication_lease import Lease

END_OF_LINE = b"\n"
SEND_BUFFER_BYTES = 128 * 1024  # the kernel's send buffer for each child
LIST_TIMEOUT_S = 15.0  # limit for a child to read a whole list
MAX_UNREQUESTED_BYTES = 64 * 1024  # limit on what a child may send after its watch request
NOT_READY_RETRY_SPREAD_S = 1.0  # spreads the retries of children that ask before there is a list
# How many revisions before the first list are requested from a parent, each next count if the parent does not
# have the one before.
HISTORY_REVISIONS = (256, 16, 4)
HISTORY_TIMEOUT_S = 2.0  # Time limit for reading these earlier revisions from a parent.
# Spreads the retries of children that ask during shutdown. Short, as a successor may already be running.
SHUTDOWN_RETRY_SPREAD_S = 1.0
FULL_RETRY_SPREAD_S = 10.0  # spreads the retries of children refused at the limit
CLOSING_TIMEOUT_S = 0.3  # limit for a child to read a refusal before the connection is closed
MAX_CLOSING_BYTES = 64 * 1024  # limit on the input that is discarded while a connection closes
MAX_CLOSING_CONNECTIONS = 32  # above this number of closing connections, others are closed at once
ACCEPT_RETRY_S = 0.1  # delay before the next accept when no file descriptor is free


EarlierChanges = Callable[[int, Position], Awaitable[Sequence[ListDocument]]]


class Server:
    """A Publisher that serves the published lists to children.

    `name` is the name of this replica in the Via header. `earlier` returns the changes after a revision that
    led to a position, as far as a parent has them; without it, a history starts with its first list.
    """

    def __init__(
        self,
        name: str,
        limits: Limits,
        counters: ReplicaCounters,
        rng: random.Random | None = None,
        earlier: EarlierChanges | None = None,
    ) -> None:
        self._name = name
        self._limits = limits
        self._counters = counters
        self._rng = random.Random() if rng is None else rng
        self._history = RevisionHistory(limits.history_revisions, int(limits.history_mb * MB))
        self._lease = Lease()
        self._watches = Watches(self._history, self._lease, counters, limits.blocked_s)
        self._admission = WholeListAdmission(
            limits.whole_lists_mb_per_s * MB, limits.whole_lists_at_once, limits.children, self._rng
        )
        self._via_names: tuple[str, ...] = ()
        # Connections without a complete request, oldest first.
        self._idle: dict[SocketType, trio.CancelScope] = {}
        self._children = 0  # connections being answered or watching
        self._closing = 0
        self._is_shutting_down = False
        self._read_earlier = earlier
        self._history_started = trio.Event()
        self._is_reading_history = False  # while set, children that resume wait, to avoid a whole list

    # ---- the Publisher interface, called by the follower ----

    def publish(self, document: ListDocument, via: tuple[str, ...]) -> None:
        """Adds the document to the history, to be served with the chain `via`, and wakes the watches."""
        before = self._history.position
        self._via_names = via
        self._history.add(document)
        self._counters.published += 1
        if document.restarts_history or before is None or before.incarnation != document.position.incarnation:
            self._is_reading_history = self._read_earlier is not None
            self._history_started.set()
            self._counters.incarnations += 1
            events.history_begun(
                incarnation=document.position.incarnation, revision=document.position.revision
            )
        self._watches.wake()

    def renew(self, renewed_at_s: float) -> None:
        """Records that the source renewed the list at `renewed_at_s`, and wakes the watches."""
        was_stale = self._lease.stale
        if not self._lease.renew(renewed_at_s, trio.current_time()):
            return
        self._counters.renewals += 1
        if was_stale and not self._lease.stale:
            events.fresh()
        self._watches.wake()

    def stale(self) -> None:
        """Ends the lease: the list is served on, and children receive no renewals."""
        if not self._lease.stale:
            self._lease.expire()
            self._counters.stale += 1
            events.stale(age_s=self._age_s())

    def via(self, names: tuple[str, ...]) -> None:
        """Sets the names of the replicas between the source and this one, for the Via header."""
        self._via_names = names

    def _age_s(self) -> float | None:
        return self._lease.age_s(trio.current_time())

    @property
    def children(self) -> int:
        """The number of children that watch."""
        return len(self._watches)

    async def _read_histories(self, earlier: EarlierChanges) -> None:
        """Reads the changes before the first list of each history.

        After a restart of the replica most children are only a few revisions behind its first list, so these
        changes are all that they need.
        """
        while True:
            await self._history_started.wait()
            self._history_started = trio.Event()
            with trio.move_on_after(HISTORY_TIMEOUT_S):
                await self._read_history(earlier)
            self._is_reading_history = self._history_started.is_set()

    async def _read_history(self, earlier: EarlierChanges) -> None:
        start = self._history.position
        assert start is not None
        for revisions in HISTORY_REVISIONS:
            since = max(0, start.revision - revisions)
            changes = await earlier(since, start)
            if changes:
                with suppress(ValueError):  # a new history started meanwhile, or changes were dropped
                    added = self._history.prepend_changes(since, changes)
                    self._counters.history_read += added
                    events.history_read(changes=added, revision=start.revision)
                return

    # ---- connections ----

    async def serve(self, listener: SocketType) -> None:
        """Serves until cancelled. Cancelling ends all connections and closes the listener."""
        with listener:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._watches.run)
                if self._read_earlier is not None:
                    nursery.start_soon(self._read_histories, self._read_earlier)
                await self._accept(listener, nursery)

    async def _accept(self, listener: SocketType, nursery: trio.Nursery) -> None:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                if error.errno in OUT_OF_SOCKETS_ERRNOS:
                    sockets_exhausted(error=error)
                    await trio.sleep(ACCEPT_RETRY_S)
                continue
            self._counters.accepted += 1
            nursery.start_soon(self._serve_connection, sock)

    async def end_watches(self, spread_s: float) -> None:
        """Ends all watches in order, evenly over `spread_s`, and refuses new requests from now on."""
        self._is_shutting_down = True
        await self._watches.end_all(spread_s)

    async def _serve_connection(self, sock: SocketType) -> None:
        """Serves one connection. An error ends only this connection."""
        try:
            without_delay(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            try:
                await self._serve_requests(sock)
            except RequestError as error:
                self._count(error)
                source = None if self._history.position is None else self._source()
                await self._close_after_refusal(sock, error_response(error, source))
        except (OSError, trio.ClosedResourceError):  # the child disconnected
            pass
        except Exception as error:
            self._counters.faults += 1
            events.connection_failed(error=error)
        finally:
            sock.close()

    async def _serve_requests(self, sock: SocketType) -> None:
        """Answers the requests of a connection one at a time. A watch is always the last one."""
        reader = RequestReader(sock)
        is_open = True
        while is_open:
            with self._idle_slot(sock) as scope:
                request = await reader.next_request()
            if scope.cancelled_caught or request is None:
                return
            parsed = read_request(request)
            del request  # a head of very many short fields is not kept for as long as the child watches
            with self._child_slot():
                if isinstance(parsed, WatchRequest):
                    await self._answer_watch(sock, parsed)
                    is_open = False
                else:
                    is_open = await self._answer_list(sock)

    @contextmanager
    def _idle_slot(self, sock: SocketType) -> Iterator[trio.CancelScope]:
        """Bounds the idle connections in number and time.

        At the limit a new idle connection closes the oldest one, but never a child that was answered.
        """
        if len(self._idle) >= self._limits.idle_connections:
            self._idle.pop(next(iter(self._idle))).cancel()
            self._counters.idle_crowded_out += 1
        with trio.move_on_after(self._limits.idle_s) as scope:
            self._idle[sock] = scope
            try:
                yield scope
            finally:
                crowded_out = self._idle.pop(sock, None) is None
        if scope.cancelled_caught and not crowded_out:
            self._counters.idle_closed += 1

    @contextmanager
    def _child_slot(self) -> Iterator[None]:
        """Counts a child while it is served. Raises Refusal at the limit and during shutdown."""
        if self._is_shutting_down:
            raise self._unavailable("the replica is shutting down", SHUTDOWN_RETRY_SPREAD_S)
        if self._children >= self._limits.children:
            self._counters.children_refused += 1
            events.full(children=self._children)
            raise self._unavailable("the limit on children is reached", FULL_RETRY_SPREAD_S)
        self._children += 1
        try:
            yield
        finally:
            self._children -= 1

    def _unavailable(self, reason: str, spread_s: float) -> RequestError:
        retry_after_s = 1 + round(self._rng.uniform(0.0, spread_s))
        return RequestError(HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s)

    def _count(self, error: RequestError) -> None:
        match error.status:
            case HTTPStatus.BAD_REQUEST:
                self._counters.malformed += 1
            case HTTPStatus.NOT_FOUND:
                self._counters.not_found += 1
            case HTTPStatus.METHOD_NOT_ALLOWED:
                self._counters.wrong_method += 1
            case HTTPStatus.GONE:
                self._counters.future_revisions += 1
            case _:
                return  # already counted where it was raised
        events.request_refused(error=error)

    async def _close_after_refusal(self, sock: SocketType, response: bytes) -> None:
        """Sends a refusal and reads the child's remaining input for a while before closing.

        Closing a socket with unread input resets the connection, and the child may then lose the response.
        """
        await send(sock, response)
        send_fin(sock)
        if self._closing >= MAX_CLOSING_CONNECTIONS:
            return
        self._closing += 1
        try:
            with trio.move_on_after(CLOSING_TIMEOUT_S):
                await _discard_input(sock, MAX_CLOSING_BYTES)
        finally:
            self._closing -= 1

    # ---- lists and watches ----

    def _position(self) -> Position:
        if self._history.position is None:
            self._counters.not_ready += 1
            raise self._unavailable("there is no list yet", NOT_READY_RETRY_SPREAD_S)
        return self._history.position

    def _source(self) -> ListStatus:
        via = (*self._via_names, self._name)
        return ListStatus(self._position(), self._age_s(), via, self.children)

    @contextmanager
    def _list_slot(self, size: int) -> Iterator[None]:
        """Admits a whole list of `size` bytes while it is sent. Raises Refusal if it has to wait."""
        now_s = trio.current_time()
        if not self._admission.admit(now_s, size):
            self._counters.whole_lists_deferred += 1
            events.lists_deferred(deferred=self._counters.whole_lists_deferred)
            retry_after_s = self._admission.retry_after_s(now_s, size)
            raise RequestError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "whole-list requests exceed the admission limit",
                retry_after_s,
            )
        self._counters.whole_lists += 1
        try:
            yield
        finally:
            self._admission.finished()

    async def _answer_list(self, sock: SocketType) -> bool:
        """Sends the whole list. Returns whether the child read it in time."""
        source, body = self._source(), self._history.whole()
        with self._list_slot(len(body)):
            return await self._send_list(sock, whole_list_head(source, len(body)), body)

    async def _answer_watch(self, sock: SocketType, parsed: WatchRequest) -> None:
        """Serves a watch. A child whose revision is no longer in the history first gets the whole list."""
        source = self._source()
        try:
            index = self._history.index_after(parsed.revision, parsed.incarnation)
        except FutureRevision:
            raise RequestError(HTTPStatus.GONE, f"revision {parsed.revision} is in the future") from None
        except PastRevision:
            if self._is_reading_history:
                self._counters.not_ready += 1
                raise self._unavailable(
                    "the earlier changes are still being read", NOT_READY_RETRY_SPREAD_S
                ) from None
            index, body = self._history.end_index, self._history.whole()
            with self._list_slot(len(body)):
                before, after = chunk_framing(len(body) + len(END_OF_LINE))
                line_end = END_OF_LINE + after
                if not await self._send_list(sock, watch_head(source) + before, body, line_end):
                    return
            watch = Watch(sock, source.position.incarnation, index, b"")
        else:
            watch = Watch(sock, source.position.incarnation, index, watch_head(source))
        await self._serve_watch(watch)

    async def _serve_watch(self, watch: Watch) -> None:
        self._watches.open(watch)
        try:
            with watch.scope:
                await _discard_input(watch.sock, MAX_UNREQUESTED_BYTES)
        finally:
            self._watches.close(watch)

    async def _send_list(self, sock: SocketType, *pieces: bytes) -> bool:
        """Sends the pieces without copying them. Returns False if the child took too long.

        Children that are sent the same list share its bytes.
        """
        sent = False
        try:
            with trio.move_on_after(LIST_TIMEOUT_S):
                await send_pieces(sock, [memoryview(piece) for piece in pieces])
                sent = True
        finally:
            self._counters.whole_lists_failed += not sent
        return sent


async def _discard_input(sock: SocketType, max_bytes: int) -> None:
    """Reads and drops input until the child closes or has sent `max_bytes`."""
    while max_bytes > 0 and (data := await sock.recv(MAX_READ_BYTES)):
        max_bytes -= len(data)
