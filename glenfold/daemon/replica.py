"""One control replica, as `glenfold replica` runs it: a server, a follower of its parents, and signals."""

import random
import resource
import signal
import socket
from collections.abc import Callable, Sequence
from enum import IntEnum
from functools import partial
from pathlib import Path

import trio

from glenfold import logs
from glenfold.config.address import format_address
from glenfold.config.platform import ConfigError
from glenfold.config.replica import Terms, descriptors_needed, read, tables_needing_restart
from glenfold.config.tables import FileErrors
from glenfold.config.terms import Logging
from glenfold.daemon.guard import record_fault, run_guarded
from glenfold.daemon.listeners import BadListener, listen
from glenfold.daemon.process import dispatch_signals
from glenfold.events import config_refused, config_waits, run_refused
from glenfold.replica import events
from glenfold.replica.counters import ReplicaCounters
from glenfold.replica.earlier_changes import earlier_changes
from glenfold.replica.follower import Follower
from glenfold.replica.server import Server
from glenfold.rules.parent_choice import ParentChoice
from glenfold.rules.replication import ListDocument, Position
from glenfold.rules.succession import Succession

PARENT_CHECK_INTERVAL_S = 0.01  # The wait between two checks whether a parent is followed.


class Exit(IntEnum):
    """The exit status of `glenfold replica`."""

    FINISHED = 0
    FAILED = 1
    FILE = 2  # The file is faulty.
    NO_LISTENER = 4  # The replica can't listen at the configured address.


class ReplicaProcess:
    """A replica with the settings `terms` of the file at `path`, which `reload` reads again."""

    def __init__(self, path: Path, terms: Terms) -> None:
        self._path = path
        self._initial_terms = self._terms = terms
        self._counters = ReplicaCounters()
        self._server = Server(terms.replica.name, terms.limits, self._counters, earlier=self._earlier_changes)
        replica_settings = terms.replica
        choice = ParentChoice(terms.followed, replica_settings.zone, replica_settings.region, random.Random())
        self._follower = Follower(choice, Succession(), self._server, replica_settings.name)
        self._stop_requested = trio.Event()

    @property
    def counters(self) -> dict[str, int]:
        """All counters of the server and the follower."""
        return self._counters.plain() | self._follower.counters()

    @property
    def children(self) -> int:
        """The number of children that watch this replica."""
        return self._server.children

    async def run(self, listener: socket.socket) -> None:
        """Runs until it is told to stop and has ended its children's watches."""
        async with trio.open_nursery() as nursery:
            serve = partial(self._server.serve, trio.socket.from_stdlib_socket(listener))
            nursery.start_soon(run_guarded, "server", serve, self._counters)
            nursery.start_soon(run_guarded, "follower", self._follower.follow, self._counters)
            events.listens(
                name=self._initial_terms.replica.name, address=format_address(listener.getsockname())
            )
            await self._stop_requested.wait()
            await self._server.end_watches(self._initial_terms.shutdown.spread_s)
            nursery.cancel_scope.cancel()
        events.exit_counters(counters=self.counters)

    async def _earlier_changes(self, since: int, upto: Position) -> Sequence[ListDocument]:
        """Asks the followed parent for earlier changes, once a parent is followed."""
        while (watch := self._follower.watch) is None:
            await trio.sleep(PARENT_CHECK_INTERVAL_S)
        return await earlier_changes(watch.parent, since, upto)

    def stop(self) -> None:
        """Requests the end of `run`."""
        self._stop_requested.set()

    def log_counters(self) -> None:
        """Logs the current counters."""
        events.counters(counters=self.counters)

    def reload(self) -> None:
        """Reads the file again and applies it; a faulty file changes nothing."""
        try:
            terms = read(self._path)
        except FileErrors as error:
            self._counters.reloads_refused += 1
            problems = "; ".join(error.message.splitlines())
            config_refused(error=ConfigError(str(self._path), problems))
            return
        except Exception as error:
            self._counters.reloads_refused += 1
            record_fault("reload", error, self._counters)
            return
        self._counters.reloads += 1
        if terms.parents != self._terms.parents:
            self._follower.move_to(terms.followed)
        self._terms = terms
        logs.set_options(log_options(terms.logging))
        events.reloaded(parents=[parent.address for parent in terms.parents])
        if keys := tables_needing_restart(self._initial_terms, terms):
            config_waits(keys=keys)


def log_options(logging: Logging) -> logs.Options:
    """Returns the log settings of the table `logging`."""
    return logs.Options(logging.form, logging.level, logging.levels, logging.events_per_s, logging.burst)


def main(path: Path, terms: Terms) -> Exit:
    """Runs the replica of a checked file until it stops, and returns the exit status."""
    logs.begin(log_options(terms.logging), terms.replica.name)
    try:
        _raise_descriptor_limit(descriptors_needed(terms.limits))
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


def _raise_descriptor_limit(count: int) -> None:
    """Raises the soft limit of descriptors; checking the file has compared `count` with the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if resource.RLIM_INFINITY != soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


async def _run_by_signals(process: ReplicaProcess, listener: socket.socket) -> None:
    """Runs the replica: SIGTERM and SIGINT stop it, SIGHUP reloads its file, SIGUSR1 logs its counters."""
    by_signal: dict[int, Callable[[], object]] = {
        signal.SIGHUP: process.reload,
        signal.SIGUSR1: process.log_counters,
        signal.SIGTERM: process.stop,
        signal.SIGINT: process.stop,
    }
    with trio.open_signal_receiver(*by_signal) as signals:
        # Signals that arrived during the start are delivered now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, by_signal)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(dispatch_signals, signals, by_signal)
            await process.run(listener)
            nursery.cancel_scope.cancel()
