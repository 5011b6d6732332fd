"""The serving side of a replica: lists and watches in discovery's form, over HTTP/1.1 on trio.

It is told by the follower of its parents what to serve (`glenfold.rules.replication.Publisher`). Connections
without a request, children, whole lists under way and what each of them may hold are bounded.
"""

import random
import socket
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from http import HTTPStatus

import trio

from glenfold.config.replica import MB, Limits
from glenfold.events import sockets_exhausted
from glenfold.net.inbound import OUT_OF_SOCKETS
from glenfold.net.sockets import SocketType, finish, send, send_pieces, without_delay
from glenfold.replica import events
from glenfold.replica.counters import ReplicaCounters
from glenfold.replica.requests import READ_BYTES, RequestReader
from glenfold.replica.watches import Watch, Watches
from glenfold.rules.replication import ListDocument, Position
from glenfold.rules.replication_admission import WholeListAdmission
from glenfold.rules.replication_history import FutureRevision, PastRevision, RevisionHistory, around_chunk
from glenfold.rules.replication_http import (
    Refusal,
    Source,
    WatchRequest,
    read_request,
    refusal,
    watch_head,
    whole_list_head,
)
from glenfold.rules.replication_lease import Lease

END_OF_LINE = b"\n"
SEND_BUFFER_BYTES = 128 * 1024  # of the kernel, for each child
LIST_TIMEOUT_S = 15.0  # for a child to take a whole list
MAX_UNREQUESTED_BYTES = 64 * 1024  # that a child may send after its request for a watch
NOT_READY_RETRY_SPREAD_S = 1.0  # over which those are spread who ask before there is a list
HISTORY_REVISIONS = (256, 16, 4)  # before a first list that are asked for, fewer where they are not known
HISTORY_TIMEOUT_S = 2.0  # for that
SHUTDOWN_RETRY_SPREAD_S = (
    1.0  # over which those are spread who ask while it ends: another may be there in its place
)
FULL_RETRY_SPREAD_S = 10.0  # over which those are spread who find the replica full
CLOSING_TIMEOUT_S = 0.3  # for a child to take a refusal before its connection closes
MAX_CLOSING_BYTES = 64 * 1024  # read from it meanwhile
MAX_CLOSING_CONNECTIONS = 32  # such connections at a time; others are closed at once
ACCEPT_RETRY_S = 0.1  # before the next try to accept


EarlierChanges = Callable[[int, Position], Awaitable[Sequence[ListDocument]]]


class Server:
    """A Publisher whose lists children get. `name`: of this replica, in Via. `earlier`: the changes after a
    revision that led to a position, as far as somebody knows them; without it a history begins with its
    first list."""

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
        self._idle: dict[SocketType, trio.CancelScope] = {}  # without a whole request, oldest first
        self._children = 0  # answered or watching
        self._closing = 0
        self._is_shutting_down = False
        self._earlier = earlier
        self._history_started = trio.Event()
        self._is_reading_history = False  # who resumes may have to wait for that, and need no whole list then

    # ---- what the follower tells ----

    def publish(self, document: ListDocument) -> None:
        before = self._history.position
        self._history.add(document)
        self._counters.published += 1
        if document.anew or before is None or before.incarnation != document.position.incarnation:
            self._is_reading_history = self._earlier is not None
            self._history_started.set()
            self._counters.incarnations += 1
            events.history_begun(
                incarnation=document.position.incarnation, revision=document.position.revision
            )
        self._watches.wake()

    def renew(self, renewed_at_s: float) -> None:
        was_stale = self._lease.stale
        if not self._lease.renew(renewed_at_s, trio.current_time()):
            return
        self._counters.renewals += 1
        if was_stale and not self._lease.stale:
            events.fresh()
        self._watches.wake()

    def stale(self) -> None:
        if not self._lease.stale:
            self._lease.expire()
            self._counters.stale += 1
            events.stale(age_s=self._age_s())

    def via(self, names: tuple[str, ...]) -> None:
        self._via_names = names

    def _age_s(self) -> float | None:
        return self._lease.age_s(trio.current_time())

    @property
    def children(self) -> int:
        """That watch."""
        return len(self._watches)

    async def _read_histories(self, earlier: EarlierChanges) -> None:
        """After a restart children know a little less than the first list, which is all that they lack."""
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
                with suppress(ValueError):  # another history has begun meanwhile, or changes have gone
                    taken = self._history.lead_in(since, changes)
                    self._counters.history_read += taken
                    events.history_read(changes=taken, revision=start.revision)
                return

    # ---- connections ----

    async def serve(self, listener: SocketType) -> None:
        """Until it is cancelled, which ends all connections and closes the listener."""
        with listener:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._watches.run)
                if self._earlier is not None:
                    nursery.start_soon(self._read_histories, self._earlier)
                await self._accept(listener, nursery)

    async def _accept(self, listener: SocketType, nursery: trio.Nursery) -> None:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                if error.errno in OUT_OF_SOCKETS:
                    sockets_exhausted(error=error)
                    await trio.sleep(ACCEPT_RETRY_S)
                continue
            self._counters.accepted += 1
            nursery.start_soon(self._serve_connection, sock)

    async def end_watches(self, spread_s: float) -> None:
        """In order, evenly over that time; who asks meanwhile is sent elsewhere."""
        self._is_shutting_down = True
        await self._watches.end_all(spread_s)

    async def _serve_connection(self, sock: SocketType) -> None:
        """One connection's fault ends that connection."""
        try:
            without_delay(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            try:
                await self._serve_requests(sock)
            except Refusal as error:
                self._count(error)
                source = None if self._history.position is None else self._source()
                await self._close_after_refusal(sock, refusal(error, source))
        except (OSError, trio.ClosedResourceError):  # the child has gone
            pass
        except Exception as error:
            self._counters.faults += 1
            events.connection_failed(error=error)
        finally:
            sock.close()

    async def _serve_requests(self, sock: SocketType) -> None:
        """Request by request; a watch is the last."""
        reader = RequestReader(sock)
        is_open = True
        while is_open:
            with self._idle_slot(sock) as scope:
                request = await reader.next()
            if scope.cancelled_caught or request is None:
                return
            parsed = read_request(request)
            with self._child_slot():
                if isinstance(parsed, WatchRequest):
                    await self._answer_watch(sock, parsed)
                    is_open = False
                else:
                    is_open = await self._answer_list(sock)

    @contextmanager
    def _idle_slot(self, sock: SocketType) -> Iterator[trio.CancelScope]:
        """Connections that say nothing crowd out each other, never children that were answered."""
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
        if self._is_shutting_down:
            raise self._unavailable("this replica ends", SHUTDOWN_RETRY_SPREAD_S)
        if self._children >= self._limits.children:
            self._counters.children_refused += 1
            events.full(children=self._children)
            raise self._unavailable("there are as many children as may be", FULL_RETRY_SPREAD_S)
        self._children += 1
        try:
            yield
        finally:
            self._children -= 1

    def _unavailable(self, reason: str, spread_s: float) -> Refusal:
        retry_after_s = 1 + round(self._rng.uniform(0.0, spread_s))
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s)

    def _count(self, error: Refusal) -> None:
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
                return  # counted where it was found out
        events.request_refused(error=error)

    async def _close_after_refusal(self, sock: SocketType, response: bytes) -> None:
        """Closing on unread bytes resets the connection and may take the answer with it: some are read."""
        await send(sock, response)
        finish(sock)
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

    def _source(self) -> Source:
        via = (*self._via_names, self._name)
        return Source(self._position(), self._age_s(), via, self.children)

    @contextmanager
    def _list_slot(self, size: int) -> Iterator[None]:
        now_s = trio.current_time()
        if not self._admission.admit(now_s, size):
            self._counters.whole_lists_deferred += 1
            events.lists_deferred(deferred=self._counters.whole_lists_deferred)
            retry_after_s = self._admission.retry_after_s(now_s, size)
            raise Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "whole lists wait", retry_after_s)
        self._counters.whole_lists += 1
        try:
            yield
        finally:
            self._admission.finished()

    async def _answer_list(self, sock: SocketType) -> bool:
        """Whether the child took it in time."""
        source, body = self._source(), self._history.whole()
        with self._list_slot(len(body)):
            return await self._send_list(sock, whole_list_head(source, len(body)), body)

    async def _answer_watch(self, sock: SocketType, parsed: WatchRequest) -> None:
        """A child whose revision is past gets the whole list as its first line."""
        source = self._source()
        try:
            index = self._history.index_after(parsed.revision, parsed.incarnation)
        except FutureRevision:
            raise Refusal(HTTPStatus.GONE, f"{parsed.revision} is of the future") from None
        except PastRevision:
            if self._is_reading_history:
                self._counters.not_ready += 1
                raise self._unavailable("the history is being read", NOT_READY_RETRY_SPREAD_S) from None
            index, body = self._history.end_index, self._history.whole()
            with self._list_slot(len(body)):
                before, after = around_chunk(len(body) + len(END_OF_LINE))
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
        """False: the child took too long. Those who are sent one list share its bytes."""
        sent = False
        try:
            with trio.move_on_after(LIST_TIMEOUT_S):
                await send_pieces(sock, [memoryview(piece) for piece in pieces])
                sent = True
        finally:
            self._counters.whole_lists_failed += not sent
        return sent


async def _discard_input(sock: SocketType, max_bytes: int) -> None:
    """Until the child closes, or has sent that much."""
    while max_bytes > 0 and (data := await sock.recv(READ_BYTES)):
        max_bytes -= len(data)
