"""Keeps the relays of one run: starts them, does to them what the script says, and watches what they use."""

from collections.abc import Sequence

import trio

from glenfold_lab.model.draw import value
from glenfold_lab.results import Happened
from glenfold_lab.stand_ins.agent import full_list_document
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.places import Places, Wording
from glenfold_lab.stand_ins.relays import RelayProcess
from glenfold_lab.stand_ins.script import Deed, Script
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.streams import Streams

LOOK_S = 0.05  # between two looks whether all still run
SAMPLE_S = 1.0
LEAST_STOP_US = 3_000_000  # SIGKILL comes so long after SIGTERM, or the longest deadline, and
BEYOND_US = 700_000  # so much later


class Keeper:
    """`down` names relays that are not expected to run. start: of the history, on the machine's clock."""

    def __init__(
        self,
        script: Script,
        seed: int,
        relays: Sequence[RelayProcess],
        places: Places,
        seen: Seen,
        clock: MachineClock,
    ) -> None:
        streams = Streams(seed)
        self.happened: list[Happened] = []
        self._script, self._places, self._seen, self._clock = script, places, seen, clock
        self._relays = relays
        self._seeds = [streams.of("relays", "seed", relay.number) for relay in relays]
        self._down: set[int] = set()
        longest = max(round(kind.deadline_ms * 1000) for kind in script.scenario.classes)
        self._stop_us = max(LEAST_STOP_US, longest) + BEYOND_US

    @property
    def up(self) -> int:
        return sum(relay.running for relay in self._relays)

    async def start_all(self) -> None:
        """Returns once all have answered PING."""
        wording = Wording(self._script, self._places, 0)
        async with trio.open_nursery() as nursery:
            for relay in self._relays:
                self._start(relay, wording, 0)
                nursery.start_soon(relay.ready)

    def _start(self, relay: RelayProcess, wording: Wording, at: int) -> None:
        known = full_list_document(*wording.known(relay.number, at))
        relay.start(known, int(self._seeds[relay.number].integers(1 << 63)))

    async def run(self, start: int) -> None:
        """Until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, start)
            nursery.start_soon(self._sample)
            for deed in self._script.relays:
                nursery.start_soon(self._do, deed, start)

    async def _do(self, deed: Deed, start: int) -> None:
        await self._clock.until(start + deed.at)
        relay = self._relays[deed.who]
        if deed.who in self._down:
            return
        if deed.what == "stall":
            return await self._stall(relay, int(deed.value))
        self._down.add(deed.who)
        if deed.what == "crash":
            relay.crash()
        else:
            await relay.stop(self._clock.now_us() + self._stop_us)
        await self._come_back(relay, int(deed.value), start)

    async def _come_back(self, relay: RelayProcess, down_us: int, start: int) -> None:
        """With the list that its agent held when it went."""
        went = self._clock.now_us() - start
        await self._clock.until(start + went + down_us)
        self._start(relay, Wording(self._script, self._places, start), went)
        await relay.ready()
        self._down.discard(relay.number)

    async def _stall(self, relay: RelayProcess, us: int) -> None:
        until = self._clock.now_us() + us
        self._seen.stalled(self._clock.now_us(), relay.number, until)
        relay.stall()
        await self._clock.until(until)
        relay.go_on()

    async def _watch(self, start: int) -> None:
        """Whoever ends unasked has crashed; it starts again like one that was killed."""
        restarts = Streams(len(self._relays)).of("relays", "unasked")
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(LOOK_S)
                for relay in self._relays:
                    if relay.number in self._down or relay.running:
                        continue
                    self._down.add(relay.number)
                    self._note_end(relay, start)
                    down_us = value(self._script.scenario.relays.restart_s, restarts) * SECOND_US
                    nursery.start_soon(self._come_back, relay, int(down_us), start)

    def _note_end(self, relay: RelayProcess, start: int) -> None:
        now = self._clock.now_us()
        why = "killed for its memory" if relay.killed_for_memory else "its process ended unasked"
        self.happened.append(Happened(f"relay {why}", now - start, relays=(relay.number,)))
        if not relay.killed_for_memory:
            self._seen.relay_down(now, relay.number)
        self._seen.fault(now, relay.number, "\n".join([why, *relay.tail()[-5:]]))

    async def _sample(self) -> None:
        due = trio.current_time()
        while True:
            due += SAMPLE_S
            await trio.sleep_until(due)
            for relay in self._relays:
                if relay.number not in self._down:
                    relay.sample(SAMPLE_S)
