"""Builds and connects the machines of a history: network, push servers, server list and service counts."""

from glenfold_lab.model.fleet import Fleet
from glenfold_lab.model.kernel import Kernel
from glenfold_lab.model.listing.feeds import RelayLists
from glenfold_lab.model.machine_faults import MachineFaults
from glenfold_lab.model.network import Network
from glenfold_lab.model.servers.calls import TICK_US, PushServers
from glenfold_lab.model.servers.lifecycle import ServerLifecycle
from glenfold_lab.model.service import Service
from glenfold_lab.observe import Watcher
from glenfold_lab.results import Happened
from glenfold_lab.spec import Scenario
from glenfold_lab.streams import Streams


class Machinery:
    """The machines that relays and clients use.

    `parameters` are the drawn values that clients and machines have to agree on. `servers`, `listing` and
    `service` implement `wire.Machines`, `wire.Listing` and `wire.DemandCounter`. `lifecycle` starts and ends
    servers. `happened` collects the faults of machines and their consequences in order, with times in
    microseconds from the start of the history.
    """

    def __init__(self, scenario: Scenario, streams: Streams, kernel: Kernel, watcher: Watcher) -> None:
        self._kernel = kernel
        self.happened: list[Happened] = []
        fleet = Fleet(scenario, streams)
        self.parameters = fleet.parameters
        self.network = Network(scenario.zones, streams)
        self.servers = PushServers(scenario, streams, kernel, watcher, fleet, self.network)
        self.listing = RelayLists(scenario, streams, kernel, watcher, fleet, self.network)
        self.service = Service(scenario, kernel, self.servers)
        self.lifecycle = ServerLifecycle(
            self.servers, scenario.rules, self.listing.server_changed, self.happened.append
        )
        self._faults = MachineFaults(
            scenario,
            streams,
            kernel,
            self.servers,
            self.lifecycle,
            self.listing,
            self.network,
            self.happened.append,
        )

    def start(self) -> None:
        """Starts the push servers and the periodic tick. Must run before any call or `resume`."""
        self.lifecycle.start_all()
        self._faults.start()
        self._kernel.after(TICK_US, self._tick)

    def _tick(self) -> None:
        self.service.tick()
        self._kernel.after(TICK_US, self._tick)
