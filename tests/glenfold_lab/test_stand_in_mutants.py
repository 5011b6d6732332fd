"""A whole history with a scripted relay: a sound one keeps every rule, each unsound one breaks its own."""

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
from glenfold_lab.stand_ins.service import Second
from glenfold_lab.stand_ins.worker import Share, StandInWorker, Times, end_time

DAY = Scenario(
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

Pass = Callable[[bytes, trio.SocketStream, list[tuple[str, int]]], Awaitable[None]]


async def line_of(stream: trio.SocketStream) -> bytes:
    data = b""
    while not data.endswith(b"\r\n"):
        part = await stream.receive_some()
        if not part:
            return b""
        data += part
    return data


async def pump(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    async for data in source:
        await sink.send_all(data)
    await sink.send_eof()


async def stand(client: trio.SocketStream, server: trio.SocketStream, first: bytes) -> None:
    await client.send_all(first)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pump, server, client)
        await pump(client, server)


async def called(line: bytes, address: tuple[str, int]) -> tuple[trio.SocketStream, bytes]:
    server = await trio.open_tcp_stream(*address)
    await server.send_all(line)
    return server, await line_of(server)


async def sound(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await called(line, servers[len(line) % 2])
    await stand(client, server, answer)


async def answers_twice(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await called(line, servers[0])
    await stand(client, server, answer + answer)


async def answers_itself(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    await client.send_all(b"UP s-0001.123456789abc\r\n")
    await line_of(client)


async def says_nothing(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    await line_of(client)


async def calls_two_at_once(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    async with trio.open_nursery() as nursery:
        for address in servers:
            nursery.start_soon(called, line, address)
    await client.send_all(b"ERR\r\n")


async def cuts(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await called(line, servers[0])
    await client.send_all(answer)
    await line_of(client)


async def holds_lines_back(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await called(line, servers[0])
    await client.send_all(answer)
    said = await line_of(client)
    await trio.sleep(1.5)
    await server.send_all(said)
    await stand(client, server, b"")


async def changes_the_line(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    await sound(line.replace(b",w=", b",w=1"), client, servers)


async def asks_late(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    """Calls every server for each request, whatever it was told."""
    for address in servers:
        server, answer = await called(line, address)
        await server.aclose()
    await client.send_all(b"ERR\r\n")


async def crowds_one(line: bytes, client: trio.SocketStream, servers: list[tuple[str, int]]) -> None:
    server, answer = await called(line, servers[0])
    await stand(client, server, answer)


def verdicts(passing: Pass, *faults: Fault, load: float = 0.05) -> list[Verdict]:
    """In virtual time, with one relay that is up from the start to the end."""
    clients = msgspec.structs.replace(DAY.clients, load=load)
    day = msgspec.structs.replace(DAY, faults=faults, clients=clients)
    found: list[Verdict] = []

    async def main() -> None:
        net, clock = Net(), MachineClock()
        part = StandInWorker(day, 4, Share(0, (0, 1), (0,), (0, 1)), net, sample_interval_s=1.0)
        places = await part.bind()
        servers = [places.servers[index][0] for index in (0, 1)]

        async def relay(client: trio.SocketStream) -> None:
            try:
                async with client:
                    line = await line_of(client)
                    if line == b"PING\r\n":
                        return await client.send_all(b"PONG\r\n")
                    await passing(line, client, servers)
            except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, relay, 0)
            address = listeners[0].socket.getsockname()
            part.seen.relay_up(clock.now_us(), 0)
            begin = clock.now_us() + 500_000
            times = Times(begin, begin + 500_000)

            async def begun() -> Times:
                return times

            def nobody(second: Second) -> None: ...

            await part.play(Addresses(places.servers, places.agents, [address]), begun, nobody)
            nursery.cancel_scope.cancel()
        checker = Checker(day.rules, SLACK_US, keep=1000, start_us=times.start)
        first = [machine.number for machine in part.script.first]
        replay(Reconciler(1, first, False).reconcile(part.seen.records, end_time(day, times)), checker)
        checker.finish(end_time(day, times))
        found.extend(checker.verdicts())
        found.extend(Verdict("protocol", at, None, None, 0, (words,)) for at, _, words in part.seen.faults)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.002))
    return found


def test_a_sound_relay_is_not_caught() -> None:
    assert verdicts(sound) == []


@pytest.mark.parametrize(
    ("passing", "rule"),
    [
        (answers_twice, "answer"),
        (answers_itself, "answer"),
        (says_nothing, "answer"),
        (calls_two_at_once, "attempt"),
        (cuts, "move"),
        (holds_lines_back, "move"),
        (changes_the_line, "protocol"),
    ],
)
def test_an_unsound_relay_is_caught(passing: Pass, rule: str) -> None:
    assert rule in {verdict.rule for verdict in verdicts(passing)}


def test_a_relay_that_goes_on_asking_a_drained_server_is_caught() -> None:
    assert {verdict.rule for verdict in verdicts(asks_late, DRAIN)} == {"drain"}


def test_a_relay_that_crowds_a_cold_server_is_caught() -> None:
    assert "cold" in {verdict.rule for verdict in verdicts(crowds_one, RESTART, load=0.4)}
