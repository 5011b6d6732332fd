"""Keeps what is drawn and written to a bounded size, whatever the world's size and the day's length."""

import re
from collections.abc import Mapping
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.results import Series

POINTS = 400  # of a series
ROWS = 100  # of a heat map
PERCENTILE = re.compile(r"p\d+$")  # the name of such a row among those of servers
Values = NDArray[np.float64]


def thin(series: Series, most: int = POINTS, peaks: bool = False) -> Series:
    """At most so many values: each the mean, or with `peaks` the greatest, of as many neighbours."""
    values = np.asarray(series.values, dtype=np.float64)
    together = -(-len(values) // most)
    if together <= 1:
        return series
    starts = np.arange(0, len(values), together)
    if peaks:
        kept = np.maximum.reduceat(values, starts)
    else:
        kept = np.add.reduceat(values, starts) / np.diff(np.append(starts, len(values)))
    return Series(series.step_us * together, tuple(kept.tolist()), series.label)


@dataclass(frozen=True, slots=True)
class Loads:
    """Load over the limit at the moment, as rows of servers over steps of one length; NaN where nothing is
    known. names: one a row, from the server longest over its limit to the least loaded. percentiles: of all
    servers, by their labels, where a result tells of the worst servers only."""

    step_us: int
    names: tuple[str, ...]
    values: Values  # servers x steps
    percentiles: tuple[tuple[str, Values], ...] = ()

    @property
    def over_s(self) -> Values:
        """For how long each server was over its limit, in seconds."""
        over: Values = np.sum(self.values > 1.0, axis=1) * (self.step_us / 1e6)
        return over


def loads(by_server: Mapping[str, Series]) -> Loads:
    """Of all servers, each on the coarsest step among them; a step's value is its greatest."""
    series = {name: one for name, one in by_server.items() if one.values}
    step_us = max((one.step_us for one in series.values()), default=1)
    steps = max((-(-len(one.values) * one.step_us // step_us) for one in series.values()), default=0)
    rows = {name: _laid(one, step_us, steps) for name, one in series.items()}
    percentiles = tuple((series[name].label, rows.pop(name)) for name in list(rows) if PERCENTILE.match(name))
    values = np.array(list(rows.values())).reshape(len(rows), steps)
    shown = [_shown(name, series[name].label) for name in rows]
    peaks, over = values.max(axis=1, where=~np.isnan(values), initial=0.0), np.sum(values > 1.0, axis=1)
    order = sorted(range(len(shown)), key=lambda n: (-over[n], -peaks[n], shown[n]))
    return Loads(step_us, tuple(shown[n] for n in order), values[order], percentiles)


def _shown(name: str, label: str) -> str:
    return f"{name} ({label})" if label not in ("", name) else name


def _laid(series: Series, step_us: int, steps: int) -> Values:
    row = np.full(steps, np.nan)
    ends_at = (np.arange(len(series.values)) + 1) * series.step_us
    np.fmax.at(row, -(-ends_at // step_us) - 1, np.asarray(series.values, dtype=np.float64))
    return row


def blocks(values: Values, rows: int = ROWS, steps: int = POINTS) -> Values:
    """The greatest of each block of neighbours: at most so many rows and steps."""
    for axis, most in ((0, rows), (1, steps)):
        together = -(-values.shape[axis] // most)
        if together > 1:
            values = np.fmax.reduceat(values, np.arange(0, values.shape[axis], together), axis=axis)
    return values
