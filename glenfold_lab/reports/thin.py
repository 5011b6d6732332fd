"""Keeps what is drawn and written to a bounded size, whatever the world's size and the day's length."""

from collections.abc import Mapping
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.results import Series

POINTS = 400   # of a series
ROWS = 100     # of a heat map
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
    known. names: one a row, from the server most over its limit to the least loaded."""

    step_us: int
    names: tuple[str, ...]
    values: Values  # servers x steps

    @property
    def over_s(self) -> Values:
        """For how long each server was over its limit, in seconds."""
        over: Values = np.sum(self.values > 1.0, axis=1) * (self.step_us / 1e6)
        return over


def loads(by_server: Mapping[str, Series]) -> Loads:
    """Of all servers, each on the coarsest step among them; a step's value is its greatest."""
    rows = {name: series for name, series in by_server.items() if series.values}
    if not rows:
        return Loads(1, (), np.empty((0, 0)))
    step_us = max(series.step_us for series in rows.values())
    steps = max(-(-len(series.values) * series.step_us // step_us) for series in rows.values())
    values = np.full((len(rows), steps), np.nan)
    for row, series in zip(values, rows.values(), strict=True):
        _lay(row, series, step_us)
    peaks, over = np.nanmax(values, axis=1), np.sum(values > 1.0, axis=1)
    names = [f"{name} ({series.label})" if series.label else name for name, series in rows.items()]
    order = sorted(range(len(names)), key=lambda n: (-over[n], -peaks[n], names[n]))
    return Loads(step_us, tuple(names[n] for n in order), values[order])


def _lay(row: Values, series: Series, step_us: int) -> None:
    ends_at = (np.arange(len(series.values)) + 1) * series.step_us
    np.fmax.at(row, -(-ends_at // step_us) - 1, np.asarray(series.values, dtype=np.float64))


def blocks(values: Values, rows: int = ROWS, steps: int = POINTS) -> Values:
    """The greatest of each block of neighbours: at most so many rows and steps."""
    for axis, most in ((0, rows), (1, steps)):
        together = -(-values.shape[axis] // most)
        if together > 1:
            values = np.fmax.reduceat(values, np.arange(0, values.shape[axis], together), axis=axis)
    return values
