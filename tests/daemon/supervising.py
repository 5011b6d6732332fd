"""A supervisor of fake instances,."""

import functools
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import trio

import glenfold.daemon.supervisor as supervisor_module
from glenfold.daemon.ask import NoAnswer, ask
from glenfold.daemon.logfiles import LogFiles
from glenfold.daemon.supervisor import Order, Orders, Place, Supervisor
from glenfold.rules.fleet.options import Options

supervisor_module.LOOK_S = 0.05
FAKE = str(Path(__file__).with_name("fake_instance.py"))
QUICK: dict[str, Any] = dict(
    backoff_s=0.1,
    jitter=0.0,
    ready_within_s=3.0,
    stop_within_s=3.0,
    window_s=0.3,
    settle_within_s=2.0,
    loop_ends=3,
)


def read(folder: Path, names: tuple[str, ...], terms: dict[str, Any]) -> Order:
    return Order(
        Options(names, **(QUICK | terms)), {name: folder / f"{name}.control" for name in names}, lambda: None
    )


def supervisor(folder: Path, names: tuple[str, ...], **terms: Any) -> Supervisor:
    orders = Orders(
        lambda: read(folder, names, terms), lambda name: [sys.executable, "-SE", FAKE, str(folder), name]
    )
    return Supervisor(Place(folder), orders, LogFiles(folder, 2000))


def does(folder: Path, name: str, *words: str) -> None:
    (folder / f"{name}.does").write_text(" ".join(words))


async def command(folder: Path, word: str, **more: Any) -> dict[str, Any]:
    _, answer = await ask(Place(folder).socket, {"ask": word, **more}, trio.current_time() + 5)
    return answer


async def status_when(folder: Path, what: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """The first status of which that is true."""
    status: dict[str, Any] = {}
    with trio.move_on_after(15):
        while True:
            with suppress(NoAnswer):
                status = await command(folder, "status")
                if what(status):
                    return status
            await trio.sleep(0.02)
    raise AssertionError(f"it never came to be: {json.dumps(status)}")


async def until(what: Callable[[], bool]) -> None:
    with trio.fail_after(10):
        while not what():
            await trio.sleep(0.02)


def in_trio(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    @functools.wraps(test)
    def run(**fixtures: Any) -> None:
        trio.run(functools.partial(test, **fixtures))

    return run


def phases(status: dict[str, Any]) -> dict[str, str]:
    return {one["name"]: one["phase"] for one in status["instances"]}


def all_ready(status: dict[str, Any]) -> bool:
    return set(phases(status).values()) == {"ready"}


def pids(status: dict[str, Any]) -> dict[str, int]:
    return {one["name"]: one["pid"] for one in status["instances"]}


def log(folder: Path, name: str) -> str:
    return (folder / f"{name}.log").read_text()


@asynccontextmanager
async def supervised(folder: Path, names: tuple[str, ...], **terms: Any) -> AsyncIterator[trio.CancelScope]:
    """Whoever cancels the scope has the supervisor die and its instances go on; all are gone in the end."""
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervisor(folder, names, **terms).run)
            yield nursery.cancel_scope
            nursery.cancel_scope.cancel()
    finally:
        end_all(folder)


def end_all(folder: Path) -> None:
    """Every process of that folder, which no other test has, told by its own command line."""
    for entry in Path("/proc").iterdir():
        with suppress(OSError):
            if entry.name.isdigit() and f"{folder}".encode() in (entry / "cmdline").read_bytes():
                os.kill(int(entry.name), signal.SIGKILL)
