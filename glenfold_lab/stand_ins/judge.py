"""From what all stand-ins saw to the observations of one history, in the order of their moments.

No stand-in sees both ends of a connection. Here it is named how one that ended without a word did end: broken
by its push server, with its relay, or cut by a relay though its server still answered.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from glenfold_lab.observe import End, ListedState, Record
from glenfold_lab.stand_ins.machine_clock import SECOND_US

SLACK_US = 50_000  # by which every time limit is extended on sockets
ENDED_US = SECOND_US  # within which an end on one side is one on the other
SILENT_US = 7 * SECOND_US  # within which a relay ends a connection that nothing comes back on
EXIT_SEEN_US = 500_000  # a process may have ended so much before it was seen to have

Listed = tuple[ListedState, int]


@dataclass(slots=True)
class _Broken:
    at: int
    silent: bool


@dataclass(slots=True)
class _Relay:
    """held: what its agent has told, or had to, and `told` of that what it was told in its present life."""

    up: bool = False
    downs: list[int] = field(default_factory=list)
    stopping: int | None = None
    stops: list[tuple[int, int]] = field(default_factory=list)
    held: dict[int, Listed] = field(default_factory=dict)
    told: dict[int, Listed] = field(default_factory=dict)


class Judge:
    """pass_through: whether connections outlive their relays. first: servers in the list at the start."""

    def __init__(self, relays: int, first: Iterable[int], pass_through: bool) -> None:
        listed = dict.fromkeys(first, (ListedState.READY, 0))
        self._relays = [_Relay(held=dict(listed)) for _ in range(relays)]
        self._pass_through = pass_through
        self._broken: dict[int, _Broken] = {}
        self._relay_of: dict[int, int] = {}
        self._over: set[int] = set()  # requests whose connections have ended
        self._stalled: defaultdict[int, list[tuple[int, int]]] = defaultdict(list)
        self._out: list[Record] = []
        self._takes: dict[str, Callable[..., None]] = {
            "relay_up": self._relay_up,
            "relay_down": self._relay_down,
            "stopping": self._stopping,
            "stalled": self._stalls,
            "told": self._told,
            "due": self._told,
            "taken": self._taken,
            "broke": self._broke,
            "ended": self._ended,
            "unsaid": self._unsaid,
            "held_back": self._held_back,
        }

    def settle(self, records: Iterable[Record], end: int) -> list[Record]:
        """The observations until `end`."""
        kept = [record for record in records if record[1][0] <= end]
        kept.sort(key=lambda record: record[1][0])
        for name, values in kept:
            if name == "relay_down":  # ends that come just before or after it are told by it
                self._relays[values[1]].downs.append(values[0])
        for name, values in kept:
            if name in self._takes:
                self._takes[name](*values)
            else:
                self._out.append((name, values))
        self._never_passed_on(end)
        return self._out

    # ---- relays and their lists ----

    def _relay_up(self, at: int, relay: int) -> None:
        state = self._relays[relay]
        state.up = True
        state.told = {}
        self._out.append(("relay_up", (at, relay)))
        for server, (told, started) in sorted(state.held.items()):
            self._told(at, relay, server, told, started)

    def _relay_down(self, at: int, relay: int) -> None:
        state = self._relays[relay]
        state.up = False
        if state.stopping is not None:
            state.stops.append((state.stopping, at))
            state.stopping = None
        self._out.append(("relay_down", (at, relay)))

    def _stopping(self, at: int, relay: int) -> None:
        self._relays[relay].stopping = at

    def _stalls(self, at: int, relay: int, until: int) -> None:
        self._stalled[relay].append((at, until))

    def _told(self, at: int, relay: int, server: int, told: ListedState, started: int) -> None:
        """Counts from the first time. While a relay is down its agent takes it all the same."""
        state = self._relays[relay]
        if told == ListedState.GONE:
            state.held.pop(server, None)
        else:
            state.held[server] = told, started
        if state.up and state.told.get(server) != (told, started):
            state.told[server] = told, started
            self._out.append(("told", (at, relay, server, told, started)))

    # ---- connections ----

    def _taken(self, at: int, request: int, relay: int, deadline: int, request_class: int) -> None:
        self._relay_of[request] = relay
        self._out.append(("taken", (at, request, relay, deadline, request_class)))

    def _broke(self, at: int, request: int, server: int, silent: bool) -> None:
        self._broken.setdefault(request, _Broken(at, silent))

    def _ended(self, at: int, request: int, how: End) -> None:
        self._note_late_end(at, request)
        self._out.append(("ended", (at, request, how)))

    def _unsaid(self, at: int, request: int) -> None:
        self._ended(at, request, self._how(at, request))

    def _held_back(self, at: int, request: int, us: int) -> None:
        """A process that the platform stopped passes nothing on."""
        stalls = self._stalled[self._relay_of.get(request, -1)]
        if not any(begin < at and at - us < until for begin, until in stalls):
            self._out.append(("held_back", (at, request, us)))

    def _how(self, at: int, request: int) -> End:
        relay = self._relays[self._relay_of[request]]
        if request in self._broken and self._broken[request].at <= at + SLACK_US:
            return End.BROKEN
        if relay.stopping is not None or any(begin <= at <= end + ENDED_US for begin, end in relay.stops):
            return End.RELAY_DIED if self._pass_through else End.CUT
        died = any(down - EXIT_SEEN_US <= at <= down + ENDED_US for down in relay.downs)
        return End.RELAY_DIED if died else End.CUT

    def _note_late_end(self, at: int, request: int) -> None:
        """A connection that its push server ended, or was silent on, is one whose end was held back."""
        self._over.add(request)
        broken = self._broken.get(request)
        if broken is None:
            return
        allowed = SILENT_US if broken.silent else ENDED_US
        if at - broken.at > allowed + SLACK_US:
            self._held_back(at, request, at - broken.at - allowed + ENDED_US)

    def _never_passed_on(self, end: int) -> None:
        for request in sorted(set(self._broken) - self._over):
            self._note_late_end(end, request)
