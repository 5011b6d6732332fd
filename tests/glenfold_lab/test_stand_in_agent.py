"""The faults of the stand-in discovery agent, followed by a real relay, and what is recorded as told."""

from dataclasses import replace
from pathlib import Path

import standing
import trio
import trio.testing
from standing import World, play

from glenfold_lab.observe import ListedState
from glenfold_lab.stand_ins.agent import Change, ListState
from glenfold_lab.stand_ins.sockets import reset_on_close


def removals_told(world: World, n: int) -> tuple[int, int]:
    """Returns the server's number, and how many told observations report the server as removed."""
    number = world.entries[n].number
    return number, sum(values[2:4] == (number, ListedState.GONE) for values in world.observations_of("told"))


def test_a_change_is_recorded_once_written_and_its_duplicate_does_no_harm(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        removed = replace(world.entries[0], state=ListedState.GONE)
        world.change(2, removed)
        number, _ = removals_told(world, 0)
        await world.wait_for_list(lambda known: known.address(number) is None and known.version == 2)
        world.change(2, removed)  # A duplicate.
        world.change(3, world.entries[1])
        await world.wait_for_list(lambda known: known.version == 3)
        assert removals_told(world, 0)[1] == 2 and world.shared.destinations.problems == []

    play(tmp_path, script)


def test_a_muted_agent_sends_nothing_and_a_reset_watch_is_opened_again(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        number, _ = removals_told(world, 0)
        world.agent.mute()
        world.change(2, replace(world.entries[0], state=ListedState.GONE))
        lists = world.shared.counters.lists
        await world.clock.until(world.clock.now_us() + 10_000_000)
        assert (world.shared.counters.lists, removals_told(world, 0)[1]) == (lists, 0)
        assert world.shared.destinations.address(number) is not None
        world.agent.unmute()
        await world.wait_for_list(lambda known: known.address(number) is None)
        world.agent.reset_connections()
        world.change(3, world.entries[0])
        await world.wait_for_list(lambda known: known.address(number) is not None)

    play(tmp_path, script)


def test_a_moved_agent_records_nothing_as_told_until_a_relay_asks_it(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        address = world.agent.move("127.9.2.2")
        world.change(2, replace(world.entries[0], state=ListedState.GONE))
        await world.clock.until(world.clock.now_us() + 5_000_000)
        assert removals_told(world, 0)[1] == 0
        world.discovery.move_to(address)
        await world.wait_for_list(lambda known: known.version == 2)
        assert removals_told(world, 0)[1] == 1

    play(tmp_path, script)


def test_watches_of_disconnected_relays_do_not_delay_the_record(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        streams = [await trio.open_tcp_stream(*world.agent.address) for _ in range(8)]
        for stream in streams:
            await stream.send_all(b"GET /v1/servers?watch=1&from=1 HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b'"seq":1' in await stream.receive_some()
        for stream in streams:
            reset_on_close(stream.socket)
            await stream.aclose()
        world.change(2, replace(world.entries[0], state=ListedState.GONE))
        await world.wait_for_list(lambda known: known.version == 2)
        await trio.testing.wait_all_tasks_blocked()
        assert removals_told(world, 0)[1] == 1

    play(tmp_path, script)


def test_a_watch_begins_with_the_changes_that_its_relay_lacks() -> None:
    state = ListState(4, [])
    one, two = (standing.entry(n, "127.0.0.1:1") for n in range(2))
    for seq, entry in ((5, one), (7, replace(two, state=ListedState.GONE)), (6, two)):
        state.apply(Change(seq, (entry,)))
    assert list(state.entries) == ["s-0"]  # The late change does not undo a newer one.
    assert b'"seq":7' in state.first_watch_line(5, None) and b'"s-0"' not in state.first_watch_line(5, None)
    assert b'"s-1"' in state.first_watch_line(7, 2)  # Version 7 and the change that came late.
    assert b'"whole":true' in state.first_watch_line(3, None)


def test_a_change_during_the_write_of_a_watch_follows_at_once(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        started_at = trio.current_time()
        world.change(2, replace(world.entries[0], state=ListedState.DRAINING))
        await trio.lowlevel.checkpoint()  # The watch has woken and is writing the first change.
        world.change(3, replace(world.entries[1], state=ListedState.DRAINING))
        await world.wait_for_list(lambda known: known.version == 3)
        assert trio.current_time() - started_at < 1.0

    play(tmp_path, script)
