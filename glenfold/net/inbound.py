"""The clients' side: first lines in, one request each, and its final answer out."""

import errno
import math
import os
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import trio

from glenfold import events, lines
from glenfold import request as r
from glenfold.clock import SECOND_US, Clock
from glenfold.config import Config, Room
from glenfold.counters import Counters
from glenfold.decisions import Closed, Decisions, Taken
from glenfold.destinations import DestinationSet
from glenfold.net.outbound import OutboundCall, Unsent
from glenfold.net.passing import Passage
from glenfold.net.sockets import SocketType, finish, hung_up, receive_now, send, unread, without_delay
from linnetspread import interface as i

if TYPE_CHECKING:
    from glenfold.rules.group_parts import GroupParts  # loaded only where it is switched on

BACKLOG = 1024
INBOX = 16  # incidents of one request
FIRST_LINE_S = 2.0  # from the accept to a whole first line, PING included; 3 s are promised
LOOK_S = 0.05  # between two looks for the end of a client of whom no more is read before its answer
MOST_UNREAD = 1 << 15  # bytes of such a client: with some more the kernel takes none, nor the end behind them
PARTING_S = 0.3  # for a client to take an answer before its connection closes
PARTING_BYTES = 1 << 16  # read from it meanwhile: one that floods must not cost more
OUT_OF_SOCKETS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


@dataclass(slots=True)
class Relay:
    """What every inbound connection of a relay shares."""

    config: Config
    clock: Clock
    decisions: Decisions
    destinations: DestinationSet
    counters: Counters
    unheard: int = 0  # accepted, or being accepted, and no request yet; it may be told why it becomes none
    unanswered: int = 0
    ids: Counter[bytes] = field(default_factory=Counter)  # of the requests and connections open here
    standing: dict[Passage, float] = field(default_factory=dict)  # oldest first; the worth of each
    ready: trio.Event = field(default_factory=trio.Event)  # to go at the usual pace: PING waits for it
    answers_end: float = math.inf  # finite once it has been told to stop
    group_parts: "GroupParts | None" = None  # None: every group is placed as one
    _patience: set[trio.CancelScope] = field(default_factory=set)  # of the requests without their answer

    @property
    def owes(self) -> bool:
        """Some client has not had its answer yet, or stands and has not been told to move."""
        return bool(self.standing or self.unanswered or self.unheard)

    @contextmanager
    def grouped(self, event: i.Request) -> Iterator[i.Request]:
        """The request as the decisions are told of it: a member of a part, where its group is a large one. It
        counts as a member of its group until the end of the block."""
        if self.group_parts is None:
            yield event
            return
        servers = self.destinations.count
        part = self.group_parts.add_member(event.group, event.key, len(self.ids), servers)
        try:
            yield replace(event, group=part)
        finally:
            self.group_parts.remove_member(event.group)

    def end_by(self, moment: float) -> None:
        """Who still waits by then gets a final answer, however much longer it would."""
        self.answers_end = moment
        for scope in self._patience:
            scope.deadline = min(scope.deadline, moment)

    @contextmanager
    def patience(self, deadline: float) -> Iterator[None]:
        """Of one request, for its next incident."""
        with trio.move_on_at(min(deadline, self.answers_end)) as scope:
            self._patience.add(scope)
            try:
                yield
            finally:
                self._patience.discard(scope)


class Inbound:
    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._names = relay.config.names
        self._counters = relay.counters
        self._most_wait_ms = max(
            lines.MOST_WAIT_MS, *(kind.deadline_us // 1000 for kind in relay.config.settings.classes)
        )
        self._waiting: dict[SocketType, trio.CancelScope] = {}  # without a whole first line, oldest first
        self._taken = 0  # with one: two sides each
        self._refusing = 0
        self._spare: int | None = os.open(os.devnull, os.O_RDONLY)
        self.last_arrival = float("-inf")

    @property
    def _room(self) -> Room:
        """SIGHUP may have changed it."""
        return self._relay.config.room

    async def serve(self, listener: SocketType, nursery: trio.Nursery) -> None:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                if error.errno in OUT_OF_SOCKETS:
                    await self._refuse_without_socket(listener)
                elif error.errno == errno.EBADF:
                    raise
                continue
            self.last_arrival = trio.current_time()
            self._counters.accepted += 1
            self._make_room()
            line_by = min(self.last_arrival + FIRST_LINE_S, self._relay.answers_end)
            scope = self._waiting[sock] = trio.CancelScope(deadline=line_by)
            self._relay.unheard += 1
            nursery.start_soon(self._connection, sock, scope)

    def _make_room(self) -> None:
        """Clients that connect by the hundred and say nothing crowd out each other, never those that speak:
        a usual client's line is here when it is accepted, so the oldest without one gives way."""
        if len(self._waiting) >= self._room.waiting:
            self._waiting.pop(next(iter(self._waiting))).cancel()
            self._counters.crowded_out += 1

    async def _refuse_without_socket(self, listener: SocketType) -> None:
        """With no descriptor left, accept fails over and over: one kept spare lets a client be told."""
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None  # its number may be another's by the time that there is a spare again
        # Whoever pauses the accepting does not cut this client off, nor lose the spare.
        with trio.move_on_at(trio.current_time() + PARTING_S, shield=True):
            try:
                sock, _ = await listener.accept()
                self._counters.fail_fast += 1
                with sock:
                    await send(sock, self._busy())
            except (OSError, trio.ClosedResourceError):
                pass
        try:
            self._spare = os.open(os.devnull, os.O_RDONLY)
        except OSError as error:
            events.sockets_exhausted(error=error)
            await trio.sleep_until(trio.current_time() + PARTING_S)

    def _busy(self) -> bytes:
        settings = self._relay.config.settings
        return lines.busy(settings.max_retry_after_us if settings.may_retry_after else 0)

    async def _connection(self, sock: SocketType, scope: trio.CancelScope) -> None:
        """One connection's fault ends that connection, and is logged."""
        try:
            try:
                without_delay(sock)
                exchange = await self._talk(sock, scope)
            finally:
                self._relay.unheard -= 1
            if exchange is not None:
                await self._exchanged(exchange)
        except OSError as error:
            events.client_broke(error=error)
        except Exception as error:
            self._counters.faults += 1
            events.connection_failed(error=error)
        finally:
            self._waiting.pop(sock, None)
            sock.close()

    async def _talk(self, sock: SocketType, scope: trio.CancelScope) -> "Exchange | None":
        """None: the client has gone, or been told why it is no request."""
        buffer = lines.LineBuffer()
        end = None
        try:
            with scope:
                end = await self._first_line(sock, buffer)
            self._waiting.pop(sock, None)
            if scope.cancelled_caught:  # its line may have come just as it was given up
                buffer.wrote(receive_now(sock, buffer.room()))
                end = buffer.line_end()
            if end is None:
                if scope.cancelled_caught:
                    self._counters.silent_clients += 1
                    await self._say(sock, lines.FAILED)
                return None
            exchange = self._exchange(sock, buffer, end)
        except lines.Malformed as error:
            self._waiting.pop(sock, None)
            self._counters.malformed += 1
            events.client_malformed(count=self._counters.malformed, error=error)
            more = buffer.filled > (end or 0)
            await self._turn_away(sock, lines.FAILED, more)
            return None
        if self._taken >= self._room.taken:
            self._counters.fail_fast += 1
            await self._turn_away(sock, self._busy(), False)
            return None
        return exchange

    async def _exchanged(self, exchange: "Exchange") -> None:
        self._taken += 1
        try:
            await exchange.run()
        finally:
            self._taken -= 1

    async def _turn_away(self, sock: SocketType, answer: bytes, more: bool) -> None:
        """Closing on unread bytes resets the connection and may take the answer with it. So where there are
        `more`, some are read, but never a flood to its end."""
        await self._say(sock, answer)
        if not more or self._refusing >= self._room.refusing:
            return
        self._refusing += 1
        try:
            finish(sock)
            left = PARTING_BYTES
            with trio.move_on_at(trio.current_time() + PARTING_S):
                while left > 0 and (data := await sock.recv(left)):
                    left -= len(data)
        finally:
            self._refusing -= 1

    async def _say(self, sock: SocketType, answer: bytes) -> None:
        """A client that reads nothing must not hold its descriptor by that."""
        with trio.move_on_at(trio.current_time() + PARTING_S):
            await send(sock, answer)

    async def _first_line(self, sock: SocketType, buffer: lines.LineBuffer) -> int | None:
        """Where it ends in the buffer; None when the client has gone without one."""
        while True:
            while (end := buffer.line_end()) is None:
                count = await sock.recv_into(buffer.room())
                if not count and buffer.filled:
                    raise lines.Malformed("a first line is cut short")
                if not count:
                    return None
                buffer.wrote(count)
            if buffer.data[:end] != lines.PING + lines.END:
                return end
            buffer.drop(end)
            self._counters.pings += 1
            await self._relay.ready.wait()
            await send(sock, lines.PONG)

    def _exchange(self, sock: SocketType, buffer: lines.LineBuffer, end: int) -> "Exchange":
        first = lines.parse_open(buffer.data, end, self._most_wait_ms)
        exchange = Exchange(
            self._relay, sock, first, self._event(first), buffer.after(end), self._standing_at(first)
        )
        if exchange.goes_on:  # its client need not wait, and it may not be over yet where it was
            return exchange
        if buffer.filled > end:
            raise lines.Malformed("a client did not wait for its answer")
        if first.id in self._relay.ids:
            raise lines.Malformed("the id is that of another open request")
        return exchange

    def _event(self, first: lines.OpenLine) -> i.Request:
        request_class = self._names.classes.get(first.text(b"c"))
        if request_class is None:
            raise lines.Malformed("the class is unknown")
        return i.Request(
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
        )

    def _expires_in_us(self, first: lines.OpenLine) -> int:
        """A relay that ends has less time than its client: the decisions are to know."""
        left_s = max(0.0, self._relay.answers_end - trio.current_time())
        return int(min(first.wait_ms * 1000, left_s * SECOND_US))

    def _standing_at(self, first: lines.OpenLine) -> int | None:
        """The server of a connection that stood before this relay did."""
        if b"at" not in first.figures:
            return None
        server = self._relay.destinations.numbered(first.text(b"at"))
        if server is None:
            raise lines.Malformed("a connection stands at an unknown server")
        return server


class Exchange:
    """One request from its first line to its end. Everything that happens to it comes through its inbox,
    one incident at a time, so that `RequestState` alone says what follows."""

    def __init__(
        self,
        relay: Relay,
        sock: SocketType,
        first: lines.OpenLine,
        event: i.Request,
        early: bytes,
        stands_at: int | None,
    ) -> None:
        self._relay = relay
        self._sock = sock
        self._first = first
        self._event = event
        self._early = early
        self._stands_at = stands_at
        self.goes_on = event.mid_flow or stands_at is not None  # open already, and not begun here
        self._deadline_us = relay.clock.now_us() + event.expires_in_us
        self._state = r.RequestState(event.request, self._deadline_us)
        self._send, self._receive = trio.open_memory_channel[r.Incident](INBOX)
        self._call: OutboundCall | None = None

    async def run(self) -> None:
        with self._relay.grouped(self._event) as self._event:
            await self._run()

    async def _run(self) -> None:
        relay = self._relay
        relay.ids[self._first.id] += 1
        relay.counters.taken += 1
        relay.counters.existing += self._stands_at is not None
        relay.unanswered += 1
        try:
            try:
                receipt = await self._until_answered()
            finally:
                relay.unanswered -= 1
            if receipt is not None and self._call is not None and self._call.sock is not None:
                await self._stand(self._call.sock, receipt)
        finally:
            relay.ids[self._first.id] -= 1
            if not relay.ids[self._first.id]:
                del relay.ids[self._first.id]
            if self._call is not None:
                self._call.close()
            for effect in self._state.on(r.ClientGone(), relay.clock.now_us()):
                if isinstance(effect, r.Report):
                    await relay.decisions.tell(effect.event)
            await relay.decisions.tell(Closed(self._event.request))

    async def _until_answered(self) -> bytes | None:
        """The receipt of the server that took it, once the client has it; None after any other end."""
        server = self._stands_at
        taken = self._event if server is None else i.Existing(self._event, server)
        await self._relay.decisions.tell(Taken(taken, self._send.clone()))
        receipt = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_client)
            if server is not None:
                await self._carry_out(self._state.resume(server, self._relay.clock.now_us()), nursery)
            while self._state.phase in (r.Phase.TAKEN, r.Phase.CALLING):
                incident: r.Incident = r.DeadlinePassed()
                with self._relay.patience(self._relay.clock.to_trio(self._deadline_us)):
                    incident = await self._receive.receive()
                self._relay.counters.left += isinstance(incident, r.ClientGone)
                effects = self._state.on(incident, self._relay.clock.now_us())
                await self._carry_out(effects, nursery)
                if isinstance(incident, r.CallUp) and self._state.phase is r.Phase.STANDING:
                    receipt = incident.receipt
            nursery.cancel_scope.cancel()
        return receipt

    async def _carry_out(self, effects: list[r.Effect], nursery: trio.Nursery) -> None:
        counters = self._relay.counters
        for effect in effects:
            match effect:
                case r.StartCall(server, deadline_us):
                    counters.calls += 1
                    # Made here and not in its task, which a drop might come before.
                    self._call = self._new_call(server, deadline_us)
                    nursery.start_soon(self._outbound, self._call)
                case r.DropCall():
                    if self._call is not None:
                        self._call.close()
                case r.AnswerUp(receipt):
                    counters.answered_up += 1
                    await self._answer(receipt)
                case r.AnswerRefused(wait_us):
                    counters.answered_busy += 1
                    await self._answer(lines.busy(wait_us))
                case r.AnswerFailed():
                    counters.answered_failed += 1
                    await self._answer(lines.FAILED)
                case r.Report(event):
                    await self._relay.decisions.tell(event)
                case r.MoveClient():
                    pass  # only a standing connection is moved, and that one has its own task

    async def _answer(self, line: bytes) -> None:
        try:
            await send(self._sock, line)
        except OSError as error:  # the client has just gone: its end is seen where it is read from
            events.client_unanswered(request=self._state.number, error=error)

    async def _watch_client(self) -> None:
        """A client that goes before its answer is not worth a call, nor is one that does not wait for it.
        What it sends is kept: a connection that goes on here may send early, and any other when it has its
        answer, which it may have before this task is told to stop."""
        while len(self._early) < lines.MAX_LINE:
            try:
                data = await self._sock.recv(lines.MAX_LINE)
            except OSError:
                data = b""
            self._early += data
            if not data:
                return await self._send.send(r.ClientGone())
            if not self.goes_on:
                return await self._send.send(r.ClientSpoke())
        while not hung_up(self._sock):  # no more is read before it is up: its end stands behind that
            await trio.sleep_until(trio.current_time() + LOOK_S)
        await self._send.send(r.ClientGone())

    def _last_look(self, server: int, drained_after: float) -> Unsent | None:
        """drained_after: the server was ready then, as far as the decisions knew."""
        if (left := self._client_left()) is not None:
            self._relay.counters.left_unsent += 1
            return left
        if self._stands_at is not None or self._relay.destinations.ready(server):
            return None
        # What is new it would turn away; a connection in mid flow goes on there, as long as it may be sent.
        grace_s = self._relay.config.settings.drain_grace_us / 2 / SECOND_US
        if self.goes_on and trio.current_time() < drained_after + grace_s:
            return None
        return r.CallEnded(i.Outcome.CONNECT_FAILED)

    def _client_left(self) -> r.ClientGone | r.ClientSpoke | None:
        """Whether it is worth no attempt. Behind a flood its end can't be seen, so a flood counts as one, but
        for who stands already and has no other attempt."""
        if hung_up(self._sock):
            return r.ClientGone()
        floods = len(self._early) >= lines.MAX_LINE and unread(self._sock) > MOST_UNREAD
        return r.ClientSpoke() if floods and self._stands_at is None else None

    def _new_call(self, server: int, deadline_us: int) -> OutboundCall | None:
        address = self._relay.destinations.address(server)
        if address is None:
            return None
        now = trio.current_time()
        connect_by = now + self._relay.config.settings.connect_timeout_us / SECOND_US
        answer_by = min(self._relay.clock.to_trio(deadline_us), self._relay.answers_end)
        return OutboundCall(address, self._first, connect_by, answer_by, lambda: self._last_look(server, now))

    async def _outbound(self, call: OutboundCall | None) -> None:
        """A server that has just left the list has no address: the same as one that can't be reached."""
        ended = r.CallEnded(i.Outcome.CONNECT_FAILED)
        await self._send.send(ended if call is None else await call.run())

    async def _stand(self, server: SocketType, receipt: bytes) -> None:
        relay, state = self._relay, self._state
        passage = Passage(self._sock, server, self._load_heard)
        relay.standing[passage] = relay.config.settings.classes[self._event.request_class].worth
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._move_when_told, passage)
                await passage.run(self._early, receipt)
                nursery.cancel_scope.cancel()
        finally:
            relay.standing.pop(passage, None)  # it is gone already if its client was told to move
            relay.counters.ended += 1
            relay.counters.silent += passage.silent
            relay.counters.moved += passage.moved
            relay.counters.not_moved += passage.cut_off
        if passage.outcome in (i.Outcome.RESET, i.Outcome.ERROR):
            relay.counters.broken += 1
            events.connection_broke(request=state.number, server=state.server, outcome=passage.outcome)
        for effect in state.on(r.ConnectionEnded(passage.outcome), relay.clock.now_us()):
            if isinstance(effect, r.Report):
                await relay.decisions.tell(effect.event)

    async def _load_heard(self, load: float) -> None:
        await self._relay.decisions.tell(self._state.notice(i.NoticeKind.LOAD, load))

    async def _move_when_told(self, passage: Passage) -> None:
        while True:
            incident = await self._receive.receive()
            for effect in self._state.on(incident, self._relay.clock.now_us()):
                if isinstance(effect, r.MoveClient):
                    await passage.move()
                elif isinstance(effect, r.Report):  # its end had been seen while it came up
                    await self._relay.decisions.tell(effect.event)
