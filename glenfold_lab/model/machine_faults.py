"""Faults of push servers and their list from a scenario; the servers that they strike are drawn."""

from collections.abc import Callable, Sequence
from typing import TypeVar

import numpy as np

from glenfold_lab.model.draw import value
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.listing.feeds import RelayLists
from glenfold_lab.model.network import Network
from glenfold_lab.model.servers.calls import PushServers
from glenfold_lab.model.servers.lifecycle import ServerLifecycle
from glenfold_lab.model.servers.server import Server
from glenfold_lab.results import Happened
from glenfold_lab.spec import Fault, Scenario
from glenfold_lab.streams import Streams

T = TypeVar("T")

# Defaults of a fault: the share of the servers that it strikes, the share of cores that a neighbour takes,
# the factor by which a fleet shrinks, and the period of a flapping server in seconds.
DEFAULT_PART, DEFAULT_CORE_SHARE, DEFAULT_SHRINK_FACTOR, DEFAULT_FLAP_S = 0.25, 0.5, 2.0, 4.0


class DrawnFault:
    """A fault of the scenario with drawn values.

    Times are in microseconds, and `at` counts from the start of the history. The random generators depend on
    the index of the fault in the scenario, so that an additional fault changes no other one.
    """

    def __init__(self, fault: Fault, index: int, streams: Streams) -> None:
        self.fault = fault
        self._streams, self._index = streams, index
        self.at, self.length, self.over, self.every = (
            int(self.drawn(name, 0.0) * SECOND_US) for name in ("at_s", "len_s", "over_s", "every_s")
        )

    def drawn(self, name: str, default: float) -> float:
        """Draws the value of a field of the fault, or returns `default` if the fault has none."""
        wanted = getattr(self.fault, name)
        return default if wanted is None else value(wanted, self.random(name))

    def count_of(self, machines: int) -> int:
        """Returns how many of so many machines the fault strikes."""
        part = self.drawn("part", DEFAULT_PART)
        return min(machines, self.fault.count or max(1, round(part * machines)))

    def random(self, purpose: str) -> np.random.Generator:
        return self._streams.of("faults", purpose, self._index)

    def choose(self, machines: Sequence[T], count: int) -> list[T]:
        """Draws `count` machines and returns them in their original order."""
        order = self.random("whom").permutation(len(machines))
        return [machines[index] for index in sorted(order[:count].tolist())]

    def draw_index(self, count: int) -> int:
        return int(self.random("where").integers(count))


class MachineFaults:
    """Schedules the faults of machines. Each kind is a method that returns what it struck and how long."""

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        kernel: Kernel,
        servers: PushServers,
        lifecycle: ServerLifecycle,
        lists: RelayLists,
        network: Network,
        note: Callable[[Happened], None],
    ) -> None:
        self._kernel, self._servers, self._lifecycle = kernel, servers, lifecycle
        self._lists, self._network = lists, network
        self._relays = scenario.relays.count
        self._end = kernel.start + int(scenario.length_s * SECOND_US)
        self._note = note
        self._kinds: dict[str, Callable[[DrawnFault], Happened]] = {
            "neighbour": self._neighbour,
            "shrink": self._shrink,
            "drain": self._drain,
            "restart_servers": self._restart,
            "start_servers": self._start_new,
            "server_crash": self._crash,
            "server_vanish": self._vanish,
            "server_jam": self._stall,
            "zone_loss": self._zone_loss,
            "list_silent": self._list_silent,
            "flap": self._flap,
        }
        self._due = [
            DrawnFault(fault, index, streams)
            for index, fault in enumerate(scenario.faults)
            if fault.kind in self._kinds
        ]

    def start(self) -> None:
        for drawn_fault in self._due:
            self._kernel.at(self._kernel.start + drawn_fault.at, self._inject, drawn_fault)

    def _inject(self, drawn_fault: DrawnFault) -> None:
        self._note(self._kinds[drawn_fault.fault.kind](drawn_fault))

    def _choose_targets(self, drawn_fault: DrawnFault) -> list[Server]:
        running = self._lifecycle.running()
        return drawn_fault.choose(running, drawn_fault.count_of(len(running)))

    def _record(
        self, drawn_fault: DrawnFault, servers: Sequence[Server], us: int = 0, relays: tuple[int, ...] = ()
    ) -> Happened:
        """Describes a fault; `us` is its length, or 0 if it is permanent."""
        now = self._kernel.now - self._kernel.start
        numbers = tuple(server.machine.number for server in servers)
        return Happened(drawn_fault.fault.kind, now, now + us if us else None, numbers, relays)

    # ---- capacity ----

    def _neighbour(self, drawn_fault: DrawnFault) -> Happened:
        targets, share = (
            self._choose_targets(drawn_fault),
            min(1.0, drawn_fault.drawn("size", DEFAULT_CORE_SHARE)),
        )
        until = self._kernel.now + drawn_fault.length if drawn_fault.length else self._end
        for server in targets:
            self._alternate_neighbour(server, share, drawn_fault.every or until, until)
        return self._record(drawn_fault, targets, drawn_fault.length)

    def _alternate_neighbour(
        self, server: Server, share: float, every: int, until: int, other_share: float = 0.0
    ) -> None:
        """Applies `share` now and alternates with `other_share` every `every` microseconds."""
        now = self._kernel.now
        self._lifecycle.take_cores(server, share if now < until else 0.0)
        if now < until:
            self._kernel.at(
                min(now + every, until), self._alternate_neighbour, server, other_share, every, until, share
            )

    def _stall(self, drawn_fault: DrawnFault) -> Happened:
        targets = self._choose_targets(drawn_fault)
        for server in targets:
            self._lifecycle.set_stalled(server, True)
            if drawn_fault.length:
                self._kernel.after(drawn_fault.length, self._lifecycle.set_stalled, server, False)
        return self._record(drawn_fault, targets, drawn_fault.length)

    # ---- the fleet ----

    def _shrink(self, drawn_fault: DrawnFault) -> Happened:
        running = self._lifecycle.running()
        remaining = max(1, round(len(running) / max(1.0, drawn_fault.drawn("size", DEFAULT_SHRINK_FACTOR))))
        return self._drain_all(drawn_fault, drawn_fault.choose(running, len(running) - remaining))

    def _drain(self, drawn_fault: DrawnFault) -> Happened:
        targets = self._choose_targets(drawn_fault)
        happened = self._drain_all(drawn_fault, targets)
        for server in targets if drawn_fault.fault.replace else ():
            machine = server.machine
            self._lifecycle.add(self._servers.fleet.add(machine.kind_index, machine.zone))
        return happened

    def _drain_all(self, drawn_fault: DrawnFault, targets: list[Server]) -> Happened:
        for server in targets:
            self._lifecycle.drain(server, drawn_fault.over)
        return self._record(drawn_fault, targets, drawn_fault.over)

    def _restart(self, drawn_fault: DrawnFault) -> Happened:
        targets = self._choose_targets(drawn_fault)
        for turn, server in enumerate(targets):
            self._kernel.after(
                drawn_fault.over * turn // len(targets), self._lifecycle.restart, server, drawn_fault.length
            )
        return self._record(drawn_fault, targets, drawn_fault.over + drawn_fault.length)

    def _start_new(self, drawn_fault: DrawnFault) -> Happened:
        count = drawn_fault.fault.count or drawn_fault.count_of(len(self._lifecycle.running()))
        for turn in range(count):
            self._kernel.after(drawn_fault.over * turn // count, self._add_one)
        return self._record(drawn_fault, (), drawn_fault.over)

    def _add_one(self) -> None:
        self._lifecycle.add(self._servers.fleet.add_drawn())

    def _crash(self, drawn_fault: DrawnFault) -> Happened:
        targets = self._choose_targets(drawn_fault)
        for server in targets:
            if drawn_fault.length:
                self._lifecycle.restart(server, drawn_fault.length)
            else:
                self._lifecycle.end(server)
        return self._record(drawn_fault, targets, drawn_fault.length)

    # ---- silence ----

    def _vanish(self, drawn_fault: DrawnFault) -> Happened:
        targets = self._choose_targets(drawn_fault)
        for server in targets:
            self._lifecycle.vanish(server)
            if drawn_fault.length:
                self._kernel.after(drawn_fault.length, self._lifecycle.appear, server, server.life)
        return self._record(drawn_fault, targets, drawn_fault.length)

    def _zone_loss(self, drawn_fault: DrawnFault) -> Happened:
        names = self._network.names
        zone = (
            names.index(drawn_fault.fault.zone)
            if drawn_fault.fault.zone
            else drawn_fault.draw_index(len(names))
        )
        targets = self._lifecycle.cut(zone, drawn_fault.fault.relays)
        if drawn_fault.length:
            self._kernel.after(drawn_fault.length, self._lifecycle.restore, zone)
        relays = range(self._relays) if drawn_fault.fault.relays else ()
        cut_off = tuple(relay for relay in relays if self._network.zone_of(relay) == zone)
        return self._record(drawn_fault, targets, drawn_fault.length, cut_off)

    # ---- the list ----

    def _list_silent(self, drawn_fault: DrawnFault) -> Happened:
        self._lists.silence(drawn_fault.length or self._end - self._kernel.now)
        return self._record(drawn_fault, (), drawn_fault.length)

    def _flap(self, drawn_fault: DrawnFault) -> Happened:
        targets = self._choose_targets(drawn_fault)
        until = self._kernel.now + drawn_fault.length if drawn_fault.length else self._end
        half = (drawn_fault.every or int(DEFAULT_FLAP_S * SECOND_US)) // 2
        for server in targets:
            self._flap_out(server, server.life, half, until)
        return self._record(drawn_fault, targets, drawn_fault.length)

    def _flap_out(self, server: Server, life: int, half: int, until: int) -> None:
        if self._kernel.now < until and server.life == life and self._lifecycle.start_drain(server):
            self._kernel.after(half, self._flap_back, server, life, half, until)

    def _flap_back(self, server: Server, life: int, half: int, until: int) -> None:
        self._lifecycle.cancel_drain(server, life)
        self._kernel.after(half, self._flap_out, server, life, half, until)
