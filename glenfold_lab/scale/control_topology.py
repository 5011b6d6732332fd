"""A plain description of the control side of a scale run: which control processes there are, whom they
follow, and which watchers go to which of them."""

import socket
from dataclasses import dataclass

from glenfold.config import Address
from glenfold_lab.scale.control_links import LinkPlan
from glenfold_lab.scale.hollow_fleet import WatcherGroup

SOURCE = "source"
HOST = "127.8.0.1"  # not that of outgoing connections, whose ports could be those of a listener


@dataclass(frozen=True, slots=True)
class ControlProcess:
    """`parents`: names of others or `SOURCE`, in order of preference. `layer` 1 follows the source."""

    name: str
    address: Address
    parents: tuple[str, ...]
    zone: str
    region: str
    layer: int


@dataclass(frozen=True, slots=True)
class Watchers:
    """So many that go to these processes, in that order of preference."""

    count: int
    parents: tuple[str, ...]
    region: str


@dataclass(frozen=True, slots=True)
class Link:
    """Another address of `target`, a process or `SOURCE`, which a cut of the region holds back."""

    name: str
    address: Address
    target: str
    region: str


@dataclass(frozen=True, slots=True)
class Topology:
    """Names of parents are those of processes, links, or `SOURCE`."""

    processes: tuple[ControlProcess, ...]
    watchers: tuple[Watchers, ...]
    links: tuple[Link, ...] = ()

    def groups(self, source: Address) -> tuple[WatcherGroup, ...]:
        """The watchers' groups, named by their regions."""
        addresses = self.addresses(source)
        return tuple(
            WatcherGroup(one.region, one.count, tuple(addresses[name] for name in one.parents))
            for one in self.watchers
        )

    def addresses(self, source: Address) -> dict[str, Address]:
        processes = {process.name: process.address for process in self.processes}
        return {SOURCE: source} | processes | {link.name: link.address for link in self.links}

    def link_plans(self, source: Address) -> list[LinkPlan]:
        addresses = self.addresses(source)
        return [LinkPlan(link.address, addresses[link.target], link.region) for link in self.links]

    def layer(self, number: int) -> list[ControlProcess]:
        return [process for process in self.processes if process.layer == number]


def flat(watchers: int) -> Topology:
    """Today's mechanism: all watch the one source."""
    return Topology((), (Watchers(watchers, (SOURCE,), "all"),))


def two_layers(watchers: int, regions: int, zones: int) -> Topology:
    """source -> a replica in each region -> one in each zone -> watchers. A zone's replica prefers its own
    region's, then the next region's; a watcher its own zone's replica, then the next one of its region. What
    crosses a region's border goes over its links."""
    addresses = iter(free_addresses(3 * regions + zones))
    names = [f"region-{n}" for n in range(regions)]
    to_source = [Link(f"{SOURCE}@{name}", next(addresses), SOURCE, name) for name in names]
    others = [names[(n + 1) % regions] for n in range(regions)]
    to_next = [
        Link(f"{other}@{name}", next(addresses), other, name)
        for name, other in zip(names, others, strict=True)
        if other != name
    ]
    processes = [
        ControlProcess(name, next(addresses), (link.name,), "", name, layer=1)
        for name, link in zip(names, to_source, strict=True)
    ]
    region_of = [n * regions // zones for n in range(zones)]
    groups = []
    for zone, region in enumerate(region_of):
        parents = (names[region], *(link.name for link in to_next if link.region == names[region]))
        name = f"zone-{zone}"
        processes.append(ControlProcess(name, next(addresses), parents, name, names[region], layer=2))
        near = [n for n in range(zones) if region_of[n] == region]
        order = near[near.index(zone) :] + near[: near.index(zone)]
        count = len(range(zone, watchers, zones))
        groups.append(Watchers(count, tuple(f"zone-{n}" for n in order), names[region]))
    return Topology(tuple(processes), tuple(groups), (*to_source, *to_next))


def free_addresses(count: int) -> list[Address]:
    """Loopback addresses at which nothing listens now."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((HOST, 0))
        return [(HOST, sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
