"""Full histories with a scripted relay: a correct relay keeps every rule, each faulty one breaks one."""

from collections.abc import Awaitable, Callable

import msgspec
import pytest
import trio
import trio.testing

from glenfold_lab.checker import Checker
from glenfold_lab.observe import replay
from glenfold_lab.results import Verdict
from glenfold_lab.spec import Clients, Fault, Relays, RequestClass, Scenario, ServerList, Servers
from glenfold_lab.stand_ins.addresses import Addresses, Net
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.reconciler import SLACK_US, Reconciler
from glenfold_lab.stand_ins.service import SecondCounts
from glenfold_lab.stand_ins.worker import Share, StandInWorker, Times, end_time

SCENARIO = Scenario(
    format=1,
    name="small",
    guards_against="nothing",
    length_s=4.0,
    warm_up_s=0.0,
    classes=(RequestClass(name="watch", deadline_ms=900.0, set_up_ms=100.0),),
    servers=Servers(count=2),
    relays=Relays(count=1, pass_through=False),
    clients=Clients(load=0.05, life_s=3.0, groups=False, standing=False),
    server_list=ServerList(notice_s=0.2, add_s=0.2),
)
DRAIN = Fault(kind="drain", at_s=0.2, count=1, over_s=5.0)
RESTART = Fault(kind="restart_servers", at_s=0.2, count=2, len_s=0.1)

RelayBehaviour = Callable[[bytes, trio.SocketStream, list[tuple[str, int]]], Awaitable[None]]


async def read_line(stream: trio.SocketStream) -> bytes:
    data = b""
    while not data.endswith(b"\r\n"):
        part = await stream.receive_some()
        if not part:
            return b""
        data += part
    return data


async def forward(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    async for data in source:
        await sink.send_all(data)
    await sink.send_eof()


async def forward_both_ways(client: trio.SocketStream, server: trio.SocketStream, first: bytes) -> None:
    await client.send_all(first)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(forward, server, client)
        await forward(client, server)


async def call_server(line: bytes, address: tuple[str, int]) -> tuple[trio.SocketStream, bytes]:
    server = await trio.open_tcp_stream(*address)
    await server.send_all(line)
    return server, await read_line(server)


async def behaves_correctly(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await call_server(line, servers[len(line) % 2])
    await forward_both_ways(client, server, answer)


async def answers_twice(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await call_server(line, servers[0])
    await forward_both_ways(client, server, answer + answer)


async def answers_itself(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    await client.send_all(b"UP s-0001.123456789abc\r\n")
    await read_line(client)


async def never_answers(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    await read_line(client)


async def calls_two_at_once(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    async with trio.open_nursery() as nursery:
        for address in servers:
            nursery.start_soon(call_server, line, address)
    await client.send_all(b"ERR\r\n")


async def cuts_without_move(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await call_server(line, servers[0])
    await client.send_all(answer)
    await read_line(client)


async def holds_lines_back(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await call_server(line, servers[0])
    await client.send_all(answer)
    line_back = await read_line(client)
    await trio.sleep(1.5)
    await server.send_all(line_back)
    await forward_both_ways(client, server, b"")


async def changes_the_line(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    await behaves_correctly(line.replace(b",w=", b",w=1"), client, servers)


async def calls_all_servers(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    """Calls every server for each request, even after a server was listed as draining."""
    for address in servers:
        server, answer = await call_server(line, address)
        await server.aclose()
    await client.send_all(b"ERR\r\n")


async def calls_one_server(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await call_server(line, servers[0])
    await forward_both_ways(client, server, answer)


def play_verdicts(behaviour: RelayBehaviour, *faults: Fault, load: float = 0.05) -> list[Verdict]:
    """Plays a history in virtual time with one relay that runs throughout, and returns the verdicts."""
    clients = msgspec.structs.replace(SCENARIO.clients, load=load)
    scenario = msgspec.structs.replace(SCENARIO, faults=faults, clients=clients)
    found: list[Verdict] = []

    async def main() -> None:
        net, clock = Net(), MachineClock()
        worker = StandInWorker(scenario, 4, Share(0, (0, 1), (0,), (0, 1)), net, sample_interval_s=1.0)
        addresses = await worker.bind()
        servers = [addresses.servers[index][0] for index in (0, 1)]

        async def relay(client: trio.SocketStream) -> None:
            try:
                async with client:
                    line = await read_line(client)
                    if line == b"PING\r\n":
                        return await client.send_all(b"PONG\r\n")
                    await behaviour(line, client, servers)
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, relay, 0)
            address = listeners[0].socket.getsockname()
            worker.seen.relay_up(clock.now_us(), 0)
            begin = clock.now_us() + 500_000
            times = Times(begin, begin + 500_000)

            async def wait_for_start() -> Times:
                return times

            def ignore_second(second: SecondCounts) -> None: ...

            await worker.play(
                Addresses(addresses.servers, addresses.agents, [address]), wait_for_start, ignore_second
            )
            nursery.cancel_scope.cancel()
        checker = Checker(scenario.rules, SLACK_US, keep=1000, start_us=times.start)
        first = [machine.number for machine in worker.script.initial_servers]
        replay(Reconciler(1, first, False).reconcile(worker.seen.records, end_time(scenario, times)), checker)
        checker.finish(end_time(scenario, times))
        found.extend(checker.verdicts())
        found.extend(Verdict("protocol", at, None, None, 0, (words,)) for at, _, words in worker.seen.faults)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.002))
    return found


def test_a_correct_relay_breaks_no_rule() -> None:
    assert play_verdicts(behaves_correctly) == []


@pytest.mark.parametrize(
    ("behaviour", "rule"),
    [
        (answers_twice, "answer"),
        (answers_itself, "answer"),
        (never_answers, "answer"),
        (calls_two_at_once, "attempt"),
        (cuts_without_move, "move"),
        (holds_lines_back, "move"),
        (changes_the_line, "protocol"),
    ],
)
def test_a_faulty_relay_breaks_its_rule(behaviour: RelayBehaviour, rule: str) -> None:
    assert rule in {verdict.rule for verdict in play_verdicts(behaviour)}


def test_a_relay_that_calls_a_drained_server_breaks_the_drain_rule() -> None:
    assert {verdict.rule for verdict in play_verdicts(calls_all_servers, DRAIN)} == {"drain"}


def test_a_relay_that_overloads_a_cold_server_breaks_the_cold_rule() -> None:
    assert "cold" in {verdict.rule for verdict in play_verdicts(calls_one_server, RESTART, load=0.4)}
