"""The events that a relay logs, apart from the log's own events.

Each event is a function: its keyword-only parameters are the fields of the event, and its docstring says when
the event is logged. docs/operators/events.md says what an operator does then.

Event names have the form `group.what` and never change: operators' searches and alarms match them.
"""

from collections.abc import Mapping, Sequence
from enum import Enum

from glenfold.logs import event

# ---- life cycle of an instance ----


@event("life.changed", "info", "life: {before} -> {state}")
def life_changed(*, before: str, state: str) -> None:
    """Logged when an instance changes the state of its life cycle."""


@event("relay.listens", "info", "{name} listens on {address}")
def relay_listens(*, name: str, address: str) -> None:
    """Logged when a listening socket is open and clients may connect."""


@event("relay.counters", "info", "counters: {counters}")
def relay_counters(*, counters: Mapping[str, int]) -> None:
    """Logged when the relay is asked for its counters by SIGUSR1."""


@event("relay.exit", "info", "counters at exit: {counters}")
def relay_exit(*, counters: Mapping[str, int]) -> None:
    """Logged when the relay has finished all accepted requests and connections and exits."""


# ---- takeover from another process of the same name ----


@event("takeover.offered", "info", "taking over: passed on [{passed}], opened [{opened}], closed [{closed}]")
def takeover_offered(*, passed: Sequence[str], opened: Sequence[str], closed: Sequence[str]) -> None:
    """Logged when the old process passes its listening sockets on to the new one.

    `opened` are addresses that the old process did not listen on. `closed` are addresses that the old process
    listened on and the new one does not need.
    """


@event("takeover.done", "info", "took over: the old process accepts no more connections")
def takeover_done() -> None:
    """Logged when this process is the only one that listens, and owns the name of the instance."""


@event("takeover.refused", "error", "takeover given up, the old process goes on serving: {reason}")
def takeover_refused(*, reason: str) -> None:
    """Logged when a new process gives a takeover up and exits.

    The new process was not ready in time, was told to stop, or was refused by the old process.
    """


@event("takeover.retired", "info", "taken over: this process exits once its requests and connections end")
def takeover_retired() -> None:
    """Logged when another process has taken over the listening sockets and the name of the instance."""


@event("takeover.failed", "warning", "takeover failed, this process goes on serving: {reason}")
def takeover_failed(*, reason: str) -> None:
    """Logged when a new process started a takeover and did not finish it.

    The new process exited, gave up, took too long, or was not allowed to take over.
    """


@event(
    "takeover.stranger",
    "warning",
    "takeover: refused a connection of another user or beyond the limit",
    rate=(0.2, 1),
)
def takeover_stranger() -> None:
    """Logged when a connection to the takeover socket is refused.

    The peer runs as another user, or too many others are connected already.
    """


@event("takeover.unheard", "warning", "takeover socket: {error}", rate=(0.2, 1))
def takeover_unheard(*, error: Exception) -> None:
    """Logged when no process can request a takeover.

    The private socket can't be created, or can't accept connections.
    """


@event(
    "leave.short",
    "warning",
    "{late} of {connections} standing connections can't be moved one by one in time, at {per_s} a second: "
    "they are moved all at once at the end",
)
def leave_short(*, late: int, connections: int, per_s: int) -> None:
    """Logged when a relay that shuts down has more standing connections than it can move in time."""


@event(
    "move.undelivered",
    "warning",
    "a client has not taken MOVE and the lines before it within {waited_s} s",
    rate=(0.2, 1),
)
def move_undelivered(*, waited_s: float) -> None:
    """Logged when a connection is closed whose client reads too slowly to receive MOVE in time."""


@event("leave.cut", "warning", "{connections} standing connections are cut off without MOVE")
def leave_cut(*, connections: int) -> None:
    """Logged when the shutdown deadline passes while clients have taken only part of what they were sent.

    MOVE can't be sent in the middle of a line, so these connections are closed without it.
    """


# ---- configuration ----


@event("config.refused", "error", "configuration: {error}")
def config_refused(*, error: Exception) -> None:
    """Logged when the configuration is invalid.

    A start ends with this event; after a reload the previous configuration stays in force.
    """


@event("config.default", "warning", "configuration: {key}: {fault}; the default is used")
def config_default(*, key: str, fault: str) -> None:
    """Logged when the platform starts a relay with an invalid setting; the relay runs with the default."""


@event("config.reloaded", "info", "configuration read again; discovery is at {discovery}")
def config_reloaded(*, discovery: str) -> None:
    """Logged when a configuration that was read again is in force."""


@event("config.waits", "warning", "configuration: needs a restart to change: {keys}")
def config_waits(*, keys: Sequence[str]) -> None:
    """Logged when a reload changes keys that are read at a start only."""


# ---- the destination set ----


@event("discovery.failed", "warning", "discovery: {error!r}")
def discovery_failed(*, error: Exception) -> None:
    """Logged when discovery can't be reached, stops sending or closes the connection.

    Logged once for consecutive failures of the same kind.
    """


@event("list.refused", "warning", "discovery: {error!r}")
def list_refused(*, error: Exception) -> None:
    """Logged when discovery sends something that is not a server list; the last list stays in force."""


@event("list.entry_left_out", "warning", "discovery: {fault}")
def list_entry_left_out(*, fault: str) -> None:
    """Logged when an entry of a server list is invalid; the other entries are used."""


@event("list.known_refused", "warning", "known: {error}")
def list_known_refused(*, error: Exception) -> None:
    """Logged when the server list that the configuration names for the start is invalid.

    The relay starts without a list.
    """


@event("parent.followed", "info", "following the lists of parent {address}, renewed {age_s:.0f} s ago")
def parent_followed(*, address: str, age_s: float) -> None:
    """Logged when the relay, which has several parents for its server lists, starts to follow this one."""


@event("parent.refused", "warning", "parent {address} is not followed, {why}: {error!r}")
def parent_refused(*, address: str, why: str, error: Exception) -> None:
    """Logged when a parent failed, is behind the others, or can't be followed.

    Logged once for consecutive failures of the same kind.
    """


# ---- decisions ----


@event("decision.note", "info", "{note}")
def decision_note(*, note: str) -> None:
    """Logged when the decisions report what they have found out about a server."""


@event("decision.traced", "debug", "{on} -> {did}", rate=(1000.0, 10_000))
def decision_traced(*, on: object, did: Sequence[object]) -> None:
    """Logged for every event that the decisions handle, with the actions that they returned."""


@event("decision.failed", "error", "the decisions failed on {on}", trace=True)
def decision_failed(*, on: object, error: Exception) -> None:
    """Logged when the decisions raise an exception, which is a bug in the relay.

    The request that the event belongs to fails; other requests are not affected.
    """


@event("decision.unknown", "warning", "this relay can't carry out the action {action}")
def decision_unknown(*, action: object) -> None:
    """Logged when the decisions return an action that no part of this relay implements."""


@event("request.stuck", "warning", "request {request} no longer receives actions")
def request_stuck(*, request: int) -> None:
    """Logged when the task of a request does not receive the actions decided for it."""


# ---- clients and connections ----


@event("client.malformed", "warning", "inbound: {count} bad first lines so far; now {error}", rate=(0.2, 1))
def client_malformed(*, count: int, error: Exception) -> None:
    """Logged when a client's first line is refused.

    `count` is the number of such lines since the start.
    """


@event("client.broke", "debug", "inbound: {error!r}")
def client_broke(*, error: Exception) -> None:
    """Logged when a client's connection breaks before its request is accepted."""


@event("client.unanswered", "debug", "inbound: answer not sent: {error!r}")
def client_unanswered(*, request: int, error: Exception) -> None:
    """Logged when an answer can't be sent because the client has disconnected."""


@event("connection.broke", "info", "a connection at server {server} broke: {outcome}")
def connection_broke(*, request: int, server: int, outcome: Enum) -> None:
    """Logged when a push server ends a standing connection with neither BYE nor MOVE."""


@event("connection.failed", "error", "a connection failed", trace=True)
def connection_failed(*, error: Exception) -> None:
    """Logged when a bug in the relay ends a connection; other connections are not affected."""


@event("task.failed", "error", "the task {task} failed", trace=True)
def task_failed(*, task: str, error: Exception) -> None:
    """Logged when a bug in the relay ends a long-running task, which is started anew, or a signal's handler.

    No connection is affected.
    """


@event("sockets.exhausted", "warning", "no file descriptor left: {error}")
def sockets_exhausted(*, error: Exception) -> None:
    """Logged when no file descriptor is left, not even the one reserved to refuse clients with."""


# ---- snapshots of the destination set ----


@event("snapshot.taken", "info", "snapshot {file}: generation {generation}, last confirmed {age_s:.0f} s ago")
def snapshot_taken(*, file: str, generation: int, age_s: float) -> None:
    """Logged when the relay starts with the server list of a snapshot, until discovery sends another."""


@event("snapshot.refused", "warning", "snapshot {file} refused: {error}")
def snapshot_refused(*, file: str, error: Exception) -> None:
    """Logged when a snapshot is incomplete, damaged, too old or belongs to another relay.

    The snapshot before it is used if that one is valid.
    """


@event("snapshot.waits", "warning", "snapshot: {fault}")
def snapshot_waits(*, fault: str) -> None:
    """Logged when the newest server list can't be written to the disk, or not fast enough.

    The relay goes on serving.
    """


@event("snapshot.written_again", "info", "snapshot: written again, generation {generation}")
def snapshot_written_again(*, generation: int) -> None:
    """Logged when the newest server list is on the disk again after a failure."""


# ---- service manager, control socket and start ----


@event("notify.failed", "warning", "the service manager can't be notified: {error}")
def notify_failed(*, error: Exception) -> None:
    """Logged when a notification to the service manager fails.

    NOTIFY_SOCKET is missing or takes no messages. Logged once until a notification succeeds again. The relay
    goes on serving.
    """


@event("control.unheard", "warning", "the control socket can't be created: {error}")
def control_unheard(*, error: Exception) -> None:
    """Logged when the control socket can't be created. The relay goes on serving."""


@event("control.told", "info", "asked on the control socket: {ask}, {outcome}")
def control_told(*, ask: str, outcome: str) -> None:
    """Logged when the instance is asked on the control socket to drain or to reload.

    `outcome` is `done`, or the reason why the request was refused.
    """


@event("run.refused", "error", "not started: {error}")
def run_refused(*, error: Exception) -> None:
    """Logged when a start is refused.

    Another process has the name of the instance, or a listening socket can't be opened; the exit status
    tells which.
    """
