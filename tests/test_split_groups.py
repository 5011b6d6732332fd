"""`settings.rules.split_groups`: the groups that the decisions receive, and that it is off by default."""

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import trio
from relaying import config, entry, whole

from glenfold.config.platform import Config
from glenfold.daemon.process import Process
from glenfold.net.exchange import Relay
from linnetspread import interface

GROUP = 0x5C0F


def relay(folder: Path, split: bool) -> Relay:
    conf: Config = replace(config(folder), split_groups=split)

    async def create() -> Relay:
        return Process(conf, lambda current: (current, [])).relay

    return trio.run(create)


def member(number: int) -> interface.Request:
    return interface.Request(number, 1_000_000, key=number * 0x9E3779B97F4A7C15 & (1 << 64) - 1, group=GROUP)


def test_a_relay_of_the_platform_splits_no_group_and_does_not_import_the_module(tmp_path: Path) -> None:
    shared = relay(tmp_path, split=False)
    assert shared.group_parts is None
    with shared.grouped(member(1)) as request:
        assert request == member(1)
    code = "import sys, glenfold.daemon.platform; sys.exit('glenfold.rules.group_parts' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_a_large_group_is_split_while_its_members_are_connected(tmp_path: Path) -> None:
    shared = relay(tmp_path, split=True)
    shared.destinations.read(whole(*(entry(f"s{number}") for number in range(20))))
    # 100 connections of all groups, which are 5 for each server.
    shared.ids.update(str(number).encode() for number in range(100))
    groups: list[int] = []
    contexts = [shared.grouped(member(number)) for number in range(1, 121)]
    for context in contexts:
        groups.append(context.__enter__().group)
    assert groups[0] == GROUP
    assert len(set(groups)) > 10
    for context in contexts:
        context.__exit__(None, None, None)
    assert shared.group_parts is not None
    assert len(shared.group_parts) == 0
