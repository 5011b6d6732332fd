"""What the two sides of a control replica share: the follower of its parents hands over what it accepted, and
the publisher serves it to children. No I/O.

Both ends of a replica speak discovery's own lists and watches; beside them go only these HTTP header fields.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

INCARNATION_FIELD = "Glenfold-Incarnation"  # which history of the source the revisions count in
CHILDREN_FIELD = "Glenfold-Children"  # how many watch the one that answers
AGE_FIELD = "Age"  # whole seconds since the source last renewed what is known
VIA_FIELD = "Via"  # the names of the replicas between the source and the child, the source's side first
VIA_PROTOCOL = "1.1"  # before each name in it


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A moment in the history of a source. `incarnation`: which history of it the revision counts in, 0 if
    the source names none; a later incarnation is later whatever the revisions say."""

    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class ListDocument:
    """A list of servers, or the change that leads to `position`. `entries` are in discovery's form, as they
    came: `hosts` of its documents. `anew`: a whole list whose position is lower than what is known, by a
    source that counts anew; it takes the place of all that was before."""

    position: Position
    whole: bool
    entries: tuple[Mapping[str, Any], ...]
    restarts_history: bool = False


class Publisher(Protocol):
    """What a follower tells the side that serves children."""

    def publish(self, document: ListDocument) -> None:
        """A list or change that the follower has accepted as newer, in order."""

    def renew(self, renewed_at_s: float) -> None:
        """The source said at that moment, of the local monotonic clock (trio's), that what is known holds; at
        the root itself, below it through all parents."""

    def stale(self) -> None:
        """Nobody renews any more: what is known is served on with its age, and children get no renewals."""

    def via(self, names: tuple[str, ...]) -> None:
        """The replicas between the source and this one, the source's side first and this one's own name left
        out, from now on: what the present parent named in VIA_FIELD. Empty: it follows the source itself."""
