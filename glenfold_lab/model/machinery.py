"""The machines of a world, wired: network, push servers, the server list, and the service that they give."""

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
    """What relays and clients meet.

    terms: what the history drew that both sides have to agree on. servers, listing and service are as
    `wire.Machines`, `wire.Listing` and `wire.Wanted` say. lives: how servers start and end. happened: the
    faults of machines and what came of them, as they come, by microseconds from the start of the history.
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
        """Tells of the push servers that run and sets the clock going: before any call or `resume`."""
        self.lifecycle.start_all()
        self._faults.start()
        self._kernel.after(TICK_US, self._tick)

    def _tick(self) -> None:
        self.service.tick()
        self._kernel.after(TICK_US, self._tick)
