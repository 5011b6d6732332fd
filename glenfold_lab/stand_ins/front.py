"""The front on sockets: knows relays by PING, and spreads clients over those that it admits.

Every process of clients has one. It learns of a death only some time after it happened, of a planned restart
at once, and of a relay that is back by its PONG.
"""

from collections.abc import Callable, Sequence

import numpy as np
import trio

from glenfold_lab.model.draw import value
from glenfold_lab.model.front import Front
from glenfold_lab.model.relay_hosts import FRONT_REMOVAL_S
from glenfold_lab.spec import Range
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.ping import Ping, ping
from glenfold_lab.stand_ins.sockets import Address

FIND_S = 0.05  # between two looks for a relay that is not admitted
CHECK_S = 0.5  # and at one that is

Changed = Callable[[int], None]


class SocketFront:
    """zones: of each relay. notice_s: from a relay's death until the front knows. `on_change` is called with
    a relay whenever it comes in or goes out."""

    def __init__(
        self,
        zones: Sequence[int],
        addresses: Sequence[Address],
        notice_s: Range,
        random: np.random.Generator,
        clock: MachineClock,
    ) -> None:
        self._spread = Front(zones)
        self._addresses = addresses
        self._notice_s = notice_s
        self._random = random
        self._clock = clock
        self._leaving: set[int] = set()
        self._cut_off: set[int] = set()
        self._settled = [trio.Event() for _ in addresses]
        self._looks: dict[int, tuple[int, bool]] = {}
        self.on_change: list[Changed] = []

    @property
    def admitted(self) -> list[int]:
        return [relay for relay in range(len(self._addresses)) if self._spread.admits(relay)]

    def address(self, relay: int) -> Address:
        return self._addresses[relay]

    def reaches(self, relay: int) -> bool:
        """Whether packets pass between it and its clients."""
        return relay not in self._cut_off

    def relay_for(self, zone: int, key: int, turn: int, other_than: int) -> int | None:
        """Where a connection goes; None while no relay is admitted. As `Front.choose_relay`."""
        return self._spread.choose_relay(zone, key, turn, other_than)

    async def watch(self, admitted: trio.Event) -> None:
        """Until it is cancelled; `admitted` is set once it has admitted every relay."""
        async with trio.open_nursery() as nursery:
            for relay in range(len(self._addresses)):
                nursery.start_soon(self._mind, relay)
            while len(self.admitted) < len(self._addresses):
                await trio.sleep(FIND_S)
            admitted.set()

    # ---- what befalls relays ----

    async def retire(self, relay: int) -> None:
        """It has been told to stop: the front hears of it soon, and admits it again once it was gone."""
        self._leaving.add(relay)
        await self._wait(value(FRONT_REMOVAL_S, self._random))
        self._take_out(relay)

    async def cut_off(self, relay: int, until: int) -> None:
        """No packet passes between it and clients until that moment; the front knows later."""
        self._cut_off.add(relay)
        noticed = self._clock.now_us() + int(self._notice() * SECOND_US)
        await self._clock.until(min(noticed, until))
        if noticed < until:
            self._take_out(relay)
        await self._clock.until(until)
        self._cut_off.discard(relay)

    async def died(self, relay: int) -> bool:
        """Whether its process is gone, as who asks for a connection there finds out."""
        looked, gone = self._looks.get(relay, (0, False))
        if self._clock.now_us() - looked > FIND_S * SECOND_US:
            gone = await ping(self._addresses[relay]) is Ping.REFUSED
            self._looks[relay] = self._clock.now_us(), gone
        return gone

    async def settled(self, relay: int) -> None:
        """Returns once packets for this relay, which died or can't be reached, go somewhere again: it is
        taken out, or back."""
        while self._spread.admits(relay) and (not self.reaches(relay) or await self.died(relay)):
            with trio.move_on_at(trio.current_time() + FIND_S):
                await self._settled[relay].wait()

    # ---- its knowledge ----

    async def _mind(self, relay: int) -> None:
        while True:
            if not self._spread.admits(relay):
                await self._find(relay)
            elif not await self._lives(relay):
                await self._wait(max(0.0, self._notice() - CHECK_S / 2))
                if not await self._lives(relay):
                    self._take_out(relay)
            else:
                await self._wait(CHECK_S)

    async def _find(self, relay: int) -> None:
        found = await ping(self._addresses[relay])
        if found is Ping.REFUSED:
            self._leaving.discard(relay)
        if found is Ping.ANSWERED and self.reaches(relay) and relay not in self._leaving:
            self._spread.admit(relay)
            self._changed(relay)
        else:
            await self._wait(FIND_S)

    async def _lives(self, relay: int) -> bool:
        """A process that is stopped, or behind a cut, refuses nobody."""
        return not self.reaches(relay) or await ping(self._addresses[relay]) is not Ping.REFUSED

    def _notice(self) -> float:
        return value(self._notice_s, self._random)

    async def _wait(self, seconds: float) -> None:
        await trio.sleep_until(trio.current_time() + seconds)

    def _take_out(self, relay: int) -> None:
        if self._spread.admits(relay):
            self._spread.remove(relay)
            self._changed(relay)

    def _changed(self, relay: int) -> None:
        settled, self._settled[relay] = self._settled[relay], trio.Event()
        settled.set()
        for call in self.on_change:
            call(relay)
