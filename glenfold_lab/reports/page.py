"""Renders a report as one self-contained HTML file without scripts."""

from collections.abc import Iterator, Sequence

import jinja2
from markupsafe import Markup

from glenfold_lab.experiments.compare import Difference
from glenfold_lab.reports import labels, plots
from glenfold_lab.reports.downsampling import server_loads
from glenfold_lab.reports.plots import TimeAxis
from glenfold_lab.reports.read import Experiment
from glenfold_lab.reports.summary import Group, History, Report
from glenfold_lab.results import RunResult

MAX_HISTORIES_WITH_PARTS = 3  # With more histories, the table of contents omits their sections.
MAX_OTHER_PLOTS = 12  # Limits the plots of series that no entry of PICTURES contains.
MAX_COMPARED_FIGURES = 6  # Limits the figures that are compared in columns and plots.
MAX_GROUPS = 60  # Limits the groups in a comparison.
MAX_PAIRS = 150  # Limits the rows in the table of pairs.
MAX_FOREST_ROWS = 40  # Limits the pairs in one forest plot.
PARTS = {
    "figures": "Figures",
    "service": "Service over time",
    "load": "Load of servers against their limits",
    "set-up": "Set-up latencies",
    "answers": "Answers",
    "connections": "Connections, moves and refusals",
    "rules": "Rules",
    "happened": "What failed when",
    "cost": "Cost",
}


def render_page(report: Report, results: Sequence[RunResult]) -> str:
    """Returns the HTML page. `results` are the results of `report.histories`, in the same order."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("glenfold_lab.reports"),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
        undefined=jinja2.StrictUndefined,
    )
    environment.filters.update(
        number=number, signed=signed, seconds=seconds, title=labels.title, unit=labels.unit, where=where
    )
    environment.globals.update(
        rules=labels.RULES, parts=PARTS, in_order=labels.in_order, quantile_marks=quantile_marks
    )
    groups = report.groups[:MAX_GROUPS]
    names = compared_figures(groups)
    pairs = compared_pairs(report.experiments, labels.in_order([*names, "rules_broken"]))
    return environment.get_template("page.html.j2").render(
        report=report,
        toc_parts=len(report.histories) <= MAX_HISTORIES_WITH_PARTS,
        groups_shown=MAX_GROUPS,
        compared_names=names,
        pairs=pairs[:MAX_PAIRS],
        pairs_left_out=len(pairs[MAX_PAIRS:]),
        pictures={
            history.name: dict(history_plots(history.name, result))
            for history, result in zip(report.histories, results, strict=True)
        },
        spreads=list(spread_plots(groups, names)),
        forests=list(forest_plots(pairs, names)),
    )


def compared_figures(groups: Sequence[Group]) -> list[str]:
    """Returns the names of the figures that groups are compared by, the most important first."""
    # The table has a separate column for broken rules.
    names = {name for group in groups for name in group.figures} - {"rules_broken"}
    return labels.in_order(names)[:MAX_COMPARED_FIGURES]


def compared_pairs(experiments: Sequence[Experiment], names: Sequence[str]) -> list[Difference]:
    """Returns the differences of the figures in `names`, in the order of `names`."""
    pairs = [
        difference
        for experiment in experiments
        for difference in experiment.differences
        if difference.figure in names
    ]
    return sorted(pairs, key=lambda difference: names.index(difference.figure))


def quantile_marks(history: History) -> list[str]:
    """Returns all quantiles in the set-up distributions of the history, in ascending order."""
    return sorted(
        {mark for distribution in history.set_up.values() for mark in distribution.quantiles}, key=float
    )


def number(value: float) -> str:
    """Formats `value` with four significant digits, or with all digits if it is an integer."""
    if float(value).is_integer():
        return f"{int(value):,}"
    return f"{value:,.4g}" if abs(value) < 1e4 else f"{value:,.0f}"


def signed(value: float) -> str:
    """Formats `value` with a plus sign if it is positive."""
    return ("+" if value > 0 else "") + number(value)


def where(pair: Difference) -> str:
    """Returns the scenario, levels and revision that both sides of the pair share."""
    return ", ".join(
        filter(
            None, (pair.scenario, *(f"{name} {level}" for name, level in pair.levels.items()), pair.revision)
        )
    )


def seconds(us: int) -> str:
    """Formats microseconds as seconds with three decimals."""
    return f"{us / 1e6:,.3f}"


def history_plots(name: str, result: RunResult) -> Iterator[tuple[str, Markup]]:
    """Yields the key and the SVG of each drawing of one history. The SVG is empty if there is no data."""
    time_axis = TimeAxis(name, result.length_us, result.happened)
    for picture in labels.PICTURES:
        series = {key: result.series[key] for key in picture.series if key in result.series}
        titled = {labels.title(key): values for key, values in series.items()}
        plot = plots.plot_stacked if picture.stacked else plots.plot_lines
        yield picture.name, Markup(plot(time_axis, picture.name, titled, picture.unit, picture.top))
    loads = server_loads(result.server_load)
    yield "heat", Markup(plots.plot_heat_map(time_axis, loads))
    yield "worst", Markup(plots.plot_worst_servers(time_axis, loads))
    yield "percentiles", Markup(plots.plot_quantiles(time_axis, result.set_up))
    yield "happened", Markup(plots.plot_time_line(time_axis))
    in_pictures = {key for picture in labels.PICTURES for key in picture.series}
    others = [key for key in result.series if key not in in_pictures]
    yield (
        "others",
        Markup("").join(
            Markup(
                plots.plot_lines(
                    time_axis, f"other{n}", {labels.title(key): result.series[key]}, labels.unit(key)
                )
            )
            for n, key in enumerate(others[:MAX_OTHER_PLOTS])
        ),
    )


def spread_plots(groups: Sequence[Group], names: Sequence[str]) -> Iterator[tuple[str, Markup]]:
    """Yields the title and the spread plot of each figure, or nothing if there is only one group."""
    for n, name in enumerate(names if len(groups) > 1 else ()):
        values = {group.name: group.figures[name].values for group in groups if name in group.figures}
        yield (
            labels.title(name),
            Markup(plots.plot_spread(f"spread{n}", labels.title(name), labels.unit(name), values)),
        )


def forest_plots(pairs: Sequence[Difference], names: Sequence[str]) -> Iterator[tuple[str, Markup]]:
    """Yields the title and the forest plot of each figure that has a difference with an interval."""
    for n, name in enumerate(names):
        drawn = {
            f"{pair.of}: {pair.base} to {pair.other}; {where(pair)}": (pair.mean, pair.low, pair.high)
            for pair in pairs
            if pair.figure == name and pair.low is not None and pair.high is not None
        }
        if drawn:
            yield (
                labels.title(name),
                Markup(
                    plots.plot_forest(
                        f"forest{n}",
                        labels.title(name),
                        labels.unit(name),
                        dict(list(drawn.items())[:MAX_FOREST_ROWS]),
                    )
                ),
            )
