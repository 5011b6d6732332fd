"""What must hold between the values of an operators' file, and between them and this machine."""

import json
import os
import re
import resource
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from glenfold.config import locations
from glenfold.config.platform import Address, names_of, read_address
from glenfold.config.settings import as_platform
from glenfold.config.tables import Reading
from glenfold.config.terms import RequestClass, Tenant, Terms
from glenfold.destinations import BadList, DestinationSet
from glenfold.located import Key, nearest

FILE_NAME = re.compile(r"[A-Za-z0-9][\w.-]*", re.ASCII)
WORD = re.compile(r"[!-+\--~]+")  # what a client can say in its first line: no blank, no comma
AFTER_DEADLINE_S = 0.7  # that an end takes beyond the longest deadline
MB = 1 << 20
RLIM_INFINITY = resource.RLIM_INFINITY

Found = Iterator[tuple[Key | str, str]]  # a key that holds no numbers as one text, with dots


class Checks:
    """Each check looks only at keys that are sound so far, so that no fault is told as another."""

    def __init__(self, terms: Terms, reading: Reading, base: Path) -> None:
        self.terms, self.reading, self.base = terms, reading, base

    def run(self) -> None:
        checks: list[Callable[[], Found]] = [
            self.names,
            self.listener_keys,
            self.addresses,
            self.one_address_each,
            self.discovery,
            self.parents,
            self.limits,
            self.words,
            self.classes,
            self.zone,
            self.rules,
            self.known,
            self.folders,
            self.control,
            self.snapshot,
            self.restart,
            self.fleet,
            self.fleet_needs,
        ]
        for check in checks:
            for key, reason in check():
                self.reading.fault(tuple(key.split(".")) if isinstance(key, str) else key, reason)

    def sound(self, *keys: str) -> bool:
        return self.reading.sound(*(tuple(key.split(".")) for key in keys))

    def given(self, *key: str) -> bool:
        """Whether the file says it."""
        return key in self.reading.located.lines

    @property
    def each(self) -> Sequence[int | None]:
        return locations.numbers(self.terms) if self.sound("fleet.instances", "fleet.addresses") else ()

    # ---- names and addresses ----

    def names(self) -> Found:
        name = self.terms.instance.name
        if not FILE_NAME.fullmatch(name):
            yield (
                "instance.name",
                (
                    f"{name!r} is to name files as well: letters, digits, '.', '_' and "
                    "'-', the first a letter or digit"
                ),
            )

    def listener_keys(self) -> Found:
        fleet, shared = self.terms.fleet, self.given("listeners", "addresses")
        if fleet is None or fleet.addresses is None:
            if not shared:
                yield "listeners.addresses", "is missing; it must be a list of addresses, HOST:PORT"
            return
        if shared:
            yield "fleet.addresses", "stands beside listeners.addresses; give one of the two"
        if self.given("fleet", "port_step"):
            yield "fleet.port_step", "counts from listeners.addresses; it has no place here"
        if self.sound("fleet.instances") and len(fleet.addresses) != fleet.instances:
            yield (
                "fleet.addresses",
                (
                    f"has {len(fleet.addresses)} entries for {fleet.instances} "
                    "instances; give one list of addresses for each"
                ),
            )

    def _listeners(self) -> Iterator[tuple[int | None, Key, str, int]]:
        """Those of which nothing is known to be amiss: never the same key again once it is."""
        for number in self.each if self.sound("fleet.port_step") else ():
            for key, text, step in locations.listener_texts(self.terms, number):
                if self.reading.sound(key):
                    yield number, key, text, step

    def addresses(self) -> Found:
        for _, key, text, step in self._listeners():
            try:
                locations.listening(text, step)
            except ValueError as error:
                yield key, str(error)

    def one_address_each(self) -> Found:
        taken: dict[int, list[tuple[str, int | None]]] = {}
        for number, key, text, step in self._listeners():
            host, port = locations.listening(text, step)
            for other, by in taken.setdefault(port, []):
                if other == host or "0.0.0.0" in (other, host):
                    yield (
                        key,
                        (
                            f"{self._who(number)} would listen on {host}:{port}, where {self._who(by)} "
                            f"has {other}:{port}; give each listener an address of its own"
                        ),
                    )
            taken[port].append((host, number))

    def _who(self, number: int | None) -> str:
        return "another listener" if number is None else f"instance {number}"

    def discovery(self) -> Found:
        told = self.terms.list
        if told.discovery is None and told.parents is None and self.sound("list.discovery", "list.parents"):
            yield (
                "list.discovery",
                "is missing; it must be an address, HOST:PORT, or list.parents a list of those to follow",
            )
        if told.discovery is not None and self.given("list", "parents"):
            yield "list.parents", "stands beside list.discovery; give one of the two"
        if told.discovery is not None and self.sound("list.discovery"):
            yield from self._upstream(("list", "discovery"), told.discovery, "the agent's address")

    def parents(self) -> Found:
        told, zones = self.terms.list, self.terms.settings.zones
        if told.region is not None and told.parents is None and self.sound("list"):
            yield "list.region", "tells which parents are near; it has no place without list.parents"
        if not self.sound("list.parents"):
            return
        taken = set()
        for n, parent in enumerate(told.parents or ()):
            key = ("list", "parents", n)
            if parent.address in taken:
                yield (*key, "address"), f"{parent.address} comes twice; give each parent once"
            taken.add(parent.address)
            yield from self._upstream((*key, "address"), parent.address, "the parent's address")
            if self.sound("settings.zones") and zones and parent.zone not in (None, *zones):
                meant = nearest(str(parent.zone), list(zones))
                yield (*key, "zone"), f"{parent.zone!r} is not in settings.zones; {meant}"

    def _upstream(self, key: Key, told: str, right: str) -> Found:
        try:
            found = read_address(told)
        except ValueError as error:
            yield key, str(error)
            return
        if found in self._open_addresses():
            yield key, f"{told} is a listener; give {right}"

    def _open_addresses(self) -> set[Address]:
        return {locations.listening(text, step) for _, _, text, step in self._listeners()}

    # ---- limits ----

    def limits(self) -> Found:
        told, hard = self.terms.limits, resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        if self.sound("limits.sockets") and RLIM_INFINITY != hard < told.sockets:
            yield (
                "limits.sockets",
                (
                    f"{told.sockets} is above the limit of open files for this user; at "
                    f"most {hard}, or raise that (ulimit -Hn)"
                ),
            )
        count, machine_mb = len(self.each), _machine_mb()
        if self.sound("limits.memory_mb") and (needed_mb := (told.memory_mb or 0) * count) > machine_mb:
            yield (
                "limits.memory_mb",
                (
                    f"lets all instances use {needed_mb:.0f} MB, and this machine "
                    f"has {machine_mb:.0f}; at most {machine_mb // count:.0f}"
                ),
            )

    # ---- settings ----

    def words(self) -> Found:
        told = self.terms.settings
        lists: dict[str, Sequence[str]] = {"zones": told.zones, "kinds": told.kinds}
        for part, values in lists.items():
            if self.sound(f"settings.{part}"):
                yield from _each_once([(("settings", part, n), name) for n, name in enumerate(values)])
        tables: tuple[Sequence[RequestClass | Tenant], ...] = told.classes, told.tenants
        for part, ones in zip(("classes", "tenants"), tables, strict=True):
            keys = [(("settings", part, n, "name"), one) for n, one in enumerate(ones or ())]
            yield from _each_once([(key, one.name) for key, one in keys if self.reading.sound(key)])

    def classes(self) -> Found:
        for n, kind in enumerate(self.terms.settings.classes or ()):
            key = "settings", "classes", n
            if self.reading.sound(key):
                yield from _class(kind, key)

    def zone(self) -> Found:
        zone, zones = self.terms.settings.zone, self.terms.settings.zones
        if self.sound("settings.zones", "settings.zone") and zone is not None and zone not in zones:
            meant = nearest(zone, list(zones)) if zones else "name it there"
            yield "settings.zone", f"{zone!r} is not in settings.zones; {meant}"

    def rules(self) -> Found:
        rules, fleet = self.terms.settings.rules, self.terms.fleet
        for name in ("spare_attempts", "extra_per_request"):
            key = f"settings.rules.{name}"
            rationed = self.sound("settings.rules.look_back_s", key) and getattr(rules, name)
            if rationed and not rules.look_back_s:
                yield key, "counts within look_back_s, which is 0; give that a length"
        if fleet and rules.relays is not None and self.sound("settings.rules.relays", "fleet.instances"):
            yield from _at_least("settings.rules.relays", rules.relays, fleet.instances, "fleet.instances")

    # ---- files ----

    def known(self) -> Found:
        key = "list.known"
        if self.terms.list.known is None or not self.sound("settings", "list.known"):
            return
        try:
            document = json.loads((self.base / self.terms.list.known).read_text("utf-8"))
            destinations = DestinationSet(names_of(as_platform(self.terms)))
            destinations.read(document, cached=True)
        except (OSError, ValueError, RecursionError, BadList) as error:
            yield key, f"can't be read: {error}; give a file with a list as discovery tells it"
            return
        if destinations.faults:
            yield key, f"{len(destinations.faults)} faulty entries; the first: {destinations.faults[0]}"

    def folders(self) -> Found:
        paths = {"instance": self.terms.instance.folder, "snapshot": self.terms.snapshot.folder}
        for part, text in paths.items():
            if text is not None and (reason := locations.unwritable(self.base / text)):
                yield f"{part}.folder", reason

    def control(self) -> Found:
        key, text = "control.socket", self.terms.control.socket
        if not self.sound("control") or not self.terms.control.on:
            return
        if text is None and not self.sound("instance.folder"):
            return
        if text is not None and "{name}" not in text and self.terms.fleet and self.terms.fleet.instances > 1:
            yield key, "all instances would have one socket; put {name} into the path"
            return
        path = locations.socket_path(self.terms, self.base, self._longest_name)
        if path is None:
            if self.given("control", "on"):
                yield "control.on", "needs a place: give control.socket or instance.folder"
        elif len(os.fsencode(path)) > locations.MOST_SOCKET_PATH:
            yield key, f"{path} is too long for a Unix socket; at most {locations.MOST_SOCKET_PATH} bytes"
        elif path.exists() and not path.is_socket():
            yield key, f"{path} is there and is no socket; give another path"
        elif reason := locations.unwritable(path.parent):
            yield key, reason

    @property
    def _longest_name(self) -> str:
        last = self.each[-1] if self.each else None
        return self.terms.instance.name + ("" if last is None else f"-{last}")

    # ---- moments ----

    def snapshot(self) -> Found:
        told = self.terms.snapshot
        if self.sound("snapshot.every_s", "snapshot.most_age_s"):
            yield from _at_least("snapshot.most_age_s", told.most_age_s, told.every_s, "snapshot.every_s")
        nowhere = locations.snapshots_path(self.terms, self.base) is None
        if self.sound("snapshot", "instance.folder") and self.given("snapshot", "on") and told.on and nowhere:
            yield "snapshot.on", "needs a place: give snapshot.folder or instance.folder"

    def restart(self) -> Found:
        told, classes = self.terms.restart, self.terms.settings.classes
        if self.sound("restart.deadline_s", "settings.classes"):
            least = max(kind.deadline_ms for kind in classes) / 1e3 + AFTER_DEADLINE_S
            if told.deadline_s < least:
                yield (
                    "restart.deadline_s",
                    (
                        f"{told.deadline_s:g} is too short for the longest deadline "
                        f"of settings.classes; at least {least:g}"
                    ),
                )
        nowhere = self.terms.instance.folder is None and self.sound("instance.folder")
        if nowhere and self.given("restart", "take_over") and told.take_over:
            yield "restart.take_over", "needs a place to ask for the sockets: give instance.folder"

    def fleet(self) -> Found:
        fleet, restart = self.terms.fleet, self.terms.restart
        if fleet is None:
            return
        if self.sound("fleet.most_out", "fleet.instances") and 1 < fleet.instances <= fleet.most_out:
            yield (
                "fleet.most_out",
                (
                    f"{fleet.most_out} of {fleet.instances} instances would leave none to "
                    f"serve; at most {fleet.instances - 1}"
                ),
            )
        both = self.sound("fleet.stop_within_s", "restart.deadline_s")
        if both and fleet.stop_within_s <= restart.deadline_s:
            yield (
                "fleet.stop_within_s",
                (
                    f"{fleet.stop_within_s:g} would kill an instance before its "
                    f"restart.deadline_s is over; above {restart.deadline_s:g}"
                ),
            )
        for low, high in (
            ("backoff_s", "most_backoff_s"),
            ("as_before", "suffers"),
            ("window_s", "settle_within_s"),
        ):
            least, most = getattr(fleet, low), getattr(fleet, high)
            if self.sound(f"fleet.{low}", f"fleet.{high}"):
                yield from _at_least(f"fleet.{high}", most, least, f"fleet.{low}")

    def fleet_needs(self) -> Found:
        if self.terms.fleet is None:
            return
        if self.terms.instance.folder is None and self.sound("instance.folder"):
            yield "instance.folder", "is missing; a fleet keeps its state and its sockets in a folder"
        if not self.terms.control.on:
            yield "control.on", "a fleet asks its instances at their control sockets; it must be true"


def _at_least(key: str, value: float, least: float, other: str) -> Found:
    if value < least:
        yield key, f"{value:g} is less than {other}; at least {least:g}"


def _class(kind: RequestClass, key: Key) -> Found:
    if kind.semantics == "by_key" and not kind.window_ms:
        yield (*key, "window_ms"), "is 0; by_key needs the time within which servers drop repeats"
    if kind.message_aim_ms > kind.deadline_ms:
        yield (*key, "message_aim_ms"), f"is above deadline_ms; at most {kind.deadline_ms:g}"


def _each_once(names: Sequence[tuple[Key, str]]) -> Found:
    seen = set()
    for key, name in names:
        if not WORD.fullmatch(name):
            yield key, f"{name!r} can't stand in a line: printable ASCII without blanks and commas"
        elif name in seen:
            yield key, f"{name!r} comes twice; give each name once"
        seen.add(name)


def _machine_mb() -> float:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / MB
