"""Draws the clients of a history and their arrival times, independently of what relays decide."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.model.draw import value
from glenfold_lab.model.fleet import HistoryParameters
from glenfold_lab.model.kernel import SECOND_US
from glenfold_lab.spec import Scenario
from glenfold_lab.streams import Streams

Floats = NDArray[np.float64]
Integers = NDArray[np.int64]
Keys = NDArray[np.uint64]

STANDING, ARRIVING = 0, 1
SIZE_BIASED = (
    1.0  # A connection observed at a random time is longer than average, in proportion to its length.
)


@dataclass(frozen=True, slots=True)
class Drawn:
    """Drawn clients in order of arrival, as columns of equal length.

    `at` and `until` are the times in microseconds of the first request and of the end of the client's demand.
    `request_class`, `scheme` and `zone` are indices in the scenario. `group` is 0 for none. `load` is the
    usual load in microseconds per second. `pace` and `rejoin` are the client's positions (0 to 1) in the
    ranges of the backoff and of the reconnection delay.
    """

    at: Integers
    until: Integers
    request_class: Integers
    scheme: Integers
    zone: Integers
    key: Keys
    group: Keys
    load: Floats
    pace: Floats
    rejoin: Floats
    honours: NDArray[np.bool_]


class Population:
    """The clients of a history. Times are those of the kernel's clock; the history starts at `start`.

    The number of clients that want a connection stays about the same if `shape` is steady: the connections at
    the start and the arrivals follow from one arrival rate and one distribution of lifetimes.
    """

    def __init__(
        self, scenario: Scenario, parameters: HistoryParameters, streams: Streams, start: int
    ) -> None:
        self._scenario = scenario
        self._clients = scenario.clients
        self._parameters = parameters
        self._streams = streams
        self._start = start
        self._length = round(scenario.length_s * SECOND_US)
        self._rate = parameters.new_per_us
        self._life_sigma = self._value("life_sigma")
        self._swing = self._value("swing")
        self._swing_at = float(streams.of("clients", "swing").uniform())
        self._honour = self._value("honour")
        self._class_shares = _shares([kind.share for kind in scenario.classes])
        self._load_sigma = np.array(
            [
                value(kind.load_sigma, streams.of("classes", "load_sigma", number))
                for number, kind in enumerate(scenario.classes)
            ]
        )
        self._scheme_shares = _shares(
            [
                scheme.share * value(scheme.usage, streams.of("clients", "usage", number))
                for number, scheme in enumerate(scenario.schemes)
            ]
            or [1.0]
        )
        self._zone_shares = self._skewed_zones()
        self._group_shares, self._group_keys = self._draw_groups()

    def _value(self, name: str) -> float:
        return value(getattr(self._clients, name), self._streams.of("clients", name))

    @property
    def mean_connections(self) -> float:
        """The mean number of clients that want a connection at the same time."""
        return self._rate * self._parameters.life_us

    def _skewed_zones(self) -> Floats:
        zones, random = len(self._scenario.zones.names), self._streams.of("clients", "zone_skew")
        skew = value(self._clients.zone_skew, random)
        spread = np.linspace(-1.0, 1.0, zones) if zones > 1 else np.zeros(1)
        return _shares(1 + skew * random.permutation(spread))

    def _draw_groups(self) -> tuple[Floats, Keys]:
        random = self._streams.of("clients", "group_keys")
        if not self._clients.groups:
            return np.ones(1), np.zeros(1, np.uint64)
        count = max(1, round(self.mean_connections / self._parameters.group_size))
        sizes = np.arange(1, count + 1) ** -self._value("group_zipf")
        return _shares(sizes), _draw_keys(random, count)

    # ---- the clients ----

    def standing(self) -> Drawn:
        """Draws the clients whose connections were established before the history."""
        count = round(self.mean_connections) if self._clients.standing else 0
        at = np.full(count, self._start)
        random = self._streams.of("clients", "lives", STANDING)
        remaining_life = random.uniform(size=count) * self._lives(random, count, SIZE_BIASED)
        return self._drawn(at, remaining_life, STANDING)

    def arrivals(self, step_us: int) -> Iterator[Drawn]:
        """Yields the arriving clients in steps of `step_us`."""
        arrivals = self._streams.of("clients", "arrivals")
        lives = self._streams.of("clients", "lives", ARRIVING)
        for step_start in range(0, self._length, step_us):
            step_end = min(step_start + step_us, self._length)
            mean = (
                self._rate
                * (step_end - step_start)
                * self._relative_rate((step_start + step_end) / 2 / self._length)
            )
            count = int(arrivals.poisson(mean))
            at = self._start + np.sort(arrivals.integers(step_start, step_end, size=count))
            yield self._drawn(at, self._lives(lives, count, 0.0), ARRIVING)

    def _relative_rate(self, position: float) -> float:
        """Returns the arrival rate, relative to its mean, at a position (0 to 1) within the history."""
        if self._clients.shape == "ramp":
            return 1 + self._swing * (2 * position - 1)
        return 1 + self._swing * math.sin(2 * math.pi * (position + self._swing_at))

    def _lives(self, random: np.random.Generator, count: int, biased: float) -> Floats:
        sigma = self._life_sigma
        middle = math.log(self._parameters.life_us) + (biased - 0.5) * sigma * sigma
        return random.lognormal(middle, sigma, count)

    def _drawn(self, at: Integers, life: Floats, stream: int) -> Drawn:
        count = len(at)

        def of(purpose: str) -> np.random.Generator:
            return self._streams.of("clients", purpose, stream)

        classes = _draw_indices(of("classes"), self._class_shares, count)
        sigma = self._load_sigma[classes]
        spread = np.exp(sigma * of("loads").standard_normal(count) - sigma * sigma / 2)
        return Drawn(
            at=at,
            until=at + np.minimum(life, 1e15).astype(np.int64) + 1,
            request_class=classes,
            scheme=_draw_indices(of("schemes"), self._scheme_shares, count),
            zone=_draw_indices(of("zones"), self._zone_shares, count),
            key=_draw_keys(of("keys"), count),
            group=self._group_keys[_draw_indices(of("groups"), self._group_shares, count)],
            load=np.array(self._parameters.class_load)[classes] * spread,
            pace=of("paces").uniform(size=count),
            rejoin=of("rejoins").uniform(size=count),
            honours=of("honours").uniform(size=count) < self._honour,
        )


def _shares(weights: list[float] | NDArray[np.floating[Any]]) -> Floats:
    """Returns the cumulative shares; the last one is 1."""
    sums = np.cumsum(weights)
    return np.asarray(sums / sums[-1])


def _draw_indices(random: np.random.Generator, shares: Floats, count: int) -> Integers:
    return np.searchsorted(shares, random.uniform(size=count), side="right").astype(np.int64)


def _draw_keys(random: np.random.Generator, count: int) -> Keys:
    """Draws keys. 0 is excluded, as it stands for no key."""
    return random.integers(1, 1 << 64, size=count, dtype=np.uint64)
