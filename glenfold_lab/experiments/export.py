"""Results of an experiment in the order of the cells: as printed tables and as one JSON file."""

import os
import tempfile
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec
from rich.table import Table as Grid

from glenfold.toml_file import BadFile
from glenfold_lab.experiments.compare import Difference, Table
from glenfold_lab.experiments.plan import Cell, Plan
from glenfold_lab.experiments.store import Outcome, Short, Store, sync_folder
from glenfold_lab.results import encode

FORMAT = 1
DEFAULT_FIGURES = ("service", "worst_window", "rules_broken")  # These are printed by default.


class ExperimentResults:
    """The results of an experiment.

    `table` has the figures of the first play of each cell. `failed` lists cells with their errors.
    `nondeterministic` lists cells whose repeat gave other bytes than the first play.
    """

    def __init__(self, plan: Plan, store: Store) -> None:
        self.table: dict[tuple[int, int, int], dict[str, float]] = {}
        self.failed: list[tuple[Cell, str]] = []
        self.nondeterministic: list[Cell] = []
        first_content = b""
        for cell in plan.cells():
            summary = store.read(cell.number, Short)
            if summary.result is None:
                self.failed.append((cell, summary.failed or ""))
            elif cell.repeat == 0:
                self.table[cell.variant, cell.revision, cell.seed] = summary.result.figures
            if plan.repeats > 1:
                content = _content(store, cell)
                first_content = content if cell.repeat == 0 else first_content
                if content != first_content:
                    self.nondeterministic.append(cell)

    @property
    def rules_broken(self) -> int:
        """The number of broken rules over the first plays of all cells."""
        return int(sum(figures.get("rules_broken", 0) for figures in self.table.values()))


def _content(store: Store, cell: Cell) -> bytes:
    outcome = store.read(cell.number, Outcome)
    return encode(outcome.result) if outcome.result is not None else (outcome.failed or "").encode()


# ---- tables ------------------------------------------------------------------------------------


def shown_figures(plan: Plan, table: Table) -> list[str]:
    """Returns the figures to print: those that the experiment names and the results have."""
    available = {name for figures in table.values() for name in figures}
    return [name for name in plan.figures or DEFAULT_FIGURES if name in available]


def figures_grid(plan: Plan, results: ExperimentResults) -> Grid:
    """Returns a table of mean, minimum and maximum over the seeds, for each variant and revision."""
    names = shown_figures(plan, results.table)
    grid = Grid("scenario", *(plan.variants[0].levels), "revision", "played", title=plan.name)
    for name in names:
        grid.add_column(name, justify="right")
    for number, variant in enumerate(plan.variants):
        for revision_index, decisions in enumerate(plan.decisions):
            rows = [
                results.table[key]
                for seed in plan.seeds
                if (key := (number, revision_index, seed)) in results.table
            ]
            grid.add_row(
                variant.scenario.name,
                *variant.levels.values(),
                decisions.name,
                f"{len(rows)} of {len(plan.seeds)}",
                *(_spread([row[name] for row in rows if name in row]) for name in names),
            )
    return grid


def _spread(values: list[float]) -> str:
    if not values:
        return "-"
    return f"{sum(values) / len(values):.4g} ({min(values):.4g} to {max(values):.4g})"


def differences_grid(plan: Plan, results: ExperimentResults, differences: Iterable[Difference]) -> Grid:
    """Returns a table of the differences of the printed figures."""
    names = shown_figures(plan, results.table)
    grid = Grid(
        "figure",
        "of",
        "between",
        "where",
        "pairs",
        "up / down / alike",
        "mean",
        "median",
        "95 % interval",
        "says",
        title="differences on the same seeds",
    )
    for difference in differences:
        if difference.figure in names:
            where = [
                difference.scenario,
                *(f"{name} = {level}" for name, level in difference.levels.items()),
                difference.revision,
            ]
            grid.add_row(
                difference.figure,
                difference.of,
                f"{difference.base} -> {difference.other}",
                ", ".join(filter(None, where)),
                str(difference.pairs),
                f"{difference.higher} / {difference.lower} / {difference.equal}",
                f"{difference.mean:+.4g}",
                f"{difference.median:+.4g}",
                _interval(difference),
                difference.says,
            )
    return grid


def _interval(difference: Difference) -> str:
    return "-" if difference.low is None else f"{difference.low:+.4g} to {difference.high:+.4g}"


# ---- JSON --------------------------------------------------------------------------------------


def write_json(path: str, plan: Plan, store: Store, differences: Iterable[Difference]) -> None:
    """Writes results and differences as one JSON file. Raises BadFile if the file can't be written.

    The same results give the same bytes, whatever the order and the processes in which cells were played.
    """
    write_atomically(path, lambda file: file.writelines(_json(plan, store, differences)))


def _json(plan: Plan, store: Store, differences: Iterable[Difference]) -> Iterator[bytes]:
    head = {
        "format": FORMAT,
        "name": plan.name,
        "asks": plan.asks,
        "revisions": [{"name": decisions.name, "id": decisions.id} for decisions in plan.decisions],
    }
    yield msgspec.json.encode(head)[:-1] + b',\n"cells":['
    for cell in plan.cells():
        yield b",\n"[cell.number == 0 :] + _cell(plan, store, cell)
    yield b'],\n"differences":['
    for number, difference in enumerate(differences):
        yield b",\n"[number == 0 :] + msgspec.json.encode(difference)
    yield b"]}\n"


def _cell(plan: Plan, store: Store, cell: Cell) -> bytes:
    outcome, variant = store.read(cell.number, Outcome), plan.variants[cell.variant]
    cell_fields = {
        "scenario": variant.scenario.name,
        "levels": variant.levels,
        "revision": plan.decisions[cell.revision].name,
        "seed": cell.seed,
        "repeat": cell.repeat,
    }
    if outcome.result is None:
        return msgspec.json.encode({**cell_fields, "failed": outcome.failed})
    return msgspec.json.encode({**cell_fields, "result": msgspec.Raw(encode(outcome.result))})


def write_atomically(path: str, write: Callable[[BinaryIO], None]) -> None:
    """Writes a file completely or not at all; an existing file stays until the new one is on the disk.

    Raises BadFile if the file can't be written.
    """
    folder = Path(path).parent
    try:
        with tempfile.NamedTemporaryFile(dir=folder, prefix=".results-", delete=False) as file:
            try:
                write(file)  # type: ignore[arg-type]
                file.flush()
                os.fsync(file.fileno())
                os.chmod(file.name, 0o644)
                os.replace(file.name, path)
            except BaseException:
                os.unlink(file.name)
                raise
        sync_folder(folder)
    except OSError as error:
        raise BadFile(path, f"can't be written: {error.strerror}") from error
