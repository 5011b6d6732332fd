"""One push server's side of the line protocol, without I/O: bytes and moments in, bytes and endings out.

It is stricter than the relays under test: a first line that no client sent is answered SYNTAX and told of.
Moments are microseconds of the machine's clock.
"""

import hashlib
import re
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

import numpy as np

from glenfold_lab.observe import Over
from glenfold_lab.stands.machine import Machine
from glenfold_lab.stands.moments import SECOND_US
from glenfold_lab.stands.seen import Seen

END = b"\r\n"
MAX_LINE = 4096
HELD_BACK_US = SECOND_US  # a line that took longer from one side to the other
AT_ONCE_US = 5_000        # an answer due sooner is given at once: a timer costs more than it tells
FIRST = re.compile(rb"OPEN ([0-9a-f]{1,16}) ([0-9a-f]{1,16}) ([a-z]+=[!-+\--~]*(?:,[a-z]+=[!-+\--~]*)*)")


class Fault(Enum):
    """What befalls a connection."""

    RESET = auto()       # reset at once
    AFTER_LINE = auto()  # reset once the last byte of its first line was read; standing: of its next line
    HANG = auto()        # it stays open and nothing comes
    SLOW = auto()        # a few bytes are read at a time
    HALF_CLOSE = auto()  # the server ends its own side where it would have answered, and reads on
    ERROR = auto()       # ERR; standing: as HALF_CLOSE


class Stage(Enum):
    FIRST_LINE = auto()
    SETTING_UP = auto()
    STANDING = auto()
    OVER = auto()


class Ending(Enum):
    """What has to be done about the socket once `out` is written."""

    FINISH = auto()  # end our side, read on
    CLOSE = auto()
    RESET = auto()


class NotSent(Exception):
    """No client sends such a first line."""


@dataclass(frozen=True, slots=True)
class FirstLine:
    request: int
    key: int
    wait_ms: int
    figures: dict[str, str]

    @classmethod
    def read(cls, line: bytes) -> "FirstLine":
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
        return cls(int(match[1], 16), int(match[2], 16), int(wait), figures)


class Seal:
    """Clients and push servers of one run share a secret: so a server knows lines that a client sent in this
    form, and a client receipts that a server gave for it, without a word between the two."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def _mark(self, *parts: str) -> str:
        return hashlib.blake2b(" ".join(parts).encode(), digest_size=6, key=self._secret).hexdigest()

    def line(self, head: str, figures: list[str], wait_ms: int) -> bytes:
        """`head` is OPEN, id and key; behind the figures come the wait and the seal."""
        sealed = f"{head} {','.join(figures)}"
        return f"{sealed},d={wait_ms},z={wait_ms}.{self._mark(sealed, str(wait_ms))}\r\n".encode()

    def check(self, line: bytes) -> None:
        """That a client sent it so, but for a `d` that tells at most the wait that the client named."""
        sealed, _, rest = line.decode("ascii", "replace").rpartition(",d=")
        wait, _, seal = rest.partition(",z=")
        named, _, mark = seal.partition(".")
        if mark != self._mark(sealed, named):
            raise NotSent("not as its client sent it")
        if int(wait) > int(named) + 1:  # a relay may round its own up
            raise NotSent("it waits for longer than its client")

    def receipt(self, host: str, request: int) -> str:
        return f"{host}.{self._mark(host, str(request))}"

    def giver(self, receipt: str, request: int) -> str | None:
        """The push server that gave this receipt for this request; None if none did."""
        host, _, mark = receipt.rpartition(".")
        return host if mark == self._mark(host, str(request)) else None


@dataclass(frozen=True, slots=True)
class ClassWork:
    """Of one class's connections: work of a set-up (microseconds), and how their loads change."""

    set_up_us: float
    swing_sigma: float = 0.0
    change_us: int = 10 * SECOND_US


@dataclass(slots=True)
class Parked:
    """A connection whose packets have stopped coming."""

    until: int
    load: float
    group: str


@dataclass(slots=True)
class Holder:
    """One push server's process: what all its connections share.

    cap: most connections at once. queue: most set-ups waiting. error_rate: share of set-ups answered ERR.
    group_load: load of a group, borne once however many of its connections stand here. buffer_s: work piled
    up beyond which the heaviest connections are dropped. park_us: how long a connection is kept whose relay
    has gone; 0: not at all. default_load: of a client whose line names no `w`.
    """

    host: str
    number: int
    machine: Machine
    seen: Seen
    random: np.random.Generator
    works: dict[str, ClassWork]
    seal: Seal | None = None
    cap: int = 10_000
    queue: int = 1_000
    error_rate: float = 0.0
    group_load: float = 0.0
    buffer_s: float = 3.0
    park_us: int = 0
    default_load: float = 30_000.0
    draining: bool = False
    fault: Fault | None = None
    fault_share: float = 0.0
    waiting: int = 0
    standing: dict[int, "Conversation"] = field(default_factory=dict)  # by key of the client
    parked: dict[int, Parked] = field(default_factory=dict)
    groups: Counter[str] = field(default_factory=Counter)
    syntax: int = 0  # first lines that no client sent

    def accept(self, relay: int) -> "Conversation":
        """A relay's connection has been accepted."""
        struck = self.fault is not None and self.random.random() < self.fault_share
        return Conversation(self, relay, self.fault if struck else None)

    def start(self, now: int, cold: bool) -> None:
        """The process begins afresh."""
        self.draining = False
        self.waiting = 0
        self.standing.clear()
        self.parked.clear()
        self.groups.clear()
        self.machine.start(now, cold)

    def bear(self, now: int, load: float, group: str) -> None:
        self.groups[group] += 1
        first = group and self.groups[group] == 1
        self.machine.add(now, load + (self.group_load if first else 0.0))

    def relieve(self, now: int, load: float, group: str) -> None:
        self.groups[group] -= 1
        last = group and not self.groups[group]
        self.machine.add(now, -load - (self.group_load if last else 0.0))

    def forget_parked(self, now: int) -> None:
        for key in [key for key, kept in self.parked.items() if kept.until <= now]:
            kept = self.parked.pop(key)
            self.relieve(now, kept.load, kept.group)

    def heaviest(self, now: int) -> list["Conversation"]:
        """Those to be dropped, as more work is piled up than this server stands."""
        if self.machine.piled_s(now) <= self.buffer_s:
            return []
        falling = sorted(self.standing.values(), key=lambda held: -held.load)
        return falling[:max(1, len(falling) // 10)]


class Conversation:
    """One connection from a relay. `out` is to be written, then `ending` carried out; `due` is the moment at
    which `tick` wants to be called if nothing comes before."""

    def __init__(self, holder: Holder, relay: int, fault: Fault | None) -> None:
        self.holder = holder
        self.relay = relay
        self.fault = fault
        self.stage = Stage.FIRST_LINE
        self.out = b""
        self.ending: Ending | None = Ending.RESET if fault is Fault.RESET else None
        self.due: int | None = None
        self.load = 0.0
        self._first: FirstLine | None = None
        self._first_at = 0
        self._expires = 0
        self._data = b""
        self._echoes: list[tuple[int, bytes]] = []
        self._change_at: int | None = None
        self._usual = 0.0
        self._mean = 0.0
        self._hung = False  # nothing will come any more

    # ---- what comes in ----

    def received(self, data: bytes, now: int) -> None:
        """Bytes from the relay; none: it has ended its sending."""
        if not data:
            return self.gone(now)
        if not self._data:
            self._first_at = self._first_at or now
        *lines, self._data = (self._data + data).split(END)
        for line in lines:
            if self.stage is Stage.FIRST_LINE:
                self._begin(line, now)
            elif self.stage is Stage.STANDING:
                self._line(line, now)
            elif self.stage is Stage.SETTING_UP:
                self._not_sent("a client that does not wait for its answer")
        if len(self._data) > MAX_LINE:
            self._not_sent("a line is too long")

    def gone(self, now: int) -> None:
        """The relay has closed this connection, or reset it."""
        if self.stage is Stage.SETTING_UP:
            self._give_up_turn()
            self._attempt_over(now, Over.ABANDONED)
        elif self.stage is Stage.STANDING:
            self._leave(now, park=True)
        self.stage = Stage.OVER
        self.ending = self.ending or Ending.CLOSE

    def tick(self, now: int) -> None:
        """`due` has come."""
        if self.stage is Stage.SETTING_UP:
            self._set_up(now)
        elif self.stage is Stage.STANDING:
            while self._echoes and self._echoes[0][0] <= now:
                self.out += self._echoes.pop(0)[1]
            if self._change_at is not None and self._change_at <= now:
                self._change(now)
            self._next_due()

    # ---- what the server does of itself ----

    def strike(self, fault: Fault, now: int) -> None:
        """This fault befalls a connection that is open already."""
        if self.stage is Stage.OVER:
            return
        self.fault = fault
        if fault is Fault.RESET:
            self.end(now, Ending.RESET, Over.RESET)
        elif fault in (Fault.HALF_CLOSE, Fault.ERROR) and self.stage is Stage.STANDING:
            self.end(now, Ending.FINISH, Over.RESET)
        elif fault is Fault.HANG:
            self.hang(now)

    def hang(self, now: int) -> None:
        """From now on it stays open and silent."""
        if self.stage is Stage.STANDING:
            self._broke(now)
        elif self.stage is Stage.SETTING_UP:
            self._give_up_turn()
        self._hung = True
        self.due = None

    def end(self, now: int, ending: Ending, over: Over, word: bytes = b"") -> None:
        """With `word`, a polite end; without, the connection breaks."""
        if self.stage is Stage.SETTING_UP:
            self._give_up_turn()
            self._attempt_over(now, over)
        elif self.stage is Stage.STANDING:
            if not word and not self._hung:
                self._broke(now)
            self._leave(now, park=False)
        self.out += word
        self.stage = Stage.OVER
        self.ending = ending
        self.due = None

    def move(self, now: int) -> None:
        """A draining server sends its client away."""
        if self.stage is Stage.STANDING and not self._hung:
            self.end(now, Ending.CLOSE, Over.UP, b"MOVE\r\n")

    def supersede(self, now: int) -> None:
        """The same connection has come another way; this end of it means nothing any more."""
        self._leave(now, park=False)
        self.stage = Stage.OVER
        self.ending = Ending.CLOSE

    # ---- the first line ----

    def _begin(self, line: bytes, now: int) -> None:
        holder = self.holder
        try:
            first = self._first = FirstLine.read(line)
            if holder.seal is not None:
                holder.seal.check(line)
            if first.figures.get("c") not in holder.works:
                raise NotSent("its class")
        except (NotSent, ValueError) as error:
            return self._not_sent(str(error))
        holder.seen.sent(now, first.request, self.relay, holder.number, self._first_at)
        self.stage = Stage.SETTING_UP
        self._expires = now + first.wait_ms * 1000
        self._mean = self._usual = float(first.figures.get("w", holder.default_load))
        self._struck_or_taken(now)

    def _struck_or_taken(self, now: int) -> None:
        holder, first = self.holder, self._first
        assert first is not None
        if self.fault is Fault.HANG or self._hung:
            self._hung = True
        elif self.fault is Fault.AFTER_LINE:
            self._answer(now, Over.RESET, ending=Ending.RESET)
        elif self.fault is Fault.HALF_CLOSE:
            self._answer(now, Over.RESET, ending=Ending.FINISH)
        elif self.fault is Fault.ERROR or holder.random.random() < holder.error_rate:
            self._answer(now, Over.ERROR, b"ERR\r\n")
        elif first.figures.get("mid") == "1":
            self._resume(now, first)
        elif first.figures.get("at") is not None:
            stood = first.figures["at"] == holder.host
            self._up(now) if stood else self._answer(now, Over.RESET, ending=Ending.RESET)
        elif holder.draining or holder.waiting >= holder.queue or self._full():
            self._answer(now, Over.BUSY, b"BUSY\r\n")
        else:
            holder.waiting += 1
            self.due = holder.machine.set_up(now, holder.works[first.figures["c"]].set_up_us)

    def _full(self) -> bool:
        holder = self.holder
        return len(holder.standing) + len(holder.parked) + holder.waiting >= holder.cap

    def _resume(self, now: int, first: FirstLine) -> None:
        """A connection whose packets come another way now: only the server that holds it can go on."""
        holder = self.holder
        holder.forget_parked(now)
        before = holder.standing.get(first.key)
        if before is not None:
            before.supersede(now)
        elif first.key in holder.parked:
            kept = holder.parked.pop(first.key)
            holder.relieve(now, kept.load, kept.group)
        else:
            return self._answer(now, Over.RESET, ending=Ending.RESET)
        self._up(now)

    def _set_up(self, now: int) -> None:
        self.holder.waiting -= 1
        self.due = None
        if now >= self._expires:
            self._answer(now, Over.BUSY, b"BUSY\r\n")
        else:
            self._up(now)

    def _up(self, now: int) -> None:
        holder, first = self.holder, self._first
        assert first is not None
        receipt = f"{holder.host}.{first.request:x}"
        if holder.seal is not None:
            receipt = holder.seal.receipt(holder.host, first.request)
        self.out += f"UP {receipt}\r\n".encode()
        self._attempt_over(now, Over.UP)
        self.stage = Stage.STANDING
        self.load = self._usual
        holder.standing[first.key] = self
        holder.bear(now, self.load, first.figures.get("g", ""))
        self._plan_change(now)
        self._next_due()

    def _answer(self, now: int, over: Over, word: bytes = b"", ending: Ending = Ending.CLOSE) -> None:
        self._attempt_over(now, over)
        self.out += word
        self.stage = Stage.OVER
        self.ending = ending

    def _give_up_turn(self) -> None:
        if self.due is not None:
            self.holder.waiting -= 1
            self.due = None

    def _attempt_over(self, now: int, over: Over) -> None:
        if self._first is not None:
            self.holder.seen.attempt_over(now, self._first.request, self.holder.number, over)

    def _not_sent(self, fault: str) -> None:
        self.holder.syntax += 1
        self.holder.seen.syntax(self.relay, self.holder.number, fault)
        self.out += b"SYNTAX\r\n"
        self.stage = Stage.OVER
        self.ending = Ending.CLOSE

    # ---- standing ----

    def _line(self, line: bytes, now: int) -> None:
        if self._hung:
            return
        if self.fault is Fault.AFTER_LINE:
            return self.end(now, Ending.RESET, Over.RESET)
        if line == b"QUIT":
            return self.end(now, Ending.CLOSE, Over.UP, b"BYE\r\n")
        delay = self.holder.machine.delay_us(now)
        answer = self._echo(line, now, delay)
        if delay < AT_ONCE_US and not self._echoes:
            self.out += answer
        else:
            self._echoes.append((now + delay, answer))
            self._next_due()

    def _echo(self, line: bytes, now: int, delay: int) -> bytes:
        """The line again; one that tells when it was sent comes back with the moment of the answer."""
        word, _, rest = line.partition(b" ")
        number, _, sent = rest.partition(b" ")
        if word != b"M" or not sent.isdigit():
            return line + END
        if now - int(sent) > HELD_BACK_US and self._first is not None:
            self.holder.seen.held_back(now, self._first.request, now - int(sent))
        return b"E %b %d\r\n" % (number, now + delay)

    def _plan_change(self, now: int) -> None:
        work = self._work()
        if work.swing_sigma:
            self._change_at = now + int(self.holder.random.exponential(work.change_us))

    def _change(self, now: int) -> None:
        """Its load is drawn anew round its usual one."""
        sigma = self._work().swing_sigma
        load = self._usual * float(self.holder.random.lognormal(-sigma * sigma / 2, sigma))
        self.holder.machine.add(now, load - self.load)
        self.load = load
        self.out += b"LOAD %.1f\r\n" % load
        self._plan_change(now)

    def _work(self) -> ClassWork:
        assert self._first is not None
        return self.holder.works[self._first.figures["c"]]

    def _next_due(self) -> None:
        moments = [self._echoes[0][0]] if self._echoes else []
        if self._change_at is not None:
            moments.append(self._change_at)
        self.due = min(moments, default=None)

    def _broke(self, now: int) -> None:
        assert self._first is not None
        self.holder.seen.broke(now, self._first.request, self.holder.number)

    def _leave(self, now: int, park: bool) -> None:
        holder, first = self.holder, self._first
        assert first is not None
        if holder.standing.get(first.key) is self:
            del holder.standing[first.key]
        group = first.figures.get("g", "")
        if park and holder.park_us:
            holder.forget_parked(now)
            holder.parked[first.key] = Parked(now + holder.park_us, self.load, group)
        else:
            holder.relieve(now, self.load, group)
