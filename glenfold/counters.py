"""What the relay took in, sent and answered; printed on SIGUSR1 and at exit."""

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class Counters:
    accepted: int = 0  # inbound connections
    pings: int = 0
    taken: int = 0  # requests given to the decisions
    existing: int = 0  # of these, connections that stood before this relay did
    malformed: int = 0  # first lines that were refused unread
    silent_clients: int = 0  # closed as they sent no whole first line in time
    crowded_out: int = 0  # of these, earlier, for want of room
    fail_fast: int = 0  # refused for want of room
    calls: int = 0  # outbound calls begun
    answered_up: int = 0
    answered_busy: int = 0
    answered_failed: int = 0
    left: int = 0  # clients that went before their answer
    left_unsent: int = 0  # of these, seen to have left only once a call for them had connected
    moved: int = 0  # clients of standing connections that were told to move
    moved_late: int = 0  # of these at the end of this relay, all at once, as there was no time for each
    not_moved: int = 0  # of standing connections that this relay cut off without MOVE
    silent: int = 0  # standing connections ended because their server fell silent
    ended: int = 0  # standing connections that are over
    broken: int = 0  # of these, by their server, with neither BYE nor MOVE
    lists: int = 0  # lists and changes from discovery
    bad_entries: int = 0  # of these, that could not be read
    reloads: int = 0  # times the configuration was read again and taken over
    reloads_refused: int = 0  # times it was faulty
    snapshots: int = 0  # written
    snapshots_failed: int = 0  # not written: the next try comes later
    snapshots_slow: int = 0  # on which the disk let wait for longer than a second
    snapshots_refused: int = 0  # files that were not taken at the start
    faults: int = 0  # connections ended by an error of the relay's own

    def plain(self) -> dict[str, int]:
        return asdict(self)
