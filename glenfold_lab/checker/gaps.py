"""Gaps of observers: times in which the process that recorded observations did not run.

What happens in a gap is recorded at its end. A time limit that was exceeded by no more than that, for the
very observation, was not shown to be exceeded.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from glenfold_lab.observe import Record


@dataclass(frozen=True, slots=True)
class Gap:
    """An interval in which the event loop of an observer did not run; times are in microseconds.

    `call` names the blocking call that took the largest part of it, empty if none did.
    """

    start: int
    end: int
    call: str = ""

    @property
    def length_us(self) -> int:
        return self.end - self.start


@dataclass(frozen=True, slots=True)
class Overrun:
    """By how much an observation was too late: it had to come by `limit` and came at `observed`.

    `needed_us` is how much of that time must have been a gap for the limit to have been kept, by default all
    of it.
    """

    limit: int
    observed: int
    needed_us: int | None = None

    def is_explained_by(self, gaps: Iterable[Gap]) -> bool:
        """Returns whether the limit may have been kept, as the observer did not run in the meantime."""
        covered = sum(
            max(0, min(gap.end, self.observed) - max(gap.start, self.limit)) for gap in _joined(gaps)
        )
        needed = self.observed - self.limit if self.needed_us is None else self.needed_us
        return covered >= needed


def _joined(gaps: Iterable[Gap]) -> list[Gap]:
    """Returns the gaps in order, with those that overlap joined."""
    joined: list[Gap] = []
    for gap in sorted(gaps, key=lambda gap: gap.start):
        if joined and gap.start <= joined[-1].end:
            joined[-1] = Gap(joined[-1].start, max(joined[-1].end, gap.end))
        else:
            joined.append(gap)
    return joined


@dataclass(slots=True)
class Observer:
    """One process that recorded observations, and the gaps of its event loop."""

    records: Sequence[Record]
    gaps: Sequence[Gap]
    _times: set[int] | None = field(default=None, init=False)

    def recorded_at(self, at: int) -> bool:
        """Returns whether the process recorded an observation with this time."""
        if self._times is None:
            self._times = {values[0] for _, values in self.records}
            self._times |= {values[4] for name, values in self.records if name == "sent"}  # the first byte
        return at in self._times


class ObserverGaps:
    """The gaps of all observers of one history."""

    def __init__(self, observers: Sequence[Observer]) -> None:
        self._observers = [observer for observer in observers if observer.gaps]

    def about(self, overrun: Overrun) -> list[Gap]:
        """Returns the gaps that overlap the overrun, of the observers that made its late observation."""
        return [
            gap
            for observer in self._observers
            if observer.recorded_at(overrun.observed)
            for gap in observer.gaps
            if gap.start < overrun.observed and gap.end > overrun.limit
        ]
