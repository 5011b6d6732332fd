"""Two layers of control replicas under hollow relays: the plays, what they have to keep, and the figures."""

import random
import tempfile
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from glenfold_lab.scale import control_plays as plays
from glenfold_lab.scale.control_links import Links
from glenfold_lab.scale.control_plays import Play, PlayResult, Stage, Usage
from glenfold_lab.scale.control_processes import ControlProcesses
from glenfold_lab.scale.control_relays import RealRelays
from glenfold_lab.scale.control_slopes import CALLS_SPREAD_S, Size, most_opening, processes_for
from glenfold_lab.scale.control_source import Source
from glenfold_lab.scale.control_topology import SOURCE, Topology, two_layers
from glenfold_lab.scale.hollow_fleet import FleetPlan, HollowFleet
from glenfold_lab.scale.measurements import Point

IN_FORCE_S = 4.0  # everywhere
REGIONS, ZONES = 4, 14
DRAINS = 8  # that can be looked for at them
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
    "relays": plays.drains_at_relays(4, MEAN_GAP_S),
    "relays-killed": plays.drains_at_relays(1, MEAN_GAP_S, killed_layer=2),
    "return": plays.return_at_once(RETURN_WITHIN_S, forget=False),
    "return-cold": plays.return_at_once(RETURN_WITHIN_S, forget=True),
}


@dataclass(frozen=True, slots=True)
class Order:
    """`plays`: names, in their order. `relays`: how many real ones. `root`: of the checkout whose replicas
    run."""

    plays: Sequence[str]
    relays: int
    root: Path


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
    waits_s = result.relays.waits_s
    if len(waits_s) < result.relays.expected:
        faults.append(f"{result.relays.expected - len(waits_s)} drains not in force at real relays")
    if max(waits_s, default=0.0) > IN_FORCE_S:
        faults.append(f"in force at a real relay after {max(waits_s):.2f} s")
    return faults


def measure(size: Size, order: Order, repeat: int, seed: int, tell: Tell) -> list[Point]:
    """The plays in their order. `tell` hears of each as it ends."""
    topology = two_layers(size.watchers, REGIONS, ZONES)
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="glenfold-scale-")))
        real = stack.enter_context(RealRelays(order.relays, size.servers, DRAINS, seed, folder))
        source = stack.enter_context(Source(size.servers, real.dial))
        links = stack.enter_context(Links(topology.link_plans(source.address)))
        control = stack.enter_context(ControlProcesses(topology, source.address, folder, order.root))
        plan = FleetPlan(topology.groups(source.address), CALLS_SPREAD_S, most_opening(size.servers), seed)
        fleet = stack.enter_context(HollowFleet(plan, processes_for(size.watchers)))
        stage = Stage(source, fleet, control, links, real, chance=random.Random(seed))
        values = [("start", "s", stage.begin())]
        real.start([process.address for process in topology.layer(2)])
        for name in order.plays:
            result = plays.perform(name, stage, PLAYS[name])
            tell(result)
            values += [(f"{name}.{rest}", unit, value) for rest, unit, value in _values(result, topology)]
            if name == "fast":
                values.append(("change.cpu", "us a watcher", _change_us(result, topology)))
            if name == "steady":
                values.append(("memory", "MB", max(one.memory_mb for one in _used(result, topology, 2))))
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
    if result.back_s:
        yield "back", "s", result.back_s
    yield "lost", "revisions", float(judged.lost)
    yield "doubled", "lines", float(judged.doubled)
    yield "disagreeing", "watchers", float(judged.disagreeing)
    yield "whole_lists", "lists", float(judged.whole_lists)
    yield "refused", "calls", float(judged.refused)
    yield "watcher.bytes.mean", "B/s", judged.bytes_mean
    yield "watcher.bytes.worst", "B/s", judged.bytes_worst
    yield "watcher.bytes.most", "B in a second", float(judged.most_bytes)
    layers = {"source": [result.usage[SOURCE]]} | {
        f"layer_{number}": _used(result, topology, number) for number in (1, 2)
    }
    layers["relay"] = [usage for name, usage in result.usage.items() if name.startswith("relay-")]
    if result.relays.waits_s:
        yield "relay.in_force.max", "s", max(result.relays.waits_s)
    for layer, used in layers.items():
        if used:
            yield f"{layer}.cpu.mean", "s", sum(one.cpu_s for one in used) / len(used)
            yield f"{layer}.cpu.worst", "s", max(one.cpu_s for one in used)
            yield f"{layer}.memory", "MB", max(one.memory_mb for one in used)


def _used(result: PlayResult, topology: Topology, layer: int) -> list[Usage]:
    """Of the layer's processes that ran through the whole play."""
    names = [process.name for process in topology.layer(layer)]
    return [result.usage[name] for name in names if name in result.usage]


def _change_us(result: PlayResult, topology: Topology) -> float:
    """Processor time of a change for each watcher, in the layer that serves them."""
    used_s = sum(one.cpu_s for one in _used(result, topology, 2))
    return used_s / (result.judgement.revisions * result.judgement.watchers) * 1e6
