"""Hollow relays and the judgement on what they got: a sound source, faulty ones, and sockets."""

import random
from collections.abc import Iterator, Sequence
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path

import pytest
import tomlkit
from click.testing import CliRunner

from glenfold.config import Address
from glenfold.net.discovery import ASKING_TIMEOUT_S, MAX_WATCH_SILENCE_S, RETRY_DELAY_S
from glenfold_lab.observe import ListedState
from glenfold_lab.scale import control_command
from glenfold_lab.scale import control_plays as plays
from glenfold_lab.scale.control_judge import Judge, Judgement, Outage
from glenfold_lab.scale.control_links import Links
from glenfold_lab.scale.control_plays import PlayResult, RelayWaits, Stage, perform
from glenfold_lab.scale.control_processes import ControlProcesses, replica_file
from glenfold_lab.scale.control_replicas import broken
from glenfold_lab.scale.control_source import Ledger, Source, listed_server
from glenfold_lab.scale.control_topology import (
    SOURCE,
    Link,
    Topology,
    Watchers,
    flat,
    free_addresses,
    two_layers,
)
from glenfold_lab.scale.hollow_fleet import SWEEP_S, Collected, FleetPlan, HollowFleet
from glenfold_lab.scale.hollow_http import AnswerReader, BadAnswer, ChunkTable
from glenfold_lab.scale.hollow_list import Lists
from glenfold_lab.scale.hollow_watcher import Deliveries, Fault, HollowWatcher, Phase
from glenfold_lab.scale.measurements import Point, Results
from glenfold_lab.stand_ins.agent import Change, ListState
from glenfold_lab.stand_ins.sockets import format_address

SERVERS = 28
PARENTS = (("127.0.0.1", 1001), ("127.0.0.1", 1002))
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(body: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(body), body)


class World:
    """A source with its ledger, and one watcher that reads what the test lets it have; a second a step."""

    def __init__(self) -> None:
        self.entries = [listed_server(n, SERVERS) for n in range(SERVERS)]
        self.holding = ListState(1, self.entries)
        self.ledger = Ledger(1, 0, self.entries)
        self.deliveries = Deliveries()
        self.watcher = HollowWatcher(
            PARENTS, Lists(), self.deliveries, ChunkTable(), spread_s=1.0, chance=random.Random(1)
        )
        self.now = 0.0

    def connect(self, first: bytes = b"") -> bytes:
        """Up to the watch: its request. `first`: its first line, as the source has it if none is given."""
        self.watcher.connecting(self.now)
        request = self.watcher.connected()
        if b"watch" not in request:
            whole = self.holding.whole()
            request = self.watcher.received(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(whole), whole), self.now
            )
        line = first or self.holding.first_watch_line(self.watcher.revision, None)
        self.watcher.received(WATCH_HEAD + chunk(line), self.now)
        return request

    def change(self, number: int, state: ListedState) -> bytes:
        """The source has it; the line that a watch would carry."""
        self.now += 1.0
        entry = replace(self.entries[number], state=state)
        change = Change(self.holding.seq + 1, (entry,))
        self.holding.apply(change)
        self.ledger.add(change.seq, round(self.now * 1e6), change.entries)
        return change.line()

    def hear(self, line: bytes, late_s: float = 0.25) -> None:
        self.watcher.received(chunk(line), self.now + late_s)

    def collected(self) -> list[Collected]:
        return [Collected(self.deliveries.all, [self.watcher.closed_log()], ["all"], 0.0, 0.0)]

    def judged(self, outage: Outage | None = None) -> Judgement:
        judge = Judge(self.ledger.history, 1, round(self.now * 1e6) + 2, {"all": outage} if outage else None)
        return judge.judge(self.collected())


@pytest.fixture
def world() -> World:
    return World()


# ---- the judge ----


def test_a_sound_source_is_judged_sound(world: World) -> None:
    assert world.connect() == b"GET /v1/servers?watch=1&from=1 HTTP/1.1\r\nHost: 127.0.0.1:1001\r\n\r\n"
    for n in range(4):
        world.hear(world.change(n, ListedState.DRAINING))
    judged = world.judged()
    assert judged.sound
    assert (judged.revisions, judged.in_force.count, judged.drains_in_force.count) == (4, 4, 4)
    assert judged.in_force.max_s == pytest.approx(0.25)
    assert (judged.drains_heard, judged.whole_lists, judged.connects) == (4, 1, 1)


def test_a_skipped_revision_is_lost(world: World) -> None:
    world.connect()
    world.change(0, ListedState.DRAINING)  # never sent
    world.hear(world.change(1, ListedState.DRAINING))
    judged = world.judged()
    assert (judged.lost, judged.doubled, judged.disagreeing) == (1, 0, 1)
    assert judged.in_force.count == 1


def test_a_revision_that_never_came_is_lost(world: World) -> None:
    world.connect()
    world.hear(world.change(0, ListedState.DRAINING))
    world.change(1, ListedState.DRAINING)
    judged = world.judged()
    assert (judged.lost, judged.doubled, judged.in_force.count) == (1, 0, 1)


def test_a_repeated_revision_is_doubled(world: World) -> None:
    world.connect()
    line = world.change(0, ListedState.DRAINING)
    world.hear(line)
    world.hear(line)
    assert (world.judged().lost, world.judged().doubled) == (0, 1)


def test_a_revision_that_changes_nothing_need_tell_nothing(world: World) -> None:
    world.connect()
    world.hear(world.change(0, ListedState.DRAINING))
    world.change(0, ListedState.DRAINING)
    world.hear(Change(3, ()).line())
    world.hear(world.change(0, ListedState.DRAINING))
    assert world.judged().sound and world.judged().in_force.count == 3


def test_a_revision_that_comes_again_after_a_resume_is_doubled(world: World) -> None:
    world.connect()
    line = world.change(0, ListedState.DRAINING)
    world.hear(line)
    world.watcher.failed(Fault("closed"), world.now)
    world.connect(first=line)
    assert (world.judged().lost, world.judged().doubled) == (0, 1)


def test_an_entry_that_is_told_again_with_a_newer_one_is_doubled(world: World) -> None:
    world.connect()
    world.hear(world.change(0, ListedState.DRAINING))
    world.change(1, ListedState.DRAINING)
    merged = world.holding.first_watch_line(1, None)  # the watcher knows revision 2
    world.hear(merged)
    assert (world.judged().lost, world.judged().doubled) == (0, 1)


def test_a_merged_line_after_a_resume_is_neither(world: World) -> None:
    world.connect()
    world.watcher.failed(Fault("closed"), world.now)
    for n in range(3):
        world.change(n, ListedState.DRAINING)
    world.change(0, ListedState.GONE)
    assert b"from=1 " in world.connect()
    judged = world.judged()
    assert judged.sound
    assert (judged.in_force.count, judged.in_force.max_s) == (4, pytest.approx(3.0))


def test_a_wrong_entry_is_lost_and_another_list_disagrees(world: World) -> None:
    world.connect()
    world.change(0, ListedState.DRAINING)
    wrong = replace(world.entries[0], state=ListedState.DRAINING, share=0.5)
    world.hear(Change(2, (wrong,)).line())
    assert (world.judged().lost, world.judged().disagreeing) == (1, 1)


def test_a_revision_that_the_source_never_had_is_unknown(world: World) -> None:
    world.connect()
    world.hear(Change(7, (world.entries[0],)).line())
    assert world.judged().unknown == 1 and not world.judged().sound


def test_an_older_change_has_no_place(world: World) -> None:
    world.connect()
    old = world.change(0, ListedState.DRAINING)
    world.hear(old)
    world.hear(world.change(0, ListedState.READY))
    world.hear(old)
    judged = world.judged()
    assert (judged.doubled, judged.disagreeing) == (1, 0)


def test_what_could_not_be_reached_counts_from_then_on(world: World) -> None:
    world.connect()
    world.hear(world.change(0, ListedState.DRAINING), late_s=5.0)
    assert world.judged().in_force.max_s == pytest.approx(5.0)
    assert world.judged(Outage(0, 5_500_000)).in_force.max_s == pytest.approx(0.5)


# ---- the watcher ----


def test_a_silent_parent_is_left_for_the_next_and_an_empty_line_is_a_word(world: World) -> None:
    world.connect()
    world.watcher.received(chunk(b"\n"), 2.0)
    assert world.watcher.due_at == pytest.approx(2.0 + MAX_WATCH_SILENCE_S)
    world.watcher.failed(Fault("silent"), 4.5)
    assert world.watcher.phase is Phase.WAITING
    assert 4.5 + RETRY_DELAY_S / 2 <= world.watcher.due_at <= 4.5 + RETRY_DELAY_S + 1.0
    world.now = 5.0
    assert world.connect() == b"GET /v1/servers?watch=1&from=1 HTTP/1.1\r\nHost: 127.0.0.1:1002\r\n\r\n"


def test_half_a_line_is_no_word_and_does_not_outlive_its_connection(world: World) -> None:
    world.connect()
    line = world.change(0, ListedState.DRAINING)
    whole = chunk(line)
    world.watcher.received(whole[:40], world.now)
    assert world.watcher.due_at == MAX_WATCH_SILENCE_S
    world.watcher.failed(Fault("ECONNRESET"), world.now)
    world.connect()
    assert world.judged().sound and world.judged().connects == 2


def refuse(watcher: HollowWatcher, now: float, answer: bytes) -> None:
    watcher.connecting(now)
    watcher.connected()
    with pytest.raises(Fault) as caught:
        watcher.received(b"HTTP/1.1 " + answer + b"\r\nContent-Length: 0\r\n\r\n", now)
    watcher.failed(caught.value, now)


def test_a_refusal_is_obeyed_at_the_parent_that_refused(world: World) -> None:
    watcher = world.watcher
    refuse(watcher, 0.0, b"503 Busy\r\nRetry-After: 7")
    assert watcher.parent == PARENTS[1] and watcher.due_at < 2.0
    refuse(watcher, 1.0, b"503 Busy\r\nRetry-After: 30")
    assert watcher.parent == PARENTS[0] and 7.0 <= watcher.due_at <= 10.5
    assert watcher.log.refused == 2


def test_after_a_revision_is_refused_the_whole_list_is_asked_for(world: World) -> None:
    world.connect()
    world.watcher.failed(Fault("closed"), 0.0)
    refuse(world.watcher, 1.0, b"410 Gone")
    assert world.connect().startswith(b"GET /v1/servers?watch=1")
    assert world.judged().whole_lists == 2


def test_after_what_is_no_list_the_whole_list_is_asked_for(world: World) -> None:
    world.connect()
    with pytest.raises(Fault, match="bad line"):
        world.hear(b'{"seq":2,"whole":false}\n')
    world.watcher.failed(Fault("bad line"), world.now)
    world.watcher.connecting(world.now)
    assert world.watcher.phase is Phase.CONNECTING and world.watcher.due_at == ASKING_TIMEOUT_S
    assert world.watcher.connected().startswith(b"GET /v1/servers HTTP")


def test_answers_are_read_however_they_come_in_pieces() -> None:
    line = b'{"seq":1,"whole":false,"hosts":[]}\n'
    data = WATCH_HEAD + chunk(line) + chunk(b"\n") + chunk(line) + b"0\r\n\r\n"
    for size in range(1, len(data)):
        reader = AnswerReader(ChunkTable())
        parts = [data[at : at + size] for at in range(0, len(data), size)]
        assert b"".join(map(reader.feed, parts)) == line + b"\n" + line and reader.ended


def test_known_chunks_are_read_alike() -> None:
    chunks = ChunkTable()
    for _ in range(2):
        reader = AnswerReader(chunks)
        reader.feed(WATCH_HEAD)
        assert [reader.feed(chunk(b"one\n")) for _ in range(3)] == [b"one\n"] * 3


@pytest.mark.parametrize("data", [b"HTTP\r\n\r\n", WATCH_HEAD + b"zz\r\n", b"x" * 20_000])
def test_what_is_no_answer_is_refused(data: bytes) -> None:
    with pytest.raises(BadAnswer):
        AnswerReader(ChunkTable()).feed(data)


# ---- the topology ----


def test_two_layers_have_a_way_for_every_watcher() -> None:
    topology = two_layers(3400, regions=4, zones=14)
    addresses = topology.addresses(("127.0.0.1", 9))
    assert sum(one.count for one in topology.watchers) == 3400
    assert len(topology.layer(1)) == 4 and len(topology.layer(2)) == 14
    assert len(set(addresses.values())) == 1 + 18 + 8
    assert all(one.parents == (f"{SOURCE}@{one.name}",) for one in topology.layer(1))
    assert all(len(one.parents) == 2 and one.parents[0] == one.region for one in topology.layer(2))
    assert all(len(set(one.parents)) == len(one.parents) >= 3 for one in topology.watchers)


# ---- on sockets ----

WATCHERS = 60
AFTER_S = 0.5
ROOT = Path(control_command.__file__).parents[2]


@pytest.fixture(scope="module")
def stage() -> Iterator[Stage]:
    with Source(SERVERS) as source:
        plan = FleetPlan(flat(WATCHERS).groups(source.address), spread_s=0.2, most_opening=2, seed=1)
        with HollowFleet(plan, 2) as fleet:
            stage = Stage(source, fleet, after_s=AFTER_S)
            stage.begin()
            yield stage


def test_watchers_on_sockets_hear_all_of_a_sound_source(stage: Stage) -> None:
    result = perform("steady", stage, plays.steady(10, 0.02))
    judged = result.judgement
    assert judged.sound, judged
    assert (judged.watchers, judged.revisions, judged.in_force.count) == (60, 10, 600)
    assert judged.whole_lists == judged.connects == 0
    assert result.usage[SOURCE].memory_mb > 0


def test_a_burst_costs_a_watcher_its_part_of_the_whole_list(stage: Stage) -> None:
    burst = perform("burst", stage, plays.burst(3, apart=False)).judgement
    whole = perform("return", stage, plays.return_at_once(0.0, forget=True)).judgement
    assert burst.sound and whole.sound
    assert whole.whole_lists == whole.connects == WATCHERS
    assert burst.drains_heard == WATCHERS * SERVERS // 14
    # The whole list, two changes of one server and two heads, against two servers twice.
    assert 0.5 < burst.bytes_read / whole.bytes_read * 14 / 2 < 2


def test_watchers_that_know_a_list_resume_together_after_a_reset(stage: Stage) -> None:
    judged = perform("reset", stage, plays.reset_connections()).judgement
    assert judged.sound, judged
    assert judged.whole_lists == 0 and judged.connects == WATCHERS
    assert judged.in_force.max_s < WATCHERS / stage.fleet.plan.most_opening * SWEEP_S


def test_watchers_resume_after_silence_without_a_whole_list(stage: Stage) -> None:
    judged = perform("silent", stage, plays.silent_source(3.0)).judgement
    assert judged.sound, judged
    assert judged.faults == {"silent while watching": WATCHERS}
    assert judged.whole_lists == 0 and judged.connects == WATCHERS


def test_a_region_that_is_cut_off_joins_again_without_loss() -> None:
    with Source(SERVERS) as source:
        topology = cut_off_watchers(source.address)
        plan = FleetPlan(topology.groups(source.address), spread_s=0.2, most_opening=32, seed=1)
        with Links(topology.link_plans(source.address)) as links, HollowFleet(plan, 1) as fleet:
            stage = Stage(source, fleet, links=links, after_s=AFTER_S)
            stage.begin()
            judged = perform("cut", stage, plays.cut("far", 3.0, changes=3)).judgement
    assert judged.sound, judged
    assert judged.whole_lists == 0 and judged.in_force.count == 3 * 20
    assert judged.faults["silent while watching"] >= 10 and judged.connects >= 10


def cut_off_watchers(source: Address) -> Topology:
    """Half of the watchers are beyond a link."""
    link = Link("source@far", free_addresses(1)[0], SOURCE, "far")
    near, far = Watchers(10, (SOURCE,), "near"), Watchers(10, (link.name,), "far")
    return Topology((), (near, far), (link,))


# ---- control processes and the command ----


def test_a_replica_gets_a_file_of_its_place_and_its_parents() -> None:
    topology = two_layers(28, regions=2, zones=4)
    addresses = topology.addresses(("127.0.0.1", 9))
    process = topology.layer(2)[3]
    document = tomlkit.parse(replica_file(process, addresses, {})).unwrap()
    assert document["replica"] == {
        "name": "zone-3",
        "listen": format_address(process.address),
        "zone": "zone-3",
        "region": "region-1",
    }
    expected = [addresses["region-1"], addresses["region-0@region-1"]]
    assert document["parents"] == [{"address": format_address(address)} for address in expected]


@pytest.mark.parametrize(
    ("words", "fault"),
    [
        ((), "--watchers or --servers says what is measured"),
        (("--watchers", "5", "--play", "cut"), "--play and --program go with --replicas"),
        (("--servers", "13"), "13 is not in the range"),
    ],
)
def test_words_at_fault_are_told(words: Sequence[str], fault: str) -> None:
    result = CliRunner().invoke(control_command.command, words)
    assert result.exit_code == 2 and fault in result.output


def test_a_size_that_is_measured_again_replaces_what_stood_there(tmp_path: Path) -> None:
    out = tmp_path / "control.json"

    def add(size: int, repeat: int, value: float) -> None:
        points = [Point("control.agent.memory", "MB", "watchers", size, value, repeat)]
        control_command.add(out, points, False, control_command.ROOT)

    add(340, 1, 1.0)
    add(1000, 1, 2.0)
    add(340, 2, 3.0)
    add(340, 1, 4.0)
    results = Results.load(out)
    assert [point.value for point in results.of("control.agent.memory")] == [4.0, 3.0, 2.0]
    assert results.command == "glenfold lab scale control --watchers 340 --watchers 1000 --repeats 2"


def test_a_play_that_exceeds_a_bound_says_which(world: World) -> None:
    world.connect()
    world.hear(world.change(0, ListedState.DRAINING), late_s=5.0)
    world.change(1, ListedState.DRAINING)
    result = PlayResult("steady", 1.0, world.judged(), {}, RelayWaits(2, [4.5]), 0.0)
    assert broken(result) == [
        "1 lost",
        "in force after 5.00 s",
        "1 drains not in force at real relays",
        "in force at a real relay after 4.50 s",
    ]


def test_watchers_of_a_replica_that_is_killed_lose_nothing(tmp_path: Path) -> None:
    topology = two_layers(16, regions=1, zones=2)
    with ExitStack() as stack:
        source = stack.enter_context(Source(SERVERS))
        stack.enter_context(Links(topology.link_plans(source.address)))
        control = stack.enter_context(ControlProcesses(topology, source.address, tmp_path, ROOT))
        plan = FleetPlan(topology.groups(source.address), spread_s=0.2, most_opening=32, seed=1)
        fleet = stack.enter_context(HollowFleet(plan, 1))
        stage = Stage(source, fleet, control, after_s=AFTER_S)
        stage.begin()
        result = perform("killed", stage, plays.killed("zone-1", again_s=0.5))
    judged = result.judgement
    assert judged.sound, judged
    assert (judged.revisions, judged.in_force.count) == (4, 4 * 16)
    assert judged.connects >= 8 and judged.whole_lists == 0
    assert {"source", "region-0", "zone-0"} == set(result.usage)


# ---- slopes ----

CHANGES = 60


def cpu_of_changes(servers: int, watchers: int) -> float:
    """Seconds that the agent uses for `CHANGES` changes and a little more."""
    with Source(servers) as source:
        plan = FleetPlan(flat(watchers).groups(source.address), spread_s=0.2, most_opening=32, seed=1)
        with HollowFleet(plan, 1) as fleet:
            stage = Stage(source, fleet, after_s=0.1)
            stage.begin()
            result = perform("fast", stage, plays.steady(CHANGES, 0.01))
    assert result.judgement.sound, result.judgement
    return result.usage[SOURCE].cpu_s


def test_a_change_costs_no_more_under_a_longer_list_and_in_proportion_to_the_watchers() -> None:
    few, many, long = cpu_of_changes(28, 10), cpu_of_changes(28, 40), cpu_of_changes(2800, 40)
    assert many < 4 * 2 * few
    assert long < 2 * many
