"""The one store that every set-up asks once, whichever push server it is at."""

from glenfold_lab.model.draw import value
from glenfold_lab.model.fleet import HistoryParameters
from glenfold_lab.model.kernel import SECOND_US
from glenfold_lab.spec import Scenario
from glenfold_lab.streams import Streams


class Store:
    """Answers each call after `us`, and begins at most `per_s` a second: in a crowd calls wait in turn."""

    def __init__(self, per_s: float, us: float) -> None:
        self._gap_us = SECOND_US / per_s
        self._us = us
        self._free_at = 0.0

    def answer_us(self, now: int) -> int:
        """How long the answer to a call that comes now will take, microseconds."""
        begins = max(now, self._free_at)
        self._free_at = begins + self._gap_us
        return int(begins + self._us - now)


def store_of(
    scenario: Scenario, streams: Streams, parameters: HistoryParameters, part: float = 1.0
) -> Store | None:
    """None where set-ups ask none. A process that plays some of the push servers has that part of it."""
    headroom = value(scenario.servers.store_headroom, streams.of("servers", "store_headroom"))
    us = value(scenario.servers.store_ms, streams.of("servers", "store")) * 1000
    return Store(headroom * parameters.full_per_us * SECOND_US * part, us) if headroom and part else None
