"""How often 95 % intervals of a mean cover it: percentiles, BCa and the lab's expanded percentiles.

    python -m benchmarks.intervals [TRIALS]

For each number of pairs and each kind of differences, of TRIALS samples (default 2,000) the share whose
interval holds the true mean, and the mean width. Seeded: the same figures every time.
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


def kinds(random: np.random.Generator, shape: tuple[int, int]) -> Iterator[tuple[str, Floats, float]]:
    """Differences as experiments give them: most of them nothing, or a few large ones."""
    yield "normal", random.normal(0, 1, shape), 0.0
    yield "lognormal", random.lognormal(0, 1, shape), math.exp(0.5)
    yield "70 % nothing, else exponential", (random.random(shape) < 0.3) * random.exponential(1, shape), 0.3
    yield "70 % nothing, else normal", (random.random(shape) < 0.3) * random.normal(0, 1, shape), 0.0
    yield "Student's t, 3 degrees", random.standard_t(3, shape), 0.0


def intervals(values: Floats, means: Floats) -> Iterator[tuple[str, Floats, Floats]]:
    """values: samples by pairs. means: of their resamples, in order."""
    samples, count = values.shape
    outside = np.full(samples, 0.025)
    yield "percentile", *_between(means, outside, 1 - outside)
    yield "BCa", *_between(means, *_bca(values, means))
    far = NORMAL.cdf(-math.sqrt(count / (count - 1)) * t_quantile(0.975, count - 1))
    yield "expanded", *_between(means, np.full(samples, far), np.full(samples, 1 - far))


def _between(means: Floats, low: Floats, high: Floats) -> tuple[Floats, Floats]:
    rows, most = np.arange(len(means)), means.shape[1] - 1
    ends = [np.clip((part * means.shape[1]).astype(int), 0, most) for part in (low, high)]
    return means[rows, ends[0]], means[rows, ends[1]]


def _bca(values: Floats, means: Floats) -> tuple[Floats, Floats]:
    """Bias-corrected and accelerated (B. Efron, 1987)."""
    mean = values.mean(axis=1, keepdims=True)
    below = ((means < mean).mean(axis=1) + (means == mean).mean(axis=1) / 2).clip(1e-4, 1 - 1e-4)
    bias = np.array([NORMAL.inv_cdf(part) for part in below])
    off = (values - mean) / (values.shape[1] - 1)  # the jackknife's, with its sign turned
    spread = 6 * (off**2).sum(axis=1) ** 1.5
    skew = np.divide((off**3).sum(axis=1), spread, out=np.zeros(len(values)), where=spread > 0)
    ends = []
    for z in (NORMAL.inv_cdf(0.025), NORMAL.inv_cdf(0.975)):
        ends.append(np.array([NORMAL.cdf(x) for x in bias + (bias + z) / (1 - skew * (bias + z))]))
    return ends[0], ends[1]


def main(trials: int) -> None:
    random = np.random.default_rng(1)
    for count in (6, 10, 20, 40):
        drawn = random.integers(0, count, (RESAMPLES, count))
        weights = np.stack([(drawn == place).mean(axis=1) for place in range(count)])
        for kind, values, truth in kinds(random, (trials, count)):
            means = np.sort(values @ weights, axis=1)
            told = [
                f"{name} {((low <= truth) & (truth <= high)).mean():.3f} ({(high - low).mean():.2f})"
                for name, low, high in intervals(values, means)
            ]
            print(f"{count:3} pairs, {kind:31}", "  ".join(told))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 2_000)
