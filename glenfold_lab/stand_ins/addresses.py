"""The loopback addresses of one run, and the server list in the form in which an agent sends it."""

import os
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from glenfold_lab.model.listing import versions
from glenfold_lab.stand_ins.agent import Change, Entry
from glenfold_lab.stand_ins.script import ListUpdate, Script
from glenfold_lab.stand_ins.sockets import Address, format_address

SERVERS, AGENTS, RELAYS = range(3)
ADDRESS_BLOCKS = 60  # Blocks of three nets each, one block for each run on the machine.
MAX_HOSTS_PER_NET = 0xFF00


class TooLarge(Exception):
    """Raised when a run needs more addresses or descriptors than one machine has."""


@dataclass(frozen=True, slots=True)
class Net:
    """The addresses 127.a.b.c of one run, apart from those of other runs."""

    block: int = field(default_factory=lambda: os.getpid() % ADDRESS_BLOCKS)

    def host(self, kind: int, index: int) -> str:
        if index >= MAX_HOSTS_PER_NET:
            raise TooLarge(f"more than {MAX_HOSTS_PER_NET} addresses for push servers and relays")
        return f"127.{64 + 3 * self.block + kind}.{index // 255}.{index % 255 + 1}"


@dataclass(slots=True)
class Addresses:
    """The addresses of push servers, agents and relays.

    `servers` has, by server index, the address at which each relay reaches the server. `agents` has the
    address of each agent by the number of its relay.
    """

    servers: dict[int, list[Address]] = field(default_factory=dict)
    agents: dict[int, Address] = field(default_factory=dict)
    relays: list[Address] = field(default_factory=list)

    def __or__(self, other: "Addresses") -> "Addresses":
        return Addresses(
            self.servers | other.servers, self.agents | other.agents, self.relays or other.relays
        )


class ListFormatter:
    """Turns entries of the script's server list into those that an agent sends.

    `start` is the start of the history on the machine's clock.
    """

    def __init__(self, script: Script, addresses: Addresses, start: int) -> None:
        self._script = script
        self._addresses = addresses
        self._start = start
        self._unix_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def entry(self, listed: versions.Entry, relay: int) -> Entry:
        machine, zones = listed.machine, self._script.scenario.zones.names
        started = self._start + listed.started - self._script.epoch if listed.started else 0
        return Entry(
            machine.host,
            machine.number,
            format_address(self._addresses.servers[machine.index][relay]),
            zones[machine.zone],
            machine.kind.name,
            machine.cell,
            machine.kind.weight,
            listed.state,
            (started + self._unix_us) // 1000 if started else 0,
            started,
        )

    def entries(self, entries: Iterable[versions.Entry], relay: int) -> list[Entry]:
        return [self.entry(listed, relay) for listed in entries]

    def change(self, update: ListUpdate) -> Change:
        return Change(update.version, tuple(self.entries(update.entries, update.relay)))

    def held_list(self, relay: int, at: int) -> tuple[int, list[Entry]]:
        """Returns version and list that the relay's agent holds at time `at` of the history."""
        version, entries = self._script.held_list(relay, at)
        return version, self.entries(entries, relay)
