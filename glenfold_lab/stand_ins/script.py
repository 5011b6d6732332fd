"""The script of one history: all events of its stand-ins, drawn in advance.

The script comes from a run of the model's machines and server list without any client. The same scenario and
seed therefore affect the same servers at the same times, with the same list updates on the same paths, in
virtual time and on sockets.

Times are microseconds from the start of the history. Each process of a run draws the script by itself.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from glenfold_lab.model.draw import value
from glenfold_lab.model.fleet import Fleet, Machine
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.listing.feeds import Feed, RelayLists
from glenfold_lab.model.listing.versions import Entry
from glenfold_lab.model.machine_faults import DEFAULT_PART, DrawnFault, MachineFaults
from glenfold_lab.model.network import Network
from glenfold_lab.model.servers.calls import PushServers
from glenfold_lab.model.servers.lifecycle import ServerLifecycle
from glenfold_lab.model.servers.server import Server
from glenfold_lab.observe import ListedState, Watcher
from glenfold_lab.results import Happened
from glenfold_lab.spec import Scenario
from glenfold_lab.streams import Streams


@dataclass(frozen=True, slots=True)
class Action:
    """An action of `kind` on the server or relay with index `target` at time `at`.

    The meaning of `value` depends on `kind`.
    """

    at: int
    target: int
    kind: str
    value: float = 0.0
    relays: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The agent of a relay receives this list version at time `at`, or writes it once more."""

    at: int
    relay: int
    version: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Interval:
    """A time interval from `at` to `until` that concerns `relays`."""

    at: int
    until: int
    relays: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Drop:
    """A loss of connections at `at`: the fraction `part` of the clients, which reconnect within `over`."""

    at: int
    part: float
    over: int


@dataclass(slots=True)
class Script:
    """All events of the stand-ins of one history; every list is ordered by time.

    `list_deadlines` has the times at which the updates for each relay count as received at the latest.
    `silent_agents` has the intervals in which agents send nothing, `unreachable_relays` those in which no
    client reaches a relay.
    """

    scenario: Scenario
    epoch: int  # Start on the clock of `Entry.started`, in which 0 means long ago.
    fleet: Fleet
    network: Network
    initial_servers: tuple[Machine, ...]
    servers: list[Action] = field(default_factory=list)
    relays: list[Action] = field(default_factory=list)
    list_updates: list[ListUpdate] = field(default_factory=list)
    list_deadlines: list[ListUpdate] = field(default_factory=list)
    silent_agents: list[Interval] = field(default_factory=list)
    unreachable_relays: list[Interval] = field(default_factory=list)
    drops: list[Drop] = field(default_factory=list)
    happened: list[Happened] = field(default_factory=list)

    @property
    def length(self) -> int:
        return round(self.scenario.length_s * SECOND_US)

    def held_list(self, relay: int, at: int) -> tuple[int, tuple[Entry, ...]]:
        """Returns version and list that the relay's agent holds at time `at`."""
        held = {machine.number: (1, Entry(machine, ListedState.READY, 0)) for machine in self.initial_servers}
        for update in self.list_updates:
            if update.relay == relay and update.at <= at:
                held |= {
                    entry.machine.number: (update.version, entry)
                    for entry in update.entries
                    if update.version >= held.get(entry.machine.number, (0,))[0]
                }
        version = max(version for version, _ in held.values())
        return version, tuple(entry for _, entry in held.values() if entry.state is not ListedState.GONE)


def draw(scenario: Scenario, seed: int) -> Script:
    """Draws all events that do not depend on relays or clients."""
    streams, kernel = Streams(seed), Kernel()
    fleet = Fleet(scenario, streams)
    network = Network(scenario.zones, streams)
    script = Script(scenario, kernel.start, fleet, network, tuple(fleet.machines))
    _Machines(script, streams, kernel).run(kernel.start + script.length)
    _RelayFaults(script, streams).draw()
    for happened in script.happened:
        _add_silence(script, happened)
    script.relays.sort(key=lambda action: action.at)
    script.happened.sort(key=lambda happened: happened.at_us)
    return script


def _add_silence(script: Script, happened: Happened) -> None:
    until = script.length if happened.until_us is None else happened.until_us
    if happened.what == "list_silent":
        script.silent_agents.append(
            Interval(happened.at_us, until, tuple(range(script.scenario.relays.count)))
        )
    if happened.what == "zone_loss" and happened.relays:
        interval = Interval(happened.at_us, until, happened.relays)
        script.silent_agents.append(interval)
        script.unreachable_relays.append(interval)


class _Machines:
    """Runs the model's push servers and their list without any relay."""

    def __init__(self, script: Script, streams: Streams, kernel: Kernel) -> None:
        scenario, self._kernel = script.scenario, kernel
        servers = PushServers(scenario, streams, kernel, Watcher(), script.fleet, script.network)
        lists = _RecordingLists(script, streams, kernel)
        lives = _RecordingLives(script, servers, lists.server_changed)
        lives.start_all()
        MachineFaults(
            scenario, streams, kernel, servers, lives, lists, script.network, script.happened.append
        ).start()

    def run(self, until: int) -> None:
        self._kernel.run(until)


class _RecordingLives(ServerLifecycle):
    """Records each action on a server in the script."""

    def __init__(
        self, script: Script, servers: PushServers, news: Callable[[Machine, ListedState, int, bool], None]
    ) -> None:
        super().__init__(servers, script.scenario.rules, news, script.happened.append)
        self._script = script

    def _add_action(
        self, server: Server, kind: str, value: float = 0.0, relays: tuple[int, ...] = ()
    ) -> None:
        at = self._kernel.now - self._kernel.start
        self._script.servers.append(Action(at, server.machine.index, kind, value, relays))

    def _start(self, server: Server) -> None:
        if not server.running:
            self._add_action(server, "start")
        super()._start(server)

    def end(self, server: Server) -> None:
        if server.running:
            self._add_action(server, "end")
        super().end(server)

    def drain(self, server: Server, over_us: int) -> None:
        super().drain(server, over_us)
        self._add_action(server, "send_away", over_us)

    def start_drain(self, server: Server) -> bool:
        was_turned_away = super().start_drain(server)
        if was_turned_away:
            self._add_action(server, "drain")
        return was_turned_away

    def cancel_drain(self, server: Server, life: int) -> None:
        super().cancel_drain(server, life)
        self._add_action(server, "undrain")

    def _report_lost(self, server: Server) -> None:
        super()._report_lost(server)
        self._add_action(server, "cut", True, self._cut_from(server))

    def _report_back(self, server: Server) -> None:
        super()._report_back(server)
        self._add_action(server, "come_back")

    def cut(self, zone: int, relays: bool) -> list[Server]:
        """Cuts off a zone; relays cut off with it reach no server of another zone."""
        affected = super().cut(zone, relays)
        for server in self._servers.all if relays else ():
            if server.machine.zone != zone and server.running:
                self._add_action(server, "cut", False, self._cut_from(server))
        return affected

    def restore(self, zone: int) -> None:
        super().restore(zone)
        for server in self._servers.all:
            if server.machine.zone != zone and server.running:
                self._add_action(server, "come_back")

    def _cut_from(self, server: Server) -> tuple[int, ...]:
        network, zone = self._servers.network, server.machine.zone
        return tuple(
            relay
            for relay in range(self._script.scenario.relays.count)
            if server.silent or not network.passes(network.zone_of(relay), zone)
        )

    def take_cores(self, server: Server, share: float) -> None:
        super().take_cores(server, share)
        self._add_action(server, "take_away", share)

    def set_stalled(self, server: Server, jammed: bool) -> None:
        super().set_stalled(server, jammed)
        self._add_action(server, "jam", jammed)


class _RecordingLists(RelayLists):
    """Records the updates that each agent receives or writes twice, and the deadlines of updates."""

    def __init__(self, script: Script, streams: Streams, kernel: Kernel) -> None:
        super().__init__(script.scenario, streams, kernel, Watcher(), script.fleet, script.network)
        self._script = script
        self._counting_deadline = False
        self._written_versions: set[tuple[int, int]] = set()

    def _update_of_version(self, feed: Feed, version: int) -> ListUpdate:
        at = self._kernel.now - self._kernel.start
        return ListUpdate(at, feed.relay, version, tuple(self._versions.changed(version)))

    def _count_as_notified(self, version: int) -> None:
        self._counting_deadline = True
        super()._count_as_notified(version)
        self._counting_deadline = False

    def _report_change(self, feed: Feed, version: int) -> None:
        update = self._update_of_version(feed, version)
        if not self._counting_deadline:
            self._script.list_updates.append(update)
        elif newest := tuple(entry for entry in update.entries if self._is_newest(feed, entry, version)):
            self._script.list_deadlines.append(replace(update, entries=newest))

    def _is_newest(self, feed: Feed, entry: Entry, version: int) -> bool:
        """Returns whether this agent holds no later version that changes `entry`."""
        latest = self._versions.changed_last(entry.machine.number)
        return latest == version or latest > feed.held or latest in feed.missing

    def _write(self, feed: Feed, version: int, whole: bool) -> None:
        """Records a change that is written a second time; the first write is already recorded."""
        if whole:
            return
        if (feed.relay, version) in self._written_versions:
            self._script.list_updates.append(self._update_of_version(feed, version))
        self._written_versions.add((feed.relay, version))


class _RelayFaults:
    """Draws faults of relays as the model does, with the same random generators."""

    def __init__(self, script: Script, streams: Streams) -> None:
        self._script = script
        self._streams = streams
        self._count = script.scenario.relays.count
        self._restarts = streams.of("relays", "waits")

    def draw(self) -> None:
        kinds = {
            "relay_crash": self._crash,
            "relay_restart": self._restart,
            "relay_stall": self._stall,
            "reconnect": self._reconnect,
        }
        for index, fault in enumerate(self._script.scenario.faults):
            if fault.kind in kinds:
                due = DrawnFault(fault, index, self._streams)
                until, affected = kinds[fault.kind](due)
                self._script.happened.append(Happened(fault.kind, due.at, until, relays=affected))

    def _chosen(self, due: DrawnFault) -> tuple[int, ...]:
        return tuple(due.choose(range(self._count), due.count_of(self._count)))

    def _add(self, at: int, relay: int, kind: str, value: float = 0.0) -> None:
        self._script.relays.append(Action(at, relay, kind, value))

    def _down_us(self) -> float:
        return value(self._script.scenario.relays.restart_s, self._restarts) * SECOND_US

    def _crash(self, due: DrawnFault) -> tuple[int | None, tuple[int, ...]]:
        affected = self._chosen(due)
        for relay in affected:
            self._add(due.at, relay, "crash", self._down_us())
        return None, affected

    def _restart(self, due: DrawnFault) -> tuple[int | None, tuple[int, ...]]:
        affected = self._chosen(due)
        for turn, relay in enumerate(affected):
            self._add(due.at + due.over * turn // len(affected), relay, "restart", self._down_us())
        return due.at + due.over or None, affected

    def _stall(self, due: DrawnFault) -> tuple[int | None, tuple[int, ...]]:
        affected = self._chosen(due)
        for relay in affected:
            self._add(due.at, relay, "stall", due.length)
        return due.at + due.length, affected

    def _reconnect(self, due: DrawnFault) -> tuple[int | None, tuple[int, ...]]:
        self._script.drops.append(Drop(due.at, due.drawn("size", DEFAULT_PART), due.over))
        return due.at + due.over, ()
