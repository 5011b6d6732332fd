"""Reads result files: JSON of one history, JSON lines of many, and stored or exported experiments.

Most of a result is its series. Only the few histories that get a section of their own are decoded in full;
the others are kept as encoded JSON.
"""

from collections.abc import Iterable
from contextlib import closing
from pathlib import Path
from typing import NamedTuple, TypeVar

import msgspec

from glenfold.toml_file import BadFile
from glenfold_lab.experiments import store
from glenfold_lab.experiments.compare import Difference
from glenfold_lab.results import FORMAT, RunResult

T = TypeVar("T")

EXPORT_FORMAT = 1  # Format version of the JSON file that an experiment exports.


class _Head(msgspec.Struct):
    format: int
    cells: msgspec.Raw = msgspec.Raw()  # Present only in the export of an experiment.


class Short(msgspec.Struct, frozen=True):
    """The part of a result that comparisons need."""

    scenario: str
    seed: int
    revision: str
    figures: dict[str, float]
    factors: dict[str, str] = {}
    verdicts: tuple[msgspec.Raw, ...] = ()
    verdicts_left_out: int = 0

    @property
    def rules_broken(self) -> int:
        return len(self.verdicts) + self.verdicts_left_out


class StoredHistory(NamedTuple):
    """The encoded result of one history. `file` and `location` name its origin in error messages."""

    file: str
    location: str
    short: Short
    content: msgspec.Raw

    @property
    def identity(self) -> tuple[object, ...]:
        """The scenario, seed, revision and factors, which identify the history."""
        short = self.short
        return short.scenario, short.seed, short.revision, *sorted(short.factors.items())

    def read_full(self) -> RunResult:
        """Decodes and checks the full result. Raises BadFile if it is invalid."""
        result = _decode(self.file, self.location, self.content, RunResult)
        if result.length_us <= 0:
            raise BadFile(self.file, f"{self.location}: length_us must be over 0")
        for kind, by_name in (("series", result.series), ("server_load", result.server_load)):
            for name, series in by_name.items():
                if series.step_us <= 0:
                    raise BadFile(self.file, f"{self.location}: {kind}.{name}: step_us must be over 0")
        return result


class _Outcome(msgspec.Struct, frozen=True):
    """One cell in the file that an experiment appends to."""

    cell: int
    result: msgspec.Raw = msgspec.Raw()
    failed: str | None = None


class _Cell(msgspec.Struct, frozen=True):
    """One cell in the JSON export of an experiment."""

    scenario: str
    seed: int
    revision: str
    levels: dict[str, str]
    repeat: int = 0
    result: msgspec.Raw = msgspec.Raw()
    failed: str | None = None


class Experiment(msgspec.Struct, frozen=True):
    """The question of an experiment and its answers.

    `failed` describes the cells without a result, with the reason.
    """

    name: str
    asks: str
    differences: tuple[Difference, ...] = ()
    failed: tuple[str, ...] = ()


class _Exported(msgspec.Struct):
    name: str
    asks: str
    cells: list[_Cell]
    differences: tuple[Difference, ...] = ()


class ReportInput(NamedTuple):
    """The contents of all files that a report covers."""

    histories: list[StoredHistory]
    experiments: list[Experiment]


def read_results(paths: Iterable[Path]) -> ReportInput:
    """Returns the contents of the files, in their order.

    Raises BadFile, which names the file, the location in it and the reason, if a file can't be read.
    """
    contents = ReportInput([], [])
    for path in paths:
        try:
            with path.open("rb") as file:
                is_store = file.read(len(store.MAGIC)) == store.MAGIC
            _read_store(str(path), contents) if is_store else _read_json(
                str(path), path.read_bytes(), contents
            )
        except OSError as error:
            raise BadFile(str(path), f"can't be read: {error.strerror}") from error
    return contents


def _read_store(file: str, contents: ReportInput) -> None:
    """Reads the file that an experiment appends to. It has no pairs, because only the plan defines them."""
    with closing(store.open_read_only(file)) as result_store:
        outcomes = list(result_store.outcomes(_Outcome))
    seen = set()
    for outcome in outcomes:
        if outcome.failed is None:
            history = _stored_history(file, f"cell {outcome.cell}", outcome.result)
            if history.identity not in seen:  # Repeats of a cell have identical results.
                contents.histories.append(history)
            seen.add(history.identity)
    failed = tuple(
        f"cell {outcome.cell}: {outcome.failed}" for outcome in outcomes if outcome.failed is not None
    )
    contents.experiments.append(Experiment(result_store.header.name, result_store.header.asks, failed=failed))


def _read_json(file: str, content: bytes, contents: ReportInput) -> None:
    try:
        parts = _split_documents(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadFile(file, f"is not JSON: {error}") from error
    if not parts:
        raise BadFile(file, "holds no result")
    for number, part in enumerate(parts, start=1):
        location = f"result {number}"
        head = _decode(file, location, part, _Head)
        if head.cells:
            _check_format(file, location, head.format, EXPORT_FORMAT)
            _read_exported(file, _decode(file, location, part, _Exported), contents)
        else:
            contents.histories.append(_stored_history(file, location, part))


def _split_documents(content: bytes) -> list[msgspec.Raw]:
    """Returns the only JSON document, or one document for each line."""
    try:
        return [msgspec.json.decode(content, type=msgspec.Raw)]
    except msgspec.DecodeError:
        lines = [line for line in content.splitlines() if line.strip()]
        parts: list[msgspec.Raw] = msgspec.json.decode(b"[" + b",".join(lines) + b"]", type=list[msgspec.Raw])
        return parts


def _read_exported(file: str, exported: _Exported, contents: ReportInput) -> None:
    for number, cell in enumerate(exported.cells):
        if cell.failed is None and cell.repeat == 0:
            contents.histories.append(_stored_history(file, f"cell {number}", cell.result))
    failed = tuple(
        f"{cell.scenario}, seed {cell.seed}, {cell.revision}: {cell.failed}"
        for cell in exported.cells
        if cell.failed is not None
    )
    contents.experiments.append(Experiment(exported.name, exported.asks, exported.differences, failed))


def _stored_history(file: str, location: str, content: msgspec.Raw) -> StoredHistory:
    _check_format(file, location, _decode(file, location, content, _Head).format, FORMAT)
    return StoredHistory(file, location, _decode(file, location, content, Short), content)


def _check_format(file: str, location: str, actual: int, expected: int) -> None:
    if actual != expected:
        raise BadFile(file, f"{location}: format {actual}; this program reads format {expected} only")


def _decode(file: str, location: str, content: msgspec.Raw, kind: type[T]) -> T:
    try:
        decoded: T = msgspec.json.decode(content, type=kind)
    except msgspec.DecodeError as error:
        raise BadFile(file, f"{location}: {error}") from error
    return decoded
