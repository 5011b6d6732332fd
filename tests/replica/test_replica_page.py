"""Tests that the operators' page on replicas is complete and correct, and that its example works as shown."""

import re
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import msgspec
import pytest
import trio
from config.file_page import cells, examples, rows, tables
from running_replica import ChildConnection
from stand_in_parent import StandInParent

from glenfold.config.replica import Terms, read
from glenfold.config.tables import Table
from glenfold.replica.counters import ReplicaCounters
from glenfold.rules.parent_choice import Refusal

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs/operators/replica.md").read_text()
WITHIN_S = 20.0


@pytest.mark.parametrize("heading, kind", list(tables(Terms)))
def test_each_key_has_its_row_with_unit_bounds_and_default(heading: str, kind: type[Table]) -> None:
    assert rows(PAGE, heading) == {field.name: cells(field) for field in msgspec.structs.fields(kind)}


def test_no_section_describes_a_missing_table() -> None:
    assert sorted(re.findall(r"\n(### `\[+.+)", PAGE)) == sorted(heading for heading, _ in tables(Terms))


def test_each_counter_is_listed() -> None:
    section = PAGE[PAGE.index("| counter |") : PAGE.index("## What goes wrong")]
    counter_names = re.findall(
        r"`(\w+)`", "".join(line.split("|")[1] for line in section.splitlines() if "|" in line)
    )
    parent_counters = ["documents", "parents_followed", *(f"parents_{why.value}" for why in Refusal)]
    assert counter_names == [*ReplicaCounters().plain(), *parent_counters]


def test_the_example_gives_the_response_shown(tmp_path: Path) -> None:
    """The example runs with other ports, as those on the page may be in use."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            source = StandInParent(revision=41)
            await source.listen(nursery)
            ports = {"7000": str(source.port)}
            for port in ("7101", "7102"):
                with socket.create_server(("127.0.0.1", 0)) as sock:
                    ports[port] = str(sock.getsockname()[1])
            started = []
            try:
                for name, text in examples(PAGE):
                    (tmp_path / name).write_text(re.sub(r"(?<=:)7\d\d\d", lambda at: ports[at[0]], text))
                    assert read(tmp_path / name)
                    program = [sys.executable, "-m", "glenfold", "replica", str(tmp_path / name)]
                    started.append(subprocess.Popen(program, cwd=ROOT, stderr=subprocess.DEVNULL))
                    await wait_until_serving(int(ports["7101"]))
                await check_responses(int(ports["7102"]))
            finally:
                for process in started:
                    process.kill()
                    process.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)


async def check_responses(port: int) -> None:
    shown = re.search(r"```\nHTTP/1.1 200 OK\n(.*?)```", PAGE, re.S)
    assert shown is not None
    names = [line.partition(":")[0] for line in shown[1].splitlines()]
    via = re.search(r"Via: (.+)", shown[1])
    assert via is not None
    child, fields = await wait_until_serving(port)
    assert list(fields) == names and fields["Via"] == via[1] and int(fields["Age"]) <= 3
    assert (await child.read_list())["seq"] == 41
    watch = ChildConnection(await trio.open_tcp_stream("127.0.0.1", port))
    assert (await watch.ask("/v1/servers?watch=1&from=41")).status_code == 200
    assert await watch.next_line() is None


async def wait_until_serving(port: int) -> tuple[ChildConnection, dict[str, str]]:
    """Waits until the replica answers with a list. Returns the connection and the header fields."""
    start_s = time.monotonic()
    while time.monotonic() < start_s + WITHIN_S:
        with suppress(OSError):
            child = ChildConnection(await trio.open_tcp_stream("127.0.0.1", port))
            response = await child.ask("/v1/servers")
            if response.status_code == 200:
                return child, {name.decode().title(): value.decode() for name, value in response.headers}
        await trio.sleep(0.05)
    raise TimeoutError(f"no replica serves a list on port {port}")
