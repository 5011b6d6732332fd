"""Draws values of a history from the ranges of its scenario."""

import math
from collections.abc import Iterator

import numpy as np

from glenfold_lab.spec import Range

DRAW_BLOCK = 4096  # Values per call of numpy; drawing them one by one takes ten times as long.


def value(wanted: Range, random: np.random.Generator) -> float:
    """Returns a number as it is, without a draw, or draws uniformly between the two numbers of a pair."""
    if isinstance(wanted, tuple):
        low, high = wanted
        return float(random.uniform(low, high))
    return float(wanted)


def value_by_ratio(wanted: Range, random: np.random.Generator) -> float:
    """Draws like `value`, but uniformly by the logarithm: 10 to 20 is as likely as 20 to 40."""
    if isinstance(wanted, tuple) and min(wanted) > 0:
        low, high = wanted
        return float(math.exp(random.uniform(math.log(low), math.log(high))))
    return value(wanted, random)


def interpolate(wanted: Range, position: float) -> float:
    """Returns the value at `position` (0 to 1) of a range, for values that share one draw."""
    if isinstance(wanted, tuple):
        low, high = wanted
        return low + (high - low) * position
    return float(wanted)


def lognormals(mean: float, sigma: float, random: np.random.Generator) -> Iterator[float]:
    """Yields log-normal values without end.

    `mean` is the mean of the values, and `sigma` the standard deviation of their logarithm.
    """
    middle = math.log(mean) - sigma * sigma / 2
    while True:
        yield from random.lognormal(middle, sigma, DRAW_BLOCK).tolist()


def assign_by_shares(count: int, shares: list[float], random: np.random.Generator) -> list[int]:
    """Returns `count` indices into `shares` in random order.

    Each index occurs in proportion to its share, as closely as whole numbers allow.
    """
    edges = np.round(np.cumsum(shares) / sum(shares) * count).astype(int)
    indices = np.searchsorted(edges, np.arange(count), side="right")
    return [int(index) for index in random.permutation(indices)]
