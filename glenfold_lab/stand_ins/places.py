"""Where everybody is on the loopback net of one run, and the list of servers as a relay's agent words it."""

import os
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from glenfold_lab.model.listing import versions
from glenfold_lab.stand_ins.agent import Change, Entry
from glenfold_lab.stand_ins.script import News, Script
from glenfold_lab.stand_ins.sockets import Address, format_address

SERVERS, AGENTS, RELAYS = range(3)
BLOCKS = 60  # of three nets each, for the runs on one machine
PLACES = 0xFF00  # of one net


class TooLarge(Exception):
    """There are not that many addresses, or descriptors, on one machine."""


@dataclass(frozen=True, slots=True)
class Net:
    """Each run has addresses of its own, 127.a.b.c."""

    block: int = field(default_factory=lambda: os.getpid() % BLOCKS)

    def host(self, kind: int, place: int) -> str:
        if place >= PLACES:
            raise TooLarge(f"more than {PLACES} addresses for push servers and relays")
        return f"127.{64 + 3 * self.block + kind}.{place // 255}.{place % 255 + 1}"


@dataclass(slots=True)
class Places:
    """servers: by index, at which address each relay finds it. agents: by the number of their relay."""

    servers: dict[int, list[Address]] = field(default_factory=dict)
    agents: dict[int, Address] = field(default_factory=dict)
    relays: list[Address] = field(default_factory=list)

    def __or__(self, other: "Places") -> "Places":
        return Places(self.servers | other.servers, self.agents | other.agents, self.relays or other.relays)


class Wording:
    """`start`: when the history starts, on the machine's clock."""

    def __init__(self, script: Script, places: Places, start: int) -> None:
        self._script = script
        self._places = places
        self._start = start
        self._unix_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def entry(self, one: versions.Entry, relay: int) -> Entry:
        machine, zones = one.machine, self._script.scenario.zones.names
        started = self._start + one.started - self._script.epoch if one.started else 0
        return Entry(
            machine.host,
            machine.number,
            format_address(self._places.servers[machine.index][relay]),
            zones[machine.zone],
            machine.kind.name,
            machine.cell,
            machine.kind.weight,
            one.state,
            (started + self._unix_us) // 1000 if started else 0,
            started,
        )

    def entries(self, several: Iterable[versions.Entry], relay: int) -> list[Entry]:
        return [self.entry(one, relay) for one in several]

    def change(self, news: News) -> Change:
        return Change(news.version, tuple(self.entries(news.entries, news.relay)))

    def known(self, relay: int, at: int) -> tuple[int, list[Entry]]:
        """As the relay's agent holds it at that moment of the history."""
        version, entries = self._script.known(relay, at)
        return version, self.entries(entries, relay)
