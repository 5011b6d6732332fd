"""Measures the service of the push servers against the demand of clients."""

import math

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.servers.calls import TICK_US, PushServers
from glenfold_lab.model.servers.messages import Floats
from glenfold_lab.results import Series
from glenfold_lab.spec import Scenario

WINDOW_US = 10 * SECOND_US
MAX_SERIES_STEPS = 400  # A longer history has longer steps.
MAX_SERVER_SERIES = 50  # Servers with a series of their own.
MAX_LOAD_RATIO = 100.0  # Cap of the ratio of load to capacity when the capacity is near 0.
PERCENTILES = (10, 50, 90, 100)
GOAL_SERVICE, GOAL_WINDOW, GOAL_CLASS, GOAL_SCHEME = 0.35, 0.35, 0.2, 0.1


class Service:
    """Counts the served and the wanted connections at every tick. Implements `wire.DemandCounter`.

    Both are weighted by the worth of each connection's class. Connections of a scheme beyond its share count
    `Rules.over_share_worth`. A connection counts as served by the share of its messages that are answered
    within the aim of its class.
    """

    def __init__(self, scenario: Scenario, kernel: Kernel, servers: PushServers) -> None:
        self._kernel, self._servers = kernel, servers
        self._over_worth = scenario.rules.over_share_worth
        self._worth = np.array([kind.worth for kind in scenario.classes])
        self._quotas = np.array(servers.fleet.parameters.quotas or [math.inf])
        self._names = [kind.name for kind in scenario.classes], [scheme.name for scheme in scenario.schemes]
        self._end = kernel.start + int(scenario.length_s * SECOND_US)
        self._counted_from = kernel.start + int(scenario.warm_up_s * SECOND_US)
        self._wants = [[0] * len(self._quotas) for _ in scenario.classes]
        ticks = math.ceil(scenario.length_s * SECOND_US / TICK_US)
        self._per_step = max(1, math.ceil(ticks / MAX_SERIES_STEPS))
        # By tick: served and wanted, each of shape (classes, schemes), and standing connections.
        self._served: list[Floats] = []
        self._wanted: list[Floats] = []
        self._counts: list[tuple[int, int]] = []  # Wanted and standing connections.
        self._counted: list[bool] = []
        self._loads: list[Floats] = []  # By step: the sum of each server's loads over the ticks.

    def wanted(self, request_class: int, scheme: int, change: int) -> None:
        self._wants[request_class][scheme] += change

    def tick(self) -> None:
        """Advances the servers and adds the results of the tick that ends now.

        Nothing is added after the length of the history, which may run on until all requests are answered.
        """
        snapshot = self._servers.tick()
        if self._kernel.now > self._end:
            return
        placed = self._servers.placed.table()
        share_within_aim = self._servers.messages.share_within_aim(snapshot)
        wants = np.array(self._wants, dtype=np.float64)
        served = np.einsum("nzkt,nzk->kt", placed, share_within_aim)
        factors = self._within_share(placed.sum(axis=(0, 1, 2)).astype(np.float64))
        self._served.append(served * self._worth[:, None] * factors)
        self._wanted.append(wants * self._worth[:, None] * self._within_share(wants.sum(axis=0)))
        self._counts.append((int(wants.sum()), int(placed.sum())))
        self._counted.append(self._kernel.now > self._counted_from)
        self._add_loads(snapshot.demand, snapshot.capacity)

    def _within_share(self, connections: Floats) -> Floats:
        """Returns the mean worth of a connection of each scheme, by its number of connections."""
        within = np.minimum(connections, self._quotas)
        counted = within + self._over_worth * (connections - within)
        each: Floats = np.divide(counted, connections, out=np.ones_like(connections), where=connections > 0)
        return each

    def _add_loads(self, demand: Floats, capacity: Floats) -> None:
        limit = np.where(capacity > 0, capacity, 1.0)
        loads = np.where(demand > 0, np.minimum(demand / limit, MAX_LOAD_RATIO), 0.0)
        if len(self._served) % self._per_step == 1 % self._per_step:
            self._loads.append(loads)
            return
        before = self._loads[-1]
        self._loads[-1] = loads + np.pad(before, (0, len(loads) - len(before)))

    # ---- results ----

    def figures(self) -> dict[str, float]:
        """Returns the figures of the history, as shares of the demand (1 without demand).

        `service` is that of the whole history, `worst_window` that of its worst 10 s, `worst_class` and
        `worst_scheme` those of the worst class and scheme, and `goal` a weighted mean of these. There is one
        more figure for each class and scheme.
        """
        counted = np.array(self._counted, dtype=bool)
        shape = (len(self._worth), len(self._quotas))
        served, wanted = (
            np.array(table).reshape(-1, *shape)[counted] for table in (self._served, self._wanted)
        )
        classes, schemes = (
            _shares(served.sum(axis=axes), wanted.sum(axis=axes)) for axes in ((0, 2), (0, 1))
        )
        overall = float(_shares(served.sum(), wanted.sum()))
        window = _worst_window(served.sum(axis=(1, 2)), wanted.sum(axis=(1, 2)))
        worst = overall, window, float(classes.min()), float(schemes.min())
        parts = zip((GOAL_SERVICE, GOAL_WINDOW, GOAL_CLASS, GOAL_SCHEME), worst, strict=True)
        figures = dict(zip(("service", "worst_window", "worst_class", "worst_scheme"), worst, strict=True))
        figures["goal"] = sum(weight * share for weight, share in parts)
        for names, shares in zip(self._names, (classes, schemes), strict=True):
            figures |= {f"service {name}": float(share) for name, share in zip(names, shares, strict=False)}
        return figures

    def series(self) -> dict[str, Series]:
        """Returns series by step: the service as a share of the demand, and mean counts."""
        served, wanted = (
            np.array([table.sum() for table in tables]) for tables in (self._served, self._wanted)
        )
        wants, stands = np.array(self._counts, dtype=np.float64).reshape(-1, 2).T
        return {
            "service": self._series(_shares(self._steps(served), self._steps(wanted)), "service"),
            "wanted": self._series(self._means(wants), "connections wanted"),
            "connections": self._series(self._means(stands), "standing connections"),
        }

    def server_load(self) -> dict[str, Series]:
        """Returns the load of each host relative to its capacity at that time (1 is full).

        For a large fleet these are percentiles over all servers, such as "p50", and the servers with the
        highest mean.
        """
        machines = self._servers.fleet.machines
        rows = np.array([np.pad(row, (0, len(machines) - len(row))) for row in self._loads])
        rows = rows.reshape(-1, len(machines)) / self._lengths()[:, None]
        if len(machines) <= MAX_SERVER_SERIES:
            return {machine.host: self._series(rows[:, machine.index], machine.host) for machine in machines}
        found = {
            f"p{part}": self._series(np.percentile(rows, part, axis=1), f"{part} % of servers are below")
            for part in PERCENTILES
        }
        worst = np.argsort(-rows.mean(axis=0), kind="stable")[:MAX_SERVER_SERIES]
        return found | {machines[n].host: self._series(rows[:, n], machines[n].host) for n in sorted(worst)}

    def _lengths(self) -> NDArray[np.int64]:
        """Returns the lengths of the steps in ticks; the last one may be shorter."""
        ticks = np.arange(len(self._served))
        return np.bincount(ticks // self._per_step)

    def _steps(self, by_tick: Floats) -> Floats:
        steps = np.arange(len(by_tick)) // self._per_step
        sums: Floats = np.bincount(steps, weights=by_tick).astype(np.float64)
        return sums

    def _means(self, by_tick: Floats) -> Floats:
        means: Floats = self._steps(by_tick) / self._lengths()
        return means

    def _series(self, values: Floats, label: str) -> Series:
        return Series(TICK_US * self._per_step, tuple(round(float(value), 6) for value in values), label)


def _shares(served: Floats, wanted: Floats) -> Floats:
    """Returns served over wanted, at most 1.

    A server may still hold the connection of a client that no longer wants it.
    """
    shares: Floats = np.divide(served, wanted, out=np.ones_like(wanted), where=wanted > 0)
    return np.minimum(shares, 1.0)


def _worst_window(served: Floats, wanted: Floats) -> float:
    length = min(len(served), WINDOW_US // TICK_US)
    if not length:
        return 1.0
    sums = [np.convolve(values, np.ones(length), "valid") for values in (served, wanted)]
    return float(_shares(*sums).min())
