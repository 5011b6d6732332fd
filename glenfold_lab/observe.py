"""What can be seen from outside a relay, in the model and on sockets alike.

Times are integer microseconds on one clock (virtual, or that of the machine on which all stand-ins run).
Servers go by the number that every relay gives them (`glenfold.destinations.server_number` of the host),
relays by their place in the scenario, requests by a number that is new for each try of a client (on sockets
the id of the OPEN line). Nothing here comes from a relay's own counters or log.

Observations reach a watcher in the order of their moments.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any


class ListedState(IntEnum):
    """A server's state in the list, as `linnetspread.interface.ServerState` has it."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Final(IntEnum):
    """How a request ended for its client."""

    UP = 0  # with the receipt of a push server
    BUSY = 1  # refused: trying again is harmless
    ERROR = 2  # any other line
    CLOSED = 3  # the relay ended the connection without an answer


class AttemptOutcome(IntEnum):
    """How an attempt ended, as its push server (or the network) saw it; UP ends it as an attempt."""

    UP = 0
    BUSY = 1  # turned away unseen
    ERROR = 2
    REFUSED = 3  # no connection: the server process is down, or at its cap
    RESET = 4  # broken by the server's side
    ABANDONED = 5  # the relay closed it, or ended its sending


class End(IntEnum):
    """How a standing connection ended for its client."""

    CLIENT = 0  # it had what it wanted, or went away
    MOVED = 1  # told MOVE first
    SERVED = 2  # BYE
    BROKEN = 3  # its push server reset it, crashed or fell silent, and the relay passed that on
    CUT = 4  # by the relay, without MOVE, while its push server still answered
    RELAY_DIED = 5  # with the relay's process, or because packets now go to another relay


@dataclass(frozen=True, slots=True)
class Capacity:
    """What a push server can take, as the world (never a relay) knows it.

    warm_per_s: new connections a second whose usual load fills all of its cores.
    cold_share: the part of that which it can take at its start.
    cold_us: how long it takes to be warm, evenly.
    """

    warm_per_s: float
    cold_share: float
    cold_us: int


class Watcher:
    """Takes observations; each method is one kind. A watcher overrides those that it cares for."""

    # ---- the world, as it is ----

    def server_started(self, at: int, server: int, capacity: Capacity, cold: bool) -> None:
        """Its process answers from now on. `cold` is False for those that ran long before the history."""

    def server_draining(self, at: int, server: int) -> None:
        """It finishes its work and wants nothing new."""

    def server_ended(self, at: int, server: int) -> None:
        """Its process is gone, or its machine cut off: it answers nothing from now on."""

    def relay_up(self, at: int, relay: int) -> None:
        """It listens and has answered its first PING."""

    def relay_down(self, at: int, relay: int) -> None:
        """Its process is gone; what it held and had been told is void."""

    def told(self, at: int, relay: int, server: int, state: ListedState, started_us: int) -> None:
        """The last byte of this news was written to the relay, or it counts as told by now.

        started_us: when the server last started; 0 if long ago. A relay that starts is told the list that it
        starts with, one server at a time."""

    # ---- requests ----

    def asked(self, at: int, request: int, connection: int, request_class: int, first_ask: int) -> None:
        """A client begins this try of a connection that it first wanted at `first_ask`. `connection` is its
        own number, the same over all tries. For latencies alone: no rule depends on it."""

    def taken(self, at: int, request: int, relay: int, deadline: int, request_class: int) -> None:
        """The last byte of the request was written to a connection that the relay's machine accepted."""

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        """An attempt: its last byte has arrived at `at`, its first was sent at `first`. goes_on: it carries a
        connection on that stands or is parked there already, which is no new work."""

    def attempt_over(self, at: int, request: int, server: int, how: AttemptOutcome) -> None:
        """The attempt on that server is no longer out."""

    def answered(self, at: int, request: int, final: Final, server: int | None, wait_us: int) -> None:
        """The final answer's first byte left the relay. `server`: the push server whose receipt an UP bears,
        None if no server produced it; `wait_us`: the wait that a BUSY advises, else 0."""

    def left(self, at: int, request: int) -> None:
        """Its client went away before the answer."""

    # ---- standing connections ----

    def ended(self, at: int, request: int, how: End) -> None:
        """The connection that this request set up is over for its client."""

    def held_back(self, at: int, request: int, us: int) -> None:
        """A line on this standing connection reached its other side so much later than it should have."""

    def finish(self, at: int) -> None:
        """Nothing more will come."""


OBSERVATIONS = tuple(name for name in vars(Watcher) if not name.startswith("_"))

Record = tuple[str, tuple[Any, ...]]


class Watchers(Watcher):
    """Hands each observation to several watchers, in their order; those that pass it over cost nothing."""

    def __init__(self, *watchers: Watcher) -> None:
        for name in OBSERVATIONS:
            calls = [
                getattr(watcher, name)
                for watcher in watchers
                if getattr(type(watcher), name) is not getattr(Watcher, name) or name in vars(watcher)
            ]
            if calls:
                setattr(self, name, _to_all(calls))


def _to_all(calls: list[Callable[..., None]]) -> Callable[..., None]:
    if len(calls) == 1:
        return calls[0]

    def call_all(*values: object) -> None:
        for call in calls:
            call(*values)

    return call_all


class Recorder(Watcher):
    """Keeps all observations, as pairs of a kind's name and its values, the moment first."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        for name in OBSERVATIONS:
            setattr(self, name, self._keeper(name))

    def _keeper(self, name: str) -> Callable[..., None]:
        keep = self.records.append
        return lambda *values: keep((name, values))


def replay(records: Iterable[Record], watcher: Watcher) -> None:
    """Hands recorded observations to a watcher, in the order of their moments (those alike as recorded)."""
    for name, values in sorted(records, key=lambda record: record[1][0]):
        getattr(watcher, name)(*values)
