"""A real relay and a relay of the model get the same settings for every shipped scenario."""

import json
from pathlib import Path

import pytest

from glenfold.config import read_config
from glenfold_lab import scenario
from glenfold_lab.model.fleet import Fleet
from glenfold_lab.model.relay_settings import make_settings
from glenfold_lab.stand_ins.relay_settings import settings_json
from glenfold_lab.streams import Streams


@pytest.mark.parametrize("name", scenario.shipped())
def test_a_real_relay_gets_the_settings_of_a_model_relay(tmp_path: Path, name: str) -> None:
    shipped_scenario = scenario.load(name)
    terms = Fleet(shipped_scenario, Streams(5)).parameters
    document = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": settings_json(shipped_scenario, terms, 1, 0),
    }
    (tmp_path / "config.json").write_text(json.dumps(document))
    config = read_config({"LB_CONFIG": str(tmp_path / "config.json")})
    assert config.settings == make_settings(shipped_scenario, terms, 1, 0)
    assert list(config.names.classes) == [kind.name for kind in shipped_scenario.classes]
