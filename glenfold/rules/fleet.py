"""What the supervisor of a fleet on one machine decides, without I/O: incidents go in, effects come out.

    due -> not ready <-> ready        an end that nobody asked for: -> due, later each time, or -> held
     ^         |           |          `roll`: ready -> stopping -> due -> not ready -> ready, or a successor
     '---- stopping <------'          is started that takes over while the old process goes on serving

Moments are in seconds on the clock of `now`; `draw` gives random numbers in [0, 1). What has to
outlive the supervisor is in `State`; it is to be saved before the effects are carried out, so that another
supervisor, which begins with `Resumed`, never believes less to have been done than was.
"""

from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from glenfold.rules.service import Shares


class Terms(msgspec.Struct, frozen=True):
    """What the operators' file says of the fleet; lengths in seconds."""

    instances: tuple[str, ...]
    stagger_s: float = 0.0  # least from one start to the next in the whole fleet; 0: at once
    backoff_s: float = 0.5  # from an end that nobody asked for to the next start; doubles with each
    most_backoff_s: float = 30.0
    jitter: float = 0.5  # up to this share of it is added at random
    steady_s: float = 30.0  # ready for as long as this: the next wait is the shortest again
    loop_ends: int = 5  # with so many ends within loop_window_s it is held
    loop_window_s: float = 120.0
    ready_within_s: float = 30.0  # a roll stops when an instance takes longer
    stop_within_s: float = 75.0  # then SIGKILL
    most_out: int = 1  # instances that a roll may take out at once
    window_s: float = 5.0  # over which service is looked at
    settle_within_s: float = 60.0  # service has to be as before within this, from readiness
    least_asked: int = 20  # requests in a window below which it tells nothing
    as_before: float = 0.01  # by which a share may differ and be as before
    suffers: float = 0.05  # by which a share may rise before a roll stops
    take_over: bool = False  # a roll starts a successor that takes over


class Phase(Enum):
    DOWN = "down"  # nothing runs, nothing is to
    DUE = "due"  # to be started at `due_at`
    UNREADY = "not ready"  # a process runs, and is not ready (yet, or any more)
    READY = "ready"
    STOPPING = "stopping"  # told to stop
    HELD = "held"  # ended too often: not started until it is released


class Instance(msgspec.Struct):
    """A process is named by a text that no other process ever has."""

    phase: Phase = Phase.DUE
    since: float = 0.0
    due_at: float = 0.0
    kill_at: float = 0.0
    process: str | None = None
    replacing: bool = False
    successor: str | None = None
    leaving: dict[str, float] = {}  # processes that were replaced, and when they are killed
    ends: list[float] = []  # that nobody asked for, within the window
    in_a_row: int = 0  # of these, since it was last ready for long
    starts: int = 0
    how: str = ""  # its last end


class Roll(msgspec.Struct):
    todo: list[str]
    most_out: int
    before: Shares
    begun_at: float
    out: list[str] = []  # whose step has begun
    done: list[str] = []
    running: bool = True
    reason: str = ""  # why it was stopped
    waits_since: float | None = None  # for instances that it did not take out itself


class State(msgspec.Struct):
    instances: dict[str, Instance] = {}
    roll: Roll | None = None
    down: bool = False
    last_start: float = -1e9
    rolls: int = 0  # ever begun
    last_roll: str = ""  # how the last of them that is over ended


# ---- what comes in ----


@dataclass(frozen=True, slots=True)
class Resumed:
    """A supervisor begins. `alive`: of the processes that the state names, those that still run. `answering`:
    by instance, the process found on its control socket. `again`: False if the machine was started anew."""

    alive: frozenset[str]
    answering: Mapping[str, str]
    again: bool = True


@dataclass(frozen=True, slots=True)
class NewTerms:
    terms: Terms


@dataclass(frozen=True, slots=True)
class Spawned:
    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Seen:
    """What the control socket told just now."""

    name: str
    process: str
    ready: bool


@dataclass(frozen=True, slots=True)
class Ended:
    """`process` is None if it could not even be started."""

    name: str
    process: str | None
    how: str


@dataclass(frozen=True, slots=True)
class Served:
    shares: Shares


@dataclass(frozen=True, slots=True)
class Passed:
    """Time has."""


@dataclass(frozen=True, slots=True)
class StateLost:
    """The state can't be saved."""

    reason: str


@dataclass(frozen=True, slots=True)
class BeginRoll:
    most_out: int | None = None


@dataclass(frozen=True, slots=True)
class ContinueRoll:
    pass


@dataclass(frozen=True, slots=True)
class CallOffRoll:
    pass


@dataclass(frozen=True, slots=True)
class Release:
    """`name` None: all that are held."""

    name: str | None = None


@dataclass(frozen=True, slots=True)
class ReloadAll:
    pass


@dataclass(frozen=True, slots=True)
class Down:
    pass


Command = BeginRoll | ContinueRoll | CallOffRoll | Release | ReloadAll | Down
Incident = Resumed | NewTerms | Spawned | Seen | Ended | Served | Passed | StateLost | Command


# ---- what is to be done ----


@dataclass(frozen=True, slots=True)
class Start:
    name: str


@dataclass(frozen=True, slots=True)
class Replace:
    """Start a process that takes over from the one that runs."""

    name: str


@dataclass(frozen=True, slots=True)
class Stop:
    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Kill:
    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Reload:
    name: str
    process: str


@dataclass(frozen=True, slots=True)
class Tell:
    """For the log: `event` is a stable name."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refuse:
    """A command is not followed."""

    reason: str


@dataclass(frozen=True, slots=True)
class AllDown:
    pass


Effect = Start | Replace | Stop | Kill | Reload | Tell | Refuse | AllDown


class Fleet:
    def __init__(self, terms: Terms, state: State, draw: Callable[[], float]) -> None:
        self.terms, self.state = terms, state
        self.service: Shares | None = None
        self._draw = draw
        self._effects: list[Effect] = []
        for name in terms.instances:
            state.instances.setdefault(name, Instance())

    def on(self, incident: Incident, now: float) -> list[Effect]:
        self._take(incident, now)
        self._advance(now)
        effects, self._effects = self._effects, []
        return effects

    def next_at(self) -> float:
        """When the next start is due, if nothing else comes in; inf if none is."""
        due = [one.due_at for one in self.state.instances.values() if one.phase is Phase.DUE]
        return max(min(due), self.state.last_start + self.terms.stagger_s) if due else float("inf")

    def _take(self, incident: Incident, now: float) -> None:
        match incident:
            case Resumed():
                self._resume(incident, now)
            case NewTerms(terms):
                self._new_terms(terms, now)
            case Spawned(name, process):
                self._spawned(self.state.instances[name], process)
            case Seen(name, process, ready):
                self._seen(name, process, ready, now)
            case Ended(name, process, how):
                self._ended(name, process, how, now)
            case Served(shares):
                self.service = shares
            case StateLost(reason):
                self._halt(f"the state can't be saved: {reason}")
            case Passed():
                pass
            case _:
                self._command(incident, now)

    def why_not(self, command: Command) -> str | None:
        """Why it would be refused now; None if it wouldn't."""
        roll = self.state.roll
        match command:
            case BeginRoll(most_out):
                return self._why_no_roll(self.terms.most_out if most_out is None else most_out)
            case ContinueRoll() if roll is None or roll.running:
                return "no roll is stopped"
            case CallOffRoll() if roll is None:
                return "there is no roll"
            case Release(name) if not self._held(name):
                return f"{name} is not held" if name else "no instance is held"
            case ReloadAll() if roll and roll.running:
                return (
                    "a roll is running, and each instance that it starts goes by the file as it was when"
                    " the roll began; wait for its end or call it off"
                )
        return None

    def _command(self, command: Command, now: float) -> None:
        if reason := self.why_not(command):
            self._effects.append(Refuse(reason))
            return
        match command:
            case BeginRoll(most_out):
                self._begin_roll(self.terms.most_out if most_out is None else most_out, now)
            case ContinueRoll():
                self._continue_roll()
            case CallOffRoll():
                self._call_off()
            case Release(name):
                self._release(name, now)
            case ReloadAll():
                self._reload()
            case Down():
                self._down(now)

    # ---- one instance ----

    def _wanted(self, name: str) -> bool:
        return name in self.terms.instances and not self.state.down

    @staticmethod
    def _to(one: Instance, phase: Phase, now: float) -> None:
        if one.phase is not phase:
            one.phase, one.since = phase, now

    def _tell(self, event: str, **fields: object) -> None:
        self._effects.append(Tell(event, fields))

    def _spawned(self, one: Instance, process: str) -> None:
        if one.replacing:
            one.successor = process
        else:
            one.process = process

    def _seen(self, name: str, process: str, ready: bool, now: float) -> None:
        one = self.state.instances.get(name)
        if one is None or process in one.leaving:
            return
        if process == one.successor:
            if ready:
                self._replaced(name, one, now)
            return
        if process != one.process:
            self._adopt(name, one, process, now)
        if one.phase is not Phase.STOPPING:
            if ready and one.phase is not Phase.READY:
                self._tell("fleet.ready", name=name, process=process, after_s=round(now - one.since, 3))
            self._to(one, Phase.READY if ready else Phase.UNREADY, now)

    def _adopt(self, name: str, one: Instance, process: str, now: float) -> None:
        """Somebody else started it, or let it take over."""
        if one.process is not None:
            one.leaving[one.process] = now + self.terms.stop_within_s
        one.process = process
        self._tell("fleet.found", name=name, process=process)
        if self._wanted(name):
            one.phase, one.since = Phase.UNREADY, now
        else:
            self._stop(name, one, now)

    def _replaced(self, name: str, one: Instance, now: float) -> None:
        if one.process is not None:
            one.leaving[one.process] = now + self.terms.stop_within_s
        self._tell("fleet.replaced", name=name, process=one.successor, before=one.process)
        one.process, one.successor, one.replacing = one.successor, None, False
        one.phase, one.since = Phase.READY, now

    def _stop(self, name: str, one: Instance, now: float) -> None:
        if one.process is None:
            self._to(one, Phase.DOWN, now)
            return
        self._to(one, Phase.STOPPING, now)
        one.kill_at = now + self.terms.stop_within_s
        self._effects.append(Stop(name, one.process))

    def _ended(self, name: str, process: str | None, how: str, now: float) -> None:
        one = self.state.instances.get(name)
        if one is None:
            return
        if process is not None and one.leaving.pop(process, None) is not None:
            self._drop_unwanted(name, one)
        elif one.replacing and process == one.successor:
            one.replacing, one.successor = False, None
            self._tell("fleet.successor_ended", name=name, how=how)
            self._halt(f"the successor of {name} ended before it was ready: {how}")
        elif process == one.process and one.phase in (Phase.UNREADY, Phase.READY, Phase.STOPPING):
            one.how = how
            if one.replacing and one.successor is not None:
                self._succeeded(one, now)
            elif one.phase is Phase.STOPPING:
                self._ended_as_asked(name, one, now)
            else:
                self._ended_unasked(name, one, now)

    @staticmethod
    def _succeeded(one: Instance, now: float) -> None:
        """The old process is gone, perhaps as it should be, before the new one was seen to be ready."""
        one.process, one.successor, one.replacing = one.successor, None, False
        one.phase, one.since = Phase.UNREADY, now

    def _ended_as_asked(self, name: str, one: Instance, now: float) -> None:
        one.process = None
        self._tell("fleet.stopped", name=name, how=one.how)
        if self._wanted(name):
            self._due(one, now, now)
        else:
            self._to(one, Phase.DOWN, now)
            self._drop_unwanted(name, one)

    def _ended_unasked(self, name: str, one: Instance, now: float) -> None:
        terms = self.terms
        one.replacing = False
        steady = one.phase is Phase.READY and now - one.since >= terms.steady_s
        one.process = None
        one.in_a_row = 1 if steady else one.in_a_row + 1
        one.ends = [at for at in one.ends if at > now - terms.loop_window_s] + [now]
        if self.state.roll and name in self.state.roll.out:
            self._halt(f"{name} ended: {one.how}")
        if not self._wanted(name):
            self._to(one, Phase.DOWN, now)
            self._drop_unwanted(name, one)
        elif len(one.ends) >= terms.loop_ends:
            self._to(one, Phase.HELD, now)
            self._tell("fleet.held", name=name, how=one.how, ends=len(one.ends), within_s=terms.loop_window_s)
        else:
            wait = min(terms.most_backoff_s, terms.backoff_s * 2.0 ** min(one.in_a_row - 1, 60))
            wait *= 1 + terms.jitter * self._draw()
            self._due(one, now + wait, now)
            self._tell("fleet.ended", name=name, how=one.how, again_in_s=round(wait, 3))

    def _give_up_successor(self, name: str, one: Instance, now: float) -> None:
        if one.successor is not None:
            one.leaving[one.successor] = now + self.terms.stop_within_s
            self._effects.append(Kill(name, one.successor))
        one.replacing, one.successor = False, None

    def _due(self, one: Instance, at: float, now: float) -> None:
        self._to(one, Phase.DUE, now)
        one.due_at = at

    def _drop_unwanted(self, name: str, one: Instance) -> None:
        if name not in self.terms.instances and one.phase is Phase.DOWN and not one.leaving:
            del self.state.instances[name]

    # ---- the whole fleet ----

    def _resume(self, found: Resumed, now: float) -> None:
        self.state.down = False
        if not found.again:
            self._forget_moments(now)
        for name, one in list(self.state.instances.items()):
            one.leaving = {
                process: now + self.terms.stop_within_s for process in one.leaving if process in found.alive
            }
            self._resume_one(name, one, found, now)

    def _forget_moments(self, now: float) -> None:
        """They were on the clock of a machine that has been started anew since."""
        self.state.last_start = -1e9
        self._halt("the machine was started anew")
        for one in self.state.instances.values():
            one.ends, one.in_a_row, one.process, one.successor, one.replacing = [], 0, None, None, False
            one.due_at = one.since = now
            if one.phase is not Phase.HELD:
                one.phase = Phase.DUE

    def _resume_one(self, name: str, one: Instance, found: Resumed, now: float) -> None:
        running = found.answering.get(name)
        if one.replacing and one.successor not in found.alive:
            one.replacing, one.successor = False, None
            self._step_again(name)
        if running is None and one.process in found.alive:
            running = one.process
        if running is None:
            self._resume_missing(name, one, now)
        elif running == one.successor:
            if one.process not in found.alive:
                self._succeeded(one, now)
        elif running == one.process and one.phase is Phase.STOPPING:
            one.kill_at = now + self.terms.stop_within_s
            self._effects.append(Stop(name, running))
        elif running != one.process:
            if one.process not in found.alive:
                one.process = None
            self._adopt(name, one, running, now)
        else:
            one.phase, one.since = Phase.UNREADY, now
            if not self._wanted(name):
                self._stop(name, one, now)

    def _resume_missing(self, name: str, one: Instance, now: float) -> None:
        if one.phase is Phase.HELD:
            return
        if one.process is not None:
            self._ended(name, one.process, "while no supervisor looked on", now)
        elif self._wanted(name):
            self._due(one, max(one.due_at, now) if one.phase is Phase.DUE else now, now)
        else:
            self._to(one, Phase.DOWN, now)
            self._drop_unwanted(name, one)

    def _new_terms(self, terms: Terms, now: float) -> None:
        self.terms = terms
        for name in terms.instances:
            if name not in self.state.instances:
                self.state.instances[name] = Instance(since=now, due_at=now)
        for name in [name for name in self.state.instances if name not in terms.instances]:
            one = self.state.instances[name]
            if one.phase is not Phase.STOPPING:
                self._give_up_successor(name, one, now)
                self._stop(name, one, now)
                self._drop_unwanted(name, one)

    def _held(self, name: str | None) -> list[Instance]:
        return [
            one for of, one in self.state.instances.items() if one.phase is Phase.HELD and name in (None, of)
        ]

    def _release(self, name: str | None, now: float) -> None:
        for one in self._held(name):
            one.ends, one.in_a_row = [], 0
            self._due(one, now, now)

    def _reload(self) -> None:
        self._effects.extend(
            Reload(name, one.process)
            for name, one in self.state.instances.items()
            if one.process is not None and one.phase in (Phase.READY, Phase.UNREADY)
        )

    def _down(self, now: float) -> None:
        if self.state.roll:
            self._call_off()
        self.state.down = True
        for name, one in self.state.instances.items():
            if one.phase is not Phase.STOPPING:
                self._give_up_successor(name, one, now)
                self._stop(name, one, now)

    def _advance(self, now: float) -> None:
        for name, one in self.state.instances.items():
            self._kill_overdue(name, one, now)
            if one.replacing and now - one.since > self.terms.ready_within_s:
                self._give_up_successor(name, one, now)
                self._halt(f"the successor of {name} was not ready within {self.terms.ready_within_s:g} s")
        self._advance_roll(now)
        due = sorted(
            (one.due_at, name)
            for name, one in self.state.instances.items()
            if one.phase is Phase.DUE and one.due_at <= now
        )
        for _, name in due:
            if now < self.state.last_start + self.terms.stagger_s:
                break
            self._start(name, self.state.instances[name], now)
        stand = self.state.instances.values()
        if self.state.down and all(one.phase is Phase.DOWN and not one.leaving for one in stand):
            self._effects.append(AllDown())

    def _start(self, name: str, one: Instance, now: float) -> None:
        self.state.last_start = now
        one.starts += 1
        one.process = None
        self._to(one, Phase.UNREADY, now)
        self._effects.append(Start(name))

    def _kill_overdue(self, name: str, one: Instance, now: float) -> None:
        if one.phase is Phase.STOPPING and one.process is not None and now >= one.kill_at:
            one.kill_at = now + self.terms.stop_within_s
            self._kill(name, one.process)
        for process, at in one.leaving.items():
            if now >= at:
                one.leaving[process] = now + self.terms.stop_within_s
                self._kill(name, process)

    def _kill(self, name: str, process: str) -> None:
        self._tell("fleet.killed", name=name, process=process, after_s=self.terms.stop_within_s)
        self._effects.append(Kill(name, process))

    # ---- a roll ----

    def _why_no_roll(self, most_out: int) -> str | None:
        roll, names, stand = self.state.roll, self.terms.instances, self.state.instances
        if self.state.down:
            return "the fleet is going down"
        if roll:
            return (
                "a roll is running"
                if roll.running
                else "a roll was stopped; continue it or call it off first"
            )
        if not 1 <= most_out < max(2, len(names)):
            return f"{most_out} of {len(names)} instances out at once would leave none, or never begin"
        if len(unready := self._out(())) >= most_out:
            return "not ready: " + ", ".join(
                f"{name} ({stand[name].phase.value}{', being replaced' * stand[name].replacing})"
                for name in unready
            )
        return None

    def _begin_roll(self, most_out: int, now: float) -> None:
        names = self.terms.instances
        before = self.service or Shares()
        if before.asked < self.terms.least_asked:
            before = Shares(before.asked)
        self.state.roll = Roll(list(names), most_out, before, now)
        self.state.rolls += 1
        self._tell(
            "fleet.roll_begun",
            instances=len(names),
            most_out=most_out,
            refused=round(before.refused, 4),
            unanswered=round(before.unanswered, 4),
        )

    def _continue_roll(self) -> None:
        roll = self.state.roll
        assert roll is not None
        roll.running, roll.reason, roll.waits_since = True, "", None
        self._tell("fleet.roll_continued", left=len(roll.todo))

    def _call_off(self) -> None:
        assert self.state.roll is not None
        self._tell("fleet.roll_called_off", done=len(self.state.roll.done))
        self.state.roll, self.state.last_roll = None, "called off"

    def _halt(self, reason: str) -> None:
        """Nothing more is taken out; whoever is out comes back by itself, and has its step again later."""
        roll = self.state.roll
        if roll is None or not roll.running:
            return
        roll.running, roll.reason = False, reason
        roll.todo, roll.out = [*roll.out, *roll.todo], []
        self._tell("fleet.roll_stopped", reason=reason, done=len(roll.done), left=len(roll.todo))

    def _step_again(self, name: str) -> None:
        roll = self.state.roll
        if roll and name in roll.out:
            roll.out.remove(name)
            roll.todo.insert(0, name)

    def _advance_roll(self, now: float) -> None:
        for name in tuple(self.state.roll.out) if self.state.roll else ():
            self._advance_step(name, now)
        roll = self.state.roll
        if roll is None or not roll.running:
            return
        if worse := self._worse_by(self.terms.suffers):
            self._halt(f"service suffers: {worse}")
            return
        roll.todo = [name for name in roll.todo if name in self.terms.instances]
        while len(out := self._out(roll.out)) < roll.most_out:
            standing = [name for name in roll.todo if name not in out]
            if not standing:
                break
            roll.todo.remove(standing[0])
            self._begin_step(roll, standing[0], now)
        self._bound_waiting(roll, now)
        if not roll.todo and not roll.out:
            self._tell("fleet.roll_done", instances=len(roll.done), took_s=round(now - roll.begun_at, 3))
            self.state.roll, self.state.last_roll = None, "done"

    def _out(self, steps: Container[str]) -> list[str]:
        """Whatever took them out."""
        stand = self.state.instances
        return [
            name
            for name in self.terms.instances
            if name in steps or stand[name].replacing or stand[name].phase is not Phase.READY
        ]

    def _bound_waiting(self, roll: Roll, now: float) -> None:
        if not roll.todo or roll.out:
            roll.waits_since = None
        elif roll.waits_since is None:
            roll.waits_since = now
        elif now - roll.waits_since > self.terms.ready_within_s:
            self._halt(f"waits for instances that it did not take out: {', '.join(self._out(()))}")

    def _begin_step(self, roll: Roll, name: str, now: float) -> None:
        one = self.state.instances[name]
        roll.out.append(name)
        self._tell("fleet.roll_step", name=name, done=len(roll.done), left=len(roll.todo))
        if self.terms.take_over:
            one.replacing, one.since = True, now
            one.starts += 1
            self._effects.append(Replace(name))
        else:
            self._stop(name, one, now)

    def _advance_step(self, name: str, now: float) -> None:
        roll, terms = self.state.roll, self.terms
        one = self.state.instances.get(name)
        if roll is None or name not in roll.out:
            return
        if one is None:  # the file no longer names it
            roll.out.remove(name)
            return
        for_s = now - one.since
        if one.phase is Phase.UNREADY and for_s > terms.ready_within_s:
            self._halt(f"{name} was not ready within {terms.ready_within_s:g} s")
        elif one.phase is Phase.READY and not one.replacing and for_s >= terms.window_s:
            worse = self._worse_by(terms.as_before)
            if self.service is not None and not worse:
                roll.out.remove(name)
                roll.done.append(name)
            elif for_s > terms.settle_within_s:
                self._halt(f"service is not as before after {name}: {worse or 'no figures'}")

    def _worse_by(self, slack: float) -> str:
        """In words; empty if service is within `slack` of what it was before the roll."""
        now, roll = self.service, self.state.roll
        if now is None or roll is None or now.asked < self.terms.least_asked:
            return ""
        pairs = (
            ("refused", now.refused, roll.before.refused),
            ("unanswered", now.unanswered, roll.before.unanswered),
        )
        return ", ".join(
            f"{share:.1%} {what}, {before:.1%} before"
            for what, share, before in pairs
            if share > before + slack
        )
