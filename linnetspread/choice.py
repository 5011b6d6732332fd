"""Every decision of linnetspread. Its settings, events and actions are in linnetspread/interface.py.

The ordinary path: a connection lands where AnchorHash maps its client key, and every gateway builds the same
map from the id-sorted ready list. Where clients come in groups that share work, the key is the group's: a
server pays for a group once, however many of it are there. The exceptions are in `_choose` and what it calls.

A gateway may hold thousands of connections or one for every ten servers. So what must add up over gateways is
never counted here: it is a slice of the key space, the same keys at every gateway.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from linnetspread import interface

MASK_64 = (1 << 64) - 1
SEEDS = (0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9)
ANCHOR_BUCKETS = 1 << 15  # of the anchor, whatever the fleet: a bound at which it grew would move every key
BUCKETS_PER_WEIGHT_UNIT = (
    32  # that a server names, of listed weight: fine enough that shares follow the weights
)
WEIGHT_UNIT_DOUBLINGS = (
    4  # of a unit, to the largest weight listed: a list's weights have no unit of their own
)
FALLBACK_SEEDS = 3  # seeds after the first
MAX_HOMES = 5  # of a group in a sparse fleet with all listed power: each costs what it shares
HOME_MULTIPLES = 1, 4, 8  # times that for the first of it here, the second, any further
MAX_FAIR_SHARE_MULTIPLE = (
    1.25  # a server over this multiple of its part of what is held here, and one, is crowded
)
SLICE_REGROWTH_PER_S = 0.02  # of its slice that a jammed server gets back in a second
MAX_OTHER_SETUPS = 3  # set-ups under way here beside one that tells of its server's delay
SHED_DIVISOR = 8  # of a server's connections, at a time, where no notes tell that it is jammed
MAX_MOVED_LOADS = 1000  # moved clients whose load is kept until they come back
MAX_MEAN_LIFE_US = 300e6  # mean, of a connection, that a site may have: taken where nothing is known yet
PRIOR_WEIGHT_US = 60e6  # of own experience that weighs as much as what was taken before it
NEW_CLIENT_BURST_FACTOR = 3  # times their usual rate that new clients may come
COLD_BUDGET_PART = (
    0.15  # of the calls that a cold server may get: the part that turns use, where these are many,
)
COLD_BUDGET_CHANCE_PART = (
    0.75  # and by the root of their number: chance adds as many as the rule allows for it
)
RESUBSCRIBE_TOKEN = 1 << 60  # timer token; request ids stay far below


def mix(value: int) -> int:
    """The finaliser of splitmix64: the same at every gateway and in every process."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)


def jump_hash(key: int, parts: int) -> int:
    """Jump consistent hash: with more parts, each key stays in its own or goes to one of the new."""
    part, next_part = 0, 0
    while next_part < parts:
        part, key = next_part, mix(key)
        next_part = int((part + 1) / ((key + 1) / (MASK_64 + 1)))
    return part


def slice_position(server: int, value: int) -> float:
    """Where a key or group stands in a server's slices: from 0 to 1, evenly, and elsewhere at each server."""
    return mix(mix(value ^ SEEDS[2]) ^ server) / (MASK_64 + 1)


class Anchor:
    """AnchorHash in which all gateways take removed buckets to have gone in one order, by number, the highest
    first, whatever they saw themselves. So the set that a removed bucket sends its keys on to is told by the
    ready list alone: the buckets below it, and the working ones above. A key that passes over what is not in
    those sets comes to the first working bucket of its own sequence.

    A server's id names its buckets, so many as its power says; of those that name the same, one owns it."""

    def __init__(self, servers: list[tuple[int, int]]) -> None:
        self.buckets_of: dict[int, list[int]] = {}
        self.owner: dict[int, tuple[int, int]] = {}  # of working buckets: its draw for it, and the server
        self.lower_claims: dict[int, tuple[tuple[int, int], ...]] = {}  # who named one with a lower draw
        for server, count in servers:
            self.add(server, count)

    def add(self, server: int, count: int) -> None:
        value, named = mix(server ^ SEEDS[1]), dict[int, int]()
        while len(named) < count:
            value = mix(value + SEEDS[0] & MASK_64)
            for draw in (value >> 32, value & 0xFFFFFFFF):
                named.setdefault(draw % ANCHOR_BUCKETS, draw)
        self.buckets_of[server] = list(named)
        for b, draw in named.items():
            claim = (draw, server)
            if b in self.owner:
                lower_claim, claim = sorted((claim, self.owner[b]))
                self.lower_claims[b] = (*self.lower_claims.get(b, ()), lower_claim)
            self.owner[b] = claim

    def remove(self, server: int) -> None:
        for b in self.buckets_of.pop(server):
            claims = sorted((self.owner.pop(b), *self.lower_claims.pop(b, ())))
            claims = [claim for claim in claims if claim[1] != server]
            if claims:
                self.owner[b] = claims.pop()
            if claims:
                self.lower_claims[b] = tuple(claims)

    def lookup(self, key: int, seed: int) -> int | None:
        key = mix(key ^ seed)
        while self.owner:
            for draw in (key, key >> 16, key >> 32, key >> 48):
                if claim := self.owner.get(draw % ANCHOR_BUCKETS):
                    return claim[1]
            key = mix(key + SEEDS[0] & MASK_64)
        return None


@dataclass(slots=True)
class Slice:
    """The part of its keys that a server may hold: pressed while it jams, regrown with time."""

    size: float = 1.0
    updated_at: int = 0

    def size_at(self, now: int) -> float:
        self.size = min(
            1.0, self.size + max(self.size, 0.1) * SLICE_REGROWTH_PER_S * (now - self.updated_at) / 1e6
        )
        self.updated_at = now
        return self.size


@dataclass(slots=True)
class Server:
    """What this gateway knows of one server, from its list and its own traffic."""

    listed: interface.ListedServer
    power: float  # as its list says; what its cores are worth is told nowhere
    connections: "dict[int, Connection]" = field(
        default_factory=dict
    )  # attempts out and connections, by request
    failures: int = 0  # failures since the last success
    ejected_until: int = 0
    backoff_until: int = 0  # nothing new: it refused as full, or its messages take long
    slice: Slice = field(default_factory=Slice)
    reduced_at: int = 0
    last_established_at: int = 0  # when it last took a connection
    min_setup_us: int = 1 << 60  # set-up seen there
    delay_us: float = 0.0  # of set-ups beyond that, the latest most


@dataclass(slots=True)
class Connection:
    """A request or an open connection."""

    event: interface.Request
    deadline: int
    load: float
    server: Server | None = None  # where its attempt is out or its connection stands
    at_home: bool = True  # there by its client key, not by a further seed
    attempts: int = 0
    sent_at: int = 0
    established: bool = False
    finished: bool = False  # final answer given; kept until the attempt's own answer comes
    tried: list[int] = field(default_factory=list)
    may_have_run_on: Server | None = None  # first server where it may have run
    may_have_run_at: int = 0
    usual_fraction: float = 0.0  # how far it is one of the usual flow of new clients


class Balancer:
    """One gateway's decisions. `handle` takes an event and returns the actions, in order."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)  # for waits only: the map must be the same at every gateway
        self.anchor, self.weight_unit = Anchor([]), 1.0
        self.servers: dict[int, Server] = {}
        self.listed_powers: list[float] = []  # powers of all that are ready or leave
        self.ready_power = self.max_ready_power = 0.0  # now, and the most that ever was
        self.available_power = 0.0  # of what is ready, cold servers by what they can do for certain
        self.homes_per_group = (
            MAX_HOMES  # by the part of the listed power that is there: alike at every gateway
        )
        self.next_power_check_at = 0  # when the latter has grown enough to be counted again
        self.is_sparse, self.home_spread = (
            False,
            0.0,
        )  # at the shares less than one of each server's is here; how far
        self.now = self.started_at = self.version = 0
        self.live_gateways = float(settings.gateways)  # that are alive, as the clients they leave tell
        self.occupied_servers = 0  # servers at which this gateway holds anything
        self.mean_slice = Slice()  # mean over those: the best guess for a server it knows nothing of
        self.connections: dict[int, Connection] = {}
        self.setting_up: set[int] = set()  # of these, with an attempt out
        self.request_times, self.extra_attempt_times = (
            deque[int](),
            deque[int](),
        )  # times of requests and further attempts, of late
        self.actions: list[interface.Action] = []
        self.mean_load = [0.0] * len(settings.classes)
        self.moved_load: dict[int, float] = {}  # of clients moved off a jammed server, the latest few
        self.aim_us = settings.shortest_message_aim_us  # without one no delay tells of a jam
        self.quota, self.quota_per_us = settings.quota_connections, settings.quota_per_us
        self.connections_by_tenant = [0] * max(1, len(settings.tenants))
        self.connection_time_us = self.ended_connections = (
            0.0  # time that connections stood here; how many came to an end
        )
        self.new_client_tokens, self.tokens_updated_at = (
            0.0,
            0,
        )  # for new clients at cold servers: what is left of the usual flow

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        self.actions = [interface.Subscribe(True)] if self.settings.ask_for_list and not self.now else []
        self.connection_time_us += len(self.connections) * (now - self.now)
        self.now, self.started_at = now, self.started_at or now
        if handler := HANDLERS.get(type(event)):
            handler(self, event)
        return self.actions

    # ---- the list of servers ----

    def _on_list(self, event: interface.ServerList) -> None:
        if event.kind is interface.ListKind.FAILED:
            wait_us = self.settings.ask_within_us // 4
            self.actions.append(
                interface.SetTimer(wait_us + self.rng.randrange(wait_us + 1), RESUBSCRIBE_TOKEN)
            )
            return
        if 0 < event.version < self.version:  # an older list must not bring back what a newer one took away
            return
        self.version = event.version or self.version
        for line in event.servers:
            power = self._power_of(line)
            server = self.servers.setdefault(line.server, Server(line, power))
            if (
                power != server.power and line.server in self.anchor.buckets_of
            ):  # put back with another number
                self.anchor.remove(line.server)
            server.power = power
            if line.started_us != server.listed.started_us:  # a new process: forget what the old one did
                server.failures = server.ejected_until = server.backoff_until = 0
                server.slice = Slice()
            server.listed = line
        if event.kind is not interface.ListKind.DELTA:
            named = {line.server for line in event.servers}
            for server in (self.servers[number] for number in self.servers.keys() - named):
                server.listed = replace(server.listed, state=interface.ServerState.GONE)
        self._update_anchor()
        for server in list(self.servers.values()):
            self._forget_if_unused(server)

    def _update_anchor(self) -> None:
        """Removals first, then additions, each in id order; the map is the same whatever came before."""
        self.listed_powers = [server.power for server in self.servers.values() if server.listed.present]
        exponent = math.frexp(max(self.listed_powers, default=1.0))[1]
        if (unit := 2.0 ** (exponent - min(WEIGHT_UNIT_DOUBLINGS, max(1, exponent)))) != self.weight_unit:
            self.anchor, self.weight_unit = Anchor([]), unit
        ready = sorted(number for number, server in self.servers.items() if server.listed.ready)
        for number in sorted(set(self.anchor.buckets_of) - set(ready)):
            self.anchor.remove(number)
        for number in ready:
            if number not in self.anchor.buckets_of:
                buckets = round(BUCKETS_PER_WEIGHT_UNIT * self.servers[number].power / self.weight_unit)
                self.anchor.add(number, max(1, buckets))
        self.ready_power = sum(self.servers[number].power for number in ready)
        self.max_ready_power = max(self.max_ready_power, self.ready_power)
        self._recompute_power()

    def _recompute_power(self) -> None:
        self.next_power_check_at = self.now + 1_000_000
        ready = [server for server in self.servers.values() if server.listed.ready]
        self.available_power = sum(
            server.power * self.settings.warmth(self._age_us(server)) for server in ready
        )
        servers_per_connection = self.settings.gateways * len(self.listed_powers) / (self.quota or math.inf)
        self.is_sparse, self.home_spread = servers_per_connection > 1, min(1.0, servers_per_connection - 1)
        self.homes_per_group = max(
            1, round(MAX_HOMES * self.available_power / (sum(self.listed_powers) or 1.0))
        )

    def _power_of(self, line: interface.ListedServer) -> float:
        return (
            max(line.weight, 0.0) or 1.0 if self.settings.weighted else 1.0
        )  # nothing learnt: the map goes by it

    def _new_client_rate(self) -> float:
        """New clients a microsecond that come here, as ends make room for them."""
        configured = PRIOR_WEIGHT_US * self.quota_per_us / self.settings.gateways
        return (configured + max(0.0, self.ended_connections)) / (
            PRIOR_WEIGHT_US + self.now - self.started_at
        )

    def _take_usual_fraction(self) -> float:
        """How far a client that says nothing of itself is one of the usual flow, from 0 to 1: where none says
        that it comes back, a fleet that lost its servers is asked by all of them at once."""
        capacity = max(1.0, self._new_client_rate() * self.settings.fall_us / 2)
        tokens = min(
            capacity,
            self.new_client_tokens
            + NEW_CLIENT_BURST_FACTOR * self._new_client_rate() * (self.now - self.tokens_updated_at),
        )
        self.new_client_tokens, self.tokens_updated_at = max(-capacity / 2, tokens - 1), self.now
        return min(1.0, max(0.0, tokens))

    def _forget_if_unused(self, server: Server) -> None:
        if not (server.listed.present or server.connections):
            self.servers.pop(server.listed.server, None)

    # ---- requests ----

    def _on_request(self, event: interface.Request) -> None:
        self.request_times.append(self.now)
        # Forgets the times that are older than the look-back, also while all requests are refused.
        self._remaining_extra_attempts()
        if self.now >= self.next_power_check_at:
            self._recompute_power()
        connection = Connection(event, self.now + event.expires_in_us, self._expected_load(event))
        if event.unmarked and self.available_power < self.ready_power:  # some are cold
            connection.usual_fraction = self._take_usual_fraction()
        self.ended_connections -= event.mid_flow
        if (
            event.mid_flow
            and self.now - self.started_at > self.settings.park_us
            and len(self.connections) > 3
        ):
            self.live_gateways *= len(self.connections) / (
                len(self.connections) + 1
            )  # a gateway is gone, and this its client
        self._register(connection)
        # Whatever goes wrong below, this timer answers the request before its client gives up.
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
        if event.key in self.moved_load:  # it comes back as heavy as it left
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
        """Whether the fleet can bear one more. The shares are what all servers together can carry; when many
        have left, the others would all jam at once, and without notes nobody would learn it. Each gateway
        admits its part of what is left. In a sparse fleet parts differ too much by chance."""
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
        """The ration of further attempts, where one is stated; the last of it is for what is worth most."""
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

    # ---- the choice ----

    def _choose(self, connection: Connection) -> tuple[Server, bool] | None:
        """The first choice that the rules and its slices allow and that looks well, else the first that only
        looks suspect, as the fault is then more likely here; rather than refuse, one that should rest."""
        suspect = backing_off = waiting_for = None
        for server, at_home in self._candidates(connection.event):
            if server.listed.server in connection.tried or not self._is_allowed(connection, server):
                continue
            if (
                waiting_for
                and self._age_us(server) < self.settings.cold_us
                or not self._is_warm_enough(connection, server, at_home)
            ):
                waiting_for = (
                    server  # for its turn there: another's turns would add to those of its own clients
                )
                continue
            if not self._is_within_slice(connection, server, at_home):
                continue
            # Mid-flow it would be reset anywhere else, however the server looks.
            if connection.event.mid_flow and connection.attempts == 0 or self._is_healthy(connection, server):
                return server, at_home
            if server.failures < 2 and self.now >= server.backoff_until:
                suspect = suspect or (server, at_home)
            elif server.failures < 2:
                backing_off = backing_off or (server, at_home)
        return suspect or backing_off

    def _candidates(self, event: interface.Request) -> Iterator[tuple[Server, bool]]:
        """The key's server, then those of the same key under further seeds: a group stays together there."""
        key = event.shared_key
        if not self.ready_power:
            return
        spread = bool(event.group) and self.is_sparse
        part = parts = 0
        if spread:
            group_size = (
                sum(connection.event.group == key for connection in self.connections.values()) - 1
            )  # few: the fleet is sparse
            parts = (
                self.homes_per_group
                * HOME_MULTIPLES[0 if event.mid_flow else min(group_size, len(HOME_MULTIPLES) - 1)]
            )
            parts = round(
                1 + (parts - 1) * self.home_spread
            )  # one at the edge: no key moves where it is crossed
            part = jump_hash(key ^ event.key, parts)
        home = self.servers[self.anchor.lookup(key ^ mix(part), SEEDS[0]) or 0]
        # A client comes back because its server broke or jams, and here nobody may know: the list is late.
        # In a sparse fleet the next gateway looks at home all the same; elsewhere it is reset and comes back.
        home_is_usable = spread or not event.returning or self._age_us(home) < self.settings.cold_us
        if home_is_usable or any(connection.established for connection in home.connections.values()):
            yield home, True
        for turn in range(
            FALLBACK_SEEDS
        ):  # of a spread group its other homes: each more would cost what it shares
            seed = SEEDS[0] if spread else SEEDS[1] + turn * SEEDS[2] & MASK_64
            other = mix((part + turn + 1) % max(parts, FALLBACK_SEEDS + 1)) if spread else 0
            yield self.servers[self.anchor.lookup(key ^ other, seed) or 0], False

    def _is_allowed(self, connection: Connection, server: Server) -> bool:
        """The rules alone: ready, and a keyed request that may have run only where repeats are dropped."""
        if not server.listed.ready:
            return False
        kind = self.settings.class_of(connection.event)
        if connection.may_have_run_on is None or kind.semantics is interface.Semantics.REPEATABLE:
            return True
        if (
            kind.semantics is interface.Semantics.ONCE
            or self.now - connection.may_have_run_at >= kind.window_us
        ):
            return False
        return kind.scope.joins(server.listed, connection.may_have_run_on.listed)

    def _is_healthy(self, connection: Connection, server: Server) -> bool:
        """Neither resting nor shunned, nor over its part of what this gateway holds: by loads, which differ
        tenfold, one heavy client would be a crowd to a gateway with few, and groups would scatter."""
        fair_share = len(self.connections) / (self.ready_power or 1.0) * server.power
        return (
            self.now >= max(server.backoff_until, server.ejected_until)
            and len(server.connections) <= MAX_FAIR_SHARE_MULTIPLE * fair_share + 1
        )

    def _slice_size(self, server: Server) -> float:
        """A server that this gateway has never seen at work is taken to be as full as those it has."""
        own_size = server.slice.size_at(self.now)
        is_unseen = own_size == 1 and not server.connections and self._age_us(server) >= self.settings.cold_us
        return min(own_size, self.mean_slice.size_at(self.now)) if is_unseen else own_size

    def _is_within_slice(self, connection: Connection, server: Server, at_home: bool) -> bool:
        """A jammed server first gives up whole groups that came by client key, as each that leaves takes its
        shared work along; then, key by key, those that met there."""
        size, event = self._slice_size(server), connection.event
        if size >= 1:
            return True
        key = event.key or event.request
        if at_home:
            return slice_position(server.listed.server, event.shared_key) < 2 * size - 1
        position: float = slice_position(server.listed.server, key) ** (1 / self._value_per_load(connection))
        return 1 - position < 2 * size

    def _value_per_load(self, connection: Connection) -> float:
        """What it brings for its load, against the mean; beyond a tenant's share it is less."""
        mean = sum(self.mean_load) / len(self.mean_load) or connection.load
        merit = (
            self.settings.class_of(connection.event).worth
            / self.settings.mean_worth
            * mean
            / max(connection.load, 1.0)
        )
        return max(0.05, merit * (self.settings.over_share_worth if self._is_over_quota(connection) else 1.0))

    def _is_over_quota(self, connection: Connection) -> bool:
        """With few connections here chance alone takes a tenant over its part: only clear excess counts."""
        part = self.settings.quota_of(connection.event) / self.settings.gateways
        return (
            part > 0
            and part + 2 * math.sqrt(part) + 1
            < self.connections_by_tenant[self.settings.tenant_of(connection.event)]
        )

    def _age_us(self, server: Server) -> int:
        started = server.listed.started_us
        return max(0, self.now - started) if started else self.settings.cold_us

    def _is_warm_enough(self, connection: Connection, server: Server, at_home: bool) -> bool:
        """A server that just started takes only a slice of the keys, however many gateways there are. New
        clients come evenly: a slice as large as its present share fits. All others may come at once, and each
        has its turn but once, or the same would come over and over."""
        age, event = self._age_us(server), connection.event
        if age >= self.settings.cold_us:
            return True
        position = slice_position(server.listed.server, event.key or event.request)
        if not at_home and not connection.attempts and not event.returning:
            return False  # it only spills from a fuller server: no reason to press a cold one
        # Whole groups meet at one server, but in a sparse fleet: they come in clumps of several.
        new_client_part = (
            connection.usual_fraction
            * min(1.0, age / self.settings.fall_us)
            / (2 if event.group and not self.is_sparse else 1)
        )
        if at_home and event.mid_flow:  # it may stand there since its turn
            return position < self._admitted_part(age)
        is_usual = at_home and position < self.settings.warmth(age) * new_client_part
        return is_usual or self._admitted_part(age - self.settings.fall_us) <= position < self._admitted_part(
            age
        )

    def _admitted_part(self, age: int) -> float:
        """The part of its keys that a server has had time for since it started. The fewer calls it may get
        within a fall's time, the more the rule leaves to chance, and the larger a part of them may be used.
        Without shares the life of connections is learnt from those that stood here and how many ended."""
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
            / len(self.anchor.buckets_of)
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
        if (
            connection.attempts + 1 < self.settings.max_attempts and self._remaining_extra_attempts() >= 1
        ):  # leave room for another attempt
            timeout = remaining // 2
        if server.failures:  # one at a time to test it, until one succeeds
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
            interface.Attempt(connection.event.request, server.listed.server, max(1, timeout))
        )

    def _refuse_or_fail(self, connection: Connection) -> None:
        may_refuse = (
            connection.may_have_run_on is None or self.settings.class_of(connection.event).refusable_after_run
        )
        # Those refused together must not come back together.
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
        """Nothing more is sent for it; an attempt still out is counted until its answer comes."""
        connection = self.connections.get(request)
        if connection is None or connection.finished:
            return
        connection.finished = True
        self.connections_by_tenant[self.settings.tenant_of(connection.event)] -= 1
        if connection.server is None:
            del self.connections[request]

    # ---- what comes back ----

    def _on_established(self, event: interface.Established) -> None:
        connection = self.connections.get(event.request)
        if connection is not None and connection.server is not None:
            connection.established = True
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
        if not event.outcome.never_ran and connection.may_have_run_on is None:
            connection.may_have_run_on, connection.may_have_run_at = server, self.now - event.elapsed_us
        if (
            connection.established
            and event.outcome is interface.Outcome.CANCELLED
            and not connection.finished
        ):  # to a new gateway
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
        """Health from own traffic: a failure shuns a server for a second, further ones for longer."""
        if (
            outcome is interface.Outcome.FULL
            or outcome is interface.Outcome.TIMEOUT
            and server.last_established_at > connection.sent_at
        ):
            server.backoff_until = max(server.backoff_until, self.now + 200_000)  # slow or full, not gone
        elif (
            outcome is interface.Outcome.RESET and connection.established
        ):  # dropped by a server that holds too much
            server.backoff_until = max(server.backoff_until, self.now + 1_000_000)
            self._reduce_slice(server, 0.7)
            if (
                not self.settings.tells_delay
            ):  # no note has come before it, and the next would be dropped as well
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
        """Where no notes tell of delay: what a set-up takes beyond the quickest there it has waited behind
        other work, as messages do; but one alone may be slow, and a crowd keeps this gateway busy as well."""
        if len(self.setting_up) > MAX_OTHER_SETUPS:
            return
        server.min_setup_us = min(server.min_setup_us, took_us)
        server.delay_us += (took_us - server.min_setup_us - server.delay_us) / 2
        if server.delay_us > self.aim_us:
            self._on_slow(server, server.delay_us)

    def _on_slow(self, server: Server, took_us: float) -> None:
        """Messages take long there: nothing new; past the aim nobody is served, so some must leave. The
        deeper the pile of work, the more: it has to be worked off besides what still comes in."""
        server.backoff_until = self.now + 1_500_000 if took_us > self.aim_us / 3 else 0
        if took_us > self.aim_us:
            self._reduce_slice(server, 0.7 - 0.3 * min(1.0, took_us / 1e6))
            self._shed(server)

    def _reduce_slice(self, server: Server, keep: float) -> None:
        if self.now - server.reduced_at < 900_000:
            return
        before = self._slice_size(server)
        if before == 1:
            self.actions.append(
                interface.Log(f"server {server.listed.server} jams: it keeps a smaller slice of its keys")
            )
        server.slice.size = before * keep
        server.slice.updated_at = server.reduced_at = self.now
        self.mean_slice.size = max(
            0.0,
            self.mean_slice.size_at(self.now) - (before - server.slice.size) / max(1, self.occupied_servers),
        )

    def _shed(self, server: Server) -> None:
        """Moves what is outside the slice: every gateway that gets such notes picks by the same order."""
        groups_met = {
            connection.event.group for connection in server.connections.values() if not connection.at_home
        } - {0}
        # What is inferred from set-ups may be wrong, and those that leave press the servers they go to.
        max_moves = (
            len(server.connections)
            if self.settings.tells_delay
            else len(server.connections) // SHED_DIVISOR + 1
        )
        for connection in list(server.connections.values()):
            if not max_moves:
                return
            at_home = (
                connection.at_home and connection.event.group not in groups_met
            )  # a group that stays keeps all of its own
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
            if connection.server is not None and connection.may_have_run_on is None:
                connection.may_have_run_on, connection.may_have_run_at = connection.server, connection.sent_at
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
