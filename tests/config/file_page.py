"""What an operators' page must say of the keys of a file: helpers for the tests of such pages."""

import json
import re
from collections.abc import Iterator

import msgspec

from glenfold.config.tables import Table, bare, default, described, inner, is_table

UNITS = {"s": "s", "ms": "ms", "mb": "MB"}


def tables(kind: type[Table], path: str = "") -> Iterator[tuple[str, type[Table]]]:
    """All that a file may hold, each with the heading of its section."""
    for field in msgspec.structs.fields(kind):
        at = f"{path}.{field.name}".lstrip(".")
        for one, heading in ((field.type, f"### `[{at}]`"), (inner(field.type), f"### `[[{at}]]`")):
            if one is not None and is_table(one):
                yield heading, bare(one)
                yield from tables(bare(one), at)


def unit(name: str) -> str:
    """As its name ends."""
    rate, of = name.endswith("_per_s"), name.removesuffix("_per_s")
    found = UNITS.get(of.rpartition("_")[2], "") if "_" in of else ""
    return f"{found or 1}/s" if rate else found


def cells(field: msgspec.structs.FieldInfo) -> list[str]:
    value = default(field)
    told = "none" if value is None else "see below" if is_table(type(value)) else f"`{json.dumps(value)}`"
    return [unit(field.name), described(field.type), "must be given" if field.required else told]


def rows(page: str, heading: str) -> dict[str, list[str]]:
    section = re.split(r"\n#+ ", page[page.index(f"\n{heading}\n") + len(heading) :])[0]
    found = [[cell.strip() for cell in line.split("|")] for line in section.splitlines()]
    return {row[1].strip("`"): row[2:5] for row in found if len(row) == 7 and row[1].startswith("`")}


def examples(page: str) -> list[tuple[str, str]]:
    """The files that the page shows in full, each with the name in its first line."""
    return re.findall(r"```toml\n# (\S+)\n(.*?)```", page, re.S)
