"""The machines of the push servers and the parameters that a history draws for them before it starts."""

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from glenfold.list_entry import server_number
from glenfold_lab.model.draw import assign_by_shares, interpolate, lognormals, value, value_by_ratio
from glenfold_lab.model.kernel import SECOND_US
from glenfold_lab.spec import Range, Scenario, ServerKind
from glenfold_lab.streams import Streams

CORE_WORK_US_PER_S = 1_000_000.0  # Work of a standard core in a second, in microseconds.
# The share of its capacity that a server loses when its connection table is full.
TABLE_CAPACITY_LOSS: Range = (
    0.2,
    0.4,
)


@dataclass(frozen=True, slots=True)
class HistoryParameters:
    """Drawn parameters of one history that clients and machines have to agree on.

    Loads are microseconds of work per second on a standard core. Classes and schemes go by their index in the
    scenario. `life_us` is the mean time for which a client wants its connection. `mean_load` is the load of a
    connection over all classes, `class_load` that of a connection of each class. `capacity` is the capacity
    of all push servers at the start of the history when they are warm, as a load. `group_cost` is the load of
    a group at each server that holds any of its connections, and `group_size` the mean number of connections
    of a group. `new_per_us` is the mean rate of arriving clients, and `full_per_us` the rate that would keep
    all servers full. `quotas` are the connections of each scheme within its share.
    """

    life_us: float
    mean_load: float
    class_load: tuple[float, ...]
    capacity: float
    group_cost: float
    group_size: float
    new_per_us: float
    full_per_us: float
    quotas: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class KindParameters:
    """Drawn parameters of one kind of server.

    `per_core` is the number of connections of the mean load that a core carries. Times are in microseconds.
    """

    name: str
    cores: int
    weight: float
    speed: float
    speed_cv: float
    per_core: float
    cap: float
    queue: float
    cold_from: float
    cold_us: int
    buffer_s: float
    message_us: float
    burst: float


@dataclass(frozen=True, slots=True)
class Machine:
    """The actual properties of one push server, which the list may not show yet.

    `capacity` is that of all its cores when they are warm, as a load.
    """

    index: int
    number: int
    host: str
    kind: KindParameters
    kind_index: int
    zone: int
    cell: int
    speed: float
    capacity: float


class Fleet:
    """All push servers of a history. A new server never gets the number of an earlier one."""

    def __init__(self, scenario: Scenario, streams: Streams) -> None:
        self._scenario = scenario
        self._streams = streams
        self._shares = [kind.share for kind in scenario.servers.kinds]
        self._zone_shares = list(scenario.servers.zone_shares or [1.0] * len(scenario.zones.names))
        self._hosts = 0
        self._numbers: set[int] = set()
        self.kinds = self._draw_kinds()
        self.table_tax = value(TABLE_CAPACITY_LOSS, streams.of("servers", "table"))
        self._speeds = [self._speeds_of(kind_index, kind) for kind_index, kind in enumerate(self.kinds)]
        self.machines: list[Machine] = []
        count = scenario.servers.count
        kinds = assign_by_shares(count, self._shares, streams.of("servers", "kinds"))
        zones = assign_by_shares(count, self._zone_shares, streams.of("servers", "zones"))
        for kind, zone in zip(kinds, zones, strict=True):
            self.add(kind, zone)
        self.parameters = self._draw_parameters()

    def add(self, kind_index: int, zone: int) -> Machine:
        """Adds and returns a machine that no list names yet."""
        kind, speed = self.kinds[kind_index], next(self._speeds[kind_index])
        index = len(self.machines)
        host, number = self._new_name()
        # The capacity of a core is in proportion to the connections that it carries, against the first kind.
        capacity = kind.cores * speed * CORE_WORK_US_PER_S * kind.per_core / self.kinds[0].per_core
        cell = index // self._scenario.servers.cell_size
        self.machines.append(Machine(index, number, host, kind, kind_index, zone, cell, speed, capacity))
        return self.machines[-1]

    def add_drawn(self) -> Machine:
        """Adds a machine whose kind and zone are drawn by their shares."""
        random = self._streams.of("servers", "new")
        return self.add(_drawn(self._shares, random), _drawn(self._zone_shares, random))

    def warm_per_s(self, machine: Machine) -> float:
        """Returns the new connections per second whose usual load fills all cores of the machine."""
        return machine.capacity / self.parameters.mean_load / self.parameters.life_us * SECOND_US

    def _new_name(self) -> tuple[str, int]:
        while True:
            self._hosts += 1
            host = f"s-{self._hosts:04}"
            number = server_number(host)
            if number not in self._numbers:  # Relays ignore the second of two servers with the same number.
                self._numbers.add(number)
                return host, number

    def _draw_kinds(self) -> list[KindParameters]:
        # Kinds with the same range get the same value, which depends on the connections, not on the server.
        position = float(self._streams.of("servers", "per_core").uniform())
        return [
            self._draw_kind(number, kind, interpolate(kind.per_core, position))
            for number, kind in enumerate(self._scenario.servers.kinds)
        ]

    def _draw_kind(self, number: int, kind: ServerKind, per_core: float) -> KindParameters:
        def drawn(name: str) -> float:
            return value(getattr(kind, name), self._streams.of("servers", name, number))

        return KindParameters(
            name=kind.name,
            cores=kind.cores,
            weight=kind.weight or float(kind.cores),
            per_core=per_core,
            cold_us=int(drawn("cold_s") * SECOND_US),
            message_us=drawn("message_ms") * 1000,
            speed=drawn("speed"),
            speed_cv=drawn("speed_cv"),
            cap=drawn("cap"),
            queue=drawn("queue"),
            cold_from=drawn("cold_from"),
            buffer_s=drawn("buffer_s"),
            burst=drawn("burst"),
        )

    def _speeds_of(self, kind_index: int, kind: KindParameters) -> Iterator[float]:
        return lognormals(kind.speed, kind.speed_cv, self._streams.of("servers", "speeds", kind_index))

    def _draw_parameters(self) -> HistoryParameters:
        mean = CORE_WORK_US_PER_S / self.kinds[0].per_core
        classes = self._scenario.classes
        loads = [value(kind.load, self._streams.of("classes", "load", n)) for n, kind in enumerate(classes)]
        usual = sum(load * kind.share for load, kind in zip(loads, classes, strict=True))
        usual /= sum(kind.share for kind in classes)
        capacity = sum(machine.capacity for machine in self.machines)
        clients, servers = self._scenario.clients, self._scenario.servers
        life = value(clients.life_s, self._streams.of("clients", "life")) * SECOND_US
        group_cost = mean * value(servers.group_cost, self._streams.of("servers", "group_cost"))
        group_size = value_by_ratio(clients.group_size, self._streams.of("clients", "group_size"))
        each = mean + (group_cost / group_size if clients.groups else 0.0)  # A group is at one server.
        return HistoryParameters(
            life_us=life,
            mean_load=mean,
            class_load=tuple(mean * load / usual for load in loads),
            capacity=capacity,
            group_cost=group_cost,
            group_size=group_size,
            new_per_us=self._new_per_us(capacity / each, life),
            full_per_us=capacity / each / life,
            quotas=tuple(scheme.share * capacity / mean for scheme in self._scenario.schemes),
        )

    def _new_per_us(self, max_connections: float, life_us: float) -> float:
        """Returns the rate of new clients; `max_connections` is the number that all servers can carry."""
        clients = self._scenario.clients
        load = value(clients.load, self._streams.of("clients", "load"))
        if clients.connections is None:
            return load * max_connections / life_us
        length = self._scenario.length_s * SECOND_US
        return clients.connections / (length + (life_us if clients.standing else 0.0))


def _drawn(shares: list[float], random: np.random.Generator) -> int:
    position = random.uniform() * sum(shares)
    return min(int(np.searchsorted(np.cumsum(shares), position, side="right")), len(shares) - 1)
