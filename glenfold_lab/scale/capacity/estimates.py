"""Values worked out from measured slopes and assumptions, which remember what they rest on."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Self


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value with its basis: `measured` names the quantities, `assumed` the assumptions that went into it.
    `extrapolation` is the largest factor by which a size lies beyond the largest one measured; 1 or less is
    within what was measured."""

    value: float
    measured: frozenset[str] = field(default=frozenset())
    assumed: frozenset[str] = field(default=frozenset())
    extrapolation: float = 0.0

    def __add__(self, other: Self | float) -> "Estimate":
        return self._combined(other, lambda a, b: a + b)

    def __sub__(self, other: Self | float) -> "Estimate":
        return self._combined(other, lambda a, b: a - b)

    def __mul__(self, other: Self | float) -> "Estimate":
        return self._combined(other, lambda a, b: a * b)

    def __truediv__(self, other: Self | float) -> "Estimate":
        return self._combined(other, lambda a, b: a / b)

    __radd__ = __add__
    __rmul__ = __mul__

    def __rtruediv__(self, other: float) -> "Estimate":
        return Estimate(other) / self

    def _combined(self, other: Self | float, apply: Callable[[float, float], float]) -> "Estimate":
        second = other if isinstance(other, Estimate) else Estimate(float(other))
        return Estimate(
            apply(self.value, second.value),
            self.measured | second.measured,
            self.assumed | second.assumed,
            max(self.extrapolation, second.extrapolation),
        )

    @property
    def basis(self) -> str:
        """One word on how well founded the value is."""
        if self.assumed:
            return "assumed"
        if not self.measured:
            return "given"
        return "measured" if self.extrapolation <= 1 else f"extrapolated {self.extrapolation:.3g} times"


def least(*estimates: Estimate) -> Estimate:
    """The smallest of them, with its own basis."""
    return min(estimates, key=lambda estimate: estimate.value)


def greatest(*estimates: Estimate) -> Estimate:
    """The largest of them, with its own basis."""
    return max(estimates, key=lambda estimate: estimate.value)


def rounded(value: float) -> str:
    """Three significant digits, with separators and without exponents."""
    if value == 0:
        return "0"
    digits = f"{value:.3g}"
    number = float(digits)
    if abs(number) >= 100:
        return f"{number:,.0f}"
    return digits if "e" not in digits else f"{number:.6f}".rstrip("0")
