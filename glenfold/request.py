"""The states of one request, without I/O: what comes in, and what has to be done about it.

Whatever races, there is one final answer and at most one outbound call out. Nothing here knows the line
protocol: an answer is UP, a refusal or a failure, and the inbound side words it.
"""

from dataclasses import dataclass
from enum import Enum, auto

from glenfold.dispatch import RequestAction
from linnetspread import interface


class Phase(Enum):
    TAKEN = auto()  # the decisions have it
    CALLING = auto()  # an outbound call is out
    STANDING = auto()  # up
    FINISHED = auto()


# ---- what comes in, besides the actions of the decisions ----


@dataclass(frozen=True, slots=True)
class CallUp:
    """The server took it; `receipt` is its line, with whatever came right behind it. `stalled_us`: how long
    the relay itself kept the call waiting, which must not look like a slow server."""

    receipt: bytes
    stalled_us: int = 0


@dataclass(frozen=True, slots=True)
class CallEnded:
    outcome: interface.Outcome


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    pass


@dataclass(frozen=True, slots=True)
class ClientSentEarly:
    """Before its answer, for which it should have waited."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    pass


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The standing connection is over."""

    outcome: interface.Outcome


Input = (
    RequestAction
    | CallUp
    | CallEnded
    | ClientDisconnected
    | ClientSentEarly
    | DeadlinePassed
    | ConnectionEnded
)


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

    event: interface.Event


Effect = StartCall | DropCall | AnswerUp | AnswerRefused | AnswerFailed | MoveClient | Report


class RequestState:
    __slots__ = ("number", "deadline_us", "phase", "server", "_attempt", "_sent_us", "_is_bound")

    def __init__(self, number: int, deadline_us: int) -> None:
        self.number = number
        self.deadline_us = deadline_us
        self.phase = Phase.TAKEN
        self._attempt = -1
        self.server = 0
        self._sent_us = 0
        self._is_bound = False  # stands at one server already: no other may be tried

    def resume(self, server: int, now_us: int) -> list[Effect]:
        """A connection that stood at this server before the relay did: its attempt 0 counts as made."""
        self._is_bound = True
        return self._start(server, self.deadline_us, now_us)

    def notice(self, kind: interface.NoticeKind, amount: float) -> interface.Notice:
        """News of the standing connection, for the decisions."""
        return interface.Notice(self.number, self._attempt, self.server, kind, amount)

    def on(self, event_input: Input, now_us: int) -> list[Effect]:
        match event_input:
            case interface.Attempt(_, server, timeout_us):
                if self.phase is Phase.TAKEN:
                    return self._start(server, min(self.deadline_us, now_us + timeout_us), now_us)
                # Never a second call beside one that is out, and none after the final answer.
                self._attempt += 1
                done = self.phase is not Phase.CALLING
                return [
                    Report(
                        interface.Answer(self.number, self._attempt, server, interface.Outcome.MOOT, 0, done)
                    )
                ]
            case interface.Refuse(_, wait_us):
                return self._give_up(AnswerRefused(wait_us), now_us)
            case interface.Fail():
                return self._give_up(AnswerFailed(), now_us)
            case interface.Cancel():
                if self.phase is not Phase.CALLING:
                    return []
                self.phase = Phase.TAKEN
                return [DropCall(), self._ended(interface.Outcome.CANCELLED, now_us, False)]
            case interface.Move():
                return [MoveClient()] if self.phase is Phase.STANDING else []
            case CallUp(receipt, stalled_us):
                return self._call_up(receipt, now_us - stalled_us)
            case CallEnded(outcome):
                return self._call_ended(outcome, now_us)
            case ClientDisconnected():
                return self._client_disconnected(now_us)
            case DeadlinePassed() | ClientSentEarly():
                answer = self._give_up(AnswerFailed(), now_us)
                return [*answer, Report(interface.ClientLeft(self.number))] if answer else []
            case ConnectionEnded(outcome):
                if self.phase is not Phase.STANDING:
                    return []
                self.phase = Phase.FINISHED
                return [self._ended(outcome, now_us, True)]

    def _start(self, server: int, deadline_us: int, now_us: int) -> list[Effect]:
        self.phase = Phase.CALLING
        self._attempt += 1
        self.server, self._sent_us = server, now_us
        return [StartCall(server, deadline_us)]

    def _ended(self, outcome: interface.Outcome, now_us: int, done: bool) -> Report:
        elapsed = now_us - self._sent_us
        return Report(interface.Answer(self.number, self._attempt, self.server, outcome, elapsed, done))

    def _give_up(self, answer: AnswerRefused | AnswerFailed, now_us: int) -> list[Effect]:
        before, calling = self.phase, self.phase is Phase.CALLING
        if before in (Phase.STANDING, Phase.FINISHED):  # a call came up, or the client left, just before
            return []
        self.phase = Phase.FINISHED
        # The answer first: it is due at once, and closing the call takes no time that matters to it.
        return (
            [answer, DropCall(), self._ended(interface.Outcome.CANCELLED, now_us, True)]
            if calling
            else [answer]
        )

    def _call_up(self, receipt: bytes, received_us: int) -> list[Effect]:
        if self.phase is not Phase.CALLING:  # it raced the final answer: it must not become a second one
            return [DropCall()]
        self.phase = Phase.STANDING
        elapsed = max(0, received_us - self._sent_us)
        up = interface.Established(self.number, self._attempt, self.server, elapsed)
        return [AnswerUp(receipt), Report(up)]

    def _call_ended(self, outcome: interface.Outcome, now_us: int) -> list[Effect]:
        if self.phase is not Phase.CALLING:
            return []
        self.phase = Phase.FINISHED if self._is_bound else Phase.TAKEN
        ended = self._ended(outcome, now_us, self._is_bound)
        return [AnswerFailed(), ended] if self._is_bound else [ended]

    def _client_disconnected(self, now_us: int) -> list[Effect]:
        before, self.phase = self.phase, Phase.FINISHED
        effects: list[Effect] = (
            [] if before is Phase.FINISHED else [Report(interface.ClientLeft(self.number))]
        )
        if before is Phase.CALLING:
            effects.append(DropCall())
        if before in (Phase.CALLING, Phase.STANDING):
            effects.append(self._ended(interface.Outcome.CANCELLED, now_us, True))
        return effects
