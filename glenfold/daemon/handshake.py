"""The takeover of listening sockets between two processes of one name, as state machines without I/O.

    new process (Successor)                    old process (Predecessor)
    awaiting offer -- Hello ------------------> awaiting hello
    preparing      <- Offer, with the sockets - offer sent       still accepts clients
    accepting      -- Ready ------------------> paused           no longer accepts clients
    confirming     <- Retired ----------------
    owner          -- Taken ------------------> retired          finishes the requests that it has accepted

A process sends Abort before it closes the connection; a connection that ends without Abort means that the
other process died. Until Taken arrives, the old process can return to normal service, and does so if the new
process dies, gives up or misses its deadline. After Ready is sent, only the old process decides, so the new
one serves clients until the outcome is known, however long that takes.

Times are in seconds on the clock of the process itself; `due` is the time at which `DeadlineReached` is the
next input.
"""

from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from typing import Annotated

import msgspec

FORMAT = 1
MAX_LISTENERS = 64
GREETING_TIMEOUT_S = 5.0  # Limits the time from connecting to Hello, and from Hello to Offer.
# Limits the time from Retired to Taken; the new process has nothing else to do in between.
CONFIRMATION_TIMEOUT_S = 5.0

Text = Annotated[str, msgspec.Meta(max_length=255)]
# Each address has the form HOST:PORT.
Addresses = Annotated[list[Text], msgspec.Meta(max_length=MAX_LISTENERS)]


class Hello(msgspec.Struct, frozen=True, tag=True):
    """Asks for a takeover. `wants` holds the addresses at which the new process is to listen."""

    format: int
    instance: Text
    wants: Addresses


class Offer(msgspec.Struct, frozen=True, tag=True):
    """Passes the listening sockets to the new process.

    `listeners` holds the wanted addresses of the old process, in the order of the descriptors that come with
    the message. If `lock` is true, the descriptor of the name's lock follows them. `others` holds the
    addresses that the old process will close.
    """

    listeners: Addresses
    others: Addresses
    lock: bool


class Ready(msgspec.Struct, frozen=True, tag=True):
    """The new process accepts clients at all its addresses."""


class Retired(msgspec.Struct, frozen=True, tag=True):
    """The old process no longer accepts clients at the addresses that it has passed on."""


class Taken(msgspec.Struct, frozen=True, tag=True):
    """The new process owns the name; the old process does not resume service after this message."""


class Abort(msgspec.Struct, frozen=True, tag=True):
    """The sender ends the takeover and closes the connection."""

    reason: Annotated[str, msgspec.Meta(max_length=1000)]


Message = Hello | Offer | Ready | Retired | Taken | Abort


# ---- inputs other than messages ----


@dataclass(frozen=True, slots=True)
class Disconnected:
    """The other process closed the connection or died."""


@dataclass(frozen=True, slots=True)
class ChannelFailed:
    """A message could not be sent, or received data is not a valid message."""

    reason: str


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The deadline `due` has passed, and all messages sent before it have been received."""


@dataclass(frozen=True, slots=True)
class ProcessReady:
    """This process is ready to serve clients."""


@dataclass(frozen=True, slots=True)
class ProcessStopping:
    """This process was told to stop."""


@dataclass(frozen=True, slots=True)
class Delivered:
    """The last message was delivered to the other side's socket while that still received."""


Input = Message | Disconnected | ChannelFailed | DeadlineReached | ProcessReady | ProcessStopping | Delivered


# ---- effects ----


@dataclass(frozen=True, slots=True)
class Send:
    """Send this message; an Offer carries the descriptors of its sockets."""

    message: Message


@dataclass(frozen=True, slots=True)
class Pause:
    """Stop accepting clients; the sockets stay open."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Accept clients again."""


@dataclass(frozen=True, slots=True)
class Retire:
    """The new process owns the sockets: close them here, finish the accepted requests and exit."""


@dataclass(frozen=True, slots=True)
class Close:
    """Close the connection. `reason` says why the takeover failed, or is None."""

    reason: str | None = None


@dataclass(frozen=True, slots=True)
class Accept:
    """Accept clients at all addresses."""


@dataclass(frozen=True, slots=True)
class BecomeOwner:
    """This process is now the only one of its name."""


@dataclass(frozen=True, slots=True)
class StartAlone:
    """The old process died before it passed anything on: start as if it had not existed."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The old process continues to serve: close the passed sockets, finish accepted requests and exit."""

    reason: str


Effect = Send | Pause | Resume | Retire | Close | Accept | BecomeOwner | StartAlone | GiveUp


class PredecessorState(Enum):
    """The state of the old process; the diagram of the module shows the order."""

    AWAITING_HELLO = auto()
    OFFER_SENT = auto()
    PAUSED = auto()
    RETIRED = auto()
    FINISHED = auto()


@dataclass(slots=True)
class Predecessor:
    """The old process's side of one connection. `ready_by` is the new process's deadline to be ready."""

    instance: str
    ready_by: float
    due: float
    state: PredecessorState = PredecessorState.AWAITING_HELLO

    @property
    def is_chosen(self) -> bool:
        """Whether the new process of this connection takes over; no other process may then."""
        return self.state in (PredecessorState.OFFER_SENT, PredecessorState.PAUSED, PredecessorState.RETIRED)

    @property
    def finished(self) -> bool:
        """Whether the handshake has ended on this side."""
        return self.state in (PredecessorState.RETIRED, PredecessorState.FINISHED)

    def on_hello(self, hello: Hello, offer: Offer, other_is_chosen: bool) -> list[Effect]:
        """Handles a Hello and returns the effects.

        `offer` is sent if the Hello is valid; `other_is_chosen` says that another process takes over already.
        """
        if self.state is not PredecessorState.AWAITING_HELLO:
            return self._end("it says hello twice")
        if hello.format != FORMAT:
            return self._end(f"format {hello.format} is not {FORMAT}")
        if hello.instance != self.instance:
            return self._end(f"this is {self.instance}, not {hello.instance}")
        if other_is_chosen:
            return self._end("another process is taking over")
        self.state, self.due = PredecessorState.OFFER_SENT, self.ready_by
        return [Send(offer)]

    def on(self, received_input: Input, now: float) -> list[Effect]:
        """Handles an input other than Hello and returns the effects."""
        if self.finished:
            return []
        match self.state, received_input:
            case _, Abort(reason):
                return self._end(reason, send_abort=False)
            case _, ChannelFailed(reason):
                return self._end(reason)
            case _, Disconnected():
                return self._end("the new process disconnected", send_abort=False)
            case _, DeadlineReached():
                return self._end("it is late")
            case PredecessorState.OFFER_SENT, Ready():
                self.state, self.due = PredecessorState.PAUSED, now + CONFIRMATION_TIMEOUT_S
                return [Pause(), Send(Retired())]
            case PredecessorState.PAUSED, Taken():
                self.state, self.due = PredecessorState.RETIRED, inf
                return [Retire(), Close()]
        return self._end(f"{type(received_input).__name__} is out of turn")

    def _end(self, reason: str, send_abort: bool = True) -> list[Effect]:
        """Ends the takeover; the old process continues to serve."""
        paused = self.state is PredecessorState.PAUSED
        self.state, self.due = PredecessorState.FINISHED, inf
        messages: list[Effect] = [Send(Abort(reason))] if send_abort else []
        return [*([Resume()] if paused else []), *messages, Close(reason)]


class SuccessorState(Enum):
    """The state of the new process; the diagram of the module shows the order."""

    AWAITING_OFFER = auto()
    PREPARING = auto()
    ACCEPTING = auto()
    CONFIRMING = auto()
    OWNER = auto()
    FINISHED = auto()


@dataclass(slots=True)
class Successor:
    """The new process's side. `ready_by` is the deadline for this process to be ready."""

    hello: Hello
    ready_by: float
    due: float
    state: SuccessorState = SuccessorState.AWAITING_OFFER

    @property
    def finished(self) -> bool:
        """Whether the handshake has ended on this side."""
        return self.state in (SuccessorState.OWNER, SuccessorState.FINISHED)

    def start(self) -> list[Effect]:
        """Returns the effects that open the takeover."""
        return [Send(self.hello)]

    def on(self, received_input: Input) -> list[Effect]:
        """Handles an input and returns the effects."""
        if self.finished:
            return []
        match self.state, received_input:
            case _, Abort(reason):
                return self._give_up(reason, send_abort=False)
            case SuccessorState.AWAITING_OFFER, Disconnected():
                return self._end(SuccessorState.FINISHED, StartAlone())
            case _, Disconnected():
                return self._end(SuccessorState.OWNER, Accept(), BecomeOwner())
            case SuccessorState.ACCEPTING | SuccessorState.CONFIRMING, ChannelFailed() | DeadlineReached():
                return []  # The old process's Abort, or the end of the connection, is still to be received.
            case SuccessorState.AWAITING_OFFER, Offer():
                self.state, self.due = SuccessorState.PREPARING, self.ready_by
                return []
            case SuccessorState.PREPARING, ProcessReady():
                self.state, self.due = SuccessorState.ACCEPTING, inf
                return [Accept(), Send(Ready())]
            case SuccessorState.ACCEPTING, Retired():
                self.state = SuccessorState.CONFIRMING
                return [Send(Taken())]
            case SuccessorState.CONFIRMING, Delivered():
                return self._end(SuccessorState.OWNER, BecomeOwner())
            case _, Delivered() | ProcessReady():
                # The process was ready before and has only reloaded its configuration.
                return []
            case _, ChannelFailed(reason):
                return self._give_up(reason)
            case _, DeadlineReached():
                return self._give_up(
                    "not ready in time" if self.state is SuccessorState.PREPARING else "no answer"
                )
            case _, ProcessStopping():
                return self._give_up("told to stop")
        return self._give_up(f"{type(received_input).__name__} is out of turn")

    def _end(self, state: SuccessorState, *effects: Effect) -> list[Effect]:
        self.state, self.due = state, inf
        return [*effects, Close()]

    def _give_up(self, reason: str, send_abort: bool = True) -> list[Effect]:
        self.state, self.due = SuccessorState.FINISHED, inf
        messages: list[Effect] = [Send(Abort(reason))] if send_abort else []
        return [*messages, GiveUp(reason), Close(reason)]
