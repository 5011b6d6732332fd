"""The control socket of an instance, with valid and invalid questions."""

import json
import socket
import stat
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
import relaying
import trio
from relaying import entry, whole

from glenfold.daemon import ask as ask_module
from glenfold.daemon.ask import MAX_CONNECTIONS, MAX_QUESTION_BYTES, NoAnswer, ask
from glenfold.daemon.control import Control
from glenfold.daemon.life import State
from glenfold.daemon.process import Process


@dataclass
class ControlClient:
    process: Process
    path: Path

    async def __call__(self, word: str) -> dict[str, Any]:
        return (await ask(self.path, {"ask": word}, trio.current_time() + 5))[1]


@asynccontextmanager
async def control(folder: Path) -> AsyncIterator[ControlClient]:
    async with relaying.instance(folder) as process, trio.open_nursery() as nursery:
        process.relay.destinations.read(whole(entry("s-1"), seq=41))
        nursery.start_soon(Control(folder / "a.sock", lambda: {"age_s": 3.0}), process)
        client = ControlClient(process, folder / "a.sock")
        await trio.testing.wait_all_tasks_blocked()
        with pytest.raises(NoAnswer):  # Another process has the name.
            await client("status")
        process.accepts.set()
        await trio.testing.wait_all_tasks_blocked()
        yield client
        nursery.cancel_scope.cancel()


@relaying.async_test(control)
async def test_status_reports_the_state_of_the_instance(client: ControlClient) -> None:
    assert stat.S_IMODE(client.path.stat().st_mode) == 0o600
    client.process.life.to(State.WAITING)
    client.process.relay.unanswered = 2
    status = await client("status")
    assert 0 <= status.pop("since_s") <= status.pop("up_s")
    counters = status.pop("counters")
    assert counters["taken"] == 0 and (await client("counters"))["counters"] == counters
    assert status == {
        "instance": "a",
        "state": "waiting",
        "list": {"version": 41, "servers": 1, "age_s": None},
        "connections": {"standing": 0, "unanswered": 2},
        "snapshot": {"age_s": 3.0},
        "log_lines_lost": 0,
    }


@relaying.async_test(control)
async def test_drain_and_reload_follow_a_question(client: ControlClient, tmp_path: Path) -> None:
    assert await client("reload") == {"instance": "a", "waits": ["listeners"]}
    (tmp_path / "faulty").touch()
    assert await client("reload") == {"instance": "a", "refused": "list.discovery: is missing", "file": True}
    assert await client("drain") == {"instance": "a"}
    assert client.process._stop_requested.is_set()
    client.process.life.to(State.DRAINING)
    assert await client("reload") == {"instance": "a", "refused": "it is ending", "file": False}


@pytest.mark.parametrize(
    "sent, expected",
    [
        (b"what?\n", "no question: "),
        (b"[1]\n", "no question: "),
        (b"\xff\n", "no question: "),
        (b"[" * 5000 + b"\n", "no question: "),
        (b"{}\n", "None is none of status"),
        (b'{"ask": ["status"]}\n', "['status'] is none of"),
        (b"x" * (MAX_QUESTION_BYTES + 1), "a line is longer than"),
    ],
)
@relaying.async_test(control)
async def test_an_invalid_question_is_answered_with_the_reason(
    client: ControlClient, sent: bytes, expected: str
) -> None:
    async with await trio.open_unix_socket(client.path) as stream:
        await stream.send_all(sent)
        assert expected in json.loads(await stream.receive_some(4096))["refused"]
    assert (await client("status"))["instance"] == "a"


@relaying.async_test(control)
async def test_silent_clients_do_not_block_other_clients(client: ControlClient) -> None:
    hanging = [await trio.open_unix_socket(client.path) for _ in range(3 * MAX_CONNECTIONS)]
    for _ in range(MAX_CONNECTIONS):
        assert (await client("status"))["instance"] == "a"
    for stream in hanging:
        await stream.aclose()


@relaying.async_test(control)
async def test_a_silent_client_is_disconnected_after_the_timeout(
    client: ControlClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ask_module, "CONNECTION_TIMEOUT_S", 0.05)
    with socket.socket(socket.AF_UNIX) as silent:
        silent.connect(str(client.path))
        with trio.fail_after(20):
            await trio.lowlevel.wait_readable(silent)
        assert silent.recv(1) == b""
