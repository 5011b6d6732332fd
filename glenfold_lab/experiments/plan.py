"""Experiment files: the cells to play, in an order that is the same on every machine."""

import hashlib
from collections.abc import Iterator, Sequence
from itertools import product
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta

from glenfold import toml_file
from glenfold.toml_file import BadFile, TomlFile
from glenfold_lab import scenario
from glenfold_lab.experiments import factors, revisions
from glenfold_lab.experiments.factors import Factor, Variant
from glenfold_lab.experiments.revisions import BadRevision, Decisions
from glenfold_lab.spec import Count, Name

MAX_CELLS = 1_000_000
UNRELATED_FOLDERS = ("commands", "experiments", "reports")  # No result depends on these folders of the lab.

Seed = Annotated[int, Meta(ge=0, lt=1 << 53)]
Seeds = Annotated[tuple[Seed, ...], Meta(min_length=1)]


class Terms(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An experiment file. Its cells are all scenarios x factors x revisions x seeds x repeats.

    `asks` is the question that the experiment is to answer. `scenarios` are names, or paths relative to the
    file's folder. `seeds` is a list, or a number n for 1 to n. `repeats` is the number of plays of each cell,
    which must give the same bytes. `revisions` are git revisions of the decisions, compared in pairs; "here"
    is the work tree. `factors` has the values to play for keys of the scenarios; each value is compared with
    the first. `figures` are the printed ones; () prints service, worst_window and rules_broken.
    """

    format: Literal[1]
    name: Name
    asks: Annotated[str, Meta(min_length=1, max_length=2000)]
    scenarios: Annotated[tuple[Name, ...], Meta(min_length=1)]
    seeds: Count | Seeds
    repeats: Count = 1
    revisions: Annotated[tuple[Name, ...], Meta(min_length=1)] = (revisions.HERE,)
    factors: dict[str, Any] = {}
    figures: tuple[Name, ...] = ()


class Cell(NamedTuple):
    """One run to play. `number` is its position in the results; variant and revision are indexes."""

    number: int
    variant: int
    revision: int
    seed: int
    repeat: int


class Plan(NamedTuple):
    """A checked experiment: all that is to be played."""

    name: str
    asks: str
    variants: tuple[Variant, ...]
    decisions: tuple[Decisions, ...]
    seeds: tuple[int, ...]
    repeats: int
    figures: tuple[str, ...]

    def cells(self) -> Iterator[Cell]:
        """Yields the cells in the order of the results."""
        variants, decisions = range(len(self.variants)), range(len(self.decisions))
        for number, indexes in enumerate(product(variants, decisions, self.seeds, range(self.repeats))):
            yield Cell(number, *indexes)

    @property
    def size(self) -> int:
        """The number of cells."""
        return len(self.variants) * len(self.decisions) * len(self.seeds) * self.repeats

    def identity(self) -> dict[str, Any]:
        """Returns what has to be equal for results to be in one file."""
        return {
            "scenarios, factors, seeds and repeats": _digest(
                msgspec.json.encode([self.variants, self.seeds, self.repeats], order="sorted")
            ),
            "revisions": [f"{one.name} {one.id}" for one in self.decisions],
            "the program (glenfold and glenfold_lab)": _program_digest(),
        }


def load(path: str, against: Sequence[str] = ()) -> Plan:
    """Reads and checks an experiment file.

    `against` are revisions to compare with, placed before those of the file. Raises BadFile with key, line
    and reason, or BadRevision.
    """
    file = toml_file.read(path)
    options = file.convert(Terms)
    _check_unique(file, options)
    chosen = factors.read(file)
    seeds = range(1, options.seeds + 1) if isinstance(options.seeds, int) else options.seeds
    names = tuple(dict.fromkeys((*against, *options.revisions)))
    _check_size(file, chosen, len(options.scenarios) * len(names) * len(seeds) * options.repeats)
    bases = [_scenario_file(file, number, name) for number, name in enumerate(options.scenarios)]
    variants = tuple(variant for base in bases for variant in factors.variants(file, base, chosen))
    _check_unique_names(file, [str(base.data["name"]) for base in bases])
    decisions = tuple(
        revisions.find(name) if name in against else _decisions(file, options, name) for name in names
    )
    asks = " ".join(options.asks.split())
    return Plan(options.name, asks, variants, decisions, tuple(seeds), options.repeats, options.figures)


def _check_unique(file: TomlFile, options: Terms) -> None:
    for name in ("scenarios", "seeds", "revisions", "figures"):
        values = getattr(options, name)
        for number, value in enumerate(values if isinstance(values, tuple) else ()):
            if value in values[:number]:
                raise file.error((name, number), f"{value!r} is listed twice")


def _check_size(file: TomlFile, chosen: Sequence[Factor], cells: int) -> None:
    for factor in chosen:
        cells *= len(factor.levels)
    if cells > MAX_CELLS:
        raise file.error(("seeds",), f"{cells} cells in all; at most {MAX_CELLS}")


def _decisions(file: TomlFile, options: Terms, name: str) -> Decisions:
    try:
        return revisions.find(name)
    except BadRevision as error:
        raise file.error(("revisions", options.revisions.index(name)), error.message) from error


def _scenario_file(file: TomlFile, number: int, name: str) -> TomlFile:
    try:
        base = scenario.find(name, Path(file.name).parent)
    except BadFile as error:
        if error.line is None:  # The file does not exist; problems within a file carry its own lines.
            raise file.error(("scenarios", number), error.message) from error
        raise
    scenario.check(base)
    return base


def _check_unique_names(file: TomlFile, names: Sequence[str]) -> None:
    """Rejects scenarios with the same name, as results are identified by the scenarios' names."""
    for number, name in enumerate(names):
        if name in names[:number]:
            raise file.error(("scenarios", number), f"another scenario has the name {name!r} too")


# ---- what results depend on --------------------------------------------------------------------


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def _program_digest() -> str:
    digest = hashlib.blake2b(digest_size=16)
    for package in ("glenfold", "glenfold_lab"):
        for path in sorted((revisions.ROOT / package).rglob("*.py")):
            relative_path = path.relative_to(revisions.ROOT)
            if relative_path.parts[1] not in UNRELATED_FOLDERS:
                digest.update(f"{relative_path}\0".encode() + _digest(path.read_bytes()).encode())
    return digest.hexdigest()
