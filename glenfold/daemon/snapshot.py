"""Snapshots of the destination set on durable disk: taken up at the start, kept from then on.

The event loop does no file operation: a worker thread does, one at a time and with the newest state. Nothing
waits for it, so a disk that is full, read-only or slow costs the snapshots only.
"""

import math
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import trio

from glenfold import events
from glenfold.daemon.life import State as Life
from glenfold.daemon.process import Process
from glenfold.daemon.snapshot_files import Files, HeldElsewhere, Store
from glenfold.destinations import BadList
from glenfold.rules.history import History
from glenfold.rules.snapshots import Owner, Snapshot, SnapshotRefused, TooLarge, WriteSchedule
from linnetspread import interface as i

READ_S = 2.0  # for the disk to answer at the start
SLOW_S = 1.0  # of a write, before it is said
LAST_S = 0.25  # for the last write, after all else is over
REFRESHES = 10  # within the greatest age


@dataclass(frozen=True, slots=True)
class Terms:
    """`folder` is on a disk that outlives the process, and may be shared by instances of other names.
    `every_s`: between two writes, unless a server leaves. `max_age_s`: since discovery last said that the
    list holds. `max_bytes`: of one file; there are three at the most."""

    folder: Path
    fleet: str
    every_s: float = 5.0
    max_age_s: float = 86_400.0
    max_bytes: int = 16 << 20


class Snapshots:
    """`take_up` before the process runs, `keep` as its companion. `wall` tells Unix seconds."""

    def __init__(
        self, terms: Terms, files: Files | None = None, wall: Callable[[], float] = time.time
    ) -> None:
        self.terms = terms
        self._files = files or Files()
        self._wall = wall
        self._pace = WriteSchedule(terms.every_s, max(terms.every_s, terms.max_age_s / REFRESHES))
        self._history = History()
        self._wake = trio.Event()
        self._ending = False
        self._list_at = -math.inf  # the last list in this life, on trio's clock
        self._known_at = -math.inf  # when discovery last told another life, in Unix seconds
        self._saved_left: dict[int, int] = {}  # the starts after which servers left, as on the disk
        self.generation = 0
        self._on_disk_at = -math.inf  # when what is on the disk was last heard of
        self._writing_from = math.inf
        self._fault = ""
        self._refused: list[str] = []
        self.taken: Snapshot | None = None

    # ---- the start ----

    async def take_up(self, process: Process) -> None:
        """Before the first client. The newest snapshot that is not refused goes before a list in the
        configuration, which is of no known age."""
        relay = process.relay
        self._process = process
        owner = Owner(self.terms.fleet, relay.config.name)
        self._store = Store(self.terms.folder, owner, self.terms.max_bytes, self._files)
        relay.destinations.watches.append(self._heard)
        process.life.watches.append(self._lives)
        found: list[Snapshot | SnapshotRefused | None] = []
        with trio.move_on_at(trio.current_time() + READ_S) as reading:
            found = await trio.to_thread.run_sync(self._store.read, abandon_on_cancel=True)
        if reading.cancelled_caught:
            self._refuse("", SnapshotRefused("unreadable", f"the disk did not answer within {READ_S:g} s"))
        told = self._newest(found)
        if told is not None:
            relay.config = replace(relay.config, known={})
            await relay.decisions.tell(told)

    def _newest(self, found: list[Snapshot | SnapshotRefused | None]) -> i.ServerList | None:
        whole: list[tuple[Snapshot, str]] = []
        for path, file in zip(self._store.places, found, strict=False):
            if isinstance(file, SnapshotRefused):
                self._refuse(path.name, file)
            elif file is not None:
                whole.append((file, path.name))
        whole.sort(key=lambda named: named[0].generation, reverse=True)
        for snapshot, name in whole:
            try:
                snapshot.check_age(self._wall(), self.terms.max_age_s)
                told = self._process.relay.destinations.restore(snapshot.document, snapshot.left)
            except (SnapshotRefused, BadList) as error:
                self._refuse(
                    name,
                    error if isinstance(error, SnapshotRefused) else SnapshotRefused("damaged", str(error)),
                )
                continue
            self._took(snapshot, name)
            if len(whole) < 2 or not whole[0][0].has_same_content(whole[1][0]):
                self._pace.changed(urgent=False)  # one damaged file must not bring back who left
            return told
        return None

    def _took(self, snapshot: Snapshot, name: str) -> None:
        self.taken, self.generation = snapshot, snapshot.generation
        self._known_at = self._on_disk_at = snapshot.heard_at
        self._saved_left = self._starts()
        events.snapshot_taken(
            file=name, generation=snapshot.generation, age_s=self._wall() - snapshot.heard_at
        )

    def _refuse(self, name: str, refused: SnapshotRefused) -> None:
        self._process.relay.counters.snapshots_refused += 1
        self._refused.append(refused.reason)
        events.snapshot_refused(file=name, error=refused)

    # ---- what there is to write ----

    def _heard(self, told: i.ServerList) -> None:
        left = self._history.record(told)
        if told.kind is i.ListKind.CACHED:
            return
        self._list_at = trio.current_time()
        self._pace.changed(
            urgent=left
            or any(
                line.state is not i.ServerState.READY
                and line.started_us > self._saved_left.get(line.server, -1)
                for line in told.servers
            )
        )
        self._wake.set()

    def _lives(self, before: Life, now: Life) -> None:
        if now in (Life.DRAINING, Life.STOPPED):
            self._pace.mark_urgent()
            self._wake.set()

    def _starts(self) -> dict[int, int]:
        return {
            server: started_us
            for server, (_, started_us) in self._process.relay.destinations.state().left.items()
        }

    def _heard_at(self) -> float:
        """In Unix seconds, by the clock as it stands now."""
        ago = trio.current_time() - max(self._list_at, self._process.discovery.heard_at)
        return max(self._known_at, self._wall() - ago)

    # ---- writing ----

    async def keep(self, process: Process) -> None:
        """Until it is cancelled, and for the last write up to `LAST_S` longer."""
        async with trio.open_nursery() as nursery:
            writing = trio.CancelScope(shield=True)
            nursery.start_soon(self._write_all, writing)
            try:
                await trio.sleep_forever()
            finally:
                self._ending = True
                self._wake.set()
                writing.deadline = trio.current_time() + LAST_S

    async def _write_all(self, scope: trio.CancelScope) -> None:
        written = True
        with scope:
            while await self._due() and not (self._ending and not written):
                written = await self._write()
        if not scope.cancelled_caught:
            self._store.close()  # else a thread may still write, and the lock goes with the process

    async def _due(self) -> bool:
        """Waits until a write is to begin. False when none is to come any more."""
        while not self._ending:
            now, due = trio.current_time(), self._pace.due_at()
            if due <= now:
                if self._pace.copies or self._heard_at() > self._on_disk_at:
                    return True
                self._pace.skipped(now)
                continue
            self._wake = trio.Event()
            with trio.move_on_at(due):
                await self._wake.wait()
        return self._pace.copies > 0

    async def _write(self) -> bool:
        began = self._writing_from = trio.current_time()
        before = self._pace.begin(began)
        heard_at, starts = self._heard_at(), self._starts()
        state, history = self._process.relay.destinations.state(), self._history.section()
        error: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._say_if_slow, began + SLOW_S)
            try:
                self.generation = await trio.to_thread.run_sync(
                    self._store.save, heard_at, state, history, abandon_on_cancel=True
                )
            except (OSError, TooLarge, HeldElsewhere, ValueError) as caught:
                error = caught
            nursery.cancel_scope.cancel()
        self._writing_from = math.inf
        if error is not None:
            self._failed(error, before)
            return False
        self._pace.ended(trio.current_time())
        self._process.relay.counters.snapshots += 1
        self._saved_left, self._on_disk_at = starts, heard_at
        if self._fault:
            self._fault = ""
            events.snapshot_written_again(generation=self.generation)
        return True

    def _failed(self, error: Exception, before: WriteSchedule) -> None:
        self._pace.failed(trio.current_time(), before)
        if not isinstance(error, HeldElsewhere):
            self._process.relay.counters.snapshots_failed += 1
        self._say(f"not written: {error}")

    async def _say_if_slow(self, at: float) -> None:
        await trio.sleep_until(at)
        self._process.relay.counters.snapshots_slow += 1
        self._say("the disk lets it wait")

    def _say(self, fault: str) -> None:
        """Once, until another fault comes or a snapshot is written."""
        if fault != self._fault:
            events.snapshot_waits(fault=fault)
        self._fault = fault

    def status(self) -> dict[str, Any]:
        """`age_s`: since discovery said that what is on the disk holds; null: nothing is there. `waits`: what
        was heard since is not on the disk. `writing_s`: for how long a write has been under way."""
        now = trio.current_time()
        return {
            "folder": str(self.terms.folder),
            "generation": self.generation,
            "age_s": self._wall() - self._on_disk_at if self._on_disk_at > -math.inf else None,
            "waits": self._pace.copies > 0,
            "writing_s": now - self._writing_from if self._writing_from < math.inf else None,
            "fault": self._fault or None,
            "taken": self.taken.generation if self.taken else None,
            "refused": list(self._refused),
        }
