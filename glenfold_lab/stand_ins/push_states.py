"""One push server's side of the line protocol, without I/O: bytes and times in, bytes and endings out.

The capacity of its machine is the model's fluid queue (`glenfold_lab.model.servers.server`). The server is
stricter than the relays under test: it answers SYNTAX to a first line that no client sent, and records it as
a fault of the relay. Times are microseconds of the machine's clock.
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
from glenfold_lab.observe import AttemptOutcome, Capacity, End
from glenfold_lab.stand_ins.machine_clock import SECOND_US
from glenfold_lab.stand_ins.seal import InvalidFirstLine, Seal
from glenfold_lab.stand_ins.seen import Seen

LINE_END = b"\r\n"
MAX_LINE_BYTES = 4096
# A line that takes longer from one end to the other is recorded as held back.
MAX_LINE_DELAY_US = SECOND_US
# A reply due sooner is sent at once, as a timer would cost more than the delay matters.
MIN_REPLY_DELAY_US = 3_000
FIRST_LINE_PATTERN = re.compile(
    rb"OPEN ([0-9a-f]{1,16}) ([0-9a-f]{1,16}) ([a-z]+=[!-+\--~]*(?:,[a-z]+=[!-+\--~]*)*)"
)

# The least time until an unfinished set-up is checked again.
MIN_SET_UP_RECHECK_US = 1_000


class Fault(Enum):
    """An injected fault of a connection."""

    RESET = auto()  # The connection is reset at once.
    # The connection is reset after its first line is read, or a standing one after its next line.
    AFTER_LINE = auto()
    HANG = auto()  # The connection stays open without any output.
    SLOW = auto()  # Only a few bytes are read at a time.
    # The server shuts down its sending side instead of answering, and continues to read.
    HALF_CLOSE = auto()
    ERROR = auto()  # The answer is ERR; a standing connection gets HALF_CLOSE.


class Phase(Enum):
    """The phase of a connection."""

    FIRST_LINE = auto()
    SETTING_UP = auto()
    STANDING = auto()
    OVER = auto()


class Ending(Enum):
    """What has to be done with the socket once `output` is written."""

    FINISH = auto()  # Shut down the sending side and continue to read.
    CLOSE = auto()
    RESET = auto()


@dataclass(frozen=True, slots=True)
class FirstLine:
    """A parsed first line; `fields` holds its name=value pairs."""

    request: int
    key: int
    wait_ms: int
    fields: dict[str, str]

    @classmethod
    def read(cls, line: bytes) -> "FirstLine":
        """Parses a first line; raises InvalidFirstLine if it does not have the form that clients use."""
        match = FIRST_LINE_PATTERN.fullmatch(line)
        if match is None:
            raise InvalidFirstLine("its form")
        pairs = [pair.partition("=") for pair in match[3].decode().split(",")]
        fields = {name: value for name, _, value in pairs}
        if len(fields) < len(pairs):
            raise InvalidFirstLine("a figure comes twice")
        wait = fields.get("d", "")
        if not wait.isdigit() or int(wait) < 1:
            raise InvalidFirstLine("it tells no wait")
        try:
            float(fields.get("w", "0")), int(fields.get("g", "0"), 16)
        except ValueError as error:
            raise InvalidFirstLine(f"a figure is no number: {error}") from error
        return cls(int(match[1], 16), int(match[2], 16), int(wait), fields)


@dataclass(frozen=True, slots=True)
class ClassWork:
    """The work that connections of one class cause.

    `number` is the position of the class, `set_up_us` the mean work of a set-up on a standard core, and
    `load` the load of a connection whose line has no `w`. `swing_sigma` and `change_us` describe how far and
    how often the load changes.
    """

    number: int
    set_up_us: float
    load: float = 30_000.0
    swing_sigma: float = 0.0
    change_us: float = 10.0 * SECOND_US


class _NullMessages:
    """Ignores the model's notifications, as connections here observe their calls directly."""

    def replied(self, call: Call, over: AttemptOutcome) -> None: ...

    def ended(self, call: Call, how: End) -> None: ...

    def fell_silent(self, call: Call) -> None: ...


NULL_MESSAGES = _NullMessages()


@dataclass(slots=True)
class ServerProcess:
    """One push server's process: the state that all its connections share.

    `fluid` models the machine, and `capacity` is what the checker is told about it. `round_trips_us` holds
    the network round trip to each relay. `error_rate` is the share of set-ups answered ERR. `park_us` is how
    long a connection is kept after its relay has disconnected; 0 means that it is dropped at once. `store` is
    the shared store that every set-up asks when its work is done. `by_key` holds the standing connections by
    client key, and `syntax_errors` counts first lines that no client sent.
    """

    fluid: Server
    capacity: Capacity
    messages: Messages
    seen: Seen
    random: np.random.Generator
    class_works: dict[str, ClassWork]
    round_trips_us: tuple[int, ...]
    seal: Seal | None = None
    error_rate: float = 0.0
    park_us: int = 0
    store: Store | None = None
    fault: Fault | None = None
    fault_share: float = 0.0
    by_key: dict[int, "ServerConnection"] = field(default_factory=dict)
    parked_until: dict[int, int] = field(default_factory=dict)
    syntax_errors: int = 0

    @property
    def host(self) -> str:
        return self.fluid.machine.host

    @property
    def number(self) -> int:
        return self.fluid.machine.number

    def accept(self, relay: int) -> "ServerConnection":
        """Returns the state for a newly accepted connection from a relay."""
        is_affected = self.fault is not None and self.random.random() < self.fault_share
        return ServerConnection(self, relay, self.fault if is_affected else None)

    def holds(self, key: int) -> bool:
        """Returns whether a connection of this client can continue on this server."""
        return key in self.by_key or key in self.parked_until

    def start(self, now: int, cold: bool) -> None:
        """Resets the state for a new start of the process."""
        self.by_key.clear()
        self.parked_until.clear()
        fluid = self.fluid
        fluid.clear()
        fluid.stage, fluid.cold, fluid.started, fluid.updated_at = Stage.RUNS, cold, now, now
        fluid.refresh(now)
        self.seen.server_started(now, self.number, self.capacity, cold)

    def check(self, now: int) -> list["ServerConnection"]:
        """Advances the machine to `now`; returns the connections to drop because of excess work."""
        fluid = self.fluid
        fluid.refresh(now)
        for key in [key for key, until in self.parked_until.items() if until <= now]:
            self.forget(key)
        fluid.set_up_load = (fluid.set_up_load + fluid.set_up_work / TICK_US * SECOND_US) / 2
        fluid.set_up_work = 0.0
        capacity = fluid.capacity()
        used = (fluid.demand + fluid.set_up_load) / capacity if capacity > 0 else 1.0
        fluid.wait_us = float(self.messages.waits(np.array([used]))[0])
        limit = fluid.machine.kind.buffer_s * fluid.machine.capacity
        if fluid.backlog <= limit:
            return []
        fluid.drop(fluid.backlog - limit)
        return self._heaviest(capacity)

    def _heaviest(self, capacity: float) -> list["ServerConnection"]:
        """Returns the heaviest connections, at least one, so that the remaining load fits the capacity."""
        remaining = self.fluid.demand
        is_affected: list[ServerConnection] = []
        for connection in sorted(self.by_key.values(), key=lambda held: (-held.load, held.request)):
            if is_affected and (remaining <= SHED_TARGET * capacity or capacity <= 0):
                break
            remaining -= connection.load
            is_affected.append(connection)
        return is_affected

    def delay_us(self, now: int) -> int:
        """Returns the delay from a line's arrival to its reply; huge while no work is done."""
        self.fluid.advance(now)
        own_us = self.messages.message_work_us(0) + self.fluid.backlog_us()
        return int(min(own_us + self.random.exponential(1.0) * self.fluid.wait_us, 1e12))

    def forget(self, key: int) -> None:
        """Drops the parked connection of this client."""
        del self.parked_until[key]
        self.fluid.unpark(self.fluid.parked[key])


class ServerConnection:
    """One connection from a relay.

    The caller writes `output` and then carries out `ending`. `due` is the time at which the caller has to
    call `tick` unless input comes first; None means never.
    """

    def __init__(self, process: ServerProcess, relay: int, fault: Fault | None) -> None:
        self.process = process
        self.relay = relay
        self.fault = fault
        self.phase = Phase.FIRST_LINE
        self.output = b""
        self.ending: Ending | None = Ending.RESET if fault is Fault.RESET else None
        self.due: int | None = None
        self._first_line: FirstLine | None = None
        self._call: Call | None = None
        self._work: ClassWork | None = None
        self._usual_load = 0.0
        self._first_byte_at = 0
        self._buffer = b""
        self._set_up_end = 0.0
        self._has_asked_store = False
        self._pending_replies: list[tuple[int, bytes]] = []
        self._load_change_at: int | None = None
        self._is_hung = False  # No further output follows.

    @property
    def load(self) -> float:
        return self._call.load if self._call is not None else 0.0

    @property
    def request(self) -> int:
        return self._call.request if self._call is not None else -1

    # ---- input ----

    def received(self, data: bytes, now: int, arrived_at: int) -> None:
        """Handles bytes from the relay; no bytes mean that the relay has shut down its sending side.

        `arrived_at` is when they arrived at the server's machine, which may be long before they are read.
        """
        if not data:
            return self.disconnected(now)
        self._first_byte_at = self._first_byte_at or arrived_at
        *lines, self._buffer = (self._buffer + data).split(LINE_END)
        for line in lines:
            if self.phase is Phase.FIRST_LINE:
                self._read_first_line(line, now)
            elif self.phase is Phase.STANDING:
                self._handle_line(line, now)
            elif self.phase is Phase.SETTING_UP:
                self._reject("its client does not wait for the answer", now)
        if len(self._buffer) > MAX_LINE_BYTES:
            self._reject("a line is too long", now)

    def disconnected(self, now: int) -> None:
        """Handles the relay's close or reset of the connection."""
        if self.phase is Phase.SETTING_UP:
            self._report_attempt(now, AttemptOutcome.ABANDONED)
        elif self.phase is Phase.STANDING:
            self._remove(now, park=self.process.park_us > 0)
        self.phase = Phase.OVER
        self.ending = self.ending or Ending.CLOSE

    def tick(self, now: int) -> None:
        """Does what was planned for the time `due`."""
        if self.phase is Phase.SETTING_UP:
            self._check_set_up(now)
        elif self.phase is Phase.STANDING:
            self._send_replies(now)
            if self._load_change_at is not None and self._load_change_at <= now:
                self._change_load(now)
            self._set_due()

    # ---- actions of the server ----

    def apply_fault(self, fault: Fault, now: int) -> None:
        """Applies a fault to a connection that is already open."""
        if self.phase is Phase.OVER:
            return
        self.fault = fault
        if fault is Fault.RESET:
            self.end(now, Ending.RESET, AttemptOutcome.RESET)
        elif fault in (Fault.HALF_CLOSE, Fault.ERROR) and self.phase is Phase.STANDING:
            self.end(now, Ending.FINISH, AttemptOutcome.RESET)
        elif fault is Fault.HANG:
            self.hang(now)

    def hang(self, now: int) -> None:
        """Keeps the connection open and silent from now on."""
        if self.phase is Phase.STANDING and not self._is_hung:
            self._report_broken(now, silent=True)
        elif self.phase is Phase.SETTING_UP:
            self._leave_queue(now)
        self._is_hung = True
        self.due = None

    def end(self, now: int, ending: Ending, over: AttemptOutcome, word: bytes = b"") -> None:
        """Ends the connection: orderly after the line `word`, or as a break without one."""
        if self.phase is Phase.SETTING_UP:
            self._report_attempt(now, over)
        elif self.phase is Phase.STANDING:
            if not word and not self._is_hung:
                self._report_broken(now, silent=False)
            self._remove(now, park=False)
        self.output += word
        self.phase = Phase.OVER
        self.ending = ending
        self.due = None

    def move(self, now: int) -> None:
        """Sends MOVE to the client of a standing connection."""
        if self.phase is Phase.STANDING and not self._is_hung:
            self.end(now, Ending.CLOSE, AttemptOutcome.UP, b"MOVE\r\n")

    def supersede(self, now: int) -> None:
        """Ends this end of a connection that has arrived again over another path."""
        self._remove(now, park=False)
        self.phase = Phase.OVER
        self.ending = Ending.CLOSE

    # ---- first line and set-up ----

    def _read_first_line(self, line: bytes, now: int) -> None:
        process = self.process
        try:
            first = FirstLine.read(line)
            if process.seal is not None:
                process.seal.check(line)
            if (work := process.class_works.get(first.fields.get("c", ""))) is None:
                raise InvalidFirstLine("its class")
        except InvalidFirstLine as error:
            return self._reject(str(error), now)
        goes_on = first.fields.get("at") == process.host or (
            first.fields.get("mid") == "1" and process.holds(first.key)
        )
        process.seen.sent(now, first.request, self.relay, process.number, self._first_byte_at, goes_on)
        self._first_line, self._work = first, work
        self._usual_load = float(first.fields.get("w", work.load))
        self._call = Call(
            first.request,
            self.relay,
            process.number,
            work.number,
            0,
            int(first.fields.get("g", "0"), 16),
            first.key,
            self._usual_load,
            now + first.wait_ms * 1000,
            first.fields.get("mid") == "1",
            NULL_MESSAGES,
        )
        self.phase = Phase.SETTING_UP
        self._answer_or_queue(first, self._call, now)

    def _answer_or_queue(self, first: FirstLine, call: Call, now: int) -> None:
        process, fluid = self.process, self.process.fluid
        fluid.advance(now)
        if self.fault is Fault.HANG or self._is_hung:
            self._is_hung = True
        elif self.fault is Fault.AFTER_LINE:
            self._answer(now, AttemptOutcome.RESET, ending=Ending.RESET)
        elif self.fault is Fault.HALF_CLOSE:
            self._answer(now, AttemptOutcome.RESET, ending=Ending.FINISH)
        elif (
            self.fault is Fault.ERROR
            or process.random.random() < process.error_rate
            or call.request in fluid.waiting
            or call.request in fluid.standing
        ):
            self._answer(now, AttemptOutcome.ERROR, b"ERR\r\n")
        elif call.mid_flow:
            self._resume(call, now)
        elif "at" in first.fields and first.fields["at"] != process.host:
            self._answer(now, AttemptOutcome.RESET, ending=Ending.RESET)
        elif fluid.stage is Stage.DRAINS or len(fluid.waiting) >= fluid.queue or fluid.held >= fluid.cap:
            self._answer(now, AttemptOutcome.BUSY, b"BUSY\r\n")
        elif "at" in first.fields or first.fields.get("s") == "0":  # No set-up work: it stood before.
            self._send_up(now, call)
        else:
            self._queue_set_up(call, now)

    def _resume(self, call: Call, now: int) -> None:
        """Continues a connection whose packets come over another path; only the server that holds it can."""
        before = self.process.by_key.get(call.connection)
        if before is not None:
            before.supersede(now)
        elif call.connection in self.process.parked_until:
            self.process.forget(call.connection)
        else:
            return self._answer(now, AttemptOutcome.RESET, ending=Ending.RESET)
        self._send_up(now, call)

    def _queue_set_up(self, call: Call, now: int) -> None:
        process, fluid = self.process, self.process.fluid
        assert self._work is not None
        log_mean = math.log(self._work.set_up_us) - SET_UP_SIGMA * SET_UP_SIGMA / 2
        work = float(process.random.lognormal(log_mean, SET_UP_SIGMA))
        wait = min(fluid.backlog_us(), TICK_US) if fluid.capacity() <= 0 else fluid.backlog_us()
        own_us = work / fluid.machine.speed
        spread_us = float(process.random.exponential(1.0)) * (SET_UP_SPREAD * own_us + fluid.wait_us)
        fluid.enqueue(call, work)
        self._set_up_end = fluid.waiting[call.request].end
        self._has_asked_store = False
        self.due = now + int(wait + own_us + spread_us) + process.round_trips_us[self.relay]

    def _check_set_up(self, now: int) -> None:
        fluid, call = self.process.fluid, self._call
        assert call is not None
        fluid.advance(now)
        fluid.pop_finished()  # Abandoned set-ups no longer hold up those behind them.
        if fluid.work_done < self._set_up_end - 1:  # The capacity has fallen in the meantime.
            capacity = fluid.capacity()
            remaining = (self._set_up_end - fluid.work_done) / capacity * 1e6 if capacity > 0 else TICK_US
            self.due = now + max(MIN_SET_UP_RECHECK_US, min(TICK_US, int(remaining)))
            return
        if self.process.store is not None and not self._has_asked_store:
            self._has_asked_store = True
            self.due = now + self.process.store.answer_us(now)
            return
        del fluid.waiting[call.request]
        self.due = None
        if now > call.deadline:
            self._answer(now, AttemptOutcome.BUSY, b"BUSY\r\n")
        else:
            self._send_up(now, call)

    def _send_up(self, now: int, call: Call) -> None:
        process = self.process
        receipt = f"{process.host}.{call.request:x}"
        if process.seal is not None:
            receipt = process.seal.receipt(process.host, call.request)
        self.output += f"UP {receipt}\r\n".encode()
        self._report_attempt(now, AttemptOutcome.UP)
        self.phase = Phase.STANDING
        process.by_key[call.connection] = self
        process.fluid.add_standing(call)
        self._schedule_load_change(now)
        self._set_due()

    def _answer(
        self, now: int, over: AttemptOutcome, word: bytes = b"", ending: Ending = Ending.CLOSE
    ) -> None:
        self._report_attempt(now, over)
        self.output += word
        self.phase = Phase.OVER
        self.ending = ending

    def _leave_queue(self, now: int) -> None:
        call, fluid = self._call, self.process.fluid
        if call is not None and self.due is not None:
            fluid.advance(now)
            fluid.abandon(call)
            self.due = None

    def _report_attempt(self, now: int, over: AttemptOutcome) -> None:
        self._leave_queue(now)
        if self._call is not None:
            self.process.seen.attempt_over(now, self._call.request, self.process.number, over)

    def _reject(self, fault: str, now: int) -> None:
        if self.phase is Phase.OVER:
            return
        self.process.syntax_errors += 1
        words = f"it sent server {self.process.number} what no client sends: {fault}"
        self.process.seen.fault(now, self.relay, words)
        self.end(now, Ending.CLOSE, AttemptOutcome.ERROR, b"SYNTAX\r\n")

    # ---- standing ----

    def _handle_line(self, line: bytes, now: int) -> None:
        if self._is_hung:
            return
        if self.fault is Fault.AFTER_LINE:
            return self.end(now, Ending.RESET, AttemptOutcome.RESET)
        if line == b"QUIT":
            return self.end(now, Ending.CLOSE, AttemptOutcome.UP, b"BYE\r\n")
        self._report_late_line(line, now)
        delay = self.process.delay_us(now) + self.process.round_trips_us[self.relay]
        # A reply to "M <time>" contains the time of the reply; all other lines are echoed unchanged.
        answer = b"E %d %b\r\n" % (now + delay, line[2:]) if line[:2] == b"M " else line + LINE_END
        if delay < MIN_REPLY_DELAY_US and not self._pending_replies:
            self.output += answer
        else:
            last = self._pending_replies[-1][0] if self._pending_replies else 0
            self._pending_replies.append((max(now + delay, last), answer))
            self._set_due()

    def _report_late_line(self, line: bytes, now: int) -> None:
        """Records a line that arrived late, by the sending time that the line contains."""
        word, _, sent = line.partition(b" ")
        if word == b"M" and sent.isdigit() and now - int(sent) > MAX_LINE_DELAY_US:
            self.process.seen.held_back(now, self.request, now - int(sent))

    def _send_replies(self, now: int) -> None:
        if self.process.fluid.capacity() <= 0:  # No work is done at present.
            self._pending_replies = [(max(at, now + TICK_US), answer) for at, answer in self._pending_replies]
        while self._pending_replies and self._pending_replies[0][0] <= now:
            self.output += self._pending_replies.pop(0)[1]

    def _schedule_load_change(self, now: int) -> None:
        work = self._work
        if work is not None and work.swing_sigma:
            self._load_change_at = now + int(work.change_us * self.process.random.uniform(0.5, 1.5))

    def _change_load(self, now: int) -> None:
        """Draws a new load around the connection's usual load."""
        call, work, fluid = self._call, self._work, self.process.fluid
        assert call is not None and work is not None
        sigma = work.swing_sigma
        load = self._usual_load * float(self.process.random.lognormal(-sigma * sigma / 2, sigma))
        fluid.advance(now)
        fluid.demand += load - call.load
        call.load = load
        self.output += b"LOAD %.1f\r\n" % load
        self._schedule_load_change(now)

    def _set_due(self) -> None:
        times = [self._pending_replies[0][0]] if self._pending_replies else []
        if self._load_change_at is not None:
            times.append(self._load_change_at)
        self.due = min(times, default=None)

    def _report_broken(self, now: int, silent: bool) -> None:
        self.process.seen.broke(now, self.request, self.process.number, silent)

    def _remove(self, now: int, park: bool) -> None:
        """Removes the connection from the standing ones; `park` keeps it for `park_us`."""
        process, call = self.process, self._call
        assert call is not None
        process.fluid.advance(now)
        if process.by_key.get(call.connection) is self:
            del process.by_key[call.connection]
        if park and call.connection not in process.parked_until:
            process.fluid.park(call)
            process.parked_until[call.connection] = now + process.park_us
        else:
            process.fluid.remove_standing(call)
