"""How one process takes the listening sockets of another of the same name over, as states without I/O.

    new (Taker)                              old (Giver)
    asking      -- Hello ------------------> greeting
    preparing   <- Offer, with the sockets - offered      goes on accepting
    accepting   -- Ready ------------------> handing      has paused
    confirming  <- Retired ----------------
    owner       -- Taken ------------------> retired      finishes what it has taken

A side that lives says Abort before it closes; an end without it means that the other has died. Up to Taken
the old one can go on as if nothing had been, and does so if the new one dies, gives up or is late. Once
Ready is said the old one alone decides, so the new one serves on meanwhile, however long that takes.
Moments are in seconds, on one clock for each side; `due` is the moment at which `Due` is to come.
"""

from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from typing import Annotated

import msgspec

FORMAT = 1
MAX_LISTENERS = 64
GREETING_TIMEOUT_S = 5.0  # from the connection to a whole Hello, and from Hello to the Offer
CONFIRMATION_TIMEOUT_S = 5.0  # from Retired to Taken; the new one has nothing else to do

Text = Annotated[str, msgspec.Meta(max_length=255)]
Addresses = Annotated[list[Text], msgspec.Meta(max_length=MAX_LISTENERS)]  # HOST:PORT


class Hello(msgspec.Struct, frozen=True, tag=True):
    """`wants`: the addresses at which the new one is to listen."""

    format: int
    instance: Text
    wants: Addresses


class Offer(msgspec.Struct, frozen=True, tag=True):
    """`listeners`: those of its addresses that are wanted, in the order of the sockets that come with it; the
    lock of the name is behind them, if it has one. `others`: those that it will close."""

    listeners: Addresses
    others: Addresses
    lock: bool


class Ready(msgspec.Struct, frozen=True, tag=True):
    """It accepts at all its addresses."""


class Retired(msgspec.Struct, frozen=True, tag=True):
    """It accepts no more at the addresses that it has passed on."""


class Taken(msgspec.Struct, frozen=True, tag=True):
    """From here on the old one does not come back."""


class Abort(msgspec.Struct, frozen=True, tag=True):
    """Whoever says it closes."""

    reason: Annotated[str, msgspec.Meta(max_length=1000)]


Message = Hello | Offer | Ready | Retired | Taken | Abort


# ---- what comes in, besides messages ----


@dataclass(frozen=True, slots=True)
class Disconnected:
    """The other side has closed or died."""


@dataclass(frozen=True, slots=True)
class ChannelFailed:
    """A message could not be written, or what came could not be read."""

    reason: str


@dataclass(frozen=True, slots=True)
class DeadlineReached:
    """The moment has come, and all that was said before it has been heard."""


@dataclass(frozen=True, slots=True)
class ProcessReady:
    """This process is ready to serve."""


@dataclass(frozen=True, slots=True)
class ProcessStopping:
    """This process has been told to stop."""


@dataclass(frozen=True, slots=True)
class Delivered:
    """The last message lies with the other side, which still listened."""


Input = Message | Disconnected | ChannelFailed | DeadlineReached | ProcessReady | ProcessStopping | Delivered


# ---- what is to be done ----


@dataclass(frozen=True, slots=True)
class Send:
    """An Offer goes with its sockets."""

    message: Message


@dataclass(frozen=True, slots=True)
class Pause:
    """Accept no more; the sockets stay open."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Accept again."""


@dataclass(frozen=True, slots=True)
class Retire:
    """What was passed on is the other's now: close it here, finish what was taken, and end."""


@dataclass(frozen=True, slots=True)
class Close:
    """This handshake is over; `reason`: why it came to nothing, or None."""

    reason: str | None = None


@dataclass(frozen=True, slots=True)
class Accept:
    """At all addresses."""


@dataclass(frozen=True, slots=True)
class BecomeOwner:
    """The name is this process's, alone."""


@dataclass(frozen=True, slots=True)
class StartAlone:
    """The old one died before it passed anything on: start as if there had been none."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The old one serves on: close what was passed on, finish what was taken, and end."""

    reason: str


Effect = Send | Pause | Resume | Retire | Close | Accept | BecomeOwner | StartAlone | GiveUp


class PredecessorState(Enum):
    AWAITING_HELLO = auto()
    OFFER_SENT = auto()
    PAUSED = auto()
    RETIRED = auto()
    FINISHED = auto()


@dataclass(slots=True)
class Predecessor:
    """The old one's side of one connection. `until`: by when the new one has to be ready."""

    instance: str
    ready_by: float
    due: float
    state: PredecessorState = PredecessorState.AWAITING_HELLO

    @property
    def is_chosen(self) -> bool:
        """It is this connection's new one that takes over: no other may."""
        return self.state in (PredecessorState.OFFER_SENT, PredecessorState.PAUSED, PredecessorState.RETIRED)

    @property
    def finished(self) -> bool:
        return self.state in (PredecessorState.RETIRED, PredecessorState.FINISHED)

    def on_hello(self, hello: Hello, offer: Offer, taken: bool) -> list[Effect]:
        """`offer`: what there is for it; `taken`: another connection is chosen already."""
        if self.state is not PredecessorState.AWAITING_HELLO:
            return self._end("it says hello twice")
        if hello.format != FORMAT:
            return self._end(f"format {hello.format} is not {FORMAT}")
        if hello.instance != self.instance:
            return self._end(f"this is {self.instance}, not {hello.instance}")
        if taken:
            return self._end("another process is taking over")
        self.state, self.due = PredecessorState.OFFER_SENT, self.ready_by
        return [Send(offer)]

    def on(self, received_input: Input, now: float) -> list[Effect]:
        if self.finished:
            return []
        match self.state, received_input:
            case _, Abort(reason):
                return self._end(reason, send_abort=False)
            case _, ChannelFailed(reason):
                return self._end(reason)
            case _, Disconnected():
                return self._end("it has gone", send_abort=False)
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
        """It serves on."""
        paused = self.state is PredecessorState.PAUSED
        self.state, self.due = PredecessorState.FINISHED, inf
        messages: list[Effect] = [Send(Abort(reason))] if send_abort else []
        return [*([Resume()] if paused else []), *messages, Close(reason)]


class SuccessorState(Enum):
    AWAITING_OFFER = auto()
    PREPARING = auto()
    ACCEPTING = auto()
    CONFIRMING = auto()
    OWNER = auto()
    FINISHED = auto()


@dataclass(slots=True)
class Successor:
    """The new one's side. `until`: by when it has to be ready."""

    hello: Hello
    ready_by: float
    due: float
    state: SuccessorState = SuccessorState.AWAITING_OFFER

    @property
    def finished(self) -> bool:
        return self.state in (SuccessorState.OWNER, SuccessorState.FINISHED)

    def start(self) -> list[Effect]:
        return [Send(self.hello)]

    def on(self, received_input: Input) -> list[Effect]:
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
                return []  # the end of the old one, or its Abort, is still to be read
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
            case _, Delivered() | ProcessReady():  # it was ready before, and has read its configuration again
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
