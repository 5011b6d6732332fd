"""All log events of a fleet's supervisor. docs/operators/fleet-supervisor.md says how to respond to each.

They include the events that `rules.fleet` logs: the fields of those are the parameters of these functions.
"""

from pathlib import Path

from glenfold.logs import event

# ---- instances ----


@event("fleet.ready", "info", "{name} is ready after {after_s} s, process {process}")
def ready(*, name: str, process: str, after_s: float) -> None:
    """An instance is ready, for the first time or again."""


@event("fleet.found", "info", "{name} is process {process}, which this supervisor did not start")
def found(*, name: str, process: str) -> None:
    """Another supervisor, or a user, started this instance; this supervisor monitors it from now on."""


@event("fleet.ended", "warning", "{name} ended: {how}; started again in {again_in_s} s")
def ended(*, name: str, how: str, again_in_s: float) -> None:
    """An instance exited without a request to stop."""


@event("fleet.held", "error", "{name} is held: {ends} ends within {within_s} s, the last one: {how}")
def held(*, name: str, ends: int, within_s: float, how: str) -> None:
    """The instance exits too often to be restarted again; it waits for `glenfold fleet release`."""


@event("fleet.stopped", "info", "{name} stopped as requested: {how}")
def stopped(*, name: str, how: str) -> None:
    """The instance stopped because of a roll, a change of the file or `fleet down`."""


@event("fleet.killed", "error", "{name}, process {process}, did not stop within {after_s} s and is killed")
def killed(*, name: str, process: str, after_s: float) -> None:
    """The instance did not stop within `fleet.stop_within_s`; its accepted, unanswered requests are lost."""


@event("fleet.silent", "warning", "{name} does not answer on its control socket")
def silent(*, name: str) -> None:
    """An instance that was ready stopped answering. It counts as not ready but keeps running: it may still
    serve."""


@event("fleet.unidentified", "error", "can't identify the process that answers for {name}: {error}")
def unidentified(*, name: str, error: Exception) -> None:
    """/proc could not be read or no descriptor was free; the supervisor tries again."""


@event("fleet.log_uncut", "warning", "the log of {name} can't be rotated properly: {fault}")
def log_uncut(*, name: str, fault: str) -> None:
    """The disk is full or not writable: either the earlier lines are lost, or the log keeps growing."""


# ---- rolls ----


@event(
    "fleet.roll_begun",
    "info",
    "roll of {instances} begins with at most {most_out} out at once; before it, {refused} of requests "
    "were refused and {unanswered} unanswered",
)
def roll_begun(*, instances: int, most_out: int, refused: float, unanswered: float) -> None:
    """A roll begins; after each step, service must return to these shares before the next one."""


@event("fleet.roll_step", "info", "roll: {name} is next; {done} done, {left} left")
def roll_step(*, name: str, done: int, left: int) -> None:
    """An instance is requested to stop, or a successor is started to take over from it."""


@event("fleet.replaced", "info", "{name}: process {process} has taken over from {before}")
def replaced(*, name: str, process: str, before: str) -> None:
    """A successor has taken over; the old process finishes the requests that it has accepted."""


@event("fleet.successor_ended", "error", "{name}: the process that was to take over ended: {how}")
def successor_ended(*, name: str, how: str) -> None:
    """The successor exited before it was ready; the old process continues to serve."""


@event("fleet.roll_stopped", "error", "roll stopped: {reason}; {done} done, {left} left")
def roll_stopped(*, reason: str, done: int, left: int) -> None:
    """The roll stops no further instance until it is continued or called off; instances that are out come
    back."""


@event("fleet.roll_continued", "info", "roll continued, {left} left")
def roll_continued(*, left: int) -> None:
    """An operator continued a stopped roll."""


@event("fleet.roll_called_off", "info", "roll called off, {done} done")
def roll_called_off(*, done: int) -> None:
    """An operator called the roll off, or the fleet is shutting down."""


@event("fleet.roll_done", "info", "roll done: {instances} in {took_s} s")
def roll_done(*, instances: int, took_s: float) -> None:
    """Each instance runs as a new process, and service is back to its level before the roll."""


# ---- the supervisor itself ----


@event("fleet.command", "info", "command {command}: {outcome}")
def commanded(*, command: str, outcome: str) -> None:
    """A command arrived on the control socket; `outcome` is `done`, or the reason why it was refused."""


@event("fleet.state_unread", "error", "the state file of the last supervisor can't be read: {fault}")
def state_unread(*, fault: str) -> None:
    """The state file is renamed; a running roll and the list of held instances are lost."""


@event("fleet.state_unsaved", "error", "the fleet's state can't be saved: {error}")
def state_unsaved(*, error: Exception) -> None:
    """Instances are still monitored, but no roll continues. Logged once until saving succeeds again."""


@event("fleet.supervises", "info", "supervisor runs for {instances} instances, with its files in {folder}")
def supervises(*, instances: int, folder: Path) -> None:
    """The supervisor has started."""
