"""Merges the records of all stand-ins into the observations of one history, ordered by time.

No stand-in sees both ends of a connection. The reconciler determines how a connection ended that was closed
without a final line: its push server broke it, its relay died, or its relay cut it while the server still
answered.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from glenfold_lab.observe import End, ListedState, Record
from glenfold_lab.stand_ins.machine_clock import SECOND_US

SLACK_US = 50_000  # Every time limit is extended by this on sockets.
END_MATCH_US = SECOND_US  # Maximum time between the ends of both sides of one connection.
SILENCE_LIMIT_US = 7 * SECOND_US  # A relay ends a connection within this time if its server stays silent.
EXIT_DETECTION_US = 500_000  # Maximum time between the exit of a process and its detection.

ListedEntry = tuple[ListedState, int]


@dataclass(slots=True)
class _Broken:
    at: int
    silent: bool


@dataclass(slots=True)
class _Death:
    """The end of a relay's process, between `began_at` and `exited_at`."""

    began_at: int
    exited_at: int


@dataclass(slots=True)
class _Relay:
    """The state of one relay.

    `held` has the list entries that its agent has sent or was due to send. `reported` has those of them that
    count as received by the relay since its last start.
    """

    up: bool = False
    deaths: list[_Death] = field(default_factory=list)
    stopping: int | None = None
    stops: list[tuple[int, int]] = field(default_factory=list)
    held: dict[int, ListedEntry] = field(default_factory=dict)
    reported: dict[int, ListedEntry] = field(default_factory=dict)


class Reconciler:
    """Reconciles the records of one history.

    `pass_through` says whether connections outlive their relays. `first` has the servers listed at the start.
    """

    def __init__(self, relays: int, first: Iterable[int], pass_through: bool) -> None:
        listed = dict.fromkeys(first, (ListedState.READY, 0))
        self._relays = [_Relay(held=dict(listed)) for _ in range(relays)]
        self._pass_through = pass_through
        self._broken: dict[int, _Broken] = {}
        self._relay_of: dict[int, int] = {}
        self._ended_requests: set[int] = set()
        self._stalled: defaultdict[int, list[tuple[int, int]]] = defaultdict(list)
        self._observations: list[Record] = []
        self._handlers: dict[str, Callable[..., None]] = {
            "relay_up": self._relay_up,
            "relay_down": self._relay_down,
            "relay_exited": self._relay_exited,
            "stopping": self._relay_stopping,
            "stalled": self._relay_stalled,
            "told": self._list_entry_sent,
            "due": self._list_entry_sent,
            "taken": self._request_taken,
            "broke": self._connection_broken,
            "ended": self._connection_ended,
            "unsaid": self._ended_unsent,
            "held_back": self._held_back,
        }

    def reconcile(self, records: Iterable[Record], end: int) -> list[Record]:
        """Returns the observations until `end`."""
        kept = [record for record in records if record[1][0] <= end]
        kept.sort(key=lambda record: record[1][0])
        for (
            name,
            values,
        ) in kept:  # Connections that end shortly before or after a death are attributed to it.
            if name == "relay_down":
                self._relays[values[1]].deaths.append(_Death(values[0], values[0]))
            elif name == "relay_exited" and self._relays[values[1]].deaths:
                self._relays[values[1]].deaths[-1].exited_at = values[0]
        for name, values in kept:
            if name in self._handlers:
                self._handlers[name](*values)
            else:
                self._observations.append((name, values))
        self._note_unforwarded_ends(end)
        return self._observations

    # ---- relays and their lists ----

    def _relay_up(self, at: int, relay: int) -> None:
        state = self._relays[relay]
        state.up = True
        state.reported = {}
        self._observations.append(("relay_up", (at, relay)))
        for server, (list_state, started) in sorted(state.held.items()):
            self._list_entry_sent(at, relay, server, list_state, started)

    def _relay_down(self, at: int, relay: int) -> None:
        state = self._relays[relay]
        state.up = False
        if state.stopping is not None:
            state.stops.append((state.stopping, at))
            state.stopping = None
        exited_at = next(death.exited_at for death in state.deaths if death.began_at == at)
        self._observations.append(("relay_down", (at, relay, exited_at)))

    def _relay_exited(self, at: int, relay: int) -> None:
        """Does nothing: `relay_down` carries the time of the exit."""

    def _relay_stopping(self, at: int, relay: int) -> None:
        self._relays[relay].stopping = at

    def _relay_stalled(self, at: int, relay: int, until: int) -> None:
        self._stalled[relay].append((at, until))

    def _list_entry_sent(
        self, at: int, relay: int, server: int, list_state: ListedState, started: int
    ) -> None:
        """Records the first arrival of a list entry; a relay that is down receives it at its next start."""
        state = self._relays[relay]
        if list_state == ListedState.GONE:
            state.held.pop(server, None)
        else:
            state.held[server] = list_state, started
        if state.up and state.reported.get(server) != (list_state, started):
            state.reported[server] = list_state, started
            self._observations.append(("told", (at, relay, server, list_state, started)))

    # ---- connections ----

    def _request_taken(self, at: int, request: int, relay: int, deadline: int, request_class: int) -> None:
        self._relay_of[request] = relay
        self._observations.append(("taken", (at, request, relay, deadline, request_class)))

    def _connection_broken(self, at: int, request: int, server: int, silent: bool) -> None:
        self._broken.setdefault(request, _Broken(at, silent))

    def _connection_ended(self, at: int, request: int, end: End) -> None:
        self._note_late_end(at, request)
        self._observations.append(("ended", (at, request, end)))

    def _ended_unsent(self, at: int, request: int) -> None:
        self._connection_ended(at, request, self._classify_end(at, request))

    def _held_back(self, at: int, request: int, us: int) -> None:
        """Records a delay unless the relay was suspended, as a suspended process forwards nothing."""
        stalls = self._stalled[self._relay_of.get(request, -1)]
        if not any(begin < at and at - us < until for begin, until in stalls):
            self._observations.append(("held_back", (at, request, us)))

    def _classify_end(self, at: int, request: int) -> End:
        relay = self._relays[self._relay_of[request]]
        if request in self._broken and self._broken[request].at <= at + SLACK_US:
            return End.BROKEN
        if relay.stopping is not None or any(begin <= at <= end + END_MATCH_US for begin, end in relay.stops):
            return End.RELAY_DIED if self._pass_through else End.CUT
        died = any(
            death.began_at - EXIT_DETECTION_US <= at <= death.exited_at + END_MATCH_US
            for death in relay.deaths
        )
        return End.RELAY_DIED if died else End.CUT

    def _note_late_end(self, at: int, request: int) -> None:
        """Records a delay if the relay ended a connection late that its push server broke or left silent."""
        self._ended_requests.add(request)
        broken = self._broken.get(request)
        if broken is None:
            return
        allowed = SILENCE_LIMIT_US if broken.silent else END_MATCH_US
        if at - broken.at > allowed + SLACK_US:
            self._held_back(at, request, at - broken.at - allowed + END_MATCH_US)

    def _note_unforwarded_ends(self, end: int) -> None:
        for request in sorted(set(self._broken) - self._ended_requests):
            self._note_late_end(end, request)
