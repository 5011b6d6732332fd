"""Following one of several parents, on loopback sockets with a clock that jumps."""

from typing import Any

import trio
from relaying import entry
from stand_in_parent import Child, StandInParent, play

from glenfold.replica.parent_watch import PATH
from glenfold.rules.replication import Position
from glenfold.rules.source_lease import LEASE_S, SILENCE_S


async def started(nursery: trio.Nursery, *parents: StandInParent) -> None:
    for parent in parents:
        await parent.listen(nursery)


def test_the_source_is_followed_and_its_lists_go_out_as_they_came() -> None:
    async def script(nursery: trio.Nursery) -> None:
        source = StandInParent(revision=41)
        await started(nursery, source)
        child = Child(source)
        nursery.start_soon(child.follower.follow)
        await child.published.until(41)
        await child.until_at(source)
        await trio.sleep(0.1)
        await source.change(entry("s-2"))
        await child.published.until(42)
        first, second = (document for _, document in child.published.documents)
        assert first.whole and first.entries == (entry("s-1"),)
        assert not second.whole and second.entries == (entry("s-2"),)
        assert child.published.positions == [Position(0, 41), Position(0, 42)]
        assert child.published.chains == [()]
        assert [target for _, target in source.asked] == [PATH, f"{PATH}?watch=1&from=41"]

    play(script)


def watched(parent: StandInParent) -> list[int]:
    """The revisions that it was asked to go on from; -1: the whole list."""
    return [int(target.rpartition("=")[2]) if "=" in target else -1 for _, target in parent.asked]


def replica(name: str = "r-1", revision: int = 1, **more: Any) -> StandInParent:
    return StandInParent(name, incarnation=0, revision=revision, **more)


def test_a_killed_parent_costs_no_whole_list_and_is_replaced_within_the_time() -> None:
    async def script(nursery: trio.Nursery) -> None:
        one, other = replica("r-1", 41, children=250), replica("r-2", 41, children=250)
        await started(nursery, one, other)
        child = Child(one, other)
        nursery.start_soon(child.follower.follow)
        while child.parent() is None:
            await trio.sleep(0.01)
        first, second = (one, other) if child.parent() == one.place else (other, one)
        await trio.sleep(1)
        first.kill()
        killed_at_s = trio.current_time()
        await second.change(entry("s-2"))
        assert await child.published.until(42) < killed_at_s + 4
        assert child.published.positions == [Position(0, 41), Position(0, 42)]
        assert watched(second) == [41] and watched(first) == [-1, 41]

    play(script)


def test_a_parent_that_falls_silent_is_left_for_one_that_is_renewed() -> None:
    async def script(nursery: trio.Nursery) -> None:
        near, far = replica("r-1", zone="cardiff"), replica("r-2", zone="wrexham")
        await started(nursery, near, far)
        child = Child(near, far, zone="cardiff")
        nursery.start_soon(child.follower.follow)
        await child.until_at(near)
        await trio.sleep(5)
        near.renewing = False
        silent_at_s = near.renewed_at_s
        assert silent_at_s + SILENCE_S < await child.until_at(far) < silent_at_s + LEASE_S
        assert child.published.stale_at_s == []

    play(script)
