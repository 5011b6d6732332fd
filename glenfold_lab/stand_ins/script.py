"""What befalls the stand-ins of one history, known ahead: the model's machines and their list, run through
with nobody connected. So the same scenario and seed strike the same servers at the same moments, with the
same news on the same ways, in virtual time and on sockets.

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
class Deed:
    """At `at`, `what` is done to the server or relay `who` (its place); `value` is as `what` needs it."""

    at: int
    who: int
    what: str
    value: float = 0.0
    relays: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class News:
    """At `at` the agent of a relay holds this version, or writes it once more."""

    at: int
    relay: int
    version: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Span:
    """From `at` to `until`, for these relays."""

    at: int
    until: int
    relays: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Drop:
    """At `at` this part of the standing clients loses its connection and comes again within `over`."""

    at: int
    part: float
    over: int


@dataclass(slots=True)
class Script:
    """news: in the order of their moments, as all lists here. due: when what each relay had to hear counts as
    told at the latest. quiet: agents that say nothing. cut_off: relays that no client reaches."""

    scenario: Scenario
    epoch: int  # the start on the clock of `Entry.started`, which tells 0 for long ago
    fleet: Fleet
    network: Network
    first: tuple[Machine, ...]
    servers: list[Deed] = field(default_factory=list)
    relays: list[Deed] = field(default_factory=list)
    news: list[News] = field(default_factory=list)
    due: list[News] = field(default_factory=list)
    quiet: list[Span] = field(default_factory=list)
    cut_off: list[Span] = field(default_factory=list)
    drops: list[Drop] = field(default_factory=list)
    happened: list[Happened] = field(default_factory=list)

    @property
    def length(self) -> int:
        return round(self.scenario.length_s * SECOND_US)

    def known(self, relay: int, at: int) -> tuple[int, tuple[Entry, ...]]:
        """Version and list as this relay's agent holds them at that moment."""
        held = {machine.number: (1, Entry(machine, ListedState.READY, 0)) for machine in self.first}
        for one in self.news:
            if one.relay == relay and one.at <= at:
                held |= {
                    entry.machine.number: (one.version, entry)
                    for entry in one.entries
                    if one.version >= held.get(entry.machine.number, (0,))[0]
                }
        version = max(version for version, _ in held.values())
        return version, tuple(entry for _, entry in held.values() if entry.state is not ListedState.GONE)


def draw(scenario: Scenario, seed: int) -> Script:
    """Everything that is not the doing of relays or clients."""
    streams, kernel = Streams(seed), Kernel()
    fleet = Fleet(scenario, streams)
    network = Network(scenario.zones, streams)
    script = Script(scenario, kernel.start, fleet, network, tuple(fleet.machines))
    _Machines(script, streams, kernel).run(kernel.start + script.length)
    _RelayFaults(script, streams).draw()
    for happened in script.happened:
        _note_silence(script, happened)
    script.relays.sort(key=lambda deed: deed.at)
    script.happened.sort(key=lambda happened: happened.at_us)
    return script


def _note_silence(script: Script, happened: Happened) -> None:
    until = script.length if happened.until_us is None else happened.until_us
    if happened.what == "list_silent":
        script.quiet.append(Span(happened.at_us, until, tuple(range(script.scenario.relays.count))))
    if happened.what == "zone_loss" and happened.relays:
        span = Span(happened.at_us, until, happened.relays)
        script.quiet.append(span)
        script.cut_off.append(span)


class _Machines:
    """The model's push servers and their list, without any relay."""

    def __init__(self, script: Script, streams: Streams, kernel: Kernel) -> None:
        scenario, self._kernel = script.scenario, kernel
        servers = PushServers(scenario, streams, kernel, Watcher(), script.fleet, script.network)
        lists = _Lists(script, streams, kernel)
        lives = _Lives(script, servers, lists.server_changed)
        lives.start_all()
        MachineFaults(
            scenario, streams, kernel, servers, lives, lists, script.network, script.happened.append
        ).start()

    def run(self, until: int) -> None:
        self._kernel.run(until)


class _Lives(ServerLifecycle):
    """Notes what is done to which server."""

    def __init__(
        self, script: Script, servers: PushServers, news: Callable[[Machine, ListedState, int, bool], None]
    ) -> None:
        super().__init__(servers, script.scenario.rules, news, script.happened.append)
        self._script = script

    def _deed(self, server: Server, what: str, value: float = 0.0, relays: tuple[int, ...] = ()) -> None:
        at = self._kernel.now - self._kernel.start
        self._script.servers.append(Deed(at, server.machine.index, what, value, relays))

    def _start(self, server: Server) -> None:
        if not server.running:
            self._deed(server, "start")
        super()._start(server)

    def end(self, server: Server) -> None:
        if server.running:
            self._deed(server, "end")
        super().end(server)

    def drain(self, server: Server, over_us: int) -> None:
        super().drain(server, over_us)
        self._deed(server, "send_away", over_us)

    def start_drain(self, server: Server) -> bool:
        turned = super().start_drain(server)
        if turned:
            self._deed(server, "drain")
        return turned

    def cancel_drain(self, server: Server, life: int) -> None:
        super().cancel_drain(server, life)
        self._deed(server, "undrain")

    def _report_lost(self, server: Server) -> None:
        super()._report_lost(server)
        self._deed(server, "cut", True, self._cut_from(server))

    def _report_back(self, server: Server) -> None:
        super()._report_back(server)
        self._deed(server, "come_back")

    def cut(self, zone: int, relays: bool) -> list[Server]:
        """Relays that are cut off with their zone reach none of the other zones' servers."""
        struck = super().cut(zone, relays)
        for server in self._servers.all if relays else ():
            if server.machine.zone != zone and server.running:
                self._deed(server, "cut", False, self._cut_from(server))
        return struck

    def restore(self, zone: int) -> None:
        super().restore(zone)
        for server in self._servers.all:
            if server.machine.zone != zone and server.running:
                self._deed(server, "come_back")

    def _cut_from(self, server: Server) -> tuple[int, ...]:
        network, zone = self._servers.network, server.machine.zone
        return tuple(
            relay
            for relay in range(self._script.scenario.relays.count)
            if server.silent or not network.passes(network.zone_of(relay), zone)
        )

    def take_cores(self, server: Server, share: float) -> None:
        super().take_cores(server, share)
        self._deed(server, "take_away", share)

    def set_stalled(self, server: Server, jammed: bool) -> None:
        super().set_stalled(server, jammed)
        self._deed(server, "jam", jammed)


class _Lists(RelayLists):
    """Notes what each agent comes to hold, what it writes twice, and what counts as told by then."""

    def __init__(self, script: Script, streams: Streams, kernel: Kernel) -> None:
        super().__init__(script.scenario, streams, kernel, Watcher(), script.fleet, script.network)
        self._script = script
        self._due = False
        self._wrote: set[tuple[int, int]] = set()

    def _news_of_version(self, feed: Feed, version: int) -> News:
        at = self._kernel.now - self._kernel.start
        return News(at, feed.relay, version, tuple(self._versions.changed(version)))

    def _count_as_notified(self, version: int) -> None:
        self._due = True
        super()._count_as_notified(version)
        self._due = False

    def _report_change(self, feed: Feed, version: int) -> None:
        news = self._news_of_version(feed, version)
        if not self._due:
            self._script.news.append(news)
        elif newest := tuple(entry for entry in news.entries if self._is_newest(feed, entry, version)):
            self._script.due.append(replace(news, entries=newest))

    def _is_newest(self, feed: Feed, entry: Entry, version: int) -> bool:
        """Of what this agent holds."""
        latest = self._versions.changed_last(entry.machine.number)
        return latest == version or latest > feed.held or latest in feed.missing

    def _write(self, feed: Feed, version: int, whole: bool) -> None:
        """Once when it comes; the second time is a change that is doubled."""
        if whole:
            return
        if (feed.relay, version) in self._wrote:
            self._script.news.append(self._news_of_version(feed, version))
        self._wrote.add((feed.relay, version))


class _RelayFaults:
    """Drawn as the model draws them, and by the same generators."""

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
        for place, fault in enumerate(self._script.scenario.faults):
            if fault.kind in kinds:
                due = DrawnFault(fault, place, self._streams)
                until, struck = kinds[fault.kind](due)
                self._script.happened.append(Happened(fault.kind, due.at, until, relays=struck))

    def _chosen(self, due: DrawnFault) -> tuple[int, ...]:
        return tuple(due.choose(range(self._count), due.count_of(self._count)))

    def _add(self, at: int, relay: int, what: str, value: float = 0.0) -> None:
        self._script.relays.append(Deed(at, relay, what, value))

    def _down_us(self) -> float:
        return value(self._script.scenario.relays.restart_s, self._restarts) * SECOND_US

    def _crash(self, due: DrawnFault) -> tuple[int | None, tuple[int, ...]]:
        struck = self._chosen(due)
        for relay in struck:
            self._add(due.at, relay, "crash", self._down_us())
        return None, struck

    def _restart(self, due: DrawnFault) -> tuple[int | None, tuple[int, ...]]:
        struck = self._chosen(due)
        for turn, relay in enumerate(struck):
            self._add(due.at + due.over * turn // len(struck), relay, "restart", self._down_us())
        return due.at + due.over or None, struck

    def _stall(self, due: DrawnFault) -> tuple[int | None, tuple[int, ...]]:
        struck = self._chosen(due)
        for relay in struck:
            self._add(due.at, relay, "stall", due.length)
        return due.at + due.length, struck

    def _reconnect(self, due: DrawnFault) -> tuple[int | None, tuple[int, ...]]:
        self._script.drops.append(Drop(due.at, due.drawn("size", DEFAULT_PART), due.over))
        return due.at + due.over, ()
