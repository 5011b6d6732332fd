"""The state machine of one client's connection, without I/O: inputs go in, effects come out.

Times are absolute microseconds on one monotonic clock. The driver calls `on` with each input, carries out
the returned effects in order, and passes `Due` once the clock reaches `due_us`.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto

from glenfold.lines import LINE_END, LineTracker

ANSWER_SLACK_US = 50_000  # An answer may arrive this much after the deadline.
LINE_TIMEOUT_US = 7_000_000  # The client drops its connection when a line is unanswered for this long.
CLOSING_TIMEOUT_US = 1_000_000  # The longest wait for the other side to close after one side has.


class Phase(Enum):
    """The state of one connection."""

    CONNECTING = auto()
    ASKED = auto()  # The first line was sent; the answer is pending.
    UP = auto()  # The request was answered UP, and every line sent so far is answered.
    LINES = auto()  # The connection is up and some lines are unanswered.
    LEAVING = auto()  # The server sent MOVE or BYE, or the client is done; the connection is about to end.
    ENDED = auto()


class Answer(Enum):
    """How a request ended, as the client saw it."""

    UP = "up"
    BUSY = "busy"
    ERROR = "error"  # The answer was some other line.
    CLOSED = "closed"  # The server closed the connection without a line.
    RESET = "reset"  # The connection was reset before an answer.
    UNREACHABLE = "unreachable"  # The connection was never established.
    NONE = "none"  # No answer arrived by the deadline plus `ANSWER_SLACK_US`.


class EndReason(Enum):
    """How a connection that was up ended, as the client saw it."""

    LEFT = "left"  # The client closed it at the end of its planned lifetime.
    MOVED = "moved"  # The server sent MOVE.
    SERVED = "served"  # The server sent BYE.
    CUT = "cut"  # The server closed it without MOVE or BYE.
    RESET = "reset"
    SILENT = "silent"  # A line was unanswered for `LINE_TIMEOUT_US`.
    GARBLED = "garbled"  # The server sent a line that is too long.


@dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """What one client sends, and how long it keeps its connection.

    `line` is the first line, with its line end. `wait_us` is how long the client waits for the answer after
    sending it. `until_us` is when the client closes the connection. `line_gap_us` is the time between lines;
    0 sends none. `last_line` is sent before the client closes, with its line end; empty sends none.
    """

    line: bytes
    wait_us: int
    until_us: int
    line_gap_us: int = 0
    last_line: bytes = b""


# ---- inputs ----


@dataclass(frozen=True, slots=True)
class Connected:
    """The connection is established."""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The connection was refused or could not be established."""


@dataclass(frozen=True, slots=True)
class Received:
    """The server sent `data`."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ReceivedEof:
    """The server has closed its sending side."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection was reset."""


@dataclass(frozen=True, slots=True)
class Due:
    """The clock has reached `due_us`."""


Input = Connected | Unreachable | Received | ReceivedEof | Broken | Due


# ---- effects: actions for the driver, and events to report ----


@dataclass(frozen=True, slots=True)
class Send:
    """Sends `data`."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SendEof:
    """Closes the sending side; the client still receives."""


@dataclass(frozen=True, slots=True)
class Close:
    """Closes the connection; always the last effect."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The request has ended.

    `us` is the time since the intended start. `wait_us` is the retry delay that BUSY advises, else 0.
    """

    answer: Answer
    us: int
    wait_us: int = 0
    receipt: bytes = b""


@dataclass(frozen=True, slots=True)
class LineSent:
    """A line was sent `late_us` after its intended time."""

    late_us: int


@dataclass(frozen=True, slots=True)
class LineAnswered:
    """A line was answered, `us` after the line's intended time. `answer` has no line end."""

    us: int
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class UnexpectedLine:
    """The server sent a line that answers none of the client's, or a line after a final answer."""

    line: bytes


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """A connection that was up has ended. `unanswered` counts the lines without an answer."""

    reason: EndReason
    unanswered: int


ClientEvent = Answered | LineSent | LineAnswered | UnexpectedLine | ConnectionEnded
Effect = Send | SendEof | Close | ClientEvent


class ClientState:
    """The state of one connection.

    `intended_us` is the planned start, `now_us` the actual one. The server answers lines in order, each with
    one line other than LOAD, MOVE and BYE. At most LINE_TIMEOUT_US / line_gap_us lines can be unanswered at
    once.
    """

    def __init__(self, options: ConnectionOptions, intended_us: int, now_us: int) -> None:
        self.options = options
        self.intended_us = intended_us
        self.phase = Phase.CONNECTING
        self.due_us = now_us + options.wait_us
        self._lines = LineTracker()
        self._unanswered_us: deque[int] = deque()  # intended times of the unanswered lines
        self._next_line_us = 0
        self._end_reason = EndReason.LEFT

    @property
    def is_standing(self) -> bool:
        """Whether the request was answered UP and the connection has not ended."""
        return self.phase in (Phase.UP, Phase.LINES, Phase.LEAVING)

    def on(self, event_input: Input, now_us: int) -> list[Effect]:
        """Processes one input and returns the effects, in the order in which to carry them out."""
        if self.phase is Phase.ENDED:
            return []
        match event_input:
            case Connected():
                return self._send_first_line(now_us)
            case Unreachable():
                return self._end(Answer.UNREACHABLE, EndReason.RESET, now_us)
            case Received(data):
                return self._on_received(data, now_us)
            case ReceivedEof():
                return self._end(Answer.CLOSED, EndReason.CUT, now_us)
            case Broken():
                return self._end(Answer.RESET, EndReason.RESET, now_us)
            case Due():
                return self._on_due(now_us) if now_us >= self.due_us else []

    def _send_first_line(self, now_us: int) -> list[Effect]:
        self.phase = Phase.ASKED
        self.due_us = now_us + self.options.wait_us + ANSWER_SLACK_US
        return [Send(self.options.line)]

    def _on_received(self, data: bytes, now_us: int) -> list[Effect]:
        effects: list[Effect] = []
        after_end: list[Effect] = []  # reported before Close, which has to be the last effect
        for line in self._lines.feed(data):
            if self.phase is Phase.ENDED:
                after_end.append(UnexpectedLine(line))
            else:
                effects += self._on_line(line, now_us)
        if self._lines.too_long:
            effects += self._end(Answer.ERROR, EndReason.GARBLED, now_us)
        effects[-1:-1] = after_end
        return effects

    def _on_line(self, line: bytes, now_us: int) -> list[Effect]:
        if not self.is_standing:
            return self._on_answer(line, now_us)
        if line in (b"MOVE", b"BYE"):
            return self._start_closing(EndReason.MOVED if line == b"MOVE" else EndReason.SERVED, now_us)
        if line.startswith(b"LOAD "):
            return []
        if not self._unanswered_us:
            return [UnexpectedLine(line)]
        answered = LineAnswered(now_us - self._unanswered_us.popleft(), line)
        self._set_due()
        return [answered]

    def _on_answer(self, line: bytes, now_us: int) -> list[Effect]:
        word, _, rest = line.partition(b" ")
        if word == b"BUSY" and (not rest or rest.isdigit()):
            return self._end(Answer.BUSY, EndReason.LEFT, now_us, wait_us=int(rest or b"0") * 1000)
        if word != b"UP" or not rest:
            return self._end(Answer.ERROR, EndReason.LEFT, now_us)
        self.phase = Phase.UP
        self._next_line_us = now_us + self.options.line_gap_us
        self._set_due()
        return [Answered(Answer.UP, now_us - self.intended_us, receipt=rest)]

    def _set_due(self) -> None:
        """Sets the next deadline while the connection is up; a closing one keeps its closing timeout."""
        if self.phase is Phase.LEAVING:
            return
        self.phase = Phase.LINES if self._unanswered_us else Phase.UP
        due = self.options.until_us
        if self.options.line_gap_us:
            due = min(due, self._next_line_us)
        if self._unanswered_us:
            due = min(due, self._unanswered_us[0] + LINE_TIMEOUT_US)
        self.due_us = due

    def _on_due(self, now_us: int) -> list[Effect]:
        if self.phase in (Phase.CONNECTING, Phase.ASKED):
            answer = Answer.UNREACHABLE if self.phase is Phase.CONNECTING else Answer.NONE
            return self._end(answer, EndReason.RESET, now_us)
        if self.phase is Phase.LEAVING:
            return self._end(Answer.NONE, self._end_reason, now_us)
        if self._unanswered_us and now_us >= self._unanswered_us[0] + LINE_TIMEOUT_US:
            return self._end(Answer.NONE, EndReason.SILENT, now_us)
        if now_us >= self.options.until_us:
            last = [Send(self.options.last_line)] if self.options.last_line else []
            return [*last, SendEof(), *self._start_closing(EndReason.LEFT, now_us)]
        return self._send_due_lines(now_us)

    def _send_due_lines(self, now_us: int) -> list[Effect]:
        """Sends every due line, overdue ones too: a late line never causes the next one to be skipped."""
        effects: list[Effect] = []
        while self._next_line_us <= now_us:
            effects += [Send(b"M %d" % self._next_line_us + LINE_END), LineSent(now_us - self._next_line_us)]
            self._unanswered_us.append(self._next_line_us)
            self._next_line_us += self.options.line_gap_us
        self._set_due()
        return effects

    def _start_closing(self, reason: EndReason, now_us: int) -> list[Effect]:
        if self.phase is not Phase.LEAVING:
            self.phase, self.due_us = Phase.LEAVING, now_us + CLOSING_TIMEOUT_US
            self._end_reason = reason
        return []

    def _end(self, answer: Answer, reason: EndReason, now_us: int, wait_us: int = 0) -> list[Effect]:
        """Ends the connection.

        Reports `answer` if the request was unanswered, else `reason`, unless the connection was already
        closing for another reason.
        """
        previous_phase, self.phase = self.phase, Phase.ENDED
        if previous_phase in (Phase.CONNECTING, Phase.ASKED):
            return [Answered(answer, now_us - self.intended_us, wait_us), Close()]
        how = self._end_reason if previous_phase is Phase.LEAVING else reason
        return [ConnectionEnded(how, len(self._unanswered_us)), Close()]


def open_line(ident: int, key: int, figures: Mapping[str, str | int]) -> bytes:
    """Returns a client's first line, `OPEN ID KEY NAME=VALUE,...`, with its line end.

    `ident` and `key` have 64 bits. `figures` must include `c` (class) and `d` (deadline in ms).
    """
    pairs = ",".join(f"{name}={value}" for name, value in figures.items())
    return f"OPEN {ident:016x} {key:016x} {pairs}".encode("ascii") + LINE_END
