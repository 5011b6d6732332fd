"""The states of one request, without I/O: what comes in, and what has to be done about it.

Whatever races, there is one final answer and at most one outbound call out. Nothing here knows the line
protocol: an answer is UP, a refusal or a failure, and the inbound side words it.
"""

from dataclasses import dataclass
from enum import Enum, auto

from glenfold.dispatch import RequestAction
from linnetspread import interface as i


class Phase(Enum):
    TAKEN = auto()  # the decisions have it
    CALLING = auto()  # an outbound call is out
    STANDING = auto()  # up
    OVER = auto()


# ---- what comes in, besides the actions of the decisions ----


@dataclass(frozen=True, slots=True)
class CallUp:
    """The server took it; `receipt` is its line, with whatever came right behind it. `stalled_us`: how long
    the relay itself kept the call waiting, which must not look like a slow server."""

    receipt: bytes
    stalled_us: int = 0


@dataclass(frozen=True, slots=True)
class CallEnded:
    outcome: i.Outcome


@dataclass(frozen=True, slots=True)
class ClientGone:
    pass


@dataclass(frozen=True, slots=True)
class ClientSpoke:
    """Before its answer, for which it should have waited."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    pass


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The standing connection is over."""

    outcome: i.Outcome


Incident = RequestAction | CallUp | CallEnded | ClientGone | ClientSpoke | DeadlinePassed | ConnectionEnded


# ---- what is to be done ----


@dataclass(frozen=True, slots=True)
class StartCall:
    server: int
    deadline_us: int


@dataclass(frozen=True, slots=True)
class DropCall:
    pass


@dataclass(frozen=True, slots=True)
class AnswerUp:
    receipt: bytes


@dataclass(frozen=True, slots=True)
class AnswerRefused:
    wait_us: int


@dataclass(frozen=True, slots=True)
class AnswerFailed:
    pass


@dataclass(frozen=True, slots=True)
class MoveClient:
    pass


@dataclass(frozen=True, slots=True)
class Report:
    """An event for the decisions."""

    event: i.Event


Effect = StartCall | DropCall | AnswerUp | AnswerRefused | AnswerFailed | MoveClient | Report


class RequestState:
    __slots__ = ("number", "deadline_us", "phase", "server", "_attempt", "_sent_us", "_bound")

    def __init__(self, number: int, deadline_us: int) -> None:
        self.number = number
        self.deadline_us = deadline_us
        self.phase = Phase.TAKEN
        self._attempt = -1
        self.server = 0
        self._sent_us = 0
        self._bound = False  # stands at one server already: no other may be tried

    def resume(self, server: int, now_us: int) -> list[Effect]:
        """A connection that stood at this server before the relay did: its attempt 0 counts as made."""
        self._bound = True
        return self._start(server, self.deadline_us, now_us)

    def notice(self, kind: i.NoticeKind, amount: float) -> i.Notice:
        """News of the standing connection, for the decisions."""
        return i.Notice(self.number, self._attempt, self.server, kind, amount)

    def on(self, incident: Incident, now_us: int) -> list[Effect]:
        match incident:
            case i.Attempt(_, server, timeout_us):
                if self.phase is Phase.TAKEN:
                    return self._start(server, min(self.deadline_us, now_us + timeout_us), now_us)
                # Never a second call beside one that is out, and none after the final answer.
                self._attempt += 1
                done = self.phase is not Phase.CALLING
                return [Report(i.Answer(self.number, self._attempt, server, i.Outcome.MOOT, 0, done))]
            case i.Refuse(_, wait_us):
                return self._give_up(AnswerRefused(wait_us), now_us)
            case i.Fail():
                return self._give_up(AnswerFailed(), now_us)
            case i.Cancel():
                if self.phase is not Phase.CALLING:
                    return []
                self.phase = Phase.TAKEN
                return [DropCall(), self._ended(i.Outcome.CANCELLED, now_us, False)]
            case i.Move():
                return [MoveClient()] if self.phase is Phase.STANDING else []
            case CallUp(receipt, stalled_us):
                return self._up(receipt, now_us - stalled_us)
            case CallEnded(outcome):
                return self._call_ended(outcome, now_us)
            case ClientGone():
                return self._client_gone(now_us)
            case DeadlinePassed() | ClientSpoke():
                answer = self._give_up(AnswerFailed(), now_us)
                return [*answer, Report(i.ClientLeft(self.number))] if answer else []
            case ConnectionEnded(outcome):
                if self.phase is not Phase.STANDING:
                    return []
                self.phase = Phase.OVER
                return [self._ended(outcome, now_us, True)]

    def _start(self, server: int, deadline_us: int, now_us: int) -> list[Effect]:
        self.phase = Phase.CALLING
        self._attempt += 1
        self.server, self._sent_us = server, now_us
        return [StartCall(server, deadline_us)]

    def _ended(self, outcome: i.Outcome, now_us: int, done: bool) -> Report:
        elapsed = now_us - self._sent_us
        return Report(i.Answer(self.number, self._attempt, self.server, outcome, elapsed, done))

    def _give_up(self, answer: AnswerRefused | AnswerFailed, now_us: int) -> list[Effect]:
        before, calling = self.phase, self.phase is Phase.CALLING
        if before in (Phase.STANDING, Phase.OVER):  # a call came up, or the client left, just before
            return []
        self.phase = Phase.OVER
        # The answer first: it is due at once, and closing the call takes no time that matters to it.
        return [answer, DropCall(), self._ended(i.Outcome.CANCELLED, now_us, True)] if calling else [answer]

    def _up(self, receipt: bytes, came_us: int) -> list[Effect]:
        if self.phase is not Phase.CALLING:  # it raced the final answer: it must not become a second one
            return [DropCall()]
        self.phase = Phase.STANDING
        elapsed = max(0, came_us - self._sent_us)
        up = i.Established(self.number, self._attempt, self.server, elapsed)
        return [AnswerUp(receipt), Report(up)]

    def _call_ended(self, outcome: i.Outcome, now_us: int) -> list[Effect]:
        if self.phase is not Phase.CALLING:
            return []
        self.phase = Phase.OVER if self._bound else Phase.TAKEN
        ended = self._ended(outcome, now_us, self._bound)
        return [AnswerFailed(), ended] if self._bound else [ended]

    def _client_gone(self, now_us: int) -> list[Effect]:
        before, self.phase = self.phase, Phase.OVER
        left: list[Effect] = [] if before is Phase.OVER else [Report(i.ClientLeft(self.number))]
        if before is Phase.CALLING:
            left.append(DropCall())
        if before in (Phase.CALLING, Phase.STANDING):
            left.append(self._ended(i.Outcome.CANCELLED, now_us, True))
        return left
