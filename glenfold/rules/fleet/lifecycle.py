"""Transitions of a single instance: start, readiness, replacement, exit, back-off, stop and kill."""

from glenfold.rules.fleet.context import Context
from glenfold.rules.fleet.effects import Kill, Start, Stop
from glenfold.rules.fleet.inputs import Exited, ProcessAnswered, ProcessStarted
from glenfold.rules.fleet.roll import RollControl
from glenfold.rules.fleet.state import Instance, Phase

MAX_DOUBLINGS = 60  # The limit keeps the exponential back-off within the range of a float.
RUNNING_PHASES = (Phase.UNREADY, Phase.READY, Phase.STOPPING)


class Lifecycle:
    """Applies the inputs that concern one instance to its state."""

    def __init__(self, context: Context, roll: RollControl) -> None:
        self._context = context
        self._roll = roll

    # ---- start and readiness ----

    def start(self, name: str, instance: Instance, now: float) -> None:
        """Starts the instance, which is not ready until its process reports it."""
        self._context.state.last_start = now
        instance.starts += 1
        instance.process = None
        instance.enter(Phase.UNREADY, now)
        self._context.emit(Start(name))

    def on_started(self, started: ProcessStarted) -> None:
        """Records the started process, as the successor if the instance is being replaced."""
        instance = self._context.state.instances[started.name]
        if instance.replacing:
            instance.successor = started.process
        else:
            instance.process = started.process

    def on_answered(self, answer: ProcessAnswered, now: float) -> None:
        """Applies the reported readiness, adopts an unknown process, and completes a replacement."""
        instance = self._context.state.instances.get(answer.name)
        if instance is None or answer.process in instance.leaving:
            return
        if answer.process == instance.successor:
            if answer.ready:
                self._complete_replacement(answer.name, instance, now)
            return
        if answer.process != instance.process:
            self.adopt(answer.name, instance, answer.process, now)
        if instance.phase is not Phase.STOPPING:
            self._set_readiness(answer, instance, now)

    def _set_readiness(self, answer: ProcessAnswered, instance: Instance, now: float) -> None:
        if answer.ready and instance.phase is not Phase.READY:
            after_s = round(now - instance.since, 3)
            self._context.log("fleet.ready", name=answer.name, process=answer.process, after_s=after_s)
        instance.enter(Phase.READY if answer.ready else Phase.UNREADY, now)

    def adopt(self, name: str, instance: Instance, process: str, now: float) -> None:
        """Takes a process that this supervisor did not start as the process of the instance."""
        self._retire_process(instance, now)
        instance.process = process
        self._context.log("fleet.found", name=name, process=process)
        if self._context.is_wanted(name):
            instance.restart_phase(Phase.UNREADY, now)
        else:
            self.stop(name, instance, now)

    # ---- replacement by a successor ----

    def _complete_replacement(self, name: str, instance: Instance, now: float) -> None:
        before = instance.process
        self._retire_process(instance, now)
        self._context.log("fleet.replaced", name=name, process=instance.successor, before=before)
        instance.promote_successor()
        instance.restart_phase(Phase.READY, now)

    def _retire_process(self, instance: Instance, now: float) -> None:
        if instance.process is not None:
            instance.leaving[instance.process] = self._kill_at(now)

    def continue_with_successor(self, instance: Instance, now: float) -> None:
        """Makes the successor the process of the instance.

        The old process may exit before its successor has reported that it is ready.
        """
        instance.promote_successor()
        instance.restart_phase(Phase.UNREADY, now)

    def abandon_successor(self, name: str, instance: Instance, now: float) -> None:
        """Kills the successor, if there is one, and ends the replacement."""
        if instance.successor is not None:
            instance.leaving[instance.successor] = self._kill_at(now)
            self._context.emit(Kill(name, instance.successor))
        instance.clear_successor()

    def check_successor(self, name: str, instance: Instance, now: float) -> None:
        """Abandons a successor that takes too long to become ready, and stops the roll."""
        ready_within_s = self._context.options.ready_within_s
        if instance.replacing and now - instance.since > ready_within_s:
            self.abandon_successor(name, instance, now)
            self._roll.stop(f"the successor of {name} was not ready within {ready_within_s:g} s")

    # ---- exits ----

    def on_exited(self, exited: Exited, now: float) -> None:
        """Applies the exit of an old process, a successor or the instance's current process."""
        instance = self._context.state.instances.get(exited.name)
        if instance is None:
            return
        process = exited.process
        if process is not None and instance.leaving.pop(process, None) is not None:
            self.remove_unwanted(exited.name, instance)
        elif instance.replacing and process == instance.successor:
            self._on_successor_exited(exited, instance)
        elif process == instance.process and instance.phase in RUNNING_PHASES:
            instance.how = exited.how
            self._on_process_exited(exited.name, instance, now)

    def _on_successor_exited(self, exited: Exited, instance: Instance) -> None:
        instance.clear_successor()
        self._context.log("fleet.successor_ended", name=exited.name, how=exited.how)
        self._roll.stop(f"the successor of {exited.name} ended before it was ready: {exited.how}")

    def _on_process_exited(self, name: str, instance: Instance, now: float) -> None:
        if instance.replacing and instance.successor is not None:
            self.continue_with_successor(instance, now)
        elif instance.phase is Phase.STOPPING:
            self._on_requested_exit(name, instance, now)
        else:
            self._on_unrequested_exit(name, instance, now)

    def _on_requested_exit(self, name: str, instance: Instance, now: float) -> None:
        instance.process = None
        self._context.log("fleet.stopped", name=name, how=instance.how)
        if self._context.is_wanted(name):
            instance.schedule(now, now)
        else:
            instance.enter(Phase.DOWN, now)
            self.remove_unwanted(name, instance)

    def _on_unrequested_exit(self, name: str, instance: Instance, now: float) -> None:
        self._count_exit(instance, now)
        instance.replacing = False
        instance.process = None
        if self._roll.is_stepping(name):
            self._roll.stop(f"{name} ended: {instance.how}")
        if not self._context.is_wanted(name):
            instance.enter(Phase.DOWN, now)
            self.remove_unwanted(name, instance)
        elif len(instance.ends) >= self._context.options.loop_ends:
            self._hold(name, instance, now)
        else:
            self._back_off(name, instance, now)

    def _count_exit(self, instance: Instance, now: float) -> None:
        options = self._context.options
        was_steady = instance.phase is Phase.READY and now - instance.since >= options.steady_s
        instance.in_a_row = 1 if was_steady else instance.in_a_row + 1
        instance.ends = [at for at in instance.ends if at > now - options.loop_window_s] + [now]

    def _hold(self, name: str, instance: Instance, now: float) -> None:
        instance.enter(Phase.HELD, now)
        self._context.log(
            "fleet.held",
            name=name,
            how=instance.how,
            ends=len(instance.ends),
            within_s=self._context.options.loop_window_s,
        )

    def _back_off(self, name: str, instance: Instance, now: float) -> None:
        options = self._context.options
        doublings = min(instance.in_a_row - 1, MAX_DOUBLINGS)
        delay_s = min(options.most_backoff_s, options.backoff_s * 2.0**doublings)
        delay_s *= 1 + options.jitter * self._context.draw()
        instance.schedule(now + delay_s, now)
        self._context.log("fleet.ended", name=name, how=instance.how, again_in_s=round(delay_s, 3))

    # ---- stop, kill and removal ----

    def stop(self, name: str, instance: Instance, now: float) -> None:
        """Stops the process of the instance; an instance without a process is down at once."""
        if instance.process is None:
            instance.enter(Phase.DOWN, now)
            return
        instance.enter(Phase.STOPPING, now)
        self.send_stop(name, instance, instance.process, now)

    def send_stop(self, name: str, instance: Instance, process: str, now: float) -> None:
        """Sends SIGTERM to the process and sets the time of its SIGKILL."""
        instance.kill_at = self._kill_at(now)
        self._context.emit(Stop(name, process))

    def retire(self, name: str, instance: Instance, now: float) -> None:
        """Stops the instance and its successor, unless the instance is stopping already."""
        if instance.phase is not Phase.STOPPING:
            self.abandon_successor(name, instance, now)
            self.stop(name, instance, now)

    def kill_overdue(self, name: str, instance: Instance, now: float) -> None:
        """Kills processes that did not exit in time.

        The kill is repeated until the exit is reported, in case a signal was lost.
        """
        stopping = instance.phase is Phase.STOPPING
        if stopping and instance.process is not None and now >= instance.kill_at:
            instance.kill_at = self._kill_at(now)
            self._kill(name, instance.process)
        for process, kill_at in instance.leaving.items():
            if now >= kill_at:
                instance.leaving[process] = self._kill_at(now)
                self._kill(name, process)

    def _kill(self, name: str, process: str) -> None:
        after_s = self._context.options.stop_within_s
        self._context.log("fleet.killed", name=name, process=process, after_s=after_s)
        self._context.emit(Kill(name, process))

    def _kill_at(self, now: float) -> float:
        return now + self._context.options.stop_within_s

    def remove_unwanted(self, name: str, instance: Instance) -> None:
        """Removes an instance that is no longer in the options once none of its processes remains."""
        configured = name in self._context.options.instances
        if not configured and instance.phase is Phase.DOWN and not instance.leaving:
            del self._context.state.instances[name]
