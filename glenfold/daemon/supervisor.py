"""The supervisor of a fleet on one machine: processes, sockets and files for the decisions of `rules.fleet`.

Relays don't depend on the supervisor: they are processes in their own sessions that log to files, so they
continue to serve when it dies. The next supervisor finds them through their control sockets and the state
file, and continues.
"""

import fcntl
import os
import random
import signal
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from glenfold.daemon import fleet_events as log
from glenfold.daemon import fleet_status
from glenfold.daemon.ask import NoAnswer, ask, open_private, serve_answers
from glenfold.daemon.logfiles import LogFiles
from glenfold.daemon.process_handle import ProcessHandle, identity_of
from glenfold.daemon.state_file import StateFile
from glenfold.logs import EVENTS
from glenfold.rules.fleet.effects import AllDown, Effect, Kill, Refuse, Reload, Replace, Start, Stop, Tell
from glenfold.rules.fleet.fleet import Fleet
from glenfold.rules.fleet.inputs import (
    BeginRoll,
    CallOffRoll,
    Command,
    ContinueRoll,
    Down,
    Exited,
    Input,
    NewOptions,
    ProcessAnswered,
    ProcessStarted,
    Release,
    ReloadAll,
    SaveFailed,
    ServiceMeasured,
    SupervisorStarted,
)
from glenfold.rules.fleet.options import Options
from glenfold.rules.fleet.state import Phase
from glenfold.rules.service import Window

POLL_INTERVAL_S = 0.2  # The wait between two status questions to an instance.
ANSWER_TIMEOUT_S = 1.0  # The time that an instance may take to answer a question.
SILENCE_TIMEOUT_S = 5.0  # An instance that has not answered for longer counts as not ready.
LOG_ROTATION_INTERVAL_S = 5.0  # The wait between two checks of the lengths of the logs.
# Variables that the service manager sets for the supervisor alone.
NOT_INHERITED_VARIABLES = (
    "NOTIFY_SOCKET",
    "WATCHDOG_USEC",
    "WATCHDOG_PID",
    "LISTEN_FDS",
    "LISTEN_PID",
    "LISTEN_FDNAMES",
)


class AlreadyRuns(Exception):
    """Raised when another supervisor has locked this folder."""


class FileRefused(Exception):
    """Raised when the operators' file is faulty; the text names every problem."""


@dataclass(frozen=True, slots=True)
class SupervisorPaths:
    """The paths of the supervisor's own files, in a folder of mode 0700."""

    folder: Path

    @property
    def socket(self) -> Path:
        """The supervisor's control socket."""
        return self.folder / "control.sock"

    @property
    def state(self) -> Path:
        """The state file."""
        return self.folder / "state.json"

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Holds the lock that excludes other supervisors; it is released when this process exits.

        Raises AlreadyRuns, OSError.
        """
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        descriptor = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise AlreadyRuns(f"a supervisor runs already in {self.folder}") from None
            yield
        finally:
            os.close(descriptor)


@dataclass(slots=True)
class SettingsSource:
    """The functions that give the supervisor the operators' settings.

    `read` checks the operators' file and returns its fleet settings, or raises FileRefused. Once they are
    accepted, `command` returns the command that starts an instance with its settings. Later edits of the file
    have no effect until it is read and accepted again. `accept` raises OSError.
    """

    read: Callable[[], "FleetSettings"]
    command: Callable[[str], Sequence[str]]


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The fleet settings of a checked file. `controls` maps each instance's name to its control socket."""

    terms: Options
    controls: Mapping[str, Path]
    accept: Callable[[], None]


@dataclass(slots=True)
class LastStatus:
    """The last status of an instance, and the time on trio's clock at which it arrived."""

    heard_at: float
    status: dict[str, Any] = field(default_factory=dict)


class Supervisor:
    """Runs a fleet.

    The times in its state are in seconds on the machine's monotonic clock, which the next supervisor uses
    too.
    """

    def __init__(self, paths: SupervisorPaths, settings_source: SettingsSource, logs: LogFiles) -> None:
        self.paths, self.settings_source, self.logs = paths, settings_source, logs
        self._state_file = StateFile(paths.state)
        self._handles: dict[str, ProcessHandle] = {}
        self._instance_of: dict[str, str] = {}
        self._started_here: set[str] = set()  # The processes that this supervisor started.
        self._last_statuses: dict[str, LastStatus] = {}
        self._polled: set[str] = set()
        self._save_failed = False
        self._input_handled = trio.Event()

    async def run(self) -> None:
        """Runs until the fleet is down. If it is cancelled, the relays continue to serve.

        Raises FileRefused, AlreadyRuns, OSError.
        """
        with self.paths.locked():
            settings = self.settings_source.read()
            settings.accept()
            self._controls = dict(settings.controls)
            state, same_boot, problem = self._state_file.load()
            if problem:
                log.state_unread(fault=problem)
            self._fleet = Fleet(settings.terms, state, random.random)
            self._window = Window(settings.terms.window_s)
            log.supervises(instances=len(settings.terms.instances), folder=self.paths.folder)
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                listener = open_private(self.paths.socket)
                await self._resume(same_boot)
                nursery.start_soon(serve_answers, listener, self._answer)
                nursery.start_soon(self._rotate_logs)
                await self._run_timer()

    # ---- inputs and effects ----

    def on(self, event_input: Input) -> str | None:
        """Handles an input and performs the effects. Returns why the input was refused, or None."""
        effects = self._fleet.on(event_input, time.monotonic())
        if problem := self._save():
            effects += self._fleet.on(SaveFailed(problem), time.monotonic())
        refused = None
        for effect in effects:
            if isinstance(effect, Refuse):
                refused = effect.reason
            else:
                self._perform(effect)
        self._poll_all()
        self._input_handled.set()
        return refused

    def _save(self) -> str | None:
        try:
            self._state_file.save(self._fleet.state)
        except OSError as error:
            if not self._save_failed:
                log.state_unsaved(error=error)
            self._save_failed = True
            return str(error)
        self._save_failed = False
        return None

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Start(name) | Replace(name):
                self._start(name)
            case Stop(_, process):
                self._signal(process, signal.SIGTERM)
            case Kill(_, process):
                self._signal(process, signal.SIGKILL)
            case Reload(_, process):
                self._signal(process, signal.SIGHUP)
            case Tell(event, fields):
                EVENTS[event](**fields)
            case AllDown():
                self._nursery.cancel_scope.cancel()

    def _signal(self, process: str, number: int) -> None:
        if handle := self._handles.get(process):
            handle.signal(number)

    def _start(self, name: str) -> None:
        environment = {key: value for key, value in os.environ.items() if key not in NOT_INHERITED_VARIABLES}
        try:
            output = self.logs.open(name)
            try:
                handle = ProcessHandle.start(self.settings_source.command(name), output, environment)
            finally:
                os.close(output)
        except OSError as error:
            self.on(Exited(name, None, f"it could not be started: {error}"))
            return
        self._started_here.add(handle.process)
        self._watch(name, handle)
        self.on(ProcessStarted(name, handle.process))

    def _watch(self, name: str, handle: ProcessHandle) -> None:
        self._handles[handle.process] = handle
        self._instance_of[handle.process] = name
        self._nursery.start_soon(self._await_end, name, handle)

    async def _await_end(self, name: str, handle: ProcessHandle) -> None:
        how = await handle.wait_for_exit()
        del self._handles[handle.process], self._instance_of[handle.process]
        self._started_here.discard(handle.process)
        self.on(Exited(name, handle.process, how))

    async def _run_timer(self) -> None:
        while True:
            now = time.monotonic()
            self.on(ServiceMeasured(self._window.shares(now)))
            self._input_handled = trio.Event()
            with trio.move_on_after(min(POLL_INTERVAL_S, max(0.0, self._fleet.next_at() - now))):
                await self._input_handled.wait()

    async def _rotate_logs(self) -> None:
        while True:
            await trio.sleep(LOG_ROTATION_INTERVAL_S)
            for name in list(self._fleet.state.instances):
                if problem := self.logs.rotate(name):
                    log.log_uncut(name=name, fault=problem)

    # ---- finding and polling instances ----

    async def _resume(self, same_boot: bool) -> None:
        """Finds the processes of the state file, and those that answer on the control sockets."""
        recorded = {
            process: name
            for name, instance in self._fleet.state.instances.items()
            for process in (instance.process, instance.successor, *instance.leaving)
            if process is not None
        }
        if same_boot:
            for process, name in recorded.items():
                if handle := ProcessHandle.find(process):
                    self._watch(name, handle)
        answering: dict[str, str] = {}

        async def find(name: str) -> None:
            await self._query_status(name)
            if process := await self._query_status(name):
                answering[name] = process

        async with trio.open_nursery() as nursery:
            for name in self._fleet.state.instances:
                nursery.start_soon(find, name)
        self.on(SupervisorStarted(frozenset(self._handles), answering, same_boot))

    async def _query_status(self, name: str) -> str | None:
        """Asks for the status of an instance; returns the process that answered if it is already monitored.

        An unknown process that answers is monitored from then on, and only returned when it answers again:
        its handle was then open during the whole second answer, so its pid can't have been reused.
        """
        if name not in self._controls:  # The instance was not in the file when this supervisor started.
            return None
        try:
            pid, status = await ask(
                self._controls[name], {"ask": "status"}, trio.current_time() + ANSWER_TIMEOUT_S
            )
        except NoAnswer:
            return None
        try:
            return self._identify(name, pid, status)
        except OSError as error:
            log.unidentified(name=name, error=error)
            return None

    def _identify(self, name: str, pid: int, status: dict[str, Any]) -> str | None:
        process = identity_of(pid)
        if process is None or status.get("instance") != name:
            return None
        if process not in self._handles:
            if handle := ProcessHandle.find(process):
                self._watch(name, handle)
            return None
        if self._handles[process].has_exited or self._instance_of[process] != name:
            return None
        self._last_statuses[name] = LastStatus(trio.current_time(), status)
        return process

    def _poll_all(self) -> None:
        for name in self._fleet.state.instances.keys() - self._polled:
            self._polled.add(name)
            self._nursery.start_soon(self._poll, name)

    async def _poll(self, name: str) -> None:
        while name in self._fleet.state.instances:
            process = await self._query_status(name)
            if process is not None:
                self._on_status(name, process)
            elif (
                trio.current_time() - self._last_statuses.setdefault(name, LastStatus(0.0)).heard_at
                > SILENCE_TIMEOUT_S
            ):
                self._on_silence(name)
            await trio.sleep(POLL_INTERVAL_S)
        self._polled.discard(name)
        self._last_statuses.pop(name, None)

    def _on_status(self, name: str, process: str) -> None:
        status = self._last_statuses[name].status
        self._window.add_counters(
            time.monotonic(),
            name,
            process,
            status.get("counters", {}),
            started_here=process in self._started_here,
        )
        self.on(ProcessAnswered(name, process, status.get("state") in ("ready", "reloading")))

    def _on_silence(self, name: str) -> None:
        instance = self._fleet.state.instances.get(name)
        if instance is not None and instance.process is not None and instance.phase is Phase.READY:
            log.silent(name=name)
            self.on(ProcessAnswered(name, instance.process, False))

    # ---- commands ----

    async def _answer(self, question: dict[str, Any]) -> dict[str, Any]:
        match question:
            case {"ask": "status"}:
                return self.status()
            case {"ask": "roll", **more}:
                most_out = more.get("most_out")
                if most_out is not None and type(most_out) is not int:
                    return {"refused": "most_out is not a number"}
                return self._run_command_with_file(BeginRoll(most_out))
            case {"ask": "continue"}:
                return self._run_command_with_file(ContinueRoll())
            case {"ask": "reload"}:
                return self._run_command_with_file(ReloadAll())
            case {"ask": "call-off"}:
                return self._run_command(CallOffRoll())
            case {"ask": "release", **more}:
                return self._run_command(Release(more.get("name")))
            case {"ask": "down"}:
                return self._run_command(Down())
        return {"refused": "no such question"}

    def _run_command(self, command: Command) -> dict[str, Any]:
        # Updates the service level, as a roll is judged by the current one.
        self.on(ServiceMeasured(self._window.shares(time.monotonic())))
        refused = self.on(command)
        log.commanded(command=type(command).__name__, outcome=refused or "done")
        return {"refused": refused} if refused else {"done": True, "rolls": self._fleet.state.rolls}

    def _run_command_with_file(self, command: Command) -> dict[str, Any]:
        """Runs a command that applies the file to instances, and reads the file again first.

        A faulty file changes nothing.
        """
        if self._fleet.rejection_reason(command):
            return self._run_command(command)
        try:
            settings = self.settings_source.read()
            settings.accept()
        except (FileRefused, OSError) as error:
            log.commanded(command=type(command).__name__, outcome=str(error))
            return {"refused": str(error), "file": True}
        self._window.length_s = settings.terms.window_s
        self._controls.update(settings.controls)  # Keeps removed instances, which are polled until they stop.
        self.on(NewOptions(settings.terms))
        return self._run_command(command)

    def reload(self) -> None:
        """Reads the file again and reloads all instances."""
        self._run_command_with_file(ReloadAll())

    def status(self) -> dict[str, Any]:
        """Returns the answer to the question `status`."""
        now = time.monotonic()
        return fleet_status.report(
            self._fleet.state,
            {name: last_status.status for name, last_status in self._last_statuses.items()},
            self._window.shares(now),
            now,
            state_saved=not self._save_failed,
        )
