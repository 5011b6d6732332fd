"""Tests that children behind two layers of replicas receive every change once, in order and in time.

Replicas of either layer are killed meanwhile.
"""

import random
from typing import Any

import pytest
import trio
from relaying import entry
from stand_in_parent import Child, StandInParent, run_script
from test_tree import Layer

from glenfold.config.platform import Parent
from glenfold.rules.replication import ListDocument

IN_FORCE_S = 4.0
CHILDREN = 16


class Tree:
    """A source, two root replicas that follow it, three leaf replicas behind them, and their children.

    Each child may follow any of the leaves.
    """

    def __init__(self, seed: int) -> None:
        self.source = StandInParent(revision=100, hosts=("s-0", "s-1"))
        self.rng = random.Random(seed)
        self.roots: list[Layer] = []
        self.leaves: list[Layer] = []
        self.children: list[Child] = []
        self.source_changes: dict[int, tuple[float, dict[str, dict[str, Any]]]] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        await self.source.listen(nursery)
        self.roots = [Layer(f"root-{n}", self.source.port) for n in range(2)]
        ports = [root.port for root in self.roots]
        self.leaves = [Layer(f"leaf-{n}", *ports) for n in range(3)]
        for layer in (*self.roots, *self.leaves):
            nursery.start_soon(layer.run)
        parents = tuple(Parent(("127.0.0.1", leaf.port)) for leaf in self.leaves)
        for _ in range(CHILDREN):
            child = Child(seed=self.rng.getrandbits(32))
            child.choice.replace(parents)
            self.children.append(child)
            nursery.start_soon(child.follower.follow)
        self.source_changes[100] = trio.current_time(), dict(self.source.hosts)
        for child in self.children:
            await child.wait_for_parent()
        await trio.sleep(3)

    async def change(self) -> None:
        name = f"s-{self.rng.randrange(6)}"
        health = self.rng.choice(["in_service", "terminating", "terminated"])
        await self.source.change(entry(name, health=health, share=float(self.source.revision)))
        self.source_changes[self.source.revision] = trio.current_time(), dict(self.source.hosts)

    async def change_for(self, seconds: float) -> None:
        until_s = trio.current_time() + seconds
        while trio.current_time() < until_s:
            await trio.sleep(self.rng.uniform(0.05, 0.5))
            await self.change()

    def check(self) -> None:
        for child in self.children:
            check_child([document for _, document in child.published.documents], self.source_changes)
            assert child.published.documents[-1][1].position.revision == self.source.revision
            assert child.published.stale_at_s == []
            assert max(delays(child, self.source_changes)) <= IN_FORCE_S


def delays(child: Child, source_changes: dict[int, tuple[float, dict[str, dict[str, Any]]]]) -> list[float]:
    """Returns the seconds from each change at the source until the child had it.

    The child may receive a change merged with later ones.
    """
    delays_s = []
    for revision, (changed_at_s, _) in sorted(source_changes.items())[1:]:
        received_at_s = next(
            at_s for at_s, document in child.published.documents if document.position.revision >= revision
        )
        delays_s.append(received_at_s - changed_at_s)
    return delays_s


def check_child(
    documents: list[ListDocument], source_changes: dict[int, tuple[float, dict[str, dict[str, Any]]]]
) -> None:
    """Checks that revisions are unique and in order, and that each gives the source's list of that time."""
    positions = [document.position for document in documents]
    assert all(before < after for before, after in zip(positions, positions[1:], strict=False))
    assert [document.whole for document in documents] == [True] + [False] * (len(documents) - 1)
    seen: dict[str, Any] = {}
    for document in documents:
        for entry_fields in document.entries:
            seen[entry_fields["host"]] = entry_fields
            if entry_fields["health"] == "terminated":
                del seen[entry_fields["host"]]
        assert seen == source_changes[document.position.revision][1]


@pytest.mark.parametrize("killed_layer", ["leaf", "root"])
def test_every_change_reaches_every_child_once_in_order_and_in_time(killed_layer: str) -> None:
    async def script(nursery: trio.Nursery) -> None:
        tree = Tree(1)
        await tree.start(nursery)
        await tree.change_for(1)
        killed = tree.leaves[0] if killed_layer == "leaf" else tree.roots[0]
        killed.scope.cancel()
        killed.listener.close()
        await tree.change_for(4)
        await trio.sleep(IN_FORCE_S)
        tree.check()

    run_script(script)
