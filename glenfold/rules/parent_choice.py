"""Which parent a replica or relay follows, and when it asks another: without clock or I/O.

Moments are of one monotonic clock, in seconds; random numbers come in, another seed at each child.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from glenfold.config.platform import Address, Parent

LEAVE_S_PER_CHILD = 0.008  # of the span over which the children of one parent leave it
MIN_ASSUMED_CHILDREN = 64  # that are reckoned with: who came early was told of few
MAX_LEAVE_SPREAD_S = 2.0  # of that span: a change must be in force 4 s later, with a connection to be opened
MIN_SOUND_S = 10.0  # for so long a nearer parent must have been sound
NEARER_CHECK_INTERVAL_S = 10.0  # between looks at nearer parents, at the most
FRESHER_CHECK_INTERVAL_S = 4.0  # between looks round where nobody was fresher, at the most
MAX_RETRY_AFTER_S = 6.0  # the longest that a parent's Retry-After is heeded for


class Refusal(Enum):
    """Why a parent is passed over for a while."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    STALE = "stale"
    BEHIND = "behind"
    LOOP = "loop"
    FAULTY = "faulty"


@dataclass(frozen=True, slots=True)
class SkipTime:
    """For how long a parent is passed over after its first refusal in a row, and at the most."""

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
    """Of a parent."""

    ZONE = 0
    REGION = 1
    FAR = 2


@dataclass(slots=True)
class _Record:
    """What was seen of one parent."""

    order: float  # among parents of one distance, another at each child
    refusals: int = 0  # in a row
    skipped_until_s: float = -math.inf  # it is passed over up to then
    sound_since_s: float | None = None


@dataclass(slots=True)
class ParentChoice:
    """Parents in the child's zone go before those in its region, and these before all others. One that was
    refused is passed over for a while, longer each time in a row."""

    parents: tuple[Parent, ...]
    zone: str | None
    region: str | None
    rng: random.Random
    _records: dict[Address, _Record] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.replace(self.parents)

    def replace(self, parents: Iterable[Parent]) -> None:
        """What was seen of those that stay holds."""
        self.parents, before = tuple(parents), self._records
        addresses = [parent.address for parent in self.parents]
        self._records = {address: before.get(address) or _Record(self.rng.random()) for address in addresses}

    def distance(self, parent: Parent) -> Distance:
        if self.zone is not None and parent.zone == self.zone:
            return Distance.ZONE
        if self.region is not None and parent.region == self.region:
            return Distance.REGION
        return Distance.FAR

    def available(self, now_s: float) -> list[Parent]:
        """All that are not passed over, the nearest first."""
        available = [
            parent for parent in self.parents if self._records[parent.address].skipped_until_s <= now_s
        ]
        return sorted(
            available, key=lambda parent: (self.distance(parent), self._records[parent.address].order)
        )

    def nearer(self, than: Parent, now_s: float) -> list[Parent]:
        """Those in turn that are nearer than the one followed."""
        return [parent for parent in self.available(now_s) if self.distance(parent) < self.distance(than)]

    def next_available_s(self, now_s: float) -> float:
        """When the next of those passed over is to be asked again."""
        return max(now_s, min(record.skipped_until_s for record in self._records.values()))

    def record_refusal(
        self, parent: Parent, why: Refusal, now_s: float, retry_after_s: float | None = None
    ) -> None:
        """`retry_after_s`: what the parent itself asked for."""
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
        """It has answered as it should; whether it has done so for a while."""
        if (record := self._records.get(parent.address)) is None:
            return False
        record.refusals, record.skipped_until_s = 0, -math.inf
        if record.sound_since_s is None:
            record.sound_since_s = now_s
        return now_s - record.sound_since_s >= MIN_SOUND_S

    def leave_delay_s(self, children: int) -> float:
        """How long to go on with a parent that has failed or fallen silent: its other children leave it as
        well, and are not to fall on another parent in the same moment. 0: it does not tell of any."""
        assumed_children = max(children, MIN_ASSUMED_CHILDREN) if children else 0
        return self.rng.uniform(0.0, min(MAX_LEAVE_SPREAD_S, LEAVE_S_PER_CHILD * assumed_children))

    def nearer_check_delay_s(self) -> float:
        """Until the next look at parents that are nearer than the one followed."""
        return self.rng.uniform(0.5, 1.0) * NEARER_CHECK_INTERVAL_S

    def fresher_check_delay_s(self) -> float:
        """Until the next look round, where nobody was fresher than what is known."""
        return self.rng.uniform(0.5, 1.0) * FRESHER_CHECK_INTERVAL_S
