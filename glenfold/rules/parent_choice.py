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
LEAST_CHILDREN = 64  # that are reckoned with: who came early was told of few
LONGEST_LEAVE_S = 2.0  # of that span: a change must be in force 4 s later, with a connection to be opened
SOONEST_HOME_S = 10.0  # for so long a nearer parent must have been sound
HOME_LOOK_S = 10.0  # between looks at nearer parents, at the most
SLOW_LOOK_S = 4.0  # between looks round where nobody was fresher, at the most
LONGEST_WORD_S = 6.0  # the longest that a parent's Retry-After is heeded for


class Refusal(Enum):
    """Why a parent is passed over for a while."""

    UNREACHABLE = "unreachable"
    BUSY = "busy"
    STALE = "stale"
    BEHIND = "behind"
    LOOP = "loop"
    FAULTY = "faulty"


@dataclass(frozen=True, slots=True)
class Wait:
    """For how long a parent is passed over after its first refusal in a row, and at the most."""

    first_s: float
    most_s: float


WAITS = {
    Refusal.UNREACHABLE: Wait(0.25, 2.0),
    Refusal.BUSY: Wait(0.5, 4.0),
    Refusal.STALE: Wait(1.0, 4.0),
    Refusal.BEHIND: Wait(0.25, 2.0),
    Refusal.LOOP: Wait(2.0, 16.0),
    Refusal.FAULTY: Wait(0.5, 4.0),
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
    until_s: float = -math.inf  # it is passed over up to then
    sound_since_s: float | None = None


@dataclass(slots=True)
class ParentChoice:
    """Parents in the child's zone go before those in its region, and these before all others. One that was
    refused is passed over for a while, longer each time in a row."""

    parents: tuple[Parent, ...]
    zone: str | None
    region: str | None
    chance: random.Random
    _records: dict[Address, _Record] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.replace(self.parents)

    def replace(self, parents: Iterable[Parent]) -> None:
        """What was seen of those that stay holds."""
        self.parents, before = tuple(parents), self._records
        addresses = [parent.address for parent in self.parents]
        self._records = {
            address: before.get(address) or _Record(self.chance.random()) for address in addresses
        }

    def distance(self, parent: Parent) -> Distance:
        if self.zone is not None and parent.zone == self.zone:
            return Distance.ZONE
        if self.region is not None and parent.region == self.region:
            return Distance.REGION
        return Distance.FAR

    def in_turn(self, now_s: float) -> list[Parent]:
        """All that are not passed over, the nearest first."""
        free = [parent for parent in self.parents if self._records[parent.address].until_s <= now_s]
        return sorted(free, key=lambda parent: (self.distance(parent), self._records[parent.address].order))

    def nearer(self, than: Parent, now_s: float) -> list[Parent]:
        """Those in turn that are nearer than the one followed."""
        return [parent for parent in self.in_turn(now_s) if self.distance(parent) < self.distance(than)]

    def next_turn_s(self, now_s: float) -> float:
        """When the next of those passed over is to be asked again."""
        return max(now_s, min(record.until_s for record in self._records.values()))

    def refuse(self, parent: Parent, why: Refusal, now_s: float, retry_after_s: float | None = None) -> None:
        """`retry_after_s`: what the parent itself asked for."""
        if (record := self._records.get(parent.address)) is None:
            return
        wait = WAITS[why]
        span_s = min(wait.most_s, wait.first_s * 2.0 ** min(record.refusals, 16))
        if retry_after_s is not None:
            span_s = max(span_s, min(retry_after_s, LONGEST_WORD_S))
            record.until_s = now_s + span_s * self.chance.uniform(1.0, 1.5)
        else:
            record.until_s = now_s + span_s * self.chance.uniform(0.5, 1.0)
        record.refusals += 1
        record.sound_since_s = None

    def sound(self, parent: Parent, now_s: float) -> bool:
        """It has answered as it should; whether it has done so for a while."""
        if (record := self._records.get(parent.address)) is None:
            return False
        record.refusals, record.until_s = 0, -math.inf
        if record.sound_since_s is None:
            record.sound_since_s = now_s
        return now_s - record.sound_since_s >= SOONEST_HOME_S

    def leave_s(self, children: int) -> float:
        """How long to go on with a parent that has failed or fallen silent: its other children leave it as
        well, and are not to fall on another parent in the same moment. 0: it does not tell of any."""
        reckoned_with = max(children, LEAST_CHILDREN) if children else 0
        return self.chance.uniform(0.0, min(LONGEST_LEAVE_S, LEAVE_S_PER_CHILD * reckoned_with))

    def home_look_s(self) -> float:
        """Until the next look at parents that are nearer than the one followed."""
        return self.chance.uniform(0.5, 1.0) * HOME_LOOK_S

    def slow_look_s(self) -> float:
        """Until the next look round, where nobody was fresher than what is known."""
        return self.chance.uniform(0.5, 1.0) * SLOW_LOOK_S
