"""Faults of relays and clients: crashes, planned restarts, stalled processes, mass drops."""

from collections.abc import Callable, Sequence

from glenfold_lab.model.clients import Clients
from glenfold_lab.model.kernel import Kernel
from glenfold_lab.model.machine_faults import DEFAULT_PART, DrawnFault
from glenfold_lab.model.relay_hosts import RelayHosts
from glenfold_lab.results import Happened
from glenfold_lab.spec import Fault
from glenfold_lab.streams import Streams


class ActorFaults:
    """Schedules the faults of a scenario that strike relays and clients.

    `note` is called with each fault when it happens.
    """

    def __init__(
        self,
        faults: Sequence[Fault],
        streams: Streams,
        kernel: Kernel,
        relay_hosts: RelayHosts,
        clients: Clients,
        note: Callable[[Happened], None],
    ) -> None:
        self._kernel, self._relay_hosts, self._clients = kernel, relay_hosts, clients
        self._note = note
        kinds: dict[str, Callable[[DrawnFault], Happened]] = {
            "relay_crash": self._crash,
            "relay_restart": self._restart,
            "relay_stall": self._stall,
            "reconnect": self._reconnect,
        }
        for index, fault in enumerate(faults):
            if fault.kind in kinds:
                drawn_fault = DrawnFault(fault, index, streams)
                kernel.at(kernel.start + drawn_fault.at, self._inject, kinds[fault.kind], drawn_fault)

    def _inject(self, inject: Callable[[DrawnFault], Happened], drawn_fault: DrawnFault) -> None:
        self._note(inject(drawn_fault))

    def _choose_targets(self, drawn_fault: DrawnFault) -> list[int]:
        return drawn_fault.choose(range(len(self._relay_hosts)), drawn_fault.count_of(len(self._relay_hosts)))

    def _record(self, drawn_fault: DrawnFault, us: int, relays: Sequence[int] = ()) -> Happened:
        at = self._kernel.now - self._kernel.start
        return Happened(drawn_fault.fault.kind, at, at + us if us else None, relays=tuple(relays))

    def _crash(self, drawn_fault: DrawnFault) -> Happened:
        targets = self._choose_targets(drawn_fault)
        for relay in targets:
            self._relay_hosts.crash(relay)
        return self._record(drawn_fault, 0, targets)

    def _restart(self, drawn_fault: DrawnFault) -> Happened:
        """Restarts the chosen relays one after the other, evenly over the given time."""
        targets = self._choose_targets(drawn_fault)
        for turn, relay in enumerate(targets):
            self._kernel.after(drawn_fault.over * turn // len(targets), self._relay_hosts.restart, relay)
        return self._record(drawn_fault, drawn_fault.over, targets)

    def _stall(self, drawn_fault: DrawnFault) -> Happened:
        targets = self._choose_targets(drawn_fault)
        for relay in targets:
            self._relay_hosts.stall(relay, self._kernel.now + drawn_fault.length)
        return self._record(drawn_fault, drawn_fault.length, targets)

    def _reconnect(self, drawn_fault: DrawnFault) -> Happened:
        self._clients.drop(
            drawn_fault.drawn("size", DEFAULT_PART), drawn_fault.over, drawn_fault.random("clients")
        )
        return self._record(drawn_fault, drawn_fault.over)
