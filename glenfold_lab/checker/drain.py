"""Rule "drain": a relay sends nothing new to a server that its list no longer offers.

The rule applies from the end of the grace time after the relay was notified that the server drains or was
removed. A relay never sends to a server that its list has not contained since the relay started.
"""

from array import array
from dataclasses import dataclass, field

from glenfold_lab.checker.verdicts import Verdicts
from glenfold_lab.observe import Capacity, ListedState, Watcher
from glenfold_lab.spec import Rules

NOT_LISTED = -1


@dataclass(slots=True, eq=False)
class Unavailability:
    """A time during which a server is draining or removed in a relay's list; `until` is None if it lasts."""

    since: int
    state: ListedState
    until: int | None = None


@dataclass(slots=True, eq=False)
class RelayList:
    """What a relay was sent of the list since it started.

    `start_times` holds, by the index of a server, when the server last started according to the list: 0 if
    long ago. It is an array, as thousands of relays are sent lists of ten thousand servers each. `died_at` is
    when the relay last died.
    """

    start_times: "array[int]" = field(default_factory=lambda: array("q"))
    unavailable: dict[int, Unavailability] = field(default_factory=dict)
    died_at: int = -1


class DrainRule(Watcher):
    """Checks rule "drain"."""

    def __init__(self, rules: Rules, slack_us: int, verdicts: Verdicts) -> None:
        self._grace_us = round(rules.drain_grace_ms * 1000) + slack_us
        self._verdicts = verdicts
        self._indexes: dict[int, int] = {}  # The index of each server in `RelayList.start_times`.
        self._lists: dict[int, RelayList] = {}
        self._running: set[int] = set()

    def listed_start(self, relay: int, server: int) -> int:
        """Returns when the server last started according to the relay's list.

        0 stands for long ago, NOT_LISTED for a server that the list has not contained.
        """
        relay_list, index = self._lists.get(relay), self._indexes.get(server)
        if relay_list is None or index is None or index >= len(relay_list.start_times):
            return NOT_LISTED
        return relay_list.start_times[index]

    # ---- observations ----

    def server_started(self, at: int, server: int, capacity: Capacity, cold: bool) -> None:
        self._running.add(server)

    def server_ended(self, at: int, server: int) -> None:
        self._running.discard(server)

    def relay_down(self, at: int, relay: int, exited_at: int | None = None) -> None:
        self._lists[relay] = RelayList(died_at=at if exited_at is None else exited_at)

    def told(self, at: int, relay: int, server: int, state: ListedState, started_us: int) -> None:
        relay_list = self._lists.get(relay)
        if relay_list is None:
            relay_list = self._lists[relay] = RelayList()
        unavailability = relay_list.unavailable.get(server)
        if state == ListedState.READY:
            if (
                unavailability is not None
                and unavailability.until is None
                and (
                    unavailability.state != ListedState.GONE or self._has_returned(relay, server, started_us)
                )
            ):
                unavailability.until = at
        elif unavailability is None or unavailability.until is not None:
            relay_list.unavailable[server] = Unavailability(at, state)
        elif state == ListedState.GONE:
            unavailability.state = state
        if state != ListedState.GONE:
            self._set_listed_start(relay_list, server, started_us)

    def _has_returned(self, relay: int, server: int, started_us: int) -> bool:
        """Returns whether a removed server that is listed as ready again is really back.

        An outdated change must not bring a removed server back; a machine that was only cut off does return.
        """
        return started_us > self.listed_start(relay, server) or server in self._running

    def _set_listed_start(self, relay_list: RelayList, server: int, started_us: int) -> None:
        index = self._indexes.setdefault(server, len(self._indexes))
        missing = len(self._indexes) - len(relay_list.start_times)
        if missing > 0:
            relay_list.start_times.extend([NOT_LISTED] * missing)
        relay_list.start_times[index] = started_us

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        relay_list = self._lists.get(relay)
        # An attempt sent before the relay died followed a list that is void by now.
        if relay_list is not None and first <= relay_list.died_at:
            return
        unavailability = relay_list.unavailable.get(server) if relay_list is not None else None
        if unavailability is not None:
            if unavailability.since + self._grace_us < first and (
                unavailability.until is None or first < unavailability.until
            ):
                self._report_late(unavailability, at, request, relay, server, first)
        elif self.listed_start(relay, server) == NOT_LISTED:
            not_listed = (at, f"the list of relay {relay} had never named server {server}")
            self._report([not_listed], at, request, relay, server, first)

    def _report_late(
        self, unavailability: Unavailability, at: int, request: int, relay: int, server: int, first: int
    ) -> None:
        notified = (
            unavailability.since,
            f"relay {relay} was told that server {server} was {unavailability.state.name.lower()}",
        )
        delay = (first, f"that was {(first - unavailability.since) / 1e6:.6f} s after it was told")
        self._report([notified, delay], at, request, relay, server, first)

    def _report(
        self, evidence: list[tuple[int, str]], at: int, request: int, relay: int, server: int, first: int
    ) -> None:
        sent = (first, f"relay {relay} sent request {request} to server {server}")
        self._verdicts.add("drain", first, [sent, *evidence], request, server, relay)
