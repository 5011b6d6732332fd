"""What passes between relays and push servers in the model: the seam between actors and machines.

A relay makes a `Call`, gives it to the network and hears of it through `Caller`. Every method here is called
at the moment (`Kernel.now`) at which its news arrives; the one who sends adds the delay of the way.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from glenfold_lab.observe import End, Over
from linnetspread.interface import ServerList


@dataclass(slots=True, eq=False)
class Call:
    """One attempt of a request at one push server, and the standing connection that it becomes.

    load: microseconds of work a second on a standard core; may change while it stands.
    connection: the client's own number, the same over its tries: a push server knows a parked connection by
    it. deadline: absolute; the server turns the line away when it is past. back: who hears of it.
    """

    request: int
    relay: int
    server: int
    request_class: int
    scheme: int
    group: int
    connection: int
    load: float
    deadline: int
    mid_flow: bool
    back: "Caller"
    # The rest is written by the machines alone.
    sent_at: int = 0  # when its first byte leaves the relay; 0: the other side's machine is silent
    stands: bool = False
    dropped: bool = False  # the relay has closed it
    arrived: bool = False  # its last byte reached the server
    over: bool = False  # the server (or its machine) has answered its first line, or broken it before
    resumed: bool = False  # mid-flow and UP: it goes on unbroken; else its client was reset and set up anew


class Caller(Protocol):
    """The relay's end of a call."""

    def replied(self, call: Call, over: Over) -> None:
        """The answer to its first line, or a refused or broken connection, has reached the relay."""

    def ended(self, call: Call, how: End) -> None:
        """The standing connection was ended by its push server: MOVED (MOVE) or BROKEN."""

    def fell_silent(self, call: Call) -> None:
        """From now on lines on this standing connection go unanswered for longer than a relay waits for them:
        its server vanished, was cut off, or has too much work piled up. Told once each time that it begins;
        whether it still is so, and for how long a line takes, `Machines.answer_us` tells."""


class Machines(Protocol):
    """The push servers, as the network shows them to relays."""

    def call(self, call: Call) -> None:
        """Begins an attempt: the way there, the wait and the answer follow, or nothing. `sent_at` tells
        at once whether the connection comes up: 0 is one that never does, which a relay finds out by waiting
        for as long as it waits for connections."""

    def resume(self, call: Call) -> bool:
        """A connection that already stood there when the history began; False if it can't be held."""

    def close(self, call: Call) -> None:
        """The relay abandons the attempt, or ends the standing connection in either's name."""

    def park(self, call: Call) -> None:
        """The relay has died, or the packets now go elsewhere: the connection waits for a mid-flow call."""

    def change_load(self, call: Call, load: float) -> None:
        """The client's own doing; takes effect at once."""

    def way_us(self, call: Call) -> int:
        """What a call's way takes: its connection, its line and the answer, but for the work on it."""

    def answer_us(self, call: Call) -> int | None:
        """How long a line on this standing connection takes now from its relay and back; None: no answer."""


class Listing(Protocol):
    """The server list, as it reaches relays."""

    def relay_up(self, relay: int, on_list: Callable[[ServerList], None]) -> None:
        """A relay's process begins to listen to its agent: hands over at once the list that it had last
        (CACHED), then whatever the agent holds beyond it, and from then on all that it hears."""

    def relay_down(self, relay: int) -> None:
        """Its process is gone: it hears nothing more until `relay_up`, and keeps its last list."""


class DemandCounter(Protocol):
    """What clients want, against which the service is measured."""

    def wanted(self, request_class: int, scheme: int, change: int) -> None:
        """So many more (or fewer) clients want a connection from now on, be it placed or not."""
