"""Controls the relays of one run: starts them, carries out the script's actions and samples their usage."""

from collections.abc import Sequence

import trio

from glenfold_lab.model.draw import value
from glenfold_lab.results import Happened
from glenfold_lab.stand_ins.addresses import Addresses, ListFormatter
from glenfold_lab.stand_ins.agent import full_list_document
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.relays import RelayProcess
from glenfold_lab.stand_ins.script import Action, Script
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.streams import Streams

POLL_INTERVAL_S = 0.05  # Time between two checks that all relays still run.
SAMPLE_INTERVAL_S = 1.0
# SIGKILL follows SIGTERM after MIN_STOP_US or the longest deadline, whichever is longer, plus STOP_MARGIN_US.
MIN_STOP_US = 3_000_000
STOP_MARGIN_US = 700_000


class RelayController:
    """Starts, stops and restarts the relays of one run.

    `_down` has the numbers of the relays that are not expected to run. `start` is the start of the history on
    the machine's clock.
    """

    def __init__(
        self,
        script: Script,
        seed: int,
        relays: Sequence[RelayProcess],
        addresses: Addresses,
        seen: Seen,
        clock: MachineClock,
    ) -> None:
        streams = Streams(seed)
        self.happened: list[Happened] = []
        self._script, self._addresses, self._seen, self._clock = script, addresses, seen, clock
        self._relays = relays
        self._seeds = [streams.of("relays", "seed", relay.number) for relay in relays]
        self._down: set[int] = set()
        longest = max(round(kind.deadline_ms * 1000) for kind in script.scenario.classes)
        self._stop_us = max(MIN_STOP_US, longest) + STOP_MARGIN_US

    @property
    def up(self) -> int:
        return sum(relay.running for relay in self._relays)

    async def start_all(self) -> None:
        """Starts all relays and returns once they have answered PING."""
        formatter = ListFormatter(self._script, self._addresses, 0)
        async with trio.open_nursery() as nursery:
            for relay in self._relays:
                self._start(relay, formatter, 0)
                nursery.start_soon(relay.ready)

    def _start(self, relay: RelayProcess, formatter: ListFormatter, at: int) -> None:
        initial_list = full_list_document(*formatter.held_list(relay.number, at))
        relay.start(initial_list, int(self._seeds[relay.number].integers(1 << 63)))

    async def run(self, start: int) -> None:
        """Carries out the script's actions and watches the relays until the task is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_crashes, start)
            nursery.start_soon(self._sample)
            for action in self._script.relays:
                nursery.start_soon(self._carry_out, action, start)

    async def _carry_out(self, action: Action, start: int) -> None:
        await self._clock.until(start + action.at)
        relay = self._relays[action.target]
        if action.target in self._down:
            return
        if action.kind == "stall":
            return await self._stall(relay, int(action.value))
        self._down.add(action.target)
        if action.kind == "crash":
            await relay.crash()
        else:
            await relay.stop(self._clock.now_us() + self._stop_us)
        await self._restart(relay, int(action.value), start)

    async def _restart(self, relay: RelayProcess, down_us: int, start: int) -> None:
        """Starts the relay again after `down_us`, with the list that its agent held when the relay ended."""
        ended_at = self._clock.now_us() - start
        await self._clock.until(start + ended_at + down_us)
        self._start(relay, ListFormatter(self._script, self._addresses, start), ended_at)
        await relay.ready()
        self._down.discard(relay.number)

    async def _stall(self, relay: RelayProcess, us: int) -> None:
        until = self._clock.now_us() + us
        self._seen.stalled(self._clock.now_us(), relay.number, until)
        relay.stall()
        await self._clock.until(until)
        relay.go_on()

    async def _watch_for_crashes(self, start: int) -> None:
        """Restarts relays that end by themselves, as these have crashed, like relays that were killed."""
        restarts = Streams(len(self._relays)).of("relays", "unasked")
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(POLL_INTERVAL_S)
                for relay in self._relays:
                    if relay.number in self._down or relay.running:
                        continue
                    self._down.add(relay.number)
                    self._report_crash(relay, start)
                    down_us = value(self._script.scenario.relays.restart_s, restarts) * SECOND_US
                    nursery.start_soon(self._restart, relay, int(down_us), start)

    def _report_crash(self, relay: RelayProcess, start: int) -> None:
        now = self._clock.now_us()
        cause = "killed for its memory" if relay.killed_for_memory else "its process ended unasked"
        self.happened.append(Happened(f"relay {cause}", now - start, relays=(relay.number,)))
        if relay.killed_for_memory:
            self._seen.relay_exited(now, relay.number)
        else:
            self._seen.relay_down(now, relay.number)
        self._seen.fault(now, relay.number, "\n".join([cause, *relay.tail()[-5:]]))

    async def _sample(self) -> None:
        deadline = trio.current_time()
        while True:
            deadline += SAMPLE_INTERVAL_S
            await trio.sleep_until(deadline)
            for relay in self._relays:
                if relay.number not in self._down:
                    relay.sample(SAMPLE_INTERVAL_S)
