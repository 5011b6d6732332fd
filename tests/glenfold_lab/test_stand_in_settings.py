"""A real relay and one of the model are told the same of every shipped scenario."""

import json
from pathlib import Path

import pytest

from glenfold.config import read_config
from glenfold_lab import scenario
from glenfold_lab.model.fleet import Fleet
from glenfold_lab.model.relay_settings import settings_of
from glenfold_lab.stand_ins.relay_settings import settings_json
from glenfold_lab.streams import Streams


@pytest.mark.parametrize("name", scenario.shipped())
def test_a_real_relay_is_told_what_one_of_the_model_is(tmp_path: Path, name: str) -> None:
    day = scenario.load(name)
    terms = Fleet(day, Streams(5)).terms
    document = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": settings_json(day, terms, 1, 0),
    }
    (tmp_path / "config.json").write_text(json.dumps(document))
    read = read_config({"LB_CONFIG": str(tmp_path / "config.json")})
    assert read.settings == settings_of(day, terms, 1, 0)
    assert list(read.names.classes) == [kind.name for kind in day.classes]
