"""The operators' page on their file lists every key with its bounds and default; its examples are valid."""

import re
from pathlib import Path

import msgspec
import pytest
from file_page import cells, examples, rows, tables

from glenfold.config.operators import read
from glenfold.config.tables import Table
from glenfold.config.terms import Terms

PAGE = (Path(__file__).parents[2] / "docs/operators/fleet-file.md").read_text()


@pytest.mark.parametrize("heading, kind", list(tables(Terms)))
def test_each_key_has_its_row_with_unit_bounds_and_default(heading: str, kind: type[Table]) -> None:
    assert rows(PAGE, heading) == {field.name: cells(field) for field in msgspec.structs.fields(kind)}


def test_the_page_has_no_section_for_a_table_that_does_not_exist() -> None:
    assert sorted(re.findall(r"\n(### `\[+.+)", PAGE)) == sorted(heading for heading, _ in tables(Terms))


def test_the_examples_are_valid(tmp_path: Path) -> None:
    shown = examples(PAGE)
    for name, text in shown:
        (tmp_path / name).write_text(text)
    minimal, fleet = read(tmp_path / "least.toml"), read(tmp_path / "fleet.toml")
    parents = read(tmp_path / "parents.toml").config().parents
    assert parents is not None and (parents.zone, parents.region) == ("wrexham", "wales")
    assert len(shown[0][1].splitlines()) == 5 and minimal.numbers == (None,)
    assert [fleet.location(number).listeners for number in (1, 4)] == [
        (("0.0.0.0", 3000),),
        (("0.0.0.0", 3003),),
    ]
