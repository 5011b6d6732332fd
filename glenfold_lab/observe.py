"""Observations from outside a relay, the same in the model and on sockets.

Times are integer microseconds on one clock: the virtual clock, or that of the machine on which all stand-ins
run. Servers are identified by the number that every relay gives them (`glenfold.destinations.server_number`
of the host), relays by their index in the scenario, requests by a number that is new for each try of a client
(on sockets the id of the OPEN line). No observation comes from a relay's own counters or log.

A watcher receives observations in the order of their times.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any


class ListedState(IntEnum):
    """The state of a server in the list, as in `linnetspread.interface.ServerState`."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Final(IntEnum):
    """The final answer of a request, as its client received it."""

    UP = 0  # The request was accepted, with the receipt of a push server.
    BUSY = 1  # The request was refused; the client may safely retry.
    ERROR = 2  # The client received any other line.
    CLOSED = 3  # The relay closed the connection without an answer.


class AttemptOutcome(IntEnum):
    """How an attempt ended, as observed at its push server or by the network; UP ends the attempt."""

    UP = 0
    BUSY = 1  # The server refused the attempt without processing it.
    ERROR = 2
    REFUSED = 3  # No connection: the server process is down or at its connection limit.
    RESET = 4  # The server's side broke the connection.
    ABANDONED = 5  # The relay closed the connection or its sending half.


class End(IntEnum):
    """How a standing connection ended for its client."""

    CLIENT = 0  # The client finished or disconnected.
    MOVED = 1  # The client was sent MOVE first.
    SERVED = 2  # The push server sent BYE.
    BROKEN = 3  # The push server reset it, crashed or fell silent, and the relay passed that on.
    CUT = 4  # The relay closed it without MOVE while its push server still answered.
    RELAY_DIED = 5  # The relay's process died, or packets now go to another relay.


@dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity of a push server for new connections. Relays do not know it.

    `warm_per_s` is the number of new connections a second whose usual load fills all cores of the server.
    `cold_share` is the part of that which the server can take at its start. `cold_us` is how long the server
    takes to become warm; its capacity grows linearly.
    """

    warm_per_s: float
    cold_share: float
    cold_us: int


class Watcher:
    """Receives observations; each method is one kind.

    A subclass overrides the methods of the observations that it needs. `at` is the time of the observation.
    """

    # ---- servers and relays ----

    def server_started(self, at: int, server: int, capacity: Capacity, cold: bool) -> None:
        """The server's process starts to answer. `cold` is False if it ran long before the history."""

    def server_draining(self, at: int, server: int) -> None:
        """The server drains: it finishes its work and takes no new connections."""

    def server_ended(self, at: int, server: int) -> None:
        """The server's process exited or its machine was cut off; it no longer answers."""

    def relay_up(self, at: int, relay: int) -> None:
        """The relay listens and has answered its first PING."""

    def relay_down(self, at: int, relay: int, exited_at: int | None = None) -> None:
        """The relay's process exited; its connections and the list that it was sent are void.

        A process that is killed ends some time between the signal at `at` and `exited_at`, when its exit was
        observed. None stands for an exit at `at`.
        """

    def told(self, at: int, relay: int, server: int, state: ListedState, started_us: int) -> None:
        """The last byte of this change of the list was written to the relay, or counts as written by now.

        `started_us` is when the server last started; 0 if long ago. The list with which a relay starts is
        reported as one such observation for each server.
        """

    # ---- requests ----

    def asked(self, at: int, request: int, connection: int, request_class: int, first_ask: int) -> None:
        """A client starts a try for a connection that it first asked for at `first_ask`.

        `connection` is the client's number for the connection, the same over all tries. This observation is
        only for latencies: no rule depends on it.
        """

    def taken(self, at: int, request: int, relay: int, deadline: int, request_class: int) -> None:
        """The last byte of the request was written to a connection that the relay's machine accepted."""

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        """An attempt reached a server: its last byte arrived at `at`, its first byte was sent at `first`.

        `goes_on` is set if the attempt continues a connection that already stands or is parked there, which
        is no new work.
        """

    def attempt_over(self, at: int, request: int, server: int, how: AttemptOutcome) -> None:
        """The attempt on that server has ended."""

    def answered(self, at: int, request: int, final: Final, server: int | None, wait_us: int) -> None:
        """The first byte of the final answer left the relay.

        `server` is the push server whose receipt an UP carries, None if no server produced the answer.
        `wait_us` is the wait that a BUSY advises, else 0.
        """

    def left(self, at: int, request: int) -> None:
        """The client of the request left before the answer."""

    # ---- standing connections ----

    def ended(self, at: int, request: int, how: End) -> None:
        """The connection that this request set up has ended for its client."""

    def held_back(self, at: int, request: int, us: int) -> None:
        """A line on this standing connection reached the other side `us` microseconds too late."""

    def finish(self, at: int) -> None:
        """No further observations follow."""


OBSERVATIONS = tuple(name for name in vars(Watcher) if not name.startswith("_"))

Record = tuple[str, tuple[Any, ...]]


class Watchers(Watcher):
    """Passes each observation to several watchers, in their order.

    A watcher that does not override a method is not called for it.
    """

    def __init__(self, *watchers: Watcher) -> None:
        for name in OBSERVATIONS:
            calls = [
                getattr(watcher, name)
                for watcher in watchers
                if getattr(type(watcher), name) is not getattr(Watcher, name) or name in vars(watcher)
            ]
            if calls:
                setattr(self, name, _call_each(calls))


def _call_each(calls: list[Callable[..., None]]) -> Callable[..., None]:
    if len(calls) == 1:
        return calls[0]

    def call_all(*values: object) -> None:
        for call in calls:
            call(*values)

    return call_all


class Recorder(Watcher):
    """Records all observations, as pairs of the method's name and its arguments, the time first."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        for name in OBSERVATIONS:
            setattr(self, name, self._recording_method(name))

    def _recording_method(self, name: str) -> Callable[..., None]:
        keep = self.records.append
        return lambda *values: keep((name, values))


def replay(records: Iterable[Record], watcher: Watcher) -> None:
    """Passes recorded observations to a watcher in the order of their times.

    Observations of the same time stay in the order in which they were recorded.
    """
    for name, values in sorted(records, key=lambda record: record[1][0]):
        getattr(watcher, name)(*values)
