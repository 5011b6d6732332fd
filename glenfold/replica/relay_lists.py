"""The lists of a relay that has several parents to follow: control replicas, or discovery itself."""

import random
from collections.abc import Sequence

from glenfold.config.platform import Config
from glenfold.counters import Counters
from glenfold.decisions import Decisions
from glenfold.destinations import DestinationSet
from glenfold.net.lists import note_taken
from glenfold.replica.follower import Follower
from glenfold.rules.parent_choice import ParentChoice
from glenfold.rules.replication import ListDocument
from glenfold.rules.succession import Succession
from linnetspread import interface


class RelayLists:
    """Takes what the follower accepted into the destination set, and tells the decisions. A relay serves on
    by what it knows, however old that is, and has no children to be told of it."""

    def __init__(
        self, config: Config, decisions: Decisions, destinations: DestinationSet, counters: Counters
    ) -> None:
        assert config.parents is not None
        listed = config.parents
        self._decisions = decisions
        self._destinations = destinations
        self._counters = counters
        self._last_reported = ""
        self._unsent_list: interface.ServerList | None = None
        self._succession = Succession()
        choice = ParentChoice(listed.parents, listed.zone, listed.region, random.Random(config.seed))
        self._follower = Follower(choice, self._succession, self, after_publish=self._submit)

    @property
    def heard_at(self) -> float:
        """When the source last said that what is known holds, on trio's clock."""
        return self._follower.renewed_at_s

    async def follow(self) -> None:
        """Until it is cancelled; from the list that is known already, if there is one."""
        if self._destinations.listed:
            self._succession.resume(self._destinations.version)
        await self._follower.follow()

    def reload(self, config: Config) -> None:
        """Follows these parents from now on."""
        if config.parents is not None:
            self._follower.move_to(config.parents.parents)

    # ---- what the follower tells ----

    def publish(self, document: ListDocument) -> None:
        """Takes a list or change in; `_submit` is awaited before the next."""
        revision, entries = document.position.revision, document.entries
        document_fields = {"seq": revision, "whole": document.whole, "hosts": entries}
        self._unsent_list = self._destinations.read(document_fields)
        self._last_reported = note_taken(self._destinations, self._counters, self._last_reported)

    async def _submit(self) -> None:
        server_list, self._unsent_list = self._unsent_list, None
        if server_list is not None:
            await self._decisions.tell(server_list)

    def renew(self, renewed_at_s: float) -> None:
        """`heard_at` tells it."""

    def stale(self) -> None:
        """`heard_at` tells it."""

    def via(self, names: Sequence[str]) -> None:
        """Nobody is told of the chain."""
