"""One control replica, from `glenfold replica` to its end: server, follower of its parents, signals."""

import random
import resource
import signal
import socket
from collections.abc import Callable, Sequence
from enum import IntEnum
from pathlib import Path

import trio

from glenfold import logs
from glenfold.config.platform import ConfigError, format_address
from glenfold.config.replica import Terms, descriptors_needed, read, tables_needing_restart
from glenfold.config.tables import FileErrors
from glenfold.config.terms import Logging
from glenfold.daemon.listeners import BadListener, listen
from glenfold.daemon.process import heed
from glenfold.events import config_refused, config_waits, run_refused
from glenfold.replica import events
from glenfold.replica.counters import ReplicaCounters
from glenfold.replica.earlier_changes import earlier_changes
from glenfold.replica.follower import Follower
from glenfold.replica.server import Server
from glenfold.rules.parent_choice import ParentChoice
from glenfold.rules.replication import ListDocument, Position
from glenfold.rules.succession import Succession

LOOK_S = 0.01  # between two looks at whether a parent is followed


class Exit(IntEnum):
    """The exit status of `glenfold replica`."""

    FINISHED = 0
    FAILED = 1
    FILE = 2  # the file is at fault
    NO_LISTENER = 4  # it can't listen where the file says


class ReplicaProcess:
    """`terms`: of the file at `path`, which is read again on `reload`."""

    def __init__(self, path: Path, terms: Terms) -> None:
        self._path = path
        self._begun = self._terms = terms
        self._counters = ReplicaCounters()
        self._server = Server(terms.replica.name, terms.limits, self._counters, earlier=self._earlier_changes)
        place = terms.replica
        choice = ParentChoice(terms.followed, place.zone, place.region, random.Random())
        self._follower = Follower(choice, Succession(), self._server, place.name)
        self._told_to_stop = trio.Event()

    @property
    def counters(self) -> dict[str, int]:
        return self._counters.plain() | self._follower.counters()

    @property
    def children(self) -> int:
        """That watch."""
        return self._server.children

    async def run(self, listener: socket.socket) -> None:
        """Until it was told to stop and has ended its watches."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._server.serve, trio.socket.from_stdlib_socket(listener))
            nursery.start_soon(self._follower.follow)
            events.listens(name=self._begun.replica.name, address=format_address(listener.getsockname()))
            await self._told_to_stop.wait()
            await self._server.end_watches(self._begun.shutdown.spread_s)
            nursery.cancel_scope.cancel()
        events.exit_counters(counters=self.counters)

    async def _earlier_changes(self, since: int, upto: Position) -> Sequence[ListDocument]:
        """Of the parent that the first list came from, once that is followed."""
        while (watch := self._follower.watch) is None:
            await trio.sleep(LOOK_S)
        return await earlier_changes(watch.parent, since, upto)

    def stop(self) -> None:
        self._told_to_stop.set()

    def tell_counters(self) -> None:
        events.counters(counters=self.counters)

    def reload(self) -> None:
        """A faulty file changes nothing."""
        try:
            terms = read(self._path)
        except FileErrors as error:
            self._counters.reloads_refused += 1
            faults = "; ".join(error.message.splitlines())
            config_refused(error=ConfigError(str(self._path), faults))
            return
        self._counters.reloads += 1
        if terms.parents != self._terms.parents:
            self._follower.move_to(terms.followed)
        self._terms = terms
        logs.take_terms(log_terms(terms.logging))
        events.reloaded(parents=[parent.address for parent in terms.parents])
        if keys := tables_needing_restart(self._begun, terms):
            config_waits(keys=keys)


def log_terms(told: Logging) -> logs.Terms:
    return logs.Terms(told.form, told.level, told.levels, told.events_per_s, told.burst)


def main(path: Path, terms: Terms) -> Exit:
    """Runs the replica of a sound file to its end."""
    logs.begin(log_terms(terms.logging), terms.replica.name)
    try:
        _allow_descriptors(descriptors_needed(terms.limits))
        listener = listen(format_address(terms.listen))
        listener.listen(terms.limits.idle_connections)
        trio.run(_run_by_signals, ReplicaProcess(path, terms), listener)
        return Exit.FINISHED
    except BadListener as error:
        run_refused(error=error)
        return Exit.NO_LISTENER
    except OSError as error:
        run_refused(error=error)
        return Exit.FAILED
    finally:
        logs.finish()


def _allow_descriptors(count: int) -> None:
    """Within what the user may have, which the check of the file has looked at."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if resource.RLIM_INFINITY != soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


async def _run_by_signals(process: ReplicaProcess, listener: socket.socket) -> None:
    """SIGTERM and SIGINT tell it to stop, SIGHUP to read its file again, SIGUSR1 to log its counters."""
    by_signal: dict[int, Callable[[], object]] = {
        signal.SIGHUP: process.reload,
        signal.SIGUSR1: process.tell_counters,
        signal.SIGTERM: process.stop,
        signal.SIGINT: process.stop,
    }
    with trio.open_signal_receiver(*by_signal) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, by_signal)  # those that came during the start come now
        async with trio.open_nursery() as nursery:
            nursery.start_soon(heed, signals, by_signal)
            await process.run(listener)
            nursery.cancel_scope.cancel()
