"""Gaps of observers: times in which the process that recorded observations did not run.

An answer, and the first byte of an attempt, have the time of their arrival by the kernel. The end of a
connection has none: one that happens in a gap is recorded after it. A time limit that was exceeded by no more
than that, for the very observation, was not shown to be exceeded.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from glenfold_lab.observe import Record


@dataclass(frozen=True, slots=True)
class Gap:
    """An interval in which the event loop of an observer did not begin a new turn; times are in microseconds.

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
    """By how much an observation was too late: it had to come by `limit` and came at `observed`."""

    limit: int
    observed: int

    def is_explained_by(self, gaps: Iterable[Gap]) -> bool:
        """Returns whether the limit may have been kept, as the observer did not run in the meantime.

        What is recorded within a gap arrived at the earliest at the beginning of the gap before, if that ends
        where this one begins: the event loop looks for arrivals once in each of its turns.
        """
        ordered = sorted(gaps, key=lambda gap: gap.start)
        return any(
            gap.start < self.observed <= gap.end and _earliest(ordered, index) <= self.limit
            for index, gap in enumerate(ordered)
        )


def _earliest(ordered: Sequence[Gap], index: int) -> int:
    """Returns when what was recorded in this gap may have arrived at the earliest."""
    gap = ordered[index]
    before = ordered[index - 1] if index else gap
    return before.start if before.end == gap.start else gap.start


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
        return at in self._times


class ObserverGaps:
    """The gaps of all observers of one history."""

    def __init__(self, observers: Sequence[Observer]) -> None:
        self._observers = [observer for observer in observers if observer.gaps]

    def about(self, overrun: Overrun) -> list[Gap]:
        """Returns the gaps about the overrun, of the observers that made its late observation."""
        return [
            gap
            for observer in self._observers
            if observer.recorded_at(overrun.observed)
            for gap in observer.gaps
            if gap.start < overrun.observed and gap.end >= overrun.limit
        ]
