"""One relay of a very large fleet takes its share of the connections: where those of one topic end up.

All relays build the same map from the same list, so the servers that one of them chooses for a topic are
those that all choose. A relay is given its part of the connections and of the largest topic; its decisions
are real, and every push server accepts.
"""

import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace

from glenfold.rules.group_parts import GroupParts
from linnetspread import interface as i
from linnetspread.choice import Balancer

TOPIC = 1  # the group key of the topic that is watched
DEADLINE_US = 3_000_000
SETUP_US = 20_000
STEP_US = 500  # between two clients


@dataclass(frozen=True, slots=True)
class Fleet:
    """What one relay takes part in. `topic`: listeners of the largest one in the whole fleet."""

    relays: int
    servers: int
    connections: int
    groups: int
    topic: int


@dataclass(frozen=True, slots=True)
class Spread:
    """Where the topic's listeners at one relay ended up, and what a server holds there beside them."""

    listeners: int
    servers: int  # that hold any of them
    at_busiest: int  # most listeners at one server
    mean_connections: float  # of a server, the whole fleet's, of all topics
    fleet_listeners_at_busiest: float  # if each relay does alike
    cpu_us: float  # of a placement, on average

    @property
    def busiest_over_mean(self) -> float:
        """How many times the mean server's connections the topic alone brings to its busiest server."""
        return self.fleet_listeners_at_busiest / self.mean_connections


def settings(fleet: Fleet) -> i.Settings:
    """A fleet whose shares are what it carries."""
    classes = (i.RequestClass(deadline_us=DEADLINE_US, semantics=i.Semantics.REPEATABLE),)
    quota = i.Tenant(quota_per_s=fleet.connections / 300, quota_connections=fleet.connections)
    return i.Settings(gateways=fleet.relays, classes=classes, tenants=(quota,), pass_through=True)


def ready_list(servers: int, seed: int) -> i.ServerList:
    """As many warm servers, their numbers drawn by `seed`."""
    numbers = random.Random(seed).sample(range(1, 1 << 32), servers)
    listed = tuple(i.ListedServer(number, i.ServerState.READY) for number in numbers)
    return i.ServerList(i.ListKind.FULL, 1, listed)


def requests(fleet: Fleet, chance: random.Random) -> Iterator[i.Request]:
    """One relay's part of all clients, in random order: the topic's listeners and those of other groups."""
    mine = fleet.connections // fleet.relays
    listeners = round(fleet.topic / fleet.relays)
    topics = [TOPIC] * listeners
    topics += [2 + chance.randrange(fleet.groups) for _ in range(mine - listeners)]
    chance.shuffle(topics)
    for number, topic in enumerate(topics, 1):
        group = topic if topic == TOPIC else chance_key(topic)
        yield i.Request(number, DEADLINE_US, key=chance_key(-number), group=group)


def chance_key(value: int) -> int:
    """Spreads small numbers over 64 bits, the same in every process."""
    return random.Random(value).getrandbits(64) | 1


def place_all(fleet: Fleet, seed: int, split: bool = False) -> Spread:
    """Every client of one relay comes once and is accepted by the server that was chosen for it. `split`:
    large groups are placed in parts."""
    chance = random.Random(seed)
    parts = GroupParts()
    balancer = Balancer(settings(fleet), seed)
    balancer.handle(1, ready_list(fleet.servers, seed))
    arrivals = list(requests(fleet, chance))
    now, held = 1_000_000, Counter[int]()
    began = time.process_time()
    for arrival in arrivals:
        now += STEP_US
        group = arrival.group
        if split:
            group = parts.add_member(group, arrival.key, len(balancer.connections), fleet.servers)
        for action in balancer.handle(now, replace(arrival, group=group)):
            if isinstance(action, i.Attempt):
                balancer.handle(now, i.Established(arrival.request, 1, action.server, SETUP_US))
                held[action.server] += arrival.group == TOPIC
    cpu_s = time.process_time() - began
    at_busiest = max(held.values())
    return Spread(
        listeners=sum(held.values()),
        servers=sum(count > 0 for count in held.values()),
        at_busiest=at_busiest,
        mean_connections=fleet.connections / fleet.servers,
        fleet_listeners_at_busiest=at_busiest * fleet.relays,
        cpu_us=cpu_s / len(arrivals) * 1e6,
    )
