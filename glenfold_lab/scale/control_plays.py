"""The plays of the control side: what befalls source, control processes and watchers, and what was judged."""

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import psutil  # type: ignore[import-untyped]

from glenfold_lab.observe import ListedState
from glenfold_lab.scale.control_judge import Judge, Judgement, Outage
from glenfold_lab.scale.control_links import Links
from glenfold_lab.scale.control_processes import ControlProcesses
from glenfold_lab.scale.control_relays import RealRelays
from glenfold_lab.scale.control_source import Source
from glenfold_lab.scale.control_topology import SOURCE
from glenfold_lab.scale.hollow_fleet import HollowFleet

LOOK_S = 0.05
PATIENCE_S = 40.0  # for all watchers to have a revision
START_PATIENCE_S = 600.0  # for all to have read the whole list
ZONE = 3  # whose servers a burst is about
END_S = 20.0  # after SIGTERM, before SIGKILL
AFTER_S = 2.5  # a line that comes once more, or is silent, shows by then


class PlayFailed(Exception):
    """What a play waits for did not come."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Of one process over a play. `cpu_s`: processor time; `memory_mb`: resident at the end."""

    cpu_s: float
    memory_mb: float


@dataclass(slots=True)
class RelayWaits:
    """Of drains at real relays: how many should be in force at one, and after how many seconds each was."""

    expected: int = 0
    waits_s: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PlayResult:
    """`usage`: by the process's name; a process that was started or killed in the play is left out. `back_s`:
    until a layer that was restarted served again, 0 if none was."""

    name: str
    length_s: float
    judgement: Judgement
    usage: dict[str, Usage]
    relays: RelayWaits
    back_s: float


@dataclass(slots=True)
class Stage:
    """What a play acts on. `control`, `links`, `relays`: where there are any. `after_s`: how much longer
    watchers are heard once all have caught up. `back_s`: after how long all of a layer that was restarted
    in the play served again."""

    source: Source
    fleet: HollowFleet
    control: ControlProcesses | None = None
    links: Links | None = None
    relays: RealRelays | None = None
    relay_waits: RelayWaits = field(default_factory=RelayWaits)
    chance: random.Random = field(default_factory=lambda: random.Random(1))
    revision: int = 1
    after_s: float = AFTER_S
    back_s: float = 0.0

    def pids(self) -> dict[str, int]:
        """Of the source, and of all control processes and real relays that run."""
        control = self.control.pids() if self.control is not None else {}
        relays = self.relays.pids() if self.relays is not None else {}
        return {SOURCE: self.source.pid} | control | relays

    def publish(self, servers: Sequence[int], state: ListedState) -> None:
        self.revision = self.source.publish(servers, state)

    def wait_for_all(self, patience_s: float = PATIENCE_S) -> bool:
        """Whether all watchers watch and know the last revision in time."""
        until = time.monotonic() + patience_s
        while time.monotonic() < until:
            standing = self.fleet.look()
            if standing.watching == self.fleet.watchers and standing.slowest >= self.revision:
                return True
            time.sleep(LOOK_S)
        return False

    def begin(self) -> float:
        """Seconds until all watchers have read the list and watch. Raises PlayFailed."""
        began = time.monotonic()
        if not self.wait_for_all(START_PATIENCE_S):
            raise PlayFailed(f"not all watchers have a list after {START_PATIENCE_S} s: {self.fleet.look()}")
        return time.monotonic() - began


Play = Callable[[Stage], dict[str, Outage]]


def perform(name: str, stage: Stage, play: Play) -> PlayResult:
    """Plays, waits until all watchers have caught up and a little longer, and judges. What did not come in
    time is in the judgement."""
    stage.fleet.collect()
    stage.relay_waits = RelayWaits()
    stage.back_s = 0.0
    pids_before = stage.pids()
    before = usage_now(pids_before)
    began = time.monotonic()
    outages = play(stage)
    stage.wait_for_all()
    time.sleep(stage.after_s)
    ended = time.monotonic()
    pids = stage.pids()
    usage = _spent(before, pids_before, usage_now(pids), pids)
    history = stage.source.history()
    judge = Judge(history, round(began * 1e6), round(ended * 1e6), outages)
    return PlayResult(
        name, ended - began, judge.judge(stage.fleet.collect()), usage, stage.relay_waits, stage.back_s
    )


# ---- the plays ----


def idle(seconds: float) -> Play:
    """Nothing changes."""

    def play(stage: Stage) -> dict[str, Outage]:
        time.sleep(seconds)
        return {}

    return play


def steady(changes: int, gap_s: float) -> Play:
    """One server after another drains, and comes back with the next change."""

    def play(stage: Stage) -> dict[str, Outage]:
        due = time.monotonic()
        server = 0
        for n in range(changes):
            if n % 2 == 0:
                server = stage.chance.randrange(stage.source.servers)
            stage.publish([server], ListedState.DRAINING if n % 2 == 0 else ListedState.READY)
            due += gap_s
            time.sleep(max(0.0, due - time.monotonic()))
        return {}

    return play


def burst(zone: int, apart: bool) -> Play:
    """All servers of a zone drain at once, and come back at once when that is in force everywhere. `apart`:
    each by a revision of its own."""

    def play(stage: Stage) -> dict[str, Outage]:
        servers = stage.source.zone(zone)
        for state in (ListedState.DRAINING, ListedState.READY):
            for part in [[server] for server in servers] if apart else [servers]:
                stage.publish(part, state)
            stage.wait_for_all()
        return {}

    return play


def return_at_once(within_s: float, forget: bool) -> Play:
    """All watchers close and come again, while a server drains. `forget`: as relays that know no list."""

    def play(stage: Stage) -> dict[str, Outage]:
        stage.fleet.drop(within_s, forget)
        server = stage.chance.randrange(stage.source.servers)
        stage.publish([server], ListedState.DRAINING)
        stage.wait_for_all()
        stage.publish([server], ListedState.READY)
        return {}

    return play


def reset_connections() -> Play:
    """All connections to the source are reset, and a server drains."""

    def play(stage: Stage) -> dict[str, Outage]:
        stage.source.reset()
        stage.publish([stage.chance.randrange(stage.source.servers)], ListedState.DRAINING)
        return {}

    return play


def silent_source(seconds: float) -> Play:
    """The source says nothing for so long, while a server drains."""

    def play(stage: Stage) -> dict[str, Outage]:
        began = time.monotonic()
        stage.source.speak(False)
        stage.publish([stage.chance.randrange(stage.source.servers)], ListedState.DRAINING)
        time.sleep(seconds)
        stage.source.speak(True)
        outage = Outage(round(began * 1e6), round(time.monotonic() * 1e6))
        return {group.name: outage for group in stage.fleet.plan.groups}

    return play


def killed(name: str, again_s: float) -> Play:
    """A control process is killed in the middle of a zone's burst, and starts again so much later."""

    def play(stage: Stage) -> dict[str, Outage]:
        assert stage.control is not None
        servers = stage.source.zone(ZONE)
        for server in servers:
            stage.publish([server], ListedState.DRAINING)
            if server == servers[len(servers) // 2]:
                stage.control.kill([name])
        time.sleep(again_s)
        stage.control.start([name])
        for server in servers:
            stage.publish([server], ListedState.READY)
        return {}

    return play


def layer_restarted(layer: int, gap_s: float) -> Play:
    """All control processes of a layer get SIGTERM at once, and each starts again when it has ended, while
    servers drain and come back."""

    def play(stage: Stage) -> dict[str, Outage]:
        assert stage.control is not None
        names = _layer(stage, layer)
        began = time.monotonic()
        _restart(stage, stage.control, names, gap_s)
        stage.control.wait_until_ready(names)
        stage.back_s = time.monotonic() - began
        steady(4, gap_s)(stage)
        return {}

    return play


def layer_in_turn(layer: int, gap_s: float) -> Play:
    """The control processes of a layer are restarted by SIGTERM, the next one once the last serves again."""

    def play(stage: Stage) -> dict[str, Outage]:
        assert stage.control is not None
        for name in _layer(stage, layer):
            _restart(stage, stage.control, [name], gap_s)
            stage.control.wait_until_ready([name])
        return {}

    return play


def _restart(stage: Stage, control: ControlProcesses, names: Sequence[str], gap_s: float) -> None:
    """Until all of them have ended and begun again, with a change every `gap_s`."""
    left = set(names)
    control.terminate(names)
    changes, due = 0, 0.0
    until = time.monotonic() + END_S
    while left:
        now = time.monotonic()
        if now > until:
            control.kill(left)
        if now >= due:
            due, changes = now + gap_s, changes + 1
            stage.publish([(changes - 1) // 2], ListedState.DRAINING if changes % 2 else ListedState.READY)
        left -= set(control.start_ended(left))
        time.sleep(LOOK_S)


def layer_killed(layer: int, gap_s: float) -> Play:
    """All control processes of a layer are killed at once and start again at once, while servers drain."""

    def play(stage: Stage) -> dict[str, Outage]:
        assert stage.control is not None
        names = _layer(stage, layer)
        began = time.monotonic()
        stage.control.kill(names)
        stage.publish([stage.chance.randrange(stage.source.servers)], ListedState.DRAINING)
        stage.control.start(names)
        stage.control.wait_until_ready(names)
        stage.back_s = time.monotonic() - began
        steady(6, gap_s)(stage)
        return {}

    return play


def _layer(stage: Stage, layer: int) -> list[str]:
    assert stage.control is not None
    return [process.name for process in stage.control.topology.layer(layer)]


def cut(region: str, seconds: float, changes: int) -> Play:
    """Nothing passes the region's border for so long, while servers drain."""

    def play(stage: Stage) -> dict[str, Outage]:
        assert stage.links is not None
        began = time.monotonic()
        stage.links.hold(region, True)
        steady(changes, seconds / changes)(stage)
        time.sleep(max(0.0, began + seconds - time.monotonic()))
        stage.links.hold(region, False)
        return {region: Outage(round(began * 1e6), round(time.monotonic() * 1e6))}

    return play


def drains_at_relays(drains: int, gap_s: float, killed_layer: int = 0) -> Play:
    """Servers drain, one after another, whose keys show at the real relays when that is in force.
    `killed_layer`: all of it is killed right after each, and starts again at once."""

    def play(stage: Stage) -> dict[str, Outage]:
        assert stage.relays is not None and stage.control is not None
        for _ in range(drains):
            drained = stage.relays.drain(stage.source)
            stage.revision = drained.revision
            if killed_layer:
                names = _layer(stage, killed_layer)
                stage.control.kill(names)
                stage.control.start(names)
            stage.relay_waits.expected += drained.at_home
            stage.relay_waits.waits_s += drained.in_force_s()
            time.sleep(gap_s)
        return {}

    return play


# ---- what processes use ----


def usage_now(pids: dict[str, int]) -> dict[str, Usage]:
    """Since each process began."""
    usage = {}
    for name, pid in pids.items():
        process = psutil.Process(pid)
        times = process.cpu_times()
        usage[name] = Usage(times.user + times.system, process.memory_info().rss / 1e6)
    return usage


def _spent(
    before: dict[str, Usage], pids_before: dict[str, int], after: dict[str, Usage], pids: dict[str, int]
) -> dict[str, Usage]:
    same = [name for name in after if pids_before.get(name) == pids[name]]
    return {name: Usage(after[name].cpu_s - before[name].cpu_s, after[name].memory_mb) for name in same}
