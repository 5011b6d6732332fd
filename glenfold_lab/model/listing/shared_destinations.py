"""The real `DestinationSet`, shared by all relays that received the same lists."""

import copy
from weakref import WeakValueDictionary

from glenfold.config import Names
from glenfold.destinations import DestinationSet
from glenfold_lab.model.listing.versions import Document
from linnetspread.interface import ListKind, ServerList

ReceivedList = tuple[int, bool, bool]  # Version, whether the list is full, and whether it is cached.


class _ForkableSet(DestinationSet):
    def fork(self) -> "_ForkableSet":
        """Returns an independent copy.

        A set replaces its contents with each list; only its departed servers are changed in place.
        """
        other = copy.copy(self)
        other._departed = dict(self._departed)
        return other


class SharedDestinations:
    """The destinations of all relays that received the same lists in the same order.

    `server_list` is the last of these lists. 10,000 servers at 1,000 relays would be 10 million entries to
    read, so the first relay that receives a list reads it, and relays with the same destinations and the same
    list share the result. A result is freed when no relay holds it.
    """

    __slots__ = ("_set", "_next", "server_list", "__weakref__")

    def __init__(self, known: _ForkableSet, server_list: ServerList) -> None:
        self._set = known
        self._next: WeakValueDictionary[ReceivedList, SharedDestinations] = WeakValueDictionary()
        self.server_list = server_list

    @classmethod
    def empty(cls, names: Names) -> "SharedDestinations":
        """Returns the destinations of a relay that has received no list."""
        return cls(_ForkableSet(names), ServerList(ListKind.CACHED))

    def read(self, document: Document, cached: bool = False) -> "SharedDestinations":
        """Returns the destinations after this list, or raises `BadList` as `DestinationSet` does.

        A version must always come with the same document.
        """
        received = document["seq"], document["whole"], cached
        known = self._next.get(received)
        if known is None:
            fork = self._set.fork()
            known = self._next[received] = SharedDestinations(fork, fork.read(document, cached))
        return known
