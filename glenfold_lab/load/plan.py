"""Draws a load in advance: when each client starts, what it requests, and how long it stays connected."""

from collections.abc import Sequence

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.load.plan_options import DAY_S, Arrivals, Groups, LoadPlan, Reconnect, rates
from glenfold_lab.streams import Streams

SECOND_US = 1_000_000
STREAM_PREFIX = "load"

# The record of one client. Times are microseconds from the load's start; a line_gap_us of 0 sends no lines;
# class, scheme and target are indexes into their lists.
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


def length_us(options: LoadPlan) -> int:
    """Returns the time from the load's start to the latest possible start of a client."""
    ends = [arrivals.at_s + arrivals.for_s for arrivals in options.arrivals]
    ends += [reconnect.at_s + reconnect.within_s for reconnect in options.reconnects]
    return int(max(ends) * SECOND_US)


def draw(options: LoadPlan, seed: int, targets: int) -> Clients:
    """Returns the clients of one seed in order of their starts, one CLIENT record each.

    Each arrivals and reconnects entry draws from random streams of its own, so that adding an entry changes
    no client of the others.
    """
    streams = Streams(seed)
    parts = [_draw_arrivals(options, streams, index, targets) for index in range(len(options.arrivals))]
    clients = np.concatenate(parts)
    for index in sorted(range(len(options.reconnects)), key=lambda index: options.reconnects[index].at_s):
        clients = _reconnect(clients, options, streams, index, targets)
    return clients[np.argsort(clients["start_us"], kind="stable")]


def _starts(arrivals: Arrivals, rng: np.random.Generator) -> NDArray[np.int64]:
    """Returns the times at which the integral of the rate reaches a count.

    The counts are the integers for a constant process, uniformly drawn for a Poisson process.
    """
    first, last = rates(arrivals)
    total = (first + last) / 2 * arrivals.for_s
    if arrivals.process == "poisson":
        counts = np.sort(rng.uniform(0, total, rng.poisson(total)))
    else:
        counts = np.arange(int(total + 1e-9), dtype=float)
    # Solves count = first * t + (last - first) / (2 * for_s) * t^2 for t, in the form that is also valid for
    # a slope of 0.
    slope = (last - first) / arrivals.for_s
    root = np.sqrt(np.maximum(first * first + 2 * slope * counts, 0))
    times_s = 2 * counts / np.maximum(first + root, 1e-12) + arrivals.at_s
    return np.asarray(np.round(times_s * SECOND_US), dtype=np.int64)


def _draw_arrivals(options: LoadPlan, streams: Streams, index: int, targets: int) -> Clients:
    starts = _starts(options.arrivals[index], streams.of(STREAM_PREFIX, "starts", index))
    return _draw_clients(options, streams, "arrivals", index, starts, targets)


def _draw_clients(
    options: LoadPlan, streams: Streams, part: str, index: int, starts: NDArray[np.int64], targets: int
) -> Clients:
    count = len(starts)

    def rng_for(purpose: str) -> np.random.Generator:
        return streams.of(f"{STREAM_PREFIX}/{part}", purpose, index)

    clients = np.zeros(count, CLIENT)
    kinds = _by_share([kind.share for kind in options.classes], count, rng_for("classes"))
    clients["start_us"], clients["class"] = starts, kinds
    clients["wait_us"] = np.array([kind.wait_ms * 1000 for kind in options.classes])[kinds]
    clients["line_gap_us"] = np.array([kind.line_gap_ms * 1000 for kind in options.classes])[kinds]
    clients["end_us"] = starts + _lifetimes_us(options, kinds, rng_for("lives"))
    clients["scheme"] = _by_share([scheme.share for scheme in options.schemes], count, rng_for("schemes"))
    clients["key"] = _random_ids(count, rng_for("keys"))
    clients["group"] = (
        clients["key"]
        if options.groups is None
        else _groups(options.groups, clients["key"], rng_for("groups"), streams.of(STREAM_PREFIX, "groups"))
    )
    _assign_ids_and_targets(clients, targets, rng_for("idents"), rng_for("front"))
    return clients


def _random_ids(count: int, rng: np.random.Generator) -> NDArray[np.uint64]:
    return rng.integers(0, 1 << 64, count, dtype=np.uint64)


def _assign_ids_and_targets(
    clients: Clients, targets: int, ident_rng: np.random.Generator, front_rng: np.random.Generator
) -> None:
    """Draws what differs for every connection: its id, and the relay to which the front routes it."""
    clients["ident"] = _random_ids(len(clients), ident_rng)
    clients["target"] = front_rng.integers(0, targets, len(clients))


def _by_share(shares: Sequence[float], count: int, rng: np.random.Generator) -> NDArray[np.int64]:
    if not shares:
        return np.zeros(count, np.int64)
    weights = np.asarray(shares, dtype=float)
    return rng.choice(len(weights), count, p=weights / weights.sum())


def _lifetimes_us(options: LoadPlan, kinds: NDArray[np.int64], rng: np.random.Generator) -> NDArray[np.int64]:
    mean = np.array([kind.life_s for kind in options.classes])[kinds]
    sigma = np.array([kind.life_sigma for kind in options.classes])[kinds]
    spread = np.exp(sigma * rng.standard_normal(len(kinds)) - sigma * sigma / 2)
    return np.asarray(np.minimum(mean * spread, DAY_S) * SECOND_US, dtype=np.int64)


def _groups(
    groups: Groups, own_keys: NDArray[np.uint64], rng: np.random.Generator, id_rng: np.random.Generator
) -> NDArray[np.uint64]:
    numbers = _random_ids(groups.count, id_rng)
    weights = 1 / np.arange(1, groups.count + 1) ** groups.zipf
    chosen = numbers[_by_share(list(weights), len(own_keys), rng)]
    return np.where(rng.random(len(own_keys)) < groups.share, chosen, own_keys)


def _reconnect(clients: Clients, options: LoadPlan, streams: Streams, index: int, targets: int) -> Clients:
    reconnect = options.reconnects[index]
    at_us = int(reconnect.at_s * SECOND_US)
    standing = np.flatnonzero((clients["start_us"] < at_us) & (clients["end_us"] > at_us))
    returning_count = min(reconnect.clients, len(standing))
    dropped = streams.of(STREAM_PREFIX, "dropped", index).choice(standing, returning_count, replace=False)
    starts = _return_times(reconnect, at_us, streams.of(STREAM_PREFIX, "returns", index))
    returning = clients[dropped]
    # Each old connection ends halfway to its return: closing all at once would delay the load's own starts.
    clients["end_us"][dropped] = np.minimum((at_us + starts[:returning_count]) // 2, returning["end_us"])
    # The remaining lifetime of the connection counts from the client's return.
    returning["end_us"] += starts[:returning_count] - at_us
    returning["start_us"] = starts[:returning_count]
    _assign_ids_and_targets(
        returning,
        targets,
        streams.of(STREAM_PREFIX, "back-idents", index),
        streams.of(STREAM_PREFIX, "back-front", index),
    )
    newcomers = _draw_clients(options, streams, "reconnects", index, starts[returning_count:], targets)
    returning["again"] = newcomers["again"] = True
    return np.concatenate([clients, returning, newcomers])


def _return_times(reconnect: Reconnect, at_us: int, rng: np.random.Generator) -> NDArray[np.int64]:
    within = rng.uniform(0, reconnect.within_s, reconnect.clients)
    return at_us + np.asarray(np.round(within * SECOND_US), dtype=np.int64)
