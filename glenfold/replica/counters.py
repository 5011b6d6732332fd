"""What a control replica took in, served and refused; logged on SIGUSR1 and at its end."""

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class ReplicaCounters:
    accepted: int = 0  # connections
    watches: int = 0  # begun
    watches_ended: int = 0  # for whatever reason
    cut_blocked: int = 0  # of these, as the child took nothing for too long
    cut_behind: int = 0  # of these, as the child fell behind the history
    whole_lists: int = 0  # answered, be it alone or at the head of a watch
    whole_lists_failed: int = 0  # of these, broken off, or too slow
    whole_lists_deferred: int = 0  # 503: not admitted yet
    not_ready: int = 0  # 503: there is no list yet, or no history
    children_refused: int = 0  # 503: over the limit
    malformed: int = 0  # 400
    not_found: int = 0  # 404
    wrong_method: int = 0  # 405
    future_revisions: int = 0  # 410
    idle_closed: int = 0  # connections without a whole request in time
    idle_crowded_out: int = 0  # of connections without a whole request, closed earlier for want of room
    published: int = 0  # lists and changes to children
    incarnations: int = 0  # histories begun
    history_read: int = 0  # changes from before their first lists
    renewals: int = 0  # by the source
    renewals_told: int = 0  # to all children: an empty line each
    stale: int = 0  # times that nobody renewed any more
    reloads: int = 0
    reloads_refused: int = 0
    faults: int = 0  # connections ended by an error of the replica's own

    def plain(self) -> dict[str, int]:
        return asdict(self)
