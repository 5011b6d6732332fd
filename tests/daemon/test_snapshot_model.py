"""No server known to have departed comes back through a snapshot, whatever lists, restarts and crashes occur.

A history is a list of process lives on one disk. Each process receives some lists, may wait, and exits
normally or with its machine at any step of a write. Then one file may be damaged, and time passes. What a
process knew to be on disk, the next ones must know.
"""

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import relaying
import trio
import trio.testing
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from relaying import entry, whole
from snapshot_disk import Disk, MachineDied

from glenfold.daemon.process import Process
from glenfold.daemon.snapshot import SnapshotOptions, Snapshots
from glenfold.list_entry import server_number
from linnetspread import interface

SERVERS = range(4)
MAX_AGE_S = 100.0
WORDS = st.sampled_from(["drain", "remove", "leave out", "add", "start anew", "late list", "wait"])
STEPS = st.lists(st.tuples(WORDS, st.sampled_from(SERVERS)), max_size=7)
LIVES = st.lists(
    st.fixed_dictionaries(
        {
            "steps": STEPS,
            "dies_at": st.integers(-1, 14),
            "damaged_file": st.integers(0, 3),
            "pause_s": st.sampled_from([0.0, 20.0, 70.0, 130.0]),
        }
    ),
    min_size=2,
    max_size=6,
)


def ready(process: Process) -> dict[int, int]:
    """Returns the start time in milliseconds of each ready server."""
    numbers = {server_number(f"s-{n}"): n for n in SERVERS}
    return {
        numbers[server]: known.listed.started_us // 1000
        for server, known in process.relay.destinations.state().destinations.items()
        if known.listed.state is interface.ServerState.READY
    }


class SnapshotHistory:
    """Simulates discovery, and records what must hold.

    `departed` maps each server that departed, and whose departure was on disk, to its start time.
    `departed_by_name` holds those that a change named, which a late list must not bring back either.
    """

    def __init__(self, conf: Any, seed: int) -> None:
        self.conf, self.random = conf, random.Random(seed)
        self.disk = Disk(draw=self.random.randrange)
        self.now = 1_000_000.0
        self.seq = 10
        self.health = dict.fromkeys(SERVERS, "in_service")
        self.started = dict.fromkeys(SERVERS, 0)
        self.departed: dict[int, int] = {}
        self.departed_by_name: dict[int, int] = {}
        self.received_at: list[float] = []

    def wall(self) -> float:
        return self.now + trio.current_time()

    def entry(self, n: int, health: str | None = None) -> dict[str, object]:
        return entry(f"s-{n}", health=health or self.health[n], born_ms=self.started[n])

    def whole(self) -> dict[str, object]:
        return whole(*(self.entry(n) for n in SERVERS if self.health[n] != "terminated"), seq=self.seq)

    def change(self, word: str, n: int) -> dict[str, object]:
        self.seq += 1
        if word == "late list":
            return whole(*(self.entry(n, "in_service") for n in SERVERS), seq=1)
        if word == "start anew":
            self.started[n] += 1000
        self.health[n] = {"drain": "terminating", "remove": "terminated", "leave out": "terminated"}.get(
            word, "in_service"
        )
        if word == "leave out":
            return self.whole()
        return {"seq": self.seq, "whole": False, "hosts": [self.entry(n)]}

    def record_state(self, process: Process, kept: Snapshots) -> None:
        """Records which servers may be ready after a restart: no others, once their departure is on disk."""
        left, serving = process.relay.destinations.state().departed, ready(process)
        for n in SERVERS:
            if n in serving:
                self.departed.pop(n, None)
                self.departed_by_name.pop(n, None)
            elif not kept.status()["waits"]:
                self.departed[n] = self.started[n]
                if server_number(f"s-{n}") in left:
                    self.departed_by_name[n] = left[server_number(f"s-{n}")][1] // 1000

    async def run_process(self, steps: list[tuple[str, int]]) -> None:
        process = Process(self.conf, lambda current: (current, []))
        kept = Snapshots(
            SnapshotOptions(Path("/snapshots"), "valleys", max_age_s=MAX_AGE_S), self.disk, self.wall
        )
        await kept.load_newest(process)
        if kept.loaded is not None:
            assert self.wall() - kept.loaded.heard_at <= MAX_AGE_S
            # The snapshot's age was not reduced.
            assert min(abs(kept.loaded.heard_at - at) for at in self.received_at) < 1e-3
        for n, started in ready(process).items():
            assert started > self.departed.get(n, -1), f"s-{n} came back"
        if kept.loaded is None:  # Without a snapshot, no departure is known.
            self.departed, self.departed_by_name = {}, {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kept.run_writer, process)
            for word, n in [("hear", 0), *steps] if steps else []:
                await self.step(process, kept, word, n)
            nursery.cancel_scope.cancel()
        self.record_state(process, kept)

    async def step(self, process: Process, kept: Snapshots, word: str, n: int) -> None:
        if word == "wait":
            await trio.sleep(12.0)
        else:
            self.received_at.append(self.wall())
            read = process.relay.destinations.read
            server_list = read(self.whole() if word == "hear" else self.change(word, n))
            if word == "late list":
                late = {
                    line.server for line in server_list.servers if line.state is interface.ServerState.READY
                }
                assert not [
                    n
                    for n in self.departed_by_name
                    if server_number(f"s-{n}") in late and self.started[n] <= self.departed_by_name[n]
                ], "a late list brought one back"
                self.record_state(process, kept)
                read(self.whole())
            # A server reported ready may be so on disk before the next record.
            self.record_state(process, kept)
        await trio.testing.wait_all_tasks_blocked()
        self.record_state(process, kept)

    def damage_file(self, which: int) -> None:
        path = Path(f"/snapshots/valleys.relay.{'?ab?'[which]}.snapshot")
        if path in self.disk.files:
            data = bytearray(self.disk.files[path].data)
            data[self.random.randrange(len(data))] ^= 1
            self.disk.files[path].data = bytes(data)


@pytest.fixture
def inline(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run_sync(work: Callable[..., Any], *args: Any, abandon_on_cancel: bool) -> Any:
        await trio.lowlevel.checkpoint()
        return work(*args)

    monkeypatch.setattr(trio.to_thread, "run_sync", run_sync)


@pytest.fixture(scope="module")
def conf(tmp_path_factory: pytest.TempPathFactory) -> Any:
    return relaying.config(tmp_path_factory.mktemp("model"))


@settings(
    max_examples=250,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@example(
    lives=[
        # The machine dies before the second copy is written.
        {"steps": [("leave out", 0)], "dies_at": 10, "damaged_file": 0, "pause_s": 0.0},
        {"steps": [], "dies_at": -1, "damaged_file": 2, "pause_s": 0.0},  # A start writes the second copy.
        {"steps": [], "dies_at": -1, "damaged_file": 0, "pause_s": 0.0},
    ],
    seed=0,
)
@given(lives=LIVES, seed=st.integers(0, 1 << 16))
def test_no_server_known_to_have_departed_comes_back(
    inline: None, conf: Any, lives: list[Any], seed: int
) -> None:
    history = SnapshotHistory(conf, seed)
    for life in lives:
        history.disk.dies_at_step = history.disk.steps + life["dies_at"] if life["dies_at"] >= 0 else -1
        clock = trio.testing.MockClock(autojump_threshold=0)
        try:
            trio.run(history.run_process, life["steps"], clock=clock)
        except BaseExceptionGroup as group:
            if group.split(MachineDied)[1] is not None:
                raise
            history.disk.restore_after_crash()
        history.now += clock.current_time() + life["pause_s"]
        history.damage_file(life["damaged_file"])
