"""The lifecycle of one instance as a state machine without I/O that calls its watches at each change.

    starting -> waiting -> ready -> draining -> finishing -> stopped
                  ^          |
                  '----------'  ready <-> reloading while a configuration is read again

An instance may be asked to stop in any state; once it drains, it can't return to service.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum


class State(Enum):
    """The state of an instance, with the value that status answers and logs show."""

    STARTING = "starting"  # No socket listens yet.
    WAITING = "waiting"  # It listens, but has no list of push servers, or still waits for CPU quota.
    READY = "ready"  # It places requests at its usual rate.
    RELOADING = "reloading"  # It serves as before while it reads its configuration again.
    DRAINING = "draining"  # It still accepts clients that arrive.
    FINISHING = "finishing"  # It answers accepted requests and tells its clients to move.
    STOPPED = "stopped"


ALLOWED: dict[State, frozenset[State]] = {
    State.STARTING: frozenset({State.WAITING, State.DRAINING, State.STOPPED}),
    State.WAITING: frozenset({State.READY, State.RELOADING, State.DRAINING, State.STOPPED}),
    State.READY: frozenset({State.WAITING, State.RELOADING, State.DRAINING, State.STOPPED}),
    State.RELOADING: frozenset({State.WAITING, State.READY, State.DRAINING, State.STOPPED}),
    State.DRAINING: frozenset({State.FINISHING, State.STOPPED}),
    State.FINISHING: frozenset({State.STOPPED}),
    State.STOPPED: frozenset(),
}

Watch = Callable[[State, State], None]


class NotAllowed(Exception):
    """Raised for a transition that ALLOWED does not list."""


@dataclass(slots=True)
class Life:
    """The current `state` of an instance, and its `watches`.

    At each change the watches are called with the previous and the new state, in the order of their addition.
    """

    state: State = State.STARTING
    watches: list[Watch] = field(default_factory=list)

    def to(self, state: State) -> None:
        """Changes the state; the current state as argument changes nothing. Raises NotAllowed."""
        previous = self.state
        if state is previous:
            return
        if state not in ALLOWED[previous]:
            raise NotAllowed(f"{previous.value} -> {state.value}")
        self.state = state
        for watch in tuple(self.watches):
            watch(previous, state)

    @property
    def ending(self) -> bool:
        """Whether the instance is stopping or has stopped."""
        return self.state in (State.DRAINING, State.FINISHING, State.STOPPED)
