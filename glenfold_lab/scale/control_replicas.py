"""Two layers of control replicas under hollow relays: the plays, what they have to keep, and the figures."""

import random
import tempfile
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack
from pathlib import Path

from glenfold_lab.scale import control_plays as plays
from glenfold_lab.scale.control_links import Links
from glenfold_lab.scale.control_plays import Play, PlayResult, Stage
from glenfold_lab.scale.control_processes import ControlProcesses
from glenfold_lab.scale.control_slopes import CALLS_SPREAD_S, MOST_OPENING, Size, processes_for
from glenfold_lab.scale.control_source import Source
from glenfold_lab.scale.control_topology import SOURCE, Topology, two_layers
from glenfold_lab.scale.hollow_fleet import FleetPlan, HollowFleet
from glenfold_lab.scale.measurements import Point

IN_FORCE_S = 4.0  # everywhere
REGIONS, ZONES = 4, 14
MEAN_GAP_S = 86_400 / 29_000  # between changes of the target
FAST_GAP_S = 0.25
LAYER_GAP_S = 0.5
AGAIN_S = 3.0  # until one that was killed starts again
CUT_S = 12.0
RETURN_WITHIN_S = 0.0

Tell = Callable[[PlayResult], None]

PLAYS: dict[str, Play] = {
    "idle": plays.idle(6.0),
    "steady": plays.steady(6, MEAN_GAP_S),
    "fast": plays.steady(40, FAST_GAP_S),
    "burst": plays.burst(plays.ZONE, apart=False),
    "scatter": plays.burst(plays.ZONE, apart=True),
    "killed": plays.killed("zone-3", AGAIN_S),
    "killed-region": plays.killed("region-0", AGAIN_S),
    "layer": plays.layer_restarted(2, LAYER_GAP_S),
    "layer-in-turn": plays.layer_in_turn(2, LAYER_GAP_S),
    "layer-killed": plays.layer_killed(2, LAYER_GAP_S),
    "layer-region": plays.layer_restarted(1, LAYER_GAP_S),
    "layer-region-killed": plays.layer_killed(1, LAYER_GAP_S),
    "cut": plays.cut("region-1", CUT_S, changes=4),
    "return": plays.return_at_once(RETURN_WITHIN_S, forget=False),
    "return-cold": plays.return_at_once(RETURN_WITHIN_S, forget=True),
}


def broken(result: PlayResult) -> list[str]:
    """What the play did not keep, in words."""
    judged = result.judgement
    faults = [
        f"{count} {name}"
        for name, count in (
            ("lost", judged.lost),
            ("doubled", judged.doubled),
            ("unknown", judged.unknown),
            ("disagreeing", judged.disagreeing),
        )
        if count
    ]
    if judged.in_force.max_s > IN_FORCE_S:
        faults.append(f"in force after {judged.in_force.max_s:.2f} s")
    return faults


def measure(size: Size, root: Path, names: Sequence[str], repeat: int, seed: int, tell: Tell) -> list[Point]:
    """The plays of these names, one after another. `root`: of the checkout whose replicas run. `tell` hears
    of each play as it ends."""
    topology = two_layers(size.watchers, REGIONS, ZONES)
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="glenfold-scale-")))
        source = stack.enter_context(Source(size.servers))
        links = stack.enter_context(Links(topology.link_plans(source.address)))
        control = stack.enter_context(ControlProcesses(topology, source.address, folder, root))
        plan = FleetPlan(topology.groups(source.address), CALLS_SPREAD_S, MOST_OPENING, seed)
        fleet = stack.enter_context(HollowFleet(plan, processes_for(size.watchers)))
        stage = Stage(source, fleet, control, links, random.Random(seed))
        values = [("start", "s", stage.begin())]
        for name in names:
            result = plays.perform(name, stage, PLAYS[name])
            tell(result)
            values += [(f"{name}.{rest}", unit, value) for rest, unit, value in _values(result, topology)]
    return [
        Point(f"replica.{name}", unit, size.dimension, size.value, value, repeat, seed)
        for name, unit, value in values
    ]


def _values(result: PlayResult, topology: Topology) -> Iterator[tuple[str, str, float]]:
    judged = result.judgement
    yield "in_force.p50", "s", judged.in_force.p50_s
    yield "in_force.p99", "s", judged.in_force.p99_s
    yield "in_force.max", "s", judged.in_force.max_s
    yield "drains_in_force.max", "s", judged.drains_in_force.max_s
    yield "lost", "revisions", float(judged.lost)
    yield "doubled", "lines", float(judged.doubled)
    yield "disagreeing", "watchers", float(judged.disagreeing)
    yield "whole_lists", "lists", float(judged.whole_lists)
    yield "refused", "calls", float(judged.refused)
    yield "watcher.bytes.mean", "B/s", judged.bytes_mean
    yield "watcher.bytes.worst", "B/s", judged.bytes_worst
    yield "watcher.bytes.most", "B in a second", float(judged.most_bytes)
    layers = {"source": [SOURCE]} | {
        f"layer_{number}": [process.name for process in topology.layer(number)] for number in (1, 2)
    }
    for layer, names in layers.items():
        used = [result.usage[name] for name in names if name in result.usage]
        if used:
            yield f"{layer}.cpu.mean", "s", sum(one.cpu_s for one in used) / len(used)
            yield f"{layer}.cpu.worst", "s", max(one.cpu_s for one in used)
            yield f"{layer}.memory", "MB", max(one.memory_mb for one in used)
