"""Clients of the model: requests, retries, standing connections, load changes, departures and reconnections.

A client is an index into columns, with an `Exchange` while a relay holds its request or connection. All
random values of a client are drawn at its arrival, so that decisions of relays don't change what other
clients do.
"""

import math
from array import array
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Protocol

import numpy as np
from numpy.typing import NDArray

from glenfold.request import Phase, RequestState
from glenfold_lab.model.draw import value, value_by_ratio
from glenfold_lab.model.front import Front
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.network import Network
from glenfold_lab.model.plan import MAX_CLIENTS, Plan
from glenfold_lab.model.population import Drawn, Population
from glenfold_lab.model.relays import Exchange, Relay
from glenfold_lab.model.wire import DemandCounter, Machines
from glenfold_lab.observe import End, Final, Watcher
from glenfold_lab.spec import Clients as ClientOptions
from glenfold_lab.spec import Pair, Scenario
from glenfold_lab.streams import Streams
from linnetspread import interface

DRAW_AHEAD_US = SECOND_US // 4  # Arrivals are drawn for this interval at once.
LINE_INTERVAL_US = 2 * SECOND_US  # Time between two lines of a client on a standing connection.
ANSWER_MARGIN_US = 100_000  # An answer may still be on its way this long after deadline and slack.
SYN_RETRY_US = SECOND_US  # TCP's first retransmission delay for a connection request.
REROUTED_PACKET_US = SECOND_US  # Packets of a connection reach the new relay within this time.
INITIAL_RETRY_SPREAD_US = 3 * SECOND_US  # Clients without a relay at the start ask within this time.
CHANGES_PER_DRAW = 4096  # Load changes that are drawn at once.

ASK_RELAY, LEAVE_SERVICE, CHANGE_LOAD, GIVE_UP = range(4)  # Kinds of planned actions.


WAITING = 0  # The client waits for its next request.
ASKING = 1
STANDING = 2
PARKED = 3  # Its packets reach no relay until the front reroutes them.
GAVE_UP = 4  # It has used all retries but still wants a connection.
GONE = 5


class Relays(Protocol):
    """The processes of the relays, by number."""

    def running(self, relay: int) -> Relay | None:
        """Returns the relay, or None while its process is down and its machine refuses connections."""

    def reachable(self, relay: int) -> bool:
        """Returns whether packets pass between the relay and its clients."""


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """Drawn behavior of all clients. Times are in microseconds; tuples have a value per class."""

    deadlines: tuple[int, ...]
    change_us: tuple[float, ...]
    swing: tuple[float, ...]
    backoff_us: float
    max_backoff_us: float
    rejoin_us: tuple[float, float]
    move_us: tuple[float, float]
    slack_us: int

    @classmethod
    def of(cls, scenario: Scenario, streams: Streams) -> "ClientBehavior":
        clients, classes = scenario.clients, scenario.classes
        return cls(
            deadlines=tuple(round(kind.deadline_ms * 1000) for kind in classes),
            change_us=tuple(
                value(kind.change_s, streams.of("classes", "change", number)) * SECOND_US
                for number, kind in enumerate(classes)
            ),
            swing=tuple(
                value(kind.swing_sigma, streams.of("classes", "swing", number))
                for number, kind in enumerate(classes)
            ),
            backoff_us=value(clients.backoff_ms, streams.of("clients", "backoff")) * 1000,
            max_backoff_us=clients.backoff_most_ms * 1000,
            rejoin_us=_around_mean(clients.rejoin_ms, streams.of("clients", "rejoin")),
            move_us=_around_mean(clients.move_ms, streams.of("clients", "move")),
            slack_us=round(scenario.rules.answer_slack_ms * 1000),
        )

    def reconnect_delay_us(self, moved: bool, position: float) -> int:
        """Returns the delay before a client reconnects that was moved, or whose connection broke.

        `position` is the client's position (0 to 1) in the range.
        """
        min_delay, max_delay = self.move_us if moved else self.rejoin_us
        return int(min_delay + (max_delay - min_delay) * position)


def _around_mean(wanted: Pair, random: np.random.Generator) -> tuple[float, float]:
    """Returns a range of 0.5 to 1.5 times a drawn mean, limited to the pair itself.

    The pair is in milliseconds, the result in microseconds.
    """
    mean, (min_delay, max_delay) = value_by_ratio(wanted, random), wanted
    return max(min_delay, mean / 2) * 1000, min(max_delay, mean * 1.5) * 1000


class Columns:
    """The state of each client by its number. Clients are only added."""

    def __init__(self) -> None:
        self.first_ask, self.until, self.due = array("q"), array("q"), array("q")
        self.key, self.group = array("Q"), array("Q")
        self.kind, self.scheme, self.zone = array("H"), array("H"), array("H")
        self.usual, self.load = array("d"), array("d")
        self.pace, self.rejoin = array("f"), array("f")
        self.honours, self.state, self.returning, self.mid_flow = (array("B") for _ in range(4))
        self.tries, self.turn = array("H"), array("I")
        self.relay = array("h")  # The relay of the last request.
        self.exchange: list[Exchange | None] = []

    def __len__(self) -> int:
        return len(self.key)

    def add(self, drawn: Drawn) -> range:
        first, count = len(self), len(drawn.at)
        assert first + count <= MAX_CLIENTS
        for column, values in (
            (self.first_ask, drawn.at),
            (self.until, drawn.until),
            (self.due, drawn.at),
            (self.key, drawn.key),
            (self.group, drawn.group),
            (self.kind, drawn.request_class),
            (self.scheme, drawn.scheme),
            (self.zone, drawn.zone),
            (self.usual, drawn.load),
            (self.load, drawn.load),
            (self.pace, drawn.pace),
            (self.rejoin, drawn.rejoin),
            (self.honours, drawn.honours),
        ):
            _extend(column, values)
        for flags in (self.state, self.returning, self.mid_flow, self.tries, self.turn):
            _extend(flags, np.zeros(count))
        _extend(self.relay, np.full(count, -1))
        self.exchange.extend([None] * count)
        return range(first, first + count)


def _extend(column: "array[int] | array[float]", values: NDArray[np.generic]) -> None:
    column.frombytes(values.astype(column.typecode).tobytes())


class Clients:
    """All clients of a history. Implements `relays.ClientSide`."""

    def __init__(
        self,
        scenario: Scenario,
        population: Population,
        streams: Streams,
        kernel: Kernel,
        network: Network,
        machines: Machines,
        service: DemandCounter,
        watcher: Watcher,
        front: Front,
        relays: Relays,
    ) -> None:
        self._options: ClientOptions = scenario.clients
        self._behavior = ClientBehavior.of(scenario, streams)
        self._pass_through = scenario.relays.pass_through
        self._kernel, self._network, self._machines = kernel, network, machines
        self._service, self._watcher = service, watcher
        self._front, self._relays = front, relays
        self._population = population
        self._columns = Columns()
        self._requests = 0
        self._changes = _changes(streams)
        until = kernel.now + round(scenario.length_s * SECOND_US)
        self._plan = Plan(kernel, until, (self._ask, self._leave, self._change_load, self._give_up))
        self._arrivals = population.arrivals(DRAW_AHEAD_US)

    def __len__(self) -> int:
        """Returns the number of clients that have arrived so far."""
        return len(self._columns)

    # ---- arrivals ----

    def start(self) -> None:
        """Adds the clients with standing connections, and then the arriving ones."""
        now = self._kernel.now
        drawn = self._population.standing()
        refused = [client for client in self._add_clients(drawn) if not self._start_standing(client)]
        for position, client in enumerate(refused):
            self._plan_first_ask(client, now + INITIAL_RETRY_SPREAD_US * position // len(refused))
        for (kind, scheme), count in sorted(
            Counter(zip(drawn.request_class.tolist(), drawn.scheme.tolist(), strict=True)).items()
        ):
            self._service.wanted(kind, scheme, count)
        self._add_arrivals()

    def _start_standing(self, client: int) -> bool:
        self._columns.turn[client] = 1  # Counts as a request, so that the demand is not counted again.
        relay = self._choose_relay(client)
        running = None if relay is None else self._relays.running(relay)
        if running is None:
            return False
        self._requests += 1
        exchange = self._exchange(client, running)
        if not running.stand(exchange):
            return False
        self._columns.state[client] = STANDING
        self._columns.exchange[client] = exchange
        return True

    def _add_arrivals(self) -> None:
        drawn = next(self._arrivals, None)
        if drawn is None:
            return
        for client, at in zip(self._add_clients(drawn), drawn.at.tolist(), strict=True):
            self._plan.add(at, client, ASK_RELAY)
        self._kernel.after(DRAW_AHEAD_US, self._add_arrivals)

    def _add_clients(self, drawn: Drawn) -> range:
        """Adds clients and plans the departure and the next load change of each."""
        clients = self._columns.add(drawn)
        add, change_us = self._plan.add, self._behavior.change_us
        for client, at, until, kind in zip(
            clients, drawn.at.tolist(), drawn.until.tolist(), drawn.request_class.tolist(), strict=True
        ):
            add(until, client, LEAVE_SERVICE)
            add(at + int(change_us[kind] * next(self._changes)[1]), client, CHANGE_LOAD)
        return clients

    # ---- requests ----

    def _plan_first_ask(self, client: int, at: int) -> None:
        """Plans the first request for a new connection."""
        self._columns.first_ask[client] = at
        self._plan_ask(client, at)

    def _plan_ask(self, client: int, at: int) -> None:
        self._columns.state[client] = WAITING
        self._columns.due[client] = at
        self._plan.add(at, client, ASK_RELAY)

    def _choose_relay(self, client: int) -> int | None:
        """Chooses a relay for a client.

        A mid-flow connection avoids its former relay, as the front learns only later which relays run.
        """
        columns = self._columns
        relay = self._front.choose_relay(
            columns.zone[client],
            columns.key[client],
            columns.turn[client],
            columns.relay[client] if columns.mid_flow[client] else -1,
        )
        columns.relay[client] = -1 if relay is None else relay
        return relay

    def _ask(self, client: int, time_us: int) -> None:
        """Delivers a client's first line to a relay's machine, or to no one if none can be reached."""
        columns = self._columns
        if columns.due[client] != time_us or columns.state[client] != WAITING:
            return
        kind = columns.kind[client]
        sent = time_us - self._network.client_us()
        if not columns.turn[client]:
            self._service.wanted(kind, columns.scheme[client], 1)
        if columns.first_ask[client] == time_us:
            columns.first_ask[client] = sent
        self._requests += 1
        self._watcher.asked(time_us, self._requests, client, kind, columns.first_ask[client])
        relay = self._choose_relay(client)
        columns.turn[client] += 1
        running = None if relay is None else self._relays.running(relay)
        if relay is None or not self._relays.reachable(relay):
            self._await_answer(client, sent, None)
        elif running is None:
            self._retry(client, 0)
        else:
            exchange = self._exchange(client, running)
            self._await_answer(client, sent, exchange)
            if not running.offer(exchange, sent + self._behavior.deadlines[kind]):
                columns.exchange[client] = None
                self._plan_ask(client, time_us + SYN_RETRY_US)

    def _exchange(self, client: int, relay: Relay) -> Exchange:
        """Creates the exchange for the request that the client has just started."""
        columns = self._columns
        kind, scheme, group = columns.kind[client], columns.scheme[client], columns.group[client]
        deadline = self._behavior.deadlines[kind]
        event = interface.Request(
            self._requests,
            deadline,
            columns.key[client],
            group,
            kind,
            scheme,
            None,
            client_retry=self._options.marks_retry and columns.tries[client] > 0,
            mid_flow=bool(columns.mid_flow[client]),
            returning=bool(columns.returning[client]),
        )
        state = RequestState(self._requests, self._kernel.now + deadline)
        return Exchange(relay, client, scheme, group, event, state)

    def _await_answer(self, client: int, sent: int, exchange: Exchange | None) -> None:
        columns, behavior = self._columns, self._behavior
        columns.state[client] = ASKING
        columns.exchange[client] = exchange
        due = sent + behavior.deadlines[columns.kind[client]] + behavior.slack_us + ANSWER_MARGIN_US
        columns.due[client] = due
        self._plan.add(due, client, GIVE_UP)

    def _give_up(self, client: int, time_us: int) -> None:
        columns = self._columns
        if columns.due[client] != time_us or columns.state[client] != ASKING:
            return
        self._close(client)
        if columns.mid_flow[client]:
            self._reconnect(client)
        else:
            self._retry(client, 0)

    def _close(self, client: int) -> None:
        """Closes the client's side of its request or connection, if it has one."""
        exchange, standing = self._columns.exchange[client], self._columns.state[client] == STANDING
        if exchange is None:
            return
        if standing:
            self._watcher.ended(self._kernel.now, exchange.event.request, End.CLIENT)
        else:
            self._watcher.left(self._kernel.now, exchange.event.request)
        self._columns.exchange[client] = None
        exchange.relay.client_left(exchange)

    def _retry(self, client: int, wait_us: int) -> None:
        """Plans a retry after a failed attempt; `wait_us` is the wait that BUSY advised."""
        columns, behavior = self._columns, self._behavior
        columns.exchange[client] = None
        columns.tries[client] += 1
        tries = columns.tries[client]
        if tries > self._options.retries:
            columns.state[client] = GAVE_UP
            return
        pause = min(behavior.backoff_us * 2 ** min(tries - 1, 20), behavior.max_backoff_us)
        pause *= 0.5 + columns.pace[client]
        if columns.honours[client]:
            pause = max(pause, wait_us)
        delay_us = self._network.client_us() + self._network.client_us()
        self._plan_ask(client, self._kernel.now + delay_us + int(pause))

    def _reconnect(self, client: int, moved: bool = False) -> None:
        """Plans a new connection after the client's connection broke or was moved."""
        columns = self._columns
        columns.exchange[client] = None
        columns.mid_flow[client] = False
        columns.returning[client] = self._options.marks_returning
        self._plan_first_ask(
            client, self._kernel.now + self._behavior.reconnect_delay_us(moved, columns.rejoin[client])
        )

    # ---- departures and load changes ----

    def _leave(self, client: int, time_us: int) -> None:
        columns = self._columns
        self._close(client)
        columns.state[client] = GONE
        self._service.wanted(columns.kind[client], columns.scheme[client], -1)

    def _change_load(self, client: int, time_us: int) -> None:
        columns = self._columns
        if columns.state[client] == GONE:
            return
        kind, (position, interval) = columns.kind[client], next(self._changes)
        swing = self._behavior.swing[kind]
        load = columns.load[client] = columns.usual[client] * math.exp(swing * position - swing * swing / 2)
        exchange = columns.exchange[client]
        if exchange is not None and exchange.call is not None and columns.state[client] == STANDING:
            self._machines.change_load(exchange.call, load)
            if self._machines.answer_us(exchange.call) is not None:
                exchange.relay.load_changed(exchange, load)
        self._plan.add(time_us + int(self._behavior.change_us[kind] * interval), client, CHANGE_LOAD)

    def drop(self, part: float, over_us: int, random: np.random.Generator) -> None:
        """Closes a share `part` of the standing connections; their clients reconnect within `over_us`."""
        columns, dropped = self._columns, np.flatnonzero(random.uniform(size=len(self._columns)) < part)
        waits = random.uniform(0, over_us, size=len(dropped))
        for client, wait in zip(dropped.tolist(), waits.tolist(), strict=True):
            if columns.state[client] == STANDING:
                self._close(client)
                columns.returning[client] = self._options.marks_returning
                self._plan_first_ask(client, self._kernel.now + int(wait))

    # ---- interface for relays: `ClientSide` ----

    def load(self, client: int) -> float:
        return self._columns.load[client]

    def next_line(self, client: int) -> int:
        now = self._kernel.now
        return now + (client * 1_618_033 - now) % LINE_INTERVAL_US

    def is_reachable(self, exchange: Exchange) -> bool:
        return self._columns.exchange[exchange.client] is exchange and (
            self._relays.reachable(exchange.relay.number)
        )

    def answered_up(self, exchange: Exchange) -> None:
        client, columns = exchange.client, self._columns
        if self.is_reachable(exchange):
            columns.state[client] = STANDING
            columns.tries[client] = columns.returning[client] = columns.mid_flow[client] = 0

    def refused_or_failed(self, exchange: Exchange, wait_us: int) -> None:
        if not self.is_reachable(exchange):
            return
        if self._columns.mid_flow[exchange.client]:  # Its standing connection has ended.
            self._reconnect(exchange.client)
        else:
            self._retry(exchange.client, wait_us)

    def connection_ended(self, exchange: Exchange, how: End) -> None:
        if self._columns.exchange[exchange.client] is exchange:
            self._watcher.ended(self._kernel.now, exchange.event.request, how)
            self._reconnect(exchange.client, how is End.MOVED)

    # ---- where packets go ----

    def relay_lost(self, exchange: Exchange, planned: bool) -> bool:
        """Handles the end of the relay's process, by a crash or as planned.

        Returns True if the connection goes on once its packets reach another relay; otherwise it is reset.
        """
        client, columns = exchange.client, self._columns
        if columns.exchange[client] is not exchange:
            return False
        stood = columns.state[client] == STANDING
        columns.exchange[client] = None
        if stood:
            how = End.CUT if planned and not self._pass_through else End.RELAY_DIED
            self._watcher.ended(self._kernel.now, exchange.event.request, how)
        elif planned and exchange.state.phase is not Phase.STANDING:
            self._watcher.answered(self._kernel.now, exchange.event.request, Final.CLOSED, None, 0)
        if self._pass_through and (stood or columns.mid_flow[client]):
            columns.state[client] = PARKED
            return True
        if stood:
            self._reconnect(client)
        else:
            self._retry(client, 0)
        return False

    def move_to_other_relay(self, exchange: Exchange) -> None:
        """Reroutes the packets of a standing connection to another relay from now on."""
        client = exchange.client
        if self._columns.exchange[client] is exchange and self._columns.state[client] == STANDING:
            self._watcher.ended(self._kernel.now, exchange.event.request, End.RELAY_DIED)
            self._columns.exchange[client] = None
            exchange.relay.move_to_other_relay(exchange)
            self._columns.state[client] = PARKED
            self.reach_relays([client])

    def reach_relays(self, clients: Iterable[int]) -> None:
        """Lets packets of these parked connections reach relays again, as each client sends its next line."""
        columns = self._columns
        for client in clients:
            if columns.state[client] == PARKED:
                columns.mid_flow[client] = True
                self._plan_first_ask(
                    client, self._kernel.now + int(REROUTED_PACKET_US * columns.pace[client])
                )


def _changes(streams: Streams) -> Iterator[tuple[float, float]]:
    """Yields for each load change its normal deviate and the time to the next change, in mean intervals."""
    random = streams.of("clients", "changes")
    while True:
        yield from zip(
            random.standard_normal(CHANGES_PER_DRAW).tolist(),
            random.uniform(0.5, 1.5, CHANGES_PER_DRAW).tolist(),
            strict=True,
        )
