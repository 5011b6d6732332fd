"""Nothing new to a server more than the grace after this relay was told that it drains or is gone, and never
to one that its list has not named in its present life."""

from array import array
from dataclasses import dataclass, field

from glenfold_lab.checker.verdicts import Verdicts
from glenfold_lab.observe import Capacity, ListedState, Watcher
from glenfold_lab.spec import Rules

NOT_NAMED = -1


@dataclass(slots=True, eq=False)
class Away:
    """A server that a relay was told is draining or gone, since then and until it was told otherwise."""

    since: int
    state: ListedState
    until: int | None = None


@dataclass(slots=True, eq=False)
class Relay:
    """What it has been told in its present life. starts: by place of the server, when that last started, as
    told: 0 if long ago. An array, as thousands of relays are told of ten thousand servers each."""

    starts: "array[int]" = field(default_factory=lambda: array("q"))
    away: dict[int, Away] = field(default_factory=dict)
    died: int = -1


class Drain(Watcher):
    def __init__(self, rules: Rules, slack_us: int, found: Verdicts) -> None:
        self._grace = round(rules.drain_grace_ms * 1000) + slack_us
        self._found = found
        self._places: dict[int, int] = {}  # of servers, in `starts`
        self._relays: dict[int, Relay] = {}
        self._running: set[int] = set()

    def told_start(self, relay: int, server: int) -> int:
        """When the server last started, as this relay was told; 0 if long ago, NOT_NAMED if it wasn't."""
        known, place = self._relays.get(relay), self._places.get(server)
        if known is None or place is None or place >= len(known.starts):
            return NOT_NAMED
        return known.starts[place]

    # ---- what is seen ----

    def server_started(self, at: int, server: int, capacity: Capacity, cold: bool) -> None:
        self._running.add(server)

    def server_ended(self, at: int, server: int) -> None:
        self._running.discard(server)

    def relay_down(self, at: int, relay: int) -> None:
        self._relays[relay] = Relay(died=at)

    def told(self, at: int, relay: int, server: int, state: ListedState, started_us: int) -> None:
        known = self._relays.get(relay)
        if known is None:
            known = self._relays[relay] = Relay()
        away = known.away.get(server)
        if state == ListedState.READY:
            if (
                away is not None
                and away.until is None
                and (away.state != ListedState.GONE or self._returned(relay, server, started_us))
            ):
                away.until = at
        elif away is None or away.until is not None:
            known.away[server] = Away(at, state)
        elif state == ListedState.GONE:
            away.state = state
        if state != ListedState.GONE:
            self._name(known, server, started_us)

    def _returned(self, relay: int, server: int, started_us: int) -> bool:
        """Old news must not bring back what is gone; a machine that was only cut off does come back."""
        return started_us > self.told_start(relay, server) or server in self._running

    def _name(self, known: Relay, server: int, started_us: int) -> None:
        place = self._places.setdefault(server, len(self._places))
        missing = len(self._places) - len(known.starts)
        if missing > 0:
            known.starts.extend([NOT_NAMED] * missing)
        known.starts[place] = started_us

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        known = self._relays.get(relay)
        if known is not None and first <= known.died:  # by a list that is void by now
            return
        away = known.away.get(server) if known is not None else None
        if away is not None:
            if away.since + self._grace < first and (away.until is None or first < away.until):
                self._late(away, at, request, relay, server, first)
        elif self.told_start(relay, server) == NOT_NAMED:
            unnamed = (at, f"the list of relay {relay} had never named server {server}")
            self._broken([unnamed], at, request, relay, server, first)

    def _late(self, away: Away, at: int, request: int, relay: int, server: int, first: int) -> None:
        told = (away.since, f"relay {relay} was told that server {server} was {away.state.name.lower()}")
        after = (first, f"that was {(first - away.since) / 1e6:.6f} s after it was told")
        self._broken([told, after], at, request, relay, server, first)

    def _broken(
        self, seen: list[tuple[int, str]], at: int, request: int, relay: int, server: int, first: int
    ) -> None:
        sent = (first, f"relay {relay} sent request {request} to server {server}")
        self._found.add("drain", first, [sent, *seen], request, server, relay)
