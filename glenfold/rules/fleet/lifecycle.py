"""Transitions of a single instance: start, readiness, replacement, exit, back-off, stop and kill."""

from glenfold.rules.fleet.context import Context
from glenfold.rules.fleet.effects import Kill, Start, Stop
from glenfold.rules.fleet.incidents import Ended, Seen, Spawned
from glenfold.rules.fleet.roll import RollControl
from glenfold.rules.fleet.state import Instance, Phase

MOST_DOUBLINGS = 60  # keeps the exponential back-off within the range of a float
RUNNING = (Phase.UNREADY, Phase.READY, Phase.STOPPING)


class Lifecycle:
    """Applies incidents that concern one instance to its state."""

    def __init__(self, context: Context, roll: RollControl) -> None:
        self._context = context
        self._roll = roll

    # ---- start and readiness ----

    def start(self, name: str, instance: Instance, now: float) -> None:
        self._context.state.last_start = now
        instance.starts += 1
        instance.process = None
        instance.enter(Phase.UNREADY, now)
        self._context.emit(Start(name))

    def spawned(self, spawned: Spawned) -> None:
        instance = self._context.state.instances[spawned.name]
        if instance.replacing:
            instance.successor = spawned.process
        else:
            instance.process = spawned.process

    def seen(self, seen: Seen, now: float) -> None:
        instance = self._context.state.instances.get(seen.name)
        if instance is None or seen.process in instance.leaving:
            return
        if seen.process == instance.successor:
            if seen.ready:
                self._complete_replacement(seen.name, instance, now)
            return
        if seen.process != instance.process:
            self.adopt(seen.name, instance, seen.process, now)
        if instance.phase is not Phase.STOPPING:
            self._set_readiness(seen, instance, now)

    def _set_readiness(self, seen: Seen, instance: Instance, now: float) -> None:
        if seen.ready and instance.phase is not Phase.READY:
            after_s = round(now - instance.since, 3)
            self._context.tell("fleet.ready", name=seen.name, process=seen.process, after_s=after_s)
        instance.enter(Phase.READY if seen.ready else Phase.UNREADY, now)

    def adopt(self, name: str, instance: Instance, process: str, now: float) -> None:
        """Takes in a process that this supervisor did not start."""
        self._retire_process(instance, now)
        instance.process = process
        self._context.tell("fleet.found", name=name, process=process)
        if self._context.is_wanted(name):
            instance.restart_phase(Phase.UNREADY, now)
        else:
            self.stop(name, instance, now)

    # ---- replacement by a successor ----

    def _complete_replacement(self, name: str, instance: Instance, now: float) -> None:
        before = instance.process
        self._retire_process(instance, now)
        self._context.tell("fleet.replaced", name=name, process=instance.successor, before=before)
        instance.promote_successor()
        instance.restart_phase(Phase.READY, now)

    def _retire_process(self, instance: Instance, now: float) -> None:
        if instance.process is not None:
            instance.leaving[instance.process] = self._kill_at(now)

    def succeed(self, instance: Instance, now: float) -> None:
        """The old process has exited, as it may, before its successor was seen to be ready."""
        instance.promote_successor()
        instance.restart_phase(Phase.UNREADY, now)

    def abandon_successor(self, name: str, instance: Instance, now: float) -> None:
        if instance.successor is not None:
            instance.leaving[instance.successor] = self._kill_at(now)
            self._context.emit(Kill(name, instance.successor))
        instance.clear_successor()

    def check_successor(self, name: str, instance: Instance, now: float) -> None:
        """Gives up a successor that takes too long to become ready."""
        ready_within_s = self._context.terms.ready_within_s
        if instance.replacing and now - instance.since > ready_within_s:
            self.abandon_successor(name, instance, now)
            self._roll.stop(f"the successor of {name} was not ready within {ready_within_s:g} s")

    # ---- exits ----

    def ended(self, ended: Ended, now: float) -> None:
        instance = self._context.state.instances.get(ended.name)
        if instance is None:
            return
        process = ended.process
        if process is not None and instance.leaving.pop(process, None) is not None:
            self.remove_unwanted(ended.name, instance)
        elif instance.replacing and process == instance.successor:
            self._successor_ended(ended, instance)
        elif process == instance.process and instance.phase in RUNNING:
            instance.how = ended.how
            self._process_ended(ended.name, instance, now)

    def _successor_ended(self, ended: Ended, instance: Instance) -> None:
        instance.clear_successor()
        self._context.tell("fleet.successor_ended", name=ended.name, how=ended.how)
        self._roll.stop(f"the successor of {ended.name} ended before it was ready: {ended.how}")

    def _process_ended(self, name: str, instance: Instance, now: float) -> None:
        if instance.replacing and instance.successor is not None:
            self.succeed(instance, now)
        elif instance.phase is Phase.STOPPING:
            self._ended_as_requested(name, instance, now)
        else:
            self._ended_unrequested(name, instance, now)

    def _ended_as_requested(self, name: str, instance: Instance, now: float) -> None:
        instance.process = None
        self._context.tell("fleet.stopped", name=name, how=instance.how)
        if self._context.is_wanted(name):
            instance.schedule(now, now)
        else:
            instance.enter(Phase.DOWN, now)
            self.remove_unwanted(name, instance)

    def _ended_unrequested(self, name: str, instance: Instance, now: float) -> None:
        self._count_exit(instance, now)
        instance.replacing = False
        instance.process = None
        if self._roll.is_stepping(name):
            self._roll.stop(f"{name} ended: {instance.how}")
        if not self._context.is_wanted(name):
            instance.enter(Phase.DOWN, now)
            self.remove_unwanted(name, instance)
        elif len(instance.ends) >= self._context.terms.loop_ends:
            self._hold(name, instance, now)
        else:
            self._back_off(name, instance, now)

    def _count_exit(self, instance: Instance, now: float) -> None:
        terms = self._context.terms
        was_steady = instance.phase is Phase.READY and now - instance.since >= terms.steady_s
        instance.in_a_row = 1 if was_steady else instance.in_a_row + 1
        instance.ends = [at for at in instance.ends if at > now - terms.loop_window_s] + [now]

    def _hold(self, name: str, instance: Instance, now: float) -> None:
        instance.enter(Phase.HELD, now)
        self._context.tell(
            "fleet.held",
            name=name,
            how=instance.how,
            ends=len(instance.ends),
            within_s=self._context.terms.loop_window_s,
        )

    def _back_off(self, name: str, instance: Instance, now: float) -> None:
        terms = self._context.terms
        doublings = min(instance.in_a_row - 1, MOST_DOUBLINGS)
        delay_s = min(terms.most_backoff_s, terms.backoff_s * 2.0**doublings)
        delay_s *= 1 + terms.jitter * self._context.draw()
        instance.schedule(now + delay_s, now)
        self._context.tell("fleet.ended", name=name, how=instance.how, again_in_s=round(delay_s, 3))

    # ---- stop, kill and removal ----

    def stop(self, name: str, instance: Instance, now: float) -> None:
        if instance.process is None:
            instance.enter(Phase.DOWN, now)
            return
        instance.enter(Phase.STOPPING, now)
        self.send_stop(name, instance, instance.process, now)

    def send_stop(self, name: str, instance: Instance, process: str, now: float) -> None:
        instance.kill_at = self._kill_at(now)
        self._context.emit(Stop(name, process))

    def retire(self, name: str, instance: Instance, now: float) -> None:
        """Stops the instance and any successor, unless it is stopping already."""
        if instance.phase is not Phase.STOPPING:
            self.abandon_successor(name, instance, now)
            self.stop(name, instance, now)

    def kill_overdue(self, name: str, instance: Instance, now: float) -> None:
        """Kills processes that did not exit in time; repeated, in case a signal was lost."""
        stopping = instance.phase is Phase.STOPPING
        if stopping and instance.process is not None and now >= instance.kill_at:
            instance.kill_at = self._kill_at(now)
            self._kill(name, instance.process)
        for process, kill_at in instance.leaving.items():
            if now >= kill_at:
                instance.leaving[process] = self._kill_at(now)
                self._kill(name, process)

    def _kill(self, name: str, process: str) -> None:
        after_s = self._context.terms.stop_within_s
        self._context.tell("fleet.killed", name=name, process=process, after_s=after_s)
        self._context.emit(Kill(name, process))

    def _kill_at(self, now: float) -> float:
        return now + self._context.terms.stop_within_s

    def remove_unwanted(self, name: str, instance: Instance) -> None:
        """Forgets an instance that is no longer in the settings, once none of its processes is left."""
        configured = name in self._context.terms.instances
        if not configured and instance.phase is Phase.DOWN and not instance.leaving:
            del self._context.state.instances[name]
