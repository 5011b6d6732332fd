"""How full cold servers get, in a model of a fleet of gateways that make the real decisions.

    python -m benchmarks.cold_turns [--gateways 200] [--servers 50] [--seeds 3]

Half of the servers restart at the same time, or all of them. Each client that connects afterwards reaches a
random gateway, as behind a front without memory. A case says how many of the clients that the shares allow
there are, and how they come back:

- `steady`: a constant number per second returns, drawn from the clients that no cold server holds, beside new
  clients at the rate in the shares;
- `rush`: all clients return within two seconds, at once or some seconds after the servers started, at
  gateways without connections;
- `all anew`: no server is warm; a refused client tries again after 0.5 to 1.5 s;
- `unmarked`: clients don't say that they return.

Prints a line of JSON for each case. N is the number of calls that the settings allow a server in one window.
`fullest` is the largest number of calls sent to one server in any window, divided by N + 2 sqrt(N) + 2, the
most that a server can carry. `mean` is the number of calls sent to all cold servers, divided by the sum of N
until they are warm. `falls` is the number of servers that were sent more than they can carry; the exit status
is 1 if there are any. Each seed takes about ten seconds of processor time.
"""

import heapq
import json
import math
import random
import sys
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import click

from linnetspread import interface
from linnetspread.choice import Balancer

SECOND_US = 1_000_000
TICK_US = SECOND_US // 100
RUSH_S = 2.0
GROUP_SIZE = 8  # number of clients of one group, over the whole fleet
RECONNECT_DELAY_US = 100_000  # delay of a client after a MOVE
TENANT = interface.Tenant(1.0, quota_per_s=100.0, quota_connections=4_000.0)
SETTINGS = interface.Settings(
    classes=(
        interface.RequestClass(
            deadline_us=3 * SECOND_US, semantics=interface.Semantics.REPEATABLE, message_aim_us=100_000.0
        ),
    ),
    tenants=(TENANT,),
    pass_through=True,
    tells_delay=True,
    max_attempts=4,
    cold_share=0.15,
    cold_us=20 * SECOND_US,
    fall_multiple=3.0,
    fall_us=3 * SECOND_US,
)


@dataclass(frozen=True, slots=True)
class Case:
    """One way in which clients return. `client_ratio` is their number as a part of the shares."""

    name: str
    client_ratio: float
    returns_per_s: float = 0.0  # with 0, all clients return within RUSH_S
    rush_at_s: float = 0.0
    restart_all: bool = False  # all servers restart, and refused clients try again
    marked: bool = True  # clients say that they return


CASES = (
    Case("steady, 0.4 of the shares", 0.4, returns_per_s=300.0),
    Case("steady, the whole shares", 1.0, returns_per_s=300.0),
    Case("rush at once, 0.4 of the shares", 0.4),
    Case("rush at once, the whole shares", 1.0),
    Case("rush after 10 s, 0.4 of the shares", 0.4, rush_at_s=10.0),
    Case("rush after 10 s, the whole shares", 1.0, rush_at_s=10.0),
    Case("rush at once, the whole shares, unmarked", 1.0, marked=False),
    Case("rush after 10 s, the whole shares, unmarked", 1.0, rush_at_s=10.0, marked=False),
    Case("all anew, 0.4 of the shares", 0.4, restart_all=True),
    Case("all anew, the whole shares", 1.0, restart_all=True),
    Case("all anew after 10 s, the whole shares", 1.0, rush_at_s=10.0, restart_all=True),
    Case("all anew, 0.4 of the shares, unmarked", 0.4, restart_all=True, marked=False),
    Case("all anew, the whole shares, unmarked", 1.0, restart_all=True, marked=False),
)


@dataclass(slots=True)
class ColdServer:
    """The calls sent to one server since it started."""

    started_us: int
    rate_per_s: float  # rate of new connections that fills the server once it is warm
    sends: deque[int] = field(default_factory=deque)  # times of the calls in the last window
    total: int = 0
    fullest: float = 0.0

    def record_send(self, now: int) -> None:
        self.sends.append(now)
        self.total += 1
        while self.sends[0] <= now - SETTINGS.fall_us:
            self.sends.popleft()
        allowed_calls = self.allowed_calls(max(self.started_us, now - SETTINGS.fall_us), now)
        self.fullest = max(self.fullest, len(self.sends) / (allowed_calls + 2 * math.sqrt(allowed_calls) + 2))

    def allowed_calls(self, since: int, until: int) -> float:
        """Returns N: the allowed multiple of the calls that the server can certainly take in that time.

        Its capacity grows evenly while it warms up.
        """
        middle = (since + until) / 2 - self.started_us
        warmth = SETTINGS.cold_share + (1 - SETTINGS.cold_share) * min(1.0, middle / SETTINGS.cold_us)
        return SETTINGS.fall_multiple * warmth * self.rate_per_s * (until - since) / SECOND_US


@dataclass(slots=True)
class Client:
    key: int
    gateway: int = 0
    request: int = 0  # 0 without a connection
    server: int = 0


class Fleet:
    """The gateways, the servers and their clients."""

    def __init__(self, gateways: int, servers: int, seed: int, clients: int) -> None:
        self.rng = random.Random(seed)
        self.now = 30 * SECOND_US
        self.servers = list(range(100 + 1_000 * seed, 100 + 1_000 * seed + servers))
        self.gateways = [Balancer(replace(SETTINGS, gateways=gateways), slot) for slot in range(gateways)]
        self.send_list(self.servers, 0, interface.ListKind.FULL)
        self.cold: dict[int, ColdServer] = {}
        self.requests = 0
        self.keys = 0
        self.clients = [self.new_client() for _ in range(clients)]
        self.clients_by_request: dict[int, Client] = {}
        self.moved: list[tuple[int, int, Client]] = []  # time of return, request, client
        self.refused: list[tuple[int, int, Client]] = []  # time of the retry, request, client

    def new_client(self) -> Client:
        self.keys += 1
        return Client(self.keys * 977)

    def send_list(self, servers: Iterable[int], started_us: int, kind: interface.ListKind) -> None:
        entries = tuple(
            interface.ListedServer(server, interface.ServerState.READY, started_us=started_us)
            for server in servers
        )
        for gateway in self.gateways:
            gateway.handle(self.now, interface.ServerList(kind, 0, entries))

    def restart_servers(self, all_servers: bool) -> None:
        """Restarts all servers, or every second one."""
        started = self.servers if all_servers else self.servers[::2]
        rate = TENANT.quota_per_s / len(self.servers)
        for client in self.clients:
            if client.server in started:
                self.end_connection(client, interface.Outcome.RESET)
        self.cold = {server: ColdServer(self.now, rate) for server in started}
        self.send_list(started, self.now, interface.ListKind.DELTA)

    def end_connection(self, client: Client, outcome: interface.Outcome) -> None:
        if client.request:
            self.clients_by_request.pop(client.request)
            answer = interface.Answer(client.request, 0, client.server, outcome, SECOND_US, done=True)
            self.apply_actions(client.gateway, self.gateways[client.gateway].handle(self.now, answer))
        client.request = client.server = 0

    def connect(self, client: Client, returning: bool) -> None:
        self.end_connection(client, interface.Outcome.RESET)
        self.requests += 1
        client.gateway = self.rng.randrange(len(self.gateways))
        event = interface.Request(
            self.requests, 3 * SECOND_US, client.key, client.key // 977 // GROUP_SIZE + 1, returning=returning
        )
        gateway = self.gateways[client.gateway]
        actions = gateway.handle(self.now, event)
        for attempt in (action for action in actions if isinstance(action, interface.Attempt)):
            client.request, client.server = self.requests, attempt.server
            self.clients_by_request[self.requests] = client
            if attempt.server in self.cold:
                self.cold[attempt.server].record_send(self.now)
            up = interface.Established(self.requests, 0, attempt.server, 5_000)
            actions = actions + gateway.handle(self.now, up)
        if not client.request:
            retry_at_us = self.now + self.rng.randrange(SECOND_US // 2, SECOND_US * 3 // 2)
            heapq.heappush(self.refused, (retry_at_us, self.requests, client))
        self.apply_actions(client.gateway, actions)

    def apply_actions(self, gateway: int, actions: list[interface.Action]) -> None:
        """Applies MOVE actions: the client ends its connection and returns. Other actions have no effect."""
        for move in (action for action in actions if isinstance(action, interface.Move)):
            client = self.clients_by_request.get(move.request)
            if client is not None:
                heapq.heappush(self.moved, (self.now + RECONNECT_DELAY_US, move.request, client))

    def reconnect_moved(self) -> None:
        while self.moved and self.moved[0][0] <= self.now:
            _, request, client = heapq.heappop(self.moved)
            if client.request == request:
                self.end_connection(client, interface.Outcome.CANCELLED)
                self.connect(client, returning=True)

    def retry_refused(self, returning: bool) -> None:
        while self.refused and self.refused[0][0] <= self.now:
            client = heapq.heappop(self.refused)[2]
            if not client.request:
                self.connect(client, returning)

    def replace_client(self) -> None:
        """Ends one client's connection for good, and connects a new client."""
        index = self.rng.randrange(len(self.clients))
        self.end_connection(self.clients[index], interface.Outcome.OK)
        self.clients[index] = self.new_client()
        self.connect(self.clients[index], returning=False)


class Arrivals:
    """Decides which clients connect in each tick of one case."""

    def __init__(self, fleet: Fleet, case: Case) -> None:
        self.fleet, self.case, self.started_us = fleet, case, fleet.now
        self.waiting = fleet.clients.copy()  # clients that have not returned yet, in a rush
        fleet.rng.shuffle(self.waiting)
        self.new_due = self.returns_due = 0.0

    def tick(self) -> None:
        self.fleet.reconnect_moved()
        if self.case.restart_all:
            self.fleet.retry_refused(self.case.marked)
        if self.case.returns_per_s:
            self._steady()
        elif self.fleet.now - self.started_us >= self.case.rush_at_s * SECOND_US:
            self._rush()

    def _steady(self) -> None:
        self.new_due += self.case.client_ratio * TENANT.quota_per_s * TICK_US / SECOND_US
        self.returns_due += self.case.returns_per_s * TICK_US / SECOND_US
        for _ in range(int(self.new_due)):
            self.fleet.replace_client()
        for _ in range(int(self.returns_due)):
            client = self.fleet.rng.choice(self.fleet.clients)
            if client.server not in self.fleet.cold:
                self.fleet.connect(client, returning=True)
        self.new_due, self.returns_due = self.new_due % 1, self.returns_due % 1

    def _rush(self) -> None:
        self.returns_due += len(self.fleet.clients) / RUSH_S * TICK_US / SECOND_US
        for _ in range(min(int(self.returns_due), len(self.waiting))):
            self.fleet.connect(self.waiting.pop(), self.case.marked)
        self.returns_due %= 1


def play(case: Case, gateways: int, servers: int, seed: int) -> list[ColdServer]:
    """Returns all servers that restarted, at the end of their warm-up."""
    fleet = Fleet(gateways, servers, seed, round(case.client_ratio * TENANT.quota_connections))
    if case.returns_per_s:
        for client in fleet.clients:
            fleet.connect(client, returning=False)
    fleet.restart_servers(case.restart_all)
    arrivals = Arrivals(fleet, case)
    for _ in range(SETTINGS.cold_us // TICK_US - 1):
        fleet.now += TICK_US
        arrivals.tick()
    return list(fleet.cold.values())


def summarize(case: Case, cold: list[ColdServer]) -> dict[str, str | float]:
    """Returns the figures to report for one case, as the module's docstring explains them."""
    budget = sum(
        server.allowed_calls(server.started_us, server.started_us + SETTINGS.cold_us) for server in cold
    )
    return {
        "case": case.name,
        "fullest": round(max(server.fullest for server in cold), 2),
        "mean": round(sum(server.total for server in cold) / budget, 2),
        "falls": sum(server.fullest > 1 for server in cold),
    }


@click.command()
@click.option("--gateways", type=click.IntRange(1, 1000), default=200, show_default=True)
@click.option("--servers", type=click.IntRange(2, 1000), default=50, show_default=True)
@click.option("--seeds", type=click.IntRange(1, 20), default=3, show_default=True)
def main(gateways: int, servers: int, seeds: int) -> None:
    falls = 0
    for case in CASES:
        cold = [server for seed in range(1, seeds + 1) for server in play(case, gateways, servers, seed)]
        falls += sum(server.fullest > 1 for server in cold)
        click.echo(json.dumps(summarize(case, cold)))
    sys.exit(falls > 0)


if __name__ == "__main__":
    main()
