"""The state machine of one request, without I/O: inputs come in, and effects to carry out are returned.

In whatever order inputs arrive, there is one final answer and at most one outbound call at a time. This
module does not depend on the line protocol: an answer is UP, a refusal or a failure, and the inbound side
encodes it.
"""

from dataclasses import dataclass
from enum import Enum, auto

from glenfold.dispatch import RequestAction
from linnetspread import interface


class Phase(Enum):
    """The phases of a request."""

    DECIDING = auto()  # waiting for the decisions
    CALLING = auto()  # an outbound call is under way
    STANDING = auto()  # answered UP, and the connection stays open
    FINISHED = auto()


# ---- inputs other than the actions of the decisions ----


@dataclass(frozen=True, slots=True)
class CallUp:
    """The server accepted the connection.

    `receipt` is the server's line, with any bytes received together with it. `stalled_us` is the time in
    microseconds for which the relay itself delayed the call, which must not count as a slow server.
    """

    receipt: bytes
    stalled_us: int = 0


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The outbound call failed."""

    outcome: interface.Outcome


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client closed its connection."""

    pass


@dataclass(frozen=True, slots=True)
class ClientSentEarly:
    """The client sent more data before its answer, which the protocol forbids."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of the request has passed."""

    pass


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The standing connection has ended."""

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


# ---- effects ----


@dataclass(frozen=True, slots=True)
class StartCall:
    """Start an outbound call to the server, which must not be sent the request after `send_by_us`."""

    server: int
    deadline_us: int
    send_by_us: int | None = None


@dataclass(frozen=True, slots=True)
class DropCall:
    """Close the outbound call."""

    pass


@dataclass(frozen=True, slots=True)
class AnswerUp:
    """Answer the client with UP."""

    receipt: bytes


@dataclass(frozen=True, slots=True)
class AnswerRefused:
    """Answer the client with BUSY and the wait."""

    wait_us: int


@dataclass(frozen=True, slots=True)
class AnswerFailed:
    """Answer the client with ERR."""

    pass


@dataclass(frozen=True, slots=True)
class MoveClient:
    """Send MOVE to the client."""

    pass


@dataclass(frozen=True, slots=True)
class Report:
    """Pass an event to the decisions."""

    event: interface.Event


Effect = StartCall | DropCall | AnswerUp | AnswerRefused | AnswerFailed | MoveClient | Report


class RequestState:
    """The state of one request. Times are in microseconds."""

    __slots__ = ("number", "deadline_us", "phase", "server", "_attempt", "_started_us", "_is_bound")

    def __init__(self, number: int, deadline_us: int) -> None:
        self.number = number
        self.deadline_us = deadline_us
        self.phase = Phase.DECIDING
        self._attempt = -1
        self.server = 0
        self._started_us = 0
        self._is_bound = False  # established at a server before: no other may be tried

    def resume(self, server: int, now_us: int) -> list[Effect]:
        """Resumes a connection that was established at this server before the relay started, as attempt 0."""
        self._is_bound = True
        return self._start(StartCall(server, self.deadline_us), now_us)

    def notice(self, kind: interface.NoticeKind, amount: float) -> interface.Notice:
        """Returns a notice about the standing connection for the decisions."""
        return interface.Notice(self.number, self._attempt, self.server, kind, amount)

    def on(self, event_input: Input, now_us: int) -> list[Effect]:
        """Handles one input and returns the effects to carry out, in order."""
        match event_input:
            case interface.Attempt(_, server, timeout_us, send_by_us):
                if self.phase is Phase.DECIDING:
                    deadline_us = min(self.deadline_us, now_us + timeout_us)
                    return self._start(StartCall(server, deadline_us, send_by_us), now_us)
                # There is never a second call beside one that is under way, and none after the final answer.
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
                self.phase = Phase.DECIDING
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

    def _start(self, call: StartCall, now_us: int) -> list[Effect]:
        self.phase = Phase.CALLING
        self._attempt += 1
        self.server, self._started_us = call.server, now_us
        return [call]

    def _ended(self, outcome: interface.Outcome, now_us: int, done: bool) -> Report:
        elapsed = now_us - self._started_us
        return Report(interface.Answer(self.number, self._attempt, self.server, outcome, elapsed, done))

    def _give_up(self, answer: AnswerRefused | AnswerFailed, now_us: int) -> list[Effect]:
        before, calling = self.phase, self.phase is Phase.CALLING
        # The call came up, or the client disconnected, just before.
        if before in (Phase.STANDING, Phase.FINISHED):
            return []
        self.phase = Phase.FINISHED
        # The answer goes first, as it is due at once; closing the call can wait.
        return (
            [answer, DropCall(), self._ended(interface.Outcome.CANCELLED, now_us, True)]
            if calling
            else [answer]
        )

    def _call_up(self, receipt: bytes, received_us: int) -> list[Effect]:
        # The final answer came first, so UP must not become a second answer.
        if self.phase is not Phase.CALLING:
            return [DropCall()]
        self.phase = Phase.STANDING
        elapsed = max(0, received_us - self._started_us)
        up = interface.Established(self.number, self._attempt, self.server, elapsed)
        return [AnswerUp(receipt), Report(up)]

    def _call_ended(self, outcome: interface.Outcome, now_us: int) -> list[Effect]:
        if self.phase is not Phase.CALLING:
            return []
        self.phase = Phase.FINISHED if self._is_bound else Phase.DECIDING
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
