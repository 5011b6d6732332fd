"""The state of a fleet that has to survive its supervisor.

It has to be saved before the effects of an incident are carried out, so that a later supervisor, which begins
with `Resumed`, knows at least of everything that was done. Field names are those of the state file.
"""

from enum import Enum

import msgspec

from glenfold.rules.service import Shares

NEVER = -1e9  # a time before every start


class Phase(Enum):
    """The phase of an instance; the values are shown to operators."""

    DOWN = "down"  # no process runs and none is wanted
    DUE = "due"  # to be started at `due_at`
    UNREADY = "not ready"  # a process runs and is not ready (yet, or any more)
    READY = "ready"
    STOPPING = "stopping"  # the process was sent SIGTERM
    HELD = "held"  # exited too often: not started until an operator releases it


class Instance(msgspec.Struct):
    """One instance of the relay. A process is identified by a text that is never used for another process."""

    phase: Phase = Phase.DUE
    since: float = 0.0  # start of the phase
    due_at: float = 0.0  # time of the next start, in phase DUE
    kill_at: float = 0.0  # time of SIGKILL, in phase STOPPING
    process: str | None = None
    replacing: bool = False  # a successor was requested and is not ready yet
    successor: str | None = None
    leaving: dict[str, float] = {}  # replaced processes that still run, and the time of their SIGKILL
    ends: list[float] = []  # times of unrequested exits within the window
    in_a_row: int = 0  # unrequested exits since the instance was last steady
    starts: int = 0
    how: str = ""  # description of the last exit

    def enter(self, phase: Phase, now: float) -> None:
        """Enters the phase; `since` stays as it is if this is the phase already."""
        if self.phase is not phase:
            self.restart_phase(phase, now)

    def restart_phase(self, phase: Phase, now: float) -> None:
        """Enters the phase and counts its duration from `now`, also if this is the phase already."""
        self.phase = phase
        self.since = now

    def schedule(self, due_at: float, now: float) -> None:
        self.enter(Phase.DUE, now)
        self.due_at = due_at

    def forget_exits(self) -> None:
        self.ends = []
        self.in_a_row = 0

    def clear_successor(self) -> None:
        self.replacing = False
        self.successor = None

    def promote_successor(self) -> None:
        self.process = self.successor
        self.clear_successor()


class Roll(msgspec.Struct):
    """A rolling restart of the fleet, in progress or stopped."""

    todo: list[str]
    most_out: int
    before: Shares  # service when the roll began
    begun_at: float
    out: list[str] = []  # instances whose step has begun and is not complete
    done: list[str] = []
    running: bool = True
    reason: str = ""  # why it was stopped
    waits_since: float | None = None  # start of the wait for instances that the roll did not take out


class State(msgspec.Struct):
    """Everything that a later supervisor has to know."""

    instances: dict[str, Instance] = {}
    roll: Roll | None = None
    down: bool = False  # operators asked for the whole fleet to stop
    last_start: float = NEVER
    rolls: int = 0  # number of rolls ever begun
    last_roll: str = ""  # outcome of the last roll that is over
