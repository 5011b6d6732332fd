"""Tables of the page: cells with their basis, as Markdown."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from glenfold_lab.scale.capacity.context import Context
from glenfold_lab.scale.capacity.estimates import Estimate, rounded
from glenfold_lab.scale.capacity.slopes import NotMeasured

Formula = Callable[[Context], Estimate]


@dataclass(frozen=True, slots=True)
class Row:
    """One line of a table of roles. `formula` gives the value in units of `scale`; `written` is the formula
    as a reader sees it."""

    what: str
    unit: str
    written: str
    formula: Formula
    scale: float = 1.0

    def cell(self, context: Context) -> str:
        found = evaluated(self.formula, context)
        return "not measured" if found is None else rounded(found.value / self.scale)

    def basis(self, context: Context) -> str:
        """Of the value at the size of `context`: what was assumed, measured and extrapolated."""
        found = evaluated(self.formula, context)
        return "not measured" if found is None else described(found, context)


def evaluated(formula: Formula, context: Context) -> Estimate | None:
    """None: something that it needs has not been measured."""
    try:
        return formula(context)
    except NotMeasured:
        return None


def described(estimate: Estimate, context: Context) -> str:
    """Which quantities and questions a value rests on."""
    parts = [f"`{name}`" for name in sorted(estimate.measured)]
    if estimate.extrapolation > 1:
        parts.append(f"extrapolated {rounded(estimate.extrapolation)} times")
    questions = sorted({context.sizes.assumed[name].question for name in estimate.assumed})
    parts += [f"assumes the answer to question {number}" for number in questions]
    return ", ".join(parts) or "given"


def markdown(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table; cells must hold no bars."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
