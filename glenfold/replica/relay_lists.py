"""The list source of a relay that follows one of several parents: control replicas or discovery itself."""

import random

from glenfold.config.platform import Config
from glenfold.counters import Counters
from glenfold.decisions import Decisions
from glenfold.destinations import DestinationSet
from glenfold.net.lists import record_list
from glenfold.replica.follower import Follower
from glenfold.rules.parent_choice import ParentChoice
from glenfold.rules.replication import ListDocument
from glenfold.rules.succession import Succession
from linnetspread import interface


class RelayLists:
    """Adds the lists that the follower accepted to the destination set and submits them to the decisions.

    A relay keeps serving with the list it has, however old that is. It has no children, so renewals and the
    Via chain go no further.
    """

    def __init__(
        self, config: Config, decisions: Decisions, destinations: DestinationSet, counters: Counters
    ) -> None:
        assert config.parents is not None
        parent_config = config.parents
        self._decisions = decisions
        self._destinations = destinations
        self._counters = counters
        self._last_reported = ""
        self._unsent_list: interface.ServerList | None = None
        self._succession = Succession()
        choice = ParentChoice(
            parent_config.parents, parent_config.zone, parent_config.region, random.Random(config.seed)
        )
        self._follower = Follower(choice, self._succession, self, after_publish=self._submit)

    @property
    def heard_at(self) -> float:
        """When the source last renewed the list, on trio's clock."""
        return self._follower.renewed_at_s

    async def follow(self) -> None:
        """Follows the parents until cancelled, starting from the list known already, if there is one."""
        if self._destinations.has_list:
            self._succession.resume(self._destinations.version)
        await self._follower.follow()

    def reload(self, config: Config) -> None:
        """Follows the parents in `config` from now on."""
        if config.parents is not None:
            self._follower.move_to(config.parents.parents)

    # ---- the Publisher interface, called by the follower ----

    def publish(self, document: ListDocument, via: tuple[str, ...]) -> None:
        """Adds a list or change to the destination set. `_submit` is awaited before the next one.

        A relay has no children to pass the chain `via` on to.
        """
        revision, entries = document.position.revision, document.entries
        document_fields = {"seq": revision, "whole": document.whole, "hosts": entries}
        self._unsent_list = self._destinations.read(document_fields)
        self._last_reported = record_list(self._destinations, self._counters, self._last_reported)

    async def _submit(self) -> None:
        server_list, self._unsent_list = self._unsent_list, None
        if server_list is not None:
            await self._decisions.submit(server_list)

    def renew(self, renewed_at_s: float) -> None:
        """Does nothing: `heard_at` holds the time of the renewal."""

    def stale(self) -> None:
        """Does nothing: `heard_at` shows how old the list is."""

    def via(self, names: tuple[str, ...]) -> None:
        """Does nothing: a relay has no children to pass the Via chain on to."""
