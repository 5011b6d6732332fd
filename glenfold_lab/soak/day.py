"""The scenario of one soak run: its size, its clients and its faults are all drawn from the seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from glenfold_lab.spec import (
    Clients,
    Fault,
    Front,
    Relays,
    RequestClass,
    Scenario,
    ServerList,
    Servers,
)

SHORTEST_S = 12.0  # in which each fault still has its effect
FIRST_FAULT_S = 2.0
QUIET_END_S = 5.0  # without new faults, so that what they left over shows
MEMORY_MB = 80.0
SOCKETS = 160  # of a relay that a crowd fills
STALL_S = (0.05, 0.15)  # the longest that a relay on a loaded machine is held up
LINGERS = 0.5  # of the clients go on using a connection after MOVE until it ends


@dataclass(frozen=True, slots=True)
class Day:
    """What is played. crowd: idle clients come to one relay, more than it has descriptors for."""

    scenario: Scenario
    crowd: bool


Maker = Callable[[random.Random, float], Fault]


def _relay_restart(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="relay_restart", at_s=at_s, count=chance.choice([1, 2]), over_s=chance.uniform(0, 1.5))


def _relay_crash(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="relay_crash", at_s=at_s, count=1)


def _relay_stall(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="relay_stall", at_s=at_s, count=1, len_s=chance.uniform(*STALL_S))


def _drain(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="drain", at_s=at_s, count=1, over_s=chance.uniform(2.5, 5.0), replace=True)


def _server_crash(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="server_crash", at_s=at_s, count=1)


def _server_vanish(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="server_vanish", at_s=at_s, count=1)


def _server_jam(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="server_jam", at_s=at_s, count=1, len_s=chance.uniform(0.5, 2.0))


def _restart_servers(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="restart_servers", at_s=at_s, part=chance.uniform(0.2, 0.5), len_s=0.5)


def _reconnect(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="reconnect", at_s=at_s, size=chance.uniform(0.2, 0.8), over_s=0.5)


def _list_silent(chance: random.Random, at_s: float) -> Fault:
    return Fault(kind="list_silent", at_s=at_s, len_s=chance.uniform(1.0, 3.0))


MAKERS: tuple[Maker, ...] = (
    _relay_crash,
    _relay_stall,
    _drain,
    _server_crash,
    _server_vanish,
    _server_jam,
    _restart_servers,
    _reconnect,
    _list_silent,
)


def drawn(seed: int, length_s: float) -> Day:
    """The same seed and length give the same day. Raises ValueError if it is too short."""
    if length_s < SHORTEST_S:
        raise ValueError(f"a soak run lasts {SHORTEST_S:g} s at least, not {length_s:g}")
    chance = random.Random(seed)
    relays, crowd = chance.randint(2, 4), chance.random() < 0.4
    last_fault_s = length_s - QUIET_END_S
    makers = [_relay_restart, *chance.sample(MAKERS, chance.randint(2, 4))]
    faults = tuple(make(chance, chance.uniform(FIRST_FAULT_S, last_fault_s)) for make in makers)
    scenario = Scenario(
        format=1,
        name=f"soak-{seed}",
        guards_against="Relays that break a rule, or keep something, under faults and signals in series.",
        length_s=length_s,
        warm_up_s=0.0,
        classes=(
            RequestClass(name="watch", deadline_ms=chance.choice([800.0, 1500.0, 3000.0])),
            RequestClass(name="feed", share=0.5, deadline_ms=chance.choice([800.0, 3000.0])),
        ),
        servers=Servers(count=chance.randint(3, 6)),
        relays=Relays(
            count=relays,
            pass_through=chance.random() < 0.5,
            restart_s=0.5,
            memory_mb=MEMORY_MB,
            sockets=SOCKETS if crowd else None,
        ),
        front=Front(notice_s=0.3),
        clients=Clients(
            load=chance.uniform(0.1, 0.25),
            groups=chance.random() < 0.5,
            marks_returning=chance.random() < 0.7,
            lingers=LINGERS,
        ),
        server_list=ServerList(notice_s=0.5, add_s=0.5),
        faults=faults,
    )
    return Day(scenario, crowd)
