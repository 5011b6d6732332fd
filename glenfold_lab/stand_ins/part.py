"""The stand-ins that one process plays: some push servers and agents, some of the clients with their front.

A part first binds its addresses, then hears where everybody else is, then when the history starts. From there
on it needs nobody: all that befalls its stand-ins is in the script.
"""

import math
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any

import numpy as np
import trio

from glenfold_lab.model.clients import ClientBehavior
from glenfold_lab.model.draw import value
from glenfold_lab.model.fleet import Machine
from glenfold_lab.model.population import Population
from glenfold_lab.model.servers.messages import Messages
from glenfold_lab.model.servers.server import Server
from glenfold_lab.model.servers.store import make_store
from glenfold_lab.model.world import FINAL_ANSWER_MARGIN_US
from glenfold_lab.observe import Capacity, Record
from glenfold_lab.spec import Scenario
from glenfold_lab.stand_ins.agent import Agent, ListState
from glenfold_lab.stand_ins.bad_clients import BadClients
from glenfold_lab.stand_ins.clients import Client, ClientPool, clients_from
from glenfold_lab.stand_ins.front import SocketFront
from glenfold_lab.stand_ins.lateness import CHECK_INTERVAL_S, Lateness
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.places import AGENTS, SERVERS, Net, Places, Wording
from glenfold_lab.stand_ins.push_server import PushServer
from glenfold_lab.stand_ins.push_states import ClassWork, ServerProcess
from glenfold_lab.stand_ins.script import Deed, Script, draw
from glenfold_lab.stand_ins.seal import Seal
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.service import Floats, SecondCounts, ServiceSeconds
from glenfold_lab.streams import Streams

STEP_US = SECOND_US // 4  # of the population, drawn at a time


@dataclass(frozen=True, slots=True)
class Share:
    """What one process plays. servers, agents: which. clients: which slice, of how many; None: no clients.
    bad_per_s: bad clients."""

    number: int
    servers: tuple[int, ...]
    agents: tuple[int, ...]
    clients: tuple[int, int] | None
    bad_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Times:
    """On the machine's clock: clients that stood before open from `fill`; the history goes from `start`."""

    fill: int
    start: int


def end_of(scenario: Scenario, times: Times) -> int:
    """When the last answers are there to be judged."""
    longest = max(round(kind.deadline_ms * 1000) for kind in scenario.classes)
    return times.start + round(scenario.length_s * SECOND_US) + longest + FINAL_ANSWER_MARGIN_US


@dataclass(slots=True)
class Report:
    """What a part saw. wanted, served: seconds of its clients, by class and second. loads: by host, the load
    over the limit at the end of each second. unreached: as in `Seen`."""

    records: list[Record]
    faults: list[tuple[int, int, str]]
    late_ms: list[float]
    wanted: Floats | None = None
    served: Floats | None = None
    clients: int = 0
    loads: dict[str, list[float]] = field(default_factory=dict)
    unreached: list[tuple[int, int, int]] = field(default_factory=list)


@dataclass(slots=True)
class Part:
    """One process's stand-ins, from `bind` over `play` to `report`."""

    scenario: Scenario
    seed: int
    share: Share
    net: Net
    look_s: float = CHECK_INTERVAL_S  # between two looks at its own lateness
    script: Script = field(init=False)
    seen: Seen = field(init=False)
    _clock: MachineClock = field(init=False)
    _servers: dict[int, PushServer] = field(init=False)
    _agents: dict[int, Agent] = field(init=False)
    _lateness: Lateness = field(init=False)
    _crowd: ClientPool | None = None
    _clients: int = 0
    _loads: dict[str, list[float]] = field(default_factory=dict)

    async def bind(self) -> Places:
        """Within the loop that will play it: draws the script and binds the addresses."""
        self.script, self.seen, self._clock = draw(self.scenario, self.seed), Seen(), MachineClock()
        self._lateness = Lateness(self.look_s)
        relays = range(self.scenario.relays.count)
        part = len(self.share.servers) / len(self.script.fleet.machines)
        make = _ServerMaker(self.script, self.seed, self.seen, part)
        self._servers = {
            index: PushServer(
                make.holder(self.script.fleet.machines[index]),
                self._clock,
                [self.net.host(SERVERS, index * len(relays) + relay) for relay in relays],
            )
            for index in self.share.servers
        }
        self._agents = {
            relay: Agent([relay], self.net.host(AGENTS, relay), ListState(1, []), self.seen, self._clock)
            for relay in self.share.agents
        }
        return Places(
            {index: server.addresses for index, server in self._servers.items()},
            {relay: agent.address for relay, agent in self._agents.items()},
        )

    async def play(
        self, places: Places, begin: Callable[[], Awaitable[Times]], tell: Callable[[SecondCounts], None]
    ) -> None:
        """`begin` returns once all relays are up; `tell` hears of each second of the history."""
        self._list_first(places)
        async with trio.open_nursery() as nursery:
            for server in self._servers.values():
                await nursery.start(server.serve)
            for agent in self._agents.values():
                await nursery.start(agent.serve)
            for machine in self.script.first:
                if machine.index in self._servers:
                    self._servers[machine.index].start(cold=False)
            times = await begin()
            nursery.start_soon(self._lateness.run)
            for befalls in self._all_that_befalls(places, times):
                nursery.start_soon(_run, befalls)
            if self.share.clients is not None:
                self._crowd = self._make_crowd(places, times)
                nursery.start_soon(self._live, self._crowd, times)
            nursery.start_soon(self._tell_seconds, times, tell)
            await self._clock.until(end_of(self.scenario, times))
            if self._crowd is not None:
                self._crowd.end_service_periods()
            nursery.cancel_scope.cancel()

    def report(self) -> Report:
        seen, crowd = self.seen, self._crowd
        report = Report(
            seen.records,
            seen.faults,
            self._lateness.ms,
            clients=self._clients,
            loads=self._loads,
            unreached=seen.unreached,
        )
        if crowd is not None:
            report.wanted, report.served = crowd.served.wanted, crowd.served.served
        return report

    # ---- push servers and agents ----

    def _list_first(self, places: Places) -> None:
        wording = Wording(self.script, places, 0)  # nobody in the first list started of late
        for relay, agent in self._agents.items():
            agent.list_state = ListState(*wording.known(relay, 0))

    def _all_that_befalls(self, places: Places, times: Times) -> Iterator[Coroutine[Any, Any, None]]:
        yield self._do_deeds(times.start)
        yield self._bring_news(Wording(self.script, places, times.start), times.start)
        yield self._count_as_told(Wording(self.script, places, times.start), times.start)
        for span in self.script.quiet:
            for relay in set(span.relays) & set(self._agents):
                yield self._be_quiet(self._agents[relay], times.start + span.at, times.start + span.until)

    async def _do_deeds(self, start: int) -> None:
        for deed in self.script.servers:
            if deed.who in self._servers:
                await self._clock.until(start + deed.at)
                _do(self._servers[deed.who], deed)

    async def _bring_news(self, wording: Wording, start: int) -> None:
        for news in self.script.news:
            if news.relay in self._agents:
                await self._clock.until(start + news.at)
                self._agents[news.relay].apply(wording.change(news))

    async def _count_as_told(self, wording: Wording, start: int) -> None:
        for news in self.script.due:
            if news.relay in self._agents:
                await self._clock.until(start + news.at)
                now = self._clock.now_us()
                for entry in wording.entries(news.entries, news.relay):
                    self.seen.due(now, news.relay, entry.number, entry.state, entry.started_us)

    async def _be_quiet(self, agent: Agent, begin: int, end: int) -> None:
        await self._clock.until(begin)
        agent.mute()
        await self._clock.until(end)
        agent.unmute()

    # ---- clients ----

    def _make_crowd(self, places: Places, times: Times) -> ClientPool:
        assert self.share.clients is not None
        scenario, streams, which = self.scenario, Streams(self.seed), self.share.clients[0]
        zones = [self.script.network.zone_of(relay) for relay in range(scenario.relays.count)]
        front = SocketFront(
            zones, places.relays, scenario.front.notice_s, streams.of("stands", "front", which), self._clock
        )
        return ClientPool(
            scenario,
            ClientBehavior.of(scenario, streams),
            front,
            Seal(secret(self.seed)),
            self.seen,
            self._clock,
            {machine.host: machine.number for machine in self.script.fleet.machines},
            value(scenario.front.reshuffle, streams.of("front", "reshuffle")),
            which,
            times.start,
            times.start + self.script.length,
            ServiceSeconds(len(scenario.classes), times.start, self.script.length),
        )

    def _draw_clients(self, start: int) -> tuple[list[Client], list[Client]]:
        """Those of this process: who stood before, and who comes."""
        assert self.share.clients is not None
        which, of = self.share.clients
        people = Population(self.scenario, self.script.fleet.parameters, Streams(self.seed), start)
        standing = list(clients_from(people.standing(), 0, True))
        if not self.scenario.relays.pass_through:  # else packets must go where the relays would send them
            self._choose_hosts(standing)
        coming: list[Client] = []
        for drawn in people.arrivals(STEP_US):
            coming += clients_from(drawn, len(standing) + len(coming), False)
        return standing[which::of], coming[which::of]

    def _choose_hosts(self, standing: list[Client]) -> None:
        random = Streams(self.seed).of("stands", "hosts")
        weights = np.array([machine.capacity for machine in self.script.first])
        places = random.choice(len(weights), size=len(standing), p=weights / weights.sum())
        for client, place in zip(standing, places.tolist(), strict=True):
            client.host = self.script.first[place].host

    async def _live(self, crowd: ClientPool, times: Times) -> None:
        standing, coming = self._draw_clients(times.start)
        self._clients = len(standing) + len(coming)
        admitted = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.front.watch, admitted)
            await admitted.wait()
            nursery.start_soon(crowd.open_standing, standing, max(times.fill, self._clock.now_us()))
            nursery.start_soon(crowd.run_arrivals, coming)
            for span in self.script.cut_off:
                for relay in span.relays:
                    nursery.start_soon(
                        self._cut_off, crowd, relay, times.start + span.at, times.start + span.until
                    )
            for deed in self.script.relays:
                if deed.what == "restart":
                    nursery.start_soon(self._retire, crowd, deed.who, times.start + deed.at)
            nursery.start_soon(self._drop, crowd, times.start)
            if self.share.bad_per_s:
                nursery.start_soon(
                    BadClients(crowd, self.share.bad_per_s).run, times.start + self.script.length
                )

    async def _cut_off(self, crowd: ClientPool, relay: int, begin: int, end: int) -> None:
        await self._clock.until(begin)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.front.cut_off, relay, end)
            await trio.lowlevel.checkpoint()
            crowd.cut_off(relay)

    async def _retire(self, crowd: ClientPool, relay: int, at: int) -> None:
        await self._clock.until(at)
        await crowd.front.retire(relay)

    async def _drop(self, crowd: ClientPool, start: int) -> None:
        assert self.share.clients is not None
        random = Streams(self.seed).of("stands", "drops", self.share.clients[0])
        for drop in self.script.drops:
            await self._clock.until(start + drop.at)
            crowd.drop(drop.part, drop.over, random)

    # ---- second by second ----

    async def _tell_seconds(self, times: Times, tell: Callable[[SecondCounts], None]) -> None:
        for second in range(math.ceil(self.script.length / SECOND_US)):
            await self._clock.until(times.start + (second + 1) * SECOND_US)
            for server in self._servers.values():
                self._loads.setdefault(server.process.host, []).append(server.load())
            if self._crowd is None:
                continue
            now, self._crowd.current_second = self._crowd.current_second, SecondCounts(second + 1)
            now.second, now.standing = second, len(self._crowd.standing)
            tell(now)


async def _run(befalls: Coroutine[Any, Any, None]) -> None:
    await befalls


def secret(seed: int) -> bytes:
    """What clients and push servers of one run share."""
    return f"stand-ins of {seed}".encode()


def _do(server: PushServer, deed: Deed) -> None:
    match deed.what:
        case "start":
            server.start(cold=True)
        case "send_away":
            server.send_away(int(deed.value))
        case "cut":
            server.cut_off(deed.relays, ended=bool(deed.value))
        case "take_away":
            server.take_away(deed.value)
        case "jam":
            server.set_overloaded(bool(deed.value))
        case "end" | "drain" | "undrain" | "come_back":
            getattr(server, deed.what)()


class _ServerMaker:
    """Push servers as the model has them, each with generators of its own."""

    def __init__(self, script: Script, seed: int, seen: Seen, part: float) -> None:
        scenario, streams = script.scenario, Streams(seed)
        terms, rules, servers = script.fleet.parameters, scenario.rules, scenario.servers
        self._store = make_store(scenario, streams, terms, part)
        self._script, self._streams, self._seen, self._seal = script, streams, seen, Seal(secret(seed))
        self._group_load = terms.group_cost
        self._error_rate = value(servers.error_rate, streams.of("servers", "error_rate"))
        self._park_us = int(value(servers.park_s, streams.of("servers", "park")) * SECOND_US)
        self._cold = rules.cold_share, int(rules.cold_s * SECOND_US)
        self._works = {
            kind.name: ClassWork(
                n,
                value(kind.set_up_ms, streams.of("classes", "set_up", n)) * 1000,
                terms.class_load[n],
                value(kind.swing_sigma, streams.of("classes", "swing", n)),
                value(kind.change_s, streams.of("classes", "change", n)) * SECOND_US,
            )
            for n, kind in enumerate(scenario.classes)
        }

    def holder(self, machine: Machine) -> ServerProcess:
        fleet, network = self._script.fleet, self._script.network
        messages = Messages(network, [])
        messages.add_server(machine)
        fluid = Server(machine, fleet.parameters.mean_load, fleet.table_tax, self._group_load)
        zones = [network.zone_of(relay) for relay in range(self._script.scenario.relays.count)]
        ways = tuple(2 * network.delay_us(zone, machine.zone) for zone in zones)
        return ServerProcess(
            fluid,
            Capacity(fleet.warm_per_s(machine), *self._cold),
            messages,
            self._seen,
            self._streams.of("stands", "server", machine.index),
            self._works,
            ways,
            self._seal,
            self._error_rate,
            self._park_us if self._script.scenario.relays.pass_through else 0,
            self._store,
        )
