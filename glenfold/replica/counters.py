"""Counters of a control replica, which it logs on SIGUSR1 and when it exits."""

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class ReplicaCounters:
    """Counts since the replica started. The field names appear in the log."""

    accepted: int = 0  # connections accepted
    watches: int = 0  # watches started
    watches_ended: int = 0  # watches ended for any reason
    cut_blocked: int = 0  # watches ended because the child read nothing for too long
    cut_behind: int = 0  # watches ended because the child fell behind the history
    whole_lists: int = 0  # whole lists answered, alone or as the first line of a watch
    whole_lists_failed: int = 0  # of these, whole lists whose transfer was interrupted or timed out
    whole_lists_deferred: int = 0  # whole lists answered 503 because the admission limit was reached
    not_ready: int = 0  # requests answered 503 because there is no list or no history yet
    children_refused: int = 0  # requests answered 503 because the limit on children was reached
    malformed: int = 0  # requests answered 400
    not_found: int = 0  # requests answered 404
    wrong_method: int = 0  # requests answered 405
    future_revisions: int = 0  # requests answered 410: the revision is in the future
    idle_closed: int = 0  # connections closed because no complete request came in time
    idle_crowded_out: int = 0  # idle connections closed early to make room for new ones
    published: int = 0  # lists and changes published to children
    incarnations: int = 0  # histories started
    history_read: int = 0  # changes read from a parent that precede the first list of a history
    renewals: int = 0  # renewals of the lease by the source
    renewals_told: int = 0  # renewals passed on as an empty line to all children
    stale: int = 0  # times that the lease ran out
    reloads: int = 0
    reloads_refused: int = 0
    faults: int = 0  # connections ended by an internal error

    def plain(self) -> dict[str, int]:
        """Returns the counters by name."""
        return asdict(self)
