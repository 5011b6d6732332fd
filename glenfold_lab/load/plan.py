"""All that a load will ask, drawn ahead: who starts when, asks what, and for how long it wants it."""

from collections.abc import Sequence

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.load.terms import DAY_S, Arrivals, Groups, LoadPlan, Reconnect, rates
from glenfold_lab.streams import Streams

SECOND_US = 1_000_000
PART = "load"

# Of each client: moments in microseconds from the load's start; line_gap_us 0 says no lines; class, scheme
# and target are places in their lists.
CLIENT = np.dtype(
    [
        ("start_us", "i8"),
        ("end_us", "i8"),
        ("wait_us", "i8"),
        ("line_gap_us", "i8"),
        ("ident", "u8"),
        ("key", "u8"),
        ("group", "u8"),
        ("class", "u2"),
        ("scheme", "u2"),
        ("target", "u2"),
        ("again", "?"),
    ]
)

Clients = NDArray[np.void]


def length_us(terms: LoadPlan) -> int:
    """From the load's start to the last moment at which a client may start."""
    ends = [arrivals.at_s + arrivals.for_s for arrivals in terms.arrivals]
    ends += [reconnect.at_s + reconnect.within_s for reconnect in terms.reconnects]
    return int(max(ends) * SECOND_US)


def draw(terms: LoadPlan, seed: int, targets: int) -> Clients:
    """The clients of one seed, by their starts (shape: one CLIENT each). Each of the arrivals and reconnects
    draws from generators of its own: another one more shifts none of them."""
    streams = Streams(seed)
    parts = [_arrive(terms, streams, n, targets) for n in range(len(terms.arrivals))]
    clients = np.concatenate(parts)
    for n in sorted(range(len(terms.reconnects)), key=lambda n: terms.reconnects[n].at_s):
        clients = _reconnect(clients, terms, streams, n, targets)
    return clients[np.argsort(clients["start_us"], kind="stable")]


def _starts(arrivals: Arrivals, random: np.random.Generator) -> NDArray[np.int64]:
    """Times at which the sum of the rate so far reaches a count: whole ones, or drawn evenly."""
    first, last = rates(arrivals)
    total = (first + last) / 2 * arrivals.for_s
    if arrivals.process == "poisson":
        counts = np.sort(random.uniform(0, total, random.poisson(total)))
    else:
        counts = np.arange(int(total + 1e-9), dtype=float)
    # count = first * t + (last - first) / (2 * for_s) * t^2, solved for t in the form that holds for a slope
    # of 0 too.
    slope = (last - first) / arrivals.for_s
    root = np.sqrt(np.maximum(first * first + 2 * slope * counts, 0))
    moments = 2 * counts / np.maximum(first + root, 1e-12) + arrivals.at_s
    return np.asarray(np.round(moments * SECOND_US), dtype=np.int64)


def _arrive(terms: LoadPlan, streams: Streams, n: int, targets: int) -> Clients:
    starts = _starts(terms.arrivals[n], streams.of(PART, "starts", n))
    return _clients(terms, streams, "arrivals", n, starts, targets)


def _clients(
    terms: LoadPlan, streams: Streams, part: str, n: int, starts: NDArray[np.int64], targets: int
) -> Clients:
    count = len(starts)

    def of(purpose: str) -> np.random.Generator:
        return streams.of(f"{PART}/{part}", purpose, n)

    clients = np.zeros(count, CLIENT)
    kinds = _by_share([kind.share for kind in terms.classes], count, of("classes"))
    clients["start_us"], clients["class"] = starts, kinds
    clients["wait_us"] = np.array([kind.wait_ms * 1000 for kind in terms.classes])[kinds]
    clients["line_gap_us"] = np.array([kind.line_gap_ms * 1000 for kind in terms.classes])[kinds]
    clients["end_us"] = starts + _lives(terms, kinds, of("lives"))
    clients["scheme"] = _by_share([scheme.share for scheme in terms.schemes], count, of("schemes"))
    clients["key"] = _numbers(count, of("keys"))
    clients["group"] = (
        clients["key"]
        if terms.groups is None
        else _groups(terms.groups, clients["key"], of("groups"), streams.of(PART, "groups"))
    )
    _address(clients, targets, of("idents"), of("front"))
    return clients


def _numbers(count: int, random: np.random.Generator) -> NDArray[np.uint64]:
    return random.integers(0, 1 << 64, count, dtype=np.uint64)


def _address(clients: Clients, targets: int, idents: np.random.Generator, front: np.random.Generator) -> None:
    """What is new with every connection: its id, and to which relay the front leads it."""
    clients["ident"] = _numbers(len(clients), idents)
    clients["target"] = front.integers(0, targets, len(clients))


def _by_share(shares: Sequence[float], count: int, random: np.random.Generator) -> NDArray[np.int64]:
    if not shares:
        return np.zeros(count, np.int64)
    weights = np.asarray(shares, dtype=float)
    return random.choice(len(weights), count, p=weights / weights.sum())


def _lives(terms: LoadPlan, kinds: NDArray[np.int64], random: np.random.Generator) -> NDArray[np.int64]:
    mean = np.array([kind.life_s for kind in terms.classes])[kinds]
    sigma = np.array([kind.life_sigma for kind in terms.classes])[kinds]
    spread = np.exp(sigma * random.standard_normal(len(kinds)) - sigma * sigma / 2)
    return np.asarray(np.minimum(mean * spread, DAY_S) * SECOND_US, dtype=np.int64)


def _groups(
    groups: Groups, alone: NDArray[np.uint64], random: np.random.Generator, names: np.random.Generator
) -> NDArray[np.uint64]:
    numbers = _numbers(groups.count, names)
    weights = 1 / np.arange(1, groups.count + 1) ** groups.zipf
    chosen = numbers[_by_share(list(weights), len(alone), random)]
    return np.where(random.random(len(alone)) < groups.share, chosen, alone)


def _reconnect(clients: Clients, terms: LoadPlan, streams: Streams, n: int, targets: int) -> Clients:
    reconnect = terms.reconnects[n]
    at_us = int(reconnect.at_s * SECOND_US)
    standing = np.flatnonzero((clients["start_us"] < at_us) & (clients["end_us"] > at_us))
    few = min(reconnect.clients, len(standing))
    dropped = streams.of(PART, "dropped", n).choice(standing, few, replace=False)
    starts = _returns(reconnect, at_us, streams.of(PART, "returns", n))
    back = clients[dropped]
    # Half way there: all at one moment, the ends alone would keep the load from its starts.
    clients["end_us"][dropped] = np.minimum((at_us + starts[:few]) // 2, back["end_us"])
    # What is left of the time for which it wants its connection counts from its return.
    back["end_us"] += starts[:few] - at_us
    back["start_us"] = starts[:few]
    _address(back, targets, streams.of(PART, "back-idents", n), streams.of(PART, "back-front", n))
    others = _clients(terms, streams, "reconnects", n, starts[few:], targets)
    back["again"] = others["again"] = True
    return np.concatenate([clients, back, others])


def _returns(reconnect: Reconnect, at_us: int, random: np.random.Generator) -> NDArray[np.int64]:
    within = random.uniform(0, reconnect.within_s, reconnect.clients)
    return at_us + np.asarray(np.round(within * SECOND_US), dtype=np.int64)
