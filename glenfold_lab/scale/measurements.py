"""Measured points of a scale run, the file that holds them, and the straight line through them."""

import json
import os
import platform
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Self

import numpy

FORMAT = 1


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
    """value = intercept + slope * size, by least squares. `worst_residual` is the largest distance of a
    size's median from the line, as a part of that median; `spread` the largest distance between two repeats
    of one size, as a part of their median. `largest` is the largest size measured."""

    slope: float
    intercept: float
    worst_residual: float
    spread: float
    largest: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def medians(points: Iterable[Point]) -> dict[float, float]:
    """The median of the repeats of each size, by size."""
    repeats: dict[float, list[float]] = {}
    for point in points:
        repeats.setdefault(point.size, []).append(point.value)
    return {size: statistics.median(values) for size, values in sorted(repeats.items())}


def fit(points: Sequence[Point]) -> Line:
    """The line through the medians of each size. Raises ValueError for fewer than three sizes, as two always
    lie on a line."""
    middle = medians(points)
    if len(middle) < 3:
        raise ValueError(f"a line needs three sizes, not {len(middle)}")
    sizes, values = numpy.array(list(middle)), numpy.array(list(middle.values()))
    slope, intercept = (float(coefficient) for coefficient in numpy.polyfit(sizes, values, 1))
    residuals = numpy.abs(intercept + slope * sizes - values) / numpy.maximum(numpy.abs(values), 1e-12)
    return Line(slope, intercept, float(residuals.max()), spread(points), float(sizes.max()))


def spread(points: Iterable[Point]) -> float:
    """The largest distance between repeats of one size, as a part of their median; 0 for a single repeat."""
    repeats: dict[float, list[float]] = {}
    for point in points:
        repeats.setdefault(point.size, []).append(point.value)
    return max((max(v) - min(v)) / max(abs(statistics.median(v)), 1e-12) for v in repeats.values())
