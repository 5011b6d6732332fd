"""The context that the parts of one fleet share: options, state, measured service, pending effects."""

from collections.abc import Callable

from glenfold.rules.fleet.effects import Effect, Tell
from glenfold.rules.fleet.options import Options
from glenfold.rules.fleet.state import State
from glenfold.rules.service import Shares


class Context:
    """The shared objects of one fleet. `draw` returns random numbers in [0, 1)."""

    def __init__(self, options: Options, state: State, draw: Callable[[], float]) -> None:
        self.options = options
        self.state = state
        self.draw = draw
        self.service: Shares | None = None
        self._effects: list[Effect] = []

    def emit(self, effect: Effect) -> None:
        """Appends the effect to the pending ones."""
        self._effects.append(effect)

    def log(self, event: str, **fields: object) -> None:
        """Emits a log event."""
        self.emit(Tell(event, fields))

    def take_effects(self) -> list[Effect]:
        """Returns the pending effects and removes them."""
        effects, self._effects = self._effects, []
        return effects

    def is_wanted(self, name: str) -> bool:
        """Returns whether the instance should run: it is in the options and the fleet is not going down."""
        return name in self.options.instances and not self.state.down
