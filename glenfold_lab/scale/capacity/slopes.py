"""All measured quantities of the scale runs, by name, from the files of results."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from fractions import Fraction
from itertools import pairwise
from pathlib import Path
from typing import Self

from glenfold_lab.scale.capacity.estimates import Estimate
from glenfold_lab.scale.measurements import Line, Point, Results, fit, medians, spread

STRAIGHT = 0.15  # a line whose worst residual is larger is no straight line


class NotMeasured(Exception):
    """No file of results has that quantity, or not at enough sizes."""


@dataclass(frozen=True, slots=True)
class Quantity:
    """One measured quantity: its points, and the run that gave them."""

    name: str
    unit: str
    dimension: str
    run: str
    points: tuple[Point, ...]

    @property
    def sizes(self) -> tuple[float, ...]:
        return tuple(medians(self.points))

    @property
    def largest(self) -> float:
        return max(self.sizes)

    @property
    def repeats(self) -> int:
        """Of the size that was played least often."""
        counts = [sum(point.size == size for point in self.points) for size in self.sizes]
        return min(counts)

    @property
    def spread(self) -> float:
        return spread(self.points)

    def between(self, size: float) -> float:
        """At a size up to the largest one measured: between the medians of its neighbours. Below the
        smallest, towards where the line starts."""
        measured = medians(self.points)
        if min(measured) > size:
            measured = {0.0: max(0.0, self.line().intercept)} | measured
        return _interpolated(size, list(measured.items()))

    def line(self) -> Line:
        """Raises NotMeasured for fewer than three sizes."""
        try:
            return fit(self.points)
        except ValueError as error:
            raise NotMeasured(f"{self.name}: {error}") from error


class Slopes:
    """Every quantity that was measured, by its name and what was varied. One that two runs measured is
    refused: which one would hold?"""

    def __init__(self, runs: Iterable[Results]) -> None:
        self.runs = tuple(runs)
        self.quantities: dict[tuple[str, str], Quantity] = {}
        for run in self.runs:
            for name, dimension in dict.fromkeys((point.quantity, point.dimension) for point in run.points):
                self._add(name, dimension, run)

    @classmethod
    def load(cls, folder: Path) -> Self:
        """From each file of results in that folder. Raises ValueError for one that is none."""
        return cls(Results.load(path) for path in sorted(folder.glob("*.json")))

    def _add(self, name: str, dimension: str, run: Results) -> None:
        if known := self.quantities.get((name, dimension)):
            raise ValueError(f"{name} stands in {known.run} and in {run.run}")
        points = tuple(point for point in run.of(name) if point.dimension == dimension)
        self.quantities[name, dimension] = Quantity(name, points[0].unit, dimension, run.run, points)

    def quantity(self, name: str, dimension: str | None = None) -> Quantity:
        """`dimension`: None takes the first that was varied. Raises NotMeasured."""
        for (measured, varied), quantity in self.quantities.items():
            if measured == name and dimension in (None, varied):
                return quantity
        raise NotMeasured(f"nothing has measured {name}" + (f" by {dimension}" if dimension else ""))

    def at(self, name: str, size: Estimate | float, dimension: str | None = None) -> Estimate:
        """Between the neighbours that were measured; beyond the largest, on the line."""
        quantity, wanted = self.quantity(name, dimension), _plain(size)
        beyond = wanted.value > quantity.largest
        value = quantity.line().at(wanted.value) if beyond else quantity.between(wanted.value)
        return self._estimate(quantity, value, wanted)

    def largest_within(self, name: str, bound: float) -> Estimate:
        """The largest size measured whose median is no more than that bound; 0 if there is none."""
        quantity = self.quantity(name)
        within = [size for size, value in medians(quantity.points).items() if value <= bound]
        return self._estimate(quantity, max(within, default=0.0), Estimate(0.0))

    def slope(self, name: str, size: Estimate | float) -> Estimate:
        """What one more of the dimension costs; `size`: up to which it is used."""
        quantity = self.quantity(name)
        return self._estimate(quantity, quantity.line().slope, _plain(size))

    def intercept(self, name: str) -> Estimate:
        """What the line starts from, at size 0."""
        quantity = self.quantity(name)
        return self._estimate(quantity, quantity.line().intercept, Estimate(0.0))

    def uncrowded(self, name: str) -> Estimate:
        """The median at the smallest size, for what one event costs: a full core distorts larger ones."""
        quantity = self.quantity(name)
        return self._estimate(quantity, medians(quantity.points)[min(quantity.sizes)], Estimate(0.0))

    def typical(self, name: str) -> Estimate:
        """The median at the largest size measured, for what does not grow with size."""
        quantity = self.quantity(name)
        return self._estimate(quantity, medians(quantity.points)[quantity.largest], Estimate(0.0))

    def _estimate(self, quantity: Quantity, value: float, size: Estimate) -> Estimate:
        beyond = max(size.extrapolation, size.value / quantity.largest)
        return Estimate(value, frozenset({quantity.name}) | size.measured, size.assumed, beyond)


def _interpolated(size: float, measured: Sequence[tuple[float, float]]) -> float:
    """On the straight lines between measured (size, value) pairs, which are in order; `size` within them."""
    for (lower, low), (upper, high) in pairwise(measured):
        if size <= upper:
            part = (Fraction(size) - Fraction(lower)) / (Fraction(upper) - Fraction(lower))
            return float(Fraction(low) + part * (Fraction(high) - Fraction(low)))
    raise ValueError(f"{size} is beyond {measured[-1][0]}, the largest size measured")


def _plain(size: Estimate | float) -> Estimate:
    return size if isinstance(size, Estimate) else Estimate(float(size))
