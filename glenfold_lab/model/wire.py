"""The interface between the relays and the machines of the model.

A relay creates a `Call`, passes it to `Machines` and receives its results through `Caller`. Every method of
this module is called at the time (`Kernel.now`) at which its information arrives; the sender adds the network
delay.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from glenfold_lab.observe import AttemptOutcome, End
from linnetspread.interface import ServerList


@dataclass(slots=True, eq=False)
class Call:
    """One attempt of a request at one push server, and the standing connection that results from it.

    `load` is microseconds of work per second on a standard core and may change while the connection stands.
    `connection` is the client's number, the same over its attempts, by which a push server recognizes a
    parked connection. `deadline` is absolute; the server refuses the request after it. `caller` receives the
    results.
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
    caller: "Caller"
    # Only the machines write the fields below.
    sent_at: int = 0  # When its first byte leaves the relay; 0 if the server's machine is silent.
    is_standing: bool = False
    dropped: bool = False  # The relay has closed the call.
    arrived: bool = False  # Its last byte has reached the server.
    is_answered: bool = False  # The server or its machine has answered or reset the attempt.
    resumed: bool = False  # UP mid-flow: the connection goes on; otherwise the client had to reconnect.


class Caller(Protocol):
    """The relay's end of a call."""

    def replied(self, call: Call, over: AttemptOutcome) -> None:
        """Handles the answer to the first line, or a refused or broken connection, at the relay."""

    def ended(self, call: Call, how: End) -> None:
        """Handles the end of a standing connection by its push server: MOVED (MOVE) or BROKEN."""

    def fell_silent(self, call: Call) -> None:
        """Handles that lines on this standing connection now go unanswered for longer than a relay waits.

        The server vanished, was cut off, or has too large a backlog. Called once each time that this begins;
        `Machines.answer_us` returns whether it still holds and how long a line takes.
        """


class Machines(Protocol):
    """The push servers, as the network shows them to relays."""

    def call(self, call: Call) -> None:
        """Starts an attempt. The transfer, the wait and the answer follow, or nothing.

        `sent_at` is set at once and is 0 if the connection never comes up, which a relay detects by its
        connect timeout.
        """

    def resume(self, call: Call) -> bool:
        """Adds a connection that stands since before the history; returns False if there is no room."""

    def close(self, call: Call) -> None:
        """Abandons the attempt, or ends the standing connection for client or server."""

    def park(self, call: Call) -> None:
        """Parks the connection until a mid-flow call, as its relay ended or its packets go elsewhere."""

    def change_load(self, call: Call, load: float) -> None:
        """Changes the load that the client causes, at once."""

    def way_us(self, call: Call) -> int:
        """Returns the network time of a call (connection, line and answer) without the work on it."""

    def answer_us(self, call: Call) -> int | None:
        """Returns the current round trip of a line on this connection; None if there is no answer."""


class Listing(Protocol):
    """The distribution of the server list to relays."""

    def relay_up(self, relay: int, on_list: Callable[[ServerList], None]) -> None:
        """Subscribes a starting relay process to its agent.

        `on_list` gets the relay's last list at once (CACHED), then what the agent holds beyond it, and from
        then on every list that arrives.
        """

    def relay_down(self, relay: int) -> None:
        """Unsubscribes a relay whose process ended, until `relay_up`. Its last list is kept."""


class DemandCounter(Protocol):
    """The demand of clients, against which the service is measured."""

    def wanted(self, request_class: int, scheme: int, change: int) -> None:
        """Changes the number of clients that want a connection, placed or not, by `change`."""
