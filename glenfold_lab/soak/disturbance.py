"""What happens beside the faults of a scenario: signals in series and a crowd; and what relays keep."""

import random
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import psutil  # type: ignore[import-untyped]
import trio

from glenfold_lab.soak.day import SOCKETS, Day
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.relays import RelayProcess
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.sockets import reset_on_close

LOOK_S = 0.05
CROWD = SOCKETS + 40  # idle clients
CROWD_AT_S = (3.0, 6.0)
CROWD_LASTS_S = 3.0
BETWEEN_SERIES_S = (0.5, 2.5)
IN_SERIES = (2, 6)  # signals
BETWEEN_SIGNALS_S = (0.0, 0.1)
LOOK_GAP_S = 1.0  # between looks at descriptors
KEPT_LOOKS = 4  # in a row: a relay ends the other side of a connection within a second


@dataclass(slots=True)
class Disturbance:
    """Of one run. `signals` counts what was sent, `crowded` the idle clients that came up."""

    day: Day
    seed: int
    signals: Counter[str] = field(default_factory=Counter)
    crowded: int = 0
    _chance: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._chance = random.Random(f"signals {self.seed}")

    async def run(self, relays: Sequence[RelayProcess], seen: Seen, clock: MachineClock) -> None:
        """From the start of the history, until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reload_and_count, relays)
            nursery.start_soon(self._signal_those_that_stop, relays)
            nursery.start_soon(watch_descriptors, relays, seen, clock)
            if self.day.crowd:
                nursery.start_soon(self._crowd, relays)

    async def _reload_and_count(self, relays: Sequence[RelayProcess]) -> None:
        """SIGHUP and SIGUSR1 in series, to one relay after the other."""
        while True:
            await trio.sleep(self._chance.uniform(*BETWEEN_SERIES_S))
            relay = self._chance.choice(relays)
            for _ in range(self._chance.randint(*IN_SERIES)):
                name = self._chance.choice(["SIGHUP", "SIGUSR1"])
                self._send(relay, name)
                await trio.sleep(self._chance.uniform(*BETWEEN_SIGNALS_S))

    async def _signal_those_that_stop(self, relays: Sequence[RelayProcess]) -> None:
        """A relay that was told to end is told again, and more."""
        told: set[int] = set()
        while True:
            await trio.sleep(LOOK_S)
            for relay in relays:
                if not relay.stopping:
                    told.discard(relay.number)
                elif relay.number not in told:
                    told.add(relay.number)
                    for _ in range(self._chance.randint(*IN_SERIES)):
                        if not (relay.stopping and relay.running):  # its next process has begun
                            break
                        self._send(relay, self._chance.choice(["SIGTERM", "SIGINT", "SIGHUP", "SIGUSR1"]))
                        await trio.sleep(self._chance.uniform(*BETWEEN_SIGNALS_S))

    def _send(self, relay: RelayProcess, name: str) -> None:
        self.signals[name] += 1
        relay.signal(name)

    async def _crowd(self, relays: Sequence[RelayProcess]) -> None:
        """Idle clients fill the descriptors of one relay, and leave together."""
        await trio.sleep(self._chance.uniform(*CROWD_AT_S))
        sockets = list[trio.socket.SocketType]()
        while not (taking := [relay for relay in relays if relay.running and not relay.stopping]):
            await trio.sleep(LOOK_S)
        relay = self._chance.choice(taking)
        try:
            for _ in range(CROWD):
                sock = trio.socket.socket()
                sockets.append(sock)
                with suppress(OSError):
                    await sock.connect(relay.listen)
                    self.crowded += 1
            await trio.sleep(CROWD_LASTS_S)
        finally:
            for sock in sockets:
                reset_on_close(sock)
                sock.close()


async def watch_descriptors(relays: Sequence[RelayProcess], seen: Seen, clock: MachineClock) -> None:
    """A connection whose other end closed it has to be closed by the relay too."""
    looks: Counter[tuple[int, object, object]] = Counter()
    while True:
        await trio.sleep(LOOK_GAP_S)
        now = Counter({one: looks[one] + 1 for relay in relays for one in half_closed(relay)})
        for (process, near, far), count in now.items():
            if count == KEPT_LOOKS:
                number = next(relay.number for relay in relays if relay.process_id == process)
                seen.fault(clock.now_us(), number, f"{near} keeps what {far} has closed")
        looks = now


def half_closed(relay: RelayProcess) -> list[tuple[int, object, object]]:
    """Process, its address and the other's, of connections that the other end has closed."""
    if not relay.running or relay.stalled:
        return []
    with suppress(psutil.Error):
        found = psutil.Process(relay.process_id).net_connections("tcp4")
        return [
            (relay.process_id, one.laddr, one.raddr) for one in found if one.status == psutil.CONN_CLOSE_WAIT
        ]
    return []
