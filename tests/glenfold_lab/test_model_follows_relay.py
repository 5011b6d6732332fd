"""Checks that the decisions receive the same events in the model as in a real relay on sockets, for the same
actions of clients and push servers."""

from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path

import pytest
import relaying
import trio
import trio.testing
from modelled_relays import SETTINGS, RelayFixture

from glenfold import clock as clock_module
from glenfold.dispatch import Dispatch
from glenfold.net import sockets
from glenfold_lab.observe import AttemptOutcome, End
from linnetspread import interface

Events = list[tuple[object, ...]]
LINES = {
    AttemptOutcome.UP: b"UP r1\r\nLOAD 40000.0\r\n",
    AttemptOutcome.BUSY: b"BUSY\r\n",
    AttemptOutcome.ERROR: b"ERR\r\n",
}


@dataclass(frozen=True)
class Script:
    """The actions of a client and its servers.

    `answers` are the servers' answers to each attempt; None is no answer until half of the remaining time has
    passed. `end` is how the connection ends then: by the client ("client") or by its server.
    """

    name: str
    answers: tuple[AttemptOutcome | None, ...]
    end: str | End | None = None


SCRIPTS = [
    Script("up, and the client goes", (AttemptOutcome.UP,), "client"),
    Script("refused, up, and reset by its server", (AttemptOutcome.BUSY, AttemptOutcome.UP), End.BROKEN),
    Script("reset, up, and moved by its server", (AttemptOutcome.RESET, AttemptOutcome.UP), End.MOVED),
    Script("failed twice", (AttemptOutcome.ERROR, AttemptOutcome.ERROR)),
    Script("no answer, then up, and the client goes", (None, AttemptOutcome.UP), "client"),
    Script("no answer at all", (None, None)),
    Script("the client goes before its answer", (None,), "client"),
]


def record_events(dispatch: Dispatch, received: Events) -> None:
    handle = dispatch.balancer.handle

    def recording_handle(now: int, event: interface.Event) -> list[interface.Action]:
        parts = [getattr(event, name, None) for name in ("attempt", "outcome", "done", "kind", "amount")]
        if not isinstance(event, interface.ServerList):
            received.append((type(event).__name__, *parts))
        return handle(now, event)

    dispatch.balancer.handle = recording_handle  # type: ignore[method-assign]


def without_late_timers(received: Events) -> Events:
    """Removes timers after a request is up or finished.

    They change nothing, and the mock clock of the sockets does not advance.
    """
    names = [event[0] for event in received]
    up = names.index("Established") if "Established" in names else len(names)
    last = max(place for place, name in enumerate(names) if name != "Timer")
    return [event for place, event in enumerate(received) if event[0] != "Timer" or place < min(up, last)]


def in_the_model(script: Script) -> Events:
    received: Events = []
    fixture = RelayFixture(settings=replace(SETTINGS, max_attempts=2))
    answers = list(script.answers)
    fixture.servers.answer = lambda call: answers.pop(0)
    record_events(fixture.relay.dispatch, received)
    (exchange,) = fixture.ask(0)
    fixture.run(0.5)
    if len(script.answers) == 2 and script.answers[0] is None:
        fixture.run(3)
    if script.end == "client":
        fixture.relay.client_left(exchange)
    elif isinstance(script.end, End):
        fixture.relay.ended(fixture.servers.calls[-1], script.end)
    fixture.run(5)
    return without_late_timers(received)


def on_sockets(script: Script, folder: Path) -> Events:
    received: Events = []
    clock = trio.testing.MockClock()
    answers = list(script.answers)
    unanswered = 0
    up_or_over = trio.Event()

    async def server(stream: trio.SocketStream) -> None:
        nonlocal unanswered
        await relaying.read_line(stream)
        answer = answers.pop(0)
        if answer is None:
            unanswered += 1
            if len(script.answers) == 2:
                # Just before, or after, the attempt's own deadline.
                clock.jump(0.9995 if unanswered == 2 else 1.0)
            else:
                up_or_over.set()
            await stream.receive_some()
        elif answer is AttemptOutcome.RESET:
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
            record_events(shared.decisions.dispatch, received)
            with suppress(trio.BrokenResourceError):
                await client(port)
            while inbound._taken:
                await trio.sleep(0)

    trio.run(main, clock=clock)
    return without_late_timers(received)


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.name)
def test_the_decisions_receive_the_same_events_in_the_model_as_on_sockets(
    script: Script, tmp_path: Path
) -> None:
    assert in_the_model(script) == on_sockets(script, tmp_path)


# Guards against a deadline that is rounded past the jump of the mock clock: the test hung (incident 18).
@pytest.mark.parametrize("start_s", [1796820409.6328459, 1797167226.4181669, 1796862120.0067549])
def test_the_comparison_does_not_depend_on_the_wall_clock_at_its_start(
    start_s: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock_module.time, "time", lambda: start_s)
    script = next(script for script in SCRIPTS if script.name == "no answer at all")
    assert in_the_model(script) == on_sockets(script, tmp_path)
