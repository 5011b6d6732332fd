"""The placement decisions of linnetspread. Its settings, events and actions are in linnetspread/interface.py.

In the ordinary case a connection goes to the server to which AnchorHash maps its client key. Every gateway
builds the same map from the ready list, sorted by server id. Where clients come in groups that share work,
the key is that of the group: a server pays for the shared work once, however many members it serves. The
exceptions to this are made by `Balancer._choose` and the methods that it calls.

A gateway may hold thousands of connections, or only one for every ten servers. Limits that must add up over
all gateways are therefore never counted at one gateway. Each is a slice of the key space, and the slice has
the same keys at every gateway.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from linnetspread import interface
from linnetspread.anchor import Anchor
from linnetspread.hashing import MASK_64, SEEDS, jump_hash, mix
from linnetspread.map_update import bucket_counts, update_steps
from linnetspread.past_runs import PastRun, PastRuns

# The lab imports these from here, as it also plays earlier revisions of this package.
__all__ = ["SEEDS", "Anchor", "Balancer", "jump_hash", "mix"]

# The number of further seeds that a key is tried with after the first.
FALLBACK_SEEDS = 3
# The number of servers (homes) of a group in a sparse fleet while all listed power is available. Each home
# pays for the work that the group shares.
MAX_HOMES = 5
# Multiples of that number for the first client of a group at this gateway, the second, and all others.
HOME_MULTIPLES = 1, 4, 8
# A server is overloaded above this multiple of its fair share of the connections held here, plus one.
MAX_FAIR_SHARE_MULTIPLE = 1.25
# The part of its slice that an overloaded server gets back in a second.
SLICE_REGROWTH_PER_S = 0.02
# With more other set-ups than this under way, the time of one says nothing about the delay of its server.
MAX_OTHER_SETUPS = 3
# At most about one eighth of a server's connections are moved at a time, where no notices report its delay.
SHED_DIVISOR = 8
# The number of moved clients whose load is kept until they come back.
MAX_MOVED_LOADS = 1000
# The longest mean life of connections that a site may have, assumed while nothing has been learnt yet.
MAX_MEAN_LIFE_US = 300e6
# Values assumed or configured in advance weigh as much as this much time of the gateway's own experience.
PRIOR_WEIGHT_US = 60e6
# New clients may come at up to this multiple of their usual rate.
NEW_CLIENT_BURST_FACTOR = 3
# A cold server may get a number of calls within `fall_us`. The turns of clients use this part of them, plus
# the part that follows from COLD_BUDGET_CHANCE_PART and vanishes where the calls are many.
COLD_BUDGET_PART = 0.15
# Turns also use this multiple of the square root of the calls, as the rule allows for deviations by chance,
# which grow with that root.
COLD_BUDGET_CHANCE_PART = 0.75
# A map that was replaced as a whole is kept for as long as most of the connections that it placed may live.
FORMER_MAP_US = 300_000_000
# Told by `next` at the end of the steps of a map.
MAP_COMPLETE = object()
# The timer token for a new subscription to the list; request ids, the other tokens, stay far below.
RESUBSCRIBE_TOKEN = 1 << 60


def slice_position(server: int, value: int) -> float:
    """Returns the position of a key or group in the slices of a server.

    Positions are spread evenly from 0 to 1 and differ from server to server.
    """
    return mix(mix(value ^ SEEDS[2]) ^ server) / (MASK_64 + 1)


@dataclass(slots=True)
class Slice:
    """The part of its keys that a server may hold, reduced while it is overloaded and regrown with time."""

    size: float = 1.0
    updated_at: int = 0

    def size_at(self, now: int) -> float:
        """Returns the size, from 0 to 1, after the regrowth until `now`."""
        self.size = min(
            1.0, self.size + max(self.size, 0.1) * SLICE_REGROWTH_PER_S * (now - self.updated_at) / 1e6
        )
        self.updated_at = now
        return self.size


@dataclass(slots=True)
class Server:
    """The state of one server, from its list entry and the gateway's own traffic."""

    listed: interface.ListedServer
    # The power that its list entry gives; how fast its cores are is not reported anywhere.
    power: float
    # Open connections and requests with an attempt out, by request id.
    connections: "dict[int, Connection]" = field(default_factory=dict)
    # Failures since the last success.
    failures: int = 0
    # The time until which the server is ejected after a failure.
    ejected_until: int = 0
    # The time until which the server gets nothing new, as it refused as full or its messages take long.
    backoff_until: int = 0
    slice: Slice = field(default_factory=Slice)
    # The time of the last reduction of the slice.
    reduced_at: int = 0
    # The time at which the server last accepted a connection.
    last_established_at: int = 0
    # The shortest set-up seen at the server.
    min_setup_us: int = 1 << 60
    # The mean delay of set-ups beyond the shortest, in which the latest weigh most.
    delay_us: float = 0.0


@dataclass(slots=True)
class Connection:
    """A request or an open connection."""

    event: interface.Request
    deadline: int
    load: float
    # The server of its attempt that is out, or of the open connection.
    server: Server | None = None
    # Whether the server is the one of the client key, not of a further seed.
    at_home: bool = True
    attempts: int = 0
    sent_at: int = 0
    established: bool = False
    # Whether the final answer was given; the record stays until the answer of the attempt itself arrives.
    finished: bool = False
    tried: list[int] = field(default_factory=list)
    # The first server on which the request may have run, as it was listed then.
    may_have_run_on: interface.ListedServer | None = None
    may_have_run_at: int = 0
    # How far the client counts as part of the usual flow of new clients, from 0 to 1.
    usual_fraction: float = 0.0


class Balancer:
    """The decisions of one gateway; `handle` takes an event and returns the actions, in order.

    A list may change a million claims of the map. With `defers_map`, `handle` leaves that to `work_on_map`,
    and connections are placed by the map of the list before until the new one is complete.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings = settings
        self.defers_map = False
        # Randomness is for waiting times only, as the map must be the same at every gateway.
        self.rng = random.Random(seed)
        self.anchor, self.weight_unit = Anchor([]), 1.0
        # The number of buckets of each server that is in the map.
        self.map_buckets: dict[int, int] = {}
        # The map before the weight unit changed, which moved keys of all servers, and the end of its use.
        self.former_anchor: Anchor | None = None
        self._former_until = 0
        self._map_work: Iterator[None] | None = None
        # Whether the list has changed since the work on the map began.
        self._map_is_due = False
        # Whether the map has a ready server. Where it has none, a new map has to be waited for.
        self.can_place = False
        self.servers: dict[int, Server] = {}
        # The powers of the ready servers, in id order: sums must be the same at every gateway, bit for bit.
        self._ready_powers: dict[int, float] = {}
        # The powers of all servers that are ready or draining.
        self.listed_powers: list[float] = []
        # The power of all ready servers: the present one, and the largest seen so far.
        self.ready_power = self.max_ready_power = 0.0
        # The power of the ready servers, where a cold server counts with the part that it certainly has.
        self.available_power = 0.0
        # The number of homes follows the available part of the listed power; it is the same at every gateway.
        self.homes_per_group = MAX_HOMES
        # The time at which cold servers have warmed up enough to recompute the available power.
        self.next_power_check_at = 0
        # A fleet is sparse if, at the tenants' shares, a gateway has fewer connections than servers.
        # `home_spread` is how far the fleet is beyond that bound, from 0 to 1.
        self.is_sparse, self.home_spread = False, 0.0
        self.now = self.started_at = self.version = 0
        # The number of gateways that are alive, estimated by the clients that the others leave behind.
        self.live_gateways = float(settings.gateways)
        # The number of servers at which this gateway holds a connection or attempt.
        self.occupied_servers = 0
        # The mean slice over the occupied servers: the best guess for a server that this gateway hasn't used.
        self.mean_slice = Slice()
        self.connections: dict[int, Connection] = {}
        self.past_runs = PastRuns()
        # The ids of connections with an attempt out.
        self.setting_up: set[int] = set()
        # The times of recent requests and of recent further attempts.
        self.request_times, self.extra_attempt_times = deque[int](), deque[int]()
        self.actions: list[interface.Action] = []
        self.mean_load = [0.0] * len(settings.classes)
        # The loads of the latest clients that were moved off an overloaded server.
        self.moved_load: dict[int, float] = {}
        # Without an aim (infinite) no delay counts as an overload.
        self.aim_us = settings.shortest_message_aim_us
        self.quota, self.quota_per_us = settings.quota_connections, settings.quota_per_us
        self.connections_by_tenant = [0] * max(1, len(settings.tenants))
        # The sum of the times that connections were held here, and the number of connections that ended.
        self.connection_time_us = self.ended_connections = 0.0
        # The token bucket for new clients at cold servers: what remains of the usual flow.
        self.new_client_tokens, self.tokens_updated_at = 0.0, 0

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        """Returns the actions that follow from an event at the time `now` (us), in order."""
        self.actions = [interface.Subscribe(True)] if self.settings.ask_for_list and not self.now else []
        self.connection_time_us += len(self.connections) * (now - self.now)
        self.now, self.started_at = now, self.started_at or now
        if handler := HANDLERS.get(type(event)):
            handler(self, event)
        return self.actions

    # ---- the list of servers and the map ----

    @property
    def has_map_work(self) -> bool:
        """Whether the map is not yet the one of the latest list."""
        return self._map_work is not None

    def work_on_map(self) -> None:
        """Takes one step towards the map of the latest list, of some milliseconds at most."""
        if self._map_work is not None and next(self._map_work, MAP_COMPLETE) is MAP_COMPLETE:
            self._map_work = None

    def share_map(self, other: "Balancer") -> None:
        """Starts from the map of another balancer, which may go on changing its own."""
        self.anchor, self.weight_unit = other.anchor.copy(), other.weight_unit
        self.map_buckets = other.map_buckets

    def _on_list(self, event: interface.ServerList) -> None:
        if event.kind is interface.ListKind.FAILED:
            wait_us = self.settings.ask_within_us // 4
            self.actions.append(
                interface.SetTimer(wait_us + self.rng.randrange(wait_us + 1), RESUBSCRIBE_TOKEN)
            )
            return
        # An older list must not bring back servers that a newer one removed.
        if 0 < event.version < self.version:
            return
        self.version = event.version or self.version
        for entry in event.servers:
            power = self._power_of(entry)
            server = self.servers.setdefault(entry.server, Server(entry, power))
            server.power = power
            # The state of an old process doesn't apply to a new one.
            if entry.started_us != server.listed.started_us:
                server.failures = server.ejected_until = server.backoff_until = 0
                server.slice = Slice()
            server.listed = entry
        if event.kind is not interface.ListKind.DELTA:
            listed_ids = {entry.server for entry in event.servers}
            for server in (self.servers[number] for number in self.servers.keys() - listed_ids):
                server.listed = replace(server.listed, state=interface.ServerState.GONE)
        self.listed_powers = [server.power for server in self.servers.values() if server.listed.present]
        self._ready_powers = {
            number: server.power for number, server in sorted(self.servers.items()) if server.listed.ready
        }
        self.ready_power = sum(self._ready_powers.values())
        self.max_ready_power = max(self.max_ready_power, self.ready_power)
        self._recompute_power()
        self.can_place = not self._ready_powers.keys().isdisjoint(self.map_buckets)
        self._map_is_due = True
        self._map_work = self._map_work or self._map_steps()
        while self.has_map_work and not self.defers_map:
            self.work_on_map()

    def _map_steps(self) -> Iterator[None]:
        """Brings the map in line with the list, and again where the list changed meanwhile."""
        while self._map_is_due:
            self._map_is_due = False
            unit, buckets = bucket_counts(self._ready_powers, max(self.listed_powers, default=1.0))
            if buckets == self.map_buckets:
                break
            present = self.map_buckets if unit == self.weight_unit else {}
            if unit != self.weight_unit:
                anchor = Anchor([])
            elif self.defers_map:
                anchor = self.anchor.copy()
            else:
                anchor = self.anchor
            yield from update_steps(anchor, present, buckets)
            if unit != self.weight_unit and self.map_buckets:
                self.former_anchor, self._former_until = self.anchor, self.now + FORMER_MAP_US
            self.anchor, self.weight_unit, self.map_buckets = anchor, unit, buckets
            self.can_place = True
        for server in list(self.servers.values()):
            self._forget_if_unused(server)

    def _recompute_power(self) -> None:
        """Recomputes the available power and the homes of a group, which grow as cold servers warm up."""
        self.next_power_check_at = self.now + 1_000_000
        if self.now >= self._former_until:
            self.former_anchor = None
        ready = [server for server in self.servers.values() if server.listed.ready]
        self.available_power = sum(
            server.power * self.settings.warmth(self._age_us(server)) for server in ready
        )
        servers_per_connection = self.settings.gateways * len(self.listed_powers) / (self.quota or math.inf)
        self.is_sparse, self.home_spread = servers_per_connection > 1, min(1.0, servers_per_connection - 1)
        self.homes_per_group = max(
            1, round(MAX_HOMES * self.available_power / (sum(self.listed_powers) or 1.0))
        )

    def _power_of(self, entry: interface.ListedServer) -> float:
        # The power must not depend on anything that a gateway learns, as the map is built from it.
        return max(entry.weight, 0.0) or 1.0 if self.settings.weighted else 1.0

    def _new_client_rate(self) -> float:
        """Returns the new clients per microsecond that come here, as ended connections make room for them."""
        configured = PRIOR_WEIGHT_US * self.quota_per_us / self.settings.gateways
        return (configured + max(0.0, self.ended_connections)) / (
            PRIOR_WEIGHT_US + self.now - self.started_at
        )

    def _take_usual_fraction(self) -> float:
        """Takes a token and returns how far an unmarked client is part of the usual flow, from 0 to 1.

        Where clients don't mark that they come back, all clients of lost servers arrive at once as new ones.
        """
        capacity = max(1.0, self._new_client_rate() * self.settings.fall_us / 2)
        tokens = min(
            capacity,
            self.new_client_tokens
            + NEW_CLIENT_BURST_FACTOR * self._new_client_rate() * (self.now - self.tokens_updated_at),
        )
        self.new_client_tokens, self.tokens_updated_at = max(-capacity / 2, tokens - 1), self.now
        return min(1.0, max(0.0, tokens))

    def _forget_if_unused(self, server: Server) -> None:
        is_mapped = server.listed.server in self.map_buckets
        if not (server.listed.present or server.connections or is_mapped):
            self.servers.pop(server.listed.server, None)

    # ---- requests ----

    def _on_request(self, event: interface.Request) -> None:
        self.request_times.append(self.now)
        # Forgets the times that are older than the look-back, also while all requests are refused.
        self._remaining_extra_attempts()
        if self.now >= self.next_power_check_at:
            self._recompute_power()
        connection = Connection(event, self.now + event.expires_in_us, self._expected_load(event))
        # The available power is below the ready power while some servers are cold.
        if event.unmarked and self.available_power < self.ready_power:
            connection.usual_fraction = self._take_usual_fraction()
        # In mid flow, a connection that ran goes on at its server; any other server resets it.
        if not event.mid_flow and (past := self.past_runs.get(event.identity)) is not None:
            connection.may_have_run_on, connection.may_have_run_at = past.server, past.sent_at
        self.ended_connections -= event.mid_flow
        if (
            event.mid_flow
            and self.now - self.started_at > self.settings.park_us
            and len(self.connections) > 3
        ):
            # A gateway went away, and this is one of its clients.
            self.live_gateways *= len(self.connections) / (len(self.connections) + 1)
        self._register(connection)
        # This timer answers the request before its client gives up, whatever goes wrong afterwards.
        self.actions.append(
            interface.SetTimer(max(1, event.expires_in_us - self.settings.tick_us), event.request)
        )
        self._place(connection)

    def _on_existing(self, event: interface.Existing) -> None:
        connection = Connection(
            event.connection, self.now, self._expected_load(event.connection), None, True, 1, 0, True
        )
        self._register(connection)
        if event.server in self.servers:
            self._assign(connection, self.servers[event.server])

    def _register(self, connection: Connection) -> None:
        self.connections[connection.event.request] = connection
        self.connections_by_tenant[self.settings.tenant_of(connection.event)] += 1

    def _assign(self, connection: Connection, server: Server) -> None:
        connection.server = server
        self.occupied_servers += not server.connections
        server.connections[connection.event.request] = connection

    def _unassign(self, connection: Connection, server: Server) -> None:
        connection.server = None
        del server.connections[connection.event.request]
        self.setting_up.discard(connection.event.request)
        self.occupied_servers -= not server.connections
        self._forget_if_unused(server)

    def _expected_load(self, event: interface.Request) -> float:
        if event.load_us is not None:
            return float(event.load_us)
        # A moved client comes back with the load that it had.
        if event.key in self.moved_load:
            return self.moved_load[event.key]
        return self.mean_load[min(event.request_class, len(self.mean_load) - 1)] or 50_000.0

    def _place(self, connection: Connection) -> None:
        choice = (
            self._choose(connection)
            if self._may_attempt(connection) and (connection.attempts or self._has_room(connection))
            else None
        )
        self._refuse_or_fail(connection) if choice is None else self._send(connection, *choice)

    def _has_room(self, connection: Connection) -> bool:
        """Returns whether the fleet can carry one more connection.

        The tenants' shares are what all servers together can carry. When many servers have departed, the
        others would all be overloaded at once, and without notices no gateway would learn of it. Each gateway
        therefore admits its part of the remaining capacity. In a sparse fleet these parts differ too much by
        chance, so that nothing is refused.
        """
        if (
            connection.event.mid_flow
            or self.settings.tells_delay
            or not self.quota
            or not self.max_ready_power
            or self.is_sparse
        ):
            return True
        part = self.available_power / self.max_ready_power / max(1.0, self.live_gateways)
        return len(self.connections) - 1 <= self.quota * part

    def _may_attempt(self, connection: Connection) -> bool:
        """Returns whether limits, deadline and the budget of further attempts allow an attempt.

        The last attempt of the budget, where there is one, is for requests of at least the mean worth.
        """
        remaining = self._remaining_extra_attempts() if connection.attempts else math.inf
        if (
            connection.attempts >= self.settings.max_attempts
            or connection.deadline - self.now <= self.settings.tick_us
        ):
            return False
        return (
            remaining >= 2
            or remaining >= 1
            and self.settings.class_of(connection.event).worth >= self.settings.mean_worth
        )

    def _remaining_extra_attempts(self) -> float:
        """Returns the further attempts that remain in the look-back; infinite where they aren't limited."""
        window_start = self.now - self.settings.look_back_us
        while self.request_times and self.request_times[0] <= window_start:
            self.request_times.popleft()
        while self.extra_attempt_times and self.extra_attempt_times[0] < window_start:
            self.extra_attempt_times.popleft()
        remaining = (
            self.settings.spare_attempts
            + self.settings.extra_per_request * len(self.request_times)
            - len(self.extra_attempt_times)
        )
        return remaining if self.settings.look_back_us else math.inf

    # ---- the choice of a server ----

    def _choose(self, connection: Connection) -> tuple[Server, bool] | None:
        """Returns the server for the next attempt and whether it is the one of the key, or None.

        This is the first candidate that the rules and slices allow and that is healthy. If there is none, it
        is the first that is merely suspect, as the failure is then more likely at this gateway; then one that
        should get nothing new for a while, which is better than a refusal.
        """
        suspect = backing_off = waiting_for = None
        for server, at_home in self._candidates(connection.event):
            if server.listed.server in connection.tried or not self._is_allowed(connection, server):
                continue
            if (
                waiting_for
                and self._age_us(server) < self.settings.cold_us
                or not self._is_warm_enough(connection, server, at_home)
            ):
                # The client waits for its turn at this server. A turn at another cold server as well would
                # add to the turns of that server's own clients.
                waiting_for = server
                continue
            if not self._is_within_slice(connection, server, at_home):
                continue
            # A mid-flow connection would be reset by any other server, so health doesn't matter.
            may_stand_there = connection.event.mid_flow and (connection.attempts == 0 or at_home)
            if may_stand_there or self._is_healthy(connection, server):
                return server, at_home
            if server.failures < 2 and self.now >= server.backoff_until:
                suspect = suspect or (server, at_home)
            elif server.failures < 2:
                backing_off = backing_off or (server, at_home)
        return suspect or backing_off

    def _candidates(self, event: interface.Request) -> Iterator[tuple[Server, bool]]:
        """Yields the server of the key, then those of the key under further seeds; the flag marks the first.

        All of a group have the same further servers, so that the group stays together there. A connection in
        mid flow may stand where the map before the present one has its key.
        """
        key = event.shared_key
        if not self.ready_power:
            return
        is_spread = bool(event.group) and self.is_sparse
        part = parts = 0
        if is_spread:
            # The loop is over few connections, as the fleet is sparse.
            group_size = sum(connection.event.group == key for connection in self.connections.values()) - 1
            parts = (
                self.homes_per_group
                * HOME_MULTIPLES[0 if event.mid_flow else min(group_size, len(HOME_MULTIPLES) - 1)]
            )
            # There is one part at the bound of sparse fleets, so that no key moves where a fleet crosses it.
            parts = round(1 + (parts - 1) * self.home_spread)
            part = jump_hash(key ^ event.key, parts)
        home = self.servers[self.anchor.lookup(key ^ mix(part), SEEDS[0]) or 0]
        # A client comes back because its server failed or is overloaded. This gateway may not know that yet,
        # as the list arrives late. In a sparse fleet the server of the key is tried all the same, as the next
        # gateway looks for the connection there; in other fleets the client is reset then and comes back.
        try_home = is_spread or not event.returning or self._age_us(home) < self.settings.cold_us
        if try_home or any(connection.established for connection in home.connections.values()):
            yield home, True
        if event.mid_flow and self.former_anchor is not None:
            former = self.servers.get(self.former_anchor.lookup(key ^ mix(part), SEEDS[0]) or 0)
            if former is not None and former is not home:
                yield former, True
        # A spread group has its other homes as further servers: each new one would pay for the shared work.
        for step in range(FALLBACK_SEEDS):
            seed = SEEDS[0] if is_spread else SEEDS[1] + step * SEEDS[2] & MASK_64
            other = mix((part + step + 1) % max(parts, FALLBACK_SEEDS + 1)) if is_spread else 0
            yield self.servers[self.anchor.lookup(key ^ other, seed) or 0], False

    def _is_allowed(self, connection: Connection, server: Server) -> bool:
        """Returns whether the rules allow the server, whatever its health.

        The server must be ready. A keyed request that may have run goes only to servers that drop repeats.
        """
        if not server.listed.ready:
            return False
        request_class = self.settings.class_of(connection.event)
        if connection.may_have_run_on is None or request_class.semantics is interface.Semantics.REPEATABLE:
            return True
        window_end = self._repeat_window_end(connection)
        if window_end is None or self.now >= window_end:
            return False
        return request_class.scope.joins(server.listed, connection.may_have_run_on)

    def _repeat_window_end(self, connection: Connection) -> int | None:
        """Returns when servers stop dropping repeats of a keyed request that may have run; else None."""
        request_class = self.settings.class_of(connection.event)
        if connection.may_have_run_on is None or request_class.semantics is not interface.Semantics.BY_KEY:
            return None
        return connection.may_have_run_at + request_class.window_us

    def _is_healthy(self, connection: Connection, server: Server) -> bool:
        """Returns whether the server is neither backed off nor ejected nor over its part of the connections.

        The part is of the connections held here, by number. Loads differ tenfold: counted by load, one heavy
        client would overload a server in the eyes of a gateway with few clients, and groups would scatter.
        """
        fair_share = len(self.connections) / (self.ready_power or 1.0) * server.power
        return (
            self.now >= max(server.backoff_until, server.ejected_until)
            and len(server.connections) <= MAX_FAIR_SHARE_MULTIPLE * fair_share + 1
        )

    def _slice_size(self, server: Server) -> float:
        """Returns the slice of a server; one that this gateway hasn't used counts as full as others."""
        own_size = server.slice.size_at(self.now)
        is_unseen = own_size == 1 and not server.connections and self._age_us(server) >= self.settings.cold_us
        return min(own_size, self.mean_slice.size_at(self.now)) if is_unseen else own_size

    def _is_within_slice(self, connection: Connection, server: Server, at_home: bool) -> bool:
        """Returns whether the connection is within the slice of its keys that the server may hold.

        An overloaded server first gives up whole groups that came by client key, as each group that leaves
        takes its shared work along, and then, key by key, the connections that came under further seeds.
        """
        size, event = self._slice_size(server), connection.event
        if size >= 1:
            return True
        key = event.key or event.request
        if at_home:
            return slice_position(server.listed.server, event.shared_key) < 2 * size - 1
        position: float = slice_position(server.listed.server, key) ** (1 / self._value_per_load(connection))
        return 1 - position < 2 * size

    def _value_per_load(self, connection: Connection) -> float:
        """Returns the worth per load, relative to the mean; it is lower beyond the share of the tenant."""
        mean = sum(self.mean_load) / len(self.mean_load) or connection.load
        value_per_load = (
            self.settings.class_of(connection.event).worth
            / self.settings.mean_worth
            * mean
            / max(connection.load, 1.0)
        )
        return max(
            0.05,
            value_per_load * (self.settings.over_share_worth if self._is_over_quota(connection) else 1.0),
        )

    def _is_over_quota(self, connection: Connection) -> bool:
        """Returns whether the tenant clearly exceeds its part of the connections.

        With few connections here, chance alone takes a tenant a little over its part.
        """
        part = self.settings.quota_of(connection.event) / self.settings.gateways
        return (
            part > 0
            and part + 2 * math.sqrt(part) + 1
            < self.connections_by_tenant[self.settings.tenant_of(connection.event)]
        )

    def _age_us(self, server: Server) -> int:
        """Returns the time since the server's start; one without a start time counts as warm."""
        started = server.listed.started_us
        return max(0, self.now - started) if started else self.settings.cold_us

    def _is_warm_enough(self, connection: Connection, server: Server, at_home: bool) -> bool:
        """Returns whether the server is warm, or the connection belongs to those that it may get while cold.

        A server that just started gets only a slice of the keys, however many gateways there are. New clients
        come evenly, so that a slice as large as the server's present share fits them. All others may come at
        once. Each of their keys has one turn, the time of `fall_us` in which a moving slice covers it, or the
        same clients would come again and again.
        """
        age, event = self._age_us(server), connection.event
        if age >= self.settings.cold_us:
            return True
        position = slice_position(server.listed.server, event.key or event.request)
        # A connection that merely overflows from a fuller server is no reason to load a cold one.
        if not at_home and not connection.attempts and not event.returning:
            return False
        # Except in a sparse fleet, a whole group goes to one server, so that several clients come together.
        new_client_part = (
            connection.usual_fraction
            * min(1.0, age / self.settings.fall_us)
            / (2 if event.group and not self.is_sparse else 1)
        )
        # A mid-flow connection may have been open there since its turn.
        if at_home and event.mid_flow:
            return position < self._admitted_part(age)
        is_usual = at_home and position < self.settings.warmth(age) * new_client_part
        return is_usual or self._admitted_part(age - self.settings.fall_us) <= position < self._admitted_part(
            age
        )

    def _admitted_part(self, age: int) -> float:
        """Returns the part of its keys that a server has had time to accept since it started.

        The fewer calls the server may get within `fall_us`, the more the rule allows for chance, and the
        larger is the part of them that may be used. Without tenants' shares the mean life of connections is
        learnt from the time that connections were held here and how many of them ended.
        """
        learnt_life_us = (PRIOR_WEIGHT_US + self.connection_time_us) / (
            PRIOR_WEIGHT_US / MAX_MEAN_LIFE_US + max(0.0, self.ended_connections)
        )
        life_us = self.settings.life_us or min(MAX_MEAN_LIFE_US, learnt_life_us)
        share = self.settings.fall_multiple * self.settings.mean_warmth(age)
        calls = (
            share
            * self.settings.fall_us
            * self._new_client_rate()
            * self.settings.gateways
            / len(self.map_buckets)
        )
        return (
            share
            * max(0, age)
            / life_us
            * (COLD_BUDGET_PART + COLD_BUDGET_CHANCE_PART / math.sqrt(max(1.0, calls)))
        )

    def _send(self, connection: Connection, server: Server, at_home: bool) -> None:
        remaining = timeout = connection.deadline - self.now
        if connection.attempts:
            self.extra_attempt_times.append(self.now)
        # Half of the time remains for another attempt.
        if connection.attempts + 1 < self.settings.max_attempts and self._remaining_extra_attempts() >= 1:
            timeout = remaining // 2
        # Attempts test a server that failed one at a time, until one of them succeeds.
        if server.failures:
            server.ejected_until = self.now + timeout
        connection.at_home, connection.attempts, connection.sent_at = (
            at_home,
            connection.attempts + 1,
            self.now,
        )
        connection.tried.append(server.listed.server)
        self._assign(connection, server)
        self.setting_up.add(connection.event.request)
        self.actions.append(
            interface.Attempt(
                connection.event.request,
                server.listed.server,
                max(1, timeout),
                self._repeat_window_end(connection),
            )
        )

    def _note_run(self, connection: Connection, server: Server) -> None:
        """Notes that the request may have run on this server, unless it may have run before."""
        if connection.may_have_run_on is None:
            connection.may_have_run_on, connection.may_have_run_at = server.listed, connection.sent_at
            run = PastRun(connection.may_have_run_on, connection.may_have_run_at)
            self.past_runs.record(connection.event.identity, run)

    def _refuse_or_fail(self, connection: Connection) -> None:
        may_refuse = (
            connection.may_have_run_on is None or self.settings.class_of(connection.event).refusable_after_run
        )
        # The wait is random, as clients that are refused together must not come back together.
        mean_wait_us = (
            min(self.settings.max_retry_after_us * 2 // 3, 1_000_000) if self.settings.may_retry_after else 0
        )
        wait_us = mean_wait_us // 2 + self.rng.randrange(mean_wait_us + 1)
        self.actions.append(
            interface.Refuse(connection.event.request, wait_us)
            if may_refuse
            else interface.Fail(connection.event.request)
        )
        self._finish(connection.event.request)

    def _finish(self, request: int) -> None:
        """Ends the handling of a request; an attempt that is still out counts until its answer arrives."""
        connection = self.connections.get(request)
        if connection is None or connection.finished:
            return
        connection.finished = True
        self.connections_by_tenant[self.settings.tenant_of(connection.event)] -= 1
        if connection.server is None:
            del self.connections[request]

    # ---- outcomes, notices and timers ----

    def _on_established(self, event: interface.Established) -> None:
        connection = self.connections.get(event.request)
        if connection is not None and connection.server is not None:
            connection.established = True
            self._note_run(connection, connection.server)
            self.setting_up.discard(event.request)
            connection.server.failures = connection.server.ejected_until = 0
            connection.server.last_established_at = self.now
            if not self.settings.tells_delay and not connection.event.mid_flow:
                self._on_set_up(connection.server, event.elapsed_us)

    def _on_answer(self, event: interface.Answer) -> None:
        connection = self.connections.get(event.request)
        if connection is None or connection.server is None or connection.server.listed.server != event.server:
            return
        server = connection.server
        self._update_health(server, event.outcome, connection)
        self._unassign(connection, server)
        if (
            event.outcome is interface.Outcome.MOOT
            and connection.attempts > 1
            and connection.sent_at in self.extra_attempt_times
        ):
            self.extra_attempt_times.remove(connection.sent_at)
        if not event.outcome.never_ran:
            self._note_run(connection, server)
        # The client of an open connection that was cancelled went to a new gateway.
        if (
            connection.established
            and event.outcome is interface.Outcome.CANCELLED
            and not connection.finished
        ):
            self.live_gateways = min(
                self.settings.gateways,
                self.live_gateways * len(self.connections) / max(1, len(self.connections) - 1),
            )
        if connection.finished or event.done or connection.established:
            if connection.established and server.listed.ready and not connection.finished:
                self.ended_connections += event.outcome in (interface.Outcome.OK, interface.Outcome.CANCELLED)
            self._finish(event.request)
            self.connections.pop(event.request, None)
        else:
            self._place(connection)

    def _update_health(self, server: Server, outcome: interface.Outcome, connection: Connection) -> None:
        """Updates the health from own traffic: a failure ejects a server for 1 s, further ones for longer."""
        if (
            outcome is interface.Outcome.FULL
            or outcome is interface.Outcome.TIMEOUT
            and server.last_established_at > connection.sent_at
        ):
            # The server is slow or full, but works.
            server.backoff_until = max(server.backoff_until, self.now + 200_000)
        elif outcome is interface.Outcome.RESET and connection.established:
            # A server that holds too much dropped the connection.
            server.backoff_until = max(server.backoff_until, self.now + 1_000_000)
            self._reduce_slice(server, 0.7)
            # Without notices nothing announced the reset, and the next connections would be dropped as well.
            if not self.settings.tells_delay:
                self._shed(server)
        elif outcome.failed and not (outcome is interface.Outcome.RESET and connection.event.mid_flow):
            if not server.failures:
                self.actions.append(
                    interface.Log(f"server {server.listed.server} suspect after {outcome.name.lower()}")
                )
            server.failures += 1
            server.ejected_until = self.now + min(8, 1 << min(server.failures - 1, 3)) * 1_000_000

    def _on_notice(self, event: interface.Notice) -> None:
        connection = self.connections.get(event.request)
        if connection is None or connection.server is None or connection.server.listed.server != event.server:
            return
        if event.kind is interface.NoticeKind.LOAD:
            connection.load = event.amount
            index = min(connection.event.request_class, len(self.mean_load) - 1)
            mean = self.mean_load[index] or event.amount
            self.mean_load[index] = 0.95 * mean + 0.05 * event.amount
        elif event.kind is interface.NoticeKind.SLOW:
            self._on_slow(connection.server, event.amount * 1000)

    def _on_set_up(self, server: Server, took_us: int) -> None:
        """Infers the delay of a server from the time of a set-up, where no notices report it.

        The time beyond the shortest set-up there was spent waiting behind other work, as messages do. A
        single set-up may be slow for other reasons, so a mean is used; many set-ups at a time say nothing, as
        they keep this gateway busy as well.
        """
        if len(self.setting_up) > MAX_OTHER_SETUPS:
            return
        server.min_setup_us = min(server.min_setup_us, took_us)
        server.delay_us += (took_us - server.min_setup_us - server.delay_us) / 2
        if server.delay_us > self.aim_us:
            self._on_slow(server, server.delay_us)

    def _on_slow(self, server: Server, took_us: float) -> None:
        """Backs off from a server whose messages take long, and moves clients off it beyond the aim.

        Beyond the aim no client is served in time, so some must leave. The longer the delay, the more leave,
        as the queued work has to be done besides the work that still arrives.
        """
        server.backoff_until = self.now + 1_500_000 if took_us > self.aim_us / 3 else 0
        if took_us > self.aim_us:
            self._reduce_slice(server, 0.7 - 0.3 * min(1.0, took_us / 1e6))
            self._shed(server)

    def _reduce_slice(self, server: Server, kept_part: float) -> None:
        """Reduces the slice of an overloaded server to `kept_part` of its size, at most once in 900 ms."""
        if self.now - server.reduced_at < 900_000:
            return
        previous_size = self._slice_size(server)
        if previous_size == 1:
            self.actions.append(
                interface.Log(f"server {server.listed.server} jams: it keeps a smaller slice of its keys")
            )
        server.slice.size = previous_size * kept_part
        server.slice.updated_at = server.reduced_at = self.now
        self.mean_slice.size = max(
            0.0,
            self.mean_slice.size_at(self.now)
            - (previous_size - server.slice.size) / max(1, self.occupied_servers),
        )

    def _shed(self, server: Server) -> None:
        """Moves connections outside the slice; all gateways with such notices choose in the same order."""
        groups_met = {
            connection.event.group for connection in server.connections.values() if not connection.at_home
        } - {0}
        # A delay that is inferred from set-ups may be wrong, and clients that leave load other servers.
        max_moves = (
            len(server.connections)
            if self.settings.tells_delay
            else len(server.connections) // SHED_DIVISOR + 1
        )
        for connection in list(server.connections.values()):
            if not max_moves:
                return
            # A group with members under further seeds is judged as these are, so that it stays together.
            at_home = connection.at_home and connection.event.group not in groups_met
            if (
                connection.established
                and not connection.finished
                and not self._is_within_slice(connection, server, at_home)
            ):
                max_moves -= 1
                self.actions.append(interface.Move(connection.event.request))
                self._finish(connection.event.request)
                self.moved_load[connection.event.key or connection.event.request] = connection.load
                if len(self.moved_load) > MAX_MOVED_LOADS:
                    del self.moved_load[next(iter(self.moved_load))]

    def _on_timer(self, event: interface.Timer) -> None:
        if event.token == RESUBSCRIBE_TOKEN:
            self.actions.append(interface.Subscribe(True))
        connection = self.connections.get(event.token)
        if connection is not None and not connection.established and not connection.finished:
            if connection.server is not None:
                self._note_run(connection, connection.server)
            self._refuse_or_fail(connection)


HANDLERS: dict[type, Callable[[Balancer, Any], None]] = {
    interface.Request: Balancer._on_request,
    interface.Answer: Balancer._on_answer,
    interface.Established: Balancer._on_established,
    interface.Notice: Balancer._on_notice,
    interface.Timer: Balancer._on_timer,
    interface.ServerList: Balancer._on_list,
    interface.ClientLeft: lambda balancer, event: balancer._finish(event.request),
    interface.Existing: Balancer._on_existing,
}
