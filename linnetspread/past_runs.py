"""The requests that may have run, as a client may send one again under the same id after it left.

A client that leaves without an answer does not know whether its request ran. A request of a class that must
not be repeated, or only within a window, is therefore remembered beyond its end.
"""

from dataclasses import dataclass

from linnetspread import interface

MAX_PAST_RUNS = 16_384  # some megabytes; the oldest are forgotten


@dataclass(frozen=True, slots=True)
class PastRun:
    """The first server on which a request may have run, and when it was sent there, in microseconds."""

    server: interface.ListedServer
    sent_at: int


class PastRuns:
    """The first possible run of each of the latest requests, by the identity of the request."""

    def __init__(self, max_runs: int = MAX_PAST_RUNS) -> None:
        self._max_runs = max_runs
        self._runs: dict[int, PastRun] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def record(self, identity: int, run: PastRun) -> None:
        """Records a possible run; of several, the first counts. An identity of 0 is none."""
        if not identity or identity in self._runs:
            return
        if len(self._runs) >= self._max_runs:
            del self._runs[next(iter(self._runs))]
        self._runs[identity] = run

    def get(self, identity: int) -> PastRun | None:
        """Returns the first possible run of a request; None if there was none or it was forgotten."""
        return self._runs.get(identity)
