"""Watches that fall silent: the time until a relay has the changes that it missed.

Runs on loopback sockets with a virtual clock; all times are in seconds of that clock.
"""

import json
import math
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from itertools import pairwise
from pathlib import Path

import pytest
import relaying
import trio
import trio.testing
from relaying import entry, read_line, whole
from test_discovery import OK, WATCH_PATH, WHOLE_LIST_PATH, unavailable_response, whole_list_response

from glenfold.counters import Counters
from glenfold.daemon.process import Process, calls_spread_s
from glenfold.destinations import DestinationSet
from glenfold.net.discovery import (
    ANSWER_TIMEOUT_S,
    CALL_INTERVAL_S,
    LOOP_LAG_MARGIN_S,
    MAX_ASKING_ANSWER_S,
    MAX_LIST_DELAY_S,
    MAX_WATCH_SILENCE_S,
    RETRY_DELAY_S,
    Discovery,
    ObjectReader,
)
from linnetspread.interface import ServerList, Settings

HEAD = OK + b"Transfer-Encoding: chunked\r\n\r\n"
Answer = Callable[["Agent", trio.SocketStream], Awaitable[None]]


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


def change(seq: int, indent: int | None = None) -> bytes:
    return json.dumps(whole(entry("s-2"), seq=seq) | {"whole": False}, indent=indent).encode() + b"\n"


class Agent:
    """A discovery agent that answers calls in the order of a script, and all further ones like the last.

    `requests` has the time and the target of each call, `received` the time and the version of each list that
    the relay applied.
    """

    def __init__(
        self, folder: Path, *script: Answer, known: bool = True, spread_s: float = 0.0, seed: int = 7
    ) -> None:
        self.script, self.seed = script, seed
        self.requests: list[tuple[float, bytes]] = []
        self.received: list[tuple[float, int]] = []
        self.silent_at = math.inf
        self.progress = trio.Event()
        self.may_continue = trio.Event()
        self.may_continue.set()
        self.destinations = DestinationSet(relaying.config(folder).names)
        if known:
            self.destinations.read(whole(entry("s-1"), seq=40), cached=True)
        self.address = ("127.0.0.1", 0)
        self.spread_s = spread_s

    async def on_list(self, servers: ServerList) -> None:
        self.received.append((trio.current_time(), self.destinations.version))
        self.notify()
        await self.may_continue.wait()

    async def answer(self, stream: trio.SocketStream) -> None:
        while (line := await read_line(stream)).startswith(b"GET"):
            while await read_line(stream) != b"\r\n":
                pass
            self.requests.append((trio.current_time(), line.split()[1]))
            self.notify()
            try:
                await self.script[min(len(self.requests), len(self.script)) - 1](self, stream)
            except trio.BrokenResourceError:  # the relay has closed the connection
                return

    async def listen(self, nursery: trio.Nursery) -> None:
        listeners = await nursery.start(trio.serve_tcp, self.answer, 0)
        self.address = ("127.0.0.1", listeners[0].socket.getsockname()[1])

    async def follow(self, nursery: trio.Nursery) -> Discovery:
        if not self.address[1]:
            await self.listen(nursery)
        discovery = Discovery(
            self.address, self.destinations, self.on_list, Counters(), self.spread_s, self.seed
        )
        nursery.start_soon(discovery.follow)
        return discovery

    def notify(self) -> None:
        self.progress.set()
        self.progress = trio.Event()

    async def wait_for_requests(self, times: int) -> None:
        while len(self.requests) < times:
            await self.progress.wait()

    async def wait_for_version(self, version: int) -> float:
        while not (times := [at for at, received in self.received if received == version]):
            await self.progress.wait()
        return times[0]


def run_script(script: Callable[[trio.Nursery], Awaitable[None]], threshold_s: float = 0.02) -> None:
    async def main() -> None:
        with trio.fail_after(300):
            async with trio.open_nursery() as nursery:
                await script(nursery)
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=threshold_s))


def sends(*versions: int, after_s: float = 0.0) -> Answer:
    """Sends these changes, then keeps the watch open with empty lines."""

    async def answer(agent: Agent, stream: trio.SocketStream) -> None:
        await trio.sleep(after_s)
        await stream.send_all(HEAD + b"".join(chunk(change(version)) for version in versions))
        while True:
            await trio.sleep(2.0)
            await stream.send_all(chunk(b"\n"))

    return answer


async def sends_then_falls_silent(agent: Agent, stream: trio.SocketStream) -> None:
    """Falls silent just after an empty line, so that the relay notices as late as possible."""
    await stream.send_all(HEAD + chunk(change(41)))
    await trio.sleep(2.0)
    await stream.send_all(chunk(b"\n"))
    agent.silent_at = trio.current_time()
    await trio.sleep_forever()


async def stays_silent(agent: Agent, stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def resets(agent: Agent, stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()
    raise trio.BrokenResourceError


async def sends_only_a_head(agent: Agent, stream: trio.SocketStream) -> None:
    await stream.send_all(HEAD)
    await trio.sleep_forever()


@pytest.mark.parametrize("relays", [1, 230])
@pytest.mark.parametrize(
    ("asks_service", "failures", "answer_s"),
    [
        (False, (), 0.0),
        (False, (stays_silent,), 0.0),
        (False, (stays_silent, stays_silent), 0.0),
        (False, (sends_only_a_head,), 0.0),
        (False, (resets,) * 4, 0.0),
        (True, (), 2.0),
        (True, (resets,), 0.0),
        (True, (resets, resets), 0.0),
    ],
)
def test_changes_missed_by_a_silent_watch_arrive_within_the_time_limit(
    tmp_path: Path, relays: int, asks_service: bool, failures: tuple[Answer, ...], answer_s: float
) -> None:
    spread_s = calls_spread_s(Settings(gateways=relays, ask_for_list=asks_service))
    script_of_all = sends_then_falls_silent, *failures, sends(42, after_s=answer_s)
    agents = [Agent(tmp_path, *script_of_all, spread_s=spread_s, seed=seed) for seed in range(8)]

    async def script(nursery: trio.Nursery) -> None:
        for agent in agents:
            await agent.follow(nursery)
        delays = [await agent.wait_for_version(42) - agent.silent_at for agent in agents]
        print(
            f"{relays} relays, asks {asks_service}, {len(failures)} between: "
            f"{min(delays):.2f} to {max(delays):.2f} s"
        )
        assert max(delays) <= MAX_LIST_DELAY_S
        # The first call of a new process.
        assert all(agent.requests[0][0] <= MAX_LIST_DELAY_S - 2.0 for agent in agents)
        if spread_s > 1.0:  # the calls are also spread
            firsts = sorted(agent.requests[1][0] - agent.silent_at for agent in agents)
            assert firsts[-1] - firsts[0] > 0.4

    run_script(script)


def test_calls_lost_while_discovery_was_down_delay_the_list_little_after_its_return(tmp_path: Path) -> None:
    """Where lists are pushed, the agent's list counts as received at once, and a drain leaves only 2 s."""
    returns_at = 10.0

    async def swallowed_while_down(agent: Agent, stream: trio.SocketStream) -> None:
        await (stays_silent if trio.current_time() < returns_at else sends(42))(agent, stream)

    agents = [Agent(tmp_path, sends_then_falls_silent, swallowed_while_down, seed=seed) for seed in range(8)]

    async def script(nursery: trio.Nursery) -> None:
        for agent in agents:
            await agent.follow(nursery)
        assert (
            max([await agent.wait_for_version(42) for agent in agents]) - returns_at
            <= ANSWER_TIMEOUT_S + RETRY_DELAY_S
        )

    run_script(script)


def test_empty_lines_keep_a_watch_without_changes_open(tmp_path: Path) -> None:
    agent = Agent(tmp_path, sends())

    async def script(nursery: trio.Nursery) -> None:
        discovery = await agent.follow(nursery)
        await trio.sleep(9.0)
        assert len(agent.requests) == 1 and discovery.heard_at == 8.0

    run_script(script)


def sends_slowly(first_part: bytes, piece: bytes) -> Answer:
    async def answer(agent: Agent, stream: trio.SocketStream) -> None:
        await stream.send_all(HEAD + chunk(change(41)) + first_part)
        agent.silent_at = trio.current_time()
        while piece:
            await trio.sleep(0.5)
            await stream.send_all(piece)
        await trio.sleep_forever()

    return answer


@pytest.mark.parametrize(
    ("first_part", "piece"),
    [
        (b"", b""),  # silent from the start
        (chunk(b'{"seq":42,"who'), b""),  # silent in the middle of a line
        (chunk(b'{"seq":42,"who'), chunk(b"x")),  # a line that never ends
        (chunk(b'{\n  "seq": 42,\n'), chunk(b'  "x": 1,\n')),  # an object that never ends
        (b"1000\r\n{", b" "),  # a chunk that never ends
        (b"1;", b"x"),  # a chunk size that never ends
    ],
)
def test_a_watch_without_complete_lines_counts_as_silent(
    tmp_path: Path, first_part: bytes, piece: bytes
) -> None:
    agent = Agent(tmp_path, sends_slowly(first_part, piece), sends(42))

    async def script(nursery: trio.Nursery) -> None:
        discovery = await agent.follow(nursery)
        await trio.sleep(MAX_WATCH_SILENCE_S - 0.1)
        assert discovery.heard_at == agent.silent_at
        assert (
            await agent.wait_for_version(42) - agent.silent_at <= MAX_WATCH_SILENCE_S + RETRY_DELAY_S + 0.01
        )
        assert [target for _, target in agent.requests] == [WATCH_PATH % 40, WATCH_PATH % 41]

    run_script(script)


def test_a_lagging_loop_drops_no_healthy_watch(tmp_path: Path) -> None:
    """Data that arrived while the loop lagged is read, as is the rest that follows."""
    clock = trio.testing.MockClock()

    async def sound(agent: Agent, stream: trio.SocketStream) -> None:
        await stream.send_all(HEAD + chunk(change(41)))
        for version in range(42, 52):
            for part in (change(version)[:20], change(version)[20:] + b"\n"):
                await trio.testing.wait_all_tasks_blocked()
                if len(part) == 20:
                    clock.jump(2 * MAX_WATCH_SILENCE_S - 0.1)  # the loop does not run before the part is sent
                await stream.send_all(chunk(part))
        await trio.sleep_forever()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            agent = Agent(tmp_path, sound)
            await agent.follow(nursery)
            await agent.wait_for_version(51)
            assert len(agent.requests) == 1
            nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)


def test_lists_are_read_correctly_when_cut_at_any_byte(tmp_path: Path) -> None:
    def piece(version: int) -> bytes:
        return (
            chunk(change(version) + b"\n" + change(version + 1, indent=2))
            + chunk(b"\r\n")
            + chunk(change(version + 2, indent=1) + b"\n")
        )

    versions = range(100, 100 + 3 * len(piece(100)), 3)

    async def cut(agent: Agent, stream: trio.SocketStream) -> None:
        parts = [HEAD[n : n + 1] for n in range(len(HEAD))]
        for at, version in enumerate(versions):
            parts += [piece(version)[:at], piece(version)[at:]]
        parts += [byte.to_bytes() for byte in piece(versions.stop)]
        for part in parts:
            await stream.send_all(part)
            await trio.testing.wait_all_tasks_blocked()
        await trio.sleep_forever()

    agent = Agent(tmp_path, cut)

    async def script(nursery: trio.Nursery) -> None:
        await agent.follow(nursery)
        await agent.wait_for_version(versions.stop + 2)
        assert [version for _, version in agent.received] == [*range(100, versions.stop + 3)]
        assert len(agent.requests) == 1

    run_script(script)


@pytest.mark.parametrize("indent", [None, 0, 1])
def test_reading_an_object_takes_linear_time_in_its_lines(indent: int | None) -> None:
    entries = [entry(f'a "{{[\\" {n}') for n in range(1024)]  # names with quotes and brackets
    lines = json.dumps(whole(*entries), indent=indent).encode().split(b"\n")
    objects, started_s = ObjectReader(), time.process_time()
    assert [bool(objects.take(line)) for line in lines] == [False] * (len(lines) - 1) + [True]
    assert time.process_time() - started_s < 2.0  # about 0.02 s; 17 s if each line rescans the object


@pytest.mark.parametrize(("parts", "is_complete"), [(6, True), (100, False)])
def test_a_whole_list_may_arrive_slowly_within_a_time_limit(
    tmp_path: Path, parts: int, is_complete: bool
) -> None:
    async def slowly(agent: Agent, stream: trio.SocketStream) -> None:
        text = whole_list_response()[:-parts] if is_complete else OK + b"Content-Length: 1000000\r\n\r\n"
        await stream.send_all(text)
        for part in whole_list_response()[-parts:]:
            await trio.sleep(0.8)
            await stream.send_all(part.to_bytes())

    agent = Agent(tmp_path, slowly, sends(42), known=False)

    async def script(nursery: trio.Nursery) -> None:
        await agent.follow(nursery)
        await agent.wait_for_requests(2)
        assert agent.requests[1][1] == (WATCH_PATH % 41 if is_complete else WHOLE_LIST_PATH)
        assert agent.requests[1][0] <= MAX_LIST_DELAY_S + RETRY_DELAY_S + 0.02

    run_script(script)


def test_a_restarted_agent_is_reached_within_the_retry_delay(tmp_path: Path) -> None:
    agent = Agent(tmp_path, sends(41))

    async def script(nursery: trio.Nursery) -> None:
        with trio.socket.socket() as sock:
            await sock.bind(("127.0.0.1", 0))  # refuses connections until it listens
            agent.address = sock.getsockname()
            await agent.follow(nursery)
            await trio.sleep(5.1)
            sock.listen()
            nursery.start_soon(trio.serve_listeners, agent.answer, [trio.SocketListener(sock)])
            assert await agent.wait_for_version(41) - 5.1 <= RETRY_DELAY_S + 0.02

    run_script(script)


def test_a_move_during_the_delivery_of_a_list_drops_the_old_discoverys_further_lists(tmp_path: Path) -> None:
    """Both changes have arrived at the move; the decisions are still applying the first one."""
    old, new = Agent(tmp_path, sends(41, 42)), Agent(tmp_path, sends(43))

    async def script(nursery: trio.Nursery) -> None:
        await new.listen(nursery)
        old.may_continue = trio.Event()
        discovery = await old.follow(nursery)
        await old.wait_for_version(41)
        discovery.move_to(new.address)
        await trio.testing.wait_all_tasks_blocked()
        old.may_continue.set()
        await new.wait_for_requests(1)
        assert new.requests[0][1] == WHOLE_LIST_PATH
        assert [version for _, version in old.received] == [41]

    run_script(script)


def test_a_move_back_during_the_delivery_of_the_new_list_fetches_the_whole_list(tmp_path: Path) -> None:
    async def whole_first(agent: Agent, stream: trio.SocketStream) -> None:
        old.may_continue = trio.Event()
        await stream.send_all(whole_list_response())

    old, new = Agent(tmp_path, sends(42), sends(43)), Agent(tmp_path, whole_first)

    async def script(nursery: trio.Nursery) -> None:
        await new.listen(nursery)
        discovery = await old.follow(nursery)
        await old.wait_for_version(42)
        discovery.move_to(new.address)
        await old.wait_for_version(41)
        discovery.move_to(old.address)
        await trio.testing.wait_all_tasks_blocked()
        old.may_continue.set()
        await old.wait_for_requests(2)
        # The relay must not resume from version 41, which is the other agent's.
        assert [target for _, target in old.requests] == [WATCH_PATH % 40, WHOLE_LIST_PATH]

    run_script(script)


async def refuses(agent: Agent, stream: trio.SocketStream) -> None:
    await stream.send_all(unavailable_response())


@pytest.mark.parametrize("spread_s", [0.0, 23.0])
@pytest.mark.parametrize("refusals", [0, 6])  # before the first call, or after refused ones
def test_a_new_discovery_is_called_at_once_whatever_failures_the_old_one_had(
    tmp_path: Path, spread_s: float, refusals: int
) -> None:
    moved = []
    for seed in range(10):
        old, new = Agent(tmp_path, refuses, spread_s=spread_s, seed=seed), Agent(tmp_path, refuses)

        async def script(nursery: trio.Nursery, old: Agent = old, new: Agent = new) -> None:
            await new.listen(nursery)
            discovery = await old.follow(nursery)
            await old.wait_for_requests(refusals)
            await trio.sleep(0.05)
            at = trio.current_time()
            discovery.move_to(new.address)
            await new.wait_for_requests(2)
            (first, _), (second, _) = new.requests[:2]
            moved.append(first - at)
            assert second - first <= RETRY_DELAY_S + spread_s + 0.01

        run_script(script)
    assert max(moved) <= (0.75 if spread_s else 0.0)
    assert not spread_s or max(moved) - min(moved) > 0.3


def test_an_agent_with_pushed_lists_is_called_at_the_retry_delay(tmp_path: Path) -> None:
    agent = Agent(tmp_path, *[refuses] * 6, sends(41))

    async def script(nursery: trio.Nursery) -> None:
        await agent.follow(nursery)
        assert await agent.wait_for_version(41) <= 6 * RETRY_DELAY_S

    run_script(script)


async def sends_no_list(agent: Agent, stream: trio.SocketStream) -> None:
    await stream.send_all(OK + b"Content-Length: 3\r\n\r\n{}\n")


@pytest.mark.parametrize("answer", [sends_no_list, refuses])
def test_a_service_without_a_whole_list_is_called_as_rarely_as_the_time_limit_allows(
    tmp_path: Path, answer: Answer
) -> None:
    async def sound_once(agent: Agent, stream: trio.SocketStream) -> None:
        await stream.send_all(HEAD + chunk(change(41)) + chunk(b"{}\n"))

    agent = Agent(tmp_path, sound_once, answer, spread_s=23.0)

    async def script(nursery: trio.Nursery) -> None:
        await agent.follow(nursery)
        await agent.wait_for_requests(12)
        times = [at for at, _ in agent.requests]
        gaps = [later - sooner for sooner, later in pairwise(times[1:])]
        assert times[1] - times[0] <= 1.0
        # The answer may still take MAX_ASKING_ANSWER_S after that.
        assert max(gaps) <= MAX_LIST_DELAY_S - MAX_ASKING_ANSWER_S
        assert min(gaps[2:]) >= 0.7 * CALL_INTERVAL_S
        assert {target for _, target in agent.requests[1:]} == {WHOLE_LIST_PATH}

    run_script(script)


async def refuses_late(agent: Agent, stream: trio.SocketStream) -> None:
    await trio.sleep(MAX_ASKING_ANSWER_S)
    await stream.send_all(unavailable_response())


async def answers_as_late_as_allowed(agent: Agent, stream: trio.SocketStream) -> None:
    """Answers a whole-list call or a watch after the longest time allowed."""
    await trio.sleep(MAX_ASKING_ANSWER_S)
    if agent.requests[-1][1] == WHOLE_LIST_PATH:
        text = json.dumps(whole(entry("s-2"), seq=42)).encode()
        await stream.send_all(OK + b"Content-Length: %d\r\n\r\n" % len(text) + text)
    else:
        await sends(42)(agent, stream)


@pytest.mark.parametrize("relays", [230, 3_400])
@pytest.mark.parametrize(
    "fault", [refuses, refuses_late, stays_silent, sends_only_a_head, resets, sends_no_list]
)
def test_a_change_arrives_in_time_after_any_kind_of_failed_call(
    tmp_path: Path, relays: int, fault: Answer
) -> None:
    """Worst case: discovery becomes reachable just after the relay's last failing call has begun."""
    spread_s = calls_spread_s(Settings(gateways=relays, ask_for_list=True))
    agents = [
        Agent(tmp_path, *[fault] * failed, answers_as_late_as_allowed, spread_s=spread_s, seed=seed)
        for seed, failed in enumerate((1, 1, 1, 2, 2, 4))
    ]

    async def script(nursery: trio.Nursery) -> None:
        for agent in agents:
            await agent.follow(nursery)
        for agent in agents:
            heard_at = await agent.wait_for_version(42)
            reached_at = agent.requests[len(agent.script) - 2][0]
            assert heard_at - reached_at <= MAX_LIST_DELAY_S - LOOP_LAG_MARGIN_S + 0.05
        # The first call of a new process.
        assert (
            max(agent.requests[0][0] for agent in agents)
            <= MAX_LIST_DELAY_S - MAX_ASKING_ANSWER_S - LOOP_LAG_MARGIN_S
        )

    run_script(script, threshold_s=0.01)


def test_a_process_that_asks_makes_its_first_call_before_it_counts_as_informed(tmp_path: Path) -> None:
    settings = relaying.SETTINGS | {
        "registry_mode": "ask",
        "replicas_of_me": 230,
        "invariants": {"ask_within_us": 500_000},
    }
    agents = [Agent(tmp_path, sends(41)) for _ in range(8)]

    async def script(nursery: trio.Nursery) -> None:
        for seed, agent in enumerate(agents):
            await agent.listen(nursery)
            written = {"discovery": f"127.0.0.1:{agent.address[1]}", "settings": settings, "seed": f"{seed}"}
            process = Process(relaying.config(tmp_path, **written), lambda config: (config, []))
            process.relay.destinations.read(whole(entry("s-1"), seq=40), cached=True)
            nursery.start_soon(process.discovery.follow)
        for agent in agents:
            await agent.wait_for_requests(1)
        assert 0.1 < max(agent.requests[0][0] for agent in agents) <= 0.5

    run_script(script)
