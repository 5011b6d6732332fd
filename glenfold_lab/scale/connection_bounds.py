"""Bounds on what connections may cost a relay, as ratios within one run: what is over one, in words."""

import statistics
from collections.abc import Iterator

from glenfold_lab.scale.measurements import Results, fit, medians

REFERENCE = "machine.reference.cpu"  # us a step
MEMORY = "relay.connection.memory"
MEMORY_KB = 34.0  # a connection
CURVED = 0.1  # of the memory at a size, how far that may be from a straight line
GROWTH = 2.0  # of a cost, from the smallest size to the largest
STEPS = {  # of the reference work, that a cost may come to
    "relay.connection.setup.cpu": 7_000,
    "relay.connection.silent.cpu": 600,  # a connection and second
    "relay.delivery.cpu": 550,
    "relay.line.cpu": 1_100,
    "relay.line.up.cpu": 550,
}
MICROSECONDS = {"us": 1.0, "ms": 1_000.0, "ms/s": 1_000.0}
TOTAL = "ms/s"  # the unit of what all connections cost together


def exceeded(results: Results) -> Iterator[str]:
    """One sentence for each bound that the run is over."""
    line = fit(results.of(MEMORY))
    if line.slope > MEMORY_KB:
        yield f"{MEMORY}: {line.slope:.1f} kB a connection, over {MEMORY_KB:g}"
    if line.worst_residual > CURVED:
        yield f"{MEMORY}: {line.worst_residual:.0%} off a straight line, over {CURVED:.0%}"
    for quantity, bound in STEPS.items():
        costs = steps(results, quantity)
        if len(costs) < 2:
            yield f"{quantity}: measured at fewer than two sizes"
            continue
        if (middle := statistics.median(costs)) > bound:
            yield f"{quantity}: {middle:,.0f} steps of the reference work, over {bound:,}"
        if costs[-1] > GROWTH * costs[0]:
            yield f"{quantity}: grows from {costs[0]:,.0f} to {costs[-1]:,.0f} steps, over {GROWTH:g} times"


def steps(results: Results, quantity: str) -> list[float]:
    """What it costs at each size, in steps of the reference work done beside it; a total by connection."""
    step_us = medians(results.of(REFERENCE))
    points = [point for point in results.points if point.quantity == quantity]
    return [
        value * MICROSECONDS[points[0].unit] / step_us[size] / (size if points[0].unit == TOTAL else 1)
        for size, value in medians(points).items()
    ]
