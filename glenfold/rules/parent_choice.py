"""The choice of the parent that a replica or relay follows, and of when it asks another. No clock, no I/O.

Times are in seconds on one monotonic clock. The random generator is passed in, with a different seed at each
child.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from glenfold.config.address import Address
from glenfold.config.platform import Parent

LEAVE_S_PER_CHILD = 0.008  # The children of one parent leave it over a span of this length for each child.
MIN_ASSUMED_CHILDREN = 64  # A child that connected early was sent too low a number of children.
MAX_LEAVE_SPREAD_S = 2.0  # A change must be in force within 4 s, including the time to open a connection.
MIN_SOUND_S = 10.0  # A child returns to a nearer parent once that has answered correctly for this long.
NEARER_CHECK_INTERVAL_S = 10.0  # Nearer parents are checked at least this often.
FRESHER_CHECK_INTERVAL_S = 4.0  # If no parent was fresher, the parents are checked again at least this often.
MAX_RETRY_AFTER_S = 6.0  # A longer Retry-After of a parent is cut to this.


class Refusal(Enum):
    """The reason why a parent is skipped for a while."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    STALE = "stale"
    BEHIND = "behind"
    LOOP = "loop"
    FAULTY = "faulty"


@dataclass(frozen=True, slots=True)
class SkipTime:
    """The time for which a parent is skipped: after the first of consecutive refusals, and at most."""

    first_s: float
    max_s: float


SKIP_TIMES = {
    Refusal.UNREACHABLE: SkipTime(0.25, 2.0),
    Refusal.BUSY: SkipTime(0.5, 4.0),
    Refusal.STALE: SkipTime(1.0, 4.0),
    Refusal.BEHIND: SkipTime(0.25, 2.0),
    Refusal.LOOP: SkipTime(2.0, 16.0),
    Refusal.FAULTY: SkipTime(0.5, 4.0),
}


class Distance(IntEnum):
    """The distance from a child to a parent."""

    ZONE = 0
    REGION = 1
    FAR = 2


@dataclass(slots=True)
class _Record:
    """The observations of one parent."""

    order: float  # Random rank among parents of one distance, different at each child.
    refusals: int = 0  # Number of consecutive refusals.
    skipped_until_s: float = -math.inf  # Time until which the parent is skipped.
    sound_since_s: float | None = None  # Time since which the parent has answered correctly.


@dataclass(slots=True)
class ParentChoice:
    """The parents of one child, in its order of preference.

    Parents in the child's zone are preferred to those in its region, and these to all others. A refused
    parent is skipped for a while, which grows with each consecutive refusal.
    """

    parents: tuple[Parent, ...]
    zone: str | None
    region: str | None
    rng: random.Random
    _records: dict[Address, _Record] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.replace(self.parents)

    def replace(self, parents: Iterable[Parent]) -> None:
        """Replaces the parents; the observations of parents that stay are kept."""
        self.parents, before = tuple(parents), self._records
        addresses = [parent.address for parent in self.parents]
        self._records = {address: before.get(address) or _Record(self.rng.random()) for address in addresses}

    def distance(self, parent: Parent) -> Distance:
        """Returns the distance to the parent, `FAR` if the zones and regions are not known."""
        if self.zone is not None and parent.zone == self.zone:
            return Distance.ZONE
        if self.region is not None and parent.region == self.region:
            return Distance.REGION
        return Distance.FAR

    def available(self, now_s: float) -> list[Parent]:
        """Returns all parents that are not skipped at `now_s`, the nearest first."""
        available = [
            parent for parent in self.parents if self._records[parent.address].skipped_until_s <= now_s
        ]
        return sorted(
            available, key=lambda parent: (self.distance(parent), self._records[parent.address].order)
        )

    def nearer(self, than: Parent, now_s: float) -> list[Parent]:
        """Returns the available parents that are nearer than `than`, the one followed."""
        return [parent for parent in self.available(now_s) if self.distance(parent) < self.distance(than)]

    def next_available_s(self, now_s: float) -> float:
        """Returns the time at which the next parent is available: `now_s` if one is now."""
        return max(now_s, min(record.skipped_until_s for record in self._records.values()))

    def record_refusal(
        self, parent: Parent, why: Refusal, now_s: float, retry_after_s: float | None = None
    ) -> None:
        """Skips the parent for a while; `retry_after_s` is the delay that the parent itself requested."""
        if (record := self._records.get(parent.address)) is None:
            return
        skip_time = SKIP_TIMES[why]
        span_s = min(skip_time.max_s, skip_time.first_s * 2.0 ** min(record.refusals, 16))
        if retry_after_s is not None:
            span_s = max(span_s, min(retry_after_s, MAX_RETRY_AFTER_S))
            record.skipped_until_s = now_s + span_s * self.rng.uniform(1.0, 1.5)
        else:
            record.skipped_until_s = now_s + span_s * self.rng.uniform(0.5, 1.0)
        record.refusals += 1
        record.sound_since_s = None

    def mark_sound(self, parent: Parent, now_s: float) -> bool:
        """Records a correct answer, and returns whether the parent has been sound for `MIN_SOUND_S`."""
        if (record := self._records.get(parent.address)) is None:
            return False
        record.refusals, record.skipped_until_s = 0, -math.inf
        if record.sound_since_s is None:
            record.sound_since_s = now_s
        return now_s - record.sound_since_s >= MIN_SOUND_S

    def leave_delay_s(self, children: int) -> float:
        """Returns how long to stay with a parent that has failed or fallen silent.

        The parent's other children leave it as well, and must not all turn to another parent at the same
        time. The delay is 0 if the parent reported no children.
        """
        assumed_children = max(children, MIN_ASSUMED_CHILDREN) if children else 0
        return self.rng.uniform(0.0, min(MAX_LEAVE_SPREAD_S, LEAVE_S_PER_CHILD * assumed_children))

    def nearer_check_delay_s(self) -> float:
        """Returns the delay before the next check of parents that are nearer than the one followed."""
        return self.rng.uniform(0.5, 1.0) * NEARER_CHECK_INTERVAL_S

    def fresher_check_delay_s(self) -> float:
        """Returns the delay before the next check of all parents, if none was fresher than the known list."""
        return self.rng.uniform(0.5, 1.0) * FRESHER_CHECK_INTERVAL_S
