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
MOST_LISTENERS = 64
GREET_S = 5.0  # from the connection to a whole Hello, and from Hello to the Offer
CONFIRM_S = 5.0  # from Retired to Taken; the new one has nothing else to do

Text = Annotated[str, msgspec.Meta(max_length=255)]
Addresses = Annotated[list[Text], msgspec.Meta(max_length=MOST_LISTENERS)]  # HOST:PORT


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
class Gone:
    """The other side has closed or died."""


@dataclass(frozen=True, slots=True)
class Unsaid:
    """A message could not be written, or what came could not be read."""

    reason: str


@dataclass(frozen=True, slots=True)
class Due:
    """The moment has come, and all that was said before it has been heard."""


@dataclass(frozen=True, slots=True)
class Prepared:
    """This process is ready to serve."""


@dataclass(frozen=True, slots=True)
class Stopping:
    """This process has been told to stop."""


@dataclass(frozen=True, slots=True)
class Said:
    """The last message lies with the other side, which still listened."""


Incident = Message | Gone | Unsaid | Due | Prepared | Stopping | Said


# ---- what is to be done ----


@dataclass(frozen=True, slots=True)
class Say:
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
class Own:
    """The name is this process's, alone."""


@dataclass(frozen=True, slots=True)
class Alone:
    """The old one died before it passed anything on: start as if there had been none."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The old one serves on: close what was passed on, finish what was taken, and end."""

    reason: str


Effect = Say | Pause | Resume | Retire | Close | Accept | Own | Alone | GiveUp


class Giving(Enum):
    GREETING = auto()
    OFFERED = auto()
    HANDING = auto()
    RETIRED = auto()
    OVER = auto()


@dataclass(slots=True)
class Giver:
    """The old one's side of one connection. `until`: by when the new one has to be ready."""

    instance: str
    until: float
    due: float
    state: Giving = Giving.GREETING

    @property
    def chosen(self) -> bool:
        """It is this connection's new one that takes over: no other may."""
        return self.state in (Giving.OFFERED, Giving.HANDING, Giving.RETIRED)

    @property
    def over(self) -> bool:
        return self.state in (Giving.RETIRED, Giving.OVER)

    def greet(self, hello: Hello, offer: Offer, taken: bool) -> list[Effect]:
        """`offer`: what there is for it; `taken`: another connection is chosen already."""
        if self.state is not Giving.GREETING:
            return self._end("it says hello twice")
        if hello.format != FORMAT:
            return self._end(f"format {hello.format} is not {FORMAT}")
        if hello.instance != self.instance:
            return self._end(f"this is {self.instance}, not {hello.instance}")
        if taken:
            return self._end("another process is taking over")
        self.state, self.due = Giving.OFFERED, self.until
        return [Say(offer)]

    def on(self, incident: Incident, now: float) -> list[Effect]:
        if self.over:
            return []
        match self.state, incident:
            case _, Abort(reason):
                return self._end(reason, say=False)
            case _, Unsaid(reason):
                return self._end(reason)
            case _, Gone():
                return self._end("it has gone", say=False)
            case _, Due():
                return self._end("it is late")
            case Giving.OFFERED, Ready():
                self.state, self.due = Giving.HANDING, now + CONFIRM_S
                return [Pause(), Say(Retired())]
            case Giving.HANDING, Taken():
                self.state, self.due = Giving.RETIRED, inf
                return [Retire(), Close()]
        return self._end(f"{type(incident).__name__} is out of turn")

    def _end(self, reason: str, say: bool = True) -> list[Effect]:
        """It serves on."""
        paused = self.state is Giving.HANDING
        self.state, self.due = Giving.OVER, inf
        said: list[Effect] = [Say(Abort(reason))] if say else []
        return [*([Resume()] if paused else []), *said, Close(reason)]


class Taking(Enum):
    ASKING = auto()
    PREPARING = auto()
    ACCEPTING = auto()
    CONFIRMING = auto()
    OWNER = auto()
    OVER = auto()


@dataclass(slots=True)
class Taker:
    """The new one's side. `until`: by when it has to be ready."""

    hello: Hello
    until: float
    due: float
    state: Taking = Taking.ASKING

    @property
    def over(self) -> bool:
        return self.state in (Taking.OWNER, Taking.OVER)

    def begin(self) -> list[Effect]:
        return [Say(self.hello)]

    def on(self, incident: Incident) -> list[Effect]:
        if self.over:
            return []
        match self.state, incident:
            case _, Abort(reason):
                return self._give_up(reason, say=False)
            case Taking.ASKING, Gone():
                return self._end(Taking.OVER, Alone())
            case _, Gone():
                return self._end(Taking.OWNER, Accept(), Own())
            case Taking.ACCEPTING | Taking.CONFIRMING, Unsaid() | Due():
                return []  # the end of the old one, or its Abort, is still to be read
            case Taking.ASKING, Offer():
                self.state, self.due = Taking.PREPARING, self.until
                return []
            case Taking.PREPARING, Prepared():
                self.state, self.due = Taking.ACCEPTING, inf
                return [Accept(), Say(Ready())]
            case Taking.ACCEPTING, Retired():
                self.state = Taking.CONFIRMING
                return [Say(Taken())]
            case Taking.CONFIRMING, Said():
                return self._end(Taking.OWNER, Own())
            case _, Said() | Prepared():  # it was ready before, and has read its configuration again
                return []
            case _, Unsaid(reason):
                return self._give_up(reason)
            case _, Due():
                return self._give_up("not ready in time" if self.state is Taking.PREPARING else "no answer")
            case _, Stopping():
                return self._give_up("told to stop")
        return self._give_up(f"{type(incident).__name__} is out of turn")

    def _end(self, state: Taking, *effects: Effect) -> list[Effect]:
        self.state, self.due = state, inf
        return [*effects, Close()]

    def _give_up(self, reason: str, say: bool = True) -> list[Effect]:
        self.state, self.due = Taking.OVER, inf
        said: list[Effect] = [Say(Abort(reason))] if say else []
        return [*said, GiveUp(reason), Close(reason)]
