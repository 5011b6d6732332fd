"""Incidents: what the supervisor reports to the decisions, and the commands of operators."""

from collections.abc import Mapping
from dataclasses import dataclass

from glenfold.rules.fleet.options import Options
from glenfold.rules.service import Shares


@dataclass(frozen=True, slots=True)
class SupervisorStarted:
    """A supervisor begins. `alive`: those processes named by the state that still run. `answering`: the
    process that answers on the control socket, by instance. `again`: False if the machine was rebooted."""

    live_processes: frozenset[str]
    answering: Mapping[str, str]
    same_boot: bool = True


@dataclass(frozen=True, slots=True)
class NewOptions:
    """The operators' file was read again and accepted."""

    options: Options


@dataclass(frozen=True, slots=True)
class ProcessStarted:
    """`Start` or `Replace` was carried out."""

    name: str
    process: str


@dataclass(frozen=True, slots=True)
class ProcessAnswered:
    """A process answered on the control socket of the instance."""

    name: str
    process: str
    ready: bool


@dataclass(frozen=True, slots=True)
class Exited:
    """A process exited. `process` is None if it could not be started."""

    name: str
    process: str | None
    how: str


@dataclass(frozen=True, slots=True)
class ServiceMeasured:
    """The current measurement of service."""

    shares: Shares


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Only time has passed."""


@dataclass(frozen=True, slots=True)
class SaveFailed:
    """The state could not be saved."""

    reason: str


@dataclass(frozen=True, slots=True)
class BeginRoll:
    """`most_out` None: as in the settings."""

    most_out: int | None = None


@dataclass(frozen=True, slots=True)
class ContinueRoll:
    """Continue a roll that was stopped."""


@dataclass(frozen=True, slots=True)
class CallOffRoll:
    """End a roll, running or stopped."""


@dataclass(frozen=True, slots=True)
class Release:
    """Start a held instance again. `name` None: all held instances."""

    name: str | None = None


@dataclass(frozen=True, slots=True)
class ReloadAll:
    """Have all instances read their configuration again."""


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
