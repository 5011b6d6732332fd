"""What passes between relays and push servers in the model: the seam between actors and machines.

A relay makes a `Call`, gives it to the network and hears of it through `Caller`. Every method here is called
at the moment (`Kernel.now`) at which its news arrives; the one who sends adds the delay of the way.
"""

from dataclasses import dataclass
from typing import Protocol

from glenfold_lab.observe import End, Over


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
    sent_at: int = 0         # when its first byte left the relay
    stands: bool = False
    dropped: bool = False    # the relay has closed it
    arrived: bool = False    # its last byte reached the server


class Caller(Protocol):
    """The relay's end of a call."""

    def replied(self, call: Call, over: Over) -> None:
        """The answer to its first line, or a refused or broken connection, has reached the relay."""

    def ended(self, call: Call, how: End) -> None:
        """The standing connection was ended by its push server: SERVED (BYE), MOVED (MOVE) or BROKEN."""


class Machines(Protocol):
    """The push servers, as the network shows them to relays."""

    def call(self, call: Call) -> None:
        """Begins an attempt: the way there, the wait and the answer follow, or nothing at all."""

    def resume(self, call: Call) -> bool:
        """A connection that already stood there when the history began; False if it can't be held."""

    def close(self, call: Call) -> None:
        """The relay abandons the attempt, or ends the standing connection in either's name."""

    def park(self, call: Call) -> None:
        """The relay has died, or the packets now go elsewhere: the connection waits for a mid-flow call."""

    def change_load(self, call: Call, load: float) -> None:
        """The client's own doing; takes effect at once."""
