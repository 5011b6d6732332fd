"""A request that comes again under its id, after its client left, runs no second time where it must not."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
import relaying
import trio
import trio.testing
from relaying import OPEN, read_line

from glenfold.lines import OpenLine
from glenfold.net.exchange import Relay
from glenfold.net.sockets import reset_on_close
from linnetspread import Balancer, interface
from linnetspread.past_runs import PastRun, PastRuns

WINDOW_S = 0.5
REPEATS = 3  # requests with the id of the first one
Script = Callable[[Relay, int, list[bytes]], Awaitable[None]]


def settings_of(semantics: str) -> dict[str, Any]:
    return {
        **relaying.SETTINGS,
        "classes": [
            {
                **relaying.SETTINGS["classes"][0],
                "semantics": semantics,
                "group": "all",
                "window_us": round(WINDOW_S * 1e6),
            }
        ],
    }


async def leave(stream: trio.SocketStream, how: str) -> None:
    if how == "reset":
        reset_on_close(stream.socket)
    if how == "behind unread bytes":
        with suppress(trio.BrokenResourceError):
            await stream.send_all(b"M 1\r\n" * 4000)
    await stream.aclose()


async def ask(port: int, line: bytes = OPEN) -> trio.SocketStream:
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(line)
    return stream


async def wait_until_over(relay: Relay) -> None:
    with trio.fail_after(5.0):
        while relay.ids:
            await trio.sleep(0.005)


def lines_that_ran(folder: Path, semantics: str, answers: bool, script: Script) -> list[bytes]:
    """Returns the first lines that push servers were sent while `script` ran; they answer or stay silent."""
    ran = list[bytes]()

    async def server(stream: trio.SocketStream) -> None:
        ran.append(await read_line(stream))
        with suppress(trio.BrokenResourceError):
            if answers:
                await stream.send_all(b"UP r1\r\n")
            while await stream.receive_some():
                pass

    async def main() -> None:
        conf = relaying.config(folder, settings=settings_of(semantics))
        async with relaying.relay(conf, server, hosts=3) as (relay, _, port):
            await script(relay, port, ran)

    trio.run(main)
    return ran


def comes_again(how: str, pause_s: float, answered: list[bytes]) -> Script:
    """Returns a script in which a client leaves once its request was sent on, and comes again with its id."""

    async def script(relay: Relay, port: int, ran: list[bytes]) -> None:
        first = await ask(port)
        with trio.fail_after(5.0):
            while not ran:
                await trio.sleep(0.005)
        await leave(first, how)
        await wait_until_over(relay)
        await trio.sleep(pause_s)
        for _ in range(REPEATS):
            again = await ask(port)
            with trio.move_on_after(1.0):
                answered.append(await read_line(again))
            await again.aclose()
            await wait_until_over(relay)

    return script


# Guards against a request that must run once and runs again, as its client left and came again (incident 23).
@pytest.mark.parametrize("how", ["end", "reset", "behind unread bytes"])
@pytest.mark.parametrize("server_answers", [False, True])
def test_a_request_that_must_not_be_repeated_runs_once_however_often_it_comes(
    tmp_path: Path, how: str, server_answers: bool
) -> None:
    answered = list[bytes]()
    ran = lines_that_ran(tmp_path, "once", server_answers, comes_again(how, 0.0, answered))
    assert len(ran) == 1 and answered == [b"ERR\r\n"] * REPEATS


# Guards against a keyed request that is repeated after its window, as its client left and came again.
def test_a_keyed_request_that_comes_again_runs_within_its_window_only(tmp_path: Path) -> None:
    late = lines_that_ran(tmp_path, "by_key", True, comes_again("end", WINDOW_S, []))
    assert len(late) == 1
    early = lines_that_ran(tmp_path, "by_key", True, comes_again("end", 0.0, []))
    assert len(early) > 1


@pytest.mark.parametrize("semantics", ["repeatable", "once"])
def test_what_may_come_again_does(tmp_path: Path, semantics: str) -> None:
    """A repeatable request runs again under its id, and so does a connection in mid flow of any class."""
    answered = list[bytes]()

    async def script(relay: Relay, port: int, ran: list[bytes]) -> None:
        line = OPEN if semantics == "repeatable" else OPEN.replace(b"d=2000", b"d=2000,mid=1")
        for stream_line in (OPEN, line, line):
            stream = await ask(port, stream_line)
            answered.append(await read_line(stream))
            await stream.aclose()
            await wait_until_over(relay)

    assert len(lines_that_ran(tmp_path, semantics, True, script)) == 3
    assert answered == [b"UP r1\r\n"] * 3


def test_a_request_that_certainly_never_ran_may_come_again() -> None:
    settings = interface.Settings(classes=(interface.RequestClass(),))
    balancer = Balancer(settings, 1)
    servers = tuple(interface.ListedServer(number, interface.ServerState.READY) for number in (1, 2))
    balancer.handle(1, interface.ServerList(interface.ListKind.FULL, 1, servers))
    attempted = list[bool]()
    for number, outcome in enumerate((interface.Outcome.FULL, interface.Outcome.CANCELLED, None), 1):
        request = interface.Request(number, 2_000_000, key=7, identity=99)
        actions = balancer.handle(10 * number, request)
        attempt = next((action for action in actions if isinstance(action, interface.Attempt)), None)
        attempted.append(attempt is not None)
        if attempt is not None and outcome is not None:
            answer = interface.Answer(number, 1, attempt.server, outcome, done=True)
            balancer.handle(10 * number + 5, answer)
    assert attempted == [True, True, False]


def test_the_first_possible_run_counts_and_the_oldest_is_forgotten() -> None:
    runs = PastRuns(max_runs=3)
    server = interface.ListedServer(1, interface.ServerState.READY)
    for identity, sent_at in ((0, 1), (5, 2), (5, 3), (6, 4), (7, 5), (8, 6)):
        runs.record(identity, PastRun(server, sent_at))
    assert len(runs) == 3 and runs.get(5) is None and runs.get(0) is None
    assert [run.sent_at for identity in (6, 7, 8) if (run := runs.get(identity)) is not None] == [4, 5, 6]
    runs.record(7, PastRun(server, 9))
    first = runs.get(7)
    assert first is not None and first.sent_at == 5


def test_the_identity_of_an_id_is_never_the_one_that_stands_for_none() -> None:
    identities = {
        OpenLine(memoryview(b""), b"%x" % number, 1, 1, (0, 0)).identity() for number in range(1000)
    }
    assert 0 not in identities and len(identities) == 1000
