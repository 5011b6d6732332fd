"""Whole fleets of real processes on loopback under clients, judged by the lab's checker.

The scenario of `benchmarks.fleet`, which has twenty instances, runs here with three instances and fewer
clients. No step waits for a fixed time: each begins once an instance or the supervisor reports the state that
the step needs.
"""

from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from benchmarks import fleet as day
from glenfold_lab import spec
from glenfold_lab.stand_ins.daemons import Daemons
from glenfold_lab.stand_ins.fleet import Course, Played, play_fleet

SMALL = spec.Scenario(
    format=1,
    name="small",
    guards_against="nothing",
    length_s=4.0,
    warm_up_s=0.0,
    classes=(spec.RequestClass(name="watch", deadline_ms=1000.0),),
    zones=spec.Zones(names=("one",)),
    servers=spec.Servers(count=2, group_cost=0.0),
    relays=spec.Relays(count=2, sockets=512),
    front=spec.Front(notice_s=0.3, reshuffle=0.0),
    clients=spec.Clients(load=0.5, life_s=6.0, groups=False),
)
TABLES = {"restart": {"deadline_s": 3.7}}


async def both(daemons: Daemons) -> None:
    for relay in daemons.relays:
        daemons.run(relay)
    await daemons.all_answer()


def play(goes: Any, begin: Any = both, world: spec.Scenario = SMALL, **tables: dict[str, Any]) -> Played:
    played = play_fleet(world, 3, begin, goes, tables=TABLES | tables)
    assert played.result.verdicts == (), played.logs["log"]
    assert played.result.answers["up"] > 20
    return played


def test_a_day_of_a_fleet_costs_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(day, "CROWD", 40)
    monkeypatch.setattr(day, "DEADLINE_S", 4.0)
    played, figures = day.measure_day(day.scenario(3, 18.0, load=0.03), seed=1, most_out=1, processes=0)
    assert played.result.verdicts == ()
    for none in (
        "refused_connects_in_roll",
        "reset_before_answer_in_roll",
        "lost_in_roll",
        "refused_connects_else",
    ):
        assert figures[none] == 0
    assert figures["answers"]["up"] > 100
    assert {what: status for what, (status, _) in figures["said"].items()} == {
        "roll": 0,
        "fleet reload in the roll": 1,
        "reload of all in the roll": 0,
        "fleet reload of a faulty file": 2,
        "reload of a faulty file": 2,
        "drain": 0,
        "old process after that": 0,
    }
    assert figures["said"]["old process after that"][1] == "ready"


@pytest.mark.parametrize("step", ["ready", "draining", "finishing", "moving"])
def test_a_relay_that_is_killed_at_a_step_of_its_shutdown_comes_back(step: str) -> None:
    async def goes(course: Course) -> None:
        daemons = course.daemons
        standing = (await daemons.instance(0))["connections"]["standing"]
        if step != "ready":
            daemons.seen.stopping(course.clock.now_us(), 0)
            assert (await daemons.say("drain", "--instance", "1")).status == 0
            await daemons.in_state(0, "finishing" if step == "moving" else step)
        if step == "moving":
            await daemons.when(
                lambda: daemons.instance(0), lambda one: 0 < one["connections"]["standing"] < standing
            )
        killed = daemons.kill(0)
        daemons.run(0)
        await daemons.comes_back(0, killed)
        await daemons.in_state(0, "ready")

    played = play(goes)
    assert {relay for _, relay, _ in played.unreached} <= {0}  # The other relay never refused a connection.


@pytest.mark.parametrize("log_event", ["", "takeover.offered"])
def test_a_new_process_that_dies_before_it_is_ready_leaves_the_old_one_serving(log_event: str) -> None:
    async def goes(course: Course) -> None:
        daemons = course.daemons
        [old] = daemons.processes()[0]
        process = daemons.run(0)
        while len(daemons.processes()[0]) < 2 or log_event not in (daemons.file.parent / "log").read_text():
            assert process.poll() is None
            await trio.lowlevel.checkpoint()
        process.kill()
        process.wait()
        assert (await daemons.in_state(0, "ready")) and daemons.processes()[0] == [old]

    assert play(goes).unreached == []


def test_of_several_processes_of_one_name_one_serves() -> None:
    async def begin(daemons: Daemons) -> None:
        several = [daemons.run(0) for _ in range(4)]
        daemons.run(1)
        await daemons.all_answer()
        with trio.fail_after(30):
            while len([one for one in several if one.poll() is None]) > 1:
                await trio.sleep(0.02)
        assert {one.poll() for one in several} <= {None, 0, 3}

    async def goes(course: Course) -> None:
        assert len(course.daemons.processes()[0]) == 1
        await course.daemons.in_state(0, "ready")

    assert play(goes, begin).unreached == []


def test_a_disk_that_takes_no_snapshot_costs_no_request() -> None:
    """Replaces the folder by a file while the list changes, as root can write to a read-only folder."""
    news = msgspec.structs.replace(
        SMALL,
        faults=(spec.Fault(kind="start_servers", at_s=1.5, count=1),),
        server_list=spec.ServerList(add_s=0.1, period_ms=20.0),
    )

    async def goes(course: Course) -> None:
        daemons = course.daemons
        folder: Path = daemons.folder / "snapshots"
        folder.rename(folder.with_name("aside"))
        folder.touch()
        status = await daemons.when(lambda: daemons.instance(0), lambda one: bool(one["snapshot"]["fault"]))
        assert "not written" in status["snapshot"]["fault"] and status["state"] == "ready"
        folder.unlink()
        folder.with_name("aside").rename(folder)
        await daemons.when(lambda: daemons.instance(0), lambda one: not one["snapshot"]["fault"])

    assert play(goes, world=news, snapshot={"every_s": 0.2}).unreached == []


def test_nothing_is_left_of_a_fleet() -> None:
    played: list[Daemons] = []

    async def begin(daemons: Daemons) -> None:
        played.append(daemons)
        daemons.up()
        await daemons.all_ready()
        daemons.kill_supervisor()  # The relays have no parent process any more.
        assert len(daemons.processes()) == 2
        raise RuntimeError("it broke off")

    with pytest.raises(BaseExceptionGroup, match="Trio nursery"):
        play_fleet(SMALL, 3, begin, both, tables=TABLES)
    assert played[0].processes() == {}
