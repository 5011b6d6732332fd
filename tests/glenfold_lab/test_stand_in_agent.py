"""Each fault of discovery's agent, as a real relay follows it, and what counts as told."""

from dataclasses import replace
from pathlib import Path

import standing
import trio
import trio.testing
from standing import World, play

from glenfold_lab.observe import ListedState
from glenfold_lab.stand_ins.agent import Change, Holding
from glenfold_lab.stand_ins.sockets import end_now


def gone(world: World, n: int) -> tuple[int, int]:
    """The server's number, and how many of the told observations say that it is gone."""
    number = world.entries[n].number
    return number, sum(values[2:4] == (number, ListedState.GONE) for values in world.observations_of("told"))


def test_a_change_is_told_once_it_was_written_and_comes_but_once(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        left = replace(world.entries[0], state=ListedState.GONE)
        world.change(2, left)
        number, _ = gone(world, 0)
        await world.wait_for_list(lambda known: known.address(number) is None and known.version == 2)
        world.change(2, left)  # doubled
        world.change(3, world.entries[1])
        await world.wait_for_list(lambda known: known.version == 3)
        assert gone(world, 0)[1] == 2 and world.shared.destinations.problems == []

    play(tmp_path, script)


def test_a_quiet_agent_tells_nothing_and_a_cut_watch_begins_anew(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        number, _ = gone(world, 0)
        world.agent.go_quiet()
        world.change(2, replace(world.entries[0], state=ListedState.GONE))
        lists = world.shared.counters.lists
        await world.clock.until(world.clock.now_us() + 10_000_000)
        assert (world.shared.counters.lists, gone(world, 0)[1]) == (lists, 0)
        assert world.shared.destinations.address(number) is not None
        world.agent.speak()
        await world.wait_for_list(lambda known: known.address(number) is None)
        world.agent.cut()
        world.change(3, world.entries[0])
        await world.wait_for_list(lambda known: known.address(number) is not None)

    play(tmp_path, script)


def test_nothing_counts_as_told_by_an_agent_that_moved_until_it_is_found(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        address = world.agent.move("127.9.2.2")
        world.change(2, replace(world.entries[0], state=ListedState.GONE))
        await world.clock.until(world.clock.now_us() + 5_000_000)
        assert gone(world, 0)[1] == 0
        world.discovery.move_to(address)
        await world.wait_for_list(lambda known: known.version == 2)
        assert gone(world, 0)[1] == 1

    play(tmp_path, script)


def test_watches_whose_relay_has_gone_hold_nothing_back(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        gone_away = [await trio.open_tcp_stream(*world.agent.address) for _ in range(8)]
        for stream in gone_away:
            await stream.send_all(b"GET /v1/servers?watch=1&from=1 HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b'"seq":1' in await stream.receive_some()
        for stream in gone_away:
            end_now(stream.socket)
            await stream.aclose()
        world.change(2, replace(world.entries[0], state=ListedState.GONE))
        await world.wait_for_list(lambda known: known.version == 2)
        await trio.testing.wait_all_tasks_blocked()
        assert gone(world, 0)[1] == 1

    play(tmp_path, script)


def test_a_watch_begins_with_what_its_relay_lacks() -> None:
    held = Holding(4, [])
    one, two = (standing.entry(n, "127.0.0.1:1") for n in range(2))
    for seq, entry in ((5, one), (7, replace(two, state=ListedState.GONE)), (6, two)):
        held.take(Change(seq, (entry,)))
    assert list(held.entries) == ["s-0"]  # the late change undoes no newer one
    assert b'"seq":7' in held.after(5, None) and b'"s-0"' not in held.after(5, None)
    assert b'"s-1"' in held.after(7, 2)  # all of version 7, and what came late
    assert b'"whole":true' in held.after(3, None)


def test_what_comes_while_a_watch_is_being_written_to_follows_at_once(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        began = trio.current_time()
        world.change(2, replace(world.entries[0], state=ListedState.DRAINING))
        await trio.lowlevel.checkpoint()  # the watch has woken, and is writing that change
        world.change(3, replace(world.entries[1], state=ListedState.DRAINING))
        await world.wait_for_list(lambda known: known.version == 3)
        assert trio.current_time() - began < 1.0

    play(tmp_path, script)
