"""Distribution of the server list from discovery to each relay, with changes that are late or lost.

Each relay's machine has an agent that holds the list as far as the agent has received it; the relay counts as
notified of whatever its agent holds. The relay reads a watch on the agent as `glenfold.net.discovery` does: a
change that does not apply ends the watch, and the next watch starts with a full list.
"""

from collections.abc import Callable

import numpy as np

from glenfold.destinations import BadList
from glenfold.net.discovery import MAX_WATCH_SILENCE_S, RETRY_DELAY_S
from glenfold_lab.model.draw import value
from glenfold_lab.model.fleet import Fleet, Machine
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.listing.shared_destinations import SharedDestinations
from glenfold_lab.model.listing.versions import Document, Entry, Versions, make_names
from glenfold_lab.model.network import Network
from glenfold_lab.observe import ListedState, Watcher
from glenfold_lab.spec import Range, Scenario
from glenfold_lab.streams import Streams
from linnetspread.interface import ServerList

RETRY_US = int(RETRY_DELAY_S * SECOND_US)
MAX_SILENCE_US = int(MAX_WATCH_SILENCE_S * SECOND_US)
HEARTBEAT_US = 2 * SECOND_US  # An agent detects a missing change after at most this time.
AGENT_ANSWER_US = 1_000  # The agent runs on the relay's own machine, so that no network delay is added.

ListCallback = Callable[[ServerList], None]


class Feed:
    """The state of one relay's agent, and of its relay while that is up.

    `held` is the newest version of the agent. `missing` are the versions that the agent should have by now,
    each with whether the relay counts as notified anyway. `last` is the version that the relay received last.
    `is_watching` is whether the relay has a working watch. `incarnation` counts starts and ends of the relay.
    `free_at` is the earliest time at which anything sent now arrives.
    """

    __slots__ = (
        "relay",
        "on_list",
        "destinations",
        "held",
        "missing",
        "last",
        "is_watching",
        "incarnation",
        "free_at",
        "out_of_order",
        "silent_since",
    )

    def __init__(self, relay: int, version: int) -> None:
        self.relay = relay
        self.on_list: ListCallback | None = None
        self.destinations: SharedDestinations | None = None
        self.held = self.last = version
        self.missing: dict[int, bool] = {}
        self.is_watching = False
        self.incarnation = 0
        self.free_at = 0
        self.out_of_order: list[int] = []  # Changes that arrive after their successor.
        self.silent_since = 0  # 0 while the agent is connected to discovery.


class RelayLists:
    """Implements `wire.Listing`."""

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        kernel: Kernel,
        watcher: Watcher,
        fleet: Fleet,
        network: Network,
    ) -> None:
        spec = scenario.server_list
        self._kernel, self._watcher, self._network = kernel, watcher, network
        self._spec = spec

        def micros(wanted: Range, unit: int, purpose: str) -> int:
            return int(value(wanted, streams.of("list", purpose)) * unit)

        self._notice_us = micros(spec.notice_s, SECOND_US, "notice")
        self._add_us = micros(spec.add_s, SECOND_US, "add")
        self._silent_notice_us = micros(spec.silent_notice_s, SECOND_US, "silent_notice")
        self._spread_us = micros(spec.spread_ms, 1000, "spread")
        self._period_us = max(1000, micros(spec.period_ms, 1000, "period"))
        self._late_us = micros(spec.late_s, SECOND_US, "late")
        self._notify_within_us = int(spec.told_within_s * SECOND_US)
        self._streams = streams
        self._empty = SharedDestinations.empty(make_names(scenario))
        first = [Entry(machine, ListedState.READY, 0) for machine in fleet.machines]
        self._versions = Versions(scenario.zones.names, first)
        self._feeds = [Feed(relay, 1) for relay in range(scenario.relays.count)]
        self._events_of: dict[int, int] = {}  # Number of changes of each server.
        self._noticed_of: dict[int, int] = {}  # Number of these that discovery has noticed.
        self._gathered: dict[int, Entry] = {}
        self._silent_until = 0
        network.on_change.append(self._zone_changed)

    # ---- discovery ----

    def server_changed(self, machine: Machine, state: ListedState, started: int, silent: bool) -> None:
        """Registers a change of a server, which discovery notices after a delay."""
        change_number = self._events_of[machine.number] = self._events_of.get(machine.number, 0) + 1
        delay = self._silent_notice_us if silent else self._notice_us
        delay = self._add_us if state is ListedState.READY else delay
        self._kernel.after(delay, self._notice, Entry(machine, state, started), change_number)

    def _notice(self, entry: Entry, change_number: int) -> None:
        number = entry.machine.number
        if change_number < self._noticed_of.get(number, 0):
            return  # Discovery has noticed a later change of this server.
        self._noticed_of[number] = change_number
        if not self._gathered:
            self._kernel.at((self._kernel.now // self._period_us + 1) * self._period_us, self._publish)
        self._gathered[number] = entry

    def _publish(self) -> None:
        gathered, self._gathered = self._gathered, {}
        version = self._versions.add(list(gathered.values()))
        if version is None:
            return
        count = len(self._feeds)
        spread = self._draw("spreads", count) * self._spread_us
        lost = (self._draw("lost", count) < self._spec.lost).tolist()
        late = (self._draw("late", count) < self._spec.late).tolist()
        for feed, delay, is_lost, is_late in zip(self._feeds, spread.tolist(), lost, late, strict=True):
            feed.missing[version] = False
            if is_lost:
                self._kernel.after(int(delay) + HEARTBEAT_US, self._find_missing, feed, version)
            else:
                self._send(feed, version, int(delay) + (self._late_us if is_late else 0))
        self._kernel.after(self._notify_within_us, self._count_as_notified, version)

    def _draw(self, purpose: str, count: int) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
        return self._streams.of("list", purpose).uniform(size=count)

    def _send(self, feed: Feed, version: int, delay: int) -> None:
        """Sends a version to an agent. All travel in one stream, so a late one delays those behind it."""
        feed.free_at = max(feed.free_at, self._kernel.now + delay)
        self._kernel.at(feed.free_at, self._receive_change, feed, version)

    # ---- an agent ----

    def _is_connected(self, feed: Feed) -> bool:
        return self._kernel.now >= self._silent_until and not self._network.relay_cut(feed.relay)

    def _receive_change(self, feed: Feed, version: int) -> None:
        """Handles the arrival of a change at the agent."""
        if version not in feed.missing or not self._is_connected(feed):
            return
        # After a gap, the agent asks for the full list.
        if min(feed.missing) < version and not feed.out_of_order:
            return self._advance(feed, version, True)
        if not feed.out_of_order and self._happens("out_of_order", self._spec.out_of_order):
            feed.out_of_order.append(version)
            return self._kernel.after(HEARTBEAT_US, self._receive_out_of_order, feed)
        self._advance(feed, version, False)
        if self._happens("doubled", self._spec.doubled):
            self._write(feed, version, False)
        self._receive_out_of_order(feed)

    def _happens(self, purpose: str, share: float) -> bool:
        return share > 0 and self._streams.of("list", purpose).uniform() < share

    def _receive_out_of_order(self, feed: Feed) -> None:
        out_of_order, feed.out_of_order = feed.out_of_order, []
        for version in out_of_order:
            if version in feed.missing and self._is_connected(feed):
                self._advance(feed, version, False)

    def _find_missing(self, feed: Feed, version: int) -> None:
        """Lets the agent catch up if no later change has revealed the lost one."""
        if version in feed.missing and self._is_connected(feed):
            self._advance(feed, self._versions.last, True)

    def _advance(self, feed: Feed, version: int, is_full: bool) -> None:
        """Gives the agent this version, or with `is_full` all versions up to it."""
        feed.held = max(feed.held, version)
        versions = [v for v in feed.missing if v <= version] if is_full else [version]
        for one in versions:
            self._report_change(feed, one)
            del feed.missing[one]
        self._write(feed, version, is_full)

    # ---- a relay ----

    def relay_up(self, relay: int, on_list: ListCallback) -> None:
        feed = self._feeds[relay]
        feed.on_list, feed.destinations = on_list, self._empty
        feed.incarnation += 1
        cached, feed.is_watching = feed.last, True
        self._read(feed, self._versions.full_list(cached), True)
        if not self._is_connected(feed):  # The agent doesn't have these either until it is connected again.
            feed.missing |= {version: False for version in range(cached + 1, feed.held + 1)}
        self._report_start(feed, cached)
        if feed.held != cached:  # Otherwise the watch would start with the cached list.
            feed.is_watching = False
            self._kernel.after(AGENT_ANSWER_US, self._watch_again, feed, feed.incarnation)

    def relay_down(self, relay: int) -> None:
        feed = self._feeds[relay]
        feed.on_list, feed.destinations, feed.is_watching = None, None, False
        feed.incarnation += 1

    def _write(self, feed: Feed, version: int, is_full: bool) -> None:
        if feed.is_watching:
            versions = self._versions
            self._read(feed, versions.full_list(version) if is_full else versions.change(version))

    def _read(self, feed: Feed, document: Document, cached: bool = False) -> None:
        if feed.on_list is None or feed.destinations is None:
            return
        try:
            feed.destinations = feed.destinations.read(document, cached)
        except BadList:
            feed.is_watching = False
            return self._kernel.after(RETRY_US, self._watch_again, feed, feed.incarnation)
        feed.last = document["seq"]
        feed.on_list(feed.destinations.server_list)

    def _watch_again(self, feed: Feed, incarnation: int) -> None:
        """Starts a new watch, with a full list.

        If the agent is disconnected, the watch starts when it is connected again.
        """
        if incarnation == feed.incarnation and not feed.is_watching and self._is_connected(feed):
            feed.is_watching = True
            self._write(feed, feed.held, True)

    # ---- what a relay counts as notified of ----

    def _report_entry(self, feed: Feed, entry: Entry) -> None:
        self._watcher.told(self._kernel.now, feed.relay, entry.machine.number, entry.state, entry.started)

    def _report_change(self, feed: Feed, version: int) -> None:
        if feed.on_list is None:
            return
        for entry in self._versions.changed(version):
            latest = self._versions.changed_last(entry.machine.number)
            if latest == version or latest > feed.held or latest in feed.missing:
                self._report_entry(feed, entry)  # Otherwise the relay has been notified of a newer state.

    def _report_start(self, feed: Feed, cached: int) -> None:
        """Reports a starting relay's cached list, then the changes that its agent has or should have."""
        now, report, relay = self._kernel.now, self._watcher.told, feed.relay
        # The loop runs thousands of times at each of thousands of relays.
        for entry in self._versions.entries(cached):
            report(now, relay, entry.machine.number, entry.state, entry.started)
        for version in range(1, self._versions.last + 1):
            due = feed.missing.get(version, version <= feed.held)
            if due and (version > cached or version in feed.missing):
                self._report_change(feed, version)

    def _count_as_notified(self, version: int) -> None:
        for feed in self._feeds:
            if version in feed.missing:
                feed.missing[version] = True
                self._report_change(feed, version)

    # ---- silence ----

    def silence(self, us: int) -> None:
        """Stops discovery and all agents from sending for `us` microseconds."""
        self._silent_until = max(self._silent_until, self._kernel.now + us)
        self._mark_silent()
        self._kernel.at(self._silent_until, self._resume_feeds)

    def _zone_changed(self, _zone: int) -> None:
        self._mark_silent()
        self._resume_feeds()

    def _mark_silent(self) -> None:
        for feed in self._feeds:
            if not self._is_connected(feed):
                feed.silent_since = feed.silent_since or self._kernel.now

    def _resume_feeds(self) -> None:
        for feed in self._feeds:
            if feed.silent_since and self._is_connected(feed):
                self._catch_up(feed, self._kernel.now - feed.silent_since)
                feed.silent_since = 0

    def _catch_up(self, feed: Feed, silent_us: int) -> None:
        """Brings an agent up to date after a silence.

        The relay has abandoned a watch that was silent for too long and starts a new one; after a shorter
        silence the watch goes on.
        """
        feed.held = self._versions.last
        for version in sorted(feed.missing):
            self._report_change(feed, version)
            if feed.is_watching and silent_us < MAX_SILENCE_US:
                self._write(feed, version, False)
        feed.missing.clear()
        if feed.on_list is not None and (silent_us >= MAX_SILENCE_US or not feed.is_watching):
            feed.is_watching = False
            again = int(self._streams.of("list", "again").uniform() * RETRY_US)
            self._kernel.after(again, self._watch_again, feed, feed.incarnation)
