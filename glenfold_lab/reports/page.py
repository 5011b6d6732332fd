"""The page: one HTML file that needs nothing else, not even a script."""

from collections.abc import Iterator, Sequence

import jinja2
from markupsafe import Markup

from glenfold_lab.experiments.compare import Difference
from glenfold_lab.reports import plots, terms
from glenfold_lab.reports.plots import TimeAxis
from glenfold_lab.reports.read import Experiment
from glenfold_lab.reports.summary import Group, History, Report
from glenfold_lab.reports.thin import server_loads
from glenfold_lab.results import RunResult

MAX_HISTORIES_WITH_PARTS = 3  # histories whose parts are in the table of contents
MAX_OTHER_PLOTS = 12  # series without a picture of their own that are drawn
MAX_COMPARED_FIGURES = 6  # figures that are compared in pictures
MAX_GROUPS = 60  # that a comparison shows
MAX_PAIRS = 150  # in its table
MAX_FOREST_ROWS = 40  # of them in a picture
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
    """told: the results of the report's histories."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("glenfold_lab.reports"),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
        undefined=jinja2.StrictUndefined,
    )
    environment.filters.update(
        number=number, signed=signed, seconds=seconds, title=terms.title, unit=terms.unit, where=where
    )
    environment.globals.update(
        rules=terms.RULES, parts=PARTS, in_order=terms.in_order, quantile_marks=quantile_marks
    )
    groups = report.groups[:MAX_GROUPS]
    names = compared_figures(groups)
    pairs = compared_pairs(report.experiments, terms.in_order([*names, "rules_broken"]))
    return environment.get_template("page.html.j2").render(
        report=report,
        toc_parts=len(report.histories) <= MAX_HISTORIES_WITH_PARTS,
        groups_shown=MAX_GROUPS,
        compared_names=names,
        pairs=pairs[:MAX_PAIRS],
        pairs_left_out=len(pairs[MAX_PAIRS:]),
        pictures={
            history.name: dict(pictures(history.name, result))
            for history, result in zip(report.histories, results, strict=True)
        },
        spreads=list(spreads(groups, names)),
        forests=list(forests(pairs, names)),
    )


def compared_figures(groups: Sequence[Group]) -> list[str]:
    names = {name for group in groups for name in group.figures} - {"rules_broken"}  # has a column already
    return terms.in_order(names)[:MAX_COMPARED_FIGURES]


def compared_pairs(experiments: Sequence[Experiment], names: Sequence[str]) -> list[Difference]:
    """Those of the figures that are compared, figure by figure."""
    pairs = [one for experiment in experiments for one in experiment.differences if one.figure in names]
    return sorted(pairs, key=lambda one: names.index(one.figure))


def quantile_marks(history: History) -> list[str]:
    """All quantiles that a history tells of its set-ups, from the least."""
    return sorted({mark for one in history.set_up.values() for mark in one.quantiles}, key=float)


def number(value: float) -> str:
    """Four digits that say something, and all of a whole number's."""
    if float(value).is_integer():
        return f"{int(value):,}"
    return f"{value:,.4g}" if abs(value) < 1e4 else f"{value:,.0f}"


def signed(value: float) -> str:
    return ("+" if value > 0 else "") + number(value)


def where(pair: Difference) -> str:
    """What both sides of a pair have in common."""
    return ", ".join(
        filter(
            None, (pair.scenario, *(f"{name} {level}" for name, level in pair.levels.items()), pair.revision)
        )
    )


def seconds(us: int) -> str:
    return f"{us / 1e6:,.3f}"


def pictures(name: str, result: RunResult) -> Iterator[tuple[str, Markup]]:
    """All drawings of one history, by what they show; empty where there is nothing to draw."""
    time_axis = TimeAxis(name, result.length_us, result.happened)
    for one in terms.PICTURES:
        drawn = {key: result.series[key] for key in one.series if key in result.series}
        shown = {terms.title(key): series for key, series in drawn.items()}
        draw = plots.stacked if one.stacked else plots.lines
        yield one.name, Markup(draw(time_axis, one.name, shown, one.unit, one.top))
    loads = server_loads(result.server_load)
    yield "heat", Markup(plots.heat(time_axis, loads))
    yield "worst", Markup(plots.worst(time_axis, loads))
    yield "percentiles", Markup(plots.percentiles(time_axis, result.set_up))
    yield "happened", Markup(plots.time_line(time_axis))
    in_pictures = {key for one in terms.PICTURES for key in one.series}
    others = [key for key in result.series if key not in in_pictures]
    yield (
        "others",
        Markup("").join(
            Markup(
                plots.lines(time_axis, f"other{n}", {terms.title(key): result.series[key]}, terms.unit(key))
            )
            for n, key in enumerate(others[:MAX_OTHER_PLOTS])
        ),
    )


def spreads(groups: Sequence[Group], names: Sequence[str]) -> Iterator[tuple[str, Markup]]:
    """Titles and drawings of what there is to compare."""
    for n, name in enumerate(names if len(groups) > 1 else ()):
        values = {group.name: group.figures[name].values for group in groups if name in group.figures}
        yield (
            terms.title(name),
            Markup(plots.spread(f"spread{n}", terms.title(name), terms.unit(name), values)),
        )


def forests(pairs: Sequence[Difference], names: Sequence[str]) -> Iterator[tuple[str, Markup]]:
    """Titles and drawings of differences, of those figures that have any with an interval."""
    for n, name in enumerate(names):
        drawn = {
            f"{pair.of}: {pair.base} to {pair.other}; {where(pair)}": (pair.mean, pair.low, pair.high)
            for pair in pairs
            if pair.figure == name and pair.low is not None and pair.high is not None
        }
        if drawn:
            yield (
                terms.title(name),
                Markup(
                    plots.forest(
                        f"forest{n}",
                        terms.title(name),
                        terms.unit(name),
                        dict(list(drawn.items())[:MAX_FOREST_ROWS]),
                    )
                ),
            )
