"""All that the supervisor of a fleet logs. docs/operators/fleet-supervisor.md says what to do then.

What `rules.fleet` tells is named here too, so its fields are these functions' parameters.
"""

from pathlib import Path

from glenfold.logs import event

# ---- instances ----


@event("fleet.ready", "info", "{name} is ready after {after_s} s, process {process}")
def ready(*, name: str, process: str, after_s: float) -> None:
    """An instance is ready, for the first time or again."""


@event("fleet.found", "info", "{name} is process {process}, which this supervisor did not start")
def found(*, name: str, process: str) -> None:
    """Another supervisor, or somebody, has started it; it is looked after from now on."""


@event("fleet.ended", "warning", "{name} ended: {how}; started again in {again_in_s} s")
def ended(*, name: str, how: str, again_in_s: float) -> None:
    """An instance ended that nobody had told to."""


@event("fleet.held", "error", "{name} is held: {ends} ends within {within_s} s, the last one: {how}")
def held(*, name: str, ends: int, within_s: float, how: str) -> None:
    """It ends too often to be started once more, and waits for `glenfold fleet release`."""


@event("fleet.stopped", "info", "{name} stopped as it was told to: {how}")
def stopped(*, name: str, how: str) -> None:
    """A roll, a change of the file or `fleet down` had told it to."""


@event("fleet.killed", "error", "{name}, process {process}, did not stop within {after_s} s and is killed")
def killed(*, name: str, process: str, after_s: float) -> None:
    """It did not stop in `fleet.stop_within_s`; what it had taken and not answered by then is lost."""


@event("fleet.silent", "warning", "{name} does not answer on its control socket")
def silent(*, name: str) -> None:
    """One that was ready does not answer. It counts as not ready, and is left to run: it may serve."""


@event("fleet.unidentified", "error", "who answers for {name} can't be told: {error}")
def unidentified(*, name: str, error: Exception) -> None:
    """/proc or a descriptor could not be had; it is tried again."""


@event("fleet.log_uncut", "warning", "the log of {name} can't be cut as it should: {fault}")
def log_uncut(*, name: str, fault: str) -> None:
    """The disk is full or can't be written: what was before the cut is lost, or the log grows on."""


# ---- rolls ----


@event(
    "fleet.roll_begun",
    "info",
    "roll of {instances} with at most {most_out} out; {refused} of requests "
    "refused and {unanswered} unanswered before it",
)
def roll_begun(*, instances: int, most_out: int, refused: float, unanswered: float) -> None:
    """A roll begins; these shares are what service has to come back to after each step."""


@event("fleet.roll_step", "info", "roll: {name} is next; {done} done, {left} left")
def roll_step(*, name: str, done: int, left: int) -> None:
    """An instance is told to stop, or a successor is started that takes over from it."""


@event("fleet.replaced", "info", "{name}: process {process} has taken over from {before}")
def replaced(*, name: str, process: str, before: str) -> None:
    """A successor has taken over; the old process finishes what it has taken."""


@event("fleet.successor_ended", "error", "{name}: the process that was to take over ended: {how}")
def successor_ended(*, name: str, how: str) -> None:
    """The process that was to take over ended before it was ready; the old one serves on."""


@event("fleet.roll_stopped", "error", "roll stopped: {reason}; {done} done, {left} left")
def roll_stopped(*, reason: str, done: int, left: int) -> None:
    """A roll takes nobody more out until it is continued or called off; who is out comes back."""


@event("fleet.roll_continued", "info", "roll continued, {left} left")
def roll_continued(*, left: int) -> None:
    """By command."""


@event("fleet.roll_called_off", "info", "roll called off, {done} done")
def roll_called_off(*, done: int) -> None:
    """By command, or as the fleet goes down."""


@event("fleet.roll_done", "info", "roll done: {instances} in {took_s} s")
def roll_done(*, instances: int, took_s: float) -> None:
    """Each instance runs as a new process, and service is as it was."""


# ---- the supervisor itself ----


@event("fleet.command", "info", "command {command}: {outcome}")
def commanded(*, command: str, outcome: str) -> None:
    """Somebody asked for it on the control socket; the outcome is `done`, or why it was refused."""


@event("fleet.state_unread", "error", "what the last supervisor kept can't be read: {fault}")
def state_unread(*, fault: str) -> None:
    """The last supervisor's file is put aside; a roll and what was held are forgotten."""


@event("fleet.state_unsaved", "error", "the fleet's state can't be saved: {error}")
def state_unsaved(*, error: Exception) -> None:
    """Instances are looked after all the same, but no roll goes on. Told once, until it can be again."""


@event("fleet.supervises", "info", "supervises {instances} instances in {folder}")
def supervises(*, instances: int, folder: Path) -> None:
    """The supervisor begins."""
