"""Disturbs relays beside the faults of a scenario, with series of signals and a burst of idle clients.

A check of descriptors finds connections that a relay does not close.
"""

import random
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import psutil  # type: ignore[import-untyped]
import trio

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
HALF_CLOSED_CHECKS = 4  # Consecutive checks; a relay ends the other side of a connection within 1 s.


@dataclass(slots=True)
class Disturbance:
    """The disturbance of one run.

    `signals` counts the signals sent by name, `crowded` the idle clients that connected.
    """

    plan: SoakPlan
    seed: int
    signals: Counter[str] = field(default_factory=Counter)
    crowded: int = 0
    _rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._rng = random.Random(f"signals {self.seed}")

    async def run(self, relays: Sequence[RelayProcess], seen: Seen, clock: MachineClock) -> None:
        """Disturbs the relays from the start of the history until the task is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reload_and_count, relays)
            nursery.start_soon(self._signal_stopping_relays, relays)
            nursery.start_soon(watch_descriptors, relays, seen, clock)
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


async def watch_descriptors(relays: Sequence[RelayProcess], seen: Seen, clock: MachineClock) -> None:
    """Reports connections that a relay keeps after the other end has closed them."""
    checks: Counter[tuple[int, object, object]] = Counter()
    while True:
        await trio.sleep(CHECK_INTERVAL_S)
        now = Counter(
            {connection: checks[connection] + 1 for relay in relays for connection in half_closed(relay)}
        )
        for (process, local, remote), count in now.items():
            if count == HALF_CLOSED_CHECKS:
                number = next(relay.number for relay in relays if relay.process_id == process)
                seen.fault(clock.now_us(), number, f"{local} keeps what {remote} has closed")
        checks = now


def half_closed(relay: RelayProcess) -> list[tuple[int, object, object]]:
    """Returns process, local and remote address of the connections that the other end has closed."""
    if not relay.running or relay.stalled:
        return []
    with suppress(psutil.Error):
        connections = psutil.Process(relay.process_id).net_connections("tcp4")
        return [
            (relay.process_id, connection.laddr, connection.raddr)
            for connection in connections
            if connection.status == psutil.CONN_CLOSE_WAIT
        ]
    return []
