"""What the decisions hear in the model is what they hear in a real relay on sockets, event by event, for the
same doings of clients and push servers."""

from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path

import pytest
import relaying
import trio
import trio.testing
from modelled_relays import SETTINGS, Stage

from glenfold.dispatch import Dispatch
from glenfold.net import sockets
from glenfold_lab.observe import End, Over
from linnetspread import interface

Heard = list[tuple[object, ...]]
LINES = {Over.UP: b"UP r1\r\nLOAD 40000.0\r\n", Over.BUSY: b"BUSY\r\n", Over.ERROR: b"ERR\r\n"}


@dataclass(frozen=True)
class Script:
    """answers: of the servers to each attempt; None: nothing, until half of the time that is left has passed.
    end: who ends it then, the client ("client") or its server, and how."""

    name: str
    answers: tuple[Over | None, ...]
    end: str | End | None = None


SCRIPTS = [
    Script("up, and the client goes", (Over.UP,), "client"),
    Script("refused, up, and reset by its server", (Over.BUSY, Over.UP), End.BROKEN),
    Script("reset, up, and moved by its server", (Over.RESET, Over.UP), End.MOVED),
    Script("failed twice", (Over.ERROR, Over.ERROR)),
    Script("no answer, then up, and the client goes", (None, Over.UP), "client"),
    Script("no answer at all", (None, None)),
    Script("the client goes before its answer", (None,), "client"),
]


def listen(dispatch: Dispatch, heard: Heard) -> None:
    handle = dispatch.balancer.handle

    def noting(now: int, event: interface.Event) -> list[interface.Action]:
        parts = [getattr(event, name, None) for name in ("attempt", "outcome", "done", "kind", "amount")]
        if not isinstance(event, interface.ServerList):
            heard.append((type(event).__name__, *parts))
        return handle(now, event)

    dispatch.balancer.handle = noting  # type: ignore[method-assign]


def without_late_timers(heard: Heard) -> Heard:
    """Those of a request that is up or over change nothing, and the clock of the sockets stands still."""
    names = [event[0] for event in heard]
    up = names.index("Established") if "Established" in names else len(names)
    last = max(place for place, name in enumerate(names) if name != "Timer")
    return [event for place, event in enumerate(heard) if event[0] != "Timer" or place < min(up, last)]


def in_the_model(script: Script) -> Heard:
    heard: Heard = []
    stage = Stage(settings=replace(SETTINGS, max_attempts=2))
    answers = list(script.answers)
    stage.servers.answer = lambda call: answers.pop(0)
    listen(stage.relay.dispatch, heard)
    (exchange,) = stage.ask(0)
    stage.run(0.5)
    if len(script.answers) == 2 and script.answers[0] is None:
        stage.run(3)
    if script.end == "client":
        stage.relay.client_left(exchange)
    elif isinstance(script.end, End):
        stage.relay.ended(stage.servers.calls[-1], script.end)
    stage.run(5)
    return without_late_timers(heard)


def on_sockets(script: Script, folder: Path) -> Heard:
    heard: Heard = []
    clock = trio.testing.MockClock()
    answers = list(script.answers)
    silent = 0
    up_or_over = trio.Event()

    async def server(stream: trio.SocketStream) -> None:
        nonlocal silent
        await relaying.read_line(stream)
        answer = answers.pop(0)
        if answer is None:
            silent += 1
            if len(script.answers) == 2:
                clock.jump(0.9995 if silent == 2 else 1.0)  # before the attempt's own end, and after it
            else:
                up_or_over.set()
            await stream.receive_some()
        elif answer is Over.RESET:
            sockets.reset_on_close(stream.socket)
        else:
            await stream.send_all(LINES[answer])
            line = await relaying.read_line(stream)
            if line and script.end is End.BROKEN:
                sockets.reset_on_close(stream.socket)
            elif line:
                await stream.send_all(b"MOVE\r\n")

    async def client(port: int) -> None:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(relaying.OPEN)
        if script.answers == (None,):
            await up_or_over.wait()
        elif (await relaying.read_line(stream)).startswith(b"UP"):
            await relaying.read_line(stream)
            if script.end != "client":
                await stream.send_all(b"M 1\r\n")
                while await stream.receive_some():
                    pass
        await stream.aclose()

    async def main() -> None:
        conf = relaying.config(folder)
        async with relaying.relay(conf, server, hosts=4) as (shared, inbound, port):
            listen(shared.decisions.dispatch, heard)
            with suppress(trio.BrokenResourceError):
                await client(port)
            while inbound._taken:
                await trio.sleep(0)

    trio.run(main, clock=clock)
    return without_late_timers(heard)


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.name)
def test_the_decisions_hear_the_same_in_the_model_as_on_sockets(script: Script, tmp_path: Path) -> None:
    assert in_the_model(script) == on_sockets(script, tmp_path)
