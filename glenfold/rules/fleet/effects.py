"""Effects: the actions that the supervisor has to carry out after an input, in the order returned."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Start:
    """Start a process for the instance."""

    name: str


@dataclass(frozen=True, slots=True)
class Replace:
    """Start a successor process that takes over from the running one."""

    name: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Send SIGTERM to the process."""

    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Kill:
    """Send SIGKILL to the process."""

    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Reload:
    """Make the process read its configuration again."""

    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Write a log event. `event` is its stable name, and `fields` are the arguments of its function."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refuse:
    """Report that the command was rejected and has changed nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class AllDown:
    """Let the supervisor exit: no process is left after `Down`."""


Effect = Start | Replace | Stop | Kill | Reload | Tell | Refuse | AllDown
