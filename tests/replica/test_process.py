"""Tests of `glenfold replica` as real processes on loopback, behind a source controlled by the test."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import trio
from relaying import entry
from running_replica import ChildConnection
from stand_in_parent import StandInParent

ROOT = Path(__file__).parents[2]
WITHIN_S = 20.0
CONFIG_TEMPLATE = """format = 1
[replica]
name = "{name}"
listen = "127.0.0.1:{port}"
zone = "north-1"
[[parents]]
address = "127.0.0.1:{parent}"
[shutdown]
spread_s = 0.2
[logging]
form = "text"
"""


class Replica:
    """A configuration file and the replica process that was started with it."""

    def __init__(self, folder: Path, name: str, parent: int) -> None:
        self.folder, self.name = folder, name
        with socket.create_server(("127.0.0.1", 0)) as sock:
            self.port = sock.getsockname()[1]
        self.file, self.log_file = folder / f"{name}.toml", folder / f"{name}.log"
        self.write(parent)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        with self.log_file.open("wb") as log:
            program = [sys.executable, "-m", "glenfold", "replica", self.file]
            self.process = subprocess.Popen(program, cwd=ROOT, env=environment, stderr=log)

    def write(self, parent: int, extra: str = "") -> None:
        self.file.write_text(CONFIG_TEMPLATE.format(name=self.name, port=self.port, parent=parent) + extra)

    @property
    def log(self) -> str:
        return self.log_file.read_text()

    async def wait_for_log(self, text: str, times: int = 1) -> None:
        with trio.fail_after(WITHIN_S):
            while self.log.count(text) < times:
                await trio.sleep(0.02)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def watch(self, revision: int) -> ChildConnection:
        """Opens a watch once the replica serves that revision."""
        with trio.fail_after(WITHIN_S):
            while True:
                try:
                    child = ChildConnection(await trio.open_tcp_stream("127.0.0.1", self.port))
                    if (await child.ask(f"/v1/servers?watch=1&from={revision}")).status_code == 200:
                        return child
                except OSError:
                    pass
                await trio.sleep(0.05)


MakeReplica = Callable[..., Replica]


@pytest.fixture
def make_replica(tmp_path: Path) -> Iterator[MakeReplica]:
    started: list[Replica] = []

    def start(*args: Any) -> Replica:
        started.append(Replica(tmp_path, *args))
        return started[-1]

    yield start
    for replica in started:
        replica.process.kill()
        replica.process.wait()


def run_script(script: Callable[[trio.Nursery], Any]) -> None:
    async def main() -> None:
        with trio.fail_after(3 * WITHIN_S):
            async with trio.open_nursery() as nursery:
                await script(nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def next_change(child: ChildConnection) -> dict[str, Any]:
    while (line := await child.next_line()) is None:
        pass
    return line


def test_two_layers_pass_on_lists_changes_and_renewals_and_exit_cleanly(make_replica: MakeReplica) -> None:
    async def script(nursery: trio.Nursery) -> None:
        source = StandInParent(revision=41)
        await source.listen(nursery)
        upper = make_replica("upper", source.port)
        lower = make_replica("lower", upper.port)
        child = await lower.watch(41)
        await source.change(entry("s-2"))
        assert await next_change(child) == {"seq": 42, "whole": False, "hosts": [entry("s-2")]}
        assert await child.next_line() is None  # the source's renewal, through both
        second_child = ChildConnection(await trio.open_tcp_stream("127.0.0.1", lower.port))
        fields = dict((await second_child.ask("/v1/servers")).headers)
        assert fields[b"via"] == b"1.1 upper, 1.1 lower" and int(fields[b"age"]) <= 3
        assert (await second_child.read_list())["hosts"] == [entry("s-1"), entry("s-2")]
        lower.signal(signal.SIGUSR1)
        await lower.wait_for_log("published=2")
        lower.signal(signal.SIGTERM)
        with pytest.raises(EOFError):
            while True:
                await child.next_line()
        assert await trio.to_thread.run_sync(lower.process.wait) == 0
        assert "counters at exit" in lower.log and "faults=0" in lower.log

    run_script(script)


def test_sighup_replaces_the_parents_and_an_invalid_file_changes_nothing(
    make_replica: MakeReplica,
) -> None:
    async def script(nursery: trio.Nursery) -> None:
        old, new = StandInParent(revision=41), StandInParent(revision=50)
        await old.listen(nursery)
        await new.listen(nursery)
        replica = make_replica("one", old.port)
        child = await replica.watch(41)
        replica.write(new.port, "[limits]\nchildren = 0\n")
        replica.signal(signal.SIGHUP)
        await replica.wait_for_log("limits.children: expected a whole number of 1 to 65,536, not 0")
        await old.change(entry("s-2"))
        assert (await next_change(child))["seq"] == 42
        replica.write(new.port, "[limits]\nchildren = 7\n")
        replica.signal(signal.SIGHUP)
        await replica.wait_for_log("file read again")
        await replica.wait_for_log("needs a restart to change: limits")
        departed = entry("s-2", health="terminated")
        assert await next_change(child) == {"seq": 50, "whole": False, "hosts": [departed]}
        await new.change(entry("s-3"))
        assert (await next_change(child))["seq"] == 51
        assert replica.process.poll() is None

    run_script(script)


def test_an_invalid_file_is_reported_by_line_and_key_with_status_2(tmp_path: Path) -> None:
    file = tmp_path / "replica.toml"
    file.write_text(CONFIG_TEMPLATE.format(name="a b", port=7100, parent=7000))
    program = [sys.executable, "-m", "glenfold", "replica", file]
    completed = subprocess.run(program, cwd=ROOT, capture_output=True, text=True)
    assert completed.returncode == 2 and completed.stderr.startswith(
        f"{file}:3: replica.name: 'a b' is not letters"
    )


def test_an_address_in_use_is_reported_with_status_4(tmp_path: Path) -> None:
    file = tmp_path / "replica.toml"
    with socket.create_server(("127.0.0.1", 0)) as sock:
        file.write_text(CONFIG_TEMPLATE.format(name="one", port=sock.getsockname()[1], parent=7000))
        program = [sys.executable, "-m", "glenfold", "replica", file]
        completed = subprocess.run(program, cwd=ROOT, capture_output=True, text=True)
    assert completed.returncode == 4 and "not started" in completed.stderr


def test_signals_during_startup_do_not_end_the_process(make_replica: MakeReplica) -> None:
    async def script(nursery: trio.Nursery) -> None:
        source = StandInParent(revision=41)
        await source.listen(nursery)
        replica = make_replica("one", source.port)
        start_s = time.monotonic()
        while "listens on" not in replica.log and time.monotonic() < start_s + WITHIN_S:
            if (ROOT / f"/proc/{replica.process.pid}/status").read_text().find(
                "SigBlk:\t0000000000000000"
            ) < 0:
                replica.signal(signal.SIGHUP)
            await trio.sleep(0.01)
        await replica.watch(41)
        assert replica.process.poll() is None

    run_script(script)
