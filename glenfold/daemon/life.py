"""The life of one instance as states, without I/O: steps go in, and who watches hears of each change.

    starting -> waiting -> ready -> draining -> finishing -> stopped
                  ^          |
                  '----------'  ready <-> reloading while a configuration is read again

An instance is asked to stop in any state; from draining on there is no way back.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum


class State(Enum):
    STARTING = "starting"  # nothing listens yet
    WAITING = "waiting"  # it listens, but has no list of push servers, or its start is not paid for yet
    READY = "ready"  # it places requests at its usual pace
    RELOADING = "reloading"  # it goes on as it did while it reads its configuration again
    DRAINING = "draining"  # it takes what still arrives
    FINISHING = "finishing"  # it answers what it has taken and moves its clients
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
    """A step that no life takes."""


@dataclass(slots=True)
class Life:
    """`state` now; watches are called with the state before and the new one, in the order they were added."""

    state: State = State.STARTING
    watches: list[Watch] = field(default_factory=list)

    def to(self, state: State) -> None:
        """Raises NotAllowed; a step to the state that it is in does nothing."""
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
        return self.state in (State.DRAINING, State.FINISHING, State.STOPPED)
