"""Effects: what the supervisor has to do after an incident, in this order."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Start:
    """Start a process for the instance."""

    name: str


@dataclass(frozen=True, slots=True)
class Replace:
    """Start a process that takes over from the running one."""

    name: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Send SIGTERM."""

    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Kill:
    """Send SIGKILL."""

    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Reload:
    """Have the process read its configuration again."""

    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Write a log event. `event` is its stable name."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refuse:
    """The command was rejected and has changed nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class AllDown:
    """No process is left after `Down`: the supervisor may exit."""


Effect = Start | Replace | Stop | Kill | Reload | Tell | Refuse | AllDown
