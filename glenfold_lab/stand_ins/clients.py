"""Stand-ins for clients on sockets, with the arrivals and habits that the model draws.

The state machine of one connection is `glenfold_lab.load.client`; this module has what a client does between
two connections. Times are microseconds of the machine's clock.
"""

import math
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum, auto

import numpy as np
import trio

from glenfold_lab.load.client import (
    LINE_TIMEOUT_US,
    Answer,
    Answered,
    Broken,
    ClientState,
    Connected,
    ConnectionEnded,
    ConnectionOptions,
    Due,
    Effect,
    EndReason,
    Input,
    LineAnswered,
    LineSent,
    Phase,
    Received,
    ReceivedEof,
    Send,
    SendEof,
    UnexpectedLine,
)
from glenfold_lab.model.clients import (
    ANSWER_MARGIN_US,
    LINE_INTERVAL_US,
    REROUTED_PACKET_US,
    SYN_RETRY_US,
    ClientBehavior,
)
from glenfold_lab.model.population import Drawn
from glenfold_lab.observe import End, Final
from glenfold_lab.spec import Scenario
from glenfold_lab.stand_ins.front import SocketFront
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.seal import Seal
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.service import SecondCounts, ServicePeriod, ServiceSeconds
from glenfold_lab.stand_ins.sockets import (
    SocketType,
    reset_on_close,
    send_all,
    shutdown_send,
    since_arrival_us,
)
from linnetspread.choice import SEEDS, mix

READ_BYTES = 4096
# A relay closes both sides of a connection within a second after MOVE.
MAX_LINGER_S = 2.0
LINGER_GAP_S = 0.1
MAX_LINE_DELAY_US = SECOND_US

FINAL_BY_ANSWER = {
    Answer.UP: Final.UP,
    Answer.BUSY: Final.BUSY,
    Answer.ERROR: Final.ERROR,
    Answer.CLOSED: Final.CLOSED,
    Answer.RESET: Final.CLOSED,
}
ANSWER_WORDS = {b"UP": Final.UP, b"BUSY": Final.BUSY, b"ERR": Final.ERROR}


class Outcome(Enum):
    """How one connection, or the attempt to get one, ended for its client."""

    DONE = auto()  # The client needs the connection no longer.
    REFUSED = auto()  # The relay refused or failed; another attempt follows.
    UNREACHED = auto()  # The connect got no answer; TCP sends the SYN again.
    MOVED = auto()  # The connection stood, and the client was told to reconnect.
    BROKEN = auto()  # The connection stood and broke.
    REROUTED = auto()  # The connection stands, but its packets arrive at another relay.
    DROPPED = auto()  # The client lost the connection in a drop of many.


@dataclass(slots=True, eq=False)
class Client:
    """One client: first its drawn properties, then its present state.

    `stood_before` says that the connection stood before the history, on `host` if a push server was chosen
    for it. `first_ask` is the time of the first request for the connection that the client wants now.
    `advised_us` is the wait that the last BUSY asked for, and `away_us` the time away after a drop.
    """

    stood_before: bool
    number: int
    at: int
    until: int
    kind: int
    scheme: int
    zone: int
    key: int
    group: int
    load: float
    pace: float
    rejoin: float
    honours: bool
    host: str | None = None
    first_ask: int = 0
    tries: int = 0
    turn: int = 0
    relay: int = -1
    mid_flow: bool = False
    returning: bool = False
    advised_us: int = 0
    away_us: int = 0


def clients_from(drawn: Drawn, first: int, stood_before: bool) -> Iterator[Client]:
    """Yields the drawn clients; `first` is the number of the first one."""
    columns = (
        drawn.at,
        drawn.until,
        drawn.request_class,
        drawn.scheme,
        drawn.zone,
        drawn.key,
        drawn.group,
        drawn.load,
        drawn.pace,
        drawn.rejoin,
        drawn.honours,
    )
    for number, row in enumerate(zip(*(column.tolist() for column in columns), strict=True), first):
        yield Client(stood_before, number, *row)


@dataclass(slots=True, eq=False)
class ClientPool:
    """All clients of one process.

    `part` is the number of the process, which keeps request ids unique across processes. `start` is the start
    of the history, and after `end` no client sends another request. `server_numbers` holds the numbers of
    push servers by host.
    """

    scenario: Scenario
    habits: ClientBehavior
    front: SocketFront
    seal: Seal
    seen: Seen
    clock: MachineClock
    server_numbers: dict[str, int]
    reshuffle: float
    part: int
    start: int
    end: int
    served: ServiceSeconds
    current_second: SecondCounts = field(default_factory=lambda: SecondCounts(0))
    standing: dict["Connection", None] = field(default_factory=dict)
    _request_count: int = 0
    _relay_set_changes: int = 0

    def __post_init__(self) -> None:
        self.front.on_change.append(self._relay_set_changed)

    # ---- tasks of clients ----

    async def open_standing(self, clients: list[Client], begin: int) -> None:
        """Opens the connections that stood before the history, spread evenly from `begin` to the start.

        Returns once all these clients have ended.
        """
        async with trio.open_nursery() as nursery:
            for index, client in enumerate(clients):
                await self.clock.until(begin + (self.start - begin) * index // len(clients))
                nursery.start_soon(self._run_client, client)

    async def run_arrivals(self, clients: Iterable[Client]) -> None:
        """Starts each client at its time; returns once all have ended."""
        async with trio.open_nursery() as nursery:
            for client in clients:
                await self.clock.until(client.at)
                nursery.start_soon(self._run_client, client)

    async def _run_client(self, client: Client) -> None:
        until, client.first_ask = min(client.until, self.end), client.at
        self.served.add(self.served.wanted, client.kind, client.at, client.until)
        with trio.CancelScope(deadline=self.clock.to_trio(until)) as asking:
            while client.tries <= self.scenario.clients.retries:
                outcome = await self._attempt(client, asking)
                asking.deadline = self.clock.to_trio(until)
                if outcome is Outcome.DONE:
                    return
                pause = await self._pause_us(client, outcome)
                next_ask = self.clock.now_us() + pause
                # A client that had a connection wants it back.
                if outcome not in (Outcome.REFUSED, Outcome.UNREACHED):
                    client.first_ask = next_ask
                await self.clock.until(next_ask)

    async def _attempt(self, client: Client, asking: trio.CancelScope) -> Outcome:
        """Makes one attempt and waits for its end.

        The deadline of `asking` is lifted, as an open connection ends with QUIT by itself.
        """
        relay = self.front.relay_for(
            client.zone, client.key, client.turn, client.relay if client.mid_flow else -1
        )
        client.turn += 1
        if relay is None or not self.front.reaches(relay):
            await self.clock.until(
                self.clock.now_us() + self.habits.deadlines[client.kind] + ANSWER_MARGIN_US
            )
            return Outcome.REFUSED
        client.relay = relay
        self._request_count += 1
        request = (self.part + 1) << 40 | self._request_count
        asking.deadline = math.inf
        return await Connection(self, client, relay, request).run()

    # ---- between two attempts ----

    async def _pause_us(self, client: Client, outcome: Outcome) -> int:
        if outcome is Outcome.REROUTED:
            await self.front.wait_until_settled(client.relay)
            client.mid_flow = True
            return int(REROUTED_PACKET_US * client.pace)
        if outcome is Outcome.UNREACHED:
            return SYN_RETRY_US
        if outcome is Outcome.REFUSED and not client.mid_flow:
            return self._backoff_us(client)
        client.mid_flow = False
        client.returning = self.scenario.clients.marks_returning
        if outcome is Outcome.DROPPED:
            return client.away_us
        return self.habits.reconnect_delay_us(outcome is Outcome.MOVED, client.rejoin)

    def _backoff_us(self, client: Client) -> int:
        client.tries += 1
        pause = min(self.habits.backoff_us * 2 ** min(client.tries - 1, 20), self.habits.max_backoff_us)
        pause *= 0.5 + client.pace
        return int(max(pause, client.advised_us if client.honours else 0))

    def line(self, client: Client, request: int, wait_us: int) -> bytes:
        """Returns the first line of a request."""
        options, kind = self.scenario.clients, self.scenario.classes[client.kind]
        fields = [f"c={kind.name}"]
        if self.scenario.schemes:
            fields.append(f"t={self.scenario.schemes[client.scheme].name}")
        if client.group:
            fields.append(f"g={client.group:x}")
        fields.append(f"w={client.load:.1f}")  # Relays ignore `w`; push servers take the load from it.
        if client.stood_before:
            fields.append("s=0" if client.host is None else f"at={client.host}")
        marks = {
            "r": options.marks_retry and client.tries > 0,
            "again": client.returning,
            "mid": client.mid_flow,
        }
        fields += [f"{name}=1" for name, marked in marks.items() if marked]
        return self.seal.line(request, client.key, fields, wait_us // 1000)

    # ---- events that affect many clients ----

    def drop(self, part: float, over_us: int, random: np.random.Generator) -> None:
        """Drops the share `part` of the standing connections; their clients reconnect within `over_us`."""
        for connection in list(self.standing):
            if random.random() < part:
                connection.client.away_us = int(random.uniform(0, over_us))
                connection.abandon(Outcome.DROPPED, End.CLIENT)

    def cut_off(self, relay: int) -> None:
        """Abandons the standing connections of a relay that clients can no longer reach."""
        for connection in [connection for connection in self.standing if connection.relay == relay]:
            connection.abandon(Outcome.REROUTED, End.RELAY_DIED)

    def _relay_set_changed(self, relay: int) -> None:
        """Reroutes part of the connections of the zone's other relays, if relays pass packets through."""
        self._relay_set_changes += 1
        if not self.scenario.relays.pass_through or self.clock.now_us() < self.start:
            return
        zones, salt = len(self.scenario.zones.names), self._relay_set_changes * SEEDS[0]
        for connection in list(self.standing):
            if (
                connection.relay != relay
                and connection.relay % zones == relay % zones
                and mix(connection.client.key + salt) < self.reshuffle * (1 << 64)
            ):
                connection.abandon(Outcome.REROUTED, End.RELAY_DIED)

    def end_service_periods(self) -> None:
        """Counts standing connections as serving until now, at the end of the history."""
        for connection in self.standing:
            if connection.service_period is not None:
                connection.service_period.end(self.clock.now_us())


class Connection:
    """One attempt of a client, and the connection that results from it."""

    def __init__(self, pool: ClientPool, client: Client, relay: int, request: int) -> None:
        self.client = client
        self.relay = relay
        self.request = request
        self.service_period: ServicePeriod | None = None
        self._pool = pool
        self._started_at = pool.clock.now_us()
        self._taken_at = self._started_at  # when the client began to send its request
        self._arrived_at = self._started_at  # when the latest bytes arrived at the client's machine
        self._outcome = Outcome.REFUSED
        self._has_broken = False  # The standing connection ended without MOVE or BYE.
        self._is_abandoned = False
        self._scope = trio.CancelScope()
        self._wait_us = pool.habits.deadlines[client.kind]
        self.first_line = pool.line(client, request, self._wait_us)
        wish = ConnectionOptions(
            self.first_line, self._wait_us + ANSWER_MARGIN_US, client.until, LINE_INTERVAL_US, b"QUIT\r\n"
        )
        self._state = ClientState(wish, self._started_at, self._started_at)

    def abandon(self, outcome: Outcome, how: End) -> None:
        """Ends a standing connection without a line, as a failing network does."""
        if not self._is_abandoned:
            self._is_abandoned = True
            self._end_standing()
            self._pool.seen.ended(self._pool.clock.now_us(), self.request, how)
            self._outcome = outcome
            self._scope.cancel()

    async def run(self) -> Outcome:
        """Runs the attempt, and the connection if there is one, to its end."""
        client, pool = self.client, self._pool
        pool.seen.asked(self._started_at, self.request, client.number, client.kind, client.first_ask)
        with trio.socket.socket() as sock:
            with self._scope:
                await self._run_states(sock)
                if self._outcome is Outcome.MOVED and self._lingers:
                    await self._linger(sock)
            if self._is_abandoned:
                if not pool.front.reaches(self.relay):  # No close or reset may reach the relay.
                    await pool.front.wait_until_settled(self.relay)
                reset_on_close(sock)
        if self._has_broken:
            self._outcome = await self._outcome_of_break()
        client.stood_before = False
        return self._outcome

    @property
    def _lingers(self) -> bool:
        share = self._pool.scenario.clients.lingers
        return mix(self.client.key ^ SEEDS[2]) < share * (1 << 64)

    async def _linger(self, sock: SocketType) -> None:
        """Sends lines after MOVE until the relay ends the connection, as the protocol demands."""
        pool = self._pool
        with trio.move_on_after(MAX_LINGER_S), suppress(OSError):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_lines, sock)
                while data := await sock.recv(READ_BYTES):
                    if data.strip(b"\r\n"):
                        pool.seen.fault(pool.clock.now_us(), self.relay, "a line came after MOVE")
                nursery.cancel_scope.cancel()
            return
        if pool.front.reaches(self.relay):
            pool.seen.fault(pool.clock.now_us(), self.relay, f"still open {MAX_LINGER_S:g} s after MOVE")

    async def _send_lines(self, sock: SocketType) -> None:
        with suppress(OSError):
            while True:
                await send_all(sock, b"still here\r\n")
                await trio.sleep(LINGER_GAP_S)

    async def _outcome_of_break(self) -> Outcome:
        """Returns the outcome of a break: a connection outlives its relay where packets pass through."""
        pool = self._pool
        if pool.scenario.relays.pass_through and await pool.front.has_relay_exited(self.relay):
            return Outcome.REROUTED
        return Outcome.BROKEN

    async def _run_states(self, sock: SocketType) -> None:
        pool = self._pool
        if not await self._connect(sock):
            return
        event_input: Input = Connected()
        while True:
            for effect in self._state.on(event_input, pool.clock.now_us()):
                await self._carry_out(effect, sock)
            if self._state.phase is Phase.ENDED or self._outcome is Outcome.MOVED and self._lingers:
                return
            event_input = await self._next_input(sock)

    async def _connect(self, sock: SocketType) -> bool:
        with trio.move_on_at(self._pool.clock.to_trio(self._state.due_us)):
            try:
                await sock.connect(self._pool.front.address(self.relay))
                return True
            except OSError as error:
                pool = self._pool
                pool.seen.unreached.append((pool.clock.now_us(), self.relay, error.errno or 0))
                return False
        self._outcome = Outcome.UNREACHED
        return False

    async def _next_input(self, sock: SocketType) -> Input:
        with trio.move_on_at(self._pool.clock.to_trio(self._state.due_us)):
            try:
                data = await sock.recv(READ_BYTES)
            except OSError:
                return Broken()
            if not data:
                return ReceivedEof()
            # A relay that ends answers a client whose request has not been sent yet.
            self._arrived_at = max(self._taken_at, self._pool.clock.now_us() - since_arrival_us(sock))
            return Received(data)
        return Due()

    async def _carry_out(self, effect: Effect, sock: SocketType) -> None:
        match effect:
            case Send(data):
                before = self._pool.clock.now_us()
                with suppress(OSError):  # The reading side sees the end of the connection.
                    await send_all(sock, data)
                if self._state.phase is Phase.ASKED:
                    self._report_sent(before)
            case SendEof():
                shutdown_send(sock)
            case Answered():
                self._handle_answer(effect)
            case LineSent(late):
                if self.service_period is not None:
                    self.service_period.line_sent(self._pool.clock.now_us() - late)
            case LineAnswered(_, answer):
                self._handle_reply(answer)
            case UnexpectedLine(line):
                self._handle_unrequested(line)
            case ConnectionEnded(parting, _):
                self._handle_end(parting)

    # ---- records ----

    def _report_sent(self, before: int) -> None:
        """Records that the relay received the request, no earlier than `before`; the wait counts from now."""
        pool = self._pool
        deadline = pool.clock.now_us() + self._wait_us
        self._taken_at = before
        pool.seen.taken(before, self.request, self.relay, deadline, self.client.kind)
        pool.current_second.new += 1

    def _handle_answer(self, answered: Answered) -> None:
        pool, now = self._pool, self._pool.clock.now_us()
        pool.current_second.answers[answered.answer.value] += 1
        final = FINAL_BY_ANSWER.get(answered.answer)
        if final is None:
            if answered.answer is Answer.NONE:
                pool.seen.left(now, self.request)
            return
        if final is Final.UP:
            self._handle_up(now, answered.receipt)
            return
        answered_at = now if final is Final.CLOSED else self._arrived_at
        pool.seen.answered(answered_at, self.request, final, None, answered.wait_us)
        self.client.advised_us = answered.wait_us

    def _handle_up(self, now: int, receipt: bytes) -> None:
        pool, client = self._pool, self.client
        host = pool.seal.issuer(receipt.decode("ascii", "replace"), self.request)
        server = None if host is None else pool.server_numbers.get(host)
        pool.seen.answered(self._arrived_at, self.request, Final.UP, server, 0)
        pool.current_second.set_ups_us.append(now - self._started_at)
        aim = pool.scenario.classes[client.kind].message_aim_ms * 1000
        self.service_period = ServicePeriod(pool.served, client.kind, aim, now, client.until)
        pool.standing[self] = None
        client.tries = client.advised_us = 0
        client.mid_flow = client.returning = False
        if not pool.front.reaches(self.relay):
            self.abandon(Outcome.REFUSED, End.CLIENT)  # The relay answered UP, but the answer cannot arrive.

    def _handle_reply(self, answer: bytes) -> None:
        """Handles a push server's reply, which contains the time at which the server gave it."""
        pool, now = self._pool, self._pool.clock.now_us()
        pool.current_second.lines += 1
        if self.service_period is not None:
            self.service_period.line_returned(now)
        word, _, rest = answer.partition(b" ")
        given = rest.partition(b" ")[0]
        if word == b"E" and given.isdigit() and self._arrived_at - int(given) > MAX_LINE_DELAY_US:
            pool.seen.held_back(self._arrived_at, self.request, self._arrived_at - int(given))

    def _handle_unrequested(self, line: bytes) -> None:
        final = ANSWER_WORDS.get(line.partition(b" ")[0])
        if final is not None:
            self._pool.seen.answered(self._pool.clock.now_us(), self.request, final, None, 0)

    def _handle_end(self, parting: EndReason) -> None:
        pool, now = self._pool, self._pool.clock.now_us()
        self._end_standing()
        self._outcome = Outcome.BROKEN
        match parting:
            case EndReason.LEFT:
                self._outcome = Outcome.DONE
                pool.seen.ended(now, self.request, End.CLIENT)
            case EndReason.MOVED:
                self._outcome = Outcome.MOVED
                pool.current_second.moves += 1
                pool.seen.ended(now, self.request, End.MOVED)
            case EndReason.SERVED:
                pool.seen.ended(now, self.request, End.SERVED)
            case EndReason.SILENT:
                pool.seen.held_back(now, self.request, LINE_TIMEOUT_US)
                pool.seen.ended(now, self.request, End.CLIENT)
            case EndReason.GARBLED:
                pool.seen.ended(now, self.request, End.CUT)
            case EndReason.CUT | EndReason.RESET:
                self._has_broken = True
                pool.seen.unsaid(now, self.request)

    def _end_standing(self) -> None:
        self._pool.standing.pop(self, None)
        if self.service_period is not None:
            self.service_period.end(self._pool.clock.now_us())
            self.service_period = None
