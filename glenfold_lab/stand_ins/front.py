"""A stand-in for the front on sockets: checks relays by PING and spreads clients over the admitted ones.

Every process of clients has a front. The front learns of a relay's death only after some time, of a planned
restart soon, and of a relay that is back by its PONG.
"""

from collections.abc import Callable, Sequence

import numpy as np
import trio

from glenfold_lab.model.draw import value
from glenfold_lab.model.front import Front
from glenfold_lab.model.relay_hosts import FRONT_REMOVAL_S
from glenfold_lab.spec import Range
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.ping import PingResult, ping
from glenfold_lab.stand_ins.sockets import Address

# The intervals between two checks of a relay that is not admitted, and of one that is.
ABSENT_POLL_INTERVAL_S = 0.05
ADMITTED_POLL_INTERVAL_S = 0.5

ChangeCallback = Callable[[int], None]


class SocketFront:
    """Chooses relays for clients by the model's `Front`, and follows real relays.

    `zones` holds each relay's zone. `notice_s` is the time from a relay's death until the front notices.
    The callbacks in `on_change` are called with a relay whenever it is admitted or removed.
    """

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
        """The relays that receive new connections."""
        return [relay for relay in range(len(self._addresses)) if self._model.admits(relay)]

    def address(self, relay: int) -> Address:
        """Returns the address at which clients reach the relay."""
        return self._addresses[relay]

    def reaches(self, relay: int) -> bool:
        """Returns whether packets pass between the relay and its clients."""
        return relay not in self._cut_off

    def relay_for(self, zone: int, key: int, turn: int, other_than: int) -> int | None:
        """Returns the relay for a connection, as `Front.choose_relay`; None while no relay is admitted."""
        return self._model.choose_relay(zone, key, turn, other_than)

    async def watch(self, admitted: trio.Event) -> None:
        """Follows the relays until it is cancelled; sets `admitted` once every relay is admitted."""
        async with trio.open_nursery() as nursery:
            for relay in range(len(self._addresses)):
                nursery.start_soon(self._watch_relay, relay)
            while len(self.admitted) < len(self._addresses):
                await trio.sleep(ABSENT_POLL_INTERVAL_S)
            admitted.set()

    # ---- restarts and cuts of relays ----

    async def retire(self, relay: int) -> None:
        """Removes a relay that was told to stop, after the short delay with which the front learns of it.

        The front admits the relay again only after its old process has exited.
        """
        self._leaving.add(relay)
        await self._wait(value(FRONT_REMOVAL_S, self._random))
        self._remove(relay)

    async def cut_off(self, relay: int, until: int) -> None:
        """Blocks packets between the relay and clients until the time `until`; the front notices later."""
        self._cut_off.add(relay)
        noticed = self._clock.now_us() + int(self._draw_notice_s() * SECOND_US)
        await self._clock.until(min(noticed, until))
        if noticed < until:
            self._remove(relay)
        await self._clock.until(until)
        self._cut_off.discard(relay)

    async def has_relay_exited(self, relay: int) -> bool:
        """Returns whether the relay's process has exited, as a refused connection shows.

        The result is cached for `ABSENT_POLL_INTERVAL_S`.
        """
        checked_at, has_exited = self._process_checks.get(relay, (0, False))
        if self._clock.now_us() - checked_at > ABSENT_POLL_INTERVAL_S * SECOND_US:
            has_exited = await ping(self._addresses[relay]) is PingResult.REFUSED
            self._process_checks[relay] = self._clock.now_us(), has_exited
        return has_exited

    async def wait_until_settled(self, relay: int) -> None:
        """Waits until packets for a relay that died or is unreachable arrive somewhere again.

        That is the case once the relay is removed or back.
        """
        while self._model.admits(relay) and (not self.reaches(relay) or await self.has_relay_exited(relay)):
            with trio.move_on_at(trio.current_time() + ABSENT_POLL_INTERVAL_S):
                await self._change_events[relay].wait()

    # ---- health checks ----

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
        """Returns whether the relay may be alive; a stopped or cut-off process refuses no connection."""
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
