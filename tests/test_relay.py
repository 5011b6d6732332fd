"""One small test for each failure that the relay guards against, on loopback sockets."""

import errno
import json
import os
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import pytest
import relaying
import trio
import trio.testing
from driver import Gateway, listed
from relaying import OPEN, entry, read_line, relay, whole

from glenfold import lines
from glenfold.config import Config, ConfigError, read_again
from glenfold.counters import Counters
from glenfold.daemon.process import Process, dispatch_signals, finish_requests
from glenfold.destinations import BadList, DestinationSet
from glenfold.list_entry import server_number
from glenfold.net import sockets
from glenfold.net.discovery import Discovery
from glenfold.net.exchange import Relay
from glenfold.shutdown import ShutdownSchedule
from linnetspread import interface
from linnetspread.hashing import SEEDS

ClientScript = Callable[[Relay, int], Awaitable[None]]


@pytest.fixture
def conf(tmp_path: Path) -> Config:
    return relaying.config(tmp_path)


def run_relay(
    conf: Config, handler: relaying.Handler, client: ClientScript, clock: trio.abc.Clock | None = None
) -> Relay:
    relays_started: list[Relay] = []

    async def main() -> None:
        async with relay(conf, handler) as (shared, _, port):
            relays_started.append(shared)
            await client(shared, port)

    trio.run(main, clock=clock)
    return relays_started[0]


async def up_and_echo(stream: trio.SocketStream) -> None:
    first = await read_line(stream)
    assert first.startswith(b"OPEN 9b1f03aa 7f3a9c21e0b4d655 c=watch,t=valleys,d=")
    assert first.endswith(b",zz=1,g=5c0f\r\n")  # fields unknown to the relay are forwarded unchanged
    await stream.send_all(b"UP r1\r\nLOAD 50.5\r\n")
    while line := await read_line(stream):
        await stream.send_all(line)


async def open_connection(port: int) -> trio.SocketStream:
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(OPEN)
    return stream


def test_lines_pass_both_ways_and_a_half_close_is_forwarded(conf: Config) -> None:
    async def client(shared: Relay, port: int) -> None:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(b"PING\r\n" + OPEN)
        received_lines = [await read_line(stream) for _ in range(3)]
        assert received_lines == [b"PONG\r\n", b"UP r1\r\n", b"LOAD 50.5\r\n"]
        await stream.send_all(b"M 1\r\n")
        assert await read_line(stream) == b"M 1\r\n"
        await stream.send_eof()
        assert await read_line(stream) == b""

    # The clock stands still, so that only the half-close can end the connection, not a timeout.
    shared = run_relay(conf, up_and_echo, client, trio.testing.MockClock())
    assert (shared.counters.answered_up, shared.counters.ended, shared.counters.faults) == (1, 1, 0)


@pytest.mark.parametrize("wait", [b"2000", b"4294967"])  # 2 ** 32 us stands for no deadline
@pytest.mark.parametrize("answer", [b"UP r1\r\n", b"BUSY\r\n"])
def test_an_existing_connection_goes_to_its_server_and_no_other(
    conf: Config, answer: bytes, wait: bytes
) -> None:
    async def server(stream: trio.SocketStream) -> None:
        assert b",at=s-0," in await read_line(stream)
        await stream.send_all(answer)
        await trio.sleep_forever()

    async def client(shared: Relay, port: int) -> None:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(OPEN.replace(b",zz=1", b",at=s-0,zz=1").replace(b"2000", wait))
        assert await read_line(stream) == (answer if answer.startswith(b"UP") else lines.FAILED)

    counters = run_relay(conf, server, client).counters
    assert (counters.existing, counters.calls, counters.faults) == (1, 1, 0)


def test_an_existing_connection_may_give_any_wait_time(conf: Config) -> None:
    async def server(stream: trio.SocketStream) -> None:
        _, _, wait = (await read_line(stream)).partition(b",d=")
        assert 50_000 < int(wait.split(b",")[0]) <= lines.MAX_WAIT_MS
        await stream.send_all(b"UP r1\r\n")
        await trio.sleep_forever()

    async def client(shared: Relay, port: int) -> None:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(b"OPEN 9b1f 7f3a c=watch,d=4294967,at=s-0\r\n")  # 2 ** 32 us: no deadline
        assert await read_line(stream) == b"UP r1\r\n"

    assert run_relay(conf, server, client).counters.malformed == 0


def test_a_reset_is_forwarded_while_both_directions_are_read(conf: Config) -> None:
    async def reset(stream: trio.SocketStream) -> None:
        await read_line(stream)
        await stream.send_all(b"UP r1\r\n")
        await read_line(stream)
        sockets.reset_on_close(stream.socket)

    async def client(shared: Relay, port: int) -> None:
        stream = await open_connection(port)
        await read_line(stream)
        await stream.send_all(b"M 1\r\n")
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(1)
        while shared.standing:
            await trio.lowlevel.checkpoint()

    assert run_relay(conf, reset, client).counters.faults == 0


def test_the_client_of_a_silent_server_is_moved_before_it_asks_twice(conf: Config) -> None:
    clock = trio.testing.MockClock()

    async def silent(stream: trio.SocketStream) -> None:
        await read_line(stream)
        await stream.send_all(b"UP r1\r\n")
        await read_line(stream)
        clock.jump(1.5)
        await trio.sleep_forever()

    async def client(shared: Relay, port: int) -> None:
        stream = await open_connection(port)
        await read_line(stream)
        await stream.send_all(b"M 1\r\n")
        assert await read_line(stream) == b"MOVE\r\n"
        assert await read_line(stream) == b""

    assert run_relay(conf, silent, client, clock).counters.silent == 1


def test_a_client_that_does_not_read_does_not_count_as_a_silent_server(conf: Config) -> None:
    clock = trio.testing.MockClock()

    async def flood(stream: trio.SocketStream) -> None:
        await read_line(stream)
        await stream.send_all(b"UP r1\r\n")
        while True:
            await stream.send_all(b"N" * 4000 + b"\r\n")

    async def client(shared: Relay, port: int) -> None:
        stream = await open_connection(port)
        await read_line(stream)
        for _ in range(3):
            await trio.testing.wait_all_tasks_blocked(0.05)
            await stream.send_all(b"M 1\r\n")
            clock.jump(6.0)
        await trio.testing.wait_all_tasks_blocked()
        assert len(shared.standing) == 1

    assert run_relay(conf, flood, client, clock).counters.silent == 0


def test_a_move_waits_for_a_complete_line_even_with_a_slow_client(conf: Config) -> None:
    async def flood(stream: trio.SocketStream) -> None:
        await read_line(stream)
        await stream.send_all(b"UP r1\r\n")
        with suppress(trio.BrokenResourceError):  # the relay closes it after MOVE
            while True:
                await stream.send_all(b"N" * 3000 + b"\r\n")

    async def client(shared: Relay, port: int) -> None:
        stream = await open_connection(port)
        await trio.testing.wait_all_tasks_blocked(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(next(iter(shared.standing)).move)
            await trio.testing.wait_all_tasks_blocked(0.05)
            received_lines = b"".join([part async for part in stream])
        *whole_lines, last, rest = received_lines.split(b"\r\n")
        assert (last, rest) == (b"MOVE", b"") and set(whole_lines) == {b"UP r1", b"N" * 3000}

    run_relay(conf, flood, client, trio.testing.MockClock())


@pytest.mark.parametrize("load", [b"nan", b"inf", b"-1", b"much", b"1e300"])
def test_an_invalid_load_never_reaches_the_decisions(load: bytes) -> None:
    assert lines.parse_load(load) is None
    assert lines.parse_load(b"20205.057") == 20205.057


def test_a_refusal_is_sent_at_once_with_a_retry_time(conf: Config) -> None:
    async def busy(stream: trio.SocketStream) -> None:
        await read_line(stream)
        await stream.send_all(b"BUSY\r\n")

    async def client(shared: Relay, port: int) -> None:
        word, wait_ms = (await read_line(await open_connection(port))).split()
        assert word == b"BUSY" and 233 <= int(wait_ms) <= 700

    # The clock stands still, so a delayed answer would never arrive.
    run_relay(conf, busy, client, trio.testing.MockClock())


@pytest.mark.parametrize(
    "line",
    [
        b"OPEN 1 2\r\n",
        b"GET / HTTP/1.1\r\n",
        b"OPEN 1 2 c=nobody,d=5\r\n",
        b"OPEN 1 2 c=watch\r\n",
        b"OPEN 1 xyz c=watch,d=5\r\n",
        b"OPEN 1 2 c=watch,d=-5\r\n",
        b"OPEN 1 2 c=watch,d=5,d=6\r\n",
        b"OPEN 1 2 c=watch,d=5,at=s-9\r\n",
        b"x" * 5000,
        b"OPEN 1 2 c=wat",
        b"OPEN 1 2 c=watch,d=0\r\n",
        b"OPEN 1 2 c=watch,d=9999999999\r\n",
        b"OPEN 1 2 c=watch,d=soon\r\n",
        OPEN + b"M 1\r\n",
        OPEN * 300,
    ],
)
def test_a_bad_first_line_gets_one_failure_and_reaches_no_server(conf: Config, line: bytes) -> None:
    async def never(stream: trio.SocketStream) -> None:
        raise AssertionError("a push server was called")

    async def client(shared: Relay, port: int) -> None:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(line)
        await stream.send_eof()
        assert await read_line(stream) == lines.FAILED
        assert await read_line(stream) == b""

    counters = run_relay(conf, never, client).counters
    assert (counters.malformed, counters.calls) == (1, 0)


def test_the_longest_class_limits_the_wait_time_of_a_request(tmp_path: Path) -> None:
    classes = [{**relaying.SETTINGS["classes"][0], "hard_limit_us": 90_000_000}]
    conf = relaying.config(tmp_path, settings={**relaying.SETTINGS, "classes": classes})

    async def client(shared: Relay, port: int) -> None:
        streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(2)]
        waits = (b"90000", b"UP r1\r\n"), (b"90001", lines.FAILED)
        for stream, (wait, word) in zip(streams, waits, strict=True):
            await stream.send_all(OPEN.replace(b"2000", wait))
            assert await read_line(stream) == word

    run_relay(conf, up_and_echo, client, trio.testing.MockClock())


@pytest.mark.parametrize("up", [True, False])
def test_the_id_of_another_open_request_is_refused_and_reaches_no_server(conf: Config, up: bool) -> None:
    async def server(stream: trio.SocketStream) -> None:
        assert b"9b1f03aa" in await read_line(stream)
        await (stream.send_all(b"UP r1\r\n") if up else trio.sleep_forever())
        assert await read_line(stream) == b""

    async def client(shared: Relay, port: int) -> None:
        stream = await open_connection(port)
        await (read_line(stream) if up else trio.testing.wait_all_tasks_blocked(0.05))
        assert await read_line(await open_connection(port)) == lines.FAILED
        await stream.aclose()
        while shared.ids:
            await trio.lowlevel.checkpoint()

    # After the end of the request its id is free again, and no state of it is left.
    assert run_relay(conf, server, client, trio.testing.MockClock()).counters.calls == 1


def test_a_client_that_does_not_wait_for_its_answer_gets_a_failure(conf: Config) -> None:
    called, call_ended = trio.Event(), trio.Event()

    async def server(stream: trio.SocketStream) -> None:
        await read_line(stream)
        called.set()
        assert await read_line(stream) == b""  # no more data of this client arrives and the call ends
        call_ended.set()

    async def client(shared: Relay, port: int) -> None:
        stream = await open_connection(port)
        await called.wait()
        await stream.send_all(b"frob\r\n" * 300)
        assert await read_line(stream) == lines.FAILED
        await call_ended.wait()

    run_relay(conf, server, client, trio.testing.MockClock())


def test_silent_clients_displace_each_other_and_no_normal_client(tmp_path: Path) -> None:
    clock = trio.testing.MockClock()
    conf = relaying.config(tmp_path, limits={"sockets": 40})  # allows three clients without a first line

    async def client(shared: Relay, port: int) -> None:
        silent = []
        for _ in range(5):
            silent.append(await trio.open_tcp_stream("127.0.0.1", port))
            await trio.testing.wait_all_tasks_blocked(0.01)
        for stream in silent[:2]:  # the oldest clients are refused at once
            assert await read_line(stream) == lines.FAILED
        normal_client = await open_connection(port)
        assert await read_line(normal_client) == b"UP r1\r\n"
        await silent[-1].send_all(lines.PING + lines.LINE_END)
        assert await read_line(silent[-1]) == lines.PONG
        clock.jump(2.5)  # the others time out, whatever they sent before a complete first line
        for stream in silent[3:]:
            assert await read_line(stream) == lines.FAILED

    counters = run_relay(conf, up_and_echo, client, clock).counters
    assert (counters.silent_clients, counters.crowded_out) == (5, 3)


def test_a_client_that_floods_is_cut_off_before_all_its_data_is_read(conf: Config) -> None:
    async def client(shared: Relay, port: int) -> None:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        with pytest.raises(trio.BrokenResourceError):
            while True:  # the clock stands still, so only the limit on bytes can end it
                await stream.send_all(b"k" * 65536)

    assert run_relay(conf, up_and_echo, client, trio.testing.MockClock()).counters.malformed == 1


@pytest.mark.parametrize(
    ("limits", "taken"),
    [({"sockets": 256, "memory_mb": 192}, 101), ({"sockets": 1024, "memory_mb": 32}, 250)],
)
def test_room_is_within_descriptors_and_memory(tmp_path: Path, limits: dict[str, int], taken: int) -> None:
    assert relaying.config(tmp_path, limits=limits).connection_limits.max_accepted == taken


def test_a_client_is_refused_at_once_when_no_descriptor_is_left(conf: Config) -> None:
    class NoneLeft:
        def __init__(self, inner: trio.socket.SocketType) -> None:
            self.inner, self.calls = inner, 0

        async def accept(self) -> object:
            self.calls += 1
            if self.calls == 1:
                raise OSError(errno.EMFILE, "none left")
            return await self.inner.accept()

        def fileno(self) -> int:
            return self.inner.fileno()

    async def main() -> None:
        async with relay(conf, up_and_echo) as (shared, inbound, _), trio.open_nursery() as nursery:
            with trio.socket.socket() as listener:
                await listener.bind(("127.0.0.1", 0))
                listener.listen()
                nursery.start_soon(inbound.serve, NoneLeft(listener), nursery)  # type: ignore[arg-type]
                port = listener.getsockname()[1]
                assert await read_line(await open_connection(port)) == b"BUSY 700\r\n"
                assert await read_line(await open_connection(port)) == b"UP r1\r\n"
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_at_sigterm_connections_stay_for_a_while_and_are_then_moved_one_by_one(conf: Config) -> None:
    clock = trio.testing.MockClock()

    async def client(shared: Relay, port: int) -> None:
        streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(4)]
        for n, stream in enumerate(streams):
            await stream.send_all(OPEN.replace(b"9b1f03aa", b"%08x" % n))
            await read_line(stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(finish_requests, ShutdownSchedule(trio.current_time(), conf.settings), shared)
            for passed, standing in ((1.5, 4), (0.2, 3), (0.4, 2), (1.2, 0)):
                clock.jump(passed)
                for _ in range(3):  # the end of a loopback socket may take several turns to arrive
                    await trio.testing.wait_all_tasks_blocked(0.01)
                assert len(shared.standing) == standing
            for stream in streams:
                assert (await stream.receive_some()).endswith(lines.MOVE)
                await stream.aclose()  # the relay waits for that
            await trio.testing.wait_all_tasks_blocked(0.01)
            clock.jump(0.05)  # to its next look

    async def server(stream: trio.SocketStream) -> None:
        await read_line(stream)
        await stream.send_all(b"UP r1\r\n")
        await read_line(stream)

    run_relay(conf, server, client, clock)


def test_a_relay_without_clients_ends_at_once(conf: Config) -> None:
    async def client(shared: Relay, port: int) -> None:
        started_at = trio.current_time()
        await finish_requests(ShutdownSchedule(started_at, conf.settings, 30.0), shared)
        assert trio.current_time() - started_at < 1.0

    run_relay(conf, up_and_echo, client, trio.testing.MockClock(autojump_threshold=0.05))


def test_partial_gathered_writes_continue_where_they_stopped() -> None:
    data = bytearray(OPEN)
    pieces = lines.parse_open(data, len(data)).with_wait(7)
    text = b"".join(pieces)
    assert text == OPEN.replace(b"d=2000", b"d=7")
    for sent in range(len(text) + 1):
        assert b"".join(lines.remaining_pieces(pieces, sent)) == text[sent:]


def test_server_numbers_do_not_depend_on_process_or_order() -> None:
    assert server_number("s-5be2a07c") == 386416519


def test_an_invalid_list_changes_nothing_and_terminated_servers_are_removed(conf: Config) -> None:
    destinations = DestinationSet(conf.names)
    destinations.read(whole(entry("s-1"), entry("s-2"), seq=2))
    for bad in ([], {"seq": 2}, {"seq": 1, "whole": False, "hosts": [entry("s-1", health="terminated")]}):
        with pytest.raises(BadList):
            destinations.read(bad)
    assert destinations.address(server_number("s-1")) == ("127.0.0.1", 1)
    change = destinations.read({"seq": 3, "whole": False, "hosts": [entry("s-1", health="terminated")]})
    assert (change.kind, change.servers[0].zone) == (interface.ListKind.DELTA, 1)
    assert destinations.address(server_number("s-1")) is None
    assert destinations.address(server_number("s-2")) == ("127.0.0.1", 1)


@pytest.mark.parametrize(
    "bad",
    [
        entry("s-1", health="odd"),
        entry("s-1", dial="nowhere"),
        entry("s-1", dial=7),
        entry("s-1", born_ms="x"),
        entry("s-1", share=float("nan")),
        entry("s-1", site=[]),
        {"host": "s-1"},
        7,
    ],
)
def test_an_invalid_entry_affects_neither_other_entries_nor_the_earlier_record(
    conf: Config, bad: object
) -> None:
    destinations = DestinationSet(conf.names)
    destinations.read(whole(entry("s-1"), entry("s-3")))
    server_list = destinations.read({"seq": 2, "whole": True, "hosts": [bad, entry("s-2")]})
    ready_servers = {line.server for line in server_list.servers if line.state is interface.ServerState.READY}
    addressed = {
        server_number(host)
        for host in ("s-1", "s-2", "s-3")
        if destinations.address(server_number(host)) is not None
    }
    known = {server_number("s-1"), server_number("s-2")} if bad != 7 else {server_number("s-2")}
    assert ready_servers == addressed == known and len(destinations.problems) == 1


def test_an_older_whole_list_is_applied_but_restores_no_departed_server(conf: Config) -> None:
    """An agent may be behind the previous one or number anew; draining servers get no new connections."""
    destinations = DestinationSet(conf.names)
    first_list = destinations.read(whole(entry("s-1"), entry("s-2"), entry("s-3"), seq=40))
    destinations.read(
        {
            "seq": 41,
            "whole": False,
            "hosts": [entry("s-1", health="terminating"), entry("s-2", health="terminated")],
        }
    )
    repeated_list = destinations.read(whole(entry("s-1"), entry("s-2"), entry("s-4"), seq=7))
    drains, ready = interface.ServerState.DRAINING, interface.ServerState.READY
    assert [line.state for line in repeated_list.servers] == [drains, drains, ready]
    assert repeated_list.version > first_list.version and destinations.address(server_number("s-3")) is None
    restored = destinations.read({"seq": 8, "whole": False, "hosts": [entry("s-2", born_ms=5)]})
    assert restored.servers[0].state is interface.ServerState.READY


def test_two_hosts_with_the_same_number_are_not_mixed_up(
    conf: Config, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("glenfold.destinations.server_number", lambda host: 5)
    destinations = DestinationSet(conf.names)
    assert len(destinations.read(whole(entry("s-1"), entry("s-2"))).servers) == 1
    assert (destinations.number_of_host("s-1"), destinations.number_of_host("s-2")) == (5, None)


def test_a_request_whose_decision_fails_is_answered_at_once(conf: Config) -> None:
    async def client(shared: Relay, port: int) -> None:
        def fail(now: int, event: interface.Event) -> list[interface.Action]:
            raise KeyError(0)

        shared.decisions.dispatch.balancer.handle = fail  # type: ignore[method-assign]
        assert await read_line(await open_connection(port)) == lines.FAILED

    run_relay(conf, up_and_echo, client, trio.testing.MockClock())


class Agent:
    """A discovery agent on an ephemeral port that answers with one list, then a watch without changes."""

    def __init__(self, on_watch: Callable[[], None], *entries: dict[str, object], seq: int = 41) -> None:
        self.requests: list[bytes] = []
        self.body = json.dumps(whole(*entries, seq=seq)).encode()
        self.on_watch = on_watch
        self.address = ("", 0)

    async def start(self, nursery: trio.Nursery) -> None:
        listeners = await nursery.start(trio.serve_tcp, self.answer, 0)
        self.address = ("127.0.0.1", listeners[0].socket.getsockname()[1])

    async def answer(self, stream: trio.SocketStream) -> None:
        while line := await read_line(stream):
            if line.startswith(b"GET"):
                self.requests.append(line.split()[1])
            if line != b"\r\n":
                continue
            if b"watch" in self.requests[-1]:
                await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n")
                self.on_watch()
                await trio.sleep_forever()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body)
            await stream.send_all(head + self.body)


@pytest.mark.parametrize("text", [b"{", b"[" * 200_000, b'{"seq":"x"}', b"\xff"])
def test_an_invalid_list_never_ends_the_relay(conf: Config, text: bytes) -> None:
    async def on_list(servers: interface.ServerList) -> None:
        raise AssertionError("an invalid document was accepted as a list")

    discovery = Discovery(("127.0.0.1", 9), DestinationSet(conf.names), on_list, Counters())
    with pytest.raises(BadList):
        trio.run(discovery._apply, text)


def test_sighup_switches_discovery_and_a_faulty_file_changes_nothing(tmp_path: Path) -> None:
    watched = [trio.Event(), trio.Event()]
    agents = [Agent(watched[0].set, entry("s-1")), Agent(watched[1].set, entry("s-1"), entry("s-2"))]

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for agent in agents:
                await agent.start(nursery)
            old, new = ("{}:{}".format(*agent.address) for agent in agents)
            conf = relaying.config(tmp_path, {"LB_DISCOVERY": old})
            environment = {"LB_DISCOVERY": old, "LB_CONFIG": str(tmp_path / "config.json")}
            process = Process(conf, lambda current: read_again(environment, current))
            shared, destinations = process.relay, process.relay.destinations
            nursery.start_soon(process.discovery.follow)
            await watched[0].wait()
            for faulty_changes in ({"discovery": "nowhere"}, {"discovery": new, "settings": {}}):
                relaying.write_config(tmp_path, **faulty_changes)
                process.reload()
            assert shared.config == conf and not watched[1].is_set()
            relaying.write_config(tmp_path, discovery=new, limits={"sockets": 300}, name="other")
            with trio.open_signal_receiver(signal.SIGHUP) as signals:
                os.kill(os.getpid(), signal.SIGHUP)  # without a handler it would end the process
                nursery.start_soon(dispatch_signals, signals, {signal.SIGHUP: process.reload})
                await watched[1].wait()
            # On reload the address in the file applies, although the environment overrides it at the start.
            assert (shared.config.connection_limits.max_awaiting_first_line, shared.config.name) == (
                35,
                "relay",
            )
            assert (shared.counters.reloads, shared.counters.reloads_refused) == (1, 2)
            assert destinations.address(server_number("s-1")) == ("127.0.0.1", 1)
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"settings": {}}, "settings.classes"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"listen": "nowhere"}, "listen"),
        ({"seed": "zz"}, "seed"),
        ({"known": []}, "known"),
        ({"discovery": 7}, "discovery"),
        ({"settings": {"classes": [{"name": "watch", "worth": float("nan")}]}}, "settings.classes.0.worth"),
    ],
)
def test_a_faulty_configuration_names_its_key(tmp_path: Path, change: dict[str, object], key: str) -> None:
    with pytest.raises(ConfigError, match=f"^{key}"):
        relaying.config(tmp_path, **change)


def test_the_environment_overrides_the_file(tmp_path: Path) -> None:
    assert relaying.config(tmp_path, {"LB_LISTEN": "127.9.9.9:1"}).listen == ("127.9.9.9", 1)


@pytest.mark.parametrize(("weight", "stays_at_home"), [(2.0, True), (0.8, False)])
def test_a_weak_server_is_full_sooner_without_delay_reports(weight: float, stays_at_home: bool) -> None:
    """On sockets no message delays are reported, so only load and listed weight show a weak server."""
    gateway = Gateway(servers=0, weighted=True)
    gateway.servers(
        interface.ListKind.CACHED, *(listed(100 + n, weight=weight if n == 0 else 2.0) for n in range(4))
    )
    keys: dict[int, list[int]] = {100 + n: [] for n in range(4)}
    requests_by_server: dict[int, list[int]] = {server: [] for server in keys}
    anchor = gateway.balancer.anchor
    assert anchor is not None
    for key in range(1, 400):
        keys[anchor.lookup(key, SEEDS[0]) or 0].append(key)
    for turn in range(12):  # the same load on every server
        for server in keys:
            requests_by_server[server].append(gateway.open(keys[server][turn]))
    at_home = sum(gateway.server_of[number] == 100 for number in requests_by_server[100])
    # 12 connections are within a strong server's share of 48 and far beyond a weak server's.
    assert (at_home == 12) == stays_at_home


def test_the_names_of_kinds_come_from_the_settings(conf: Config) -> None:
    assert conf.settings.kinds == ("m",)
