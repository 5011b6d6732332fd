"""A small run of connections through a real relay: bounds on its slopes, and that they can be exceeded."""

import re
import select
import shlex
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import click
import pytest
import trio
from click.testing import CliRunner

from glenfold.net.passing import SERVER_SILENCE_TIMEOUT_S
from glenfold_lab.scale import connections_run as run
from glenfold_lab.scale import placement_cost
from glenfold_lab.scale.connection_bounds import MEMORY, REFERENCE, STEPS, exceeded
from glenfold_lab.scale.connections_command import Numbers, command
from glenfold_lab.scale.hollow_clients import Clients, Hear, Heard
from glenfold_lab.scale.hollow_process import Schedule
from glenfold_lab.scale.hollow_servers import ASK, DELIVERY, SAY, Listen, PushServers
from glenfold_lab.scale.measurements import Machine, Point, Results, medians

ROOT = Path(__file__).parents[3]
PAGE = (ROOT / "docs/operators/lab-scale.md").read_text()
SMALL = run.Plan(
    (100, 200, 400),
    (1_000,),
    1,
    window_s=0.3,
    rest_s=SERVER_SILENCE_TIMEOUT_S,
    settle_s=0.1,
    line_rate=1_500.0,
)
# A relay in which a line looks at all connections, and a connection keeps something for each other one.
MUTANT = """#!{python}
import runpy, sys
del sys.argv[1:]
sys.path.insert(0, {root!r})
from glenfold.lines import LineTracker
from glenfold.net.passing import StandingConnection
standing, complete, begin = [], LineTracker.complete, StandingConnection.__init__

def look_at_all(self, data):
    for _ in range(6):
        [passage.is_ending for passage in standing]
    return complete(self, data)

def keep_for_all(self, *given):
    begin(self, *given)
    standing.append(self)
    self.kept = bytearray(300 * len(standing))

LineTracker.complete, StandingConnection.__init__ = look_at_all, keep_for_all
runpy.run_module("glenfold", run_name="__main__")
"""


def measured(plan: run.Plan, folder: Path) -> Results:
    results = Results("connections", "a test", "", Machine.here())
    trio.run(run.repeat, plan, 1, folder, results.points.append)
    return results


def test_no_slope_of_a_relay_exceeds_its_bound(tmp_path: Path) -> None:
    results = measured(SMALL, tmp_path)
    assert list(exceeded(results)) == []
    assert list(medians(results.of("relay.line.cpu"))) == list(SMALL.sizes)
    assert [point.quantity for point in results.points if f"`{point.quantity}`" not in PAGE] == []


def test_a_relay_that_looks_at_all_connections_exceeds_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutant = tmp_path / "mutant"
    mutant.write_text(MUTANT.format(python=sys.executable, root=str(ROOT)))
    mutant.chmod(0o700)
    monkeypatch.setattr(sys, "executable", str(mutant))
    plan = replace(SMALL, rates=(), rest_s=0.1)  # what silent connections cost is not what it changes
    over = [words.partition(":")[0] for words in exceeded(measured(plan, tmp_path))]
    assert MEMORY in over
    assert "relay.delivery.cpu" in over


# ---- the bounds themselves ----


def sound() -> Results:
    """A run well within all bounds."""
    points = [Point(REFERENCE, "us", "connections", size, 0.5) for size in (100, 200, 400)]
    for size in (100, 200, 400):
        points.append(Point(MEMORY, "kB", "connections", size, 30_000 + 28 * size))
        points.append(Point("relay.connection.setup.cpu", "ms", "connections", size, 1.6))
        points.append(Point("relay.connection.silent.cpu", "ms/s", "connections", size, 0.1 * size))
        for quantity in ("relay.delivery.cpu", "relay.line.cpu", "relay.line.up.cpu"):
            points.append(Point(quantity, "us", "connections", size, 120.0))
    return Results("connections", "", "", Machine.here(), points=points)


def changed(quantity: str, change: Callable[[Point], float]) -> list[str]:
    """What is over its bound once that quantity is changed so in a sound run."""
    results = sound()
    results.points = [
        Point(p.quantity, p.unit, p.dimension, p.size, change(p)) if p.quantity == quantity else p
        for p in results.points
    ]
    return list(exceeded(results))


def test_a_sound_run_exceeds_nothing() -> None:
    assert list(exceeded(sound())) == []


@pytest.mark.parametrize("quantity", STEPS)
def test_each_cost_has_a_bound_on_its_size_and_on_its_growth(quantity: str) -> None:
    assert f"{quantity}: " in changed(quantity, lambda p: p.value * 6)[0]
    assert "grows from" in changed(quantity, lambda p: p.value * p.size / 180)[0]


def test_a_cost_that_was_not_measured_is_told() -> None:
    results = sound()
    results.points = [p for p in results.points if p.quantity != "relay.line.cpu"]
    assert list(exceeded(results)) == ["relay.line.cpu: measured at fewer than two sizes"]


def test_memory_has_a_bound_on_its_slope_and_on_its_curve() -> None:
    assert "kB a connection" in changed(MEMORY, lambda p: 30_000 + 40 * p.size)[0]
    assert "off a straight line" in changed(MEMORY, lambda p: 3_000 + p.size**2 / 20)[0]


def test_a_slow_machine_is_no_fault_of_the_relay() -> None:
    results = sound()
    slower = {quantity: 3.0 for quantity in (REFERENCE, *STEPS)}
    results.points = [
        Point(p.quantity, p.unit, p.dimension, p.size, p.value * slower.get(p.quantity, 1.0))
        for p in results.points
    ]
    assert list(exceeded(results)) == []


# ---- its parts ----


def test_sizes_beyond_the_descriptors_become_the_largest_that_they_allow() -> None:
    assert run.reachable((1_000, 5_000, 20_000), descriptors=20_000) == (1_000, 5_000, 9_900)
    assert run.reachable((1_000, 5_000, 20_000), descriptors=100_000) == (1_000, 5_000, 20_000)


def test_lines_that_come_in_one_piece_are_each_answered() -> None:
    servers = PushServers()
    (address,) = servers.obey(Listen(("127.0.0.1",)))
    with socket.create_connection(address) as client:
        client.sendall(b"OPEN 1 2 c=watch,d=100\r\n")
        while client not in readable(client):
            servers.turn(0.01)
        assert client.recv(100) == b"UP receipt\r\n"
        client.sendall(ASK + SAY + ASK)
        while client not in readable(client):
            servers.turn(0.01)
        assert client.recv(100) == ASK + ASK


def readable(sock: socket.socket) -> list[socket.socket]:
    return select.select([sock], [], [], 0)[0]


def test_a_delivery_is_as_late_as_its_reading_is_after_its_intended_moment() -> None:
    clients, now = Clients(), time.monotonic()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        here = socket.create_connection(listener.getsockname())
        clients.keep(listener.accept()[0])
    with here:
        here.sendall(DELIVERY % int((now - 3.0) * 1e6) + DELIVERY % int((now - 2.0) * 1e6))
        heard = clients.obey(Hear(Schedule(begin=now - 3.0, rate=1.0, count=2)))
    assert isinstance(heard, Heard)
    assert heard.count == 2
    assert heard.p50_ms >= 2_500
    assert heard.p99_ms >= 2_990


def test_a_repeat_that_fails_is_told_and_leaves_the_others_points(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def repeat(plan: run.Plan, number: int, _: Path, take: Callable[[Point], None]) -> list[float]:
        for point in sound().points:
            take(replace(point, repeat=number))
        if number == 2:
            raise run.RunFailed("40 of 400 standing connections were lost")
        return [1.0]

    monkeypatch.setattr(run, "repeat", repeat)
    monkeypatch.setattr(placement_cost, "measure", lambda *_: [])
    out = tmp_path / "connections.json"
    words = ["--sizes", "100,200,400", "--repeats", "3", "--out", str(out)]
    outcome = CliRunner().invoke(command, words)
    assert outcome.exit_code == 1
    assert "Failed: repeat 2: 40 of 400 standing connections were lost" in outcome.output
    results = Results.load(out)
    assert {point.repeat for point in results.of(MEMORY)} == {1, 2, 3}
    assert results.conditions["load_averages"] == [[1.0], [], [1.0]]


def test_a_schedule_says_what_should_have_gone() -> None:
    schedule = Schedule(begin=10.0, rate=100.0, count=50)
    assert [schedule.due(moment) for moment in (9.0, 10.0, 10.011, 99.0)] == [0, 1, 2, 50]
    assert schedule.moment(10) == pytest.approx(10.1)
    assert schedule.end == pytest.approx(10.5)


def test_a_placement_in_a_sparse_fleet_costs_by_what_is_held_and_in_a_dense_one_does_not() -> None:
    balancers = [
        placement_cost.holding(count, 100, quota)
        for quota in (placement_cost.SPARSE_QUOTA, placement_cost.DENSE_QUOTA)
        for count in (500, 8_000)
    ]
    sparse, sparse_large, dense, dense_large = placement_cost.placements_in_turn_us(balancers, 20)
    assert sparse_large > 2 * sparse
    assert dense_large < 2 * dense


def test_the_page_names_every_option_and_its_example_is_understood() -> None:
    assert [option.opts[0] for option in command.params if f"| `{option.opts[0]} " not in PAGE] == []
    example = re.search(r"^glenfold lab scale connections (.+)$", PAGE, re.MULTILINE)
    assert example is not None
    asked = command.make_context("connections", shlex.split(example[1])).params
    assert asked["sizes"] == (100, 200, 400)


def test_numbers_have_to_rise() -> None:
    assert Numbers().convert("1,20,300", None, None) == (1, 20, 300)
    for faulty in ("", "a", "0,1", "5,5", "9,1"):
        with pytest.raises(click.BadParameter):
            Numbers().convert(faulty, None, None)
    assert CliRunner().invoke(command, ["--sizes", "3,2"]).exit_code == 2
