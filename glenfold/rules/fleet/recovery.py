"""Reconciliation of the saved state with the processes that a new supervisor finds."""

from glenfold.rules.fleet.context import Context
from glenfold.rules.fleet.inputs import Exited, SupervisorStarted
from glenfold.rules.fleet.lifecycle import Lifecycle
from glenfold.rules.fleet.roll import RollControl
from glenfold.rules.fleet.state import NEVER, Instance, Phase


class Recovery:
    """Applies `SupervisorStarted` to all instances."""

    def __init__(self, context: Context, roll: RollControl, lifecycle: Lifecycle) -> None:
        self._context = context
        self._roll = roll
        self._lifecycle = lifecycle

    def resume(self, found: SupervisorStarted, now: float) -> None:
        """Reconciles the saved state of each instance with the processes in `found`."""
        state = self._context.state
        state.down = False
        if not found.same_boot:
            self._discard_times(now)
        kill_at = now + self._context.options.stop_within_s
        for name, instance in list(state.instances.items()):
            instance.leaving = {
                process: kill_at for process in instance.leaving if process in found.live_processes
            }
            self._resume_instance(name, instance, found, now)

    def _discard_times(self, now: float) -> None:
        """Discards the saved times and processes after a reboot.

        The monotonic clock starts again with the machine, and no process survives a reboot.
        """
        state = self._context.state
        state.last_start = NEVER
        self._roll.stop("the machine was started anew")
        for instance in state.instances.values():
            instance.forget_exits()
            instance.clear_successor()
            instance.process = None
            instance.due_at = instance.since = now
            if instance.phase is not Phase.HELD:
                instance.phase = Phase.DUE

    def _resume_instance(self, name: str, instance: Instance, found: SupervisorStarted, now: float) -> None:
        if instance.replacing and instance.successor not in found.live_processes:
            instance.clear_successor()
            self._roll.retry_step(name)
        running = found.answering.get(name)
        if running is None and instance.process in found.live_processes:
            running = instance.process
        if running is None:
            self._resume_missing(name, instance, now)
        elif running == instance.successor:
            if instance.process not in found.live_processes:
                self._lifecycle.continue_with_successor(instance, now)
        elif running != instance.process:
            if instance.process not in found.live_processes:
                instance.process = None
            self._lifecycle.adopt(name, instance, running, now)
        else:
            self._resume_running(name, instance, running, now)

    def _resume_running(self, name: str, instance: Instance, process: str, now: float) -> None:
        if instance.phase is Phase.STOPPING:
            self._lifecycle.send_stop(name, instance, process, now)
            return
        instance.restart_phase(Phase.UNREADY, now)
        if not self._context.is_wanted(name):
            self._lifecycle.stop(name, instance, now)

    def _resume_missing(self, name: str, instance: Instance, now: float) -> None:
        if instance.phase is Phase.HELD:
            return
        if instance.process is not None:
            exited = Exited(name, instance.process, "while no supervisor looked on")
            self._lifecycle.on_exited(exited, now)
        elif self._context.is_wanted(name):
            due_at = max(instance.due_at, now) if instance.phase is Phase.DUE else now
            instance.schedule(due_at, now)
        else:
            instance.enter(Phase.DOWN, now)
            self._lifecycle.remove_unwanted(name, instance)
