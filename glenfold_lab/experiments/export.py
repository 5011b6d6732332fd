"""Results in the order of their cells: as tables to read, and as one JSON file."""

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
FIRST = ("service", "worst_window", "rules_broken")  # printed, if the experiment names no others


class Found:
    """What the results of an experiment say together. table: figures of the first play of each cell; failed:
    cells with their errors; unlike: cells whose repeat gave other bytes than its first play."""

    def __init__(self, plan: Plan, store: Store) -> None:
        self.table: dict[tuple[int, int, int], dict[str, float]] = {}
        self.failed: list[tuple[Cell, str]] = []
        self.unlike: list[Cell] = []
        first = b""
        for cell in plan.cells():
            short = store.read(cell.number, Short)
            if short.result is None:
                self.failed.append((cell, short.failed or ""))
            elif cell.repeat == 0:
                self.table[cell.variant, cell.revision, cell.seed] = short.result.figures
            if plan.repeats > 1:
                content = _content(store, cell)
                first = content if cell.repeat == 0 else first
                if content != first:
                    self.unlike.append(cell)

    @property
    def rules_broken(self) -> int:
        return int(sum(figures.get("rules_broken", 0) for figures in self.table.values()))


def _content(store: Store, cell: Cell) -> bytes:
    outcome = store.read(cell.number, Outcome)
    return encode(outcome.result) if outcome.result is not None else (outcome.failed or "").encode()


# ---- tables ------------------------------------------------------------------------------------


def shown(plan: Plan, table: Table) -> list[str]:
    """The figures to print: those that the experiment names, of those that there are."""
    there = {name for figures in table.values() for name in figures}
    return [name for name in plan.figures or FIRST if name in there]


def figures_grid(plan: Plan, found: Found) -> Grid:
    """Mean, least and greatest over the seeds, for each variant and revision."""
    names = shown(plan, found.table)
    grid = Grid("scenario", *(plan.variants[0].levels), "revision", "played", title=plan.name)
    for name in names:
        grid.add_column(name, justify="right")
    for number, variant in enumerate(plan.variants):
        for place, decisions in enumerate(plan.decisions):
            rows = [found.table[key] for seed in plan.seeds if (key := (number, place, seed)) in found.table]
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


def differences_grid(plan: Plan, found: Found, differences: Iterable[Difference]) -> Grid:
    names = shown(plan, found.table)
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
    for one in differences:
        if one.figure in names:
            where = [one.scenario, *(f"{name} = {level}" for name, level in one.levels.items()), one.revision]
            grid.add_row(
                one.figure,
                one.of,
                f"{one.base} -> {one.other}",
                ", ".join(filter(None, where)),
                str(one.pairs),
                f"{one.higher} / {one.lower} / {one.equal}",
                f"{one.mean:+.4g}",
                f"{one.median:+.4g}",
                _interval(one),
                one.says,
            )
    return grid


def _interval(one: Difference) -> str:
    return "-" if one.low is None else f"{one.low:+.4g} to {one.high:+.4g}"


# ---- JSON --------------------------------------------------------------------------------------


def write_json(path: str, plan: Plan, store: Store, differences: Iterable[Difference]) -> None:
    """The same bytes for the same results, whatever the order and the processes in which they were played."""
    write_whole(path, lambda file: file.writelines(_json(plan, store, differences)))


def _json(plan: Plan, store: Store, differences: Iterable[Difference]) -> Iterator[bytes]:
    head = {
        "format": FORMAT,
        "name": plan.name,
        "asks": plan.asks,
        "revisions": [{"name": one.name, "id": one.id} for one in plan.decisions],
    }
    yield msgspec.json.encode(head)[:-1] + b',\n"cells":['
    for cell in plan.cells():
        yield b",\n"[cell.number == 0 :] + _cell(plan, store, cell)
    yield b'],\n"differences":['
    for number, one in enumerate(differences):
        yield b",\n"[number == 0 :] + msgspec.json.encode(one)
    yield b"]}\n"


def _cell(plan: Plan, store: Store, cell: Cell) -> bytes:
    outcome, variant = store.read(cell.number, Outcome), plan.variants[cell.variant]
    what = {
        "scenario": variant.scenario.name,
        "levels": variant.levels,
        "revision": plan.decisions[cell.revision].name,
        "seed": cell.seed,
        "repeat": cell.repeat,
    }
    if outcome.result is None:
        return msgspec.json.encode({**what, "failed": outcome.failed})
    return msgspec.json.encode({**what, "result": msgspec.Raw(encode(outcome.result))})


def write_whole(path: str, write: Callable[[BinaryIO], None]) -> None:
    """All of it or nothing: what stood there before stays until the new file is on the disk."""
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
