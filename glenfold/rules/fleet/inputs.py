"""Inputs of the fleet decisions: the supervisor's observations and the operators' commands.

The class names of commands appear in the log event `fleet.command`.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from glenfold.rules.fleet.options import Options
from glenfold.rules.service import Shares


@dataclass(frozen=True, slots=True)
class SupervisorStarted:
    """A supervisor has started.

    `live_processes` are the processes named in the saved state that still run. `answering` maps each instance
    to the process that answers on its control socket. `same_boot` is False if the machine was rebooted.
    """

    live_processes: frozenset[str]
    answering: Mapping[str, str]
    same_boot: bool = True


@dataclass(frozen=True, slots=True)
class NewOptions:
    """The operators' file was read again and accepted."""

    options: Options


@dataclass(frozen=True, slots=True)
class ProcessStarted:
    """A process was started for `Start` or `Replace`."""

    name: str
    process: str


@dataclass(frozen=True, slots=True)
class ProcessAnswered:
    """A process answered on the control socket of the instance, and reported whether it is ready."""

    name: str
    process: str
    ready: bool


@dataclass(frozen=True, slots=True)
class Exited:
    """A process exited. `process` is None if it could not be started; `how` describes the exit."""

    name: str
    process: str | None
    how: str


@dataclass(frozen=True, slots=True)
class ServiceMeasured:
    """The fleet's service was measured."""

    shares: Shares


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed without any other input."""


@dataclass(frozen=True, slots=True)
class SaveFailed:
    """The state could not be saved."""

    reason: str


@dataclass(frozen=True, slots=True)
class BeginRoll:
    """Begin a roll. `most_out` is the number of instances out of service at once, None: as in the options."""

    most_out: int | None = None


@dataclass(frozen=True, slots=True)
class ContinueRoll:
    """Continue a roll that was stopped."""


@dataclass(frozen=True, slots=True)
class CallOffRoll:
    """End a roll, running or stopped."""


@dataclass(frozen=True, slots=True)
class Release:
    """Start a held instance again; all held instances if `name` is None."""

    name: str | None = None


@dataclass(frozen=True, slots=True)
class ReloadAll:
    """Make all instances read their configuration again."""


@dataclass(frozen=True, slots=True)
class Down:
    """Stop all instances, then the supervisor."""


Command = BeginRoll | ContinueRoll | CallOffRoll | Release | ReloadAll | Down
Input = (
    SupervisorStarted
    | NewOptions
    | ProcessStarted
    | ProcessAnswered
    | Exited
    | ServiceMeasured
    | TimePassed
    | SaveFailed
    | Command
)
