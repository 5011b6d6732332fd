"""The real `DestinationSet` of each relay, held once for all relays that heard the same."""

import copy
from weakref import WeakValueDictionary

from glenfold.config import Names
from glenfold.destinations import DestinationSet
from glenfold_lab.model.listing.versions import Document
from linnetspread.interface import ListKind, ServerList

ReceivedList = tuple[int, bool, bool]  # version, whether whole, whether cached


class _ForkableSet(DestinationSet):
    def fork(self) -> "_ForkableSet":
        """One that goes its own way from here. What a set knows is replaced with each list, never changed in
        place, but for those that have left."""
        other = copy.copy(self)
        other._departed = dict(self._departed)
        return other


class SharedDestinations:
    """What relays know that heard the same lists in the same order, and the list that they heard last.

    10,000 servers told to 1,000 relays would be 10 million entries to read: so the first relay that hears a
    list reads it, and those that come to the same knowledge by the same list share what came of it. It holds
    only for as long as somebody keeps it.
    """

    __slots__ = ("_set", "_next", "server_list", "__weakref__")

    def __init__(self, known: _ForkableSet, server_list: ServerList) -> None:
        self._set = known
        self._next: WeakValueDictionary[ReceivedList, SharedDestinations] = WeakValueDictionary()
        self.server_list = server_list

    @classmethod
    def empty(cls, names: Names) -> "SharedDestinations":
        """What a relay knows before it has heard any list."""
        return cls(_ForkableSet(names), ServerList(ListKind.CACHED))

    def read(self, document: Document, cached: bool = False) -> "SharedDestinations":
        """The knowledge after this list; `BadList` as the set has it. The same version must be the same
        document."""
        received = document["seq"], document["whole"], cached
        known = self._next.get(received)
        if known is None:
            fork = self._set.fork()
            known = self._next[received] = SharedDestinations(fork, fork.read(document, cached))
        return known
