"""The slopes of today's mechanism: one agent that all watchers follow, without control processes between."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from glenfold_lab.scale import control_plays as plays
from glenfold_lab.scale.control_plays import Play, PlayResult, Stage
from glenfold_lab.scale.control_source import Source
from glenfold_lab.scale.control_topology import SOURCE, flat
from glenfold_lab.scale.hollow_fleet import FleetPlan, HollowFleet
from glenfold_lab.scale.measurements import Point

MOST_OPENING = 64  # the agent's backlog
MOST_OPENING_SERVERS = 64 * 1024  # of whole lists under way: a watcher waits 3 s for a part of one
WATCHERS_A_PROCESS = 850
CALLS_SPREAD_S = 1.0  # over which relays spread their calls after a fault; longer for more relays
CHANGES = 4
GAP_S = 2.94  # 29,000 changes a day
FAST_CHANGES = 8
FAST_GAP_S = 1.5  # too soon for empty lines between them
IDLE_S = 6.0
SILENT_S = 4.0

Tell = Callable[[PlayResult], None]
Value = tuple[str, str, float]  # name, unit and value of what was measured


@dataclass(frozen=True, slots=True)
class Size:
    """Of one measurement. `dimension`: which of the two is varied, `watchers` or `servers`."""

    dimension: str
    watchers: int
    servers: int

    @property
    def value(self) -> int:
        return self.watchers if self.dimension == "watchers" else self.servers


def most_opening(servers: int) -> int:
    """How many watchers may read whole lists at once when they begin: in 3 s an agent has to serve all."""
    return max(1, min(MOST_OPENING, MOST_OPENING_SERVERS // servers))


def processes_for(watchers: int) -> int:
    return -(-watchers // WATCHERS_A_PROCESS)


def measure(size: Size, repeat: int, seed: int, tell: Tell) -> list[Point]:
    """All plays of one size. `tell` hears of each as it ends."""
    with Source(size.servers) as source:
        groups = flat(size.watchers).groups(source.address)
        plan = FleetPlan(groups, CALLS_SPREAD_S, most_opening(size.servers), seed)
        with HollowFleet(plan, processes_for(size.watchers)) as fleet:
            stage = Stage(source, fleet, chance=random.Random(seed))
            values = _Agent(stage, tell).values()
            return [
                Point(f"control.agent.{name}", unit, size.dimension, size.value, value, repeat, seed)
                for name, unit, value in values
            ]


class _Agent:
    """The plays of one size. Values are told by name and unit."""

    def __init__(self, stage: Stage, tell: Tell) -> None:
        self._stage = stage
        self._tell = tell
        self._watchers = stage.fleet.watchers
        self._empty_line_s = 0.0  # processor time for one watcher

    def values(self) -> Iterator[Value]:
        yield from self._start()
        yield from self._idle()
        yield from self._steady()
        yield from self._fast()
        yield from self._burst()
        yield from self._return()
        yield from _in_force("reset", self._perform("reset", plays.reset_connections()))
        yield from _in_force("silent", self._perform("silent", plays.silent_source(SILENT_S)))

    def _perform(self, name: str, play: Play) -> PlayResult:
        result = plays.perform(name, self._stage, play)
        self._tell(result)
        return result

    def _start(self) -> Iterator[Value]:
        before = plays.usage_now(self._stage.pids())[SOURCE]
        yield "start", "s", self._stage.begin()
        after = plays.usage_now(self._stage.pids())[SOURCE]
        yield "start.cpu", "ms a watcher", (after.cpu_s - before.cpu_s) / self._watchers * 1e3
        collected = self._stage.fleet.collect()
        read = sum(log.bytes_read for one in collected for log in one.logs)
        yield "whole_list.bytes", "B", read / self._watchers

    def _idle(self) -> Iterator[Value]:
        result = self._perform("idle", plays.idle(IDLE_S))
        usage = result.usage[SOURCE]
        self._empty_line_s = usage.cpu_s / result.judgement.empty_lines
        yield "idle.cpu", "share of a core", usage.cpu_s / result.length_s
        yield "empty_line.cpu", "us a watcher", self._empty_line_s * 1e6
        yield "memory", "MB", usage.memory_mb

    def _steady(self) -> Iterator[Value]:
        result = self._perform("steady", plays.steady(CHANGES, GAP_S))
        yield from _in_force("steady", result)
        yield "steady.cpu", "share of a core", result.usage[SOURCE].cpu_s / result.length_s

    def _fast(self) -> Iterator[Value]:
        result = self._perform("fast", plays.steady(FAST_CHANGES, FAST_GAP_S))
        changes_s = result.usage[SOURCE].cpu_s - self._empty_line_s * result.judgement.empty_lines
        yield "change.cpu", "us a watcher", changes_s / (FAST_CHANGES * self._watchers) * 1e6
        yield "change.bytes", "B", result.judgement.bytes_read / (FAST_CHANGES * self._watchers)
        yield from _in_force("fast", result)

    def _burst(self) -> Iterator[Value]:
        result = self._perform("burst", plays.burst(plays.ZONE, apart=False))
        both = result.judgement.bytes_read / self._watchers  # the servers drain, and come back
        yield "zone_change.bytes", "B", both / 2
        yield from _in_force("burst", result)

    def _return(self) -> Iterator[Value]:
        result = self._perform("return", plays.return_at_once(0.0, forget=False))
        yield "return.cpu", "ms a watcher", result.usage[SOURCE].cpu_s / self._watchers * 1e3
        yield from _in_force("return", result)


def _in_force(play: str, result: PlayResult) -> Iterator[Value]:
    judgement = result.judgement
    yield f"{play}.in_force.p50", "s", judgement.in_force.p50_s
    yield f"{play}.in_force.p99", "s", judgement.in_force.p99_s
    yield f"{play}.in_force.max", "s", judgement.in_force.max_s
    yield f"{play}.lost", "revisions", float(judgement.lost)
    yield f"{play}.doubled", "lines", float(judgement.doubled)
