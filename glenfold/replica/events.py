"""Log events of the control replica's process and of its server for children.

docs/operators/replica.md says how an operator should respond to them.
"""

from collections.abc import Mapping, Sequence

from glenfold.logs import event


@event("replica.listens", "info", "{name} listens on {address}")
def listens(*, name: str, address: str) -> None:
    """The replica accepts connections from children."""


@event("replica.counters", "info", "counters: {counters}")
def counters(*, counters: Mapping[str, int]) -> None:
    """SIGUSR1 asked the replica for its counters."""


@event("replica.exit", "info", "counters at exit: {counters}")
def exit_counters(*, counters: Mapping[str, int]) -> None:
    """The replica has ended its watches and exits."""


@event("replica.reloaded", "info", "file read again; the parents are now {parents}")
def reloaded(*, parents: Sequence[str]) -> None:
    """The configuration file was read again and is now in effect."""


@event(
    "replica.history_begun", "info", "new history started at incarnation {incarnation}, revision {revision}"
)
def history_begun(*, incarnation: int, revision: int) -> None:
    """The first list arrived, or one of another incarnation of the source. Open watches are ended."""


@event(
    "replica.history_read", "info", "read {changes} changes that precede revision {revision} from a parent"
)
def history_read(*, changes: int, revision: int) -> None:
    """A parent had the changes that led to the first list: children slightly behind need no whole list."""


@event(
    "replica.stale",
    "warning",
    "no parent renews the list; the replica keeps serving it at an age of {age_s} s",
)
def stale(*, age_s: float | None) -> None:
    """No parent that the source renews can be reached; children receive no renewals."""


@event("replica.fresh", "info", "the source renews the list again")
def fresh() -> None:
    """The source renewed the list for the first time, or again after the list was stale."""


@event("replica.request_refused", "warning", "request refused: {error}", rate=(0.2, 1))
def request_refused(*, error: Exception) -> None:
    """A request was malformed, for an unknown path or for a future revision. The counters have them all."""


@event(
    "replica.lists_deferred",
    "warning",
    "whole-list requests exceed the admission limit; {deferred} deferred so far",
    rate=(0.2, 1),
)
def lists_deferred(*, deferred: int) -> None:
    """More whole lists are requested than are admitted; each refusal has a Retry-After header."""


@event("replica.full", "warning", "limit of {children} children reached; refusing new ones", rate=(0.2, 1))
def full(*, children: int) -> None:
    """The replica has as many children as its limit allows."""


@event("replica.watch_cut", "info", "watch closed early: {reason}")
def watch_cut(*, reason: str) -> None:
    """A child read nothing for too long, or fell behind the history."""


@event("replica.connection_failed", "error", "connection ended by an internal error", trace=True)
def connection_failed(*, error: Exception) -> None:
    """An internal error of the replica ended one connection; the others go on."""
