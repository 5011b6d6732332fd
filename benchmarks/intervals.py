"""Coverage of 95 % confidence intervals of a mean: percentile, BCa and the lab's expanded percentile.

    python -m benchmarks.intervals [TRIALS]

For each number of pairs and each distribution of differences, TRIALS samples (default 2,000) are drawn.
Prints the share of them whose interval contains the true mean, and the mean width of the intervals. The
random generator is seeded, so the figures are the same every time.
"""

import math
import sys
from collections.abc import Iterator
from statistics import NormalDist

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.experiments.compare import t_quantile

Floats = NDArray[np.float64]

NORMAL = NormalDist()
RESAMPLES = 4_000


def difference_samples(
    random: np.random.Generator, shape: tuple[int, int]
) -> Iterator[tuple[str, Floats, float]]:
    """Yields the name, samples and true mean of each distribution that resembles results of experiments: many
    differences are zero, or a few are large.
    """
    yield "normal", random.normal(0, 1, shape), 0.0
    yield "lognormal", random.lognormal(0, 1, shape), math.exp(0.5)
    yield "70 % nothing, else exponential", (random.random(shape) < 0.3) * random.exponential(1, shape), 0.3
    yield "70 % nothing, else normal", (random.random(shape) < 0.3) * random.normal(0, 1, shape), 0.0
    yield "Student's t, 3 degrees", random.standard_t(3, shape), 0.0


def intervals(values: Floats, means: Floats) -> Iterator[tuple[str, Floats, Floats]]:
    """Yields the name, lower bounds and upper bounds of each kind of interval.

    `values` has a row for each sample and a column for each pair. `means` are the sorted means of the
    resamples of each row.
    """
    samples, count = values.shape
    tail = np.full(samples, 0.025)
    yield "percentile", *_between(means, tail, 1 - tail)
    yield "BCa", *_between(means, *_bca(values, means))
    expanded_tail = NORMAL.cdf(-math.sqrt(count / (count - 1)) * t_quantile(0.975, count - 1))
    yield "expanded", *_between(means, np.full(samples, expanded_tail), np.full(samples, 1 - expanded_tail))


def _between(means: Floats, low: Floats, high: Floats) -> tuple[Floats, Floats]:
    rows, last = np.arange(len(means)), means.shape[1] - 1
    bounds = [np.clip((fraction * means.shape[1]).astype(int), 0, last) for fraction in (low, high)]
    return means[rows, bounds[0]], means[rows, bounds[1]]


def _bca(values: Floats, means: Floats) -> tuple[Floats, Floats]:
    """Returns the bias-corrected and accelerated quantiles of each row (B. Efron, 1987)."""
    mean = values.mean(axis=1, keepdims=True)
    below = ((means < mean).mean(axis=1) + (means == mean).mean(axis=1) / 2).clip(1e-4, 1 - 1e-4)
    bias = np.array([NORMAL.inv_cdf(fraction) for fraction in below])
    # Deviations of the jackknife, with the sign reversed.
    deviations = (values - mean) / (values.shape[1] - 1)
    spread = 6 * (deviations**2).sum(axis=1) ** 1.5
    skew = np.divide((deviations**3).sum(axis=1), spread, out=np.zeros(len(values)), where=spread > 0)
    bounds = []
    for z in (NORMAL.inv_cdf(0.025), NORMAL.inv_cdf(0.975)):
        bounds.append(np.array([NORMAL.cdf(x) for x in bias + (bias + z) / (1 - skew * (bias + z))]))
    return bounds[0], bounds[1]


def main(trials: int) -> None:
    random = np.random.default_rng(1)
    for count in (6, 10, 20, 40):
        drawn = random.integers(0, count, (RESAMPLES, count))
        weights = np.stack([(drawn == index).mean(axis=1) for index in range(count)])
        for kind, values, true_mean in difference_samples(random, (trials, count)):
            means = np.sort(values @ weights, axis=1)
            columns = [
                f"{name} {((low <= true_mean) & (true_mean <= high)).mean():.3f} ({(high - low).mean():.2f})"
                for name, low, high in intervals(values, means)
            ]
            print(f"{count:3} pairs, {kind:31}", "  ".join(columns))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 2_000)
