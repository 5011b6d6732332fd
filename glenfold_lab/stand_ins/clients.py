"""Clients on sockets: whom the model draws, with the habits that it draws, each living through its tries.

What one connection does is `glenfold_lab.load.client`'s states; what a client does between two connections is
here. Times are microseconds of the machine's clock.
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
    LINES_US,
    PACKETS_US,
    PATIENCE_US,
    SYN_AGAIN_US,
    Habits,
)
from glenfold_lab.model.population import Drawn
from glenfold_lab.observe import End, Final
from glenfold_lab.spec import Scenario
from glenfold_lab.stand_ins.front import SocketFront
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.seal import Seal
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.service import Second, Served, Stretch
from glenfold_lab.stand_ins.sockets import SocketType, end_now, finish, take
from linnetspread.choice import SEEDS, mix

CHUNK = 4096
LINGER_S = 2.0  # a relay ends both sides of a connection within a second
LINGER_GAP_S = 0.1
HELD_BACK_US = SECOND_US

FINALS = {
    Answer.UP: Final.UP,
    Answer.BUSY: Final.BUSY,
    Answer.ERROR: Final.ERROR,
    Answer.CLOSED: Final.CLOSED,
    Answer.RESET: Final.CLOSED,
}
SECOND_ANSWERS = {b"UP": Final.UP, b"BUSY": Final.BUSY, b"ERR": Final.ERROR}


class Over(Enum):
    """How one connection, or the try to get it, ended for its client."""

    DONE = auto()  # it has had what it wanted
    REFUSED = auto()  # or failed; another try follows
    UNREACHED = auto()  # nothing came up: TCP asks again by itself
    MOVED = auto()  # it stood, and its client was told to come again
    ENDED = auto()  # it stood, and broke
    ELSEWHERE = auto()  # it stands, and its packets come to another relay
    DROPPED = auto()  # its client lost it, with all others at that moment


@dataclass(slots=True, eq=False)
class Client:
    """One client, as it was drawn; then what has become of it. stood: its connection stood before the
    history, at `host` if a push server was chosen for it."""

    stood: bool
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
    first_ask: int = 0  # for the connection that it wants now
    tries: int = 0
    turn: int = 0
    relay: int = -1
    mid_flow: bool = False
    returning: bool = False
    advised_us: int = 0  # by BUSY
    away_us: int = 0  # after a drop


def clients_of(drawn: Drawn, first: int, stood: bool) -> Iterator[Client]:
    """`first`: the number of the first of them."""
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
        yield Client(stood, number, *row)


@dataclass(slots=True, eq=False)
class Crowd:
    """All clients of one process. part: which process, so that no two give the same id. start: of the
    history; end: when nobody asks any more."""

    scenario: Scenario
    habits: Habits
    front: SocketFront
    seal: Seal
    seen: Seen
    clock: MachineClock
    numbers: dict[str, int]  # of push servers, by host
    reshuffle: float
    part: int
    start: int
    end: int
    served: Served
    now: Second = field(default_factory=lambda: Second(0))
    standing: dict["Connection", None] = field(default_factory=dict)
    _asked: int = 0
    _changes: int = 0

    def __post_init__(self) -> None:
        self.front.on_change.append(self._set_changed)

    # ---- who lives ----

    async def fill(self, clients: list[Client], begin: int) -> None:
        """Those that stood before the history open their connections, evenly from `begin` to the start, and
        live on."""
        async with trio.open_nursery() as nursery:
            for place, client in enumerate(clients):
                await self.clock.until(begin + (self.start - begin) * place // len(clients))
                nursery.start_soon(self._live, client)

    async def come(self, clients: Iterable[Client]) -> None:
        """Each at its moment, until all have ended."""
        async with trio.open_nursery() as nursery:
            for client in clients:
                await self.clock.until(client.at)
                nursery.start_soon(self._live, client)

    async def _live(self, client: Client) -> None:
        until, client.first_ask = min(client.until, self.end), client.at
        self.served.add(self.served.wanted, client.kind, client.at, client.until)
        with trio.CancelScope(deadline=self.clock.to_trio(until)) as asking:
            while client.tries <= self.scenario.clients.retries:
                over = await self._try(client, asking)
                asking.deadline = self.clock.to_trio(until)
                if over is Over.DONE:
                    return
                pause = await self._pause_us(client, over)
                next_ask = self.clock.now_us() + pause
                if over not in (Over.REFUSED, Over.UNREACHED):  # it had one, and wants it again
                    client.first_ask = next_ask
                await self.clock.until(next_ask)

    async def _try(self, client: Client, asking: trio.CancelScope) -> Over:
        """One try, to its end; whoever has a connection ends it itself, in good manners."""
        relay = self.front.relay_for(
            client.zone, client.key, client.turn, client.relay if client.mid_flow else -1
        )
        client.turn += 1
        if relay is None or not self.front.reaches(relay):
            await self.clock.until(self.clock.now_us() + self.habits.deadlines[client.kind] + PATIENCE_US)
            return Over.REFUSED
        client.relay = relay
        self._asked += 1
        request = (self.part + 1) << 40 | self._asked
        asking.deadline = math.inf
        return await Connection(self, client, relay, request).run()

    # ---- between two tries ----

    async def _pause_us(self, client: Client, over: Over) -> int:
        if over is Over.ELSEWHERE:
            await self.front.settled(client.relay)
            client.mid_flow = True
            return int(PACKETS_US * client.pace)
        if over is Over.UNREACHED:
            return SYN_AGAIN_US
        if over is Over.REFUSED and not client.mid_flow:
            return self._backing_off(client)
        client.mid_flow = False
        client.returning = self.scenario.clients.marks_returning
        if over is Over.DROPPED:
            return client.away_us
        return self.habits.away_us(over is Over.MOVED, client.rejoin)

    def _backing_off(self, client: Client) -> int:
        client.tries += 1
        pause = min(self.habits.backoff_us * 2 ** min(client.tries - 1, 20), self.habits.backoff_most_us)
        pause *= 0.5 + client.pace
        return int(max(pause, client.advised_us if client.honours else 0))

    def line(self, client: Client, request: int, wait_us: int) -> bytes:
        terms, kind = self.scenario.clients, self.scenario.classes[client.kind]
        figures = [f"c={kind.name}"]
        if self.scenario.schemes:
            figures.append(f"t={self.scenario.schemes[client.scheme].name}")
        if client.group:
            figures.append(f"g={client.group:x}")
        figures.append(f"w={client.load:.1f}")  # means nothing to relays, and their load to push servers
        if client.stood:
            figures.append("s=0" if client.host is None else f"at={client.host}")
        marks = {
            "r": terms.marks_retry and client.tries > 0,
            "again": client.returning,
            "mid": client.mid_flow,
        }
        figures += [f"{name}=1" for name, marked in marks.items() if marked]
        return self.seal.line(request, client.key, figures, wait_us // 1000)

    # ---- what strikes many ----

    def drop(self, part: float, over_us: int, random: np.random.Generator) -> None:
        """So many of those that stand lose their connections at once, and come again within that time."""
        for connection in list(self.standing):
            if random.random() < part:
                connection.client.away_us = int(random.uniform(0, over_us))
                connection.give_up(Over.DROPPED, End.CLIENT)

    def cut_off(self, relay: int) -> None:
        """No packet passes between clients and this relay any more."""
        for connection in [one for one in self.standing if one.relay == relay]:
            connection.give_up(Over.ELSEWHERE, End.RELAY_DIED)

    def _set_changed(self, relay: int) -> None:
        """Part of the connections of the zone's other relays land elsewhere, where packets pass through."""
        self._changes += 1
        if not self.scenario.relays.pass_through or self.clock.now_us() < self.start:
            return
        zones, salt = len(self.scenario.zones.names), self._changes * SEEDS[0]
        for connection in list(self.standing):
            if (
                connection.relay != relay
                and connection.relay % zones == relay % zones
                and mix(connection.client.key + salt) < self.reshuffle * (1 << 64)
            ):
                connection.give_up(Over.ELSEWHERE, End.RELAY_DIED)

    def close_books(self) -> None:
        """At the end of the history: what stands has served until now."""
        for connection in self.standing:
            if connection.stretch is not None:
                connection.stretch.over(self.clock.now_us())


class Connection:
    """One try of a client, and the connection that comes of it."""

    def __init__(self, crowd: Crowd, client: Client, relay: int, request: int) -> None:
        self.client = client
        self.relay = relay
        self.request = request
        self.stretch: Stretch | None = None
        self._crowd = crowd
        self._began = crowd.clock.now_us()
        self._over = Over.REFUSED
        self._died = False  # it ended without a word while it stood
        self._given_up = False
        self._scope = trio.CancelScope()
        self._wait_us = crowd.habits.deadlines[client.kind]
        self.first_line = crowd.line(client, request, self._wait_us)
        wish = ConnectionOptions(
            self.first_line, self._wait_us + PATIENCE_US, client.until, LINES_US, b"QUIT\r\n"
        )
        self._state = ClientState(wish, self._began, self._began)

    def give_up(self, over: Over, how: End) -> None:
        """Its client leaves a standing connection, as its network does it: without a word."""
        if not self._given_up:
            self._given_up = True
            self._stands_no_more()
            self._crowd.seen.ended(self._crowd.clock.now_us(), self.request, how)
            self._over = over
            self._scope.cancel()

    async def run(self) -> Over:
        client, crowd = self.client, self._crowd
        crowd.seen.asked(self._began, self.request, client.number, client.kind, client.first_ask)
        with trio.socket.socket() as sock:
            with self._scope:
                await self._talk(sock)
                if self._over is Over.MOVED and self._lingers:
                    await self._linger(sock)
            if self._given_up:
                if not crowd.front.reaches(self.relay):  # nothing is signalled to it
                    await crowd.front.settled(self.relay)
                end_now(sock)
        if self._died:
            self._over = await self._without_a_word()
        client.stood = False
        return self._over

    @property
    def _lingers(self) -> bool:
        share = self._crowd.scenario.clients.lingers
        return mix(self.client.key ^ SEEDS[2]) < share * (1 << 64)

    async def _linger(self, sock: SocketType) -> None:
        """Goes on saying lines after MOVE until the relay ends the connection, as it has to."""
        crowd = self._crowd
        with trio.move_on_after(LINGER_S), suppress(OSError):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._say_lines, sock)
                while data := await sock.recv(CHUNK):
                    if data.strip(b"\r\n"):
                        crowd.seen.fault(crowd.clock.now_us(), self.relay, "a line came after MOVE")
                nursery.cancel_scope.cancel()
            return
        if crowd.front.reaches(self.relay):
            crowd.seen.fault(crowd.clock.now_us(), self.relay, f"still open {LINGER_S:g} s after MOVE")

    async def _say_lines(self, sock: SocketType) -> None:
        with suppress(OSError):
            while True:
                await take(sock, b"still here\r\n")
                await trio.sleep(LINGER_GAP_S)

    async def _without_a_word(self) -> Over:
        """Where packets pass through, a connection outlives its relay."""
        crowd = self._crowd
        if crowd.scenario.relays.pass_through and await crowd.front.died(self.relay):
            return Over.ELSEWHERE
        return Over.ENDED

    async def _talk(self, sock: SocketType) -> None:
        crowd = self._crowd
        if not await self._connected(sock):
            return
        incident: Input = Connected()
        while True:
            for effect in self._state.on(incident, crowd.clock.now_us()):
                await self._carry_out(effect, sock)
            if self._state.phase is Phase.ENDED or self._over is Over.MOVED and self._lingers:
                return
            incident = await self._next(sock)

    async def _connected(self, sock: SocketType) -> bool:
        with trio.move_on_at(self._crowd.clock.to_trio(self._state.due_us)):
            try:
                await sock.connect(self._crowd.front.address(self.relay))
                return True
            except OSError as error:
                crowd = self._crowd
                crowd.seen.unreached.append((crowd.clock.now_us(), self.relay, error.errno or 0))
                return False
        self._over = Over.UNREACHED
        return False

    async def _next(self, sock: SocketType) -> Input:
        with trio.move_on_at(self._crowd.clock.to_trio(self._state.due_us)):
            try:
                data = await sock.recv(CHUNK)
            except OSError:
                return Broken()
            return Received(data) if data else ReceivedEof()
        return Due()

    async def _carry_out(self, effect: Effect, sock: SocketType) -> None:
        match effect:
            case Send(data):
                before = self._crowd.clock.now_us()
                with suppress(OSError):  # its end is heard where it is read from
                    await take(sock, data)
                if self._state.phase is Phase.ASKED:
                    self._taken(before)
            case SendEof():
                finish(sock)
            case Answered():
                self._answered(effect)
            case LineSent(late):
                if self.stretch is not None:
                    self.stretch.said(self._crowd.clock.now_us() - late)
            case LineAnswered(_, answer):
                self._back(answer)
            case UnexpectedLine(line):
                self._unasked(line)
            case ConnectionEnded(parting, _):
                self._parted(parting)

    # ---- what it tells ----

    def _taken(self, before: int) -> None:
        """Taken no earlier than `before`, and owed an answer so long after now."""
        crowd = self._crowd
        deadline = crowd.clock.now_us() + self._wait_us
        crowd.seen.taken(before, self.request, self.relay, deadline, self.client.kind)
        crowd.now.new += 1

    def _answered(self, news: Answered) -> None:
        crowd, now = self._crowd, self._crowd.clock.now_us()
        crowd.now.answers[news.answer.value] += 1
        final = FINALS.get(news.answer)
        if final is None:
            if news.answer is Answer.NONE:
                crowd.seen.left(now, self.request)
            return
        if final is Final.UP:
            self._up(now, news.receipt)
            return
        crowd.seen.answered(now, self.request, final, None, news.wait_us)
        self.client.advised_us = news.wait_us

    def _up(self, now: int, receipt: bytes) -> None:
        crowd, client = self._crowd, self.client
        host = crowd.seal.giver(receipt.decode("ascii", "replace"), self.request)
        server = None if host is None else crowd.numbers.get(host)
        crowd.seen.answered(now, self.request, Final.UP, server, 0)
        crowd.now.set_ups_us.append(now - self._began)
        aim = crowd.scenario.classes[client.kind].message_aim_ms * 1000
        self.stretch = Stretch(crowd.served, client.kind, aim, now, client.until)
        crowd.standing[self] = None
        client.tries = client.advised_us = 0
        client.mid_flow = client.returning = False
        if not crowd.front.reaches(self.relay):
            self.give_up(Over.REFUSED, End.CLIENT)  # its relay said so, and it never heard it

    def _back(self, answer: bytes) -> None:
        """A push server's answer tells when it was given."""
        crowd, now = self._crowd, self._crowd.clock.now_us()
        crowd.now.lines += 1
        if self.stretch is not None:
            self.stretch.back(now)
        word, _, rest = answer.partition(b" ")
        given = rest.partition(b" ")[0]
        if word == b"E" and given.isdigit() and now - int(given) > HELD_BACK_US:
            crowd.seen.held_back(now, self.request, now - int(given))

    def _unasked(self, line: bytes) -> None:
        final = SECOND_ANSWERS.get(line.partition(b" ")[0])
        if final is not None:
            self._crowd.seen.answered(self._crowd.clock.now_us(), self.request, final, None, 0)

    def _parted(self, parting: EndReason) -> None:
        crowd, now = self._crowd, self._crowd.clock.now_us()
        self._stands_no_more()
        self._over = Over.ENDED
        match parting:
            case EndReason.LEFT:
                self._over = Over.DONE
                crowd.seen.ended(now, self.request, End.CLIENT)
            case EndReason.MOVED:
                self._over = Over.MOVED
                crowd.now.moves += 1
                crowd.seen.ended(now, self.request, End.MOVED)
            case EndReason.SERVED:
                crowd.seen.ended(now, self.request, End.SERVED)
            case EndReason.SILENT:
                crowd.seen.held_back(now, self.request, LINE_TIMEOUT_US)
                crowd.seen.ended(now, self.request, End.CLIENT)
            case EndReason.GARBLED:
                crowd.seen.ended(now, self.request, End.CUT)
            case EndReason.CUT | EndReason.RESET:
                self._died = True
                crowd.seen.unsaid(now, self.request)

    def _stands_no_more(self) -> None:
        self._crowd.standing.pop(self, None)
        if self.stretch is not None:
            self.stretch.over(self._crowd.clock.now_us())
            self.stretch = None
