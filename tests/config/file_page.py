"""Helpers for tests that compare an operators' page with the keys of the file that it documents."""

import json
import re
from collections.abc import Iterator

import msgspec

from glenfold.config.tables import Table, default_value, describe_type, element_type, is_table, unwrap_type

UNITS = {"s": "s", "ms": "ms", "mb": "MB"}


def tables(kind: type[Table], path: str = "") -> Iterator[tuple[str, type[Table]]]:
    """Yields every table of a file, with the heading of its section on the page."""
    for field in msgspec.structs.fields(kind):
        key = f"{path}.{field.name}".lstrip(".")
        for table, heading in (
            (field.type, f"### `[{key}]`"),
            (element_type(field.type), f"### `[[{key}]]`"),
        ):
            if table is not None and is_table(table):
                yield heading, unwrap_type(table)
                yield from tables(unwrap_type(table), key)


def unit_of(name: str) -> str:
    """Returns the unit that the end of a key's name stands for, or an empty text."""
    is_rate, quantity = name.endswith("_per_s"), name.removesuffix("_per_s")
    unit = UNITS.get(quantity.rpartition("_")[2], "") if "_" in quantity else ""
    return f"{unit or 1}/s" if is_rate else unit


def cells(field: msgspec.structs.FieldInfo) -> list[str]:
    """Returns the unit, the valid values and the default that the page must give for a key."""
    value = default_value(field)
    default_cell = (
        "none" if value is None else "see below" if is_table(type(value)) else f"`{json.dumps(value)}`"
    )
    return [
        unit_of(field.name),
        describe_type(field.type),
        "must be given" if field.required else default_cell,
    ]


def rows(page: str, heading: str) -> dict[str, list[str]]:
    """Returns the cells of each row of the table under the heading, by key."""
    section = re.split(r"\n#+ ", page[page.index(f"\n{heading}\n") + len(heading) :])[0]
    table_rows = [[cell.strip() for cell in line.split("|")] for line in section.splitlines()]
    return {row[1].strip("`"): row[2:5] for row in table_rows if len(row) == 7 and row[1].startswith("`")}


def examples(page: str) -> list[tuple[str, str]]:
    """Returns the name and the text of each file on the page; the name stands in the first line."""
    return re.findall(r"```toml\n# (\S+)\n(.*?)```", page, re.S)
