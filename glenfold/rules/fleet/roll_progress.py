"""The steps of a rolling restart: which instance is taken out of service, and when its step is complete."""

from glenfold.rules.fleet.context import Context
from glenfold.rules.fleet.effects import Replace
from glenfold.rules.fleet.lifecycle import Lifecycle
from glenfold.rules.fleet.roll import RollControl
from glenfold.rules.fleet.state import Instance, Phase, Roll


class RollProgress:
    """Advances the roll of a fleet on every input."""

    def __init__(self, context: Context, control: RollControl, lifecycle: Lifecycle) -> None:
        self._context = context
        self._control = control
        self._lifecycle = lifecycle

    def advance(self, now: float) -> None:
        """Completes steps, stops the roll if service has degraded, and begins further steps."""
        context = self._context
        if context.state.roll is not None:
            for name in tuple(context.state.roll.out):
                self._advance_step(name, now)
        roll = context.state.roll
        if roll is None or not roll.running:
            return
        if worse := self._degradation(context.options.suffers):
            self._control.stop(f"service suffers: {worse}")
            return
        self._begin_steps(roll, now)
        self._limit_wait(roll, now)
        if not roll.todo and not roll.out:
            took_s = round(now - roll.begun_at, 3)
            context.log("fleet.roll_done", instances=len(roll.done), took_s=took_s)
            self._control.finish("done")

    def _begin_steps(self, roll: Roll, now: float) -> None:
        roll.todo = [name for name in roll.todo if name in self._context.options.instances]
        while len(out := self._control.out_of_service(roll.out)) < roll.most_out:
            candidates = [name for name in roll.todo if name not in out]
            if not candidates:
                break
            roll.todo.remove(candidates[0])
            self._begin_step(roll, candidates[0], now)

    def _begin_step(self, roll: Roll, name: str, now: float) -> None:
        instance = self._context.state.instances[name]
        roll.out.append(name)
        self._context.log("fleet.roll_step", name=name, done=len(roll.done), left=len(roll.todo))
        if self._context.options.take_over:
            instance.replacing = True
            instance.since = now
            instance.starts += 1
            self._context.emit(Replace(name))
        else:
            self._lifecycle.stop(name, instance, now)

    def _limit_wait(self, roll: Roll, now: float) -> None:
        """Stops the roll if it waits too long for instances that it did not take out of service itself."""
        if not roll.todo or roll.out:
            roll.waits_since = None
        elif roll.waits_since is None:
            roll.waits_since = now
        elif now - roll.waits_since > self._context.options.ready_within_s:
            names = ", ".join(self._control.out_of_service())
            self._control.stop(f"waits for instances that it did not take out: {names}")

    def _advance_step(self, name: str, now: float) -> None:
        roll, options = self._context.state.roll, self._context.options
        instance = self._context.state.instances.get(name)
        if roll is None or name not in roll.out:
            return
        if instance is None:  # The instance is no longer in the options.
            roll.out.remove(name)
            return
        duration_s = now - instance.since
        if instance.phase is Phase.UNREADY and duration_s > options.ready_within_s:
            self._control.stop(f"{name} was not ready within {options.ready_within_s:g} s")
        elif _is_back(instance) and duration_s >= options.window_s:
            self._complete_step(roll, name, duration_s)

    def _complete_step(self, roll: Roll, name: str, ready_for_s: float) -> None:
        """Completes the step if service has recovered; stops the roll if that takes too long."""
        worse = self._degradation(self._context.options.as_before)
        if self._context.service is not None and not worse:
            roll.out.remove(name)
            roll.done.append(name)
        elif ready_for_s > self._context.options.settle_within_s:
            self._control.stop(f"service is not as before after {name}: {worse or 'no figures'}")

    def _degradation(self, tolerance: float) -> str:
        """Describes the shares that exceed those before the roll by more than `tolerance`.

        The text is empty if no share does, or if there are too few requests for a comparison.
        """
        now, roll = self._context.service, self._context.state.roll
        if now is None or roll is None or now.asked < self._context.options.least_asked:
            return ""
        shares = (
            ("refused", now.refused, roll.before.refused),
            ("unanswered", now.unanswered, roll.before.unanswered),
        )
        return ", ".join(
            f"{share:.1%} {name}, {before:.1%} before"
            for name, share, before in shares
            if share > before + tolerance
        )


def _is_back(instance: Instance) -> bool:
    return instance.phase is Phase.READY and not instance.replacing
