"""One instance of an operators' file, as `glenfold run` runs it, with the features that the file enables.

The modules of optional features are imported only where the feature is enabled.
"""

import os
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

import trio

from glenfold import events, logs
from glenfold.config import Config, ConfigError
from glenfold.config.locations import InstanceLocation
from glenfold.config.operators import ConfigReload, OperatorsFile
from glenfold.daemon import listeners, lock, notify, takeover
from glenfold.daemon.process import BackgroundTask, MakeListSource, Process, run_by_signals


class Exit(IntEnum):
    """The exit status of `glenfold run`."""

    FINISHED = 0  # The instance was told to stop and has finished all accepted requests.
    FAILED = 1
    FILE = 2  # The file is faulty.
    RUNS = 3  # Another instance of that name runs and continues to.
    NO_LISTENER = 4  # The instance can't listen at a configured address.


@dataclass(frozen=True, slots=True)
class NameOwnership:
    """The ownership of an instance's name.

    `lock` is the descriptor of the name's lock. `ongoing_takeover` is the takeover that obtains the name,
    if there is one. Both are None if no folder is configured.
    """

    lock: int | None = None
    ongoing_takeover: takeover.Takeover | None = None


class Run:
    """One run of `glenfold run`. `number` is the instance's number in its fleet, or None without one."""

    def __init__(self, operators: OperatorsFile, number: int | None) -> None:
        self._operators = operators
        self._number = number
        self._location: InstanceLocation = operators.location(number)
        self._again = ConfigReload(operators, number)

    def main(self) -> Exit:
        """Runs the instance until it stops and returns the exit status."""
        logs.begin(self._log_options(), self._location.name)
        try:
            return trio.run(self._main)
        except ConfigError as error:
            events.config_refused(error=error)
            return Exit.FILE
        except (lock.NameHeld, takeover.Refused) as error:
            events.run_refused(error=error)
            return Exit.RUNS
        except listeners.BadListener as error:
            events.run_refused(error=error)
            return Exit.NO_LISTENER
        except OSError as error:
            events.run_refused(error=error)
            return Exit.FAILED
        finally:
            logs.finish()

    async def _main(self) -> Exit:
        notifier = notify.from_environment(os.environ, os.getpid())
        passed = listeners.from_environment(os.environ, os.getpid())
        config, restart = self._operators.config(self._number), self._operators.terms.restart
        name = await self._acquire_name(passed, trio.current_time() + restart.ready_s)
        if name.ongoing_takeover is None:
            found, _ = await takeover.obtain_listeners(
                None, self._location.listeners, passed, trio.current_time()
            )
        else:
            found = name.ongoing_takeover.listeners
        background_tasks: list[BackgroundTask] = [] if notifier is None else [notifier]
        process = Process(
            config,
            self._read_again,
            listeners=found,
            start_paused=name.ongoing_takeover is not None,
            background_tasks=background_tasks,
            deadline_s=restart.deadline_s,
            make_list_source=self._make_list_source(config),
        )
        background_tasks += await self._background_tasks(process, name)
        await run_by_signals(process)
        return (
            Exit.FINISHED
            if name.ongoing_takeover is None or name.ongoing_takeover.refused is None
            else Exit.RUNS
        )

    @staticmethod
    def _make_list_source(config: Config) -> MakeListSource | None:
        if config.parents is None:
            return None
        from glenfold.replica.relay_lists import RelayLists

        return RelayLists

    async def _acquire_name(self, passed: Sequence[socket.socket], by: float) -> NameOwnership:
        """Acquires the name, if necessary by a takeover from the process that holds it.

        Raises NameHeld and Refused.
        """
        if self._location.folder is None:
            return NameOwnership()
        try:
            return NameOwnership(lock.acquire(self._location.folder, self._location.name))
        except lock.NameHeld:
            if (location := self._takeover_location()) is None:
                raise
            wants = await listeners.resolve(self._location.listeners)
            new_takeover = await takeover.ask(location, wants, by, passed)
        if new_takeover is None:  # The holder offers no takeover, or has just exited.
            return NameOwnership(lock.acquire(self._location.folder, self._location.name))
        return NameOwnership(new_takeover.lock, new_takeover)

    def _takeover_location(self) -> takeover.TakeoverLocation | None:
        restart = self._operators.terms.restart
        if self._location.folder is None or not restart.take_over:
            return None
        return takeover.TakeoverLocation(self._location.folder, self._location.name, restart.ready_s)

    async def _background_tasks(self, process: Process, name: NameOwnership) -> list[BackgroundTask]:
        found: list[BackgroundTask] = []
        snapshots = None
        if self._location.snapshots is not None:
            from glenfold.daemon.snapshot import SnapshotOptions, Snapshots

            settings = self._operators.terms.snapshot
            snapshots = Snapshots(
                SnapshotOptions(
                    self._location.snapshots,
                    self._operators.terms.instance.name,
                    settings.every_s,
                    settings.most_age_s,
                    settings.most_mb << 20,
                )
            )
            await snapshots.load_newest(process)
            found.append(snapshots.run_writer)
        if (location := self._takeover_location()) is not None:
            found.append(takeover.TakeoverServer(location, name.lock, name.ongoing_takeover))
        if self._location.socket is not None:
            from glenfold.daemon.control import Control

            found.append(Control(self._location.socket, None if snapshots is None else snapshots.status))
        return found

    def _read_again(self, current: Config) -> tuple[Config, list[str]]:
        result = self._again(current)
        logs.set_options(self._log_options())
        return result

    def _log_options(self) -> logs.Options:
        settings = self._again.operators.terms.logging
        return logs.Options(
            settings.form, settings.level, settings.levels, settings.events_per_s, settings.burst
        )
