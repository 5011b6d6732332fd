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
                due = DrawnFault(fault, index, streams)
                kernel.at(kernel.start + due.at, self._strike, kinds[fault.kind], due)

    def _strike(self, happen: Callable[[DrawnFault], Happened], due: DrawnFault) -> None:
        self._note(happen(due))

    def _choose_targets(self, due: DrawnFault) -> list[int]:
        return due.choose(range(len(self._relay_hosts)), due.count_of(len(self._relay_hosts)))

    def _record(self, due: DrawnFault, us: int, relays: Sequence[int] = ()) -> Happened:
        at = self._kernel.now - self._kernel.start
        return Happened(due.fault.kind, at, at + us if us else None, relays=tuple(relays))

    def _crash(self, due: DrawnFault) -> Happened:
        struck = self._choose_targets(due)
        for relay in struck:
            self._relay_hosts.crash(relay)
        return self._record(due, 0, struck)

    def _restart(self, due: DrawnFault) -> Happened:
        """Restarts the chosen relays one after the other, evenly over the given time."""
        struck = self._choose_targets(due)
        for turn, relay in enumerate(struck):
            self._kernel.after(due.over * turn // len(struck), self._relay_hosts.restart, relay)
        return self._record(due, due.over, struck)

    def _stall(self, due: DrawnFault) -> Happened:
        struck = self._choose_targets(due)
        for relay in struck:
            self._relay_hosts.stall(relay, self._kernel.now + due.length)
        return self._record(due, due.length, struck)

    def _reconnect(self, due: DrawnFault) -> Happened:
        self._clients.drop(due.drawn("size", DEFAULT_PART), due.over, due.random("clients"))
        return self._record(due, due.over)
