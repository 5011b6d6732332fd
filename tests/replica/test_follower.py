"""Tests of following one of several parents, on loopback sockets with a mock clock."""

from typing import Any

import pytest
import trio
from relaying import entry
from stand_in_parent import Child, StandInParent, jump_clock, run_script

from glenfold.replica.parent_watch import PATH
from glenfold.rules.parent_choice import MIN_SOUND_S
from glenfold.rules.replication import Position
from glenfold.rules.source_lease import LEASE_S, SILENCE_S


async def start_parents(nursery: trio.Nursery, *parents: StandInParent) -> None:
    for parent in parents:
        await parent.listen(nursery)


def test_lists_of_the_source_are_published_unchanged() -> None:
    async def script(nursery: trio.Nursery) -> None:
        source = StandInParent(revision=41)
        await start_parents(nursery, source)
        child = Child(source)
        nursery.start_soon(child.follower.follow)
        await child.published.wait_for_revision(41)
        await child.wait_for(source)
        await trio.sleep(0.1)
        await source.change(entry("s-2"))
        await child.published.wait_for_revision(42)
        first, second = (document for _, document in child.published.documents)
        assert first.whole and first.entries == (entry("s-1"),)
        assert not second.whole and second.entries == (entry("s-2"),)
        assert child.published.positions == [Position(0, 41), Position(0, 42)]
        assert child.published.chains == [()]
        assert [target for _, target in source.requests] == [PATH, f"{PATH}?watch=1&from=41"]

    run_script(script)


def requested_revisions(parent: StandInParent) -> list[int]:
    """Returns the revisions that watches were requested from, with -1 for a request of the whole list."""
    return [int(target.rpartition("=")[2]) if "=" in target else -1 for _, target in parent.requests]


def replica(name: str = "r-1", revision: int = 1, **more: Any) -> StandInParent:
    return StandInParent(name, incarnation=0, revision=revision, **more)


def test_a_killed_parent_is_replaced_within_4_s_without_a_whole_list() -> None:
    async def script(nursery: trio.Nursery) -> None:
        replica_1, replica_2 = replica("r-1", 41, children=250), replica("r-2", 41, children=250)
        await start_parents(nursery, replica_1, replica_2)
        child = Child(replica_1, replica_2)
        nursery.start_soon(child.follower.follow)
        await child.wait_for_parent()
        first, second = (
            (replica_1, replica_2) if child.parent() == replica_1.as_parent else (replica_2, replica_1)
        )
        await trio.sleep(1)
        await first.kill()
        killed_at_s = trio.current_time()
        await second.change(entry("s-2"))
        assert await child.published.wait_for_revision(42) < killed_at_s + 4
        assert child.published.positions == [Position(0, 41), Position(0, 42)]
        assert requested_revisions(second) == [41] and requested_revisions(first) == [-1, 41]

    run_script(script)


def test_a_silent_parent_is_left_for_one_that_is_renewed() -> None:
    async def script(nursery: trio.Nursery) -> None:
        near, far = replica("r-1", zone="cardiff"), replica("r-2", zone="wrexham")
        await start_parents(nursery, near, far)
        child = Child(near, far, zone="cardiff")
        nursery.start_soon(child.follower.follow)
        await child.wait_for(near)
        await trio.sleep(5)
        near.renewing = False
        silent_at_s = near.renewed_at_s
        assert silent_at_s + SILENCE_S < await child.wait_for(far) < silent_at_s + LEASE_S
        assert child.published.stale_at_s == []

    run_script(script)


async def follow_parent(nursery: trio.Nursery, child: Child, parent: StandInParent) -> None:
    """Waits until the child follows the parent, and 1 s more, so that the start is over."""
    nursery.start_soon(child.follower.follow)
    await child.wait_for(parent)
    await trio.sleep(1)


def test_children_of_a_killed_replica_spread_over_the_others_and_over_time() -> None:
    """Each child resumes from its revision and receives a change within 4 s of the parent's death."""

    async def script(nursery: trio.Nursery) -> None:
        killed, *others = parents = [
            replica("r-1", zone="cardiff", children=250),
            *(replica(f"r-{n}", zone="wrexham") for n in (2, 3)),
        ]
        await start_parents(nursery, *parents)
        children = [Child(*parents, zone="cardiff", seed=seed) for seed in range(40)]
        for child in children:
            nursery.start_soon(child.follower.follow)
        for child in children:
            await child.wait_for(killed)
        await trio.sleep(1)
        killed_at_s = trio.current_time()
        await killed.kill()
        for other in others:
            await other.change(entry("s-2"))
        received_at_s = [await child.published.wait_for_revision(2) for child in children]
        assert max(received_at_s) < killed_at_s + 4
        request_times_s = sorted(at_s - killed_at_s for other in others for at_s, _ in other.requests)
        assert request_times_s[-1] - request_times_s[0] > 1.0
        assert (
            max(sum(at_s <= time_s < at_s + 0.2 for time_s in request_times_s) for at_s in request_times_s)
            <= 12
        )
        assert len(request_times_s) == 40 and all(len(other.requests) >= 10 for other in others)
        assert set(requested_revisions(others[0]) + requested_revisions(others[1])) == {1}

    run_script(script)


def test_a_parent_that_follows_this_replica_is_refused() -> None:
    async def script(nursery: trio.Nursery) -> None:
        looping_parent, good_parent = (
            StandInParent("r-1", "me", "r-2", incarnation=0, zone="cardiff"),
            replica("r-3"),
        )
        await start_parents(nursery, looping_parent, good_parent)
        child = Child(looping_parent, good_parent, zone="cardiff", name="me")
        nursery.start_soon(child.follower.follow)
        await child.wait_for_parent()
        assert child.parent() == good_parent.as_parent and child.follower.counters()["parents_loop"] == 1

    run_script(script)


def test_a_parent_in_a_loop_is_refused_even_as_the_only_one() -> None:
    async def script(nursery: trio.Nursery) -> None:
        looping_parent, good_parent = (
            StandInParent("r-1", "me", "r-2", incarnation=0, zone="cardiff"),
            replica("r-3"),
        )
        await start_parents(nursery, looping_parent, good_parent)
        child = Child(looping_parent, good_parent, zone="cardiff", name="me")
        await follow_parent(nursery, child, good_parent)
        await good_parent.kill()
        await trio.sleep(20)
        assert child.parent() is None or child.parent() == good_parent.as_parent
        assert child.follower.counters()["parents_loop"] > 1
        assert child.published.chains == [("r-3",)]

    run_script(script)


def test_only_a_renewal_by_the_source_renews_the_lease() -> None:
    """A stale parent answers, sends its list and keeps the watch open; none of this renews the lease."""

    async def script(nursery: trio.Nursery) -> None:
        stale = replica("r-1", 41, renewing=False, age_s=100.0)
        await start_parents(nursery, stale)
        child = Child(stale)
        nursery.start_soon(child.follower.follow)
        await child.published.wait_for_revision(41)
        await child.wait_for(stale)
        await trio.sleep(1)
        await stale.change(entry("s-2"))  # received from a parent that is stale too
        await child.published.wait_for_revision(42)
        await trio.sleep(10)
        assert child.follower.renewed_at_s == pytest.approx(-100, abs=0.1)
        assert max(renewed_at_s for _, renewed_at_s in child.published.renewals) < -99
        stale.renewing = True
        await trio.sleep(3)
        assert trio.current_time() - child.follower.renewed_at_s < 2.5

    run_script(script)


def test_changes_of_a_renewed_parent_renew_the_lease_without_empty_lines() -> None:
    async def script(nursery: trio.Nursery) -> None:
        parent = replica()
        await start_parents(nursery, parent)
        child = Child(parent)
        await follow_parent(nursery, child, parent)
        parent.renewing = False
        for _ in range(10):
            await trio.sleep(1)
            await parent.change(entry("s-2"))
        await trio.sleep(0.1)
        assert trio.current_time() - child.follower.renewed_at_s < 0.5
        assert child.published.stale_at_s == [] and child.follower.counters()["parents_followed"] == 1

    run_script(script)


def test_the_lease_ends_six_seconds_after_the_last_renewal_by_the_source() -> None:
    async def script(nursery: trio.Nursery) -> None:
        parent = replica()
        await start_parents(nursery, parent)
        child = Child(parent)
        await follow_parent(nursery, child, parent)
        await trio.sleep(20)
        assert child.published.stale_at_s == []
        parent.renewing = False
        await trio.sleep(20)
        assert child.published.stale_at_s == [pytest.approx(parent.renewed_at_s + LEASE_S, abs=0.1)]

    run_script(script)


def test_children_stay_with_their_parents_while_all_are_stale() -> None:
    """Without the source each child stays with its parent and polls the others slowly.

    It receives a change as soon as any one of the parents is renewed.
    """

    async def script(nursery: trio.Nursery) -> None:
        parents = [replica(f"r-{n}", 41) for n in range(4)]
        await start_parents(nursery, *parents)
        children = [Child(*parents, seed=seed) for seed in range(3)]
        for child in children:
            nursery.start_soon(child.follower.follow)
            await child.wait_for_parent()
        await trio.sleep(3)
        for parent in parents:
            parent.renewing = False
        await trio.sleep(30)
        calls = sum(len(parent.requests) for parent in parents)
        followed = sum(child.follower.counters()["parents_followed"] for child in children)
        jump_clock(3600)
        await trio.sleep(60)
        calls = sum(len(parent.requests) for parent in parents) - calls
        assert sum(child.follower.counters()["parents_followed"] for child in children) == followed
        assert followed <= 2 * len(children)
        assert calls <= len(children) * len(parents) * 60 / 2
        back_at_s = trio.current_time()
        parents[2].renewing = True
        await parents[2].change(entry("s-2"))
        for child in children:
            assert await child.published.wait_for_revision(42) < back_at_s + LEASE_S
        await trio.sleep(10)
        assert {child.parent() for child in children} == {parents[2].as_parent}

    run_script(script)


def test_a_region_that_was_cut_off_does_not_bring_back_drained_servers() -> None:
    async def script(nursery: trio.Nursery) -> None:
        cut_off = replica("r-1", 41, hosts=("s-1", "s-2"), region="west")
        source_side = replica("r-2", 41, hosts=("s-1", "s-2"), region="east")
        await start_parents(nursery, cut_off, source_side)
        child = Child(cut_off, source_side, region="east")
        await follow_parent(nursery, child, source_side)
        cut_off.renewing = False  # cut off for an hour, in which a server drains and leaves
        await source_side.change(entry("s-2", health="terminating"))
        await source_side.change(entry("s-2", health="terminated"))
        await child.published.wait_for_revision(43)
        await source_side.kill()
        await trio.sleep(30)
        jump_clock(3600)
        await trio.sleep(10)
        assert child.parent() is None  # the other parent is behind the known list
        assert child.published.positions[-1] == Position(0, 43)
        assert requested_revisions(cut_off).count(-1) == 0
        await cut_off.change(entry("s-2", health="terminating"))
        await cut_off.change(entry("s-2", health="terminated"))
        cut_off.renewing = True  # the region has caught up
        await child.wait_for(cut_off)
        await cut_off.change(entry("s-3"))
        await child.published.wait_for_revision(44)
        entries = [fields for _, document in child.published.documents for fields in document.entries]
        assert [fields["health"] for fields in entries if fields["host"] == "s-2"] == [
            "in_service",
            "terminating",
            "terminated",
        ]
        assert child.published.positions == [Position(0, revision) for revision in (41, 42, 43, 44)]

    run_script(script)


def test_a_source_whose_revisions_go_back_starts_a_new_incarnation() -> None:
    async def script(nursery: trio.Nursery) -> None:
        source = StandInParent(revision=1000, hosts=("s-1", "s-2"))
        await start_parents(nursery, source)
        child = Child(source)
        await follow_parent(nursery, child, source)
        await source.change(entry("s-2", health="terminating"), revision=1010)  # revisions may skip numbers
        await child.published.wait_for_revision(1010)
        await source.kill()
        source.revision, source.oldest, source.history = 3, 3, []
        source.hosts = {"s-1": entry("s-1"), "s-2": entry("s-2")}
        await source.listen(nursery)
        await child.published.wait_for_revision(3)
        await trio.sleep(1)
        await source.change(entry("s-2", born_ms=5))
        await child.published.wait_for_revision(4)
        assert child.published.positions == [
            *(Position(0, n) for n in (1000, 1010)),
            *(Position(1, n) for n in (3, 4)),
        ]
        lists = [document for _, document in child.published.documents]
        assert lists[2].whole and [fields["health"] for fields in lists[2].entries] == [
            "in_service",
            "terminating",
        ]
        assert lists[3].entries[0]["health"] == "in_service"  # the server has restarted

    run_script(script)


@pytest.mark.parametrize("incarnation, revision", [(0, 3), (0, 2000), (1, 3)])
def test_a_list_renewed_by_the_source_is_accepted_at_any_position(incarnation: int, revision: int) -> None:
    """The source started a new history once, and a restarted replica does not know of it.

    The lists of this replica are behind, but no other parent is renewed, so they are accepted. A server that
    was draining stays so if the list has a lower revision.
    """

    async def script(nursery: trio.Nursery) -> None:
        parent = StandInParent("r-1", incarnation=1, revision=1000, hosts=("s-1", "s-2"))
        await start_parents(nursery, parent)
        child = Child(parent)
        await follow_parent(nursery, child, parent)
        await parent.change(entry("s-2", health="terminating"))
        await child.published.wait_for_revision(1001)
        await parent.kill()
        parent.incarnation, parent.revision = incarnation, revision
        parent.oldest, parent.history = revision, []
        parent.hosts["s-2"] = entry("s-2")
        last_s = child.follower.renewed_at_s
        await trio.sleep(1)
        await parent.listen(nursery)
        assert await child.published.wait_for_revision(revision) < last_s + LEASE_S + 1.0
        accepted = child.published.documents[-1][1]
        assert (
            accepted.position == Position(incarnation, revision)
            and accepted.whole
            and accepted.restarts_history
        )
        health_by_host = {fields["host"]: fields["health"] for fields in accepted.entries}
        assert health_by_host["s-2"] == ("terminating" if revision == 3 else "in_service")
        await parent.change(entry("s-3"))
        await child.published.wait_for_revision(revision + 1)
        assert requested_revisions(parent).count(-1) == 2

    run_script(script)


def test_a_silent_source_does_not_start_a_new_history() -> None:
    async def script(nursery: trio.Nursery) -> None:
        ahead, agent = replica("r-1", 43, zone="cardiff"), StandInParent(revision=41)
        await start_parents(nursery, ahead, agent)
        child = Child(ahead, agent, zone="cardiff")
        await follow_parent(nursery, child, ahead)
        agent.renewing = False
        await ahead.kill()
        await trio.sleep(30)
        assert child.published.positions == [Position(0, 43)]
        agent.renewing = True
        await child.wait_for(agent)
        assert child.published.positions == [Position(0, 43), Position(1, 41)]

    run_script(script)


def test_missed_changes_come_before_the_renewal_of_a_new_parent() -> None:
    """Guards against a child that passes on an old list as one that the source has just renewed."""

    async def script(nursery: trio.Nursery) -> None:
        first, second = replica("r-1", 41, zone="cardiff"), replica("r-2", 41)
        await start_parents(nursery, first, second)
        child = Child(first, second, zone="cardiff")
        await follow_parent(nursery, child, first)
        await second.change(entry("s-2"))
        await second.change(entry("s-3"))
        await second.renew()
        await first.kill()
        known_renewal_s = child.follower.renewed_at_s
        await child.wait_for(second)
        assert child.follower.renewed_at_s == known_renewal_s
        caught_up_s = await child.published.wait_for_revision(43)
        await trio.sleep(3)
        renewed = [at_s for at_s, renewed_at_s in child.published.renewals if renewed_at_s > known_renewal_s]
        assert renewed and caught_up_s <= min(renewed)

    run_script(script)


def test_a_later_incarnation_of_another_parent_wins_and_an_earlier_one_is_behind() -> None:
    async def script(nursery: trio.Nursery) -> None:
        before = StandInParent("r-1", incarnation=1, revision=900, zone="cardiff")
        later = StandInParent("r-2", incarnation=2, revision=5, hosts=("s-5",), zone="wrexham")
        await start_parents(nursery, before, later)
        child = Child(before, later, zone="cardiff")
        await follow_parent(nursery, child, before)
        await before.kill()
        await child.wait_for(later)
        await before.listen(nursery)
        await trio.sleep(60)
        assert child.parent() == later.as_parent
        assert child.published.positions == [Position(1, 900), Position(2, 5)]
        assert child.published.documents[1][1].whole
        assert child.follower.counters()["parents_behind"] > 0

    run_script(script)


def test_an_incomplete_line_is_not_accepted() -> None:
    async def script(nursery: trio.Nursery) -> None:
        first, second = replica("r-1", 41, zone="cardiff"), replica("r-2", 41)
        await start_parents(nursery, first, second)
        child = Child(first, second, zone="cardiff")
        await follow_parent(nursery, child, first)
        text = StandInParent._object(42, False, [entry("s-2", share=1.0)])
        await first.send(text[: len(text) // 2], complete_chunk=False)
        await trio.sleep(0.1)
        await first.kill()
        await child.wait_for(second)
        await second.change(entry("s-2", share=7.0))
        await child.published.wait_for_revision(42)
        assert child.published.documents[-1][1].entries == (entry("s-2", share=7.0),)
        assert child.published.positions == [Position(0, 41), Position(0, 42)]

    run_script(script)


@pytest.mark.parametrize(
    "faulty",
    [
        b"{\n",
        b"[]\n",
        b'{"seq": -4, "whole": false, "hosts": []}\n',
        b'{"seq": 42, "whole": true}\n',
        b'{"seq": 42, "whole": true, "hosts": 3}\n',
        b"[" * 100_000 + b"\n\n",
    ],
)
def test_the_last_list_is_kept_after_an_invalid_one(faulty: bytes) -> None:
    async def script(nursery: trio.Nursery) -> None:
        parent = replica("r-1", 41)
        await start_parents(nursery, parent)
        child = Child(parent)
        await follow_parent(nursery, child, parent)
        await parent.send(faulty)
        await trio.sleep(5)
        assert child.published.positions == [Position(0, 41)]
        assert child.follower.counters()["parents_faulty"] >= 1
        await parent.change(entry("s-2"))
        await child.published.wait_for_revision(42)
        # After the faulty list the parent must send the whole list before any change.
        assert requested_revisions(parent)[-2:] == [-1, 41]

    run_script(script)


def test_parents_on_vanished_machines_do_not_delay_the_move_to_another() -> None:
    async def script(nursery: trio.Nursery) -> None:
        near = [replica(f"r-{n}", 41, zone="cardiff") for n in range(5)]
        far = replica("r-9", 41)
        await start_parents(nursery, *near, far)
        child = Child(*near, far, zone="cardiff")
        nursery.start_soon(child.follower.follow)
        await child.wait_for_parent()
        await trio.sleep(3)
        for parent in near:
            parent.hangs, parent.renewing = True, False
        vanished_at_s = max(parent.renewed_at_s for parent in near)
        await far.change(entry("s-2"))
        assert await child.published.wait_for_revision(42) < vanished_at_s + LEASE_S
        await trio.sleep(2)
        assert len(far.watches) == 1 and child.parent() == far.as_parent

    run_script(script)


@pytest.mark.parametrize("fields", [True, False])
def test_a_parent_that_is_behind_sends_no_whole_list(fields: bool) -> None:
    """The 410 response identifies the parent as a replica, or only its next response does."""

    async def script(nursery: trio.Nursery) -> None:
        ahead, lags = replica("r-1", 42, zone="cardiff"), replica("r-2", 41)
        await start_parents(nursery, ahead, lags)
        child = Child(ahead, lags, zone="cardiff")
        await follow_parent(nursery, child, ahead)
        if not fields:
            lags.scripted_answers = [b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", None] * 9
        await ahead.kill()
        await trio.sleep(2)
        assert child.parent() != lags.as_parent and child.published.positions == [Position(0, 42)]
        assert requested_revisions(lags)[:2] == ([42, 42] if fields else [42, -1])
        lags.scripted_answers = []
        await lags.change(entry("s-2"))
        await child.wait_for(lags)

    run_script(script)


@pytest.mark.parametrize(
    "field",
    ["Age: -1", "Age: soon", "Glenfold-Children: 1e9", "Via: 1.1", "Via: " + "1.1 a, " * 16 + "1.1 b"],
)
def test_a_parent_with_an_invalid_header_field_is_faulty(field: str) -> None:
    async def script(nursery: trio.Nursery) -> None:
        bad_parent, good_parent = StandInParent(zone="cardiff"), replica()
        bad_parent.scripted_answers = [
            f"HTTP/1.1 200 OK\r\n{field}\r\nContent-Length: 0\r\n\r\n".encode()
        ] * 9
        await start_parents(nursery, bad_parent, good_parent)
        child = Child(bad_parent, good_parent, zone="cardiff")
        await follow_parent(nursery, child, good_parent)
        assert child.follower.counters()["parents_faulty"] == 1

    run_script(script)


def test_a_busy_parent_is_called_again_after_its_retry_after() -> None:
    async def script(nursery: trio.Nursery) -> None:
        full = replica()
        busy = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"
        full.scripted_answers = [busy, busy]
        await start_parents(nursery, full)
        child = Child(full)
        nursery.start_soon(child.follower.follow)
        await child.wait_for(full)
        first, second, third, *_ = [at_s for at_s, _ in full.requests]
        assert 3.0 <= second - first <= 4.6 and 3.0 <= third - second <= 4.6

    run_script(script)


def test_parents_are_replaced_while_one_is_followed() -> None:
    async def script(nursery: trio.Nursery) -> None:
        one, two, three = parents = [replica(f"r-{n}", 41) for n in range(3)]
        await start_parents(nursery, *parents)
        child = Child(one)
        await follow_parent(nursery, child, one)
        child.follower.move_to([one.as_parent, two.as_parent])  # the current parent stays in the list
        await trio.sleep(1)
        assert child.parent() == one.as_parent and len(one.watches) == 1
        child.follower.move_to([three.as_parent])
        await child.wait_for(three)
        await three.change(entry("s-2"))
        await child.published.wait_for_revision(42)
        assert requested_revisions(three) == [41] and one.watches == []
        two.renewing, two.renewed_at_s = False, -100.0
        child.follower.move_to([two.as_parent])  # behind and cut off, so the known list is kept
        await trio.sleep(10)
        assert child.published.positions[-1] == Position(0, 42)
        await two.change(entry("s-2"))
        await child.wait_for(two)

    run_script(script)


def test_a_replaced_source_may_start_a_new_history() -> None:
    async def script(nursery: trio.Nursery) -> None:
        one, two = StandInParent(revision=41), StandInParent(revision=7, hosts=("s-7",))
        await start_parents(nursery, one, two)
        child = Child(one, two, zone="cardiff")
        child.choice.replace([one.as_parent])
        await follow_parent(nursery, child, one)
        child.follower.move_to([one.as_parent, two.as_parent])
        two.renewing = False
        await one.kill()
        await trio.sleep(20)
        assert child.published.positions == [Position(0, 41)]  # the other parent seems to lag behind
        child.follower.move_to([two.as_parent])
        await child.wait_for(two)
        assert child.published.positions == [Position(0, 41), Position(1, 7)]

    run_script(script)


def test_a_nearer_parent_is_followed_again_once_it_has_worked_for_a_while() -> None:
    async def script(nursery: trio.Nursery) -> None:
        near, far = replica("r-1", zone="cardiff"), replica("r-2", zone="wrexham")
        await start_parents(nursery, near, far)
        child = Child(near, far, zone="cardiff")
        await follow_parent(nursery, child, near)
        await near.kill()
        await child.wait_for(far)
        await near.listen(nursery)
        back_at_s = trio.current_time()
        near.renewed_at_s = back_at_s
        near.requests.clear()
        followed_again_at_s = await child.wait_for(near)
        assert back_at_s + MIN_SOUND_S <= followed_again_at_s <= back_at_s + 40
        assert -1 not in requested_revisions(near)
        assert child.published.positions == [Position(0, 1)] and child.published.stale_at_s == []

    run_script(script)


def test_a_source_that_answers_but_stays_silent_is_not_followed() -> None:
    """The parent behaves like a local agent that is cut off from discovery."""

    async def script(nursery: trio.Nursery) -> None:
        agent, other = StandInParent(zone="cardiff"), replica("r-2")
        await start_parents(nursery, agent, other)
        child = Child(agent, other, zone="cardiff")
        await follow_parent(nursery, child, agent)
        agent.renewing = False
        await child.wait_for(other)
        await trio.sleep(120)
        assert child.parent() == other.as_parent and child.follower.counters()["parents_followed"] == 2
        assert child.published.stale_at_s == []
        agent.renewing = True
        await child.wait_for(agent)

    run_script(script)
