"""Differences of figures between revisions, and between levels of a factor, in pairs on the same seeds.

The interval is a bootstrap of the mean difference: percentiles of its resamples, taken so much further out
that they cover as a t interval does where differences are normal (the "expanded percentile interval" of
T. Hesterberg, What Teachers Should Know about the Bootstrap, 2015). `benchmarks/intervals.py` weighs it
against plain percentiles and BCa, which cover too little with 6 to 20 pairs, and BCa where most pairs differ
by nothing.
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
BLOCK_VALUES = 4_000_000  # values resampled at a time
CONFIDENCE_LEVEL = 0.95
MIN_PAIRS = 6  # with fewer, all pairs have the same sign by chance too often (5: 1 in 16)
BOOTSTRAP_SEED = 20_150_101
ALL = "all"

Floats = NDArray[np.float64]


class Side(NamedTuple):
    """Results of one variant with one revision: figures by seed."""

    variant: int
    revision: int


Table = Mapping[tuple[int, int, int], Mapping[str, float]]  # variant, revision, seed


class Difference(msgspec.Struct, frozen=True):
    """Of one figure: `other` less `base`, over the seeds that both have.

    of: "revision" or a factor's key. scenario, levels, revision: what was alike ("all": over all scenarios
    and levels, the mean for each seed). missing: seeds that one of them lacks. higher, lower, equal: pairs.
    low, high: the interval of the mean; None with too few pairs.
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
    """All of an experiment: revisions two by two, and every level of a factor against its first."""
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
    """Variants that differ in one factor alone, the first of them at that factor's first level."""
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
    """Of one pair of sides, or over several: then seeds count, as histories of one seed are alike."""
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
    """Of the mean, at 95 %; the same for the same values in the same order."""
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
    """Of Student's t, to three digits from 5 degrees of freedom (Abramowitz and Stegun, 26.7.5)."""
    z = NormalDist().inv_cdf(p)
    expansion = (
        z,
        (z**3 + z) / 4,
        (5 * z**5 + 16 * z**3 + 3 * z) / 96,
        (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384,
    )
    return math.fsum(term / df**power for power, term in enumerate(expansion))
