"""The supervisor of a fleet on one machine: processes, sockets and files around what `rules.fleet` decides.

It is in nobody's way: relays are processes in sessions of their own that write to files, so they serve on
when it dies. The next one finds them by their control sockets and by what the last one kept, and goes on.
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
from glenfold.daemon.ask import NoAnswer, answer_all, ask, open_private
from glenfold.daemon.keep import Keep
from glenfold.daemon.logfiles import LogFiles
from glenfold.daemon.owned import Owned, name_of
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

LOOK_S = 0.2  # from one look at an instance to the next
ANSWER_S = 1.0  # that an instance may take to answer
SILENT_S = 5.0  # without an answer for as long, an instance counts as not ready
CUT_S = 5.0  # from one look at the lengths of logs to the next
NOT_INHERITED = (
    "NOTIFY_SOCKET",
    "WATCHDOG_USEC",
    "WATCHDOG_PID",
    "LISTEN_FDS",
    "LISTEN_PID",
    "LISTEN_FDNAMES",
)  # what the service manager said to the supervisor alone


class AlreadyRuns(Exception):
    """Another supervisor has this folder."""


class FileRefused(Exception):
    """The operators' file is faulty; the text names every fault."""


@dataclass(frozen=True, slots=True)
class Place:
    """What is the supervisor's own on disk: a folder of mode 0700."""

    folder: Path

    @property
    def socket(self) -> Path:
        return self.folder / "control.sock"

    @property
    def state(self) -> Path:
        return self.folder / "state.json"

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Against another supervisor; the lock dies with this process. Raises AlreadyRuns, OSError."""
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
class Orders:
    """`read` checks the operators' file, and raises FileRefused; once what it gave is accepted, `command`
    tells how to start an instance by that: what is edited later changes nothing until it is read and accepted
    again. `accept` raises OSError."""

    read: Callable[[], "Order"]
    command: Callable[[str], Sequence[str]]


@dataclass(frozen=True, slots=True)
class Order:
    """`controls`: the control socket of each instance."""

    terms: Options
    controls: Mapping[str, Path]
    accept: Callable[[], None]


@dataclass(slots=True)
class Look:
    """What an instance last told of itself."""

    heard_at: float
    status: dict[str, Any] = field(default_factory=dict)


class Supervisor:
    """Moments are in seconds on the machine's monotonic clock, which a later supervisor reads too."""

    def __init__(self, place: Place, orders: Orders, logs: LogFiles) -> None:
        self.place, self.orders, self.logs = place, orders, logs
        self._keep = Keep(place.state)
        self._owned: dict[str, Owned] = {}
        self._instance_of: dict[str, str] = {}
        self._started: set[str] = set()  # by this supervisor
        self._looks: dict[str, Look] = {}
        self._looking: set[str] = set()
        self._save_failed = False
        self._woken = trio.Event()

    async def run(self) -> None:
        """Until the fleet is down; whoever cancels it leaves the relays serving. Raises FileRefused,
        AlreadyRuns, OSError."""
        with self.place.locked():
            order = self.orders.read()
            order.accept()
            self._controls = dict(order.controls)
            state, again, fault = self._keep.load()
            if fault:
                log.state_unread(fault=fault)
            self._fleet = Fleet(order.terms, state, random.random)
            self._window = Window(order.terms.window_s)
            log.supervises(instances=len(order.terms.instances), folder=self.place.folder)
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                listener = open_private(self.place.socket)
                await self._resume(again)
                nursery.start_soon(answer_all, listener, self._answer)
                nursery.start_soon(self._cut_logs)
                await self._pass_time()

    # ---- incidents and effects ----

    def on(self, incident: Input) -> str | None:
        """Why it was refused, if it was."""
        effects = self._fleet.on(incident, time.monotonic())
        if fault := self._save():
            effects += self._fleet.on(SaveFailed(fault), time.monotonic())
        refused = None
        for effect in effects:
            if isinstance(effect, Refuse):
                refused = effect.reason
            else:
                self._perform(effect)
        self._look_at_all()
        self._woken.set()
        return refused

    def _save(self) -> str | None:
        try:
            self._keep.save(self._fleet.state)
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
        if owned := self._owned.get(process):
            owned.signal(number)

    def _start(self, name: str) -> None:
        environment = {key: value for key, value in os.environ.items() if key not in NOT_INHERITED}
        try:
            output = self.logs.open(name)
            try:
                owned = Owned.start(self.orders.command(name), output, environment)
            finally:
                os.close(output)
        except OSError as error:
            self.on(Exited(name, None, f"it could not be started: {error}"))
            return
        self._started.add(owned.process)
        self._watch(name, owned)
        self.on(ProcessStarted(name, owned.process))

    def _watch(self, name: str, owned: Owned) -> None:
        self._owned[owned.process] = owned
        self._instance_of[owned.process] = name
        self._nursery.start_soon(self._await_end, name, owned)

    async def _await_end(self, name: str, owned: Owned) -> None:
        how = await owned.end()
        del self._owned[owned.process], self._instance_of[owned.process]
        self._started.discard(owned.process)
        self.on(Exited(name, owned.process, how))

    async def _pass_time(self) -> None:
        while True:
            now = time.monotonic()
            self.on(ServiceMeasured(self._window.shares(now)))
            self._woken = trio.Event()
            with trio.move_on_after(min(LOOK_S, max(0.0, self._fleet.next_at() - now))):
                await self._woken.wait()

    async def _cut_logs(self) -> None:
        while True:
            await trio.sleep(CUT_S)
            for name in list(self._fleet.state.instances):
                if fault := self.logs.cut(name):
                    log.log_uncut(name=name, fault=fault)

    # ---- who is there ----

    async def _resume(self, again: bool) -> None:
        """Processes that the last supervisor knew, and whoever answers on the control sockets."""
        known = {
            process: name
            for name, one in self._fleet.state.instances.items()
            for process in (one.process, one.successor, *one.leaving)
            if process is not None
        }
        if again:
            for process, name in known.items():
                if owned := Owned.find(process):
                    self._watch(name, owned)
        answering: dict[str, str] = {}

        async def find(name: str) -> None:
            await self._heard(name)
            if process := await self._heard(name):
                answering[name] = process

        async with trio.open_nursery() as nursery:
            for name in self._fleet.state.instances:
                nursery.start_soon(find, name)
        self.on(SupervisorStarted(frozenset(self._owned), answering, again))

    async def _heard(self, name: str) -> str | None:
        """The process that answers for that name, if it is watched: one that is met for the first time is
        watched from then on, and believed when it answers again, as it then was that one all the while."""
        if name not in self._controls:  # no longer in the file when this supervisor began
            return None
        try:
            pid, status = await ask(self._controls[name], {"ask": "status"}, trio.current_time() + ANSWER_S)
        except NoAnswer:
            return None
        try:
            return self._identified(name, pid, status)
        except OSError as error:
            log.unidentified(name=name, error=error)
            return None

    def _identified(self, name: str, pid: int, status: dict[str, Any]) -> str | None:
        process = name_of(pid)
        if process is None or status.get("instance") != name:
            return None
        if process not in self._owned:
            if owned := Owned.find(process):
                self._watch(name, owned)
            return None
        if self._owned[process].ended or self._instance_of[process] != name:
            return None
        self._looks[name] = Look(trio.current_time(), status)
        return process

    def _look_at_all(self) -> None:
        for name in self._fleet.state.instances.keys() - self._looking:
            self._looking.add(name)
            self._nursery.start_soon(self._look_at, name)

    async def _look_at(self, name: str) -> None:
        while name in self._fleet.state.instances:
            process = await self._heard(name)
            if process is not None:
                self._take_look(name, process)
            elif trio.current_time() - self._looks.setdefault(name, Look(0.0)).heard_at > SILENT_S:
                self._silent(name)
            await trio.sleep(LOOK_S)
        self._looking.discard(name)
        self._looks.pop(name, None)

    def _take_look(self, name: str, process: str) -> None:
        status = self._looks[name].status
        self._window.add_counters(
            time.monotonic(), name, process, status.get("counters", {}), started_here=process in self._started
        )
        self.on(ProcessAnswered(name, process, status.get("state") in ("ready", "reloading")))

    def _silent(self, name: str) -> None:
        one = self._fleet.state.instances.get(name)
        if one is not None and one.process is not None and one.phase is Phase.READY:
            log.silent(name=name)
            self.on(ProcessAnswered(name, one.process, False))

    # ---- commands ----

    async def _answer(self, question: dict[str, Any]) -> dict[str, Any]:
        match question:
            case {"ask": "status"}:
                return self.status()
            case {"ask": "roll", **more}:
                most_out = more.get("most_out")
                if most_out is not None and type(most_out) is not int:
                    return {"refused": "most_out is not a number"}
                return self._with_file(BeginRoll(most_out))
            case {"ask": "continue"}:
                return self._with_file(ContinueRoll())
            case {"ask": "reload"}:
                return self._with_file(ReloadAll())
            case {"ask": "call-off"}:
                return self._done(CallOffRoll())
            case {"ask": "release", **more}:
                return self._done(Release(more.get("name")))
            case {"ask": "down"}:
                return self._done(Down())
        return {"refused": "no such question"}

    def _done(self, command: Command) -> dict[str, Any]:
        self.on(
            ServiceMeasured(self._window.shares(time.monotonic()))
        )  # a roll is judged by what is true now
        refused = self.on(command)
        log.commanded(command=type(command).__name__, outcome=refused or "done")
        return {"refused": refused} if refused else {"done": True, "rolls": self._fleet.state.rolls}

    def _with_file(self, command: Command) -> dict[str, Any]:
        """The file is read anew where the command brings it to instances; a faulty one changes nothing."""
        if self._fleet.rejection_reason(command):
            return self._done(command)
        try:
            order = self.orders.read()
            order.accept()
        except (FileRefused, OSError) as error:
            log.commanded(command=type(command).__name__, outcome=str(error))
            return {"refused": str(error), "file": True}
        self._window.length_s = order.terms.window_s
        self._controls.update(order.controls)  # those that are gone still have to be seen to stop
        self.on(NewOptions(order.terms))
        return self._done(command)

    def reload(self) -> None:
        self._with_file(ReloadAll())

    def status(self) -> dict[str, Any]:
        """The answer to the question `status`."""
        now = time.monotonic()
        return fleet_status.report(
            self._fleet.state,
            {name: look.status for name, look in self._looks.items()},
            self._window.shares(now),
            now,
            state_saved=not self._save_failed,
        )
