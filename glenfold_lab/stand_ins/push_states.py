"""One push server's side of the line protocol, without I/O: bytes and moments in, bytes and endings out.

What its machine can do is the model's fluid (`glenfold_lab.model.servers.server`). It is stricter than the
relays under test: a first line that no client sent is answered SYNTAX and told of. Times are microseconds
of the machine's clock.
"""

import math
import re
from dataclasses import dataclass, field
from enum import Enum, auto

import numpy as np

from glenfold_lab.model.servers.calls import SET_UP_SIGMA, SET_UP_SPREAD, SHED_TARGET, TICK_US
from glenfold_lab.model.servers.messages import Messages
from glenfold_lab.model.servers.server import Server, Stage
from glenfold_lab.model.servers.store import Store
from glenfold_lab.model.wire import Call
from glenfold_lab.observe import Capacity, End, Over
from glenfold_lab.stand_ins.machine_clock import SECOND_US
from glenfold_lab.stand_ins.seal import NotSent, Seal
from glenfold_lab.stand_ins.seen import Seen

END = b"\r\n"
MAX_LINE = 4096
HELD_BACK_US = SECOND_US  # a line that took longer from one side to the other
AT_ONCE_US = 3_000  # an answer due sooner is given at once: a timer costs more than it tells
FIRST = re.compile(rb"OPEN ([0-9a-f]{1,16}) ([0-9a-f]{1,16}) ([a-z]+=[!-+\--~]*(?:,[a-z]+=[!-+\--~]*)*)")

LEAST_US = 1_000  # until a set-up that is not done yet is looked at again


class Fault(Enum):
    """What befalls a connection."""

    RESET = auto()  # reset at once
    AFTER_LINE = auto()  # reset once the last byte of its first line was read; standing: of its next line
    HANG = auto()  # it stays open and nothing comes
    SLOW = auto()  # a few bytes are read at a time
    HALF_CLOSE = auto()  # the server ends its own side where it would have answered, and reads on
    ERROR = auto()  # ERR; standing: as HALF_CLOSE


class Phase(Enum):
    FIRST_LINE = auto()
    SETTING_UP = auto()
    STANDING = auto()
    OVER = auto()


class Ending(Enum):
    """What has to be done about the socket once `out` is written."""

    FINISH = auto()  # end our side, read on
    CLOSE = auto()
    RESET = auto()


@dataclass(frozen=True, slots=True)
class FirstLine:
    request: int
    key: int
    wait_ms: int
    figures: dict[str, str]

    @classmethod
    def read(cls, line: bytes) -> "FirstLine":
        """`NotSent` if it has not the form that clients give it."""
        match = FIRST.fullmatch(line)
        if match is None:
            raise NotSent("its form")
        pairs = [pair.partition("=") for pair in match[3].decode().split(",")]
        figures = {name: value for name, _, value in pairs}
        if len(figures) < len(pairs):
            raise NotSent("a figure comes twice")
        wait = figures.get("d", "")
        if not wait.isdigit() or int(wait) < 1:
            raise NotSent("it tells no wait")
        try:
            float(figures.get("w", "0")), int(figures.get("g", "0"), 16)
        except ValueError as error:
            raise NotSent(f"a figure is no number: {error}") from error
        return cls(int(match[1], 16), int(match[2], 16), int(wait), figures)


@dataclass(frozen=True, slots=True)
class ClassWork:
    """Of one class's connections. number: its place. set_up_us: mean work of a set-up on a standard core.
    load: of one whose line names no `w`. swing_sigma, change_us: how its load changes."""

    number: int
    set_up_us: float
    load: float = 30_000.0
    swing_sigma: float = 0.0
    change_us: float = 10.0 * SECOND_US


class _Nobody:
    """Conversations hear of their calls without the model's messages."""

    def replied(self, call: Call, over: Over) -> None: ...

    def ended(self, call: Call, how: End) -> None: ...

    def fell_silent(self, call: Call) -> None: ...


NOBODY = _Nobody()


@dataclass(slots=True)
class Holder:
    """One push server's process: what all its connections share.

    fluid: its machine. capacity: as the checker is told it. ways_us: by relay, of a message there and back.
    error_rate: share of set-ups that it answers ERR. park_us: how long a connection is kept whose relay has
    gone; 0: not at all. store: what every set-up asks when its work is done.
    """

    fluid: Server
    capacity: Capacity
    messages: Messages
    seen: Seen
    random: np.random.Generator
    works: dict[str, ClassWork]
    ways_us: tuple[int, ...]
    seal: Seal | None = None
    error_rate: float = 0.0
    park_us: int = 0
    store: Store | None = None
    fault: Fault | None = None
    fault_share: float = 0.0
    by_key: dict[int, "Conversation"] = field(default_factory=dict)  # those that stand, by the client's key
    parked_until: dict[int, int] = field(default_factory=dict)
    syntax: int = 0  # first lines that no client sent

    @property
    def host(self) -> str:
        return self.fluid.machine.host

    @property
    def number(self) -> int:
        return self.fluid.machine.number

    def accept(self, relay: int) -> "Conversation":
        """A relay's connection has been accepted."""
        struck = self.fault is not None and self.random.random() < self.fault_share
        return Conversation(self, relay, self.fault if struck else None)

    def holds(self, key: int) -> bool:
        """Whether a connection of this client can go on here."""
        return key in self.by_key or key in self.parked_until

    def start(self, now: int, cold: bool) -> None:
        """The process begins afresh."""
        self.by_key.clear()
        self.parked_until.clear()
        fluid = self.fluid
        fluid.clear()
        fluid.stage, fluid.cold, fluid.started, fluid.updated_at = Stage.RUNS, cold, now, now
        fluid.refresh(now)
        self.seen.server_started(now, self.number, self.capacity, cold)

    def look(self, now: int) -> list["Conversation"]:
        """Brings the machine up to now; gives those that it drops, as too much is piled up."""
        fluid = self.fluid
        fluid.refresh(now)
        for key in [key for key, until in self.parked_until.items() if until <= now]:
            self.forget(key)
        fluid.set_up_load = (fluid.set_up_load + fluid.set_up_work / TICK_US * SECOND_US) / 2
        fluid.set_up_work = 0.0
        capacity = fluid.capacity()
        used = (fluid.demand + fluid.set_up_load) / capacity if capacity > 0 else 1.0
        fluid.wait_us = float(self.messages.waits(np.array([used]))[0])
        full = fluid.machine.kind.buffer_s * fluid.machine.capacity
        if fluid.backlog <= full:
            return []
        fluid.drop(fluid.backlog - full)
        return self._heaviest(capacity)

    def _heaviest(self, capacity: float) -> list["Conversation"]:
        """One at least, until the rest fits."""
        left = self.fluid.demand
        struck: list[Conversation] = []
        for one in sorted(self.by_key.values(), key=lambda held: (-held.load, held.request)):
            if struck and (left <= SHED_TARGET * capacity or capacity <= 0):
                break
            left -= one.load
            struck.append(one)
        return struck

    def delay_us(self, now: int) -> int:
        """Of a line, from its arrival to its answer; for ever while nothing is done."""
        self.fluid.advance(now)
        own = self.messages.message_work_us(0) + self.fluid.backlog_us()
        return int(min(own + self.random.exponential(1.0) * self.fluid.wait_us, 1e12))

    def forget(self, key: int) -> None:
        del self.parked_until[key]
        self.fluid.unpark(self.fluid.parked[key])


class Conversation:
    """One connection from a relay. `out` is to be written, then `ending` carried out; `due` is the moment at
    which `tick` wants to be called if nothing comes before."""

    def __init__(self, holder: Holder, relay: int, fault: Fault | None) -> None:
        self.holder = holder
        self.relay = relay
        self.fault = fault
        self.phase = Phase.FIRST_LINE
        self.out = b""
        self.ending: Ending | None = Ending.RESET if fault is Fault.RESET else None
        self.due: int | None = None
        self._first: FirstLine | None = None
        self._call: Call | None = None
        self._work: ClassWork | None = None
        self._usual = 0.0
        self._first_at = 0
        self._data = b""
        self._set_up_ends = 0.0
        self._asked_store = False
        self._echoes: list[tuple[int, bytes]] = []
        self._change_at: int | None = None
        self._hung = False  # nothing will come any more

    @property
    def load(self) -> float:
        return self._call.load if self._call is not None else 0.0

    @property
    def request(self) -> int:
        return self._call.request if self._call is not None else -1

    # ---- what comes in ----

    def received(self, data: bytes, now: int) -> None:
        """Bytes from the relay; none: it has ended its sending."""
        if not data:
            return self.gone(now)
        self._first_at = self._first_at or now
        *lines, self._data = (self._data + data).split(END)
        for line in lines:
            if self.phase is Phase.FIRST_LINE:
                self._begin(line, now)
            elif self.phase is Phase.STANDING:
                self._line(line, now)
            elif self.phase is Phase.SETTING_UP:
                self._not_sent("its client does not wait for the answer", now)
        if len(self._data) > MAX_LINE:
            self._not_sent("a line is too long", now)

    def gone(self, now: int) -> None:
        """The relay has closed this connection, or reset it."""
        if self.phase is Phase.SETTING_UP:
            self._attempt_over(now, Over.ABANDONED)
        elif self.phase is Phase.STANDING:
            self._leave(now, park=self.holder.park_us > 0)
        self.phase = Phase.OVER
        self.ending = self.ending or Ending.CLOSE

    def tick(self, now: int) -> None:
        """`due` has come."""
        if self.phase is Phase.SETTING_UP:
            self._look_at_set_up(now)
        elif self.phase is Phase.STANDING:
            self._give_echoes(now)
            if self._change_at is not None and self._change_at <= now:
                self._change(now)
            self._next_due()

    # ---- what the server does of itself ----

    def strike(self, fault: Fault, now: int) -> None:
        """This fault befalls a connection that is open already."""
        if self.phase is Phase.OVER:
            return
        self.fault = fault
        if fault is Fault.RESET:
            self.end(now, Ending.RESET, Over.RESET)
        elif fault in (Fault.HALF_CLOSE, Fault.ERROR) and self.phase is Phase.STANDING:
            self.end(now, Ending.FINISH, Over.RESET)
        elif fault is Fault.HANG:
            self.hang(now)

    def hang(self, now: int) -> None:
        """From now on it stays open and silent."""
        if self.phase is Phase.STANDING and not self._hung:
            self._broke(now, silent=True)
        elif self.phase is Phase.SETTING_UP:
            self._give_up_turn(now)
        self._hung = True
        self.due = None

    def end(self, now: int, ending: Ending, over: Over, word: bytes = b"") -> None:
        """With `word`, a polite end; without, the connection breaks."""
        if self.phase is Phase.SETTING_UP:
            self._attempt_over(now, over)
        elif self.phase is Phase.STANDING:
            if not word and not self._hung:
                self._broke(now, silent=False)
            self._leave(now, park=False)
        self.out += word
        self.phase = Phase.OVER
        self.ending = ending
        self.due = None

    def move(self, now: int) -> None:
        """A draining server sends its client away."""
        if self.phase is Phase.STANDING and not self._hung:
            self.end(now, Ending.CLOSE, Over.UP, b"MOVE\r\n")

    def supersede(self, now: int) -> None:
        """The same connection has come another way; this end of it means nothing any more."""
        self._leave(now, park=False)
        self.phase = Phase.OVER
        self.ending = Ending.CLOSE

    # ---- the first line ----

    def _begin(self, line: bytes, now: int) -> None:
        holder = self.holder
        try:
            first = FirstLine.read(line)
            if holder.seal is not None:
                holder.seal.check(line)
            if (work := holder.works.get(first.figures.get("c", ""))) is None:
                raise NotSent("its class")
        except NotSent as error:
            return self._not_sent(str(error), now)
        goes_on = first.figures.get("at") == holder.host or (
            first.figures.get("mid") == "1" and holder.holds(first.key)
        )
        holder.seen.sent(now, first.request, self.relay, holder.number, self._first_at, goes_on)
        self._first, self._work = first, work
        self._usual = float(first.figures.get("w", work.load))
        self._call = Call(
            first.request,
            self.relay,
            holder.number,
            work.number,
            0,
            int(first.figures.get("g", "0"), 16),
            first.key,
            self._usual,
            now + first.wait_ms * 1000,
            first.figures.get("mid") == "1",
            NOBODY,
        )
        self.phase = Phase.SETTING_UP
        self._struck_or_taken(first, self._call, now)

    def _struck_or_taken(self, first: FirstLine, call: Call, now: int) -> None:
        holder, fluid = self.holder, self.holder.fluid
        fluid.advance(now)
        if self.fault is Fault.HANG or self._hung:
            self._hung = True
        elif self.fault is Fault.AFTER_LINE:
            self._answer(now, Over.RESET, ending=Ending.RESET)
        elif self.fault is Fault.HALF_CLOSE:
            self._answer(now, Over.RESET, ending=Ending.FINISH)
        elif (
            self.fault is Fault.ERROR
            or holder.random.random() < holder.error_rate
            or call.request in fluid.waiting
            or call.request in fluid.standing
        ):
            self._answer(now, Over.ERROR, b"ERR\r\n")
        elif call.mid_flow:
            self._resume(call, now)
        elif "at" in first.figures and first.figures["at"] != holder.host:
            self._answer(now, Over.RESET, ending=Ending.RESET)
        elif fluid.stage is Stage.DRAINS or len(fluid.waiting) >= fluid.queue or fluid.held >= fluid.cap:
            self._answer(now, Over.BUSY, b"BUSY\r\n")
        elif "at" in first.figures or first.figures.get("s") == "0":  # it stood before: that costs nothing
            self._up(now, call)
        else:
            self._queue_up(call, now)

    def _resume(self, call: Call, now: int) -> None:
        """A connection whose packets come another way now: only the server that holds it can go on."""
        before = self.holder.by_key.get(call.connection)
        if before is not None:
            before.supersede(now)
        elif call.connection in self.holder.parked_until:
            self.holder.forget(call.connection)
        else:
            return self._answer(now, Over.RESET, ending=Ending.RESET)
        self._up(now, call)

    def _queue_up(self, call: Call, now: int) -> None:
        holder, fluid = self.holder, self.holder.fluid
        assert self._work is not None
        middle = math.log(self._work.set_up_us) - SET_UP_SIGMA * SET_UP_SIGMA / 2
        work = float(holder.random.lognormal(middle, SET_UP_SIGMA))
        wait = min(fluid.backlog_us(), TICK_US) if fluid.capacity() <= 0 else fluid.backlog_us()
        own = work / fluid.machine.speed
        spread = float(holder.random.exponential(1.0)) * (SET_UP_SPREAD * own + fluid.wait_us)
        fluid.enqueue(call, work)
        self._set_up_ends = fluid.waiting[call.request].end
        self._asked_store = False
        self.due = now + int(wait + own + spread) + holder.ways_us[self.relay]

    def _look_at_set_up(self, now: int) -> None:
        fluid, call = self.holder.fluid, self._call
        assert call is not None
        fluid.advance(now)
        fluid.pop_finished()  # those that were left out ahead of it stand in its way no longer
        if fluid.work_done < self._set_up_ends - 1:  # its capacity has fallen since
            capacity = fluid.capacity()
            left = (self._set_up_ends - fluid.work_done) / capacity * 1e6 if capacity > 0 else TICK_US
            self.due = now + max(LEAST_US, min(TICK_US, int(left)))
            return
        if self.holder.store is not None and not self._asked_store:
            self._asked_store = True
            self.due = now + self.holder.store.answer_us(now)
            return
        del fluid.waiting[call.request]
        self.due = None
        if now > call.deadline:
            self._answer(now, Over.BUSY, b"BUSY\r\n")
        else:
            self._up(now, call)

    def _up(self, now: int, call: Call) -> None:
        holder = self.holder
        receipt = f"{holder.host}.{call.request:x}"
        if holder.seal is not None:
            receipt = holder.seal.receipt(holder.host, call.request)
        self.out += f"UP {receipt}\r\n".encode()
        self._attempt_over(now, Over.UP)
        self.phase = Phase.STANDING
        holder.by_key[call.connection] = self
        holder.fluid.add_standing(call)
        self._plan_change(now)
        self._next_due()

    def _answer(self, now: int, over: Over, word: bytes = b"", ending: Ending = Ending.CLOSE) -> None:
        self._attempt_over(now, over)
        self.out += word
        self.phase = Phase.OVER
        self.ending = ending

    def _give_up_turn(self, now: int) -> None:
        call, fluid = self._call, self.holder.fluid
        if call is not None and self.due is not None:
            fluid.advance(now)
            fluid.abandon(call)
            self.due = None

    def _attempt_over(self, now: int, over: Over) -> None:
        self._give_up_turn(now)
        if self._call is not None:
            self.holder.seen.attempt_over(now, self._call.request, self.holder.number, over)

    def _not_sent(self, fault: str, now: int) -> None:
        if self.phase is Phase.OVER:
            return
        self.holder.syntax += 1
        words = f"it sent server {self.holder.number} what no client sends: {fault}"
        self.holder.seen.fault(now, self.relay, words)
        self.end(now, Ending.CLOSE, Over.ERROR, b"SYNTAX\r\n")

    # ---- standing ----

    def _line(self, line: bytes, now: int) -> None:
        if self._hung:
            return
        if self.fault is Fault.AFTER_LINE:
            return self.end(now, Ending.RESET, Over.RESET)
        if line == b"QUIT":
            return self.end(now, Ending.CLOSE, Over.UP, b"BYE\r\n")
        self._note_held_back(line, now)
        delay = self.holder.delay_us(now) + self.holder.ways_us[self.relay]
        # An answer tells when it was given; lines that are not of this form come back as they are.
        answer = b"E %d %b\r\n" % (now + delay, line[2:]) if line[:2] == b"M " else line + END
        if delay < AT_ONCE_US and not self._echoes:
            self.out += answer
        else:
            last = self._echoes[-1][0] if self._echoes else 0
            self._echoes.append((max(now + delay, last), answer))
            self._next_due()

    def _note_held_back(self, line: bytes, now: int) -> None:
        """A line tells when it was sent."""
        word, _, sent = line.partition(b" ")
        if word == b"M" and sent.isdigit() and now - int(sent) > HELD_BACK_US:
            self.holder.seen.held_back(now, self.request, now - int(sent))

    def _give_echoes(self, now: int) -> None:
        if self.holder.fluid.capacity() <= 0:  # it does nothing at all
            self._echoes = [(max(at, now + TICK_US), answer) for at, answer in self._echoes]
        while self._echoes and self._echoes[0][0] <= now:
            self.out += self._echoes.pop(0)[1]

    def _plan_change(self, now: int) -> None:
        work = self._work
        if work is not None and work.swing_sigma:
            self._change_at = now + int(work.change_us * self.holder.random.uniform(0.5, 1.5))

    def _change(self, now: int) -> None:
        """Its load is drawn anew round its usual one."""
        call, work, fluid = self._call, self._work, self.holder.fluid
        assert call is not None and work is not None
        sigma = work.swing_sigma
        load = self._usual * float(self.holder.random.lognormal(-sigma * sigma / 2, sigma))
        fluid.advance(now)
        fluid.demand += load - call.load
        call.load = load
        self.out += b"LOAD %.1f\r\n" % load
        self._plan_change(now)

    def _next_due(self) -> None:
        moments = [self._echoes[0][0]] if self._echoes else []
        if self._change_at is not None:
            moments.append(self._change_at)
        self.due = min(moments, default=None)

    def _broke(self, now: int, silent: bool) -> None:
        self.holder.seen.broke(now, self.request, self.holder.number, silent)

    def _leave(self, now: int, park: bool) -> None:
        """It stands no more."""
        holder, call = self.holder, self._call
        assert call is not None
        holder.fluid.advance(now)
        if holder.by_key.get(call.connection) is self:
            del holder.by_key[call.connection]
        if park and call.connection not in holder.parked_until:
            holder.fluid.park(call)
            holder.parked_until[call.connection] = now + holder.park_us
        else:
            holder.fluid.remove_standing(call)
