"""The stand-ins that one process plays: some push servers and agents, or some clients with their front.

A worker first binds its addresses, then receives the addresses of all others, then the time when the history
starts. From then on it needs no other process, as the script has all events of its stand-ins.
"""

import math
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any

import numpy as np
import trio

from glenfold_lab.checker.gaps import Gap
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
from glenfold_lab.stand_ins.addresses import AGENTS, SERVERS, Addresses, ListFormatter, Net
from glenfold_lab.stand_ins.agent import Agent, ListState
from glenfold_lab.stand_ins.bad_clients import BadClients
from glenfold_lab.stand_ins.clients import Client, ClientPool, clients_from
from glenfold_lab.stand_ins.front import SocketFront
from glenfold_lab.stand_ins.lateness import CHECK_INTERVAL_S, Lateness, named_gaps
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.push_server import PushServer
from glenfold_lab.stand_ins.push_states import ClassWork, ServerProcess
from glenfold_lab.stand_ins.script import Action, Script, draw
from glenfold_lab.stand_ins.seal import Seal
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.service import Floats, SecondCounts, ServiceSeconds
from glenfold_lab.streams import Streams

POPULATION_STEP_US = SECOND_US // 4  # Length of the part of the population that is drawn at a time.


@dataclass(frozen=True, slots=True)
class Share:
    """The share of a history that one process plays.

    `servers` and `agents` have the indexes of its push servers and agents. `clients` is the index of its
    slice of the clients and the number of slices, None for no clients. `bad_per_s` is the rate of misbehaving
    clients.
    """

    number: int
    servers: tuple[int, ...]
    agents: tuple[int, ...]
    clients: tuple[int, int] | None
    bad_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Times:
    """Times on the machine's clock.

    Clients that are connected at the start of the history open their connections from `fill` on. The history
    begins at `start`.
    """

    fill: int
    start: int


def end_time(scenario: Scenario, times: Times) -> int:
    """Returns the time at slice_index the last answers have arrived and can be checked."""
    longest = max(round(kind.deadline_ms * 1000) for kind in scenario.classes)
    return times.start + round(scenario.length_s * SECOND_US) + longest + FINAL_ANSWER_MARGIN_US


@dataclass(slots=True)
class Report:
    """The records of one worker.

    `wanted` and `served` are connection seconds of its clients, by class and second. `loads` has, by host,
    the load relative to the limit at the end of each second. `unreached` is as in `Seen`. `gaps` has the
    times in which the worker's event loop did not run.
    """

    records: list[Record]
    faults: list[tuple[int, int, str]]
    late_ms: list[float]
    wanted: Floats | None = None
    served: Floats | None = None
    clients: int = 0
    loads: dict[str, list[float]] = field(default_factory=dict)
    unreached: list[tuple[int, int, int]] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)


@dataclass(slots=True)
class StandInWorker:
    """The stand-ins of one process. Call `bind`, `play` and `report` in this order."""

    scenario: Scenario
    seed: int
    share: Share
    net: Net
    sample_interval_s: float = CHECK_INTERVAL_S  # Time between two samples of the worker's own lateness.
    script: Script = field(init=False)
    seen: Seen = field(init=False)
    _clock: MachineClock = field(init=False)
    _servers: dict[int, PushServer] = field(init=False)
    _agents: dict[int, Agent] = field(init=False)
    _lateness: Lateness = field(init=False)
    _crowd: ClientPool | None = None
    _clients: int = 0
    _loads: dict[str, list[float]] = field(default_factory=dict)

    async def bind(self) -> Addresses:
        """Draws the script and binds the addresses, within the event loop that plays the history."""
        self.script, self.seen, self._clock = draw(self.scenario, self.seed), Seen(), MachineClock()
        self._lateness = Lateness(self.sample_interval_s)
        relays = range(self.scenario.relays.count)
        fraction = len(self.share.servers) / len(self.script.fleet.machines)
        factory = _ServerFactory(self.script, self.seed, self.seen, fraction)
        self._servers = {
            index: PushServer(
                factory.holder(self.script.fleet.machines[index]),
                self._clock,
                [self.net.host(SERVERS, index * len(relays) + relay) for relay in relays],
            )
            for index in self.share.servers
        }
        self._agents = {
            relay: Agent([relay], self.net.host(AGENTS, relay), ListState(1, []), self.seen, self._clock)
            for relay in self.share.agents
        }
        return Addresses(
            {index: server.addresses for index, server in self._servers.items()},
            {relay: agent.address for relay, agent in self._agents.items()},
        )

    async def play(
        self,
        addresses: Addresses,
        wait_for_start: Callable[[], Awaitable[Times]],
        report_second: Callable[[SecondCounts], None],
    ) -> None:
        """Plays the history.

        `wait_for_start` returns once all relays are up. `report_second` is called for each second of the
        history.
        """
        self._set_initial_lists(addresses)
        async with trio.open_nursery() as nursery:
            for server in self._servers.values():
                await nursery.start(server.serve)
            for agent in self._agents.values():
                await nursery.start(agent.serve)
            for machine in self.script.initial_servers:
                if machine.index in self._servers:
                    self._servers[machine.index].start(cold=False)
            times = await wait_for_start()
            nursery.start_soon(self._lateness.run)
            for event in self._scheduled_events(addresses, times):
                nursery.start_soon(_run, event)
            if self.share.clients is not None:
                self._crowd = self._make_crowd(addresses, times)
                nursery.start_soon(self._run_clients, self._crowd, times)
            nursery.start_soon(self._report_seconds, times, report_second)
            await self._clock.until(end_time(self.scenario, times))
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
            gaps=named_gaps(self._lateness.gaps, seen.blocking_calls.kept),
        )
        if crowd is not None:
            report.wanted, report.served = crowd.served.wanted, crowd.served.served
        return report

    # ---- push servers and agents ----

    def _set_initial_lists(self, addresses: Addresses) -> None:
        # No server in the initial list is newly started.
        formatter = ListFormatter(self.script, addresses, 0)
        for relay, agent in self._agents.items():
            agent.list_state = ListState(*formatter.held_list(relay, 0))

    def _scheduled_events(self, addresses: Addresses, times: Times) -> Iterator[Coroutine[Any, Any, None]]:
        yield self._act_on_servers(times.start)
        yield self._update_agents(ListFormatter(self.script, addresses, times.start), times.start)
        yield self._note_list_deadlines(ListFormatter(self.script, addresses, times.start), times.start)
        for interval in self.script.silent_agents:
            for relay in set(interval.relays) & set(self._agents):
                yield self._silence_agent(
                    self._agents[relay], times.start + interval.at, times.start + interval.until
                )

    async def _act_on_servers(self, start: int) -> None:
        for action in self.script.servers:
            if action.target in self._servers:
                await self._clock.until(start + action.at)
                _act(self._servers[action.target], action)

    async def _update_agents(self, formatter: ListFormatter, start: int) -> None:
        for update in self.script.list_updates:
            if update.relay in self._agents:
                await self._clock.until(start + update.at)
                self._agents[update.relay].apply(formatter.change(update))

    async def _note_list_deadlines(self, formatter: ListFormatter, start: int) -> None:
        for update in self.script.list_deadlines:
            if update.relay in self._agents:
                await self._clock.until(start + update.at)
                now = self._clock.now_us()
                for entry in formatter.entries(update.entries, update.relay):
                    self.seen.due(now, update.relay, entry.number, entry.state, entry.started_us)

    async def _silence_agent(self, agent: Agent, begin: int, end: int) -> None:
        await self._clock.until(begin)
        agent.mute()
        await self._clock.until(end)
        agent.unmute()

    # ---- clients ----

    def _make_crowd(self, addresses: Addresses, times: Times) -> ClientPool:
        assert self.share.clients is not None
        scenario, streams, slice_index = self.scenario, Streams(self.seed), self.share.clients[0]
        zones = [self.script.network.zone_of(relay) for relay in range(scenario.relays.count)]
        front = SocketFront(
            zones,
            addresses.relays,
            scenario.front.notice_s,
            streams.of("stands", "front", slice_index),
            self._clock,
        )
        return ClientPool(
            scenario,
            ClientBehavior.of(scenario, streams),
            front,
            Seal(seal_secret(self.seed)),
            self.seen,
            self._clock,
            {machine.host: machine.number for machine in self.script.fleet.machines},
            value(scenario.front.reshuffle, streams.of("front", "reshuffle")),
            slice_index,
            times.start,
            times.start + self.script.length,
            ServiceSeconds(len(scenario.classes), times.start, self.script.length),
        )

    def _draw_clients(self, start: int) -> tuple[list[Client], list[Client]]:
        """Returns the clients of this process: those connected at the start, and those that arrive later."""
        assert self.share.clients is not None
        slice_index, slice_count = self.share.clients
        population = Population(self.scenario, self.script.fleet.parameters, Streams(self.seed), start)
        standing = list(clients_from(population.standing(), 0, True))
        # With pass-through, packets must go where the relays would send them.
        if not self.scenario.relays.pass_through:
            self._choose_hosts(standing)
        coming: list[Client] = []
        for drawn in population.arrivals(POPULATION_STEP_US):
            coming += clients_from(drawn, len(standing) + len(coming), False)
        return standing[slice_index::slice_count], coming[slice_index::slice_count]

    def _choose_hosts(self, standing: list[Client]) -> None:
        rng = Streams(self.seed).of("stands", "hosts")
        weights = np.array([machine.capacity for machine in self.script.initial_servers])
        indexes = rng.choice(len(weights), size=len(standing), p=weights / weights.sum())
        for client, index in zip(standing, indexes.tolist(), strict=True):
            client.host = self.script.initial_servers[index].host

    async def _run_clients(self, crowd: ClientPool, times: Times) -> None:
        standing, coming = self._draw_clients(times.start)
        self._clients = len(standing) + len(coming)
        admitted = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.front.watch, admitted)
            await admitted.wait()
            nursery.start_soon(crowd.open_standing, standing, max(times.fill, self._clock.now_us()))
            nursery.start_soon(crowd.run_arrivals, coming)
            for interval in self.script.unreachable_relays:
                for relay in interval.relays:
                    nursery.start_soon(
                        self._cut_off, crowd, relay, times.start + interval.at, times.start + interval.until
                    )
            for action in self.script.relays:
                if action.kind == "restart":
                    nursery.start_soon(self._retire, crowd, action.target, times.start + action.at)
            nursery.start_soon(self._drop_connections, crowd, times.start)
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

    async def _drop_connections(self, crowd: ClientPool, start: int) -> None:
        assert self.share.clients is not None
        rng = Streams(self.seed).of("stands", "drops", self.share.clients[0])
        for drop in self.script.drops:
            await self._clock.until(start + drop.at)
            crowd.drop(drop.part, drop.over, rng)

    # ---- reports by second ----

    async def _report_seconds(self, times: Times, report_second: Callable[[SecondCounts], None]) -> None:
        for second in range(math.ceil(self.script.length / SECOND_US)):
            await self._clock.until(times.start + (second + 1) * SECOND_US)
            for server in self._servers.values():
                self._loads.setdefault(server.process.host, []).append(server.load())
            if self._crowd is None:
                continue
            now, self._crowd.current_second = self._crowd.current_second, SecondCounts(second + 1)
            now.second, now.standing = second, len(self._crowd.standing)
            report_second(now)


async def _run(event: Coroutine[Any, Any, None]) -> None:
    await event


def seal_secret(seed: int) -> bytes:
    """Returns the key of the seal that clients and push servers of one run share."""
    return f"stand-ins of {seed}".encode()


def _act(server: PushServer, action: Action) -> None:
    match action.kind:
        case "start":
            server.start(cold=True)
        case "send_away":
            server.send_away(int(action.value))
        case "cut":
            server.cut_off(action.relays, ended=bool(action.value))
        case "take_away":
            server.take_away(action.value)
        case "jam":
            server.set_overloaded(bool(action.value))
        case "end" | "drain" | "undrain" | "come_back":
            getattr(server, action.kind)()


class _ServerFactory:
    """Creates push servers as in the model, each with its own random generators."""

    def __init__(self, script: Script, seed: int, seen: Seen, fraction: float) -> None:
        scenario, streams = script.scenario, Streams(seed)
        terms, rules, servers = script.fleet.parameters, scenario.rules, scenario.servers
        self._store = make_store(scenario, streams, terms, fraction)
        self._script, self._streams, self._seen, self._seal = script, streams, seen, Seal(seal_secret(seed))
        self._group_load = terms.group_cost
        self._error_rate = value(servers.error_rate, streams.of("servers", "error_rate"))
        self._park_us = int(value(servers.park_s, streams.of("servers", "park")) * SECOND_US)
        self._cold = rules.cold_share, int(rules.cold_s * SECOND_US)
        self._class_work = {
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
        model_server = Server(machine, fleet.parameters.mean_load, fleet.table_tax, self._group_load)
        zones = [network.zone_of(relay) for relay in range(self._script.scenario.relays.count)]
        round_trips_us = tuple(2 * network.delay_us(zone, machine.zone) for zone in zones)
        return ServerProcess(
            model_server,
            Capacity(fleet.warm_per_s(machine), *self._cold),
            messages,
            self._seen,
            self._streams.of("stands", "server", machine.index),
            self._class_work,
            round_trips_us,
            self._seal,
            self._error_rate,
            self._park_us if self._script.scenario.relays.pass_through else 0,
            self._store,
        )
