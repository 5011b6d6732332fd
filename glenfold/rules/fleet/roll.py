"""The state of a rolling restart: conditions for its start, and begin, stop, continue and call off."""

from collections.abc import Container

from glenfold.rules.fleet.context import Context
from glenfold.rules.fleet.state import Phase, Roll
from glenfold.rules.service import Shares

SHARE_DIGITS = 4  # Log events give shares with this number of decimal places.


class RollControl:
    """Control of the roll in `State.roll`; at most one exists at a time."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def rejection_reason(self, most_out: int) -> str | None:
        """Returns why a roll can't begin now; None if it can."""
        context, roll = self._context, self._context.state.roll
        count = len(context.options.instances)
        if context.state.down:
            return "the fleet is going down"
        if roll is not None:
            stopped = "a roll was stopped; continue it or call it off first"
            return "a roll is running" if roll.running else stopped
        if not 1 <= most_out < max(2, count):
            return f"{most_out} of {count} instances out at once would leave none, or never begin"
        unready = self.out_of_service()
        if len(unready) >= most_out:
            return "not ready: " + ", ".join(self._describe(name) for name in unready)
        return None

    def _describe(self, name: str) -> str:
        instance = self._context.state.instances[name]
        replacing = ", being replaced" if instance.replacing else ""
        return f"{name} ({instance.phase.value}{replacing})"

    def out_of_service(self, stepping: Container[str] = ()) -> list[str]:
        """Returns the instances that are not ready, being replaced or in `stepping`, in configured order."""
        instances = self._context.state.instances
        return [
            name
            for name in self._context.options.instances
            if name in stepping or instances[name].replacing or instances[name].phase is not Phase.READY
        ]

    def begin(self, most_out: int, now: float) -> None:
        context = self._context
        names = context.options.instances
        before = context.service or Shares()
        if before.asked < context.options.least_asked:
            before = Shares(before.asked)
        context.state.roll = Roll(list(names), most_out, before, now)
        context.state.rolls += 1
        context.log(
            "fleet.roll_begun",
            instances=len(names),
            most_out=most_out,
            refused=round(before.refused, SHARE_DIGITS),
            unanswered=round(before.unanswered, SHARE_DIGITS),
        )

    def continue_stopped(self) -> None:
        roll = self._context.state.roll
        assert roll is not None
        roll.running = True
        roll.reason = ""
        roll.waits_since = None
        self._context.log("fleet.roll_continued", left=len(roll.todo))

    def call_off(self) -> None:
        roll = self._context.state.roll
        assert roll is not None
        self._context.log("fleet.roll_called_off", done=len(roll.done))
        self.finish("called off")

    def finish(self, outcome: str) -> None:
        self._context.state.roll = None
        self._context.state.last_roll = outcome

    def stop(self, reason: str) -> None:
        """Stops a running roll; does nothing without one.

        No further instance is taken out of service. Instances that are out return by themselves, and their
        steps are repeated when the roll is continued.
        """
        roll = self._context.state.roll
        if roll is None or not roll.running:
            return
        roll.running = False
        roll.reason = reason
        roll.todo = [*roll.out, *roll.todo]
        roll.out = []
        self._context.log("fleet.roll_stopped", reason=reason, done=len(roll.done), left=len(roll.todo))

    def retry_step(self, name: str) -> None:
        """Puts an instance whose step was interrupted back at the head of the queue."""
        roll = self._context.state.roll
        if roll and name in roll.out:
            roll.out.remove(name)
            roll.todo.insert(0, name)

    def is_stepping(self, name: str) -> bool:
        """Returns whether the roll has taken this instance out of service."""
        roll = self._context.state.roll
        return roll is not None and name in roll.out
