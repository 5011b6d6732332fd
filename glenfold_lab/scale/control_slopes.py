"""The slopes of today's mechanism: one agent that all watchers follow, without control processes between."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from glenfold_lab.scale import control_plays as plays
from glenfold_lab.scale.control_plays import PlayResult, Stage, Usage
from glenfold_lab.scale.control_source import Source
from glenfold_lab.scale.control_topology import SOURCE, flat
from glenfold_lab.scale.hollow_fleet import FleetPlan, HollowFleet
from glenfold_lab.scale.measurements import Point

MOST_OPENING = 64  # the agent's backlog
WATCHERS_A_PROCESS = 850
CALLS_SPREAD_S = 1.0  # over which relays spread their calls after a fault; longer for more relays
CHANGES = 4
GAP_S = 2.94  # 29,000 changes a day
FAST_CHANGES = 8
FAST_GAP_S = 1.5  # too soon for empty lines between them
IDLE_S = 6.0
SILENT_S = 4.0

Tell = Callable[[PlayResult], None]


@dataclass(frozen=True, slots=True)
class Size:
    """Of one measurement. `dimension`: which of the two is varied, `watchers` or `servers`."""

    dimension: str
    watchers: int
    servers: int

    @property
    def value(self) -> int:
        return self.watchers if self.dimension == "watchers" else self.servers


def processes_for(watchers: int) -> int:
    return -(-watchers // WATCHERS_A_PROCESS)


def measure(size: Size, repeat: int, seed: int, tell: Tell) -> list[Point]:
    """All plays of one size. `tell` hears of each as it ends."""
    with Source(size.servers) as source:
        groups = flat(size.watchers).groups(source.address)
        plan = FleetPlan(groups, CALLS_SPREAD_S, MOST_OPENING, seed)
        with HollowFleet(plan, processes_for(size.watchers)) as fleet:
            stage = Stage(source, fleet, chance=random.Random(seed))
            points = [
                Point(f"control.agent.{name}", unit, size.dimension, size.value, value, repeat, seed)
                for name, unit, value in _values(stage, tell)
            ]
    return points


def _values(stage: Stage, tell: Tell) -> Iterator[tuple[str, str, float]]:
    """Name, unit and value of each measurement."""
    watchers = stage.fleet.watchers
    before = plays.usage_now(stage.pids())[SOURCE]
    yield "start", "s", stage.begin()
    after = plays.usage_now(stage.pids())[SOURCE]
    yield "start.cpu", "ms a watcher", (after.cpu_s - before.cpu_s) / watchers * 1e3
    first = stage.fleet.collect()
    yield "whole_list.bytes", "B", sum(log.bytes_read for one in first for log in one.logs) / watchers

    def perform(name: str, play: plays.Play) -> tuple[PlayResult, Usage]:
        result = plays.perform(name, stage, play)
        tell(result)
        return result, result.usage[SOURCE]

    result, usage = perform("idle", plays.idle(IDLE_S))
    yield "idle.cpu", "share of a core", usage.cpu_s / result.length_s
    empty_line_s = usage.cpu_s / result.judgement.empty_lines
    yield "empty_line.cpu", "us a watcher", empty_line_s * 1e6
    yield "memory", "MB", usage.memory_mb
    result, usage = perform("steady", plays.steady(CHANGES, GAP_S))
    yield from _in_force("steady.", result)
    yield "steady.cpu", "share of a core", usage.cpu_s / result.length_s
    result, usage = perform("fast", plays.steady(FAST_CHANGES, FAST_GAP_S))
    changes_s = usage.cpu_s - empty_line_s * result.judgement.empty_lines
    yield "change.cpu", "us a watcher", changes_s / (FAST_CHANGES * watchers) * 1e6
    yield "change.bytes", "B", result.judgement.bytes_mean * result.length_s / FAST_CHANGES
    yield from _in_force("fast.", result)
    result, usage = perform("burst", plays.burst(plays.ZONE, apart=False))
    yield "zone_change.bytes", "B", result.judgement.bytes_read / watchers / 2  # it drains, and comes back
    yield from _in_force("burst.", result)
    result, usage = perform("return", plays.return_at_once(0.0, forget=False))
    yield "return.cpu", "ms a watcher", usage.cpu_s / watchers * 1e3
    yield from _in_force("return.", result)
    result, usage = perform("silent", plays.silent_source(SILENT_S))
    yield from _in_force("silent.", result)


def _in_force(prefix: str, result: PlayResult) -> Iterator[tuple[str, str, float]]:
    judgement = result.judgement
    yield f"{prefix}in_force.p50", "s", judgement.in_force.p50_s
    yield f"{prefix}in_force.p99", "s", judgement.in_force.p99_s
    yield f"{prefix}in_force.max", "s", judgement.in_force.max_s
    yield f"{prefix}lost", "revisions", float(judgement.lost)
    yield f"{prefix}doubled", "lines", float(judgement.doubled)
