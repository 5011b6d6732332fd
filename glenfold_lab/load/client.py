"""One client's connection, without I/O: what comes in, and what has to be done about it.

Times are absolute microseconds on one clock that does not go back. The driver calls `on` with each
incident, carries out the effects in their order, and gives `Due` when `due_us` has come.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto

from glenfold.lines import LINE_END, LineTracker

ANSWER_SLACK_US = 50_000  # by which an answer may be past the deadline
LINE_TIMEOUT_US = 7_000_000  # a line unanswered for so long: the client gives its connection up
CLOSING_TIMEOUT_US = 1_000_000  # from the end of one side to that of the other


class Phase(Enum):
    CONNECTING = auto()
    ASKED = auto()  # its first line is out
    UP = auto()  # and each line that it said is answered
    LINES = auto()  # up, with lines that are not answered yet
    LEAVING = auto()  # told MOVE or BYE, or done: the end of the connection follows
    ENDED = auto()


class Answer(Enum):
    """How a request ended, as its client saw it."""

    UP = "up"
    BUSY = "busy"
    ERROR = "error"  # any other line
    CLOSED = "closed"  # the connection ended without a line
    RESET = "reset"  # or broke
    UNREACHABLE = "unreachable"  # it never came up
    NONE = "none"  # nothing by the deadline and the slack


class EndReason(Enum):
    """How a connection that was up ended, as its client saw it."""

    LEFT = "left"  # it had what it wanted
    MOVED = "moved"  # told MOVE
    SERVED = "served"  # told BYE
    CUT = "cut"  # ended without a word
    RESET = "reset"
    SILENT = "silent"  # a line was not answered for too long
    GARBLED = "garbled"  # a line was too long


@dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """What a client wants. line: its first line, with its end. wait_us: for its answer, from the sending of
    that line. until_us: it wants the connection until then. line_gap_us: between lines; 0: it says none.
    last_line: what it says, with its end, before it leaves."""

    line: bytes
    wait_us: int
    until_us: int
    line_gap_us: int = 0
    last_line: bytes = b""


# ---- what comes in ----


@dataclass(frozen=True, slots=True)
class Connected:
    pass


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The connection was refused, or did not come up."""


@dataclass(frozen=True, slots=True)
class Received:
    data: bytes


@dataclass(frozen=True, slots=True)
class ReceivedEof:
    """The other side has ended its sending."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection was reset."""


@dataclass(frozen=True, slots=True)
class Due:
    """The moment `due_us` has come."""


Input = Connected | Unreachable | Received | ReceivedEof | Broken | Due


# ---- what is to be done, and what is to be told ----


@dataclass(frozen=True, slots=True)
class Send:
    data: bytes


@dataclass(frozen=True, slots=True)
class SendEof:
    """Ends the sending; what comes in is still heard."""


@dataclass(frozen=True, slots=True)
class Close:
    pass


@dataclass(frozen=True, slots=True)
class Answered:
    """us: since the intended start. wait_us: what BUSY advises, else 0."""

    answer: Answer
    us: int
    wait_us: int = 0
    receipt: bytes = b""


@dataclass(frozen=True, slots=True)
class LineSent:
    """late_us: after its intended moment."""

    late_us: int


@dataclass(frozen=True, slots=True)
class LineAnswered:
    """us: since the moment for which the line was intended. answer: without its end."""

    us: int
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class UnexpectedLine:
    """A line that answers nothing, or came after a final answer that leaves nothing to be said."""

    line: bytes


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    reason: EndReason
    unanswered: int  # lines


ClientEvent = Answered | LineSent | LineAnswered | UnexpectedLine | ConnectionEnded
Effect = Send | SendEof | Close | ClientEvent


class ClientState:
    """intended_us: when the plan has it start; now_us: when it does.

    Lines are answered in their order, each by one line that is none of LOAD, MOVE and BYE. How many wait for
    an answer is bounded by SILENT_US over the gap between them."""

    def __init__(self, options: ConnectionOptions, intended_us: int, now_us: int) -> None:
        self.options = options
        self.intended_us = intended_us
        self.phase = Phase.CONNECTING
        self.due_us = now_us + options.wait_us
        self._lines = LineTracker()
        self._unanswered_us: deque[int] = deque()  # the intended moments of lines without an answer
        self._next_line_us = 0
        self._end_reason = EndReason.LEFT

    @property
    def is_standing(self) -> bool:
        return self.phase in (Phase.UP, Phase.LINES, Phase.LEAVING)

    def on(self, event_input: Input, now_us: int) -> list[Effect]:
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
        after_end: list[Effect] = []  # told before the Close that ended it, as that comes last
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
            return self._on_answered(line, now_us)
        if line in (b"MOVE", b"BYE"):
            return self._start_closing(EndReason.MOVED if line == b"MOVE" else EndReason.SERVED, now_us)
        if line.startswith(b"LOAD "):
            return []
        if not self._unanswered_us:
            return [UnexpectedLine(line)]
        answered = LineAnswered(now_us - self._unanswered_us.popleft(), line)
        self._set_due()
        return [answered]

    def _on_answered(self, line: bytes, now_us: int) -> list[Effect]:
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
        """Only while it is up: from then on a client that leaves is bound by its parting alone."""
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
        """Those that are overdue too: a line is never left out because the one before it was late."""
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
        """By `answer` if it had none yet, else by `parting`, unless it was leaving for another reason."""
        previous_phase, self.phase = self.phase, Phase.ENDED
        if previous_phase in (Phase.CONNECTING, Phase.ASKED):
            return [Answered(answer, now_us - self.intended_us, wait_us), Close()]
        how = self._end_reason if previous_phase is Phase.LEAVING else reason
        return [ConnectionEnded(how, len(self._unanswered_us)), Close()]


def open_line(ident: int, key: int, figures: Mapping[str, str | int]) -> bytes:
    """`OPEN ID KEY NAME=VALUE,...`, a client's first line, with its end. Both numbers are of 64 bits; `c` and
    `d` must be among the figures."""
    pairs = ",".join(f"{name}={value}" for name, value in figures.items())
    return f"OPEN {ident:016x} {key:016x} {pairs}".encode("ascii") + LINE_END
