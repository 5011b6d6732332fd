"""How long messages take at all servers, and the share of them that come back within their class's aim."""

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.model.fleet import Machine
from glenfold_lab.model.network import Network

FULL = 0.995  # beyond this the wait is that of the work piled up

Floats = NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """All servers at one moment, by their index. Loads as parts of standard cores; pile_us: how long the
    work piled up takes, infinite where nothing is done; `answers`: by the relays' zone, whether it can."""

    demand: Floats
    capacity: Floats
    used: Floats  # of the capacity, with set-ups
    backlog_us: Floats
    answers: NDArray[np.bool_]


class Messages:
    """What does not change of each server's messages."""

    def __init__(self, network: Network, aims_us: list[float]) -> None:
        self._network = network
        self._aims = np.array(aims_us)
        self._own: list[float] = []
        self._burst: list[float] = []
        self._cores: list[float] = []
        self._ways: list[list[float]] = []

    def add_server(self, machine: Machine) -> None:
        kind = machine.kind
        self._own.append(kind.message_us / machine.speed)
        self._burst.append(kind.burst)
        self._cores.append(float(kind.cores))
        zones = range(len(self._network.names))
        self._ways.append([self._network.round_trip_us(zone, machine.zone) for zone in zones])

    def waits(self, used: Floats) -> Floats:
        """Mean wait behind other messages, microseconds: Sakasegawa's approximation of a queue with several
        cores, times the bursts in which messages come."""
        # Sums of loads that came and went may be a hair below 0.
        cores, part = np.array(self._cores), np.clip(used, 0.0, FULL)
        queueing = part ** (np.sqrt(2 * (cores + 1)) - 1) / (cores * (1 - part))
        waits: Floats = np.array(self._own) * np.array(self._burst) * queueing
        return waits

    def share_within_aim(self, now: ServerSnapshot) -> Floats:
        """Of shape (servers, zones, classes): of the messages of connections through that zone's relays. What
        is fixed of their time is passed by all; the wait beyond it has an exponential tail."""
        fixed = (np.array(self._own) + now.backlog_us)[:, None] + np.array(self._ways)
        left = self._aims - fixed[:, :, None]
        tail = np.maximum(self.waits(now.used), 1.0)[:, None, None]
        shares: Floats = np.where(left > 0, -np.expm1(-np.maximum(left, 0) / tail), 0.0)
        return shares * now.answers[:, :, None]

    def message_work_us(self, server: int) -> float:
        return self._own[server]
