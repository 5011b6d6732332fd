"""The service figures of the model's machines, and faults of machines."""

from typing import Any

import pytest
from modelled_machines import MS, FixedMachines, S

from glenfold_lab.model import fleet
from glenfold_lab.model.servers.server import Stage
from glenfold_lab.observe import End
from glenfold_lab.results import Happened
from glenfold_lab.spec import Fault, RequestClass, Scenario, ServerKind, Servers
from glenfold_lab.streams import Streams


def test_service_falls_as_a_server_fills_and_is_near_zero_when_overloaded() -> None:
    shares = []
    for load in (0.1, 0.6, 0.85, 0.95, 1.1):
        world = FixedMachines(kind={"message_ms": 10.0, "buffer_s": 9.0}, length_s=10.0)
        world.standing(load=load * 1e6)
        world.machinery.service.wanted(0, 0, 1)
        world.run(10 * S)
        shares.append(world.machinery.service.figures()["service"])
    assert shares == sorted(shares, reverse=True)
    assert shares[0] > 0.999 and 0.7 < shares[2] < 0.9 and 0.2 < shares[3] < 0.4 and shares[4] < 0.1


def test_unplaced_demand_lowers_the_service_of_its_window_and_class() -> None:
    classes = (RequestClass(name="a", worth=3.0), RequestClass(name="b", worth=1.0))
    world = FixedMachines(classes=classes, length_s=40.0)
    world.machinery.service.wanted(0, 0, 9)
    world.run(1 * S)  # The warm-up does not count.
    world.standing(2)
    world.machinery.service.wanted(0, 0, 2 - 9)
    world.run(19 * S)
    world.machinery.service.wanted(1, 0, 2)
    world.run(20 * S)
    figures = world.machinery.service.figures()
    assert figures["service a"] == pytest.approx(1.0)
    assert figures["service b"] == figures["worst_class"] == 0.0
    assert figures["worst_window"] == pytest.approx(0.75, abs=0.01)  # From there on, 6 of 8 are served.
    assert figures["service"] == pytest.approx((39 * 6) / (39 * 6 + 20 * 2), abs=0.01)


# ---- faults ----


def run_fault(fault: Fault, until: float = 2.0) -> tuple[FixedMachines, Happened]:
    world = FixedMachines(count=10, length_s=60.0, relays=4, zones=("here", "there"), faults=(fault,))
    for index in range(10):
        world.standing(4, index)
    world.run(until * S)
    assert world.machinery.happened[0].what == fault.kind and world.machinery.happened[0].at_us == S
    return world, world.machinery.happened[0]


def test_a_neighbour_takes_cores_periodically_until_it_ends() -> None:
    world, happened = run_fault(Fault(kind="neighbour", at_s=1, len_s=5, part=0.3, size=0.5, every_s=2))
    taken = []
    for _ in range(6):
        taken.append([server.machine.number for server in world.servers.all if server.neighbour == 0.5])
        world.run(1 * S)
    there = list(happened.servers)
    assert len(there) == 3 and taken == [there, [], [], there, [], []]


def test_a_shrinking_fleet_asks_clients_to_leave_evenly_and_ends() -> None:
    world, happened = run_fault(Fault(kind="shrink", at_s=1, size=2.5, over_s=4), 3.0)
    assert world.servers_at(Stage.DRAINS) == set(happened.servers) and len(happened.servers) == 6
    assert len(world.ends) == 12  # Of 4 connections at each of 6 servers.
    world.run(3 * S)
    assert world.servers_at(Stage.DOWN) == set(happened.servers)
    assert set(world.ends.values()) == {End.MOVED} and len(world.ends) == 24


@pytest.mark.parametrize(
    ("relays", "reached"),
    [
        # Machines of a zone that is cut off as a whole still reach each other.
        (True, [True, False, False, True]),
        # If only its servers are cut off, no relay reaches them.
        (False, [True, True, False, False]),
    ],
)
def test_a_lost_zone_cuts_off_its_servers_and_optionally_its_relays(
    relays: bool, reached: list[bool]
) -> None:
    world, happened = run_fault(Fault(kind="zone_loss", at_s=1, len_s=3, zone="there", relays=relays))
    zones = [server.machine.zone for server in world.servers.all]
    assert len(happened.servers) == sum(zones) and happened.relays == ((1, 3) if relays else ())
    assert world.machinery.network.relay_cut(1) is relays and not world.machinery.network.relay_cut(0)
    assert len(world.silent) == 4 * sum(zones)  # All connections come from relay 0.
    calls = [world.call(zones.index(zone), relay=relay) for zone in (0, 1) for relay in (0, 1)]
    world.run(3 * S)
    assert [call.request in world.replies for call in calls] == reached
    assert world.machinery.network.passes(0, 1)


def test_drained_servers_are_replaced_by_listed_cold_ones() -> None:
    listed: list[int] = []
    world, happened = run_fault(Fault(kind="drain", at_s=1, count=2, over_s=3, replace=True))
    world.machinery.listing.relay_up(0, lambda servers: listed.extend(one.server for one in servers.servers))
    old, new = (
        [server.machine for server in world.servers.all if (server.started > 0) is started]
        for started in (False, True)
    )
    assert sorted((m.kind_index, m.zone) for m in new) == sorted(
        (m.kind_index, m.zone) for m in old if m.number in happened.servers
    )
    assert not {m.number for m in new} & set(listed)
    world.run(3 * S)
    assert {m.number for m in new} <= set(listed)


def test_restarts_come_one_by_one_and_new_servers_too() -> None:
    world, happened = run_fault(Fault(kind="restart_servers", at_s=1, count=4, len_s=0.5, over_s=4), 10.0)
    starts = sorted(world.server(n).started - world.kernel.start for n in range(10))[6:]
    assert starts == [int(at * S) for at in (1.5, 2.5, 3.5, 4.5)] and happened.until_us == 5500 * MS
    world, _ = run_fault(Fault(kind="start_servers", at_s=1, count=2, over_s=4), 10.0)
    assert [server.started - world.kernel.start for server in world.servers.all[10:]] == [1 * S, 3 * S]


@pytest.mark.parametrize("length", [0, 3])
@pytest.mark.parametrize("kind", ["server_crash", "server_vanish", "server_jam"])
def test_a_server_fault_with_a_length_ends(kind: Any, length: float) -> None:
    world, happened = run_fault(Fault(kind=kind, at_s=1, part=0.2, len_s=length))
    world.run(20 * S)
    affected = {
        server.machine.number
        for server in world.servers.all
        if server.stage is Stage.DOWN or server.silent or server.is_stalled
    }
    assert len(happened.servers) == 2 and affected == (set() if length else set(happened.servers))


def test_a_flapping_server_drains_periodically_and_keeps_its_connections() -> None:
    world, happened = run_fault(Fault(kind="flap", at_s=1, len_s=5, count=3, every_s=2), 1.5)
    draining = []
    for _ in range(7):
        draining.append(len(world.servers_at(Stage.DRAINS)))
        world.run(1 * S)
    assert draining == [3, 0, 3, 0, 3, 0, 0] and not world.ends


def test_an_additional_fault_does_not_change_earlier_faults() -> None:
    faults = tuple(Fault(kind="server_crash", at_s=(1, 5), part=(0.1, 0.5)) for _ in range(2))
    happened = []
    for some in (faults, (*faults, Fault(kind="server_jam", at_s=(0, 5), part=0.2))):
        world = FixedMachines(count=10, faults=some)
        world.run(10 * S)
        happened.append([one for one in world.machinery.happened if one.what == "server_crash"])
    assert happened[0] == happened[1] and len(happened[0]) == 2


def test_machine_numbers_are_unique_and_a_new_kind_does_not_change_speeds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fleet, "server_number", lambda host: int(host[-2:]) // 2)
    speeds = []
    for more in ((), (ServerKind(name="other", share=1e-9),)):
        servers = Servers(count=10, kinds=(ServerKind(), *more))
        scenario = Scenario(
            format=1, name="t", guards_against="-", classes=(RequestClass(name="c"),), servers=servers
        )
        machines = fleet.Fleet(scenario, Streams(5)).machines
        assert len({machine.number for machine in machines}) == 10
        speeds.append([machine.speed for machine in machines])
    assert speeds[0] == speeds[1]
