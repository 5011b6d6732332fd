"""Whole histories: results are reproducible, decisions of relays don't change the arrivals, and faults of
relays and clients have the expected effects."""

import os
import subprocess
import sys
from collections import Counter, defaultdict

import msgspec
import pytest

from glenfold_lab import scenario, spec
from glenfold_lab.model.world import play
from glenfold_lab.observe import End, Recorder
from glenfold_lab.results import RunResult, encode

PLAY = """
import sys
from glenfold_lab import results, scenario
from glenfold_lab.model.world import play
sys.stdout.buffer.write(results.encode(play(scenario.load(sys.argv[1]), 3)))
"""
SMALL = spec.Scenario(
    format=1,
    name="small",
    guards_against="nothing",
    length_s=20,
    classes=(spec.RequestClass(name="watch"),),
    servers=spec.Servers(count=6),
    relays=spec.Relays(count=4, restart_s=2.0),
    clients=spec.Clients(load=0.3, life_s=30.0),
)


def scenario_with(**changes: object) -> spec.Scenario:
    return msgspec.structs.replace(SMALL, **changes)


def play_recorded(of: spec.Scenario, seed: int = 1) -> tuple[RunResult, Recorder]:
    seen = Recorder()
    return play(of, seed, watchers=[seen]), seen


def count_ends(seen: Recorder) -> Counter[str]:
    return Counter(End(values[2]).name for kind, values in seen.records if kind == "ended")


def request_times(seen: Recorder) -> dict[int, list[int]]:
    """Returns the times of the requests of each connection."""
    found: defaultdict[int, list[int]] = defaultdict(list)
    for kind, values in seen.records:
        if kind == "asked":
            found[values[2]].append(values[0])
    return found


def broken_rules(result: RunResult) -> set[str]:
    return {verdict.rule for verdict in result.verdicts}


def make_faults(kind: str, at_s: float = 8.0, **values: object) -> tuple[spec.Fault, ...]:
    return (msgspec.convert({"kind": kind, "at_s": at_s, **values}, spec.Fault),)


def test_the_same_seed_gives_the_same_bytes_in_every_process() -> None:
    def bytes_with(hash_seed: str) -> bytes:
        run = subprocess.run(
            [sys.executable, "-c", PLAY, "relay-crash"],
            capture_output=True,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
            timeout=50,
        )
        return run.stdout

    first = bytes_with("1")
    assert first == bytes_with("77") == encode(play(scenario.load("relay-crash"), 3))
    assert first != encode(play(scenario.load("relay-crash"), 4))


def test_faults_of_relays_do_not_change_arrivals() -> None:
    faults = (*make_faults("relay_crash", part=0.5), *make_faults("reconnect", 4.0, size=0.5, over_s=1.0))
    (calm, calm_seen), (rough, rough_seen) = play_recorded(SMALL), play_recorded(scenario_with(faults=faults))
    firsts = [
        {client: times[0] for client, times in request_times(seen).items()}
        for seen in (calm_seen, rough_seen)
    ]
    common = [client for client, at in firsts[0].items() if client in firsts[1]]
    assert len(common) > 50 and encode(calm) != encode(rough)
    standing = calm.figures["clients"] - len(firsts[0])
    assert all(firsts[0][client] == firsts[1][client] for client in common if client >= standing)


def test_connections_survive_a_crash_in_pass_through_mode() -> None:
    result, seen = play_recorded(scenario_with(faults=make_faults("relay_crash", part=0.5)))
    mid_flow = sum(1 for kind, values in seen.records if kind == "ended" and values[2] == End.RELAY_DIED)
    crashed = [values for kind, values in seen.records if kind == "relay_down"]
    assert len(crashed) == 2 and result.figures["relays_down_s"] == pytest.approx(4.0)
    assert mid_flow > 20 and count_ends(seen)["BROKEN"] == 0 and not broken_rules(result)

    _, seen = play_recorded(
        scenario_with(
            faults=make_faults("relay_crash", part=0.5),
            relays=spec.Relays(count=4, restart_s=2.0, pass_through=False),
        )
    )
    assert count_ends(seen)["RELAY_DIED"] < mid_flow  # No other connections are rerouted when relays change.


def test_a_relay_suspended_during_shutdown_loses_its_connections_when_killed() -> None:
    stopped = make_faults("relay_restart", count=4) + make_faults("relay_stall", 8.1, count=4, len_s=9.0)
    result, seen = play_recorded(
        scenario_with(
            faults=stopped,
            clients=spec.Clients(load=0.3, life_s=4.0),
            relays=spec.Relays(count=4, restart_s=2.0, pass_through=False),
        )
    )
    assert broken_rules(result) == {"answer", "move"} and count_ends(seen)["CUT"] > 20


@pytest.mark.parametrize("relays", [True, False])
def test_clients_of_a_zone_that_is_cut_off_use_the_other_until_it_is_back(relays: bool) -> None:
    lost = make_faults("zone_loss", 5.0, zone="cardiff", len_s=6.0, relays=relays)
    result, seen = play_recorded(scenario_with(faults=lost, clients=spec.Clients(load=0.15, life_s=30.0)))
    start = 1_000_000_000
    while_cut = {
        values[2] for kind, values in seen.records if kind == "taken" and 9e6 < values[0] - start < 11e6
    }
    later = {values[2] for kind, values in seen.records if kind == "taken" and values[0] - start > 14e6}
    assert while_cut == ({1, 3} if relays else {0, 1, 2, 3}) and later == {0, 1, 2, 3}
    assert not broken_rules(result) and result.figures["service"] > 0.5


FULL_RELAYS = spec.Relays(count=4, sockets=32)  # Room for three connections each.


@pytest.mark.parametrize("honour", [0.0, 1.0])
def test_refused_clients_back_off_and_honour_the_advised_wait(honour: float) -> None:
    _, seen = play_recorded(
        scenario_with(
            relays=FULL_RELAYS,
            clients=spec.Clients(
                load=0.3, life_s=300.0, honour=honour, backoff_ms=100.0, backoff_most_ms=1600.0
            ),
        )
    )
    waits = [
        [after - before for before, after in zip(times, times[1:], strict=False)]
        for times in request_times(seen).values()
        if len(times) > 6
    ]
    assert len(waits) > 50
    first, later = ([row[place] for row in waits] for place in (0, 5))
    min_wait_us = 1_500_000 if honour else 50_000
    assert min(first) >= min_wait_us and min(later) >= max(800_000, min_wait_us) and max(later) < 2_500_000
    assert honour or max(first) < 200_000
