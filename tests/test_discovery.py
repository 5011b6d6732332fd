"""Recovery of a relay after failures of discovery, on loopback sockets with a virtual clock."""

import json
from pathlib import Path

import pytest
import relaying
import trio
import trio.testing
from relaying import entry, read_line, whole

from glenfold.counters import Counters
from glenfold.destinations import DestinationSet
from glenfold.list_entry import server_number
from glenfold.net.discovery import MAX_ASKING_ANSWER_S, MAX_LIST_DELAY_S, Discovery
from linnetspread import interface

WHOLE_LIST_PATH, WATCH_PATH = b"/v1/servers", b"/v1/servers?watch=1&from=%d"
OK = b"HTTP/1.1 200 OK\r\n"
LIST_BODY = json.dumps(whole(entry("s-1"), seq=41)).encode()


def watch_response(seq: int) -> bytes:
    line = json.dumps(whole(entry("s-2"), seq=seq) | {"whole": False}).encode() + b"\n"
    return OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)


def whole_list_response() -> bytes:
    return OK + b"Content-Length: %d\r\n\r\n" % len(LIST_BODY) + LIST_BODY


def unavailable_response() -> bytes:
    return b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class ScriptedAgent:
    """A discovery agent that answers calls in the order of a script; calls after its end wait for ever.

    `requests` has the time and the target of each call.
    """

    def __init__(self, *script: bytes) -> None:
        self.script = list(script)
        self.requests: list[tuple[float, bytes]] = []
        self.script_done = trio.Event()

    async def answer(self, stream: trio.SocketStream) -> None:
        while line := await read_line(stream):
            if not line.startswith(b"GET"):
                continue
            while await read_line(stream) != b"\r\n":
                pass
            self.requests.append((trio.current_time(), line.split()[1]))
            if not self.script:
                self.script_done.set()
            else:
                await stream.send_all(self.script.pop(0))


def follow(
    tmp_path: Path,
    agent: ScriptedAgent,
    known: bool = False,
    spread_s: float = 0.0,
    received_lists: list[interface.ServerList] | None = None,
) -> list[int]:
    """Follows `agent` to the end of its script and returns the versions received.

    `received_lists` collects the lists themselves.
    """
    versions: list[int] = []

    async def on_list(servers: interface.ServerList) -> None:
        versions.append(destinations.version)
        if received_lists is not None:
            received_lists.append(servers)

    destinations = DestinationSet(relaying.config(tmp_path).names)
    if known:
        destinations.read(whole(entry("s-1"), seq=40), cached=True)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, agent.answer, 0)
            address = ("127.0.0.1", listeners[0].socket.getsockname()[1])
            discovery = Discovery(address, destinations, on_list, Counters(), spread_s, 7)
            nursery.start_soon(discovery.follow)
            await agent.script_done.wait()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.02))
    return versions


def test_a_silent_watch_is_resumed_from_the_version_known(tmp_path: Path) -> None:
    agent = ScriptedAgent(whole_list_response(), watch_response(42), watch_response(43))
    assert follow(tmp_path, agent) == [41, 42, 43]
    assert [target for _, target in agent.requests] == [
        WHOLE_LIST_PATH,
        WATCH_PATH % 41,
        WATCH_PATH % 42,
        WATCH_PATH % 43,
    ]


def test_a_refused_watch_causes_no_second_whole_list(tmp_path: Path) -> None:
    agent = ScriptedAgent(whole_list_response(), unavailable_response(), watch_response(42))
    assert follow(tmp_path, agent) == [41, 42]
    assert [target for _, target in agent.requests][:3] == [WHOLE_LIST_PATH, WATCH_PATH % 41, WATCH_PATH % 41]


def test_a_restarted_relay_asks_only_for_changes_since_its_stored_list(tmp_path: Path) -> None:
    agent = ScriptedAgent(watch_response(41))
    assert follow(tmp_path, agent, known=True) == [41]
    assert agent.requests[0][1] == WATCH_PATH % 40


NO_LIST = OK + b"Content-Length: 2\r\n\r\n{\n"


@pytest.mark.parametrize("bad", [watch_response(39), NO_LIST, b"HTTP/1.1 410 Gone\r\n\r\n"])
def test_a_change_that_does_not_apply_leads_to_a_whole_list(tmp_path: Path, bad: bytes) -> None:
    agent = ScriptedAgent(
        watch_response(41), watch_response(42), bad, whole_list_response(), watch_response(43)
    )
    # A whole list applies whatever its version is.
    assert follow(tmp_path, agent, known=True) == [41, 42, 41, 43]
    assert [target for _, target in agent.requests][3:5] == [WHOLE_LIST_PATH, WATCH_PATH % 41]


def test_overloaded_discovery_is_called_less_often_and_never_for_a_whole_list(tmp_path: Path) -> None:
    agent = ScriptedAgent(*[unavailable_response()] * 12, watch_response(41))
    assert follow(tmp_path, agent, known=True, spread_s=4.0) == [41]
    assert {target for _, target in agent.requests[:13]} == {WATCH_PATH % 40}
    waits = [
        later - sooner for (sooner, _), (later, _) in zip(agent.requests, agent.requests[1:13], strict=False)
    ]
    assert sum(waits[:3]) / 3 < sum(waits[3:]) / 9 and max(waits) <= MAX_LIST_DELAY_S - MAX_ASKING_ANSWER_S


def test_a_slow_answer_of_discovery_is_awaited(tmp_path: Path) -> None:
    """A relay that gave up and called again would be last in the queue and cost discovery another call."""
    agent = ScriptedAgent()
    call_times: list[float] = []

    async def slow(stream: trio.SocketStream) -> None:
        while line := await read_line(stream):
            if line.startswith(b"GET"):
                call_times.append(trio.current_time())
                await trio.sleep(2.9)
                await stream.send_all(watch_response(41))
                agent.script_done.set()

    agent.answer = slow  # type: ignore[method-assign]
    follow(tmp_path, agent, known=True, spread_s=0.1)  # a spread means that lists are asked for, not pushed
    assert len(call_times) == 1


def test_an_incomplete_line_is_dropped_and_requested_again(tmp_path: Path) -> None:
    half = OK + b'Transfer-Encoding: chunked\r\n\r\na\r\n{"seq":43,\r\n0\r\n\r\n'
    agent = ScriptedAgent(watch_response(41), half, watch_response(43))
    assert follow(tmp_path, agent, known=True) == [41, 43]
    assert [target for _, target in agent.requests][:3] == [WATCH_PATH % 40, WATCH_PATH % 41, WATCH_PATH % 41]


def test_an_invalid_entry_affects_no_other_and_restores_no_departed_server(tmp_path: Path) -> None:
    gone = json.dumps(whole(entry("s-1") | {"health": "terminated"}, seq=42) | {"whole": False})
    mixed = json.dumps(whole(entry("s-3") | {"health": "?"}, entry("s-2"), seq=43) | {"whole": False})
    late = json.dumps(whole(entry("s-1"), seq=41))  # a whole list from before the server left
    agent = ScriptedAgent(
        watch_response(41),
        *(
            OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n" % (len(line) + 1, line.encode())
            for line in (gone, mixed, late)
        ),
    )
    received_lists: list[interface.ServerList] = []
    follow(tmp_path, agent, known=True, received_lists=received_lists)
    states = {line.server: line.state for servers in received_lists for line in servers.servers}
    assert states == {
        server_number("s-1"): interface.ServerState.DRAINING,
        server_number("s-2"): interface.ServerState.READY,
    }


def chunked_response(*texts: str) -> bytes:
    line = "".join(texts).encode()
    return OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)


def test_indented_changes_are_applied_one_by_one(tmp_path: Path) -> None:
    changes = [whole(entry(f"s-{seq}"), seq=seq) | {"whole": False} for seq in (42, 43, 44)]
    texts = [json.dumps(change, indent=2) + "\n\n" for change in changes[:2]]
    texts.append(json.dumps(changes[2]) + "\n")
    agent = ScriptedAgent(whole_list_response(), chunked_response(*texts))
    versions = follow(tmp_path, agent)
    assert versions == [41, 42, 43, 44]
    assert [target for _, target in agent.requests] == [WHOLE_LIST_PATH, WATCH_PATH % 41, WATCH_PATH % 44]


@pytest.mark.parametrize("incomplete_text", ['{"seq":42,\n', '{\n  "seq": 42,\n', '{"seq":4"\n'])
@pytest.mark.parametrize(
    "following_text", ["\n", json.dumps(whole(entry("s-2"), seq=43) | {"whole": False}) + "\n"]
)
def test_an_incomplete_object_leads_to_a_whole_list(
    tmp_path: Path, incomplete_text: str, following_text: str
) -> None:
    agent = ScriptedAgent(whole_list_response(), chunked_response(incomplete_text, following_text))
    assert follow(tmp_path, agent) == [41]
    # The relay fetches the whole list at once.
    assert [target for _, target in agent.requests] == [WHOLE_LIST_PATH, WATCH_PATH % 41, WHOLE_LIST_PATH]


def test_only_invalid_and_repeated_entries_of_a_large_list_are_left_out(tmp_path: Path) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    entries = [entry(f"s-{n}") for n in range(1024)]
    faulty, repeated, leaving = entry("s-bad") | {"dial": "nowhere"}, entry("s-7"), entry("s-8")
    server_list = destinations.read(whole(*entries, faulty, repeated, leaving | {"health": "terminating"}))
    assert len(destinations.servers()) == 1024
    assert [("nowhere" in fault, "s-7 " in fault, "s-8 " in fault) for fault in destinations.problems] == [
        (True, False, False),
        (False, True, False),
        (False, False, True),
    ]
    states = {line.server: line.state for line in server_list.servers}
    assert states[server_number("s-7")] is interface.ServerState.READY
    assert states[server_number("s-8")] is interface.ServerState.DRAINING
