"""Disturbs relays beside the faults of a scenario, with series of signals and a burst of idle clients.

A check of descriptors finds connections that a relay does not close.
"""

import random
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from glenfold_lab.soak.descriptors import DescriptorWatch
from glenfold_lab.soak.plan import MAX_SOCKETS, SoakPlan
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.relays import RelayProcess
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.sockets import reset_on_close

POLL_INTERVAL_S = 0.05
BURST_CLIENTS = MAX_SOCKETS + 40
BURST_START_RANGE_S = (3.0, 6.0)
BURST_LENGTH_S = 3.0
SERIES_PAUSE_RANGE_S = (0.5, 2.5)
SIGNALS_PER_SERIES_RANGE = (2, 6)
SIGNAL_PAUSE_RANGE_S = (0.0, 0.1)
CHECK_INTERVAL_S = 1.0  # Time between two checks of descriptors.


@dataclass(slots=True)
class Disturbance:
    """The disturbance of one run.

    `signals` counts the signals sent by name, `crowded` the idle clients that connected.
    """

    plan: SoakPlan
    seed: int
    signals: Counter[str] = field(default_factory=Counter)
    crowded: int = 0
    descriptors: DescriptorWatch = field(default_factory=lambda: DescriptorWatch(CHECK_INTERVAL_S))
    _rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._rng = random.Random(f"signals {self.seed}")

    async def run(self, relays: Sequence[RelayProcess], seen: Seen, clock: MachineClock) -> None:
        """Disturbs the relays from the start of the history until the task is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reload_and_count, relays)
            nursery.start_soon(self._signal_stopping_relays, relays)
            nursery.start_soon(self.descriptors.run, relays, seen, clock)
            if self.plan.has_client_burst:
                nursery.start_soon(self._send_client_burst, relays)

    async def _reload_and_count(self, relays: Sequence[RelayProcess]) -> None:
        """Sends series of SIGHUP and SIGUSR1, each series to one relay."""
        while True:
            await trio.sleep(self._rng.uniform(*SERIES_PAUSE_RANGE_S))
            relay = self._rng.choice(relays)
            for _ in range(self._rng.randint(*SIGNALS_PER_SERIES_RANGE)):
                name = self._rng.choice(["SIGHUP", "SIGUSR1"])
                self._send(relay, name)
                await trio.sleep(self._rng.uniform(*SIGNAL_PAUSE_RANGE_S))

    async def _signal_stopping_relays(self, relays: Sequence[RelayProcess]) -> None:
        """Sends further signals to each relay that is stopping."""
        signalled: set[int] = set()
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            for relay in relays:
                if not relay.stopping:
                    signalled.discard(relay.number)
                elif relay.number not in signalled:
                    signalled.add(relay.number)
                    for _ in range(self._rng.randint(*SIGNALS_PER_SERIES_RANGE)):
                        # A new process may have replaced the stopping one.
                        if not (relay.stopping and relay.running):
                            break
                        self._send(relay, self._rng.choice(["SIGTERM", "SIGINT", "SIGHUP", "SIGUSR1"]))
                        await trio.sleep(self._rng.uniform(*SIGNAL_PAUSE_RANGE_S))

    def _send(self, relay: RelayProcess, name: str) -> None:
        self.signals[name] += 1
        relay.signal(name)

    async def _send_client_burst(self, relays: Sequence[RelayProcess]) -> None:
        """Fills the descriptors of one relay with idle clients, which then disconnect together."""
        await trio.sleep(self._rng.uniform(*BURST_START_RANGE_S))
        sockets = list[trio.socket.SocketType]()
        while not (candidates := [relay for relay in relays if relay.running and not relay.stopping]):
            await trio.sleep(POLL_INTERVAL_S)
        relay = self._rng.choice(candidates)
        try:
            for _ in range(BURST_CLIENTS):
                sock = trio.socket.socket()
                sockets.append(sock)
                with suppress(OSError):
                    await sock.connect(relay.listen)
                    self.crowded += 1
            await trio.sleep(BURST_LENGTH_S)
        finally:
            for sock in sockets:
                reset_on_close(sock)
                sock.close()
