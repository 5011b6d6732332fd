"""Differences of figures between revisions, and between levels of a factor, paired by seed.

The interval is a bootstrap of the mean difference, the "expanded percentile interval" of T. Hesterberg, What
Teachers Should Know about the Bootstrap, 2015: its percentiles lie further out than the nominal ones, so that
it covers as a t interval does where the differences are normal. `benchmarks/intervals.py` compares it with
plain percentiles and BCa; both of those cover too little with 6 to 20 pairs, and BCa also where most pairs
have equal figures.
"""

import math
from collections.abc import Iterator, Mapping, Sequence
from itertools import combinations
from statistics import NormalDist
from typing import NamedTuple

import msgspec
import numpy as np
from numpy.typing import NDArray

from glenfold_lab.experiments.plan import Plan

RESAMPLES = 10_000
BLOCK_VALUES = 4_000_000  # This many values are resampled at a time, which bounds memory.
CONFIDENCE_LEVEL = 0.95
MIN_PAIRS = 6  # With fewer, all pairs have the same sign by chance too often (with 5, 1 in 16).
BOOTSTRAP_SEED = 20_150_101
ALL = "all"

Floats = NDArray[np.float64]


class Side(NamedTuple):
    """One side of a comparison: a variant and a revision, by index."""

    variant: int
    revision: int


Table = Mapping[tuple[int, int, int], Mapping[str, float]]  # The keys are variant, revision and seed.


class Difference(msgspec.Struct, frozen=True):
    """The difference of one figure, `other` minus `base`, over the seeds that both sides have.

    `of` is "revision" or the key of a factor. `scenario`, `levels` and `revision` are what both sides share;
    "all" means the mean over all scenarios and levels for each seed. `missing` counts seeds that one side
    lacks. `higher`, `lower` and `equal` count pairs. `low` and `high` bound the interval of the mean; None
    with too few pairs.
    """

    figure: str
    of: str
    base: str
    other: str
    scenario: str
    levels: dict[str, str]
    revision: str
    pairs: int
    missing: int
    mean: float
    median: float
    higher: int
    lower: int
    equal: int
    low: float | None
    high: float | None
    says: str


def differences(plan: Plan, table: Table) -> Iterator[Difference]:
    """Yields all differences: each pair of revisions, and every level of a factor against the first."""
    for base, other in combinations(range(len(plan.decisions)), 2):
        sides = [(Side(variant, base), Side(variant, other)) for variant in range(len(plan.variants))]
        for pair in sides:
            yield from _compare(plan, table, "revision", [pair])
        if len(sides) > 1:
            yield from _compare(plan, table, "revision", sides)
    for first, variant, factor in _variants_against_first_level(plan):
        for revision in range(len(plan.decisions)):
            yield from _compare(plan, table, factor, [(Side(first, revision), Side(variant, revision))])


def _variants_against_first_level(plan: Plan) -> Iterator[tuple[int, int, str]]:
    """Yields pairs of variants that differ in one factor only, with that factor's key.

    The first variant of each pair has the factor's first level.
    """
    number_by_variant = {
        (variant.scenario.name, *variant.levels.items()): number
        for number, variant in enumerate(plan.variants)
    }
    first = plan.variants[0].levels
    for number, variant in enumerate(plan.variants):
        for factor, level in variant.levels.items():
            if level != first[factor]:
                levels = {**variant.levels, factor: first[factor]}
                yield number_by_variant[(variant.scenario.name, *levels.items())], number, factor


def _compare(plan: Plan, table: Table, of: str, sides: Sequence[tuple[Side, Side]]) -> Iterator[Difference]:
    """Yields the differences of one pair of sides, or of several pairs together.

    With several, the mean for each seed counts as one value, as runs of the same seed are not independent.
    """
    for figure in _figures(table, sides):
        by_seed = [_mean_difference(table, sides, seed, figure) for seed in plan.seeds]
        values = np.array([value for value in by_seed if value is not None])
        if len(values):
            yield _summary(plan, figure, of, sides, values, len(by_seed) - len(values))


def _figures(table: Table, sides: Sequence[tuple[Side, Side]]) -> list[str]:
    used_sides = {side for pair in sides for side in pair}
    return sorted(
        {
            name
            for (variant, revision, _), figures in table.items()
            if (variant, revision) in used_sides
            for name in figures
        }
    )


def _mean_difference(
    table: Table, sides: Sequence[tuple[Side, Side]], seed: int, figure: str
) -> float | None:
    by_side_pair = []
    for base, other in sides:
        before = table.get((*base, seed), {}).get(figure)
        after = table.get((*other, seed), {}).get(figure)
        if before is None or after is None:
            return None
        by_side_pair.append(after - before)
    return math.fsum(by_side_pair) / len(by_side_pair)


def _summary(
    plan: Plan, figure: str, of: str, sides: Sequence[tuple[Side, Side]], values: Floats, missing: int
) -> Difference:
    (base, other), is_overall = sides[0], len(sides) > 1
    before, after = plan.variants[base.variant], plan.variants[other.variant]
    names = [plan.decisions[side.revision].name for side in (base, other)]
    low, high = interval(values)
    return Difference(
        figure=figure,
        of=of,
        base=names[0] if of == "revision" else before.levels[of],
        other=names[1] if of == "revision" else after.levels[of],
        scenario=ALL if is_overall else before.scenario.name,
        levels={name: ALL if is_overall else level for name, level in before.levels.items() if name != of},
        revision="" if of == "revision" else names[0],
        pairs=len(values),
        missing=missing,
        mean=float(values.mean()),
        median=float(np.median(values)),
        higher=int((values > 0).sum()),
        lower=int((values < 0).sum()),
        equal=int((values == 0).sum()),
        low=low,
        high=high,
        says=_verdict(low, high),
    )


def _verdict(low: float | None, high: float | None) -> str:
    if low is None or high is None:
        return f"too few pairs ({MIN_PAIRS} are needed)"
    return "higher" if low > 0 else "lower" if high < 0 else "no difference shown"


def interval(values: Floats) -> tuple[float, float] | tuple[None, None]:
    """Returns the 95 % interval of the mean, or (None, None) with fewer than MIN_PAIRS values.

    The same values in the same order give the same interval.
    """
    count = len(values)
    if count < MIN_PAIRS:
        return None, None
    rng = np.random.default_rng([BOOTSTRAP_SEED, count])
    block_rows = max(1, BLOCK_VALUES // count)
    means = np.sort(
        np.concatenate(
            [
                values[rng.integers(0, count, (min(block_rows, RESAMPLES - done), count))].mean(axis=1)
                for done in range(0, RESAMPLES, block_rows)
            ]
        )
    )
    tail_probability = NormalDist().cdf(
        -math.sqrt(count / (count - 1)) * t_quantile((1 + CONFIDENCE_LEVEL) / 2, count - 1)
    )
    tail_count = int(tail_probability * RESAMPLES)
    return float(means[tail_count]), float(means[RESAMPLES - 1 - tail_count])


def t_quantile(p: float, df: int) -> float:
    """Returns the quantile `p` of Student's t with `df` degrees of freedom (Abramowitz and Stegun, 26.7.5).

    The value is precise to three digits from 5 degrees of freedom on.
    """
    z = NormalDist().inv_cdf(p)
    expansion = (
        z,
        (z**3 + z) / 4,
        (5 * z**5 + 16 * z**3 + 3 * z) / 96,
        (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384,
    )
    return math.fsum(term / df**power for power, term in enumerate(expansion))
