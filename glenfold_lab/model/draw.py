"""Values of a history, drawn from the ranges of its scenario."""

import math
from collections.abc import Iterator

import numpy as np

from glenfold_lab.spec import Range

DRAW_BLOCK = 4096  # drawn ahead at once: one by one, numpy takes ten times as long


def value(wanted: Range, random: np.random.Generator) -> float:
    """One number stays itself and draws nothing; of a pair one between both is drawn, evenly."""
    if isinstance(wanted, tuple):
        low, high = wanted
        return float(random.uniform(low, high))
    return float(wanted)


def value_by_ratio(wanted: Range, random: np.random.Generator) -> float:
    """As `value`, but evenly by the logarithm: 10 to 20 as often as 20 to 40."""
    if isinstance(wanted, tuple) and min(wanted) > 0:
        low, high = wanted
        return float(math.exp(random.uniform(math.log(low), math.log(high))))
    return value(wanted, random)


def interpolate(wanted: Range, place: float) -> float:
    """The value at that place (0 to 1) of a range; for values that are drawn together."""
    if isinstance(wanted, tuple):
        low, high = wanted
        return low + (high - low) * place
    return float(wanted)


def lognormals(mean: float, sigma: float, random: np.random.Generator) -> Iterator[float]:
    """Without end; `sigma` is that of the logarithm, `mean` the mean of the values themselves."""
    middle = math.log(mean) - sigma * sigma / 2
    while True:
        yield from random.lognormal(middle, sigma, DRAW_BLOCK).tolist()


def assign_by_shares(count: int, shares: list[float], random: np.random.Generator) -> list[int]:
    """Places in `shares`, `count` of them, as near those shares as whole numbers allow, in a drawn order."""
    edges = np.round(np.cumsum(shares) / sum(shares) * count).astype(int)
    places = np.searchsorted(edges, np.arange(count), side="right")
    return [int(place) for place in random.permutation(places)]
