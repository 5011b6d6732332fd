"""The state of a fleet that has to survive its supervisor.

The supervisor saves the state before it carries out the effects of an input, so that the next supervisor,
which begins with `SupervisorStarted`, knows of everything that was done. Field names are those of the state
file.
"""

from enum import Enum

import msgspec

from glenfold.rules.service import Shares

NEVER = -1e9  # This time is before every start.


class Phase(Enum):
    """The phase of an instance; the values are shown to operators."""

    DOWN = "down"  # No process runs, and none should.
    DUE = "due"  # A process is started at `due_at`.
    UNREADY = "not ready"  # A process runs but is not ready yet, or no longer.
    READY = "ready"
    STOPPING = "stopping"  # The process was sent SIGTERM.
    HELD = "held"  # The process exited too often and is not started until an operator releases the instance.


class Instance(msgspec.Struct):
    """One instance of the relay.

    Each process is identified by a string that is never reused for another process.
    """

    phase: Phase = Phase.DUE
    since: float = 0.0  # Time at which the phase began.
    due_at: float = 0.0  # Time of the next start, in phase DUE.
    kill_at: float = 0.0  # Time of the SIGKILL, in phase STOPPING.
    process: str | None = None
    replacing: bool = False  # A successor was requested and is not ready yet.
    successor: str | None = None
    leaving: dict[str, float] = {}  # Time of the SIGKILL, by replaced process that still runs.
    ends: list[float] = []  # Times of the unrequested exits within the crash-loop window.
    in_a_row: int = 0  # Number of unrequested exits since the instance was last steady.
    starts: int = 0
    how: str = ""  # Description of the last exit.

    def enter(self, phase: Phase, now: float) -> None:
        """Enters the phase; `since` does not change if the instance is already in this phase."""
        if self.phase is not phase:
            self.restart_phase(phase, now)

    def restart_phase(self, phase: Phase, now: float) -> None:
        """Enters the phase and sets `since` to `now`, even if the instance is already in this phase."""
        self.phase = phase
        self.since = now

    def schedule(self, due_at: float, now: float) -> None:
        """Schedules a start of the instance at `due_at`."""
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
    before: Shares  # Service at the beginning of the roll.
    begun_at: float
    out: list[str] = []  # Instances whose step has begun and is not complete.
    done: list[str] = []
    running: bool = True
    reason: str = ""  # Reason why the roll was stopped.
    waits_since: float | None = None  # Start of the wait for instances that the roll did not take out.


class State(msgspec.Struct):
    """The saved state of the whole fleet."""

    instances: dict[str, Instance] = {}
    roll: Roll | None = None
    down: bool = False  # An operator requested that the whole fleet stops.
    last_start: float = NEVER
    rolls: int = 0  # Number of rolls begun in total.
    last_roll: str = ""  # Outcome of the last roll that finished.
