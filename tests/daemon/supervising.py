"""Helpers for tests of a supervisor with fake instances."""

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
from glenfold.daemon.supervisor import FleetSettings, SettingsSource, Supervisor, SupervisorPaths
from glenfold.rules.fleet.options import Options

supervisor_module.POLL_INTERVAL_S = 0.05
FAKE_INSTANCE = str(Path(__file__).with_name("fake_instance.py"))
FAST_SETTINGS: dict[str, Any] = dict(
    backoff_s=0.1,
    jitter=0.0,
    ready_within_s=3.0,
    stop_within_s=3.0,
    window_s=0.3,
    settle_within_s=2.0,
    loop_ends=3,
)


def read_settings(folder: Path, names: tuple[str, ...], terms: dict[str, Any]) -> FleetSettings:
    return FleetSettings(
        Options(names, **(FAST_SETTINGS | terms)),
        {name: folder / f"{name}.control" for name in names},
        lambda: None,
    )


def supervisor(folder: Path, names: tuple[str, ...], **terms: Any) -> Supervisor:
    settings_source = SettingsSource(
        lambda: read_settings(folder, names, terms),
        lambda name: [sys.executable, "-SE", FAKE_INSTANCE, str(folder), name],
    )
    return Supervisor(SupervisorPaths(folder), settings_source, LogFiles(folder, 2000))


def set_behavior(folder: Path, name: str, *words: str) -> None:
    (folder / f"{name}.does").write_text(" ".join(words))


async def command(folder: Path, word: str, **more: Any) -> dict[str, Any]:
    _, answer = await ask(SupervisorPaths(folder).socket, {"ask": word, **more}, trio.current_time() + 5)
    return answer


async def wait_for_status(folder: Path, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """Returns the first status that meets the condition."""
    status: dict[str, Any] = {}
    with trio.move_on_after(15):
        while True:
            with suppress(NoAnswer):
                status = await command(folder, "status")
                if condition(status):
                    return status
            await trio.sleep(0.02)
    raise AssertionError(f"no status met the condition in time: {json.dumps(status)}")


async def wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.02)


def run_in_trio(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    @functools.wraps(test)
    def run(**fixtures: Any) -> None:
        trio.run(functools.partial(test, **fixtures))

    return run


def phases(status: dict[str, Any]) -> dict[str, str]:
    return {instance["name"]: instance["phase"] for instance in status["instances"]}


def all_ready(status: dict[str, Any]) -> bool:
    return set(phases(status).values()) == {"ready"}


def process_ids(status: dict[str, Any]) -> dict[str, int]:
    return {instance["name"]: instance["pid"] for instance in status["instances"]}


def read_log(folder: Path, name: str) -> str:
    return (folder / f"{name}.log").read_text()


@asynccontextmanager
async def running_supervisor(
    folder: Path, names: tuple[str, ...], **terms: Any
) -> AsyncIterator[trio.CancelScope]:
    """Runs a supervisor.

    Cancelling the scope ends the supervisor while its instances continue to run; all are killed at the end.
    """
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervisor(folder, names, **terms).run)
            yield nursery.cancel_scope
            nursery.cancel_scope.cancel()
    finally:
        kill_all(folder)


def kill_all(folder: Path) -> None:
    """Kills every process whose command line names this folder, which only one test uses."""
    for entry in Path("/proc").iterdir():
        with suppress(OSError):
            if entry.name.isdigit() and f"{folder}".encode() in (entry / "cmdline").read_bytes():
                os.kill(int(entry.name), signal.SIGKILL)
