"""All that a relay logs, but for the log's own events: one function each, whose keyword-only parameters are
the event's fields and whose docstring says when it happens. docs/operators/events.md says what to do then.

Names are `group.what`, and stay what they are: operators' searches and alarms go by them.
"""

from collections.abc import Mapping, Sequence
from enum import Enum

from glenfold.logs import event

# ---- the life of an instance ----


@event("life.changed", "info", "life: {before} -> {state}")
def life_changed(*, before: str, state: str) -> None:
    """It has gone from one state of its life to the next."""


@event("relay.listens", "info", "{name} listens on {address}")
def relay_listens(*, name: str, address: str) -> None:
    """Clients may connect."""


@event("relay.counters", "info", "counters: {counters}")
def relay_counters(*, counters: Mapping[str, int]) -> None:
    """It was asked for its counters (SIGUSR1)."""


@event("relay.exit", "info", "counters at exit: {counters}")
def relay_exit(*, counters: Mapping[str, int]) -> None:
    """It has finished all that it had taken, and ends."""


# ---- taking over from another process of the same name ----


@event("takeover.offered", "info", "taking over: passed on [{passed}], opened [{opened}], closed [{closed}]")
def takeover_offered(*, passed: Sequence[str], opened: Sequence[str], closed: Sequence[str]) -> None:
    """The old process passes its listening sockets on; `opened` are addresses that it has not listened at,
    `closed` those that it stops listening at, as the new one does not want them."""


@event("takeover.done", "info", "took over: the old process accepts no more")
def takeover_done() -> None:
    """This process alone listens now, and the name is its own."""


@event("takeover.refused", "error", "not taking over, the old process serves on: {reason}")
def takeover_refused(*, reason: str) -> None:
    """This process ends: it was not ready in time, was told to stop, or the old one would not."""


@event("takeover.retired", "info", "taken over: this process ends once it has finished what it has taken")
def takeover_retired() -> None:
    """Another process has the listening sockets and the name."""


@event("takeover.failed", "warning", "no take-over, this process serves on: {reason}")
def takeover_failed(*, reason: str) -> None:
    """A new process began to take over, and died, gave up, was late, or had no right to."""


@event("takeover.stranger", "warning", "take-over: a stranger, or one too many, turned away", rate=(0.2, 1))
def takeover_stranger() -> None:
    """Somebody connected to the take-over socket who runs as another user, or beside too many others."""


@event("takeover.unheard", "warning", "take-over: {error}", rate=(0.2, 1))
def takeover_unheard(*, error: Exception) -> None:
    """Nobody can ask for a take-over: the private socket can't be made, or not accepted on."""


@event(
    "leave.short",
    "warning",
    "{late} of {connections} standing connections can't be moved one by one in time, at {per_s} a second: "
    "they move all at once at the end",
)
def leave_short(*, late: int, connections: int, per_s: int) -> None:
    """It ends with more connections than it can move in time, and knows it beforehand."""


@event("leave.cut", "warning", "{connections} standing connections are cut off without MOVE")
def leave_cut(*, connections: int) -> None:
    """Its time is over while connections stand whose clients had only part of a line."""


# ---- configuration ----


@event("config.refused", "error", "configuration: {error}")
def config_refused(*, error: Exception) -> None:
    """The configuration is faulty: a start ends there, at a reload the one before goes on to hold."""


@event("config.default", "warning", "configuration: {key}: {fault}; its default holds")
def config_default(*, key: str, fault: str) -> None:
    """A setting is faulty at the platform's start, which is served all the same."""


@event("config.reloaded", "info", "configuration read again; discovery is at {discovery}")
def config_reloaded(*, discovery: str) -> None:
    """The configuration was read again and holds now."""


@event("config.waits", "warning", "configuration: needs a restart to change: {keys}")
def config_waits(*, keys: Sequence[str]) -> None:
    """Keys have changed that are for a start alone."""


# ---- the destination set ----


@event("discovery.failed", "warning", "discovery: {error!r}")
def discovery_failed(*, error: Exception) -> None:
    """Discovery can't be reached, fell silent or broke off; told once for each kind of fault in a row."""


@event("list.refused", "warning", "discovery: {error!r}")
def list_refused(*, error: Exception) -> None:
    """Discovery sent what is no list; the last one is kept."""


@event("list.entry_left_out", "warning", "discovery: {fault}")
def list_entry_left_out(*, fault: str) -> None:
    """One entry of a list can't be read; the others are taken."""


@event("list.known_refused", "warning", "known: {error}")
def list_known_refused(*, error: Exception) -> None:
    """The list that the configuration gives for the start can't be read; the relay starts without one."""


@event("parent.followed", "info", "lists are followed at {address}, renewed {age_s:.0f} s ago")
def parent_followed(*, address: str, age_s: float) -> None:
    """Where lists have several parents: this one is followed from now on."""


@event("parent.refused", "warning", "parent {address} is passed over, {why}: {error!r}")
def parent_refused(*, address: str, why: str, error: Exception) -> None:
    """A parent failed, is behind, or can't be followed; told once for each kind of fault in a row."""


# ---- decisions ----


@event("decision.note", "info", "{note}")
def decision_note(*, note: str) -> None:
    """The decisions tell what they have found out about a server."""


@event("decision.traced", "debug", "{on} -> {did}", rate=(1000.0, 10_000))
def decision_traced(*, on: object, did: Sequence[object]) -> None:
    """Every event that the decisions take in, and the actions that they answer it with."""


@event("decision.failed", "error", "the decisions failed on {on}", trace=True)
def decision_failed(*, on: object, error: Exception) -> None:
    """A fault of the relay's own in the decisions; the request that it happened on fails, others go on."""


@event("decision.unknown", "warning", "there is no way here to carry out {action}")
def decision_unknown(*, action: object) -> None:
    """The decisions asked for something that no part of this relay does."""


@event("request.stuck", "warning", "request {request} takes no more actions")
def request_stuck(*, request: int) -> None:
    """A request's own task does not take what was decided on it."""


# ---- clients and connections ----


@event("client.malformed", "warning", "inbound: {count} bad first lines so far; now {error}", rate=(0.2, 1))
def client_malformed(*, count: int, error: Exception) -> None:
    """A client's first line was refused; `count` is of all since the start."""


@event("client.broke", "debug", "inbound: {error!r}")
def client_broke(*, error: Exception) -> None:
    """A client's connection broke before its request was taken."""


@event("client.unanswered", "debug", "inbound: no answer taken: {error!r}")
def client_unanswered(*, request: int, error: Exception) -> None:
    """A client had gone when its answer came."""


@event("connection.broke", "info", "a connection at server {server} broke: {outcome}")
def connection_broke(*, request: int, server: int, outcome: Enum) -> None:
    """A push server ended a standing connection with neither BYE nor MOVE."""


@event("connection.failed", "error", "a connection failed", trace=True)
def connection_failed(*, error: Exception) -> None:
    """A fault of the relay's own; it ends this one connection."""


@event("sockets.exhausted", "warning", "no spare descriptor: {error}")
def sockets_exhausted(*, error: Exception) -> None:
    """No descriptor is left, not even the one kept to refuse clients with."""


# ---- snapshots of the destination set ----


@event("snapshot.taken", "info", "snapshot {file}: generation {generation}, last heard of {age_s:.0f} s ago")
def snapshot_taken(*, file: str, generation: int, age_s: float) -> None:
    """The relay starts with the list in this file, until discovery says otherwise."""


@event("snapshot.refused", "warning", "snapshot {file} refused: {error}")
def snapshot_refused(*, file: str, error: Exception) -> None:
    """A file is torn, damaged, too old or not this relay's; the one before it is used, if it is sound."""


@event("snapshot.waits", "warning", "snapshot: {fault}")
def snapshot_waits(*, fault: str) -> None:
    """The newest list is not on the disk, which is slow, full or can't be written; the relay serves on."""


@event("snapshot.written_again", "info", "snapshot: written again, generation {generation}")
def snapshot_written_again(*, generation: int) -> None:
    """After a fault the newest list is on the disk."""


# ---- who is told, and who asks ----


@event("notify.failed", "warning", "the service manager can't be told: {error}")
def notify_failed(*, error: Exception) -> None:
    """NOTIFY_SOCKET is missing or takes nothing; told once, until it works again. The relay serves on."""


@event("control.unheard", "warning", "nobody can ask at the control socket: {error}")
def control_unheard(*, error: Exception) -> None:
    """The control socket can't be made. The relay serves on."""


@event("control.told", "info", "asked on the control socket: {ask}, {outcome}")
def control_told(*, ask: str, outcome: str) -> None:
    """Somebody asked the instance to drain or to reload; the outcome is `done`, or why it was refused."""


@event("run.refused", "error", "not started: {error}")
def run_refused(*, error: Exception) -> None:
    """Another process has the name, or the start can't listen; the exit status tells which."""
