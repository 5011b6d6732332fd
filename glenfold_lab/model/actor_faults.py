"""Faults of relays and clients: crashes, planned restarts, stalled processes, mass drops."""

from collections.abc import Callable, Sequence

from glenfold_lab.model.clients import Clients
from glenfold_lab.model.kernel import Kernel
from glenfold_lab.model.machine_faults import PART, Due
from glenfold_lab.model.relay_hosts import RelayHosts
from glenfold_lab.results import Happened
from glenfold_lab.spec import Fault
from glenfold_lab.streams import Streams


class ActorFaults:
    """Plans those faults of a scenario that are not the machines'. `note` gets each as it comes."""

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
        kinds: dict[str, Callable[[Due], Happened]] = {
            "relay_crash": self._crash,
            "relay_restart": self._restart,
            "relay_stall": self._stall,
            "reconnect": self._reconnect,
        }
        for place, fault in enumerate(faults):
            if fault.kind in kinds:
                due = Due(fault, place, streams)
                kernel.at(kernel.start + due.at, self._strike, kinds[fault.kind], due)

    def _strike(self, happen: Callable[[Due], Happened], due: Due) -> None:
        self._note(happen(due))

    def _chosen(self, due: Due) -> list[int]:
        return due.choose(range(len(self._relay_hosts)), due.count_of(len(self._relay_hosts)))

    def _happened(self, due: Due, us: int, relays: Sequence[int] = ()) -> Happened:
        at = self._kernel.now - self._kernel.start
        return Happened(due.fault.kind, at, at + us if us else None, relays=tuple(relays))

    def _crash(self, due: Due) -> Happened:
        struck = self._chosen(due)
        for relay in struck:
            self._relay_hosts.crash(relay)
        return self._happened(due, 0, struck)

    def _restart(self, due: Due) -> Happened:
        """One by one."""
        struck = self._chosen(due)
        for turn, relay in enumerate(struck):
            self._kernel.after(due.over * turn // len(struck), self._relay_hosts.restart, relay)
        return self._happened(due, due.over, struck)

    def _stall(self, due: Due) -> Happened:
        struck = self._chosen(due)
        for relay in struck:
            self._relay_hosts.stall(relay, self._kernel.now + due.length)
        return self._happened(due, due.length, struck)

    def _reconnect(self, due: Due) -> Happened:
        self._clients.drop(due.drawn("size", PART), due.over, due.random("clients"))
        return self._happened(due, due.over)
