"""All that the serving side of a control replica and its process log. docs/operators/replica.md says what to
do then."""

from collections.abc import Mapping, Sequence

from glenfold.logs import event


@event("replica.listens", "info", "{name} listens on {address}")
def listens(*, name: str, address: str) -> None:
    """Children may connect."""


@event("replica.counters", "info", "counters: {counters}")
def counters(*, counters: Mapping[str, int]) -> None:
    """It was asked for its counters (SIGUSR1)."""


@event("replica.exit", "info", "counters at exit: {counters}")
def exit_counters(*, counters: Mapping[str, int]) -> None:
    """It has ended its watches, and ends."""


@event("replica.reloaded", "info", "file read again; parents are {parents}")
def reloaded(*, parents: Sequence[str]) -> None:
    """Its file was read again and holds now."""


@event("replica.history_begun", "info", "a history begins: incarnation {incarnation}, revision {revision}")
def history_begun(*, incarnation: int, revision: int) -> None:
    """The first list, or one of another incarnation of the source: all watches end and begin anew."""


@event("replica.history_read", "info", "{changes} changes from before revision {revision} were read")
def history_read(*, changes: int, revision: int) -> None:
    """A parent still knew what led to the first list: children that knew a little less need no whole list."""


@event("replica.stale", "warning", "nobody renews the list: it is served on, {age_s} s old")
def stale(*, age_s: float | None) -> None:
    """No parent that the source renews can be reached; children hear no renewals."""


@event("replica.fresh", "info", "the source renews the list again")
def fresh() -> None:
    """For the first time, or after it was stale."""


@event("replica.request_refused", "warning", "a request was refused: {error}", rate=(0.2, 1))
def request_refused(*, error: Exception) -> None:
    """Malformed, for something that is not there, or for a revision of the future; counters have them all."""


@event("replica.lists_deferred", "warning", "whole lists wait: {deferred} refused so far", rate=(0.2, 1))
def lists_deferred(*, deferred: int) -> None:
    """More whole lists are asked for than are admitted; who is refused is told when to ask again."""


@event("replica.full", "warning", "{children} children: no more are taken", rate=(0.2, 1))
def full(*, children: int) -> None:
    """The limit on children is reached."""


@event("replica.watch_cut", "info", "a watch was cut: {reason}")
def watch_cut(*, reason: str) -> None:
    """A child took nothing for too long, or fell behind the history."""


@event("replica.connection_failed", "error", "a connection failed", trace=True)
def connection_failed(*, error: Exception) -> None:
    """A fault of the replica's own; it ends this one connection."""
