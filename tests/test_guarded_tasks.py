"""Unexpected errors in the tasks at the top of a process: none of them cuts off the clients."""

import socket
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import relaying
import trio
from relaying import OPEN, entry, read_line, whole

from glenfold.config import Config, replica
from glenfold.config.address import format_address
from glenfold.daemon import guard, process
from glenfold.daemon.process import Process
from glenfold.daemon.replica import ReplicaProcess
from glenfold.decisions import Decisions
from glenfold.net.discovery import Discovery
from glenfold.replica.follower import Follower
from glenfold.replica.server import Server

WITHIN_S = 10.0


class Bug(Exception):
    """An error that no handler of the program expects."""


class FailsOnce:
    """Replaces a function: its first call raises Bug, later ones do what it did."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str) -> None:
        self.calls = 0
        original = getattr(owner, name)

        def replacement(*arguments: Any, **named: Any) -> Any:
            self.calls += 1
            if self.calls == 1:
                raise Bug
            return original(*arguments, **named)

        monkeypatch.setattr(owner, name, replacement)
        monkeypatch.setattr(guard, "RESTART_DELAY_S", 0.0)

    async def wait_for_calls(self, count: int) -> None:
        with trio.fail_after(WITHIN_S):
            while self.calls < count:
                await trio.sleep(0.01)


class Background:
    """A background task of a process."""

    @staticmethod
    async def run(owner: Process) -> None:
        await trio.sleep_forever()


def unexpectedly_failing_read(current: Config) -> tuple[Config, list[str]]:
    raise Bug


def make_process(folder: Path, push_server: tuple[str, int]) -> Process:
    """Returns a process that knows one push server and listens on a free port."""
    known = whole(entry("s-0", format_address(push_server)))
    return Process(
        relaying.config(folder, known=known),
        unexpectedly_failing_read,
        listeners=[socket.create_server(("127.0.0.1", 0))],
        background_tasks=[lambda owner: Background.run(owner)],
    )


async def serve_one_client(running: Process) -> None:
    address = running.listeners[0].getsockname()
    async with await trio.open_tcp_stream(*address) as client:
        await client.send_all(OPEN)
        assert await read_line(client) == b"UP r1\r\n"


# Guards against an unexpected error in one task that ends the process and all its connections (incident 13).
@pytest.mark.parametrize(
    ("owner", "name", "calls"),
    [
        (Discovery, "_call", 2),
        (Discovery, "follow", 2),
        (Decisions, "_fire", 1),
        (Process, "_become_ready", 2),
        (process, "warm_up", 1),
        (Background, "run", 2),
    ],
)
def test_an_unexpected_error_in_a_task_of_the_process_ends_no_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, calls: int
) -> None:
    task = FailsOnce(monkeypatch, owner, name)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, host="127.0.0.1")
            push_servers = await nursery.start(serve, relaying.accept_and_echo, 0)
            running = make_process(tmp_path, push_servers[0].socket.getsockname())
            nursery.start_soon(running.run)
            await task.wait_for_calls(calls)
            await serve_one_client(running)
            assert running.relay.counters.faults == 1
            nursery.cancel_scope.cancel()

    trio.run(main)


# Guards against an unexpected error at SIGHUP that ends the process (incident 13).
def test_an_unexpected_error_of_a_reload_refuses_the_reload(tmp_path: Path) -> None:
    async def main() -> None:
        running = make_process(tmp_path, ("127.0.0.1", 9))
        before = running.relay.config
        assert "Bug" in str(running.reload().refused)
        counters = running.relay.counters
        assert (counters.faults, counters.reloads_refused, counters.reloads) == (1, 1, 0)
        assert running.relay.config is before

    trio.run(main)


# Guards against an unexpected error in a replica that ends the watches of all its children (incident 13).
@pytest.mark.parametrize(("owner", "name"), [(Follower, "follow"), (Server, "serve")])
def test_an_unexpected_error_in_a_task_of_a_replica_does_not_end_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str
) -> None:
    task = FailsOnce(monkeypatch, owner, name)
    path = tmp_path / "replica.toml"
    text = 'format = 1\n[replica]\nname = "a"\nlisten = "127.0.0.1:7"\n[[parents]]\naddress = "127.0.0.1:9"\n'
    path.write_text(text + "[shutdown]\nspread_s = 0.0\n")

    async def main() -> None:
        running = ReplicaProcess(path, replica.read(path))
        with trio.fail_after(WITHIN_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(running.run, socket.create_server(("127.0.0.1", 0)))
                await task.wait_for_calls(2)
                assert running.counters["faults"] == 1
                running.stop()

    trio.run(main)


# Guards against an error that is lost or ends the process, as it was raised while the task was cancelled.
def test_an_error_beside_a_cancellation_is_recorded_and_the_task_ends() -> None:
    class Counters:
        faults = 0

    async def fail_as_it_is_cancelled() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            try:
                await trio.sleep_forever()
            finally:
                raise Bug

    async def main() -> None:
        with trio.move_on_after(0) as scope:
            await guard.run_guarded("task", fail_as_it_is_cancelled, counters)
        assert scope.cancelled_caught

    counters = Counters()
    trio.run(main)
    assert counters.faults == 1
