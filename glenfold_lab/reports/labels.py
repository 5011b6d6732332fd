"""Titles, units and order of figures and series for readers, and the series that share a picture."""

from collections.abc import Iterable
from dataclasses import dataclass

UNITS = {"us": "µs", "ms": "ms", "s": "s", "mb": "MB", "per_s": "1/s", "share": "of 1"}
# Prefixes of figures whose unit is a share of 1.
SHARE_PREFIXES = ("service", "worst_", "goal", "cross_zone")
# The most important figures, which are listed first.
FIRST_FIGURES = (
    "goal",
    "service",
    "worst_window",
    "rules_broken",
    "worst_class",
    "worst_scheme",
    "refused",
    "moves",
    "servers_fallen",
)
RULES = {
    "answer": "one final answer in time",
    "attempt": "at most one attempt out",
    "drain": "nothing new to a drained or gone server",
    "cold": "no cold server pushed over",
    "move": "MOVE before a cut",
    "protocol": "nothing that the protocol does not know",
}


@dataclass(frozen=True, slots=True)
class Picture:
    """Series that are drawn together, by name.

    `top` is the upper end of the value axis; None means that the axis follows the values.
    """

    name: str
    unit: str
    series: tuple[str, ...]
    top: float | None = None
    stacked: bool = False


PICTURES = (
    Picture("service", "of 1", ("service",), top=1.0),
    Picture("connections", "connections", ("connections", "wanted")),
    Picture("answers", "a second", ("up", "refused", "error", "closed"), stacked=True),
    Picture("moves", "a second", ("moved", "refused", "attempts")),
)


def title(name: str) -> str:
    """Returns the name of a figure or series in words, without the suffix of its unit."""
    suffix = _suffix(name)
    return (name.removesuffix(f"_{suffix}") if suffix in UNITS else name).replace("_", " ")


def unit(name: str) -> str:
    """Returns the unit by the suffix or prefix of the name, or "" if it has none."""
    return UNITS.get(_suffix(name), "of 1" if name.startswith(SHARE_PREFIXES) else "")


def _suffix(name: str) -> str:
    return "per_s" if name.endswith("_per_s") else name.rsplit("_", 1)[-1] if "_" in name else ""


def in_order(names: Iterable[str]) -> list[str]:
    """Returns the names of figures, the most important first and the others sorted by name."""
    return sorted(
        names,
        key=lambda name: (FIRST_FIGURES.index(name) if name in FIRST_FIGURES else len(FIRST_FIGURES), name),
    )
