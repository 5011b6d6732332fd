"""Tests of replicas behind replicas in one process, on a mock clock: what children receive, and when."""

import math
import socket
from typing import Any

import pytest
import trio
from relaying import entry
from running_replica import ChildConnection
from stand_in_parent import StandInParent, run_script

from glenfold.config.platform import Parent
from glenfold.config.replica import Limits, Replica, Shutdown, Terms
from glenfold.config.terms import ListParent
from glenfold.daemon.replica import ReplicaProcess
from glenfold.replica.earlier_changes import earlier_changes
from glenfold.rules.replication import Position
from glenfold.rules.source_lease import LEASE_S


class Layer:
    """A replica that follows the parents on these ports."""

    def __init__(self, name: str, *parents: int, port: int = 0, **limits: Any) -> None:
        self.listener = socket.create_server(("127.0.0.1", port), backlog=512)
        self.port = self.listener.getsockname()[1]
        terms = Terms(
            format=1,
            replica=Replica(name=name, listen=f"127.0.0.1:{self.port}"),
            parents=tuple(ListParent(address=f"127.0.0.1:{port}") for port in parents),
            limits=Limits(**limits),
            shutdown=Shutdown(spread_s=1.0),
        )
        self.process = ReplicaProcess(trio.Path("none"), terms)  # type: ignore[arg-type]
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        self.listener.setblocking(False)
        with self.scope:
            await self.process.run(self.listener)

    async def watch(self, revision: int) -> ChildConnection:
        """Opens a watch once the replica has that revision."""
        while True:
            child = ChildConnection(await trio.open_tcp_stream("127.0.0.1", self.port))
            if (await child.ask(f"/v1/servers?watch=1&from={revision}")).status_code == 200:
                return child
            await child.stream.aclose()
            await trio.sleep(0.1)


async def lines_until(child: ChildConnection, until_s: float) -> list[dict[str, Any] | None]:
    """Returns the lines that arrive up to `until_s`."""
    lines = []
    with trio.move_on_at(until_s):
        while True:
            lines.append(await child.next_line(math.inf))
    return lines


async def start_layers(
    nursery: trio.Nursery, layers: int
) -> tuple[StandInParent, list[Layer], ChildConnection]:
    source = StandInParent(revision=41)
    await source.listen(nursery)
    started_layers: list[Layer] = []
    for number in range(layers):
        started_layers.append(
            Layer(f"r-{number}", started_layers[-1].port if started_layers else source.port)
        )
        nursery.start_soon(started_layers[-1].run)
    child = await started_layers[-1].watch(41)
    assert await child.next_line() is None
    return source, started_layers, child


@pytest.mark.parametrize("layers", [1, 3])
def test_renewals_pass_through_all_layers_at_the_rate_of_the_source(layers):
    async def script(nursery: trio.Nursery) -> None:
        _, _, child = await start_layers(nursery, layers)
        times = [trio.current_time()]
        while times[-1] < times[0] + 20:
            assert await child.next_line() is None
            times.append(trio.current_time())
        assert max(b - a for a, b in zip(times, times[1:], strict=False)) <= 2.5
        assert len(times) <= 13

    run_script(script)


@pytest.mark.parametrize("layers", [1, 3])
def test_without_the_source_all_layers_keep_serving_and_send_no_renewals(layers):
    """No layer invents a renewal, and responses carry an age that grows."""

    async def script(nursery: trio.Nursery) -> None:
        source, started_layers, child = await start_layers(nursery, layers)
        await source.kill()
        killed_at_s = trio.current_time()
        assert await lines_until(child, killed_at_s + 60.0) in ([], [None])
        second_child = ChildConnection(await trio.open_tcp_stream("127.0.0.1", started_layers[-1].port))
        fields = dict((await second_child.ask("/v1/servers")).headers)
        assert 58 <= int(fields[b"age"]) <= 64
        assert (await second_child.read_list())["hosts"] == [entry("s-1")]
        assert all(layer.process.counters["stale"] == 1 for layer in started_layers)

    run_script(script)


def test_replicas_that_follow_each_other_do_not_renew_each_other_without_the_source():
    async def script(nursery: trio.Nursery) -> None:
        source = StandInParent(revision=41)
        await source.listen(nursery)
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port_of_second = sock.getsockname()[1]
        first = Layer("first", source.port, port_of_second)
        second = Layer("second", source.port, first.port, port=port_of_second)
        nursery.start_soon(first.run)
        nursery.start_soon(second.run)
        child = await second.watch(41)
        await source.kill()
        killed_at_s = trio.current_time()
        lines = await lines_until(child, killed_at_s + 30.0)
        assert lines.count(None) <= 2
        assert await lines_until(child, killed_at_s + 60.0) == []
        assert first.process.counters["stale"] == second.process.counters["stale"] == 1
        second_child = ChildConnection(await trio.open_tcp_stream("127.0.0.1", second.port))
        fields = dict((await second_child.ask("/v1/servers")).headers)
        assert 58 <= int(fields[b"age"]) <= 66
        assert fields[b"via"].count(b"second") == 1 and fields[b"via"].count(b"first") <= 1

    run_script(script)


def test_after_an_outage_children_receive_missed_changes_and_renewals():
    async def script(nursery: trio.Nursery) -> None:
        source, _, child = await start_layers(nursery, 2)
        await source.kill()
        await lines_until(child, trio.current_time() + 3 * LEASE_S)
        await source.change(entry("s-2"))
        await source.listen(nursery)
        lines: list[dict[str, Any] | None] = []
        while {"seq": 42, "whole": False, "hosts": [entry("s-2")]} not in lines or lines[-1] is not None:
            lines.append(await child.next_line(math.inf))

    run_script(script)


def test_earlier_changes_are_exactly_those_that_lead_to_a_position():
    async def script(nursery: trio.Nursery) -> None:
        source = StandInParent(revision=41)
        await source.listen(nursery)
        layer = Layer("one", source.port)
        nursery.start_soon(layer.run)
        await layer.watch(41)
        for _ in range(4):
            await source.change(entry(f"s-{source.revision}"))
        await trio.sleep(0.5)
        for port in (source.port, layer.port):  # a source and a replica
            parent = Parent(("127.0.0.1", port))
            found = await earlier_changes(parent, 42, Position(0, 45))
            assert [change.position.revision for change in found] == [43, 44, 45]
            assert found[0].entries == (entry("s-42"),) and not found[0].whole
            # The answer starts with a whole list.
            assert await earlier_changes(parent, 40, Position(0, 45)) == ()
            # The parent does not have this revision yet.
            assert await earlier_changes(parent, 42, Position(0, 46)) == ()
            assert await earlier_changes(parent, 46, Position(0, 47)) == ()
        assert await earlier_changes(Parent(("127.0.0.1", layer.port)), 42, Position(1, 45)) == ()
        await source.kill()
        assert await earlier_changes(Parent(("127.0.0.1", source.port)), 42, Position(0, 45)) == ()

    run_script(script)


async def record_revisions(child: ChildConnection, received: list[tuple[float, int]]) -> None:
    while True:
        if (line := await child.next_line(math.inf)) is not None:
            assert not line["whole"]
            received.append((trio.current_time(), line["seq"]))


async def make_changes(source: StandInParent, count: int, changed_at_s: dict[int, float]) -> None:
    for _ in range(count):
        changed_at_s[source.revision + 1] = trio.current_time()
        await source.change(entry(f"s-{source.revision % 7}", share=float(source.revision)))
        await trio.sleep(0.3)


@pytest.mark.parametrize("failure", ["killed", "ended in order", "both restarted"])
def test_no_revision_is_lost_or_repeated_when_replicas_in_between_go_away(failure):
    """Each change still reaches the children within 4 s."""

    async def script(nursery: trio.Nursery) -> None:
        source = StandInParent(revision=41)
        await source.listen(nursery)
        upper = [Layer("upper-1", source.port), Layer("upper-2", source.port)]
        lower = Layer("lower", *(layer.port for layer in upper))
        for layer in (*upper, lower):
            nursery.start_soon(layer.run)
        child = await lower.watch(41)
        received: list[tuple[float, int]] = []
        changed_at_s: dict[int, float] = {}
        nursery.start_soon(record_revisions, child, received)
        await trio.sleep(3.0)
        nursery.start_soon(make_changes, source, 40, changed_at_s)
        await trio.sleep(3.0)
        for layer in upper:
            if failure != "both restarted" and not layer.process.children:
                continue  # the lower replica follows the other one
            if failure == "ended in order":
                layer.process.stop()
            else:
                layer.scope.cancel()
        if failure == "both restarted":
            await trio.sleep(0.5)
            for layer in upper:
                nursery.start_soon(Layer(f"again-{layer.port}", source.port, port=layer.port).run)
        await trio.sleep(16.0)
        assert [revision for _, revision in received] == list(range(42, 82))
        assert max(at_s - changed_at_s[revision] for at_s, revision in received) <= 4.0

    run_script(script)


async def served_head(port: int) -> dict[str, str]:
    """Returns the header fields with which the replica serves its list, once it has one."""
    while True:
        child = ChildConnection(await trio.open_tcp_stream("127.0.0.1", port))
        response = await child.ask("/v1/servers")
        await child.stream.aclose()
        if response.status_code == 200:
            return {name.decode(): value.decode() for name, value in response.headers}
        await trio.sleep(0.01)


def test_a_first_list_is_served_with_the_chain_and_the_age_of_its_parent() -> None:
    """Guards against a list that is served before the chain of the parent that it came from."""

    async def script(nursery: trio.Nursery) -> None:
        parent = StandInParent("top", "north-1", incarnation=0, revision=41, age_s=2.0)
        await parent.listen(nursery)
        parent.renewing = False
        parent.hang_at_watch = True  # the follower has the list, and waits for its watch from here on
        layer = Layer("r-0", parent.port)
        nursery.start_soon(layer.run)
        head = await served_head(layer.port)
        assert parent.requests[-1][1].startswith("/v1/servers?watch=1")
        assert head["via"] == "1.1 top, 1.1 north-1, 1.1 r-0"
        assert 2 <= int(head["age"]) <= 4

    run_script(script)


def test_a_list_of_another_parent_is_served_with_that_parents_chain() -> None:
    """Guards against a new list with the chain of the parent that was followed before."""

    async def script(nursery: trio.Nursery) -> None:
        first, second = (StandInParent(name, incarnation=0, revision=41) for name in ("north-1", "south-1"))
        await first.listen(nursery)
        await second.listen(nursery)
        layer = Layer("r-0", first.port)
        nursery.start_soon(layer.run)
        await layer.watch(41)
        second.incarnation, second.revision, second.hang_at_watch = 1, 3, True
        layer.process._follower.move_to((second.as_parent,))
        while (head := await served_head(layer.port))["glenfold-incarnation"] == "0":
            assert head["via"] == "1.1 north-1, 1.1 r-0"
            await trio.sleep(0.01)
        assert head["via"] == "1.1 south-1, 1.1 r-0"

    run_script(script)


def free_ports(count: int) -> list[int]:
    """Returns ports at which nothing listens."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def test_a_ring_of_replicas_that_start_at_once_ends_with_none_that_follows_itself() -> None:
    """Guards against replicas that keep each other's list alive without the source."""

    async def script(nursery: trio.Nursery) -> None:
        source = StandInParent(revision=41)
        await source.listen(nursery)
        ports = free_ports(3)
        parents = [(ports[2], source.port), (ports[0],), (ports[1],)]
        ring = [Layer(f"r-{n}", *parents[n], port=ports[n]) for n in range(3)]
        for layer in ring:
            nursery.start_soon(layer.run)
        watches = [await layer.watch(41) for layer in ring]
        await trio.sleep(10.0)
        chains = {}
        for number, layer in enumerate(ring):
            chains[number] = (await served_head(layer.port))["via"].replace("1.1 ", "").split(", ")
        assert all(len(set(chain)) == len(chain) for chain in chains.values()), chains
        assert chains[0] == ["r-0"] and chains[1] == ["r-0", "r-1"] and chains[2] == ["r-0", "r-1", "r-2"]
        await source.change(entry("s-2"))
        for child in watches:
            received = [line for line in await lines_until(child, trio.current_time() + 1.0) if line]
            assert [line["seq"] for line in received] == [42]

    run_script(script)
