"""`glenfold run` and the commands that control it, with real processes on loopback."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import relaying

from glenfold.daemon.run import Exit

ROOT = Path(__file__).parents[2]
FILE = """format = 1
[instance]
name = "a"
folder = "state"
[listeners]
addresses = ["127.0.0.1:{port}"]
[list]
discovery = "127.0.0.1:9"
known = "known.json"
[restart]
deadline_s = 3.7
take_over = {take_over}
[[settings.classes]]
name = "watch"
"""


class InstanceUnderTest:
    """One operators' file, and the processes started with it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.started: list[subprocess.Popen[bytes]] = []
        self.file = folder / "glenfold.toml"
        with socket.create_server(("127.0.0.1", 0)) as sock:
            self.port = sock.getsockname()[1]
        (folder / "known.json").write_text('{"seq": 1, "whole": true, "hosts": []}')
        self.write()

    def write(self, take_over: str = "true") -> None:
        self.file.write_text(FILE.format(port=self.port, take_over=take_over))

    def start(self, **popen_options: Any) -> subprocess.Popen[bytes]:
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        self.started.append(
            subprocess.Popen(
                [sys.executable, "-m", "glenfold", "run", self.file],
                cwd=ROOT,
                env=environment,
                **{"stderr": (self.folder / "log").open("ab"), **popen_options},
            )
        )
        return self.started[-1]

    def command(self, *words: str) -> tuple[int, dict[str, object]]:
        done = subprocess.run(
            [sys.executable, "-m", "glenfold", *words, self.file, "--json"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )
        status = json.loads(done.stdout)["instances"][0] if done.stdout else {"said": done.stderr}
        return done.returncode, status

    def wait_until_ready(self, process: subprocess.Popen[bytes]) -> subprocess.Popen[bytes]:
        by, status = time.monotonic() + 20, {}
        while status.get("pid") != process.pid or status.get("state") != "ready":
            assert time.monotonic() < by, f"{status}\n{(self.folder / 'log').read_text()}"
            _, status = self.command("status")
        return process


@pytest.fixture
def instance(tmp_path: Path) -> Iterator[InstanceUnderTest]:
    made = InstanceUnderTest(tmp_path)
    yield made
    for process in made.started:
        process.kill()
        process.wait()


def test_an_instance_starts_is_taken_over_and_drains(instance: InstanceUnderTest) -> None:
    assert instance.command("status")[0] == 3
    first = instance.wait_until_ready(instance.start())
    process = instance.start()
    assert first.wait(20) == Exit.FINISHED
    instance.wait_until_ready(process)
    assert instance.command("status")[0] == 0
    assert instance.command("reload") == (0, {"instance": "a", "pid": process.pid, "waits": []})
    instance.write(take_over="false")
    assert instance.command("reload")[1]["waits"] == ["restart"]
    instance.file.write_text("format = 1\nnonsense")
    assert instance.command("reload")[0] == 2
    instance.write()
    assert instance.command("drain", "--wait")[0] == 0
    assert process.wait(1) == Exit.FINISHED
    assert instance.command("drain")[0] == 3


def test_the_exit_status_says_what_was_wrong(instance: InstanceUnderTest) -> None:
    instance.write(take_over="false")
    first = instance.wait_until_ready(instance.start())
    assert instance.start().wait(20) == Exit.RUNS
    first.kill()
    first.wait()
    with socket.create_server(("127.0.0.1", instance.port)):
        assert instance.start().wait(20) == Exit.NO_LISTENER  # The lock was released with its process.
    instance.file.write_text("format = 1\n")
    assert instance.start().wait(20) == Exit.FILE


def test_a_reload_by_signal_is_notified_to_the_manager(
    instance: InstanceUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    name = str(instance.folder / "notify")
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind(name)
        manager.settimeout(20)
        monkeypatch.setenv("NOTIFY_SOCKET", name)
        process = instance.start()
        words = ["READY=1", "RELOADING=1", "READY=1", "STOPPING=1"]
        received: list[str] = []
        while "STOPPING=1" not in received:
            received.append(manager.recv(4096).decode().split("\n")[0])
            if received[-1] == "READY=1":
                process.send_signal(signal.SIGTERM if "RELOADING=1" in received else signal.SIGHUP)
        assert [word for word in received if word in words] == words
    assert process.wait(20) == Exit.FINISHED


@pytest.mark.parametrize("log", ["is read by nobody", "has lost its reader", "is closed"])
def test_an_instance_serves_and_exits_when_its_log_can_not_be_written(
    instance: InstanceUnderTest, log: str
) -> None:
    close = (lambda: os.close(2)) if log == "is closed" else None
    with relaying.full_pipe() as (reader, writer, _):
        if log == "has lost its reader":
            reader.close()
        process = instance.wait_until_ready(instance.start(stderr=writer, preexec_fn=close))
        for _ in range(200):
            process.send_signal(signal.SIGUSR1)  # Logs the counters in a line.
            with socket.create_connection(("127.0.0.1", instance.port), 5) as sock:
                sock.sendall(b"PING\r\n")
                assert sock.recv(100).startswith(b"PONG")
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == Exit.FINISHED
