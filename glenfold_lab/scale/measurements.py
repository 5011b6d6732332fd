"""Measured points of a scale run, the file that holds them, and the straight line through them."""

import json
import math
import os
import platform
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from fractions import Fraction
from pathlib import Path
from typing import Any, Self

FORMAT = 1
SIGNIFICANT_DIGITS = 12  # of a measured value


@dataclass(frozen=True, slots=True)
class Point:
    """One measured value. `quantity` names what was measured, as in `relay.list_change.cpu`; `unit` is that
    of `value`; `dimension` and `size` say what was varied and how far, as in `servers` and 1024. `repeat`
    counts the plays of one size from 1. `seed` draws what the run made up."""

    quantity: str
    unit: str
    dimension: str
    size: float
    value: float
    repeat: int = 1
    seed: int = 0


@dataclass(frozen=True, slots=True)
class Machine:
    """Where a run was made. `load` is the mean number of runnable tasks over the minute before its end."""

    processor: str
    cores: int
    python: str
    load: float

    @classmethod
    def here(cls) -> Self:
        return cls(platform.machine(), os.cpu_count() or 1, platform.python_version(), os.getloadavg()[0])


@dataclass(slots=True)
class Results:
    """All points of one run. `command` plays it again; `revision` is the commit of the program measured;
    `conditions` holds what else was fixed, by name; `notes` what a reader has to know."""

    run: str
    command: str
    revision: str
    machine: Machine
    conditions: dict[str, Any] = field(default_factory=dict)
    points: list[Point] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def of(self, quantity: str) -> list[Point]:
        """Its points, by size and repeat. Raises KeyError if there is none."""
        found = [point for point in self.points if point.quantity == quantity]
        if not found:
            raise KeyError(f"{self.run} has no measurement of {quantity}")
        return sorted(found, key=lambda point: (point.size, point.repeat))

    def save(self, path: Path) -> None:
        document = {"format": FORMAT, **asdict(self)}
        path.write_text(json.dumps(document, indent=1) + "\n", "utf-8")

    @classmethod
    def load(cls, path: Path) -> Self:
        """Raises ValueError if the file is not one of these."""
        document = json.loads(path.read_text("utf-8"))
        if document.pop("format", None) != FORMAT:
            raise ValueError(f"{path}: not a file of results in format {FORMAT}")
        document["machine"] = Machine(**document["machine"])
        document["points"] = [Point(**point) for point in document["points"]]
        return cls(**document)


@dataclass(frozen=True, slots=True)
class Line:
    """value = intercept + slope * size, by least squares: the exact coefficients, each rounded to a float.
    `worst_residual` is the largest distance of a size's median from the line, as a part of that median;
    `residual_at_zero` the largest one from a median of 0, in the unit of the values. `spread` is the largest
    distance between two repeats of one size, as a part of their median. `largest` is the largest size
    measured."""

    slope: float
    intercept: float
    worst_residual: float
    residual_at_zero: float
    spread: float
    largest: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def medians(points: Iterable[Point]) -> dict[float, float]:
    """The median of the repeats of each size, by size."""
    return {size: statistics.median(values) for size, values in sorted(_by_size(points).items())}


def fit(points: Sequence[Point]) -> Line:
    """The line through the medians of each size. Raises ValueError for fewer than three sizes, as two always
    lie on a line."""
    middle = medians(points)
    if len(middle) < 3:
        raise ValueError(f"a line needs three sizes, not {len(middle)}")
    # Linear algebra in floats leaves rounding noise that differs between processors.
    sizes = [_decimal(size) for size in middle]
    values = [_decimal(value) for value in middle.values()]
    slope, intercept = _least_squares(sizes, values)
    residuals = [abs(intercept + slope * size - value) for size, value in zip(sizes, values, strict=True)]
    return Line(
        float(slope),
        float(intercept),
        max(_as_part(*pair) for pair in zip(residuals, values, strict=True)),
        float(
            max((residual for residual, value in zip(residuals, values, strict=True) if not value), default=0)
        ),
        spread(points),
        max(middle),
    )


def spread(points: Iterable[Point]) -> float:
    """The largest distance between repeats of one size, as a part of their median; 0 for a single repeat,
    infinite where repeats differ about a median of 0."""
    return max(
        _as_part(_decimal(max(values)) - _decimal(min(values)), _decimal(statistics.median(values)))
        for values in _by_size(points).values()
    )


def _decimal(value: float) -> Fraction:
    """A measured value to its significant digits. What lies beyond them is the rounding of a difference, as
    of two readings of a clock."""
    return Fraction(f"{value:.{SIGNIFICANT_DIGITS}g}")


def _by_size(points: Iterable[Point]) -> dict[float, list[float]]:
    repeats: dict[float, list[float]] = {}
    for point in points:
        repeats.setdefault(point.size, []).append(point.value)
    return repeats


def _least_squares(sizes: Sequence[Fraction], values: Sequence[Fraction]) -> tuple[Fraction, Fraction]:
    """Slope and intercept, exactly. The sizes must differ."""
    mean_size = sum(sizes, Fraction()) / len(sizes)
    mean_value = sum(values, Fraction()) / len(values)
    products = [(size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True)]
    squares = [(size - mean_size) ** 2 for size in sizes]
    slope = sum(products, Fraction()) / sum(squares, Fraction())
    return slope, mean_value - slope * mean_size


def _as_part(distance: Fraction, reference: Fraction) -> float:
    """Of the reference's amount; no distance is 0 of any, and another is infinitely much of 0."""
    if not distance:
        return 0.0
    return float(distance / abs(reference)) if reference else math.inf
