"""Draws the scenario of one soak run from a seed: its size, clients and faults."""

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

MIN_LENGTH_S = 12.0  # Minimum length in which each fault takes effect.
FIRST_FAULT_AT_S = 2.0
FAULT_FREE_END_S = 5.0  # Time without new faults at the end, in which their after-effects show.
MEMORY_MB = 80.0
MAX_SOCKETS = 160  # Descriptor limit of relays in a run with a client burst.
STALL_RANGE_S = (0.05, 0.15)  # The upper bound is the longest stall of a relay on a loaded machine.
LINGERING_SHARE = 0.5  # Share of clients that use a connection after MOVE until it ends.


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The plan of a soak run.

    With `has_client_burst`, idle clients connect to one relay, more than it has descriptors for.
    """

    scenario: Scenario
    has_client_burst: bool


FaultFactory = Callable[[random.Random, float], Fault]


def _relay_restart(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="relay_restart", at_s=at_s, count=rng.choice([1, 2]), over_s=rng.uniform(0, 1.5))


def _relay_crash(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="relay_crash", at_s=at_s, count=1)


def _relay_stall(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="relay_stall", at_s=at_s, count=1, len_s=rng.uniform(*STALL_RANGE_S))


def _drain(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="drain", at_s=at_s, count=1, over_s=rng.uniform(2.5, 5.0), replace=True)


def _server_crash(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="server_crash", at_s=at_s, count=1)


def _server_vanish(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="server_vanish", at_s=at_s, count=1)


def _server_jam(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="server_jam", at_s=at_s, count=1, len_s=rng.uniform(0.5, 2.0))


def _restart_servers(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="restart_servers", at_s=at_s, part=rng.uniform(0.2, 0.5), len_s=0.5)


def _reconnect(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="reconnect", at_s=at_s, size=rng.uniform(0.2, 0.8), over_s=0.5)


def _list_silent(rng: random.Random, at_s: float) -> Fault:
    return Fault(kind="list_silent", at_s=at_s, len_s=rng.uniform(1.0, 3.0))


FAULT_FACTORIES: tuple[FaultFactory, ...] = (
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


def draw_plan(seed: int, length_s: float) -> SoakPlan:
    """Draws a plan; the same seed and length give the same plan.

    Raises ValueError if `length_s` is too short.
    """
    if length_s < MIN_LENGTH_S:
        raise ValueError(f"a soak run lasts {MIN_LENGTH_S:g} s at least, not {length_s:g}")
    rng = random.Random(seed)
    relays, has_client_burst = rng.randint(2, 4), rng.random() < 0.4
    last_fault_s = length_s - FAULT_FREE_END_S
    factories = [_relay_restart, *rng.sample(FAULT_FACTORIES, rng.randint(2, 4))]
    faults = tuple(factory(rng, rng.uniform(FIRST_FAULT_AT_S, last_fault_s)) for factory in factories)
    scenario = Scenario(
        format=1,
        name=f"soak-{seed}",
        guards_against="Relays that break a rule, or keep something, under faults and signals in series.",
        length_s=length_s,
        warm_up_s=0.0,
        classes=(
            RequestClass(name="watch", deadline_ms=rng.choice([800.0, 1500.0, 3000.0])),
            RequestClass(name="feed", share=0.5, deadline_ms=rng.choice([800.0, 3000.0])),
        ),
        servers=Servers(count=rng.randint(3, 6)),
        relays=Relays(
            count=relays,
            pass_through=rng.random() < 0.5,
            restart_s=0.5,
            memory_mb=MEMORY_MB,
            sockets=MAX_SOCKETS if has_client_burst else None,
        ),
        front=Front(notice_s=0.3),
        clients=Clients(
            load=rng.uniform(0.1, 0.25),
            groups=rng.random() < 0.5,
            marks_returning=rng.random() < 0.7,
            lingers=LINGERING_SHARE,
        ),
        server_list=ServerList(notice_s=0.5, add_s=0.5),
        faults=faults,
    )
    return SoakPlan(scenario, has_client_burst)
