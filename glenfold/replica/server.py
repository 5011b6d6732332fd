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
from glenfold.net.inbound import OUT_OF_SOCKETS_ERRNOS
from glenfold.net.sockets import SocketType, send, send_fin, send_pieces, without_delay
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
LIST_WITHIN_S = 15.0  # for a child to take a whole list
MOST_UNASKED_BYTES = 64 * 1024  # that a child may send after its request for a watch
NOT_READY_RETRY_S = 1.0  # over which those are spread who ask before there is a list
HISTORY_REVISIONS = (256, 16, 4)  # before a first list that are asked for, fewer where they are not known
HISTORY_WITHIN_S = 2.0  # for that
ENDING_RETRY_S = 1.0  # over which those are spread who ask while it ends: another may be there in its place
FULL_RETRY_S = 10.0  # over which those are spread who find the replica full
PARTING_S = 0.3  # for a child to take a refusal before its connection closes
PARTING_BYTES = 64 * 1024  # read from it meanwhile
MOST_PARTING = 32  # such connections at a time; others are closed at once
NO_DESCRIPTOR_S = 0.1  # before the next try to accept


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
        chance: random.Random | None = None,
        earlier: EarlierChanges | None = None,
    ) -> None:
        self._name = name
        self._limits = limits
        self._counters = counters
        self._chance = random.Random() if chance is None else chance
        self._history = RevisionHistory(limits.history_revisions, int(limits.history_mb * MB))
        self._lease = Lease()
        self._watches = Watches(self._history, self._lease, counters, limits.blocked_s)
        self._admission = WholeListAdmission(
            limits.whole_lists_mb_per_s * MB, limits.whole_lists_at_once, limits.children, self._chance
        )
        self._above: tuple[str, ...] = ()
        self._idle: dict[SocketType, trio.CancelScope] = {}  # without a whole request, oldest first
        self._children = 0  # answered or watching
        self._parting = 0
        self._ending = False
        self._earlier = earlier
        self._begun = trio.Event()
        self._reads_history = False  # who resumes may have to wait for that, and need no whole list then

    # ---- what the follower tells ----

    def publish(self, document: ListDocument) -> None:
        before = self._history.position
        self._history.add(document)
        self._counters.published += 1
        if document.anew or before is None or before.incarnation != document.position.incarnation:
            self._reads_history = self._earlier is not None
            self._begun.set()
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
        self._above = names

    def _age_s(self) -> float | None:
        return self._lease.age_s(trio.current_time())

    @property
    def children(self) -> int:
        """That watch."""
        return len(self._watches)

    async def _read_histories(self, earlier: EarlierChanges) -> None:
        """After a restart children know a little less than the first list, which is all that they lack."""
        while True:
            await self._begun.wait()
            self._begun = trio.Event()
            with trio.move_on_after(HISTORY_WITHIN_S):
                await self._read_history(earlier)
            self._reads_history = self._begun.is_set()

    async def _read_history(self, earlier: EarlierChanges) -> None:
        begin = self._history.position
        assert begin is not None
        for revisions in HISTORY_REVISIONS:
            since = max(0, begin.revision - revisions)
            changes = await earlier(since, begin)
            if changes:
                with suppress(ValueError):  # another history has begun meanwhile, or changes have gone
                    taken = self._history.lead_in(since, changes)
                    self._counters.history_read += taken
                    events.history_read(changes=taken, revision=begin.revision)
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
                if error.errno in OUT_OF_SOCKETS_ERRNOS:
                    sockets_exhausted(error=error)
                    await trio.sleep(NO_DESCRIPTOR_S)
                continue
            self._counters.accepted += 1
            nursery.start_soon(self._connection, sock)

    async def end_watches(self, spread_s: float) -> None:
        """In order, evenly over that time; who asks meanwhile is sent elsewhere."""
        self._ending = True
        await self._watches.end_all(spread_s)

    async def _connection(self, sock: SocketType) -> None:
        """One connection's fault ends that connection."""
        try:
            without_delay(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            try:
                await self._talk(sock)
            except Refusal as error:
                self._count(error)
                source = None if self._history.position is None else self._source()
                await self._part(sock, refusal(error, source))
        except (OSError, trio.ClosedResourceError):  # the child has gone
            pass
        except Exception as error:
            self._counters.faults += 1
            events.connection_failed(error=error)
        finally:
            sock.close()

    async def _talk(self, sock: SocketType) -> None:
        """Request by request; a watch is the last."""
        reader = RequestReader(sock)
        goes_on = True
        while goes_on:
            with self._waiting(sock) as scope:
                request = await reader.next()
            if scope.cancelled_caught or request is None:
                return
            asked = read_request(request)
            with self._child():
                if isinstance(asked, WatchRequest):
                    await self._watch(sock, asked)
                    goes_on = False
                else:
                    goes_on = await self._whole_list(sock)

    @contextmanager
    def _waiting(self, sock: SocketType) -> Iterator[trio.CancelScope]:
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
    def _child(self) -> Iterator[None]:
        if self._ending:
            raise self._unavailable("this replica ends", ENDING_RETRY_S)
        if self._children >= self._limits.children:
            self._counters.children_refused += 1
            events.full(children=self._children)
            raise self._unavailable("there are as many children as may be", FULL_RETRY_S)
        self._children += 1
        try:
            yield
        finally:
            self._children -= 1

    def _unavailable(self, reason: str, spread_s: float) -> Refusal:
        retry_after_s = 1 + round(self._chance.uniform(0.0, spread_s))
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

    async def _part(self, sock: SocketType, answer: bytes) -> None:
        """Closing on unread bytes resets the connection and may take the answer with it: some are read."""
        await send(sock, answer)
        send_fin(sock)
        if self._parting >= MOST_PARTING:
            return
        self._parting += 1
        try:
            with trio.move_on_after(PARTING_S):
                await _read_away(sock, PARTING_BYTES)
        finally:
            self._parting -= 1

    # ---- lists and watches ----

    def _position(self) -> Position:
        if self._history.position is None:
            self._counters.not_ready += 1
            raise self._unavailable("there is no list yet", NOT_READY_RETRY_S)
        return self._history.position

    def _source(self) -> Source:
        via = (*self._above, self._name)
        return Source(self._position(), self._age_s(), via, self.children)

    @contextmanager
    def _admitted(self, size: int) -> Iterator[None]:
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

    async def _whole_list(self, sock: SocketType) -> bool:
        """Whether the child took it in time."""
        source, body = self._source(), self._history.whole()
        with self._admitted(len(body)):
            return await self._send_list(sock, whole_list_head(source, len(body)), body)

    async def _watch(self, sock: SocketType, asked: WatchRequest) -> None:
        """A child whose revision is past gets the whole list as its first line."""
        source = self._source()
        try:
            index = self._history.index_after(asked.revision, asked.incarnation)
        except FutureRevision:
            raise Refusal(HTTPStatus.GONE, f"{asked.revision} is of the future") from None
        except PastRevision:
            if self._reads_history:
                self._counters.not_ready += 1
                raise self._unavailable("the history is being read", NOT_READY_RETRY_S) from None
            index, body = self._history.end_index, self._history.whole()
            with self._admitted(len(body)):
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
                await _read_away(watch.sock, MOST_UNASKED_BYTES)
        finally:
            self._watches.close(watch)

    async def _send_list(self, sock: SocketType, *pieces: bytes) -> bool:
        """False: the child took too long. Those who are sent one list share its bytes."""
        sent = False
        try:
            with trio.move_on_after(LIST_WITHIN_S):
                await send_pieces(sock, [memoryview(piece) for piece in pieces])
                sent = True
        finally:
            self._counters.whole_lists_failed += not sent
        return sent


async def _read_away(sock: SocketType, most: int) -> None:
    """Until the child closes, or has sent that much."""
    while most > 0 and (data := await sock.recv(READ_BYTES)):
        most -= len(data)
