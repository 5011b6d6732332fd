"""What every formula of the page is given: one size of the fleet, all sizes, and the measured slopes."""

from dataclasses import dataclass

from glenfold_lab.scale.capacity.estimates import Estimate
from glenfold_lab.scale.capacity.sizes import FleetSize, Sizes
from glenfold_lab.scale.capacity.slopes import Slopes

KB = 1000.0
MB = 1000.0**2
GB = 1000.0**3
US = 1e-6
MS = 1e-3


@dataclass(frozen=True, slots=True)
class Context:
    """Formulas that several tables share stand here, each once. Processor time is in cores (seconds a
    second), bytes in bytes, times in seconds."""

    size: FleetSize
    sizes: Sizes
    slopes: Slopes

    def given(self, name: str) -> Estimate:
        """A figure of the operators."""
        return Estimate(self.sizes.given[name])

    def assume(self, name: str) -> Estimate:
        """A figure that a question stands for."""
        return self.sizes.assume(name)

    @property
    def servers(self) -> Estimate:
        return self.sizes.servers(self.size)

    @property
    def connections(self) -> Estimate:
        """Of one relay."""
        return self.sizes.connections_per_relay(self.size)

    @property
    def deliveries(self) -> Estimate:
        """A second, of one relay."""
        return self.sizes.deliveries_per_relay(self.size)

    @property
    def client_lines(self) -> Estimate:
        """A second, of one relay, each way."""
        return self.sizes.client_lines_per_relay(self.size)

    @property
    def setups(self) -> Estimate:
        """A second, of one relay."""
        return self.sizes.setups_per_relay(self.size)

    @property
    def servers_in_a_zone(self) -> Estimate:
        return self.servers / self.given("zones")

    def setup_cores(self) -> Estimate:
        return self.setups * self.slopes.uncrowded("relay.connection.setup.cpu") * MS

    def client_line_cores(self) -> Estimate:
        """Clients' own lines and the servers' answers to them."""
        return self.client_lines * self.slopes.uncrowded("relay.line.cpu") * US

    def delivery_cores(self) -> Estimate:
        return self.deliveries * self.slopes.uncrowded("relay.delivery.cpu") * US

    def silent_cores(self) -> Estimate:
        """For connections on which nobody says a word: each is watched for a server that falls silent."""
        return self.slopes.at("relay.connection.silent.cpu", self.connections) * MS

    def relay_cores(self) -> Estimate:
        """All that a relay does for its connections."""
        return self.setup_cores() + self.silent_cores() + self.client_line_cores() + self.delivery_cores()

    def connection_memory(self) -> Estimate:
        """Bytes of a relay with its connections."""
        return self.slopes.at("relay.connection.memory", self.connections) * KB

    def list_bytes(self) -> Estimate:
        """A whole list as JSON."""
        return self.slopes.at("list.bytes", self.servers) * KB

    def change_bytes(self) -> Estimate:
        """A change of one server as a watch carries it."""
        return self.slopes.typical("change.bytes")

    def change_seconds(self) -> Estimate:
        """Processor time that a change of one server costs a relay."""
        return self.slopes.at("relay.change.cpu", self.servers) * MS

    def control_cores(self) -> Estimate:
        """Of a relay, for the list's changes on an average day."""
        return self.sizes.changes_per_s() * self.change_seconds()

    def control_bytes(self) -> Estimate:
        """A second, of a relay, on an average day."""
        return self.sizes.changes_per_s() * self.change_bytes()

    def control_memory(self) -> Estimate:
        """Bytes that the list costs a relay: the decisions' map and the destination set."""
        decisions = self.slopes.at("decisions.memory", self.servers)
        return (decisions + self.slopes.at("destinations.memory", self.servers)) * MB

    def seconds_on_the_line(self, amount: Estimate) -> Estimate:
        """At the rate that a relay may spend on control."""
        return amount / (self.given("control_kb_per_s") * KB)

    def zone_burst_bytes(self) -> Estimate:
        """Every server of a zone changes."""
        return self.servers_in_a_zone * self.change_bytes()
