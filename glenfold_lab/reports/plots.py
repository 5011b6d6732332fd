"""Plots of histories and comparisons. Each function returns inline SVG, or "" if there is no data."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import numpy as np
from matplotlib.axes import Axes
from matplotlib.colors import LinearSegmentedColormap
from matplotlib.ticker import FuncFormatter, LogLocator, MaxNLocator, NullLocator

from glenfold_lab.reports.downsampling import (
    MAX_HEAT_ROWS,
    MAX_POINTS,
    ServerLoads,
    Values,
    block_maxima,
    downsample,
)
from glenfold_lab.reports.svg import COLOURS, LINE_COLOURS, Drawing, short_label
from glenfold_lab.results import Distribution, Happened, Series

MAX_EVENTS = 40  # Limits the shaded events, and the rows of the time line.
MAX_HEAT_LOAD = 2.0  # The load, divided by the limit, at the upper end of the colour scale.
MAX_WORST_SERVERS = 5  # Limits the servers with a line of their own.
DASH_STYLES = ((0, (4, 2)), (0, (1, 1.5)), (0, (6, 2, 1, 2)), (0, (9, 3)))

# Load 0 is transparent, so that the map suits a light and a dark page. Loads up to the limit are blue, loads
# above it orange to red.
LOAD_COLORMAP = LinearSegmentedColormap.from_list(
    "load",
    [
        (0.0, (0.25, 0.5, 0.85, 0.0)),
        (0.4999, (0.15, 0.4, 0.85, 0.9)),
        (0.5, (0.95, 0.6, 0.1, 1.0)),
        (1.0, (0.75, 0.0, 0.1, 1.0)),
    ],
)


@dataclass(frozen=True, slots=True)
class TimeAxis:
    """The time axis that the plots of one history share.

    `name` is the prefix of the names of these plots and has no spaces.
    """

    name: str
    length_us: int
    happened: tuple[Happened, ...] = ()

    def set_up_axes(self, axes: Axes, unit: str) -> None:
        """Sets the range and labels of `axes`, and marks the events."""
        axes.set_xlim(0.0, self.length_us / 1e6)
        axes.set_xlabel("time, s")
        axes.set_ylabel(unit)
        for event in self.happened[:MAX_EVENTS]:
            since, until = event.at_us / 1e6, (event.until_us or event.at_us) / 1e6
            if until <= since:
                axes.axvline(since, color=COLOURS["faint"], linewidth=0.8, linestyle=":")
            else:
                axes.axvspan(since, until, facecolor=COLOURS["shade"], alpha=0.22, linewidth=0)


def plot_lines(
    time_axis: TimeAxis, name: str, series: Mapping[str, Series], unit: str, top: float | None = None
) -> str:
    """Plots series over time, by label. `top` is the maximum of the unit, if it has one."""
    curves = {title: downsample(curve) for title, curve in series.items() if curve.values}
    if not curves:
        return ""
    with Drawing(f"{time_axis.name}-{name}", 2.5) as drawing:
        axes = drawing.axes()
        single_label = short_label(next(iter(curves))) if len(curves) == 1 else ""
        time_axis.set_up_axes(axes, ", ".join(filter(None, (single_label, unit))))
        for n, (title, curve) in enumerate(curves.items()):
            _plot_steps(
                axes,
                curve.step_us,
                curve.values,
                label=short_label(title),
                linestyle="-" if n < LINE_COLOURS else "--",
            )
        axes.set_ylim(0.0, top and top * 1.02)
        _format_thousands(axes)
        if len(curves) > 1:
            _add_legend(drawing)
        return drawing.svg(f"{', '.join(curves)} over time")


def plot_stacked(
    time_axis: TimeAxis, name: str, series: Mapping[str, Series], unit: str, top: float | None = None
) -> str:
    """Plots series over time as stacked areas, in their order."""
    curves = {title: downsample(curve) for title, curve in series.items() if curve.values}
    if not curves:
        return ""
    with Drawing(f"{time_axis.name}-{name}", 2.5) as drawing:
        axes = drawing.axes()
        time_axis.set_up_axes(axes, unit)
        longest = max(curves.values(), key=lambda curve: len(curve.values))
        heights = [
            np.interp(_step_ends_s(longest), _step_ends_s(curve), curve.values) for curve in curves.values()
        ]
        axes.stackplot(
            _step_ends_s(longest),
            heights,
            step="pre",
            labels=[short_label(title) for title in curves],
            colors=[COLOURS[f"line{n % LINE_COLOURS}"] for n in range(len(curves))],
            alpha=0.85,
        )
        axes.set_ylim(0.0, top)
        _format_thousands(axes)
        _add_legend(drawing)
        return drawing.svg(f"{', '.join(curves)} over time, on top of each other")


def plot_heat_map(time_axis: TimeAxis, loads: ServerLoads) -> str:
    """Plots a heat map of each server's load divided by its limit at that time.

    With many servers, a row shows the maximum of neighbouring servers.
    """
    if not loads.names:
        return ""
    image_rows = block_maxima(loads.values)
    with Drawing(f"{time_axis.name}-heat", 2.1 + 2.4 * min(1.0, len(image_rows) / MAX_HEAT_ROWS)) as drawing:
        axes = drawing.axes()
        span_s = loads.values.shape[1] * loads.step_us / 1e6
        image = axes.imshow(
            image_rows,
            cmap=LOAD_COLORMAP,
            vmin=0.0,
            vmax=MAX_HEAT_LOAD,
            aspect="auto",
            interpolation="none",
            extent=(0.0, span_s, len(loads.names), 0),
        )
        axes.grid(False)
        axes.set_xlim(0.0, time_axis.length_us / 1e6)
        axes.set_xlabel("time, s")
        axes.set_ylabel("servers, worst first")
        axes.yaxis.set_major_locator(MaxNLocator(nbins=6, integer=True, min_n_ticks=1))
        color_bar = drawing.figure.colorbar(
            image, ax=axes, extend="max", location="top", shrink=0.5, aspect=40, anchor=(1.0, 0.0), pad=0.02
        )
        color_bar.set_label("load, of the limit", labelpad=4)
        color_bar.outline.set_visible(False)
        return drawing.svg("load of each server against its limit over time")


def plot_worst_servers(time_axis: TimeAxis, loads: ServerLoads) -> str:
    """Plots the servers that were over their limit for longest, and the limit.

    Dashed lines show the percentiles over all servers if the result has them, else the median of its servers.
    """
    if not loads.names:
        return ""
    with Drawing(f"{time_axis.name}-worst", 2.6) as drawing:
        axes = drawing.axes()
        time_axis.set_up_axes(axes, "load, of the limit")
        for name, values in zip(loads.names[:MAX_WORST_SERVERS], loads.values, strict=False):
            _plot_row(axes, loads, values, label=short_label(name), linewidth=1.2)
        of_all = loads.percentiles or (("median of all", np.nanmedian(loads.values, axis=0)),)
        for n, (name, values) in enumerate(of_all):
            _plot_row(
                axes,
                loads,
                values,
                label=short_label(name),
                color=COLOURS["ink"],
                linewidth=1.0,
                linestyle=DASH_STYLES[n % len(DASH_STYLES)],
            )
        axes.axhline(1.0, color=COLOURS["bad"], linewidth=1.6, label="limit")
        axes.set_ylim(bottom=0.0)
        _add_legend(drawing)
        return drawing.svg("load of the worst servers against the limit over time")


def plot_quantiles(time_axis: TimeAxis, set_up: Mapping[str, Distribution]) -> str:
    """Plots the quantiles of the set-up latencies by class, for the slowest classes."""
    slowest_first = sorted(
        (
            (name, distribution)
            for name, distribution in set_up.items()
            if distribution.count and distribution.quantiles
        ),
        key=lambda pair: (-max(pair[1].quantiles.values()), pair[0]),
    )[:LINE_COLOURS]
    if not slowest_first:
        return ""
    marks = sorted({mark for _, distribution in slowest_first for mark in distribution.quantiles}, key=float)
    with Drawing(f"{time_axis.name}-percentiles", 2.6) as drawing:
        axes = drawing.axes()
        for name, distribution in slowest_first:
            positions = [position for position, mark in enumerate(marks) if mark in distribution.quantiles]
            axes.plot(
                positions,
                [max(distribution.quantiles[marks[position]], 1) / 1e3 for position in positions],
                marker="o",
                markersize=4,
                label=short_label(name),
            )
        axes.set_yscale("log")
        axes.yaxis.set_major_locator(LogLocator(subs=(1.0, 2.0, 5.0)))
        axes.yaxis.set_minor_locator(NullLocator())
        _format_thousands(axes)
        axes.set_ylabel("set-up, ms (log.)")
        axes.set_xlabel("share of set-ups that took no longer, %")
        axes.set_xticks(range(len(marks)), marks)
        _add_legend(drawing)
        return drawing.svg("set-up latency by share of set-ups")


def plot_time_line(time_axis: TimeAxis) -> str:
    """Plots a time line with a row for each kind of event, in the order of first occurrence."""
    events = sorted(time_axis.happened, key=lambda event: event.at_us)
    rows = list(dict.fromkeys(event.what for event in events))[:MAX_EVENTS]
    if not rows:
        return ""
    with Drawing(f"{time_axis.name}-happened", 0.8 + 0.24 * len(rows)) as drawing:
        axes = drawing.axes()
        for row, what in enumerate(rows):
            same_kind = [event for event in events if event.what == what][:MAX_POINTS]
            spans = [
                (event.at_us / 1e6, (event.until_us - event.at_us) / 1e6)
                for event in same_kind
                if event.until_us is not None
            ]
            axes.broken_barh(spans, (row - 0.3, 0.6), facecolor=COLOURS["shade"], alpha=0.6, linewidth=0)
            times_s = [event.at_us / 1e6 for event in same_kind]
            axes.plot(
                times_s, [row] * len(times_s), linestyle="", marker="|", markersize=9, color=COLOURS["bad"]
            )
        axes.set_yticks(range(len(rows)), [short_label(what.replace("_", " "), 60) for what in rows])
        axes.set_ylim(len(rows) - 0.5, -0.5)
        axes.set_xlim(0.0, time_axis.length_us / 1e6)
        axes.set_xlabel("time, s")
        return drawing.svg("what failed when")


def plot_spread(name: str, title: str, unit: str, groups: Mapping[str, Sequence[float]]) -> str:
    """Plots one figure by group, with a dot for each seed and a bar at the mean."""
    with Drawing(name, 0.8 + 0.26 * len(groups)) as drawing:
        axes = drawing.axes()
        for row, values in enumerate(groups.values()):
            axes.plot(
                values,
                [row] * len(values),
                linestyle="",
                marker="o",
                markersize=4.5,
                alpha=0.55,
                color=COLOURS["line0"],
            )
            axes.plot(
                [float(np.mean(values))],
                [row],
                marker="|",
                markersize=13,
                markeredgewidth=2.2,
                color=COLOURS["ink"],
            )
        axes.set_yticks(range(len(groups)), [short_label(group, 60) for group in groups])
        axes.set_ylim(len(groups) - 0.5, -0.5)
        axes.set_xlabel(f"{title}, {unit}" if unit else title)
        return drawing.svg(f"{title} by group, a dot for each seed")


def _step_ends_s(series: Series) -> Values:
    """Returns the end of each step, in seconds."""
    return np.arange(1, len(series.values) + 1, dtype=np.float64) * (series.step_us / 1e6)


def _plot_row(axes: Axes, loads: ServerLoads, values: Values, **style: object) -> None:
    shown = block_maxima(values[np.newaxis], steps=MAX_POINTS)[0]
    _plot_steps(axes, loads.step_us * -(-len(values) // len(shown)), shown, **style)


def plot_forest(name: str, title: str, unit: str, pairs: Mapping[str, tuple[float, float, float]]) -> str:
    """Plots each mean difference with its interval, and a line at zero.

    `pairs` maps a label to the mean and the lower and upper end of the interval.
    """
    with Drawing(name, 0.8 + 0.26 * len(pairs)) as drawing:
        axes = drawing.axes()
        axes.axvline(0.0, color=COLOURS["faint"], linewidth=1.2)
        for row, (mean, low, high) in enumerate(pairs.values()):
            colour = COLOURS["line0" if low > 0 or high < 0 else "faint"]
            axes.plot([low, high], [row, row], color=colour, linewidth=2.2)
            axes.plot([mean], [row], linestyle="", marker="o", markersize=5, color=colour)
        axes.set_yticks(range(len(pairs)), [short_label(pair, 70) for pair in pairs])
        axes.set_ylim(len(pairs) - 0.5, -0.5)
        axes.set_xlabel(", ".join(filter(None, (f"difference of {title}", unit))))
        return drawing.svg(f"differences of {title} with their intervals")


def _plot_steps(axes: Axes, step_us: int, values: Sequence[float] | Values, **style: object) -> None:
    edges = np.arange(len(values) + 1, dtype=np.float64) * (step_us / 1e6)
    axes.plot(edges, [values[0], *values], drawstyle="steps-pre", **style)  # type: ignore[arg-type]


def _add_legend(drawing: Drawing) -> None:
    drawing.figure.legend(
        loc="outside upper left", ncols=4, borderaxespad=0.2, handlelength=1.4, columnspacing=1.2
    )


def _format_thousands(axes: Axes) -> None:
    format_value: Callable[[float, object], str] = lambda value, _: f"{value:,.10g}"  # noqa: E731
    axes.yaxis.set_major_formatter(FuncFormatter(format_value))
