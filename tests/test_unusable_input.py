"""Input that can't be used: it is refused where it is read, and what was known holds."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
import relaying
import trio
from relaying import OPEN, entry, read_line, whole

from glenfold.config import ConfigError, read_again
from glenfold.counters import Counters
from glenfold.daemon.process import Process
from glenfold.destinations import DestinationSet
from glenfold.list_entry import server_number
from glenfold.net.discovery import Discovery
from linnetspread import interface

# A second dot, a label over 63 characters, no IPv4 address, a NUL, half of a surrogate pair.
UNUSABLE_HOSTS = ["127.0.0..1", "a" * 64, "127.0.0.256", "127.0.0.1\0", "s-\ud800"]


# Guards against a SIGHUP with an address that is none, which ended the relay (incident 11).
@pytest.mark.parametrize("host", UNUSABLE_HOSTS)
def test_an_unusable_address_of_discovery_is_refused_at_a_reload_and_changes_nothing(
    tmp_path: Path, host: str
) -> None:
    async def main() -> None:
        before = relaying.config(tmp_path)
        environment = {"LB_CONFIG": str(tmp_path / "config.json")}
        process = Process(before, lambda current: read_again(environment, current))
        relaying.write_config(tmp_path, discovery=f"{host}:9")
        result = process.reload()
        assert result.file and str(result.refused).startswith("discovery: ")
        assert process.relay.config == before and process.relay.counters.reloads_refused == 1

    trio.run(main)


@pytest.mark.parametrize("key", ["discovery", "listen"])
@pytest.mark.parametrize("host", UNUSABLE_HOSTS)
def test_an_unusable_address_in_the_file_names_its_key(tmp_path: Path, host: str, key: str) -> None:
    with pytest.raises(ConfigError, match=f"^{key}: .* is not HOST:PORT"):
        relaying.config(tmp_path, **{key: f"{host}:9"})


# Guards against a start that ends in a traceback where the file is faulty (incident 11).
def test_a_start_with_an_unusable_address_of_discovery_ends_with_status_2_and_the_key(tmp_path: Path) -> None:
    relaying.write_config(tmp_path, listen="127.0.0.1:0", discovery="127.0.0..1:9")
    environment = os.environ | {"LB_CONFIG": str(tmp_path / "config.json"), "LB_LISTEN": "127.0.0.1:1"}
    ended = subprocess.run(
        [sys.executable, "-m", "glenfold"], env=environment, capture_output=True, text=True, timeout=30
    )
    assert ended.returncode == 2, ended.stderr
    assert "discovery: '127.0.0..1:9' is not HOST:PORT" in ended.stderr + ended.stdout
    assert "Traceback" not in ended.stderr


# Guards against an entry whose dial is no address, at which each request was closed unanswered (incident 11).
@pytest.mark.parametrize("host", UNUSABLE_HOSTS)
def test_a_server_whose_new_address_is_unusable_keeps_its_address(tmp_path: Path, host: str) -> None:
    async def main() -> None:
        conf = relaying.config(tmp_path)
        async with (
            relaying.relay(conf, relaying.accept_and_echo) as (shared, _, port),
            await trio.open_tcp_stream("127.0.0.1", port) as client,
        ):
            change = {
                "seq": 2,
                "whole": False,
                "hosts": [entry("s-0", f"{host}:9"), entry("s-1", f"{host}:9")],
            }
            await shared.decisions.submit(shared.destinations.read(change))
            assert len(shared.destinations.problems) == 2 and shared.destinations.count == 1
            await client.send_all(OPEN)
            assert await read_line(client) == b"UP r1\r\n"

    trio.run(main)


@pytest.mark.parametrize("host", UNUSABLE_HOSTS)
def test_a_new_server_with_an_unusable_address_is_left_out(tmp_path: Path, host: str) -> None:
    destinations = DestinationSet(relaying.config(tmp_path).names)
    destinations.read(whole(entry("s-0"), entry("s-1", f"{host}:9")))
    assert destinations.address(server_number("s-1")) is None and len(destinations.problems) == 1


# Guards against a host that can't be encoded, which ended every relay that got the list (incident 12).
def test_a_host_that_can_not_be_encoded_leaves_the_rest_of_its_list_in_force(tmp_path: Path) -> None:
    applied: list[interface.ServerList] = []

    async def on_list(servers: interface.ServerList) -> None:
        applied.append(servers)

    destinations = DestinationSet(relaying.config(tmp_path).names)
    discovery = Discovery(("127.0.0.1", 9), destinations, on_list, Counters())
    text = json.dumps(whole(entry("s-\ud800"), entry("s-1", site="\udfff"), entry("s-2"))).encode()
    trio.run(discovery._apply, text)
    assert [listed.server for listed in applied[0].servers] == [server_number("s-2")]
    assert len(destinations.problems) == 2
