"""The operators' page on scenario and experiment files: complete, true defaults, a sound example."""

import json
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest

from glenfold import located
from glenfold_lab import scenario, spec
from glenfold_lab.experiments import plan

PAGE = (Path(__file__).parents[2] / "docs/operators/lab-scenarios.md").read_text()
STRUCTS: dict[str, Any] = {
    "## A scenario": spec.Scenario, "### `[[classes]]`": spec.RequestClass, "### `[[schemes]]`": spec.Scheme,
    "### `[zones]`": spec.Zones, "### `[servers]`": spec.Servers, "### `[[servers.kinds]]`": spec.ServerKind,
    "### `[relays]`": spec.Relays, "### `[front]`": spec.Front, "### `[clients]`": spec.Clients,
    "### `[server_list]`": spec.ServerList, "### `[rules]`": spec.Rules, "### `[[faults]]`": spec.Fault,
    "## An experiment": plan.Terms}


def default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "must be given"
    value = field.default if field.default is not msgspec.NODEFAULT else field.default_factory()
    first = value[0] if isinstance(value, tuple) and value else value
    if isinstance(first, spec.Part):
        return "see below"
    return "none" if value is None else f"`{json.dumps(value)}`"


@pytest.mark.parametrize("heading", STRUCTS)
def test_each_key_has_its_row_with_its_true_default(heading: str) -> None:
    section = re.split(r"\n#+ ", PAGE[PAGE.index(f"\n{heading}") + len(heading):])[0]
    rows = [[cell.strip() for cell in line.split("|")] for line in section.splitlines()]
    told = {row[1].strip("`"): row[4] for row in rows if len(row) == 7 and row[1].startswith("`")}
    assert told == {field.name: default(field) for field in msgspec.structs.fields(STRUCTS[heading])}


def test_each_kind_of_fault_has_its_row_with_what_it_takes() -> None:
    rows = [line.split("|") for line in PAGE.splitlines()]
    cells = {row[1].strip(" `"): row[2:4] for row in rows if len(row) == 6}
    for kind, terms in scenario.FAULTS.items():
        needs, may = (set(re.findall(r"`(\w+)`", cell)) for cell in cells[kind])
        assert needs == {*terms.needs, *(("part", "count") if terms.who else ())}
        assert may == set(terms.may)


def test_the_worked_example_is_sound(tmp_path: Path) -> None:
    blocks = re.findall(r"```toml\n# (\S+)\n(.*?)```", PAGE, re.S)
    for name, text in blocks:
        (tmp_path / name).write_text(text)
    assert plan.load(str(tmp_path / "question.toml")).size == 80
    assert scenario.check(located.read(tmp_path / "restart.toml")).name == "restart"
