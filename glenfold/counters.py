"""The counters of a relay, which are logged on SIGUSR1 and at exit."""

from dataclasses import asdict, dataclass


@dataclass(slots=True)
class Counters:
    """Counts since the start of the process. The field names are the names in the log."""

    accepted: int = 0  # inbound connections that were accepted
    pings: int = 0  # PING lines of health checks
    taken: int = 0  # requests that were passed to the decisions
    existing: int = 0  # of `taken`: connections that were established before this relay started
    malformed: int = 0  # first lines that were refused as invalid
    silent_clients: int = 0  # clients that sent no complete first line in time
    crowded_out: int = 0  # of `silent_clients`: closed early to make room for others
    fail_fast: int = 0  # requests that were refused because the relay was full
    calls: int = 0  # outbound calls that were started
    answered_up: int = 0
    answered_busy: int = 0
    answered_failed: int = 0
    left: int = 0  # clients that disconnected before their answer
    left_unsent: int = 0  # of `left`: noticed only after a call for them had connected
    repeats_unsent: int = 0  # attempts of keyed requests that could not be sent within the window for repeats
    moved: int = 0  # clients of standing connections that were sent MOVE
    moved_late: int = 0  # of `moved`: all at once at the end of a shutdown, for lack of time
    not_moved: int = 0  # standing connections that this relay closed without MOVE
    silent: int = 0  # standing connections that were closed because their server stopped sending
    ended: int = 0  # standing connections that have ended
    broken: int = 0  # of `ended`: by their server, with neither BYE nor MOVE
    lists: int = 0  # whole lists and changes that discovery sent
    bad_entries: int = 0  # entries of lists that could not be read
    reloads: int = 0  # reloads of the configuration that succeeded
    reloads_refused: int = 0  # reloads that were refused because the configuration was invalid
    snapshots: int = 0  # snapshots that were written
    snapshots_failed: int = 0  # writes that failed and are retried later
    snapshots_slow: int = 0  # writes that took longer than a second
    snapshots_refused: int = 0  # snapshot files that were refused at the start
    faults: int = 0  # bugs in the relay: connections that one ended, and tasks that were started anew

    def plain(self) -> dict[str, int]:
        """Returns the counts by field name."""
        return asdict(self)
