"""Checks of an operators' file: its values against each other and against this machine."""

import json
import os
import re
import resource
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from glenfold.config import locations
from glenfold.config.address import Address, read_address
from glenfold.config.platform import names_of
from glenfold.config.settings import as_platform
from glenfold.config.tables import TableReader
from glenfold.config.terms import RequestClass, Tenant, Terms
from glenfold.destinations import BadList, DestinationSet
from glenfold.toml_file import Key, suggest_name

FILE_NAME_PATTERN = re.compile(r"[A-Za-z0-9][\w.-]*", re.ASCII)
# A name that a client can send in its first line: printable ASCII without blanks and commas.
LINE_WORD_PATTERN = re.compile(r"[!-+\--~]+")
SHUTDOWN_MARGIN_S = 0.7  # A shutdown takes this much longer than the longest deadline.
MB = 1 << 20
RLIM_INFINITY = resource.RLIM_INFINITY

# Pairs of a key and what is wrong with it. A key without list indexes may be one text with dots.
Problems = Iterator[tuple[Key | str, str]]


class Checks:
    """All checks of one operators' file; errors are added to `reader`.

    Each check looks only at keys that have no error yet, so that one mistake is not reported several times.
    """

    def __init__(self, terms: Terms, reader: TableReader, base: Path) -> None:
        self.terms, self.reader, self.base = terms, reader, base

    def run(self) -> None:
        """Runs all checks, in an order in which each finds the keys that it needs already checked."""
        checks: list[Callable[[], Problems]] = [
            self.instance_name,
            self.listener_keys,
            self.listen_addresses,
            self.unique_addresses,
            self.discovery,
            self.parents,
            self.limits,
            self.names,
            self.classes,
            self.zone,
            self.rules,
            self.known_list,
            self.folders,
            self.control,
            self.snapshot,
            self.restart,
            self.fleet,
            self.fleet_requirements,
        ]
        for check in checks:
            for key, reason in check():
                self.reader.add_error(tuple(key.split(".")) if isinstance(key, str) else key, reason)

    def is_valid(self, *keys: str) -> bool:
        """Returns whether no error was recorded for these dotted keys."""
        return self.reader.is_valid(*(tuple(key.split(".")) for key in keys))

    def is_given(self, *key: str) -> bool:
        """Returns whether the file itself sets the key."""
        return key in self.reader.toml_file.lines

    @property
    def instance_numbers(self) -> Sequence[int | None]:
        """The numbers of all instances; empty if the keys that count them have errors."""
        return (
            locations.instance_numbers(self.terms)
            if self.is_valid("fleet.instances", "fleet.addresses")
            else ()
        )

    # ---- names and addresses ----

    def instance_name(self) -> Problems:
        name = self.terms.instance.name
        if not FILE_NAME_PATTERN.fullmatch(name):
            yield (
                "instance.name",
                (
                    f"{name!r} can't be part of a file name; use letters, digits, '.', '_' and "
                    "'-', the first a letter or digit"
                ),
            )

    def listener_keys(self) -> Problems:
        fleet, shared = self.terms.fleet, self.is_given("listeners", "addresses")
        if fleet is None or fleet.addresses is None:
            if not shared:
                yield "listeners.addresses", "is missing; it must be a list of addresses, HOST:PORT"
            return
        if shared:
            yield "fleet.addresses", "can't be given together with listeners.addresses; remove one of the two"
        if self.is_given("fleet", "port_step"):
            yield "fleet.port_step", "applies only to listeners.addresses; remove it or fleet.addresses"
        if self.is_valid("fleet.instances") and len(fleet.addresses) != fleet.instances:
            yield (
                "fleet.addresses",
                (
                    f"has {len(fleet.addresses)} entries for {fleet.instances} "
                    "instances; give one list of addresses for each"
                ),
            )

    def _valid_listeners(self) -> Iterator[tuple[int | None, Key, str, int]]:
        """Yields the listeners without an error; a key is skipped as soon as an error is recorded for it."""
        for number in self.instance_numbers if self.is_valid("fleet.port_step") else ():
            for key, text, step in locations.configured_listeners(self.terms, number):
                if self.reader.is_valid(key):
                    yield number, key, text, step

    def listen_addresses(self) -> Problems:
        for _, key, text, step in self._valid_listeners():
            try:
                locations.listen_address(text, step)
            except ValueError as error:
                yield key, str(error)

    def unique_addresses(self) -> Problems:
        taken: dict[int, list[tuple[str, int | None]]] = {}
        for number, key, text, step in self._valid_listeners():
            host, port = locations.listen_address(text, step)
            for other_host, other_number in taken.setdefault(port, []):
                if other_host == host or "0.0.0.0" in (other_host, host):
                    yield (
                        key,
                        (
                            f"{self._owner(number)} would listen on {host}:{port}, but "
                            f"{self._owner(other_number)} already has {other_host}:{port}; give each "
                            "listener an address of its own"
                        ),
                    )
            taken[port].append((host, number))

    def _owner(self, number: int | None) -> str:
        return "another listener" if number is None else f"instance {number}"

    def discovery(self) -> Problems:
        source = self.terms.list
        if (
            source.discovery is None
            and source.parents is None
            and self.is_valid("list.discovery", "list.parents")
        ):
            yield (
                "list.discovery",
                "is missing; it must be an address, HOST:PORT, unless list.parents lists parents to follow",
            )
        if source.discovery is not None and self.is_given("list", "parents"):
            yield "list.parents", "can't be given together with list.discovery; remove one of the two"
        if source.discovery is not None and self.is_valid("list.discovery"):
            yield from self._upstream(("list", "discovery"), source.discovery, "the agent's address")

    def parents(self) -> Problems:
        source, zones = self.terms.list, self.terms.settings.zones
        if source.region is not None and source.parents is None and self.is_valid("list"):
            yield (
                "list.region",
                "only serves to prefer parents of the same region; remove it or give list.parents",
            )
        if not self.is_valid("list.parents"):
            return
        addresses = set()
        for n, parent in enumerate(source.parents or ()):
            key = ("list", "parents", n)
            if parent.address in addresses:
                yield (*key, "address"), f"{parent.address} is listed twice; list each parent once"
            addresses.add(parent.address)
            yield from self._upstream((*key, "address"), parent.address, "the parent's address")
            if self.is_valid("settings.zones") and zones and parent.zone not in (None, *zones):
                suggestion = suggest_name(str(parent.zone), list(zones))
                yield (*key, "zone"), f"{parent.zone!r} is not in settings.zones; {suggestion}"

    def _upstream(self, key: Key, text: str, expected: str) -> Problems:
        try:
            address = read_address(text)
        except ValueError as error:
            yield key, str(error)
            return
        if address in self._listener_addresses():
            yield key, f"{text} is a listener of this file; give {expected}"

    def _listener_addresses(self) -> set[Address]:
        return {locations.listen_address(text, step) for _, _, text, step in self._valid_listeners()}

    # ---- limits ----

    def limits(self) -> Problems:
        limits, hard_limit = self.terms.limits, resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        if self.is_valid("limits.sockets") and RLIM_INFINITY != hard_limit < limits.sockets:
            yield (
                "limits.sockets",
                (
                    f"{limits.sockets} is above the limit of open files for this user; give at "
                    f"most {hard_limit}, or raise the limit (ulimit -Hn)"
                ),
            )
        count, machine_mb = len(self.instance_numbers), _machine_mb()
        if self.is_valid("limits.memory_mb") and (needed_mb := (limits.memory_mb or 0) * count) > machine_mb:
            yield (
                "limits.memory_mb",
                (
                    f"lets all instances together use {needed_mb:.0f} MB, but this machine "
                    f"has {machine_mb:.0f} MB; give at most {machine_mb // count:.0f}"
                ),
            )

    # ---- settings ----

    def names(self) -> Problems:
        settings = self.terms.settings
        lists: dict[str, Sequence[str]] = {"zones": settings.zones, "kinds": settings.kinds}
        for part, values in lists.items():
            if self.is_valid(f"settings.{part}"):
                yield from _unique_names([(("settings", part, n), name) for n, name in enumerate(values)])
        tables: tuple[Sequence[RequestClass | Tenant], ...] = settings.classes, settings.tenants
        for part, entries in zip(("classes", "tenants"), tables, strict=True):
            keys = [(("settings", part, n, "name"), entry) for n, entry in enumerate(entries or ())]
            yield from _unique_names([(key, entry.name) for key, entry in keys if self.reader.is_valid(key)])

    def classes(self) -> Problems:
        for n, request_class in enumerate(self.terms.settings.classes or ()):
            key = "settings", "classes", n
            if self.reader.is_valid(key):
                yield from _class(request_class, key)

    def zone(self) -> Problems:
        zone, zones = self.terms.settings.zone, self.terms.settings.zones
        if self.is_valid("settings.zones", "settings.zone") and zone is not None and zone not in zones:
            suggestion = suggest_name(zone, list(zones)) if zones else "add it there"
            yield "settings.zone", f"{zone!r} is not in settings.zones; {suggestion}"

    def rules(self) -> Problems:
        rules, fleet = self.terms.settings.rules, self.terms.fleet
        for name in ("spare_attempts", "extra_per_request"):
            key = f"settings.rules.{name}"
            needs_window = self.is_valid("settings.rules.look_back_s", key) and getattr(rules, name)
            if needs_window and not rules.look_back_s:
                yield key, "is counted over look_back_s, which is 0; set look_back_s above 0"
        if fleet and rules.relays is not None and self.is_valid("settings.rules.relays", "fleet.instances"):
            yield from _at_least("settings.rules.relays", rules.relays, fleet.instances, "fleet.instances")

    # ---- files ----

    def known_list(self) -> Problems:
        key = "list.known"
        if self.terms.list.known is None or not self.is_valid("settings", "list.known"):
            return
        try:
            document = json.loads((self.base / self.terms.list.known).read_text("utf-8"))
            destinations = DestinationSet(names_of(as_platform(self.terms)))
            destinations.read(document, cached=True)
        except (OSError, ValueError, RecursionError, BadList) as error:
            yield key, f"can't be read: {error}; give a file with a list in the form that discovery sends"
            return
        if destinations.problems:
            yield key, f"{len(destinations.problems)} faulty entries; the first: {destinations.problems[0]}"

    def folders(self) -> Problems:
        paths = {"instance": self.terms.instance.folder, "snapshot": self.terms.snapshot.folder}
        for part, text in paths.items():
            if text is not None and (reason := locations.why_unwritable(self.base / text)):
                yield f"{part}.folder", reason

    def control(self) -> Problems:
        key, text = "control.socket", self.terms.control.socket
        if not self.is_valid("control") or not self.terms.control.on:
            return
        if text is None and not self.is_valid("instance.folder"):
            return
        if text is not None and "{name}" not in text and self.terms.fleet and self.terms.fleet.instances > 1:
            yield key, "all instances would share one socket; put {name} into the path"
            return
        path = locations.socket_path(self.terms, self.base, self._longest_name)
        if path is None:
            if self.is_given("control", "on"):
                yield "control.on", "needs a path: give control.socket or instance.folder"
        elif len(os.fsencode(path)) > locations.MAX_SOCKET_PATH_BYTES:
            yield (
                key,
                f"{path} is too long for a Unix socket; at most {locations.MAX_SOCKET_PATH_BYTES} bytes",
            )
        elif path.exists() and not path.is_socket():
            yield key, f"{path} exists and is not a socket; give another path"
        elif reason := locations.why_unwritable(path.parent):
            yield key, reason

    @property
    def _longest_name(self) -> str:
        last = self.instance_numbers[-1] if self.instance_numbers else None
        return self.terms.instance.name + ("" if last is None else f"-{last}")

    # ---- times ----

    def snapshot(self) -> Problems:
        snapshot = self.terms.snapshot
        if self.is_valid("snapshot.every_s", "snapshot.most_age_s"):
            yield from _at_least(
                "snapshot.most_age_s", snapshot.most_age_s, snapshot.every_s, "snapshot.every_s"
            )
        has_no_folder = locations.snapshots_path(self.terms, self.base) is None
        if (
            self.is_valid("snapshot", "instance.folder")
            and self.is_given("snapshot", "on")
            and snapshot.on
            and has_no_folder
        ):
            yield "snapshot.on", "needs a folder: give snapshot.folder or instance.folder"

    def restart(self) -> Problems:
        restart, classes = self.terms.restart, self.terms.settings.classes
        if self.is_valid("restart.deadline_s", "settings.classes"):
            min_deadline_s = (
                max(request_class.deadline_ms for request_class in classes) / 1e3 + SHUTDOWN_MARGIN_S
            )
            if restart.deadline_s < min_deadline_s:
                yield (
                    "restart.deadline_s",
                    (
                        f"{restart.deadline_s:g} is too short for the longest deadline "
                        f"of settings.classes; give at least {min_deadline_s:g}"
                    ),
                )
        has_no_folder = self.terms.instance.folder is None and self.is_valid("instance.folder")
        if has_no_folder and self.is_given("restart", "take_over") and restart.take_over:
            yield "restart.take_over", "needs a folder for the takeover socket: give instance.folder"

    def fleet(self) -> Problems:
        fleet, restart = self.terms.fleet, self.terms.restart
        if fleet is None:
            return
        if self.is_valid("fleet.most_out", "fleet.instances") and 1 < fleet.instances <= fleet.most_out:
            yield (
                "fleet.most_out",
                (
                    f"{fleet.most_out} of {fleet.instances} instances out of service would leave none to "
                    f"serve; give at most {fleet.instances - 1}"
                ),
            )
        both_valid = self.is_valid("fleet.stop_within_s", "restart.deadline_s")
        if both_valid and fleet.stop_within_s <= restart.deadline_s:
            yield (
                "fleet.stop_within_s",
                (
                    f"{fleet.stop_within_s:g} would kill an instance before its "
                    f"restart.deadline_s has passed; give more than {restart.deadline_s:g}"
                ),
            )
        for low, high in (
            ("backoff_s", "most_backoff_s"),
            ("as_before", "suffers"),
            ("window_s", "settle_within_s"),
        ):
            minimum, value = getattr(fleet, low), getattr(fleet, high)
            if self.is_valid(f"fleet.{low}", f"fleet.{high}"):
                yield from _at_least(f"fleet.{high}", value, minimum, f"fleet.{low}")

    def fleet_requirements(self) -> Problems:
        if self.terms.fleet is None:
            return
        if self.terms.instance.folder is None and self.is_valid("instance.folder"):
            yield "instance.folder", "is missing; a fleet keeps its state and its sockets in a folder"
        if not self.terms.control.on:
            yield (
                "control.on",
                "must be true in a fleet, which reaches its instances at their control sockets",
            )


def _at_least(key: str, value: float, minimum: float, other: str) -> Problems:
    if value < minimum:
        yield key, f"{value:g} is less than {other}; give at least {minimum:g}"


def _class(request_class: RequestClass, key: Key) -> Problems:
    if request_class.semantics == "by_key" and not request_class.window_ms:
        yield (*key, "window_ms"), "is 0; by_key needs the time within which servers drop repeats"
    if request_class.message_aim_ms > request_class.deadline_ms:
        yield (*key, "message_aim_ms"), f"is above deadline_ms; give at most {request_class.deadline_ms:g}"


def _unique_names(names: Sequence[tuple[Key, str]]) -> Problems:
    seen = set()
    for key, name in names:
        if not LINE_WORD_PATTERN.fullmatch(name):
            yield (
                key,
                f"{name!r} can't be sent in a protocol line; use printable ASCII without blanks and commas",
            )
        elif name in seen:
            yield key, f"{name!r} is listed twice; list each name once"
        seen.add(name)


def _machine_mb() -> float:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / MB
