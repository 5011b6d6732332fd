"""The control socket of an instance, asked well and badly."""

import json
import socket
import stat
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import relaying
import trio
from relaying import entry, whole

from glenfold.config import Config, ConfigError
from glenfold.daemon import ask as asking
from glenfold.daemon.ask import MOST_ASKING, MOST_QUESTION, NoAnswer, ask
from glenfold.daemon.control import Control
from glenfold.daemon.life import State
from glenfold.daemon.process import Process

Script = Callable[[Process, Path], Awaitable[None]]


def play(tmp_path: Path, script: Script, read_again: Any = lambda config: (config, ["listeners"])) -> None:
    async def main() -> None:
        path = tmp_path / "a.sock"
        process = Process(relaying.config(tmp_path, name="a"), read_again)
        process.relay.destinations.read(whole(entry("s-1"), seq=41))
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Control(path, lambda: {"age_s": 3.0}), process)
                process.accepts.set()
                while not path.exists():
                    await trio.sleep(0.005)
                await script(process, path)
                nursery.cancel_scope.cancel()
    trio.run(main)


async def answer(path: Path, word: str) -> dict[str, Any]:
    return (await ask(path, {"ask": word}, trio.current_time() + 5))[1]


def test_it_tells_how_the_instance_stands(tmp_path: Path) -> None:
    async def script(process: Process, path: Path) -> None:
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
        process.life.to(State.WAITING)
        process.relay.unanswered = 2
        told = await answer(path, "status")
        assert 0 <= told.pop("since_s") <= told.pop("up_s")
        counters = told.pop("counters")
        assert counters["taken"] == 0 and (await answer(path, "counters"))["counters"] == counters
        assert told == {
            "instance": "a", "state": "waiting", "list": {"version": 41, "servers": 1, "age_s": None},
            "connections": {"standing": 0, "unanswered": 2}, "snapshot": {"age_s": 3.0}, "log_lines_lost": 0}
    play(tmp_path, script)


def test_it_drains_and_reloads_by_word(tmp_path: Path) -> None:
    faulty = []

    def read_again(config: Config) -> tuple[Config, list[str]]:
        if faulty:
            raise ConfigError("list.discovery", "is missing")
        return config, ["listeners"]

    async def script(process: Process, path: Path) -> None:
        assert await answer(path, "reload") == {"instance": "a", "waits": ["listeners"]}
        faulty.append(True)
        refused = {"instance": "a", "refused": "list.discovery: is missing", "file": True}
        assert await answer(path, "reload") == refused
        assert await answer(path, "drain") == {"instance": "a"}
        assert process._told_to_stop.is_set()
        process.life.to(State.DRAINING)
        assert await answer(path, "reload") == {"instance": "a", "refused": "it is ending", "file": False}
    play(tmp_path, script, read_again)


@pytest.mark.parametrize("said, told", [
    (b"what?\n", "no question: "), (b"[1]\n", "no question: "), (b"\xff\n", "no question: "),
    (b"[" * 5000 + b"\n", "no question: "), (b"{}\n", "None is none of status"),
    (b'{"ask": ["status"]}\n', "['status'] is none of"),
    (b"x" * (MOST_QUESTION + 1), "a line is longer than"),
])
def test_bad_input_gets_a_line_that_says_so(tmp_path: Path, said: bytes, told: str) -> None:
    async def script(process: Process, path: Path) -> None:
        async with await trio.open_unix_socket(path) as stream:
            await stream.send_all(said)
            assert told in json.loads(await stream.receive_some(4096))["refused"]
        assert (await answer(path, "status"))["instance"] == "a"
    play(tmp_path, script)


def test_clients_that_hang_keep_nobody_out(tmp_path: Path) -> None:
    async def script(process: Process, path: Path) -> None:
        hanging = [await trio.open_unix_socket(path) for _ in range(3 * MOST_ASKING)]
        for _ in range(MOST_ASKING):
            assert (await answer(path, "status"))["instance"] == "a"
        for stream in hanging:
            await stream.aclose()
    play(tmp_path, script)


def test_a_client_that_reads_nothing_is_let_go(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(asking, "ASKING_S", 0.05)

    async def script(process: Process, path: Path) -> None:
        with socket.socket(socket.AF_UNIX) as silent:
            silent.connect(str(path))
            await trio.sleep(0.2)
            assert silent.recv(1) == b""
    play(tmp_path, script)


def test_while_another_process_has_the_name_it_does_not_answer_under_it(tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / "a.sock"
        process = Process(relaying.config(tmp_path, name="a"), lambda config: (config, []))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Control(path), process)
            await trio.testing.wait_all_tasks_blocked()
            with pytest.raises(NoAnswer):
                await answer(path, "status")
            nursery.cancel_scope.cancel()
    trio.run(main)
