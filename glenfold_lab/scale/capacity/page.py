"""The page of capacity: every figure on it comes from the files of results and of sizes."""

import difflib
import math
from collections.abc import Iterator
from pathlib import Path

import jinja2

from glenfold_lab.scale.capacity import events, replicas, verdicts
from glenfold_lab.scale.capacity.context import Context
from glenfold_lab.scale.capacity.estimates import rounded
from glenfold_lab.scale.capacity.roles import ROLES
from glenfold_lab.scale.capacity.sizes import Assumption, Sizes
from glenfold_lab.scale.capacity.slopes import STRAIGHT, NotMeasured, Quantity, Slopes
from glenfold_lab.scale.capacity.tables import markdown

TEMPLATE = "capacity.md.j2"


def page(sizes: Sizes, slopes: Slopes) -> str:
    """The whole text, as Markdown."""
    target = Context(sizes.target, sizes, slopes)
    found = verdicts.verdicts(target)
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("glenfold_lab.scale.capacity", "templates"),
        undefined=jinja2.StrictUndefined,
        keep_trailing_newline=True,
        trim_blocks=True,
        autoescape=False,  # Markdown of our own figures
    )
    return environment.get_template(TEMPLATE).render(
        sizes=sizes,
        runs=slopes.runs,
        verdicts=verdicts.table(found),
        ranking=verdicts.ranking(found),
        assumptions=assumption_table(sizes, slopes),
        roles={role: role_table(role, sizes, slopes) for role in ROLES},
        events=events.table(target),
        plays=replicas.play_table(slopes),
        machines=replicas.machine_table(target),
        slopes=slope_table(slopes),
        rounded=rounded,
    )


def role_table(role: str, sizes: Sizes, slopes: Slopes) -> str:
    """One role at the three sizes."""
    contexts = [Context(size, sizes, slopes) for size in (sizes.today, sizes.lab, sizes.target)]
    header = [
        "what",
        "unit",
        "formula",
        *(context.size.title for context in contexts),
        "rests on, at the target",
    ]
    rows = [
        [row.what, row.unit, row.written, *(row.cell(each) for each in contexts), row.basis(contexts[-1])]
        for row in ROLES[role]
    ]
    return markdown(header, rows)


def assumption_table(sizes: Sizes, slopes: Slopes) -> str:
    """Each assumption, and the verdicts that another answer changes."""
    header = ["question", "assumed", "taken", "why", "if it were", "verdicts that move"]
    rows: list[list[str]] = []
    for name, assumption in sizes.assumed.items():
        for answer in (assumption.low, assumption.high):
            moved = "; ".join(moved_verdicts(name, answer, sizes, slopes)) or "none"
            rows.append([*_assumption_cells(assumption), rounded(answer), moved])
    return markdown(header, rows)


def _assumption_cells(assumption: Assumption) -> list[str]:
    name = assumption.name.replace("_", " ")
    return [str(assumption.question), name, f"{rounded(assumption.value)} {assumption.unit}", assumption.why]


def moved_verdicts(name: str, answer: float, sizes: Sizes, slopes: Slopes) -> Iterator[str]:
    """What changes if the answer to one question is another."""
    changed = sizes.with_assumption(name, answer)
    before = verdicts.verdicts(Context(sizes.target, sizes, slopes))
    after = verdicts.verdicts(Context(changed.target, changed, slopes))
    for old, new in zip(before, after, strict=True):
        if old.words != new.words:
            yield f"{new.line.demand}: {new.words.removesuffix(', by assumption')}"


def slope_table(slopes: Slopes) -> str:
    """Every measured quantity with its line."""
    header = ["quantity", "unit", "by", "sizes", "repeats", "line", "worst residual", "spread", "run"]
    rows = [slope_row(quantity) for _, quantity in sorted(slopes.quantities.items())]
    return markdown(header, rows)


def slope_row(quantity: Quantity) -> list[str]:
    try:
        line = quantity.line()
        equation = f"{line.intercept:.4g} + {line.slope:.4g} x"
        residual = percentage(line.worst_residual)
        if line.residual_at_zero:
            residual = f"{rounded(line.residual_at_zero)} {quantity.unit} from a median of 0"
        if line.worst_residual > STRAIGHT:
            residual += ", not straight"
    except NotMeasured:
        equation, residual = "two sizes or one", "-"
    return [
        f"`{quantity.name}`",
        quantity.unit,
        quantity.dimension,
        ", ".join(rounded(size) for size in quantity.sizes),
        str(quantity.repeats),
        equation,
        residual,
        percentage(quantity.spread),
        quantity.run,
    ]


def percentage(part: float) -> str:
    """An infinite part is one of a median of 0, which no percentage tells."""
    return "about a median of 0" if math.isinf(part) else f"{100 * part:.0f} %"


def difference(written: str, made: str) -> list[str]:
    """Lines in which a page on disk and the one made from the results differ."""
    return [
        line
        for line in difflib.unified_diff(
            written.splitlines(), made.splitlines(), "page", "results", "", "", 0
        )
        if not line.startswith(("---", "+++", "@@"))
    ]


def load(folder: Path) -> tuple[Sizes, Slopes]:
    """The files that the page is made from."""
    return Sizes.load(folder / "sizes.toml"), Slopes.load(folder)
