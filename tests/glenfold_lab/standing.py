"""A relay in this process that follows a stand-in agent and calls stand-in push servers."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np
import relaying
import trio
import trio.testing

from glenfold.clock import Clock
from glenfold.counters import Counters
from glenfold.decisions import Decisions
from glenfold.destinations import DestinationSet
from glenfold.list_entry import server_number
from glenfold.net.discovery import Discovery
from glenfold.net.exchange import Relay
from glenfold.net.inbound import Inbound
from glenfold_lab.model.fleet import KindParameters, Machine
from glenfold_lab.model.network import Network
from glenfold_lab.model.servers.messages import Messages
from glenfold_lab.model.servers.server import Server
from glenfold_lab.observe import AttemptOutcome, Capacity
from glenfold_lab.spec import Zones
from glenfold_lab.stand_ins.agent import Agent, Change, Entry, ListState
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.push_server import PushServer
from glenfold_lab.stand_ins.push_states import ClassWork, ServerProcess
from glenfold_lab.stand_ins.seal import Seal
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.sockets import format_address
from glenfold_lab.streams import Streams

SEAL = Seal(b"a run's secret")


@dataclass
class World:
    seen: Seen
    clock: MachineClock
    servers: list[PushServer]
    entries: list[Entry]
    agent: Agent
    discovery: Discovery
    shared: Relay
    port: int
    requests_sent: int = 0

    async def open(self, key: int = 7, wait_ms: int = 2000, more: tuple[str, ...] = ()) -> trio.SocketStream:
        self.requests_sent += 1
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        await stream.send_all(SEAL.line(self.requests_sent, key, ["c=watch", *more], wait_ms))
        return stream

    async def answer(self, key: int = 7) -> bytes:
        return await relaying.read_line(await self.open(key))

    def attempt_outcomes(self, server: PushServer) -> list[AttemptOutcome]:
        return [
            values[3]
            for name, values in self.seen.records
            if name == "attempt_over" and values[2] == server.process.number
        ]

    def observations_of(self, kind: str) -> list[tuple[Any, ...]]:
        return [values for name, values in self.seen.records if name == kind]

    async def wait_for_list(self, test: Callable[[DestinationSet], bool]) -> None:
        while not test(self.shared.destinations):
            await trio.sleep(0.01)

    def change(self, seq: int, *entries: Entry) -> None:
        self.agent.apply(Change(seq, entries))


def holder(n: int, seen: Seen, cap: float = 3.0, group_load: float = 0.0, **more: Any) -> ServerProcess:
    host = f"s-{n}"
    kind = KindParameters(
        "m",
        cores=3,
        weight=3.0,
        speed=1.0,
        speed_cv=0.0,
        per_core=33.0,
        cap=cap,
        queue=100.0,
        cold_from=0.2,
        cold_us=10_000_000,
        buffer_s=1.0,
        message_us=1000.0,
        burst=1.0,
    )
    machine = Machine(0, server_number(host), host, kind, 0, 0, 0, speed=1.0, capacity=3e6)
    messages = Messages(Network(Zones(), Streams(0)), [250_000.0])
    messages.add_server(machine)
    return ServerProcess(
        Server(machine, 30_000.0, 0.0, group_load),
        Capacity(2.0, 0.2, 10_000_000),
        messages,
        seen,
        np.random.default_rng(n),
        {"watch": ClassWork(0, 2000.0)},
        (0, 0),
        SEAL,
        **more,
    )


def entry(n: int, dial: str) -> Entry:
    return Entry(f"s-{n}", server_number(f"s-{n}"), dial, "cardiff", "m", block=0, share=1.0)


@asynccontextmanager
async def world(folder: Path, servers: int = 2, **more: Any) -> AsyncIterator[World]:
    clock, seen, config = MachineClock(), Seen(), relaying.config(folder)
    async with trio.open_nursery() as nursery:
        push_servers = [
            PushServer(holder(n, seen, **more), clock, [f"127.9.1.{n + 1}"]) for n in range(servers)
        ]
        entries = [
            entry(n, format_address(push_server.addresses[0])) for n, push_server in enumerate(push_servers)
        ]
        agent = Agent([0], "127.9.2.1", ListState(1, entries), seen, clock)
        relay_clock, destinations = Clock(), DestinationSet(config.names)
        decisions = Decisions(config.settings, config.seed, relay_clock)
        shared = Relay(config, relay_clock, decisions, destinations, Counters())
        shared.ready.set()
        discovery = Discovery(agent.address, destinations, decisions.submit, shared.counters)
        listener = trio.socket.socket()
        await listener.bind(("127.0.0.1", 0))
        listener.listen()
        for serve in (*(push_server.serve for push_server in push_servers), agent.serve):
            await nursery.start(serve)
        for task in (decisions.run, discovery.follow):
            nursery.start_soon(task)
        nursery.start_soon(Inbound(shared).serve, listener, nursery)
        for push_server in push_servers:
            push_server.start(cold=False)
        world_state = World(
            seen, clock, push_servers, entries, agent, discovery, shared, listener.getsockname()[1]
        )
        await world_state.wait_for_list(
            lambda destinations: all(destinations.address(entry.number) for entry in entries)
        )
        yield world_state
        nursery.cancel_scope.cancel()
        listener.close()


def play(folder: Path, script: Any, **more: Any) -> Seen:
    """Runs `script` in virtual time, which advances when no task has more to do at the current time."""
    seen: list[Seen] = []

    async def main() -> None:
        async with world(folder, **more) as world_state:
            seen.append(world_state.seen)
            await script(world_state)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))
    return seen[0]
