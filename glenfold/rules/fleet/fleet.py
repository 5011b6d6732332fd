"""The entry point of the fleet decisions, which turns each input into a list of effects."""

from collections.abc import Callable

from glenfold.rules.fleet.context import Context
from glenfold.rules.fleet.effects import AllDown, Effect, Refuse, Reload
from glenfold.rules.fleet.inputs import (
    BeginRoll,
    CallOffRoll,
    Command,
    ContinueRoll,
    Down,
    Exited,
    Input,
    NewOptions,
    ProcessAnswered,
    ProcessStarted,
    Release,
    ReloadAll,
    SaveFailed,
    ServiceMeasured,
    SupervisorStarted,
    TimePassed,
)
from glenfold.rules.fleet.lifecycle import Lifecycle
from glenfold.rules.fleet.options import Options
from glenfold.rules.fleet.recovery import Recovery
from glenfold.rules.fleet.roll import RollControl
from glenfold.rules.fleet.roll_progress import RollProgress
from glenfold.rules.fleet.state import Instance, Phase, State

RELOAD_DURING_ROLL = (
    "a roll is running, and each instance that it starts goes by the file as it was when"
    " the roll began; wait for its end or call it off"
)


class Fleet:
    """The decisions for one fleet. `state` is changed in place. `draw` returns random numbers in [0, 1)."""

    def __init__(self, options: Options, state: State, draw: Callable[[], float]) -> None:
        self.state = state
        self._context = Context(options, state, draw)
        self._roll = RollControl(self._context)
        self._lifecycle = Lifecycle(self._context, self._roll)
        self._recovery = Recovery(self._context, self._roll, self._lifecycle)
        self._roll_progress = RollProgress(self._context, self._roll, self._lifecycle)
        for name in options.instances:
            state.instances.setdefault(name, Instance())

    def on(self, event_input: Input, now: float) -> list[Effect]:
        """Applies the input and all steps that are due at `now`, and returns the effects in order."""
        self._apply(event_input, now)
        self._advance(now)
        return self._context.take_effects()

    def next_at(self) -> float:
        """Returns the time of the next scheduled start if no input comes first; infinity if there is none."""
        due = [one.due_at for one in self.state.instances.values() if one.phase is Phase.DUE]
        return max(min(due), self._earliest_start()) if due else float("inf")

    def rejection_reason(self, command: Command) -> str | None:
        """Returns why the command would be rejected now; None if it would be accepted."""
        roll = self.state.roll
        match command:
            case BeginRoll():
                return self._roll.rejection_reason(self._max_out(command))
            case ContinueRoll() if roll is None or roll.running:
                return "no roll is stopped"
            case CallOffRoll() if roll is None:
                return "there is no roll"
            case Release(name) if not self._held_instances(name):
                return f"{name} is not held" if name else "no instance is held"
            case ReloadAll() if roll and roll.running:
                return RELOAD_DURING_ROLL
        return None

    def _apply(self, event_input: Input, now: float) -> None:
        match event_input:
            case SupervisorStarted():
                self._recovery.resume(event_input, now)
            case NewOptions(options):
                self._apply_options(options, now)
            case ProcessStarted():
                self._lifecycle.on_started(event_input)
            case ProcessAnswered():
                self._lifecycle.on_answered(event_input, now)
            case Exited():
                self._lifecycle.on_exited(event_input, now)
            case ServiceMeasured(shares):
                self._context.service = shares
            case SaveFailed(reason):
                self._roll.stop(f"the state can't be saved: {reason}")
            case TimePassed():
                pass
            case _:
                self._execute(event_input, now)

    def _execute(self, command: Command, now: float) -> None:
        if reason := self.rejection_reason(command):
            self._context.emit(Refuse(reason))
            return
        match command:
            case BeginRoll():
                self._roll.begin(self._max_out(command), now)
            case ContinueRoll():
                self._roll.continue_stopped()
            case CallOffRoll():
                self._roll.call_off()
            case Release(name):
                self._release(name, now)
            case ReloadAll():
                self._reload()
            case Down():
                self._take_down(now)

    def _max_out(self, command: BeginRoll) -> int:
        return self._context.options.most_out if command.most_out is None else command.most_out

    def _held_instances(self, name: str | None) -> list[Instance]:
        return [
            instance
            for of, instance in self.state.instances.items()
            if instance.phase is Phase.HELD and name in (None, of)
        ]

    def _release(self, name: str | None, now: float) -> None:
        for instance in self._held_instances(name):
            instance.forget_exits()
            instance.schedule(now, now)

    def _reload(self) -> None:
        for name, instance in self.state.instances.items():
            if instance.process is not None and instance.phase in (Phase.READY, Phase.UNREADY):
                self._context.emit(Reload(name, instance.process))

    def _take_down(self, now: float) -> None:
        if self.state.roll:
            self._roll.call_off()
        self.state.down = True
        for name, instance in self.state.instances.items():
            self._lifecycle.retire(name, instance, now)

    def _apply_options(self, options: Options, now: float) -> None:
        """Schedules new instances, and stops those that are no longer in the options."""
        self._context.options = options
        for name in options.instances:
            if name not in self.state.instances:
                self.state.instances[name] = Instance(since=now, due_at=now)
        for name, instance in list(self.state.instances.items()):
            if name not in options.instances and instance.phase is not Phase.STOPPING:
                self._lifecycle.retire(name, instance, now)
                self._lifecycle.remove_unwanted(name, instance)

    def _advance(self, now: float) -> None:
        """Performs the kills, the steps of the roll and the starts that are due at `now`."""
        for name, instance in self.state.instances.items():
            self._lifecycle.kill_overdue(name, instance, now)
            self._lifecycle.check_successor(name, instance, now)
        self._roll_progress.advance(now)
        self._start_due(now)
        if self.state.down and self._all_down():
            self._context.emit(AllDown())

    def _start_due(self, now: float) -> None:
        due = sorted(
            (instance.due_at, name)
            for name, instance in self.state.instances.items()
            if instance.phase is Phase.DUE and instance.due_at <= now
        )
        for _, name in due:
            if now < self._earliest_start():
                break
            self._lifecycle.start(name, self.state.instances[name], now)

    def _earliest_start(self) -> float:
        return self.state.last_start + self._context.options.stagger_s

    def _all_down(self) -> bool:
        instances = self.state.instances.values()
        return all(instance.phase is Phase.DOWN and not instance.leaving for instance in instances)
