"""One request from its first line to its end, and the state that all requests of a relay share."""

import math
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import trio

from glenfold import events, lines, request
from glenfold.clock import SECOND_US, Clock
from glenfold.config import Config
from glenfold.counters import Counters
from glenfold.decisions import Closed, Decisions, Taken
from glenfold.destinations import DestinationSet
from glenfold.net.closing import CLIENT_STALL_TIMEOUT_S
from glenfold.net.outbound import CallFailure, CallLimits, OutboundCall
from glenfold.net.passing import StandingConnection
from glenfold.net.sockets import SocketType, hung_up, send, unread_bytes
from linnetspread import interface

if TYPE_CHECKING:
    from glenfold.rules.group_parts import GroupParts  # imported at run time only where the feature is on

INBOX_CAPACITY = 16  # Inputs of one request that wait to be processed.
HANGUP_POLL_S = 0.05  # Between checks for a hang-up of a client that is not read any more.
# Unread bytes of a client above which a flood is assumed. With somewhat more the kernel's buffer is full, and
# the end of the stream behind them can't be seen.
MAX_UNREAD_BYTES = 1 << 15


@dataclass(slots=True)
class Relay:
    """State that all inbound connections of a relay share."""

    config: Config
    clock: Clock
    decisions: Decisions
    destinations: DestinationSet
    counters: Counters
    # Clients accepted or being accepted that have sent no request yet, or are being refused.
    awaiting_first_line: int = 0
    unanswered: int = 0  # requests without a final answer
    ids: Counter[bytes] = field(default_factory=Counter)  # ids of the open requests and connections
    connections: set[StandingConnection] = field(default_factory=set)  # until the client's side is closed
    # Worth of each standing connection whose client was not told to move, oldest first.
    standing: dict[StandingConnection, float] = field(default_factory=dict)
    ready: trio.Event = field(default_factory=trio.Event)  # set once ready for full load; PONG waits for it
    # Set once all clients were told to move, None before a stopping relay begins to tell them. Until then no
    # time is spent on waiting for those that were told already.
    moves_sent: trio.Event | None = None
    answers_end: float = math.inf  # deadline of all answers, finite once the relay has been told to stop
    group_parts: "GroupParts | None" = None  # None if large groups are not split into parts
    _time_limits: set[trio.CancelScope] = field(default_factory=set)  # scopes of the unanswered requests

    @property
    def has_pending_clients(self) -> bool:
        """Whether some client still waits for its answer, or is connected and may still be sent something."""
        return bool(self.connections or self.unanswered or self.awaiting_first_line)

    @contextmanager
    def grouped(self, event: interface.Request) -> Iterator[interface.Request]:
        """Yields the request for the decisions, with a large group replaced by one of its parts.

        The request counts as a member of its group until the end of the block.
        """
        if self.group_parts is None:
            yield event
            return
        servers = self.destinations.count
        part = self.group_parts.add_member(event.group, event.key, len(self.ids), servers)
        try:
            yield replace(event, group=part)
        finally:
            self.group_parts.remove_member(event.group)

    @property
    def client_stall_timeout_s(self) -> float:
        """The time for which a client may take nothing of what it was sent, before its connection closes.

        A relay that was told to stop waits until its end, as its clients can't be told again.
        """
        return CLIENT_STALL_TIMEOUT_S if math.isinf(self.answers_end) else math.inf

    def limit_answers(self, deadline: float) -> None:
        """Ends the wait of all requests at `deadline`: those without an answer get a final one then."""
        self.answers_end = deadline
        for scope in self._time_limits:
            scope.deadline = min(scope.deadline, deadline)

    @contextmanager
    def time_limit(self, deadline: float) -> Iterator[None]:
        """Limits the wait of one request for its next input to `deadline` and the end of all answers."""
        with trio.move_on_at(min(deadline, self.answers_end)) as scope:
            self._time_limits.add(scope)
            try:
                yield
            finally:
                self._time_limits.discard(scope)


class Exchange:
    """One request from its first line to its end.

    Everything that happens to the request passes through its inbox, one input at a time, so that
    `RequestState` alone decides what follows.
    """

    def __init__(
        self,
        relay: Relay,
        sock: SocketType,
        first: lines.OpenLine,
        event: interface.Request,
        early: bytes,
        existing_server: int | None,
    ) -> None:
        self._relay = relay
        self._sock = sock
        self._first = first
        self._request = event
        self._early = early
        self._existing_server = existing_server
        self.is_continuation = event.mid_flow or existing_server is not None  # its connection began elsewhere
        self._deadline_us = relay.clock.now_us() + event.expires_in_us
        self._state = request.RequestState(event.request, self._deadline_us)
        self._inbox_sender, self._inbox_receiver = trio.open_memory_channel[request.Input](INBOX_CAPACITY)
        self._call: OutboundCall | None = None

    async def run(self) -> None:
        """Runs the request, and the connection that comes of it, to the end."""
        with self._relay.grouped(self._request) as self._request:
            await self._run()

    async def _run(self) -> None:
        relay = self._relay
        relay.ids[self._first.id] += 1
        relay.counters.taken += 1
        relay.counters.existing += self._existing_server is not None
        relay.unanswered += 1
        try:
            try:
                receipt = await self._run_until_answered()
            finally:
                relay.unanswered -= 1
            if receipt is not None and self._call is not None and self._call.sock is not None:
                await self._pass_lines(self._call.sock, receipt)
        finally:
            if self._call is not None:
                self._call.close()
            try:
                await self._report_end()
            finally:
                # The id is free once the decisions know how its request ended.
                relay.ids[self._first.id] -= 1
                if not relay.ids[self._first.id]:
                    del relay.ids[self._first.id]

    async def _report_end(self) -> None:
        """Reports to the decisions what they don't know yet of the end of the request."""
        for effect in self._state.on(request.ClientDisconnected(), self._relay.clock.now_us()):
            if isinstance(effect, request.Report):
                await self._relay.decisions.submit(effect.event)
        await self._relay.decisions.submit(Closed(self._request.request))

    async def _run_until_answered(self) -> bytes | None:
        """Returns the receipt of the server that accepted the request, after it was sent to the client.

        Returns None if the request ended in any other way.
        """
        server = self._existing_server
        taken = self._request if server is None else interface.Existing(self._request, server)
        await self._relay.decisions.submit(Taken(taken, self._inbox_sender.clone()))
        receipt = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_client)
            if server is not None:
                await self._carry_out(self._state.resume(server, self._relay.clock.now_us()), nursery)
            while self._state.phase in (request.Phase.DECIDING, request.Phase.CALLING):
                step_input: request.Input = request.DeadlinePassed()
                with self._relay.time_limit(self._relay.clock.to_trio(self._deadline_us)):
                    step_input = await self._inbox_receiver.receive()
                self._relay.counters.left += isinstance(step_input, request.ClientDisconnected)
                effects = self._state.on(step_input, self._relay.clock.now_us())
                await self._carry_out(effects, nursery)
                if isinstance(step_input, request.CallUp) and self._state.phase is request.Phase.STANDING:
                    receipt = step_input.receipt
            nursery.cancel_scope.cancel()
        return receipt

    async def _carry_out(self, effects: list[request.Effect], nursery: trio.Nursery) -> None:
        counters = self._relay.counters
        for effect in effects:
            match effect:
                case request.StartCall():
                    counters.calls += 1
                    # Created here and not in its task, because DropCall may come before that task starts.
                    self._call = self._new_call(effect)
                    nursery.start_soon(self._run_call, self._call)
                case request.DropCall():
                    if self._call is not None:
                        self._call.close()
                case request.AnswerUp(receipt):
                    counters.answered_up += 1
                    await self._answer(lines.whole_lines(receipt))  # the rest follows once it is complete
                case request.AnswerRefused(wait_us):
                    counters.answered_busy += 1
                    await self._answer(lines.busy_line(wait_us))
                case request.AnswerFailed():
                    counters.answered_failed += 1
                    await self._answer(lines.FAILED)
                case request.Report(event):
                    await self._relay.decisions.submit(event)
                case request.MoveClient():
                    pass  # applies to standing connections only, which have a task of their own

    async def _answer(self, line: bytes) -> None:
        try:
            await send(self._sock, line)
        except OSError as error:  # the client disconnected; the task that reads from it sees that
            events.client_unanswered(request=self._state.number, error=error)

    async def _watch_client(self) -> None:
        """Reports a client that disconnects, or sends data too early, before its answer.

        Neither is worth a call to a server. The data is kept: a connection that continues from elsewhere may
        send early, and any other client may send once it has its answer, possibly before this task is
        cancelled.
        """
        while len(self._early) < lines.MAX_LINE_BYTES:
            try:
                data = await self._sock.recv(lines.MAX_LINE_BYTES)
            except OSError:
                data = b""
            self._early += data
            if not data:
                return await self._inbox_sender.send(request.ClientDisconnected())
            if not self.is_continuation:
                return await self._inbox_sender.send(request.ClientSentEarly())
        while not hung_up(self._sock):  # no more is read before UP, and the end is behind unread data
            await trio.sleep_until(trio.current_time() + HANGUP_POLL_S)
        await self._inbox_sender.send(request.ClientDisconnected())

    def _check_before_send(self, server: int, drained_after: float) -> CallFailure | None:
        """Returns why the line must not be sent to `server`, or None.

        `drained_after` is the time at which the server was ready as far as the decisions knew.
        """
        if (departed := self._departed_client()) is not None:
            self._relay.counters.left_unsent += 1
            return departed
        if self._existing_server is not None or self._relay.destinations.is_ready(server):
            return None
        # A draining server refuses new connections. It accepts one in mid-flow during the drain grace, of
        # which half is used here.
        grace_s = self._relay.config.settings.drain_grace_us / 2 / SECOND_US
        if self.is_continuation and trio.current_time() < drained_after + grace_s:
            return None
        return request.CallEnded(interface.Outcome.CONNECT_FAILED)

    def _departed_client(self) -> request.ClientDisconnected | request.ClientSentEarly | None:
        """Returns why the client is not worth an attempt, or None.

        The end of a client's stream can't be seen behind a flood of data, so a flood counts as an end. A
        client whose connection stands already at a server is exempt: it has no other attempt.
        """
        if hung_up(self._sock):
            return request.ClientDisconnected()
        floods = len(self._early) >= lines.MAX_LINE_BYTES and unread_bytes(self._sock) > MAX_UNREAD_BYTES
        return request.ClientSentEarly() if floods and self._existing_server is None else None

    def _new_call(self, start: request.StartCall) -> OutboundCall | None:
        address = self._relay.destinations.address(start.server)
        if address is None:
            return None
        now, clock = trio.current_time(), self._relay.clock
        limits = CallLimits(
            connect_by=now + self._relay.config.settings.connect_timeout_us / SECOND_US,
            send_by=math.inf if start.send_by_us is None else clock.to_trio(start.send_by_us),
            answer_by=min(clock.to_trio(start.deadline_us), self._relay.answers_end),
        )
        return OutboundCall(address, self._first, limits, lambda: self._check_before_send(start.server, now))

    async def _run_call(self, call: OutboundCall | None) -> None:
        """Runs `call` and puts its result into the inbox.

        `call` is None if the server has just left the list: that counts as a failed connection.
        """
        ended = request.CallEnded(interface.Outcome.CONNECT_FAILED)
        result = ended if call is None else await call.run()
        self._relay.counters.repeats_unsent += result == request.CallEnded(interface.Outcome.MOOT)
        await self._inbox_sender.send(result)

    async def _pass_lines(self, server: SocketType, receipt: bytes) -> None:
        relay = self._relay
        standing_connection = StandingConnection(self._sock, server, self._on_load)
        relay.connections.add(standing_connection)
        try:
            await self._run_standing(standing_connection, receipt)
            standing_connection.half_close_client()
            if relay.moves_sent is not None and standing_connection.moved:
                await relay.moves_sent.wait()  # an end that comes from a side is passed on at once
            await standing_connection.wait_for_client(relay.client_stall_timeout_s)
        finally:
            standing_connection.close_client()
            relay.connections.discard(standing_connection)
            relay.counters.moved += standing_connection.moved
            relay.counters.not_moved += standing_connection.cut_off

    async def _run_standing(self, standing_connection: StandingConnection, receipt: bytes) -> None:
        """Passes lines until the connection ends, and reports its end to the decisions."""
        relay, state = self._relay, self._state
        relay.standing[standing_connection] = relay.config.settings.classes[self._request.request_class].worth
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._move_on_request, standing_connection)
                early, self._early = self._early, b""  # not kept for as long as the connection stands
                await standing_connection.run(early, receipt)
                nursery.cancel_scope.cancel()
        finally:
            relay.standing.pop(standing_connection, None)  # already removed if its client was sent MOVE
            relay.counters.ended += 1
            relay.counters.silent += standing_connection.silent
        if standing_connection.outcome in (interface.Outcome.RESET, interface.Outcome.ERROR):
            relay.counters.broken += 1
            events.connection_broke(
                request=state.number, server=state.server, outcome=standing_connection.outcome
            )
        for effect in state.on(request.ConnectionEnded(standing_connection.outcome), relay.clock.now_us()):
            if isinstance(effect, request.Report):
                await relay.decisions.submit(effect.event)

    async def _on_load(self, load: float) -> None:
        await self._relay.decisions.submit(self._state.notice(interface.NoticeKind.LOAD, load))

    async def _move_on_request(self, standing_connection: StandingConnection) -> None:
        while True:
            step_input = await self._inbox_receiver.receive()
            for effect in self._state.on(step_input, self._relay.clock.now_us()):
                if isinstance(effect, request.MoveClient):
                    await standing_connection.move()
                elif isinstance(
                    effect, request.Report
                ):  # the end of the client was seen while the call came up
                    await self._relay.decisions.submit(effect.event)
