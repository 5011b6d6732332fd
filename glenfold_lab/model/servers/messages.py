"""The delay of messages at all servers, and the share that is answered within the aim of its class."""

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.model.fleet import Machine
from glenfold_lab.model.network import Network

FULL = 0.995  # Above this utilization the delay is that of the backlog.

Floats = NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """The state of all servers at one time, by their index.

    Loads are microseconds of work per second on a standard core. `backlog_us` is the time that the backlog
    takes, infinite where no work is done. `answers` is whether a server can answer, by the zone of the relay.
    """

    demand: Floats
    capacity: Floats
    used: Floats  # Utilization of the capacity, with set-ups.
    backlog_us: Floats
    answers: NDArray[np.bool_]


class Messages:
    """The fixed part of the message delays of each server."""

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
        """Returns the mean wait behind other messages, in microseconds.

        This is Sakasegawa's approximation for a queue with several cores, times the burstiness of messages.
        """
        # Rounding may leave the sum of added and removed loads slightly below 0.
        cores, part = np.array(self._cores), np.clip(used, 0.0, FULL)
        queueing = part ** (np.sqrt(2 * (cores + 1)) - 1) / (cores * (1 - part))
        waits: Floats = np.array(self._own) * np.array(self._burst) * queueing
        return waits

    def share_within_aim(self, now: ServerSnapshot) -> Floats:
        """Returns the share of messages within the aim, of shape (servers, zones, classes).

        The zone is that of the relays. Every message takes the fixed time; the wait beyond it has an
        exponential tail.
        """
        fixed = (np.array(self._own) + now.backlog_us)[:, None] + np.array(self._ways)
        remaining = self._aims - fixed[:, :, None]
        tail = np.maximum(self.waits(now.used), 1.0)[:, None, None]
        shares: Floats = np.where(remaining > 0, -np.expm1(-np.maximum(remaining, 0) / tail), 0.0)
        return shares * now.answers[:, :, None]

    def message_work_us(self, server: int) -> float:
        """Returns the processing time of one message at this server, without waits."""
        return self._own[server]
