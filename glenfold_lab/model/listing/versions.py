"""The versions of the server list at discovery, as documents in the format of discovery."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from glenfold.config import Names
from glenfold.list_entry import STATES
from glenfold_lab.model.fleet import Machine
from glenfold_lab.observe import ListedState
from glenfold_lab.spec import Scenario

Document = dict[str, Any]

PORT = 3000
MAX_CACHED_FULL_LISTS = 8  # Full lists of older versions are assembled again when needed.
HEALTH_WORDS = {ListedState[state.name]: word for word, state in STATES.items()}


def make_names(scenario: Scenario) -> Names:
    """Returns the indices of classes, schemes, zones and kinds, as in the settings of relays."""

    def indices(parts: tuple[Any, ...]) -> dict[str, int]:
        return {part.name: index for index, part in enumerate(parts)}

    sites = {name: index for index, name in enumerate(scenario.zones.names)}
    return Names(indices(scenario.classes), indices(scenario.schemes), sites, indices(scenario.servers.kinds))


@dataclass(frozen=True, slots=True)
class Entry:
    """A server in the list. `started` is its start in microseconds, or 0 for long ago."""

    machine: Machine
    state: ListedState
    started: int

    def document(self, zones: tuple[str, ...]) -> Document:
        machine = self.machine
        return {
            "host": machine.host,
            "dial": f"{machine.host}:{PORT}",
            "site": zones[machine.zone],
            "class": machine.kind.name,
            "block": machine.cell,
            "health": HEALTH_WORDS[self.state],
            "share": machine.kind.weight,
            "born_ms": self.started // 1000,
        }


class Versions:
    """All versions of the list. Version 1 is the list at the start; every change adds a version."""

    def __init__(self, zones: tuple[str, ...], first: list[Entry]) -> None:
        self._zones = zones
        self._changes: list[list[Entry]] = [[], first]  # By version.
        self._latest: dict[int, tuple[int, Entry]] = {e.machine.number: (1, e) for e in first}
        self._full_lists: OrderedDict[int, tuple[list[Entry], Document]] = OrderedDict()

    @property
    def last(self) -> int:
        return len(self._changes) - 1

    def add(self, entries: list[Entry]) -> int | None:
        """Adds a version with the entries that differ from the known ones; returns None if none does."""
        new = [entry for entry in entries if self._is_news(entry)]
        if not new:
            return None
        self._changes.append(new)
        for entry in new:
            self._latest[entry.machine.number] = self.last, entry
        return self.last

    def _is_news(self, entry: Entry) -> bool:
        known = self._latest.get(entry.machine.number)
        return entry != known[1] if known is not None else entry.state is not ListedState.GONE

    def changed(self, version: int) -> list[Entry]:
        return self._changes[version]

    def change(self, version: int) -> Document:
        return self._document(version, False, self._changes[version])

    def changed_last(self, server: int) -> int:
        """Returns the version in which this server changed last."""
        return self._latest[server][0]

    def entries(self, version: int) -> list[Entry]:
        """Returns all servers of a version that are not removed."""
        return self._full_list_of(version)[0]

    def full_list(self, version: int) -> Document:
        return self._full_list_of(version)[1]

    def _full_list_of(self, version: int) -> tuple[list[Entry], Document]:
        if version not in self._full_lists:
            by_server = {e.machine.number: e for step in self._changes[: version + 1] for e in step}
            entries = [entry for entry in by_server.values() if entry.state is not ListedState.GONE]
            self._full_lists[version] = entries, self._document(version, True, entries)
            if len(self._full_lists) > MAX_CACHED_FULL_LISTS:
                self._full_lists.popitem(last=False)
        return self._full_lists[version]

    def _document(self, version: int, is_full: bool, entries: list[Entry]) -> Document:
        return {"seq": version, "whole": is_full, "hosts": [entry.document(self._zones) for entry in entries]}
