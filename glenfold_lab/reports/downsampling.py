"""Downsampling, which bounds the size of pages for any number of servers and any length of a history."""

import re
from collections.abc import Mapping
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.results import Series

MAX_POINTS = 400  # Limits the values of a series.
MAX_HEAT_ROWS = 100  # Limits the rows of a heat map.
PERCENTILE = re.compile(r"p\d+$")  # The names of rows with percentiles over all servers.
Values = NDArray[np.float64]


def downsample(series: Series, max_values: int = MAX_POINTS, keep_peaks: bool = False) -> Series:
    """Returns at most `max_values` values: means of neighbours, or with `keep_peaks` their maxima."""
    values = np.asarray(series.values, dtype=np.float64)
    block_size = -(-len(values) // max_values)
    if block_size <= 1:
        return series
    starts = np.arange(0, len(values), block_size)
    if keep_peaks:
        kept = np.maximum.reduceat(values, starts)
    else:
        kept = np.add.reduceat(values, starts) / np.diff(np.append(starts, len(values)))
    return Series(series.step_us * block_size, tuple(kept.tolist()), series.label)


@dataclass(frozen=True, slots=True)
class ServerLoads:
    """Load divided by the limit at that time, one row per server and one column per step; NaN where unknown.

    `names` has the name of each row, from the server that was over its limit for longest to the least loaded
    one. `percentiles` are over all servers, by label, for results that record only the worst servers.
    """

    step_us: int
    names: tuple[str, ...]
    values: Values  # Shape: servers x steps.
    percentiles: tuple[tuple[str, Values], ...] = ()

    @property
    def over_s(self) -> Values:
        """The time that each server was over its limit, in seconds."""
        over: Values = np.sum(self.values > 1.0, axis=1) * (self.step_us / 1e6)
        return over


def server_loads(by_server: Mapping[str, Series]) -> ServerLoads:
    """Resamples all series to the longest step among them. The value of a step is the maximum within it."""
    series = {name: server_series for name, server_series in by_server.items() if server_series.values}
    step_us = max((server_series.step_us for server_series in series.values()), default=1)
    steps = max(
        (
            -(-len(server_series.values) * server_series.step_us // step_us)
            for server_series in series.values()
        ),
        default=0,
    )
    rows = {name: _resampled(server_series, step_us, steps) for name, server_series in series.items()}
    percentiles = tuple((series[name].label, rows.pop(name)) for name in list(rows) if PERCENTILE.match(name))
    values = np.array(list(rows.values())).reshape(len(rows), steps)
    names = [_display_name(name, series[name].label) for name in rows]
    peaks, over = values.max(axis=1, where=~np.isnan(values), initial=0.0), np.sum(values > 1.0, axis=1)
    order = sorted(range(len(names)), key=lambda n: (-over[n], -peaks[n], names[n]))
    return ServerLoads(step_us, tuple(names[n] for n in order), values[order], percentiles)


def _display_name(name: str, label: str) -> str:
    return f"{name} ({label})" if label not in ("", name) else name


def _resampled(series: Series, step_us: int, steps: int) -> Values:
    row = np.full(steps, np.nan)
    ends_at = (np.arange(len(series.values)) + 1) * series.step_us
    np.fmax.at(row, -(-ends_at // step_us) - 1, np.asarray(series.values, dtype=np.float64))
    return row


def block_maxima(values: Values, rows: int = MAX_HEAT_ROWS, steps: int = MAX_POINTS) -> Values:
    """Returns the maximum of each block of neighbours, with at most `rows` rows and `steps` columns."""
    for axis, max_length in ((0, rows), (1, steps)):
        block_size = -(-values.shape[axis] // max_length)
        if block_size > 1:
            values = np.fmax.reduceat(values, np.arange(0, values.shape[axis], block_size), axis=axis)
    return values
