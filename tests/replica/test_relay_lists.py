"""Tests of a relay that follows one of several parents, on loopback sockets with a mock clock."""

import json
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from pathlib import Path

import pytest
import relaying
import trio
from relaying import entry, whole
from stand_in_parent import StandInParent, run_script
from test_follower import requested_revisions, start_parents

from glenfold.config import Config, ConfigError
from glenfold.config.platform import Parents
from glenfold.daemon.process import Process
from glenfold.list_entry import server_number
from glenfold.replica.relay_lists import RelayLists
from glenfold.rules.source_lease import LEASE_S
from linnetspread.interface import ServerState


@dataclass
class Relay:
    """A relay process, and the configuration `now` that its next reload reads."""

    process: Process
    now: Config

    @property
    def version(self) -> int:
        return self.process.relay.destinations.version

    def state(self, host: str) -> ServerState | None:
        servers = self.process.relay.destinations.servers()
        return next((line.state for line in servers if line.server == server_number(host)), None)

    async def until(self, version: int) -> float:
        while self.version != version:
            await trio.sleep(0.05)
        return trio.current_time()


Script = Callable[[Relay], Awaitable[None]]


def config(folder: Path, *parents: StandInParent, **changes: object) -> Config:
    parent_configs = Parents(tuple(parent.as_parent for parent in parents), "cardiff", None)
    return replace(relaying.config(folder, **changes), listen=("127.0.0.1", 0), parents=parent_configs)


async def run(folder: Path, parents: list[StandInParent], script: Script, **changes: object) -> None:
    relay_config = config(folder, *parents, **changes)

    def read_again(current: Config) -> tuple[Config, list[str]]:
        if relay.now.parents is None:
            raise ConfigError("list.parents", "is missing")
        return relay.now, []

    relay = Relay(Process(relay_config, read_again, make_list_source=RelayLists), relay_config)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(relay.process.run)
        await script(relay)
        nursery.cancel_scope.cancel()


def replica(name: str, zone: str = "cardiff", revision: int = 41, **more: bool) -> StandInParent:
    return StandInParent(name, incarnation=0, revision=revision, zone=zone, **more)


def test_a_relay_changes_its_parent_without_a_whole_list(
    tmp_path: Path,
) -> None:
    async def main(nursery: trio.Nursery) -> None:
        near, far = replica("r-1"), replica("r-2", "wrexham")
        await start_parents(nursery, near, far)

        async def script(relay: Relay) -> None:
            await relay.until(41)
            await near.change(entry("s-2"))
            await far.change(entry("s-2"))
            await relay.until(42)
            await near.kill()
            await far.change(entry("s-1", health="terminating"))
            killed_at_s = trio.current_time()
            assert await relay.until(43) < killed_at_s + 4
            assert (relay.state("s-1"), relay.state("s-2")) == (ServerState.DRAINING, ServerState.READY)
            assert requested_revisions(far) == [42] and relay.process.relay.counters.lists == 3

        await run(tmp_path, [near, far], script)

    run_script(main)


def test_changes_missed_by_a_silent_parent_arrive_within_six_seconds(tmp_path: Path) -> None:
    """The parent is cut off just after a renewal and has 250 children."""

    async def main(nursery: trio.Nursery) -> None:
        near, far = replica("r-1"), replica("r-2", "wrexham")
        near.children = 250
        await start_parents(nursery, near, far)

        async def script(relay: Relay) -> None:
            await relay.until(41)
            await trio.sleep(10)
            near.renewing = False
            silent_at_s = near.renewed_at_s
            assert relay.process.discovery.heard_at == pytest.approx(silent_at_s, abs=0.05)
            await far.change(entry("s-1", health="terminating"))
            assert await relay.until(42) < silent_at_s + LEASE_S

        await run(tmp_path, [near, far], script)

    run_script(main)


def test_a_restarted_relay_resumes_from_its_known_list(tmp_path: Path) -> None:
    async def main(nursery: trio.Nursery) -> None:
        parent = replica("r-1", revision=40)
        parent.incarnation = 7
        await start_parents(nursery, parent)
        await parent.change(entry("s-2"))

        async def script(relay: Relay) -> None:
            await relay.until(41)
            assert requested_revisions(parent) == [40]
            await parent.change(entry("s-3"))
            await relay.until(42)
            assert [relay.state(f"s-{n}") for n in (1, 2, 3)] == [ServerState.READY] * 3

        await run(tmp_path, [parent], script, known=whole(entry("s-1"), seq=40))

    run_script(main)


def test_a_relay_whose_revision_no_parent_has_requests_the_whole_list(tmp_path: Path) -> None:
    async def main(nursery: trio.Nursery) -> None:
        parent = replica("r-1", revision=3)
        await start_parents(nursery, parent)

        async def script(relay: Relay) -> None:
            await relay.until(3)
            assert requested_revisions(parent)[:2] == [40, -1]

        await run(tmp_path, [parent], script, known=whole(entry("s-1"), seq=40))

    run_script(main)


def test_parents_are_replaced_by_reload(tmp_path: Path) -> None:
    async def main(nursery: trio.Nursery) -> None:
        one, other = replica("r-1"), replica("r-2")
        await start_parents(nursery, one, other)

        async def script(relay: Relay) -> None:
            await relay.until(41)
            await trio.sleep(1)
            relay.now = replace(relay.now, parents=None)
            assert relay.process.reload().file  # a faulty file changes nothing
            await other.change(entry("s-2"))
            await trio.sleep(5)
            assert relay.version == 41
            relay.now = config(tmp_path, other)
            assert relay.process.reload().refused is None
            await relay.until(42)
            assert requested_revisions(other) == [41] and one.watches == []

        await run(tmp_path, [one], script)

    run_script(main)


RUN = """
import json, os, signal, sys, threading
from glenfold.config.operators import read
from glenfold.daemon.run import Run

threading.Timer(0.5, os.kill, (os.getpid(), signal.SIGTERM)).start()
status = Run(read(sys.argv[1]), None).main()
features = ("glenfold.replica", "glenfold.rules.parent_choice", "glenfold.rules.succession")
print(json.dumps([int(status), sorted(name for name in sys.modules if name.startswith(features))]))
"""


@pytest.mark.parametrize("configured", [False, True])
def test_replica_modules_are_loaded_only_if_the_file_lists_parents(tmp_path: Path, configured: bool) -> None:
    follows = 'parents = [{address = "127.0.0.1:9"}]' if configured else 'discovery = "127.0.0.1:9"'
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    file = tmp_path / "glenfold.toml"
    file.write_text(
        f'format = 1\nlisteners.addresses = ["127.0.0.1:{port}"]\nlist.{follows}\n'
        'settings.classes = [{name = "watch"}]\n'
    )
    completed = subprocess.run([sys.executable, "-c", RUN, str(file)], capture_output=True, text=True)
    status, loaded = json.loads(completed.stdout)
    assert status == 0 and bool(loaded) == configured


def test_the_platforms_run_loads_no_replica_modules() -> None:
    code = (
        "import sys; sys.argv = ['glenfold']; from glenfold.__main__ import main; main();"
        "print(sorted(name for name in sys.modules if name.startswith('glenfold.re') "
        "or 'parent_choice' in name or 'succession' in name))"
    )
    completed = subprocess.run([sys.executable, "-c", code], env={}, capture_output=True, text=True)
    assert completed.stdout == "['glenfold.request']\n"
