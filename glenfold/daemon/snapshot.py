"""Snapshots of the destination set on durable disk: loaded at the start and written from then on.

A worker thread, not the event loop, does the file operations, one at a time and always with the newest state.
Nothing waits for the thread, so a disk that is full, read-only or slow only affects the snapshots.
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
from glenfold.daemon.snapshot_files import Files, LockedElsewhere, Store
from glenfold.destinations import BadList
from glenfold.rules.history import History
from glenfold.rules.snapshots import Owner, Snapshot, SnapshotRefused, TooLarge, WriteSchedule
from linnetspread import interface

READ_TIMEOUT_S = 2.0  # Limits the read at the start.
SLOW_WRITE_S = 1.0  # A write that takes longer is logged.
LAST_WRITE_TIMEOUT_S = 0.25  # Limits the last write, after everything else has finished.
REFRESHES_PER_MAX_AGE = 10  # Writes of an unchanged list within its maximum age.


@dataclass(frozen=True, slots=True)
class SnapshotOptions:
    """The settings of an instance's snapshots.

    `folder` is on a disk that outlives the process, and may be shared by instances of other names. `every_s`
    is the minimum time between two writes, except when a server leaves. A snapshot is used up to `max_age_s`
    after discovery last confirmed its list. `max_bytes` limits one file; there are at most three files.
    """

    folder: Path
    fleet: str
    every_s: float = 5.0
    max_age_s: float = 86_400.0
    max_bytes: int = 16 << 20


class Snapshots:
    """Loads and writes the snapshots of one process.

    Call `load_newest` before the process runs, and run `run_writer` as its background task. `wall_clock`
    returns the Unix time in seconds.
    """

    def __init__(
        self,
        options: SnapshotOptions,
        files: Files | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.options = options
        self._files = files or Files()
        self._wall_clock = wall_clock
        self._write_schedule = WriteSchedule(
            options.every_s, max(options.every_s, options.max_age_s / REFRESHES_PER_MAX_AGE)
        )
        self._history = History()
        self._wake = trio.Event()
        self._ending = False
        self._list_received_at = -math.inf  # The last list received by this process, on trio's clock.
        self._earlier_confirmed_at = -math.inf  # When discovery last confirmed the loaded list, in Unix time.
        self._departed_on_disk: dict[int, int] = {}  # By departed server, its start time as on disk.
        self.generation = 0
        self._on_disk_confirmed_at = -math.inf  # When discovery last confirmed the list on disk.
        self._write_started_at = math.inf
        self._problem = ""
        self._refused: list[str] = []
        self.loaded: Snapshot | None = None

    # ---- loading at the start ----

    async def load_newest(self, process: Process) -> None:
        """Loads the newest valid snapshot before the first client.

        The snapshot takes precedence over a list in the configuration, whose age is unknown.
        """
        relay = process.relay
        self._process = process
        owner = Owner(self.options.fleet, relay.config.name)
        self._store = Store(self.options.folder, owner, self.options.max_bytes, self._files)
        relay.destinations.list_callbacks.append(self._on_list)
        process.life.watches.append(self._on_life_change)
        found: list[Snapshot | SnapshotRefused | None] = []
        with trio.move_on_at(trio.current_time() + READ_TIMEOUT_S) as reading:
            found = await trio.to_thread.run_sync(self._store.read, abandon_on_cancel=True)
        if reading.cancelled_caught:
            self._refuse(
                "", SnapshotRefused("unreadable", f"the disk did not answer within {READ_TIMEOUT_S:g} s")
            )
        server_list = self._newest(found)
        if server_list is not None:
            relay.config = replace(relay.config, known={})
            await relay.decisions.submit(server_list)

    def _newest(self, found: list[Snapshot | SnapshotRefused | None]) -> interface.ServerList | None:
        readable: list[tuple[Snapshot, str]] = []
        for path, file in zip(self._store.paths, found, strict=False):
            if isinstance(file, SnapshotRefused):
                self._refuse(path.name, file)
            elif file is not None:
                readable.append((file, path.name))
        readable.sort(key=lambda entry: entry[0].generation, reverse=True)
        for snapshot, name in readable:
            try:
                snapshot.check_age(self._wall_clock(), self.options.max_age_s)
                server_list = self._process.relay.destinations.restore(snapshot.document, snapshot.left)
            except (SnapshotRefused, BadList) as error:
                self._refuse(
                    name,
                    error if isinstance(error, SnapshotRefused) else SnapshotRefused("damaged", str(error)),
                )
                continue
            self._on_loaded(snapshot, name)
            if len(readable) < 2 or not readable[0][0].has_same_content(readable[1][0]):
                # Writes a second copy, so that one damaged file brings back no departed server.
                self._write_schedule.changed(urgent=False)
            return server_list
        return None

    def _on_loaded(self, snapshot: Snapshot, name: str) -> None:
        self.loaded, self.generation = snapshot, snapshot.generation
        self._earlier_confirmed_at = self._on_disk_confirmed_at = snapshot.heard_at
        self._departed_on_disk = self._departed_starts()
        events.snapshot_taken(
            file=name, generation=snapshot.generation, age_s=self._wall_clock() - snapshot.heard_at
        )

    def _refuse(self, name: str, refused: SnapshotRefused) -> None:
        self._process.relay.counters.snapshots_refused += 1
        self._refused.append(refused.reason)
        events.snapshot_refused(file=name, error=refused)

    # ---- tracking changes ----

    def _on_list(self, server_list: interface.ServerList) -> None:
        has_departed = self._history.record(server_list)
        if server_list.kind is interface.ListKind.CACHED:
            return
        self._list_received_at = trio.current_time()
        self._write_schedule.changed(
            urgent=has_departed
            or any(
                server.state is not interface.ServerState.READY
                and server.started_us > self._departed_on_disk.get(server.server, -1)
                for server in server_list.servers
            )
        )
        self._wake.set()

    def _on_life_change(self, before: Life, now: Life) -> None:
        if now in (Life.DRAINING, Life.STOPPED):
            self._write_schedule.mark_urgent()
            self._wake.set()

    def _departed_starts(self) -> dict[int, int]:
        return {
            server: started_us
            for server, (_, started_us) in self._process.relay.destinations.state().departed.items()
        }

    def _list_confirmed_at(self) -> float:
        """Returns when discovery last confirmed the list, in Unix time by the current wall clock."""
        ago = trio.current_time() - max(self._list_received_at, self._process.discovery.heard_at)
        return max(self._earlier_confirmed_at, self._wall_clock() - ago)

    # ---- writing ----

    async def run_writer(self, process: Process) -> None:
        """Writes snapshots until it is cancelled, and then for up to LAST_WRITE_TIMEOUT_S the last one."""
        async with trio.open_nursery() as nursery:
            writing = trio.CancelScope(shield=True)
            nursery.start_soon(self._write_all, writing)
            try:
                await trio.sleep_forever()
            finally:
                self._ending = True
                self._wake.set()
                writing.deadline = trio.current_time() + LAST_WRITE_TIMEOUT_S

    async def _write_all(self, scope: trio.CancelScope) -> None:
        written = True
        with scope:
            while await self._wait_until_due() and not (self._ending and not written):
                written = await self._write()
        if not scope.cancelled_caught:
            self._store.close()  # Otherwise a thread may still write: exiting releases the lock.

    async def _wait_until_due(self) -> bool:
        """Waits until the next write is due. Returns False if no further write follows."""
        while not self._ending:
            now, due = trio.current_time(), self._write_schedule.due_at()
            if due <= now:
                if self._write_schedule.copies or self._list_confirmed_at() > self._on_disk_confirmed_at:
                    return True
                self._write_schedule.skipped(now)
                continue
            self._wake = trio.Event()
            with trio.move_on_at(due):
                await self._wake.wait()
        return self._write_schedule.copies > 0

    async def _write(self) -> bool:
        started_at = self._write_started_at = trio.current_time()
        before = self._write_schedule.begin(started_at)
        heard_at, starts = self._list_confirmed_at(), self._departed_starts()
        state, history = self._process.relay.destinations.state(), self._history.section()
        error: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_if_slow, started_at + SLOW_WRITE_S)
            try:
                self.generation = await trio.to_thread.run_sync(
                    self._store.save, heard_at, state, history, abandon_on_cancel=True
                )
            except (OSError, TooLarge, LockedElsewhere, ValueError) as caught:
                error = caught
            nursery.cancel_scope.cancel()
        self._write_started_at = math.inf
        if error is not None:
            self._failed(error, before)
            return False
        self._write_schedule.ended(trio.current_time())
        self._process.relay.counters.snapshots += 1
        self._departed_on_disk, self._on_disk_confirmed_at = starts, heard_at
        if self._problem:
            self._problem = ""
            events.snapshot_written_again(generation=self.generation)
        return True

    def _failed(self, error: Exception, before: WriteSchedule) -> None:
        self._write_schedule.failed(trio.current_time(), before)
        if not isinstance(error, LockedElsewhere):
            self._process.relay.counters.snapshots_failed += 1
        self._report(f"not written: {error}")

    async def _report_if_slow(self, at: float) -> None:
        await trio.sleep_until(at)
        self._process.relay.counters.snapshots_slow += 1
        self._report("the disk lets it wait")

    def _report(self, problem: str) -> None:
        """Logs a problem once, until another problem occurs or a snapshot is written."""
        if problem != self._problem:
            events.snapshot_waits(fault=problem)
        self._problem = problem

    def status(self) -> dict[str, Any]:
        """Returns the part of the instance's status about snapshots.

        `age_s` is the time since discovery confirmed the list on disk; it is null if there is none. `waits`
        is true if a received change is not on disk yet. `writing_s` is the duration of the current write, or
        null.
        """
        now = trio.current_time()
        return {
            "folder": str(self.options.folder),
            "generation": self.generation,
            "age_s": self._wall_clock() - self._on_disk_confirmed_at
            if self._on_disk_confirmed_at > -math.inf
            else None,
            "waits": self._write_schedule.copies > 0,
            "writing_s": now - self._write_started_at if self._write_started_at < math.inf else None,
            "fault": self._problem or None,
            "taken": self.loaded.generation if self.loaded else None,
            "refused": list(self._refused),
        }
