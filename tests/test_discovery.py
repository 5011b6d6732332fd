"""How a relay goes on after a fault of discovery, on loopback sockets with a clock that jumps."""

import json
from pathlib import Path

import pytest
import relaying
import trio
import trio.testing
from relaying import entry, read_line, whole

from glenfold.counters import Counters
from glenfold.destinations import DestinationSet, server_number
from glenfold.net.discovery import BUSY_S, MISSED_S, Discovery
from linnetspread import interface as i

WHOLE, WATCH = b"/v1/servers", b"/v1/servers?watch=1&from=%d"
OK = b"HTTP/1.1 200 OK\r\n"
LIST = json.dumps(whole(entry("s-1"), seq=41)).encode()


def change(seq: int) -> bytes:
    line = json.dumps(whole(entry("s-2"), seq=seq) | {"whole": False}).encode() + b"\n"
    return OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)


def whole_list() -> bytes:
    return OK + b"Content-Length: %d\r\n\r\n" % len(LIST) + LIST


def busy() -> bytes:
    return b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class Scripted:
    """Answers the calls one after the other by a script; what has no answer waits for ever. `asked` has each
    call with its moment."""

    def __init__(self, *script: bytes) -> None:
        self.script = list(script)
        self.asked: list[tuple[float, bytes]] = []
        self.over = trio.Event()

    async def answer(self, stream: trio.SocketStream) -> None:
        while line := await read_line(stream):
            if not line.startswith(b"GET"):
                continue
            while await read_line(stream) != b"\r\n":
                pass
            self.asked.append((trio.current_time(), line.split()[1]))
            if not self.script:
                self.over.set()
            else:
                await stream.send_all(self.script.pop(0))


def follow(
    tmp_path: Path,
    agent: Scripted,
    known: bool = False,
    spread_s: float = 0.0,
    told: list[i.ServerList] | None = None,
) -> list[int]:
    """Follows it until its script is used up; the versions heard. `told` takes the lists themselves."""
    heard: list[int] = []

    async def hear(servers: i.ServerList) -> None:
        heard.append(destinations.version)
        if told is not None:
            told.append(servers)

    destinations = DestinationSet(relaying.config(tmp_path).names)
    if known:
        destinations.read(whole(entry("s-1"), seq=40), cached=True)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, agent.answer, 0)
            address = ("127.0.0.1", listeners[0].socket.getsockname()[1])
            discovery = Discovery(address, destinations, hear, Counters(), spread_s, 7)
            nursery.start_soon(discovery.follow)
            await agent.over.wait()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.02))
    return heard


def test_a_watch_that_falls_silent_goes_on_from_the_version_known(tmp_path: Path) -> None:
    agent = Scripted(whole_list(), change(42), change(43))
    assert follow(tmp_path, agent) == [41, 42, 43]
    assert [target for _, target in agent.asked] == [WHOLE, WATCH % 41, WATCH % 42, WATCH % 43]


def test_a_watch_that_never_began_costs_no_second_whole_list(tmp_path: Path) -> None:
    agent = Scripted(whole_list(), busy(), change(42))
    assert follow(tmp_path, agent) == [41, 42]
    assert [target for _, target in agent.asked][:3] == [WHOLE, WATCH % 41, WATCH % 41]


def test_a_restarted_relay_asks_only_for_what_changed_since_its_own_list(tmp_path: Path) -> None:
    agent = Scripted(change(41))
    assert follow(tmp_path, agent, known=True) == [41]
    assert agent.asked[0][1] == WATCH % 40


NO_LIST = OK + b"Content-Length: 2\r\n\r\n{\n"


@pytest.mark.parametrize("bad", [change(39), NO_LIST, b"HTTP/1.1 410 Gone\r\n\r\n"])
def test_a_change_that_has_no_place_ends_in_a_whole_list(tmp_path: Path, bad: bytes) -> None:
    agent = Scripted(change(41), change(42), bad, whole_list(), change(43))
    assert follow(tmp_path, agent, known=True) == [41, 42, 41, 43]  # a whole list holds, whatever its version
    assert [target for _, target in agent.asked][3:5] == [WHOLE, WATCH % 41]


def test_discovery_that_is_overbooked_is_asked_less_and_less_and_never_for_more(tmp_path: Path) -> None:
    agent = Scripted(*[busy()] * 12, change(41))
    assert follow(tmp_path, agent, known=True, spread_s=4.0) == [41]
    assert {target for _, target in agent.asked[:13]} == {WATCH % 40}
    waits = [later - sooner for (sooner, _), (later, _) in zip(agent.asked, agent.asked[1:13], strict=False)]
    assert sum(waits[:3]) / 3 < sum(waits[3:]) / 9 and max(waits) <= MISSED_S - BUSY_S


def test_a_slow_answer_is_waited_for(tmp_path: Path) -> None:
    """Whoever gives up at once and asks again stands last in the queue, and has cost discovery as much."""
    agent = Scripted()
    asked: list[float] = []

    async def slow(stream: trio.SocketStream) -> None:
        while line := await read_line(stream):
            if line.startswith(b"GET"):
                asked.append(trio.current_time())
                await trio.sleep(2.9)
                await stream.send_all(change(41))
                agent.over.set()

    agent.answer = slow  # type: ignore[method-assign]
    follow(tmp_path, agent, known=True, spread_s=0.1)  # where it has to be asked for
    assert len(asked) == 1


def test_half_a_line_is_not_taken_and_asked_for_again(tmp_path: Path) -> None:
    half = OK + b'Transfer-Encoding: chunked\r\n\r\na\r\n{"seq":43,\r\n0\r\n\r\n'
    agent = Scripted(change(41), half, change(43))
    assert follow(tmp_path, agent, known=True) == [41, 43]
    assert [target for _, target in agent.asked][:3] == [WATCH % 40, WATCH % 41, WATCH % 41]


def test_an_entry_with_a_fault_costs_no_other_and_brings_nobody_back(tmp_path: Path) -> None:
    gone = json.dumps(whole(entry("s-1") | {"health": "terminated"}, seq=42) | {"whole": False})
    mixed = json.dumps(whole(entry("s-3") | {"health": "?"}, entry("s-2"), seq=43) | {"whole": False})
    late = json.dumps(whole(entry("s-1"), seq=41))  # a whole list from before it left
    agent = Scripted(
        change(41),
        *(
            OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n" % (len(line) + 1, line.encode())
            for line in (gone, mixed, late)
        ),
    )
    told: list[i.ServerList] = []
    follow(tmp_path, agent, known=True, told=told)
    states = {line.server: line.state for servers in told for line in servers.servers}
    assert states == {server_number("s-1"): i.ServerState.DRAINING, server_number("s-2"): i.ServerState.READY}


def watched(*texts: str) -> bytes:
    line = "".join(texts).encode()
    return OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)


def test_changes_that_come_indented_are_taken_one_by_one(tmp_path: Path) -> None:
    changes = [whole(entry(f"s-{seq}"), seq=seq) | {"whole": False} for seq in (42, 43, 44)]
    texts = [json.dumps(change, indent=2) + "\n\n" for change in changes[:2]]
    texts.append(json.dumps(changes[2]) + "\n")
    agent = Scripted(whole_list(), watched(*texts))
    heard = follow(tmp_path, agent)
    assert heard == [41, 42, 43, 44]
    assert [asked for _, asked in agent.asked] == [WHOLE, WATCH % 41, WATCH % 44]


@pytest.mark.parametrize("torn", ['{"seq":42,\n', '{\n  "seq": 42,\n', '{"seq":4"\n'])
@pytest.mark.parametrize("then", ["\n", json.dumps(whole(entry("s-2"), seq=43) | {"whole": False}) + "\n"])
def test_an_object_that_breaks_off_is_asked_for_again(tmp_path: Path, torn: str, then: str) -> None:
    agent = Scripted(whole_list(), watched(torn, then))
    assert follow(tmp_path, agent) == [41]
    assert [asked for _, asked in agent.asked] == [WHOLE, WATCH % 41, WHOLE]  # told whole, at once


def test_of_a_thousand_entries_only_the_faulty_and_the_repeated_are_left_out(tmp_path: Path) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    entries = [entry(f"s-{n}") for n in range(1024)]
    faulty, repeated, leaving = entry("s-bad") | {"dial": "nowhere"}, entry("s-7"), entry("s-8")
    told = destinations.read(whole(*entries, faulty, repeated, leaving | {"health": "terminating"}))
    assert len(destinations.servers()) == 1024
    assert [("nowhere" in fault, "s-7 " in fault, "s-8 " in fault) for fault in destinations.problems] == [
        (True, False, False),
        (False, True, False),
        (False, False, True),
    ]
    states = {line.server: line.state for line in told.servers}
    assert states[server_number("s-7")] is i.ServerState.READY
    assert states[server_number("s-8")] is i.ServerState.DRAINING
