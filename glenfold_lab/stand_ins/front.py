"""The front on sockets: knows relays by PING, and spreads clients over those that it admits.

Every process of clients has one. It learns of a death only some time after it happened, of a planned restart
at once, and of a relay that is back by its PONG.
"""

from collections.abc import Callable, Sequence

import numpy as np
import trio

from glenfold_lab.model.draw import value
from glenfold_lab.model.front import Front
from glenfold_lab.model.relay_hosts import FRONT_TOLD_S
from glenfold_lab.spec import Range
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.ping import PingResult, ping
from glenfold_lab.stand_ins.sockets import Address

ABSENT_POLL_INTERVAL_S = 0.05  # between two looks for a relay that is not admitted
ADMITTED_POLL_INTERVAL_S = 0.5  # and at one that is

ChangeCallback = Callable[[int], None]


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
        self._model = Front(zones)
        self._addresses = addresses
        self._notice_s = notice_s
        self._random = random
        self._clock = clock
        self._leaving: set[int] = set()
        self._cut_off: set[int] = set()
        self._change_events = [trio.Event() for _ in addresses]
        self._process_checks: dict[int, tuple[int, bool]] = {}
        self.on_change: list[ChangeCallback] = []

    @property
    def admitted(self) -> list[int]:
        return [relay for relay in range(len(self._addresses)) if self._model.admits(relay)]

    def address(self, relay: int) -> Address:
        return self._addresses[relay]

    def reaches(self, relay: int) -> bool:
        """Whether packets pass between it and its clients."""
        return relay not in self._cut_off

    def relay_for(self, zone: int, key: int, turn: int, other_than: int) -> int | None:
        """Where a connection goes; None while no relay is admitted. As `Front.relay_for`."""
        return self._model.relay_for(zone, key, turn, other_than)

    async def watch(self, admitted: trio.Event) -> None:
        """Until it is cancelled; `admitted` is set once it has admitted every relay."""
        async with trio.open_nursery() as nursery:
            for relay in range(len(self._addresses)):
                nursery.start_soon(self._watch_relay, relay)
            while len(self.admitted) < len(self._addresses):
                await trio.sleep(ABSENT_POLL_INTERVAL_S)
            admitted.set()

    # ---- what befalls relays ----

    async def retire(self, relay: int) -> None:
        """It has been told to stop: the front hears of it soon, and admits it again once it was gone."""
        self._leaving.add(relay)
        await self._wait(value(FRONT_TOLD_S, self._random))
        self._remove(relay)

    async def cut_off(self, relay: int, until: int) -> None:
        """No packet passes between it and clients until that moment; the front knows later."""
        self._cut_off.add(relay)
        noticed = self._clock.now_us() + int(self._draw_notice_s() * SECOND_US)
        await self._clock.until(min(noticed, until))
        if noticed < until:
            self._remove(relay)
        await self._clock.until(until)
        self._cut_off.discard(relay)

    async def has_relay_exited(self, relay: int) -> bool:
        """Whether its process is gone, as who asks for a connection there finds out."""
        checked_at, has_exited = self._process_checks.get(relay, (0, False))
        if self._clock.now_us() - checked_at > ABSENT_POLL_INTERVAL_S * SECOND_US:
            has_exited = await ping(self._addresses[relay]) is PingResult.REFUSED
            self._process_checks[relay] = self._clock.now_us(), has_exited
        return has_exited

    async def wait_until_settled(self, relay: int) -> None:
        """Returns once packets for this relay, which died or can't be reached, go somewhere again: it is
        taken out, or back."""
        while self._model.admits(relay) and (not self.reaches(relay) or await self.has_relay_exited(relay)):
            with trio.move_on_at(trio.current_time() + ABSENT_POLL_INTERVAL_S):
                await self._change_events[relay].wait()

    # ---- its knowledge ----

    async def _watch_relay(self, relay: int) -> None:
        while True:
            if not self._model.admits(relay):
                await self._poll_absent(relay)
            elif not await self._is_alive(relay):
                await self._wait(max(0.0, self._draw_notice_s() - ADMITTED_POLL_INTERVAL_S / 2))
                if not await self._is_alive(relay):
                    self._remove(relay)
            else:
                await self._wait(ADMITTED_POLL_INTERVAL_S)

    async def _poll_absent(self, relay: int) -> None:
        found = await ping(self._addresses[relay])
        if found is PingResult.REFUSED:
            self._leaving.discard(relay)
        if found is PingResult.ANSWERED and self.reaches(relay) and relay not in self._leaving:
            self._model.admit(relay)
            self._report_change(relay)
        else:
            await self._wait(ABSENT_POLL_INTERVAL_S)

    async def _is_alive(self, relay: int) -> bool:
        """A process that is stopped, or behind a cut, refuses nobody."""
        return not self.reaches(relay) or await ping(self._addresses[relay]) is not PingResult.REFUSED

    def _draw_notice_s(self) -> float:
        return value(self._notice_s, self._random)

    async def _wait(self, seconds: float) -> None:
        await trio.sleep_until(trio.current_time() + seconds)

    def _remove(self, relay: int) -> None:
        if self._model.admits(relay):
            self._model.remove(relay)
            self._report_change(relay)

    def _report_change(self, relay: int) -> None:
        event, self._change_events[relay] = self._change_events[relay], trio.Event()
        event.set()
        for callback in self.on_change:
            callback(relay)
