"""The control socket of an instance, asked well and badly."""

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

from glenfold.daemon import ask as asking
from glenfold.daemon.ask import MOST_ASKING, MOST_QUESTION, NoAnswer, ask
from glenfold.daemon.control import Control
from glenfold.daemon.life import State
from glenfold.daemon.process import Process


@dataclass
class Asked:
    process: Process
    path: Path

    async def __call__(self, word: str) -> dict[str, Any]:
        return (await ask(self.path, {"ask": word}, trio.current_time() + 5))[1]


@asynccontextmanager
async def control(folder: Path) -> AsyncIterator[Asked]:
    async with relaying.instance(folder) as process, trio.open_nursery() as nursery:
        process.relay.destinations.read(whole(entry("s-1"), seq=41))
        nursery.start_soon(Control(folder / "a.sock", lambda: {"age_s": 3.0}), process)
        asked = Asked(process, folder / "a.sock")
        await trio.testing.wait_all_tasks_blocked()
        with pytest.raises(NoAnswer):  # while another process has the name
            await asked("status")
        process.accepts.set()
        await trio.testing.wait_all_tasks_blocked()
        yield asked
        nursery.cancel_scope.cancel()


@relaying.async_test(control)
async def test_it_tells_how_the_instance_stands(asked: Asked) -> None:
    assert stat.S_IMODE(asked.path.stat().st_mode) == 0o600
    asked.process.life.to(State.WAITING)
    asked.process.relay.unanswered = 2
    told = await asked("status")
    assert 0 <= told.pop("since_s") <= told.pop("up_s")
    counters = told.pop("counters")
    assert counters["taken"] == 0 and (await asked("counters"))["counters"] == counters
    assert told == {
        "instance": "a",
        "state": "waiting",
        "list": {"version": 41, "servers": 1, "age_s": None},
        "connections": {"standing": 0, "unanswered": 2},
        "snapshot": {"age_s": 3.0},
        "log_lines_lost": 0,
    }


@relaying.async_test(control)
async def test_it_drains_and_reloads_by_word(asked: Asked, tmp_path: Path) -> None:
    assert await asked("reload") == {"instance": "a", "waits": ["listeners"]}
    (tmp_path / "faulty").touch()
    assert await asked("reload") == {"instance": "a", "refused": "list.discovery: is missing", "file": True}
    assert await asked("drain") == {"instance": "a"}
    assert asked.process._told_to_stop.is_set()
    asked.process.life.to(State.DRAINING)
    assert await asked("reload") == {"instance": "a", "refused": "it is ending", "file": False}


@pytest.mark.parametrize(
    "said, told",
    [
        (b"what?\n", "no question: "),
        (b"[1]\n", "no question: "),
        (b"\xff\n", "no question: "),
        (b"[" * 5000 + b"\n", "no question: "),
        (b"{}\n", "None is none of status"),
        (b'{"ask": ["status"]}\n', "['status'] is none of"),
        (b"x" * (MOST_QUESTION + 1), "a line is longer than"),
    ],
)
@relaying.async_test(control)
async def test_bad_input_gets_a_line_that_says_so(asked: Asked, said: bytes, told: str) -> None:
    async with await trio.open_unix_socket(asked.path) as stream:
        await stream.send_all(said)
        assert told in json.loads(await stream.receive_some(4096))["refused"]
    assert (await asked("status"))["instance"] == "a"


@relaying.async_test(control)
async def test_clients_that_hang_keep_nobody_out(asked: Asked) -> None:
    hanging = [await trio.open_unix_socket(asked.path) for _ in range(3 * MOST_ASKING)]
    for _ in range(MOST_ASKING):
        assert (await asked("status"))["instance"] == "a"
    for stream in hanging:
        await stream.aclose()


@relaying.async_test(control)
async def test_a_client_that_reads_nothing_is_let_go(asked: Asked, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(asking, "ASKING_S", 0.05)
    with socket.socket(socket.AF_UNIX) as silent:
        silent.connect(str(asked.path))
        with trio.fail_after(20):
            await trio.lowlevel.wait_readable(silent)
        assert silent.recv(1) == b""
