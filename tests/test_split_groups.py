"""`settings.rules.split_groups`: what the relay tells its decisions, and that it is off unless asked for."""

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import trio
from relaying import config, entry, whole

from glenfold.config.platform import Config
from glenfold.daemon.process import Process
from glenfold.net.inbound import Relay
from linnetspread import interface

GROUP = 0x5C0F


def relay(folder: Path, split: bool) -> Relay:
    conf: Config = replace(config(folder), split_groups=split)

    async def made() -> Relay:
        return Process(conf, lambda current: (current, [])).relay

    return trio.run(made)


def member(number: int) -> interface.Request:
    return interface.Request(number, 1_000_000, key=number * 0x9E3779B97F4A7C15 & (1 << 64) - 1, group=GROUP)


def test_a_platform_s_relay_places_every_group_as_one_and_loads_nothing_of_it(tmp_path: Path) -> None:
    shared = relay(tmp_path, split=False)
    assert shared.group_parts is None
    with shared.grouped(member(1)) as told:
        assert told == member(1)
    loads = "import sys, glenfold.daemon.platform; sys.exit('glenfold.rules.group_parts' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", loads], check=False).returncode == 0


def test_a_large_group_is_told_in_parts_while_its_members_are_here(tmp_path: Path) -> None:
    shared = relay(tmp_path, split=True)
    shared.destinations.read(whole(*(entry(f"s{number}") for number in range(20))))
    shared.ids.update(str(number).encode() for number in range(100))  # of all groups: 5 of each server
    told: list[int] = []
    open_blocks = [shared.grouped(member(number)) for number in range(1, 121)]
    for block in open_blocks:
        told.append(block.__enter__().group)
    assert told[0] == GROUP
    assert len(set(told)) > 10
    for block in open_blocks:
        block.__exit__(None, None, None)
    assert shared.group_parts is not None
    assert len(shared.group_parts) == 0
