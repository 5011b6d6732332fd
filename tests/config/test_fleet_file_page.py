"""The operators' page on their file: complete, true bounds and defaults, sound examples."""

import json
import re
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from glenfold.config.operators import read
from glenfold.config.tables import Table, bare, default, described, inner, is_table
from glenfold.config.terms import Terms

PAGE = (Path(__file__).parents[2] / "docs/operators/fleet-file.md").read_text()
UNITS = {"s": "s", "ms": "ms", "mb": "MB"}


def tables(kind: type[Table], path: str = "") -> Iterator[tuple[str, type[Table]]]:
    """All that a file may hold, each with the heading of its section."""
    for field in msgspec.structs.fields(kind):
        at = f"{path}.{field.name}".lstrip(".")
        for one, heading in ((field.type, f"### `[{at}]`"), (inner(field.type), f"### `[[{at}]]`")):
            if one is not None and is_table(one):
                yield heading, bare(one)
                yield from tables(bare(one), at)


def cells(field: msgspec.structs.FieldInfo) -> list[str]:
    value = default(field)
    told = "none" if value is None else "see below" if is_table(type(value)) else f"`{json.dumps(value)}`"
    unit = UNITS.get(field.name.rpartition("_")[2], "") if "_" in field.name else ""
    return [unit, described(field.type), "must be given" if field.required else told]


def rows(heading: str) -> dict[str, list[str]]:
    section = re.split(r"\n#+ ", PAGE[PAGE.index(f"\n{heading}\n") + len(heading) :])[0]
    found = [[cell.strip() for cell in line.split("|")] for line in section.splitlines()]
    return {row[1].strip("`"): row[2:5] for row in found if len(row) == 7 and row[1].startswith("`")}


@pytest.mark.parametrize("heading, kind", list(tables(Terms)))
def test_each_key_has_its_row_with_unit_bounds_and_default(heading: str, kind: type[Table]) -> None:
    assert rows(heading) == {field.name: cells(field) for field in msgspec.structs.fields(kind)}


def test_no_section_tells_of_a_table_that_is_not_there() -> None:
    assert sorted(re.findall(r"\n(### `\[+.+)", PAGE)) == sorted(heading for heading, _ in tables(Terms))


def test_the_examples_are_sound(tmp_path: Path) -> None:
    examples = re.findall(r"```toml\n# (\S+)\n(.*?)```", PAGE, re.S)
    for name, text in examples:
        (tmp_path / name).write_text(text)
    least, fleet = read(tmp_path / "least.toml"), read(tmp_path / "fleet.toml")
    parents = read(tmp_path / "parents.toml").config().parents
    assert parents is not None and (parents.zone, parents.region) == ("wrexham", "wales")
    assert len(examples[0][1].splitlines()) == 5 and least.numbers == (None,)
    assert [fleet.place(number).listeners for number in (1, 4)] == [
        (("0.0.0.0", 3000),),
        (("0.0.0.0", 3003),),
    ]
