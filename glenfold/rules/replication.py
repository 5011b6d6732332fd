"""The interface between the two sides of a control replica, without I/O.

The follower of the parents hands over the documents that it accepted, and the publisher serves them to the
children. Both sides speak discovery's own protocol of lists and watches, with only these HTTP header fields
added.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

INCARNATION_FIELD = "Glenfold-Incarnation"  # The history of the source to which the revisions belong.
CHILDREN_FIELD = "Glenfold-Children"  # The number of children that watch the responding replica.
AGE_FIELD = "Age"  # The whole seconds since the source last renewed the list.
VIA_FIELD = "Via"  # The names of the replicas between the source and the child, from the source on.
VIA_PROTOCOL = "1.1"  # This protocol version precedes each name in the Via field.


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A position in the history of a source.

    `incarnation` is the number of the history to which the revision belongs, 0 if the source names none. A
    position in a later incarnation is later, whatever the revisions are.
    """

    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class ListDocument:
    """A list of servers, or the change that leads to `position`.

    `entries` are the `hosts` of discovery's document, unchanged. `restarts_history` marks a whole list with a
    lower position than the known list, from a source that counts from the beginning again: it replaces all
    earlier documents.
    """

    position: Position
    whole: bool
    entries: tuple[Mapping[str, Any], ...]
    restarts_history: bool = False


class Publisher(Protocol):
    """The interface through which a follower updates the side that serves children."""

    def publish(self, document: ListDocument, via: tuple[str, ...]) -> None:
        """Publishes a list or change that the follower has accepted as newer, in order.

        `via` is the chain of the parent that sent it, as in the method of that name: from this call on both
        are served together.
        """

    def renew(self, renewed_at_s: float) -> None:
        """Records that the source confirmed the known list at that time of trio's monotonic clock.

        The root gets the confirmation from the source itself, the replicas below it through all parents.
        """

    def stale(self) -> None:
        """Records that the list is no longer renewed.

        The known list is still served, with its age, but children get no renewals.
        """

    def via(self, names: tuple[str, ...]) -> None:
        """Sets the replicas between the source and this one, from the source on, without this one's own name.

        Called when another parent is followed, whose list is known already. That parent named them in
        VIA_FIELD. They are empty if this replica follows the source itself.
        """
