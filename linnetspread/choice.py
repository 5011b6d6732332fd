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

from linnetspread import interface as i

MASK = (1 << 64) - 1
SEEDS = (0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9)
BUCKETS = 1 << 15  # of the anchor, whatever the fleet: a bound at which it grew would move every key
BUCKETS_PER_UNIT = 32  # that a server names, of listed weight: fine enough that shares follow the weights
DOUBLINGS = 4  # of a unit, to the largest weight listed: a list's weights have no unit of their own
FURTHER = 3  # seeds after the first
MOST_HOMES = 5  # of a group in a sparse fleet with all listed power: each costs what it shares
MORE = 1, 4, 8  # times that for the first of it here, the second, any further
SPILL = 1.25  # a server over this multiple of its part of what is held here, and one, is crowded
REGROWTH = 0.02  # of its slice that a jammed server gets back in a second
CROWD = 3  # set-ups under way here beside one that tells of its server's delay
PART_MOVED = 8  # of a server's connections, at a time, where no notes tell that it is jammed
REMEMBERED = 1000  # moved clients whose load is kept until they come back
LONGEST_LIFE_US = 300e6  # mean, of a connection, that a site may have: taken where nothing is known yet
LEARNT_US = 60e6  # of own experience that weighs as much as what was taken before it
BURST = 3  # times their usual rate that new clients may come
USED = 0.15  # of the calls that a cold server may get: the part that turns use, where these are many,
USED_BY_CHANCE = 0.75  # and by the root of their number: chance adds as many as the rule allows for it
ASK_AGAIN = 1 << 60  # timer token; request ids stay far below


def mix(value: int) -> int:
    """The finaliser of splitmix64: the same at every gateway and in every process."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def part_of(key: int, parts: int) -> int:
    """Jump consistent hash: with more parts, each key stays in its own or goes to one of the new."""
    part, further = 0, 0
    while further < parts:
        part, key = further, mix(key)
        further = int((part + 1) / ((key + 1) / (MASK + 1)))
    return part


def place_in(server: int, value: int) -> float:
    """Where a key or group stands in a server's slices: from 0 to 1, evenly, and elsewhere at each server."""
    return mix(mix(value ^ SEEDS[2]) ^ server) / (MASK + 1)


class Anchor:
    """AnchorHash in which all gateways take removed buckets to have gone in one order, by number, the highest
    first, whatever they saw themselves. So the set that a removed bucket sends its keys on to is told by the
    ready list alone: the buckets below it, and the working ones above. A key that passes over what is not in
    those sets comes to the first working bucket of its own sequence.

    A server's id names its buckets, so many as its power says; of those that name the same, one owns it."""

    def __init__(self, servers: list[tuple[int, int]]) -> None:
        self.buckets_of: dict[int, list[int]] = {}
        self.owner: dict[int, tuple[int, int]] = {}  # of working buckets: its draw for it, and the server
        self.rivals: dict[int, tuple[tuple[int, int], ...]] = {}  # who named one with a lower draw
        for server, count in servers:
            self.add(server, count)

    def add(self, server: int, count: int) -> None:
        value, named = mix(server ^ SEEDS[1]), dict[int, int]()
        while len(named) < count:
            value = mix(value + SEEDS[0] & MASK)
            for draw in (value >> 32, value & 0xFFFFFFFF):
                named.setdefault(draw % BUCKETS, draw)
        self.buckets_of[server] = list(named)
        for b, draw in named.items():
            claim = (draw, server)
            if b in self.owner:
                beaten, claim = sorted((claim, self.owner[b]))
                self.rivals[b] = (*self.rivals.get(b, ()), beaten)
            self.owner[b] = claim

    def remove(self, server: int) -> None:
        for b in self.buckets_of.pop(server):
            claims = sorted((self.owner.pop(b), *self.rivals.pop(b, ())))
            claims = [claim for claim in claims if claim[1] != server]
            if claims:
                self.owner[b] = claims.pop()
            if claims:
                self.rivals[b] = tuple(claims)

    def lookup(self, key: int, seed: int) -> int | None:
        key = mix(key ^ seed)
        while self.owner:
            for draw in (key, key >> 16, key >> 32, key >> 48):
                if claim := self.owner.get(draw % BUCKETS):
                    return claim[1]
            key = mix(key + SEEDS[0] & MASK)
        return None


@dataclass(slots=True)
class Slice:
    """The part of its keys that a server may hold: pressed while it jams, regrown with time."""

    size: float = 1.0
    at: int = 0

    def now(self, clock: int) -> float:
        self.size = min(1.0, self.size + max(self.size, 0.1) * REGROWTH * (clock - self.at) / 1e6)
        self.at = clock
        return self.size


@dataclass(slots=True)
class Server:
    """What this gateway knows of one server, from its list and its own traffic."""

    listed: i.ListedServer
    power: float  # as its list says; what its cores are worth is told nowhere
    holds: "dict[int, Held]" = field(default_factory=dict)  # attempts out and connections, by request
    strikes: int = 0  # failures since the last success
    shun_until: int = 0
    rest_until: int = 0  # nothing new: it refused as full, or its messages take long
    slice: Slice = field(default_factory=Slice)
    pressed_at: int = 0
    up_at: int = 0  # when it last took a connection
    quickest_us: int = 1 << 60  # set-up seen there
    delay_us: float = 0.0  # of set-ups beyond that, the latest most


@dataclass(slots=True)
class Held:
    """A request or an open connection."""

    event: i.Request
    deadline: int
    load: float
    server: Server | None = None  # where its attempt is out or its connection stands
    at_home: bool = True  # there by its client key, not by a further seed
    sent: int = 0
    sent_at: int = 0
    established: bool = False
    ended: bool = False  # final answer given; kept until the attempt's own answer comes
    tried: list[int] = field(default_factory=list)
    risky: Server | None = None  # first server where it may have run
    risky_at: int = 0
    usual: float = 0.0  # how far it is one of the usual flow of new clients


class Balancer:
    """One gateway's decisions. `handle` takes an event and returns the actions, in order."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s = settings
        self.random = random.Random(seed)  # for waits only: the map must be the same at every gateway
        self.anchor, self.unit = Anchor([]), 1.0
        self.servers: dict[int, Server] = {}
        self.listed: list[float] = []  # powers of all that are ready or leave
        self.ready_power = self.full_power = 0.0  # now, and the most that ever was
        self.present_power = 0.0  # of what is ready, cold servers by what they can do for certain
        self.homes = MOST_HOMES  # by the part of the listed power that is there: alike at every gateway
        self.look_at = 0  # when the latter has grown enough to be counted again
        self.sparse, self.spread = False, 0.0  # at the shares less than one of each server's is here; how far
        self.now = self.began = self.version = 0
        self.sharers = float(settings.gateways)  # that are alive, as the clients they leave tell
        self.busy = 0  # servers at which this gateway holds anything
        self.fleet = Slice()  # mean over those: the best guess for a server it knows nothing of
        self.held: dict[int, Held] = {}
        self.setting_up: set[int] = set()  # of these, with an attempt out
        self.taken, self.extras = (
            deque[int](),
            deque[int](),
        )  # times of requests and further attempts, of late
        self.out: list[i.Action] = []
        self.mean_load = [0.0] * len(settings.classes)
        self.moved_load: dict[int, float] = {}  # of clients moved off a jammed server, the latest few
        self.aim_us = settings.shortest_message_aim_us  # without one no delay tells of a jam
        self.quota, self.quota_per_us = settings.quota_connections, settings.quota_per_us
        self.by_tenant = [0] * max(1, len(settings.tenants))
        self.held_us = self.ends = 0.0  # time that connections stood here; how many came to an end
        self.room, self.room_at = 0.0, 0  # for new clients at cold servers: what is left of the usual flow

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        self.out = [i.Subscribe(True)] if self.s.ask_for_list and not self.now else []
        self.held_us += len(self.held) * (now - self.now)
        self.now, self.began = now, self.began or now
        if handler := HANDLERS.get(type(event)):
            handler(self, event)
        return self.out

    # ---- the list of servers ----

    def _on_list(self, event: i.ServerList) -> None:
        if event.kind is i.ListKind.FAILED:
            wait = self.s.ask_within_us // 4
            self.out.append(i.SetTimer(wait + self.random.randrange(wait + 1), ASK_AGAIN))
            return
        if 0 < event.version < self.version:  # an older list must not bring back what a newer one took away
            return
        self.version = event.version or self.version
        for line in event.servers:
            power = self._power(line)
            known = self.servers.setdefault(line.server, Server(line, power))
            if power != known.power and line.server in self.anchor.buckets_of:  # put back with another number
                self.anchor.remove(line.server)
            known.power = power
            if line.started_us != known.listed.started_us:  # a new process: forget what the old one did
                known.strikes = known.shun_until = known.rest_until = 0
                known.slice = Slice()
            known.listed = line
        if event.kind is not i.ListKind.DELTA:
            named = {line.server for line in event.servers}
            for known in (self.servers[number] for number in self.servers.keys() - named):
                known.listed = replace(known.listed, state=i.ServerState.GONE)
        self._update_anchor()
        for known in list(self.servers.values()):
            self._forget(known)

    def _update_anchor(self) -> None:
        """Removals first, then additions, each in id order; the map is the same whatever came before."""
        self.listed = [known.power for known in self.servers.values() if known.listed.present]
        exponent = math.frexp(max(self.listed, default=1.0))[1]
        if (unit := 2.0 ** (exponent - min(DOUBLINGS, max(1, exponent)))) != self.unit:
            self.anchor, self.unit = Anchor([]), unit
        ready = sorted(number for number, known in self.servers.items() if known.listed.ready)
        for number in sorted(set(self.anchor.buckets_of) - set(ready)):
            self.anchor.remove(number)
        for number in ready:
            if number not in self.anchor.buckets_of:
                buckets = round(BUCKETS_PER_UNIT * self.servers[number].power / self.unit)
                self.anchor.add(number, max(1, buckets))
        self.ready_power = sum(self.servers[number].power for number in ready)
        self.full_power = max(self.full_power, self.ready_power)
        self._look()

    def _look(self) -> None:
        self.look_at = self.now + 1_000_000
        ready = [known for known in self.servers.values() if known.listed.ready]
        self.present_power = sum(known.power * self.s.warmth(self._age(known)) for known in ready)
        wide = self.s.gateways * len(self.listed) / (self.quota or math.inf)
        self.sparse, self.spread = wide > 1, min(1.0, wide - 1)
        self.homes = max(1, round(MOST_HOMES * self.present_power / (sum(self.listed) or 1.0)))

    def _power(self, line: i.ListedServer) -> float:
        return max(line.weight, 0.0) or 1.0 if self.s.weighted else 1.0  # nothing learnt: the map goes by it

    def _flow(self) -> float:
        """New clients a microsecond that come here, as ends make room for them."""
        told = LEARNT_US * self.quota_per_us / self.s.gateways
        return (told + max(0.0, self.ends)) / (LEARNT_US + self.now - self.began)

    def _usual(self) -> float:
        """How far a client that says nothing of itself is one of the usual flow, from 0 to 1: where none says
        that it comes back, a fleet that lost its servers is asked by all of them at once."""
        most = max(1.0, self._flow() * self.s.fall_us / 2)
        room = min(most, self.room + BURST * self._flow() * (self.now - self.room_at))
        self.room, self.room_at = max(-most / 2, room - 1), self.now
        return min(1.0, max(0.0, room))

    def _forget(self, known: Server) -> None:
        if not (known.listed.present or known.holds):
            self.servers.pop(known.listed.server, None)

    # ---- requests ----

    def _on_request(self, event: i.Request) -> None:
        self.taken.append(self.now)
        self._ration()  # forgets what the look-back has left behind, also while all is refused
        if self.now >= self.look_at:
            self._look()
        held = Held(event, self.now + event.expires_in_us, self._expected_load(event))
        if event.unmarked and self.present_power < self.ready_power:  # some are cold
            held.usual = self._usual()
        self.ends -= event.mid_flow
        if event.mid_flow and self.now - self.began > self.s.park_us and len(self.held) > 3:
            self.sharers *= len(self.held) / (len(self.held) + 1)  # a gateway is gone, and this its client
        self._hold(held)
        # Whatever goes wrong below, this timer answers the request before its client gives up.
        self.out.append(i.SetTimer(max(1, event.expires_in_us - self.s.tick_us), event.request))
        self._place(held)

    def _on_existing(self, event: i.Existing) -> None:
        held = Held(event.connection, self.now, self._expected_load(event.connection), None, True, 1, 0, True)
        self._hold(held)
        if event.server in self.servers:
            self._put(held, self.servers[event.server])

    def _hold(self, held: Held) -> None:
        self.held[held.event.request] = held
        self.by_tenant[self.s.tenant_of(held.event)] += 1

    def _put(self, held: Held, known: Server) -> None:
        held.server = known
        self.busy += not known.holds
        known.holds[held.event.request] = held

    def _take_off(self, held: Held, known: Server) -> None:
        held.server = None
        del known.holds[held.event.request]
        self.setting_up.discard(held.event.request)
        self.busy -= not known.holds
        self._forget(known)

    def _expected_load(self, event: i.Request) -> float:
        if event.load_us is not None:
            return float(event.load_us)
        if event.key in self.moved_load:  # it comes back as heavy as it left
            return self.moved_load[event.key]
        return self.mean_load[min(event.request_class, len(self.mean_load) - 1)] or 50_000.0

    def _place(self, held: Held) -> None:
        choice = self._choose(held) if self._may_try(held) and (held.sent or self._room(held)) else None
        self._answer_finally(held) if choice is None else self._send(held, *choice)

    def _room(self, held: Held) -> bool:
        """Whether the fleet can bear one more. The shares are what all servers together can carry; when many
        have left, the others would all jam at once, and without notes nobody would learn it. Each gateway
        admits its part of what is left. In a sparse fleet parts differ too much by chance."""
        if held.event.mid_flow or self.s.tells_delay or not self.quota or not self.full_power or self.sparse:
            return True
        part = self.present_power / self.full_power / max(1.0, self.sharers)
        return len(self.held) - 1 <= self.quota * part

    def _may_try(self, held: Held) -> bool:
        """The ration of further attempts, where one is stated; the last of it is for what is worth most."""
        left = self._ration() if held.sent else math.inf
        if held.sent >= self.s.max_attempts or held.deadline - self.now <= self.s.tick_us:
            return False
        return left >= 2 or left >= 1 and self.s.class_of(held.event).worth >= self.s.mean_worth

    def _ration(self) -> float:
        edge = self.now - self.s.look_back_us
        while self.taken and self.taken[0] <= edge:
            self.taken.popleft()
        while self.extras and self.extras[0] < edge:
            self.extras.popleft()
        left = self.s.spare_attempts + self.s.extra_per_request * len(self.taken) - len(self.extras)
        return left if self.s.look_back_us else math.inf

    # ---- the choice ----

    def _choose(self, held: Held) -> tuple[Server, bool] | None:
        """The first choice that the rules and its slices allow and that looks well, else the first that only
        looks suspect, as the fault is then more likely here; rather than refuse, one that should rest."""
        last_resort = resting = waits = None
        for known, at_home in self._choices(held.event):
            if known.listed.server in held.tried or not self._allowed(held, known):
                continue
            if waits and self._age(known) < self.s.cold_us or not self._warm_enough(held, known, at_home):
                waits = known  # for its turn there: another's turns would add to those of its own clients
                continue
            if not self._within(held, known, at_home):
                continue
            # Mid-flow it would be reset anywhere else, however the server looks.
            if held.event.mid_flow and held.sent == 0 or self._well(held, known):
                return known, at_home
            if known.strikes < 2 and self.now >= known.rest_until:
                last_resort = last_resort or (known, at_home)
            elif known.strikes < 2:
                resting = resting or (known, at_home)
        return last_resort or resting

    def _choices(self, event: i.Request) -> Iterator[tuple[Server, bool]]:
        """The key's server, then those of the same key under further seeds: a group stays together there."""
        key = event.shared_key
        if not self.ready_power:
            return
        spread = bool(event.group) and self.sparse
        part = parts = 0
        if spread:
            here = sum(held.event.group == key for held in self.held.values()) - 1  # few: the fleet is sparse
            parts = self.homes * MORE[0 if event.mid_flow else min(here, len(MORE) - 1)]
            parts = round(1 + (parts - 1) * self.spread)  # one at the edge: no key moves where it is crossed
            part = part_of(key ^ event.key, parts)
        home = self.servers[self.anchor.lookup(key ^ mix(part), SEEDS[0]) or 0]
        # A client comes back because its server broke or jams, and here nobody may know: the list is late.
        # In a sparse fleet the next gateway looks at home all the same; elsewhere it is reset and comes back.
        known = spread or not event.returning or self._age(home) < self.s.cold_us
        if known or any(held.established for held in home.holds.values()):
            yield home, True
        for turn in range(FURTHER):  # of a spread group its other homes: each more would cost what it shares
            seed = SEEDS[0] if spread else SEEDS[1] + turn * SEEDS[2] & MASK
            other = mix((part + turn + 1) % max(parts, FURTHER + 1)) if spread else 0
            yield self.servers[self.anchor.lookup(key ^ other, seed) or 0], False

    def _allowed(self, held: Held, known: Server) -> bool:
        """The rules alone: ready, and a keyed request that may have run only where repeats are dropped."""
        if not known.listed.ready:
            return False
        kind = self.s.class_of(held.event)
        if held.risky is None or kind.semantics is i.Semantics.REPEATABLE:
            return True
        if kind.semantics is i.Semantics.ONCE or self.now - held.risky_at >= kind.window_us:
            return False
        return kind.scope.joins(known.listed, held.risky.listed)

    def _well(self, held: Held, known: Server) -> bool:
        """Neither resting nor shunned, nor over its part of what this gateway holds: by loads, which differ
        tenfold, one heavy client would be a crowd to a gateway with few, and groups would scatter."""
        fair = len(self.held) / (self.ready_power or 1.0) * known.power
        return self.now >= max(known.rest_until, known.shun_until) and len(known.holds) <= SPILL * fair + 1

    def _slice(self, known: Server) -> float:
        """A server that this gateway has never seen at work is taken to be as full as those it has."""
        own = known.slice.now(self.now)
        unseen = own == 1 and not known.holds and self._age(known) >= self.s.cold_us
        return min(own, self.fleet.now(self.now)) if unseen else own

    def _within(self, held: Held, known: Server, at_home: bool) -> bool:
        """A jammed server first gives up whole groups that came by client key, as each that leaves takes its
        shared work along; then, key by key, those that met there."""
        size, event = self._slice(known), held.event
        if size >= 1:
            return True
        key = event.key or event.request
        if at_home:
            return place_in(known.listed.server, event.shared_key) < 2 * size - 1
        place: float = place_in(known.listed.server, key) ** (1 / self._merit(held))
        return 1 - place < 2 * size

    def _merit(self, held: Held) -> float:
        """What it brings for its load, against the mean; beyond a tenant's share it is less."""
        mean = sum(self.mean_load) / len(self.mean_load) or held.load
        merit = self.s.class_of(held.event).worth / self.s.mean_worth * mean / max(held.load, 1.0)
        return max(0.05, merit * (self.s.over_share_worth if self._over_quota(held) else 1.0))

    def _over_quota(self, held: Held) -> bool:
        """With few connections here chance alone takes a tenant over its part: only clear excess counts."""
        part = self.s.quota_of(held.event) / self.s.gateways
        return part > 0 and part + 2 * math.sqrt(part) + 1 < self.by_tenant[self.s.tenant_of(held.event)]

    def _age(self, known: Server) -> int:
        started = known.listed.started_us
        return max(0, self.now - started) if started else self.s.cold_us

    def _warm_enough(self, held: Held, known: Server, at_home: bool) -> bool:
        """A server that just started takes only a slice of the keys, however many gateways there are. New
        clients come evenly: a slice as large as its present share fits. All others may come at once, and each
        has its turn but once, or the same would come over and over."""
        age, event = self._age(known), held.event
        if age >= self.s.cold_us:
            return True
        place = place_in(known.listed.server, event.key or event.request)
        if not at_home and not held.sent and not event.returning:
            return False  # it only spills from a fuller server: no reason to press a cold one
        # Whole groups meet at one server, but in a sparse fleet: they come in clumps of several.
        fresh = held.usual * min(1.0, age / self.s.fall_us) / (2 if event.group and not self.sparse else 1)
        if at_home and event.mid_flow:  # it may stand there since its turn
            return place < self._filled(age)
        usual = at_home and place < self.s.warmth(age) * fresh
        return usual or self._filled(age - self.s.fall_us) <= place < self._filled(age)

    def _filled(self, age: int) -> float:
        """The part of its keys that a server has had time for since it started. The fewer calls it may get
        within a fall's time, the more the rule leaves to chance, and the larger a part of them may be used.
        Without shares the life of connections is learnt from those that stood here and how many ended."""
        learnt = (LEARNT_US + self.held_us) / (LEARNT_US / LONGEST_LIFE_US + max(0.0, self.ends))
        life_us = self.s.life_us or min(LONGEST_LIFE_US, learnt)
        share = self.s.fall_multiple * self.s.mean_warmth(age)
        calls = share * self.s.fall_us * self._flow() * self.s.gateways / len(self.anchor.buckets_of)
        return share * max(0, age) / life_us * (USED + USED_BY_CHANCE / math.sqrt(max(1.0, calls)))

    def _send(self, held: Held, known: Server, at_home: bool) -> None:
        left = timeout = held.deadline - self.now
        if held.sent:
            self.extras.append(self.now)
        if held.sent + 1 < self.s.max_attempts and self._ration() >= 1:  # leave room for another attempt
            timeout = left // 2
        if known.strikes:  # one at a time to test it, until one succeeds
            known.shun_until = self.now + timeout
        held.at_home, held.sent, held.sent_at = at_home, held.sent + 1, self.now
        held.tried.append(known.listed.server)
        self._put(held, known)
        self.setting_up.add(held.event.request)
        self.out.append(i.Attempt(held.event.request, known.listed.server, max(1, timeout)))

    def _answer_finally(self, held: Held) -> None:
        harmless = held.risky is None or self.s.class_of(held.event).refusable_after_run
        # Those refused together must not come back together.
        mean = min(self.s.max_retry_after_us * 2 // 3, 1_000_000) if self.s.may_retry_after else 0
        wait = mean // 2 + self.random.randrange(mean + 1)
        self.out.append(i.Refuse(held.event.request, wait) if harmless else i.Fail(held.event.request))
        self._end(held.event.request)

    def _end(self, request: int) -> None:
        """Nothing more is sent for it; an attempt still out is counted until its answer comes."""
        held = self.held.get(request)
        if held is None or held.ended:
            return
        held.ended = True
        self.by_tenant[self.s.tenant_of(held.event)] -= 1
        if held.server is None:
            del self.held[request]

    # ---- what comes back ----

    def _on_established(self, event: i.Established) -> None:
        held = self.held.get(event.request)
        if held is not None and held.server is not None:
            held.established = True
            self.setting_up.discard(event.request)
            held.server.strikes = held.server.shun_until = 0
            held.server.up_at = self.now
            if not self.s.tells_delay and not held.event.mid_flow:
                self._on_set_up(held.server, event.elapsed_us)

    def _on_answer(self, event: i.Answer) -> None:
        held = self.held.get(event.request)
        if held is None or held.server is None or held.server.listed.server != event.server:
            return
        known = held.server
        self._judge(known, event.outcome, held)
        self._take_off(held, known)
        if event.outcome is i.Outcome.MOOT and held.sent > 1 and held.sent_at in self.extras:
            self.extras.remove(held.sent_at)
        if not event.outcome.never_ran and held.risky is None:
            held.risky, held.risky_at = known, self.now - event.elapsed_us
        if held.established and event.outcome is i.Outcome.CANCELLED and not held.ended:  # to a new gateway
            self.sharers = min(self.s.gateways, self.sharers * len(self.held) / max(1, len(self.held) - 1))
        if held.ended or event.done or held.established:
            if held.established and known.listed.ready and not held.ended:
                self.ends += event.outcome in (i.Outcome.OK, i.Outcome.CANCELLED)
            self._end(event.request)
            self.held.pop(event.request, None)
        else:
            self._place(held)

    def _judge(self, known: Server, outcome: i.Outcome, held: Held) -> None:
        """Health from own traffic: a failure shuns a server for a second, further ones for longer."""
        if outcome is i.Outcome.FULL or outcome is i.Outcome.TIMEOUT and known.up_at > held.sent_at:
            known.rest_until = max(known.rest_until, self.now + 200_000)  # slow or full, not gone
        elif outcome is i.Outcome.RESET and held.established:  # dropped by a server that holds too much
            known.rest_until = max(known.rest_until, self.now + 1_000_000)
            self._press(known, 0.7)
            if not self.s.tells_delay:  # no note has come before it, and the next would be dropped as well
                self._shed(known)
        elif outcome.failed and not (outcome is i.Outcome.RESET and held.event.mid_flow):
            if not known.strikes:
                self.out.append(i.Log(f"server {known.listed.server} suspect after {outcome.name.lower()}"))
            known.strikes += 1
            known.shun_until = self.now + min(8, 1 << min(known.strikes - 1, 3)) * 1_000_000

    def _on_notice(self, event: i.Notice) -> None:
        held = self.held.get(event.request)
        if held is None or held.server is None or held.server.listed.server != event.server:
            return
        if event.kind is i.NoticeKind.LOAD:
            held.load = event.amount
            index = min(held.event.request_class, len(self.mean_load) - 1)
            mean = self.mean_load[index] or event.amount
            self.mean_load[index] = 0.95 * mean + 0.05 * event.amount
        elif event.kind is i.NoticeKind.SLOW:
            self._on_slow(held.server, event.amount * 1000)

    def _on_set_up(self, known: Server, took_us: int) -> None:
        """Where no notes tell of delay: what a set-up takes beyond the quickest there it has waited behind
        other work, as messages do; but one alone may be slow, and a crowd keeps this gateway busy as well."""
        if len(self.setting_up) > CROWD:
            return
        known.quickest_us = min(known.quickest_us, took_us)
        known.delay_us += (took_us - known.quickest_us - known.delay_us) / 2
        if known.delay_us > self.aim_us:
            self._on_slow(known, known.delay_us)

    def _on_slow(self, known: Server, took_us: float) -> None:
        """Messages take long there: nothing new; past the aim nobody is served, so some must leave. The
        deeper the pile of work, the more: it has to be worked off besides what still comes in."""
        known.rest_until = self.now + 1_500_000 if took_us > self.aim_us / 3 else 0
        if took_us > self.aim_us:
            self._press(known, 0.7 - 0.3 * min(1.0, took_us / 1e6))
            self._shed(known)

    def _press(self, known: Server, keep: float) -> None:
        if self.now - known.pressed_at < 900_000:
            return
        before = self._slice(known)
        if before == 1:
            self.out.append(i.Log(f"server {known.listed.server} jams: it keeps a smaller slice of its keys"))
        known.slice.size = before * keep
        known.slice.at = known.pressed_at = self.now
        self.fleet.size = max(0.0, self.fleet.now(self.now) - (before - known.slice.size) / max(1, self.busy))

    def _shed(self, known: Server) -> None:
        """Moves what is outside the slice: every gateway that gets such notes picks by the same order."""
        met = {held.event.group for held in known.holds.values() if not held.at_home} - {0}
        # What is inferred from set-ups may be wrong, and those that leave press the servers they go to.
        most = len(known.holds) if self.s.tells_delay else len(known.holds) // PART_MOVED + 1
        for held in list(known.holds.values()):
            if not most:
                return
            at_home = held.at_home and held.event.group not in met  # a group that stays keeps all of its own
            if held.established and not held.ended and not self._within(held, known, at_home):
                most -= 1
                self.out.append(i.Move(held.event.request))
                self._end(held.event.request)
                self.moved_load[held.event.key or held.event.request] = held.load
                if len(self.moved_load) > REMEMBERED:
                    del self.moved_load[next(iter(self.moved_load))]

    def _on_timer(self, event: i.Timer) -> None:
        if event.token == ASK_AGAIN:
            self.out.append(i.Subscribe(True))
        held = self.held.get(event.token)
        if held is not None and not held.established and not held.ended:
            if held.server is not None and held.risky is None:
                held.risky, held.risky_at = held.server, held.sent_at
            self._answer_finally(held)


HANDLERS: dict[type, Callable[[Balancer, Any], None]] = {
    i.Request: Balancer._on_request,
    i.Answer: Balancer._on_answer,
    i.Established: Balancer._on_established,
    i.Notice: Balancer._on_notice,
    i.Timer: Balancer._on_timer,
    i.ServerList: Balancer._on_list,
    i.ClientLeft: lambda balancer, event: balancer._end(event.request),
    i.Existing: Balancer._on_existing,
}
