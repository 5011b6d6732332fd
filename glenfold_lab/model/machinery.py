"""The machines of a world, wired: network, push servers, the server list, and the service that they give."""

from typing import Protocol

from glenfold_lab.model.network import Network
from glenfold_lab.model.wire import Listing, Machines, Wanted
from glenfold_lab.results import Happened


class Terms(Protocol):
    """What one history drew that clients and machines have to agree on. Loads in microseconds a second on a
    standard core; a class or scheme goes by its place in the scenario."""

    life_us: float                 # mean time for which a client wants its connection
    mean_load: float               # of a connection, over all classes
    class_load: tuple[float, ...]  # of a connection of each class
    capacity: float                # of all push servers that the history starts with, warm: also in loads
    quotas: tuple[float, ...]      # connections of each scheme within its share


class Machinery(Protocol):
    """Made as `Machinery(scenario, streams, kernel, watcher)`."""

    terms: Terms
    network: Network
    servers: Machines
    listing: Listing
    service: Wanted
    happened: list[Happened]   # faults of machines, as they come

    def start(self) -> None:
        """Tells of the push servers that run and sets the clock going: before any call or `resume`."""
