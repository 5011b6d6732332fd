"""Relays in virtual time: the real decisions and request states on one modelled core.

A `Relay` is one process of a relay. It does with `Call`s what `glenfold.net.inbound`, `passing` and
`outbound` do with sockets: it executes the effects of a `RequestState` in order and submits events to the
decisions one by one. Each step takes its CPU cost on the core, and later steps wait for it.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from glenfold import request as request_state
from glenfold.dispatch import Dispatch, RequestAction
from glenfold.net.inbound import LISTEN_BACKLOG
from glenfold.net.passing import SERVER_SILENCE_TIMEOUT_S
from glenfold.shutdown import ANSWER_POLL_S, ShutdownSchedule, move_order
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.relay_settings import Costs
from glenfold_lab.model.wire import Call, Machines
from glenfold_lab.observe import AttemptOutcome, End, Final, Watcher
from linnetspread import interface

SERVER_SILENCE_US = round(SERVER_SILENCE_TIMEOUT_S * SECOND_US)
LINE_DELAY_REPORT_US = SECOND_US  # A line that a relay delays for longer than this is reported.
CALL_UP = request_state.CallUp(b"")
CALL_ENDED = {
    AttemptOutcome.BUSY: request_state.CallEnded(interface.Outcome.FULL),
    AttemptOutcome.ERROR: request_state.CallEnded(interface.Outcome.ERROR),
    AttemptOutcome.REFUSED: request_state.CallEnded(interface.Outcome.CONNECT_FAILED),
    AttemptOutcome.RESET: request_state.CallEnded(interface.Outcome.RESET),
}
CLIENT_DISCONNECTED = request_state.ClientDisconnected()
DEADLINE_PASSED = request_state.DeadlinePassed()
CANCELLED = request_state.ConnectionEnded(interface.Outcome.CANCELLED)
BROKEN = request_state.ConnectionEnded(interface.Outcome.RESET)


@dataclass(slots=True, eq=False)
class Exchange:
    """One request, from its arrival at the relay's machine to its end.

    `client`, `scheme` and `group` are those of the client, as in `Call`.
    """

    relay: "Relay"
    client: int
    scheme: int
    group: int
    event: interface.Request
    state: request_state.RequestState
    call: Call | None = None


class ClientSide(Protocol):
    """The clients' ends of a relay's connections. Methods are called as the information leaves the relay."""

    def load(self, client: int) -> float:
        """Returns the client's current load, in microseconds of work per second."""

    def next_line(self, client: int) -> int:
        """Returns when the client sends its next line on its standing connection."""

    def is_reachable(self, exchange: Exchange) -> bool:
        """Returns whether the client is still connected and packets pass between it and the relay."""

    def answered_up(self, exchange: Exchange) -> None: ...

    def refused_or_failed(self, exchange: Exchange, wait_us: int) -> None:
        """Handles BUSY with a wait, or with `wait_us` 0 BUSY without a wait or a failure."""

    def connection_ended(self, exchange: Exchange, how: End) -> None:
        """Handles the end of the client's standing connection."""


@dataclass(frozen=True, slots=True)
class RelayContext:
    """Objects that all relays of a history share."""

    kernel: Kernel
    machines: Machines
    clients: ClientSide
    watcher: Watcher
    costs: Costs


class Relay:
    """One process of a relay, which starts with no connections."""

    def __init__(self, number: int, settings: interface.Settings, seed: int, context: RelayContext) -> None:
        self.number = number
        self.settings = settings
        self.alive = True
        self.dispatch = Dispatch(settings, seed, lambda text: None)
        self.exchanges: dict[int, Exchange] = {}  # Accepted and unfinished exchanges, by request.
        self._kernel = context.kernel
        self._machines = context.machines
        self._clients = context.clients
        self._watcher = context.watcher
        self._costs = context.costs
        self._events: deque[interface.Event] = deque()
        self._is_submitting = False
        self._steps: deque[tuple[int, Callable[..., None], tuple[Any, ...]]] = deque()
        self._busy_until = self._stalled_until = 0
        # Connections that the machine accepted and the process did not.
        self._backlog: dict[int, Exchange] = {}
        self._last_arrival = 0
        self._due: list[tuple[int, int, Exchange, Call | None]] = []  # Deadlines of requests and calls.
        self._sequence = 0
        self._wakes_at: int | None = None

    # ---- steps on the core ----

    def _run_step(self, cost: int, call: Callable[..., None], *values: Any) -> None:
        """Runs a step at once if the core is idle, which saves the queue, or queues it."""
        now = self._kernel.now
        if self._busy_until <= now and not self._steps:
            self._busy_until = now + cost
            call(*values)
            return
        self._steps.append((cost, call, values))
        if len(self._steps) == 1:
            self._kernel.at(self._busy_until, self._next_step)

    def _next_step(self) -> None:
        if not self.alive:
            return
        if self._busy_until <= self._kernel.now:  # Otherwise the relay has been stalled since.
            cost, call, values = self._steps[0]
            self._busy_until = self._kernel.now + cost
            call(*values)
            self._steps.popleft()
        if self._steps:
            self._kernel.at(self._busy_until, self._next_step)

    def stall(self, until: int) -> None:
        """Suspends the process until then; its machine still accepts connections."""
        self._stalled_until = max(self._stalled_until, until)
        self._busy_until = max(self._busy_until, until)

    # ---- from the list ----

    def receive_list(self, servers: interface.ServerList) -> None:
        if self.alive:
            self._run_step(self._costs.notice, self._submit, servers)

    # ---- from clients ----

    @property
    def standing(self) -> list[Exchange]:
        return [
            exchange
            for exchange in self.exchanges.values()
            if exchange.state.phase is request_state.Phase.STANDING
        ]

    def offer(self, exchange: Exchange, deadline: int) -> bool:
        """Takes a client's connection with its first line; returns False if the accept backlog is full.

        `deadline` is that of the client.
        """
        if len(self._backlog) >= LISTEN_BACKLOG:
            return False
        event = exchange.event
        self._last_arrival = self._kernel.now
        self._backlog[event.request] = exchange
        self._watcher.taken(self._kernel.now, event.request, self.number, deadline, event.request_class)
        self._run_step(self._costs.accept, self._accept, exchange)
        return True

    def _accept(self, exchange: Exchange) -> None:
        del self._backlog[exchange.event.request]
        if len(self.exchanges) >= self._costs.room.max_accepted:
            self._answer(exchange, Final.BUSY, self._max_retry_wait_us())
            return
        # The real relay also counts from the time at which it reads the line, however late.
        exchange.state.deadline_us = self._kernel.now + exchange.event.expires_in_us
        self.exchanges[exchange.event.request] = exchange
        self._add_deadline(exchange.state.deadline_us, exchange, None)
        self._submit(exchange.event)

    def _max_retry_wait_us(self) -> int:
        return self.settings.max_retry_after_us if self.settings.may_retry_after else 0

    def stand(self, exchange: Exchange) -> bool:
        """Adds a connection that stood before the history.

        Returns False if the relay has no room for it or the decisions name no server. The connection enters
        as an existing one, as in a real relay. The decisions choose its server, since a fleet that has run
        for long has been filled by these decisions: each choice sees the earlier ones, so the share of a full
        server has gone to other servers.
        """
        if len(self.exchanges) >= self._costs.room.max_accepted:
            return False
        now, event = self._kernel.now, exchange.event
        actions = self.dispatch.balancer.handle(now, event)
        for tries in range(self.settings.max_attempts):
            server = next(
                (action.server for action in actions if isinstance(action, interface.Attempt)), None
            )
            if server is None:
                return False
            call = self._new_call(exchange, server, now + event.expires_in_us)
            held = self._machines.resume(call)
            outcome = interface.Outcome.CANCELLED if held else interface.Outcome.FULL
            answer = interface.Answer(event.request, tries, server, outcome, 0, held)
            actions = self.dispatch.balancer.handle(now, answer)
            if held:
                self._resume(exchange, call)
                return True
        return False

    def _resume(self, exchange: Exchange, call: Call) -> None:
        now = self._kernel.now
        self.exchanges[exchange.event.request] = exchange
        # In pass-through mode the connection is mid-flow, so that its time is not taken for a set-up time.
        event = replace(exchange.event, mid_flow=self.settings.pass_through)
        self._submit(interface.Existing(event, call.server))
        exchange.state.resume(call.server, now)
        exchange.call = call
        for effect in exchange.state.on(CALL_UP, now + self._machines.way_us(call)):
            if isinstance(effect, request_state.Report):
                self._submit(effect.event)
        self._report_load(exchange, call.load)

    def client_left(self, exchange: Exchange) -> None:
        """Handles that the client closed its side, before or after the answer."""
        if self.alive:
            self._run_step(self._costs.notice, self._client_left, exchange)

    def _client_left(self, exchange: Exchange) -> None:
        if exchange.state.phase is request_state.Phase.STANDING:
            self._drop_call(exchange)
            self._on(exchange, CANCELLED)
        elif exchange.event.request in self.exchanges:
            self._on(exchange, CLIENT_DISCONNECTED)

    def move_to_other_relay(self, exchange: Exchange) -> None:
        """Handles that the packets of a standing connection reach another relay from now on."""
        if exchange.call is not None:
            self._machines.park(exchange.call)
            exchange.call = None
        if self.alive:
            self._run_step(self._costs.notice, self._on, exchange, CANCELLED)

    def load_changed(self, exchange: Exchange, load: float) -> None:
        """Handles a new load, which the server reports among its lines."""
        self._run_step(self._costs.notice, self._line_passed, exchange, load, self._kernel.now)

    def _line_passed(self, exchange: Exchange, load: float, since: int) -> None:
        # Time during which the process was suspended does not count.
        late = self._kernel.now - max(since, self._stalled_until)
        if late > LINE_DELAY_REPORT_US:
            self._watcher.held_back(self._kernel.now, exchange.event.request, late)
        self._report_load(exchange, load)

    def _report_load(self, exchange: Exchange, load: float) -> None:
        if exchange.state.phase is request_state.Phase.STANDING:
            self._submit(exchange.state.notice(interface.NoticeKind.LOAD, load))

    # ---- from push servers ----

    def replied(self, call: Call, over: AttemptOutcome) -> None:
        if self.alive:
            self._run_step(self._costs.reply, self._replied, call, over)

    def _replied(self, call: Call, over: AttemptOutcome) -> None:
        exchange = self._caller(call)
        if exchange is None:
            return
        if over is AttemptOutcome.UP:
            self._on(exchange, CALL_UP)
            self._report_load(exchange, call.load)  # The load follows the receipt directly.
        else:
            exchange.call = None
            self._on(exchange, CALL_ENDED[over])

    def ended(self, call: Call, how: End) -> None:
        if self.alive:
            self._run_step(self._costs.notice, self._ended, call, how)

    def _ended(self, call: Call, how: End) -> None:
        exchange = self._caller(call)
        if exchange is not None:
            exchange.call = None
            self._end(exchange, how, CANCELLED if how is End.MOVED else BROKEN)

    def _caller(self, call: Call) -> Exchange | None:
        """Returns the exchange of a call, or None if the call has been closed."""
        exchange = self.exchanges.get(call.request)
        return exchange if exchange is not None and exchange.call is call else None

    def fell_silent(self, call: Call) -> None:
        exchange = self._caller(call)
        if exchange is not None:
            self._kernel.at(self._clients.next_line(exchange.client), self._await_line_answer, call)

    def _await_line_answer(self, call: Call) -> None:
        """Starts the wait for an answer to a line that the client has sent."""
        exchange = self._caller(call)
        if exchange is None or not self._clients.is_reachable(exchange):
            return
        answer_time_us = self._machines.answer_us(call)
        if answer_time_us is None or answer_time_us >= SERVER_SILENCE_US:
            self._kernel.after(SERVER_SILENCE_US, self._handle_silence, call, answer_time_us)

    def _handle_silence(self, call: Call, answer_time_us: int | None) -> None:
        exchange = self._caller(call)
        if exchange is None:
            return
        if answer_time_us is None and self._machines.answer_us(call) is not None:
            self.fell_silent(call)  # The server is back and has answered.
        else:
            self._run_step(self._costs.notice, self._move, exchange, BROKEN)

    # ---- decisions and states ----

    def _submit(self, event: interface.Event) -> None:
        """Submits events to the decisions one by one, as the channel to the real task does."""
        self._events.append(event)
        if self._is_submitting:
            return
        self._is_submitting = True
        while self._events:
            self._apply(self.dispatch.handle(self._kernel.now, self._events.popleft()))
        self._is_submitting = False
        due = self.dispatch.next_timer_us
        if due is not None:
            self._wake_at(due)

    def _apply(self, actions: list[RequestAction]) -> None:
        for action in actions:
            exchange = self.exchanges.get(action.request)
            if exchange is not None:
                self._on(exchange, action)

    def _on(self, exchange: Exchange, event_input: request_state.Input) -> None:
        for effect in exchange.state.on(event_input, self._kernel.now):
            match effect:
                case request_state.Report(event):
                    self._submit(event)
                case request_state.StartCall(server, deadline_us):
                    self._start_call(exchange, server, deadline_us)
                case request_state.AnswerUp():
                    self._answer(exchange, Final.UP, 0)
                case request_state.DropCall():
                    self._drop_call(exchange)
                case request_state.AnswerRefused(wait_us):
                    self._answer(exchange, Final.BUSY, wait_us)
                case request_state.AnswerFailed():
                    self._answer(exchange, Final.ERROR, 0)
                case request_state.MoveClient():
                    self._busy_until += self._costs.notice
                    self._move(exchange, CANCELLED)
        if exchange.state.phase is request_state.Phase.FINISHED:
            self.exchanges.pop(exchange.event.request, None)

    def _answer(self, exchange: Exchange, final: Final, wait_us: int) -> None:
        number, wait = exchange.event.request, wait_us // 1000 * 1000  # The protocol line holds milliseconds.
        if final is Final.UP:
            self._watcher.answered(self._kernel.now, number, final, exchange.state.server, 0)
            self._clients.answered_up(exchange)
        else:
            self._watcher.answered(self._kernel.now, number, final, None, wait)
            self._clients.refused_or_failed(exchange, wait)

    def _move(self, exchange: Exchange, why: request_state.ConnectionEnded) -> None:
        if exchange.state.phase is request_state.Phase.STANDING:
            self._drop_call(exchange)
            self._end(exchange, End.MOVED, why)

    def _end(self, exchange: Exchange, how: End, why: request_state.ConnectionEnded) -> None:
        self._clients.connection_ended(exchange, how)
        self._on(exchange, why)

    # ---- calls ----

    def _new_call(self, exchange: Exchange, server: int, deadline_us: int) -> Call:
        event = exchange.event
        return Call(
            event.request,
            self.number,
            server,
            event.request_class,
            exchange.scheme,
            exchange.group,
            exchange.client,
            self._clients.load(exchange.client),
            deadline_us,
            event.mid_flow,
            self,
        )

    def _start_call(self, exchange: Exchange, server: int, deadline_us: int) -> None:
        self._busy_until += self._costs.call
        call = exchange.call = self._new_call(exchange, server, deadline_us)
        self._machines.call(call)
        wait_us = deadline_us - self._kernel.now
        if not call.sent_at:
            wait_us = min(wait_us, self.settings.connect_timeout_us)
        self._add_deadline(self._kernel.now + wait_us, exchange, call)

    def _drop_call(self, exchange: Exchange) -> None:
        if exchange.call is not None:
            self._machines.close(exchange.call)
            exchange.call = None

    # ---- deadlines ----

    def _add_deadline(self, deadline: int, exchange: Exchange, call: Call | None) -> None:
        self._sequence += 1
        heapq.heappush(self._due, (deadline, self._sequence, exchange, call))
        self._wake_at(deadline)

    def _wake_at(self, deadline: int) -> None:
        if self._wakes_at is None or deadline < self._wakes_at:
            self._wakes_at = deadline
            self._kernel.at(deadline, self._wake, deadline)

    def _wake(self, deadline: int) -> None:
        if self.alive and deadline == self._wakes_at:
            self._wakes_at = None
            self._run_step(0, self._fire)

    def _fire(self) -> None:
        now, due = self._kernel.now, self._due
        self._apply(self.dispatch.fire(now))
        while due and (due[0][0] <= now or not self._is_awaited(*due[0][2:])):
            _, _, exchange, call = heapq.heappop(due)
            if self._is_awaited(exchange, call):
                self._handle_deadline(exchange, call)
        deadlines = [due[0][0]] if due else []
        timer = self.dispatch.next_timer_us
        if timer is not None:
            deadlines.append(timer)
        if deadlines:
            self._wake_at(min(deadlines))

    @staticmethod
    def _is_awaited(exchange: Exchange, call: Call | None) -> bool:
        phase = exchange.state.phase
        return (
            phase is request_state.Phase.CALLING
            and (call is None or call is exchange.call)
            or (phase is request_state.Phase.DECIDING and call is None)
        )

    def _handle_deadline(self, exchange: Exchange, call: Call | None) -> None:
        if call is None:
            self._on(exchange, DEADLINE_PASSED)
            return
        self._drop_call(exchange)
        outcome = interface.Outcome.TIMEOUT if call.sent_at else interface.Outcome.CONNECT_FAILED
        self._on(exchange, request_state.CallEnded(outcome))

    # ---- its end ----

    def terminate(self) -> list[Exchange]:
        """Ends the process and returns its exchanges, including those that only its machine had accepted.

        Its connections are reset, or parked at their servers in pass-through mode.
        """
        self.alive = False
        held = [*self.exchanges.values(), *self._backlog.values()]
        for exchange in held:
            if exchange.call is None:
                continue
            if self.settings.pass_through and exchange.state.phase is request_state.Phase.STANDING:
                self._machines.park(exchange.call)
            else:
                self._machines.close(exchange.call)
            exchange.call = None
        self.exchanges, self._backlog = {}, {}
        self._steps.clear()
        self._due.clear()
        return held

    def leave(self, on_exit: Callable[[], None]) -> int:
        """Handles SIGTERM: answers all requests and sends MOVE to the clients of all standing connections.

        `on_exit` is called when the process exits. Returns the deadline for this exit.
        """
        leaving = ShutdownSchedule(self._kernel.now / SECOND_US, self.settings)
        begin = leaving.moves_start_at(len(self.standing))
        self._kernel.at(round(begin * SECOND_US), self._leave, leaving, set(), [], on_exit)
        return round(leaving.exit_at * SECOND_US)

    def _leave(
        self,
        leaving: ShutdownSchedule,
        notified: set[int],
        remaining: list[Exchange],
        on_exit: Callable[[], None],
    ) -> None:
        if not self.alive:
            return
        if self._stalled_until > self._kernel.now:
            self._kernel.at(self._stalled_until, self._leave, leaving, notified, remaining, on_exit)
            return
        now = self._kernel.now / SECOND_US
        while remaining and remaining[-1].state.phase is not request_state.Phase.STANDING:
            remaining.pop()
        if not remaining:
            worths = {
                exchange: self.settings.classes[exchange.event.request_class].worth
                for exchange in self.standing
                if exchange.event.request not in notified
            }
            remaining = move_order(worths, leaving.is_short_of_time)[::-1]
        arriving = now < leaving.arrivals_end_at(self._last_arrival / SECOND_US)
        if now >= leaving.exit_at or not (remaining or arriving or self.exchanges or self._backlog):
            on_exit()
            return
        if arriving:
            self._kernel.after(
                round(ANSWER_POLL_S * SECOND_US), self._leave, leaving, notified, remaining, on_exit
            )
            return
        step = leaving.step(now, len(notified) * self._costs.notice / SECOND_US, len(remaining))
        for _ in range(step.moves):
            notified.add(remaining[-1].event.request)
            self._run_step(self._costs.notice, self._move, remaining.pop(), CANCELLED)
        self._kernel.at(
            max(self._kernel.now, round(step.next_at * SECOND_US)),
            self._leave,
            leaving,
            notified,
            remaining,
            on_exit,
        )
