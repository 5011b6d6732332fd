"""One instance of an operators' file, from `glenfold run` to its end, with what its file switches on.

Each part is imported only where it is on.
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
from glenfold.daemon.process import Companion, MakeListSource, Process, run_by_signals


class Exit(IntEnum):
    """The exit status of `glenfold run`."""

    FINISHED = 0  # it was told to stop, and has finished all that it had taken
    FAILED = 1
    FILE = 2  # the file is at fault
    RUNS = 3  # another instance of that name runs, and goes on
    NO_LISTENER = 4  # it can't listen where the file says


@dataclass(frozen=True, slots=True)
class Name:
    """What makes an instance the only one of its name: the lock's descriptor, and the take-over by which it
    came by it, if it did. None of both where there is no folder."""

    lock: int | None = None
    taken: takeover.TakeOver | None = None


class Run:
    """`number`: of an instance of a fleet; None without one."""

    def __init__(self, operators: OperatorsFile, number: int | None) -> None:
        self._operators = operators
        self._number = number
        self._place: InstanceLocation = operators.location(number)
        self._again = ConfigReload(operators, number)

    def main(self) -> Exit:
        logs.begin(self._log_terms(), self._place.name)
        try:
            return trio.run(self._main)
        except ConfigError as error:
            events.config_refused(error=error)
            return Exit.FILE
        except (lock.Held, takeover.Refused) as error:
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
        name = await self._name(passed, trio.current_time() + restart.ready_s)
        if name.taken is None:
            found, _ = await takeover.begin(None, self._place.listeners, passed, trio.current_time())
        else:
            found = name.taken.listeners
        companions: list[Companion] = [] if notifier is None else [notifier]
        process = Process(
            config,
            self._read_again,
            listeners=found,
            held=name.taken is not None,
            companions=companions,
            deadline_s=restart.deadline_s,
            make_list_source=self._make_list_source(config),
        )
        companions += await self._companions(process, name)
        await run_by_signals(process)
        return Exit.FINISHED if name.taken is None or name.taken.refused is None else Exit.RUNS

    @staticmethod
    def _make_list_source(config: Config) -> MakeListSource | None:
        if config.parents is None:
            return None
        from glenfold.replica.relay_lists import RelayLists

        return RelayLists

    async def _name(self, passed: Sequence[socket.socket], by: float) -> Name:
        """Whoever has it is asked to hand it on. Raises Held and Refused."""
        if self._place.folder is None:
            return Name()
        try:
            return Name(lock.take(self._place.folder, self._place.name))
        except lock.Held:
            if (place := self._takeover_place()) is None:
                raise
            wants = await listeners.resolved(self._place.listeners)
            taken = await takeover.ask(place, wants, by, passed)
        if taken is None:  # it hands nothing on, or has just gone
            return Name(lock.take(self._place.folder, self._place.name))
        return Name(taken.lock, taken)

    def _takeover_place(self) -> takeover.Place | None:
        restart = self._operators.terms.restart
        if self._place.folder is None or not restart.take_over:
            return None
        return takeover.Place(self._place.folder, self._place.name, restart.ready_s)

    async def _companions(self, process: Process, name: Name) -> list[Companion]:
        found: list[Companion] = []
        snapshots = None
        if self._place.snapshots is not None:
            from glenfold.daemon.snapshot import Snapshots, Terms

            told = self._operators.terms.snapshot
            snapshots = Snapshots(
                Terms(
                    self._place.snapshots,
                    self._operators.terms.instance.name,
                    told.every_s,
                    told.most_age_s,
                    told.most_mb << 20,
                )
            )
            await snapshots.take_up(process)
            found.append(snapshots.keep)
        if (place := self._takeover_place()) is not None:
            found.append(takeover.Keeper(place, name.lock, name.taken))
        if self._place.socket is not None:
            from glenfold.daemon.control import Control

            found.append(Control(self._place.socket, None if snapshots is None else snapshots.status))
        return found

    def _read_again(self, current: Config) -> tuple[Config, list[str]]:
        told = self._again(current)
        logs.take_terms(self._log_terms())
        return told

    def _log_terms(self) -> logs.Terms:
        told = self._again.operators.terms.logging
        return logs.Terms(told.form, told.level, told.levels, told.events_per_s, told.burst)
