"""The shared store that every connection set-up queries once, at any push server."""

from glenfold_lab.model.draw import value
from glenfold_lab.model.fleet import HistoryParameters
from glenfold_lab.model.kernel import SECOND_US
from glenfold_lab.spec import Scenario
from glenfold_lab.streams import Streams


class Store:
    """Answers each call after `us` microseconds and starts at most `per_s` calls per second.

    Calls beyond this rate wait in order.
    """

    def __init__(self, per_s: float, us: float) -> None:
        self._gap_us = SECOND_US / per_s
        self._us = us
        self._free_at = 0.0

    def answer_us(self, now: int) -> int:
        """Returns how long the answer to a call at `now` takes, in microseconds."""
        starts_at = max(now, self._free_at)
        self._free_at = starts_at + self._gap_us
        return int(starts_at + self._us - now)


def make_store(
    scenario: Scenario, streams: Streams, parameters: HistoryParameters, part: float = 1.0
) -> Store | None:
    """Returns the store, or None if set-ups use none.

    A process that runs a share `part` of the push servers has that share of the store's rate.
    """
    headroom = value(scenario.servers.store_headroom, streams.of("servers", "store_headroom"))
    us = value(scenario.servers.store_ms, streams.of("servers", "store")) * 1000
    return Store(headroom * parameters.full_per_us * SECOND_US * part, us) if headroom and part else None
