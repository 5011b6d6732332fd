"""Tests of a replica's server over real sockets, with children that behave and children that do not."""

import gc
import socket
from contextlib import suppress

import h11
import pytest
import trio
from rules.list_documents import change, server, whole
from running_replica import ChildConnection, RunningReplica, running_replica, wait_until

from glenfold.replica.watches import Watches
from glenfold.rules.replication import ListDocument, Position


def trio_test(test):
    """Turns an async test into a test that pytest can run."""

    def run_test(*args):
        trio.run(test, *args)

    run_test.__name__, run_test.__doc__ = test.__name__, test.__doc__
    return run_test


async def start_watch(replica: RunningReplica, revision: int = 0, **header_fields: str) -> ChildConnection:
    child = await replica.connect()
    response = await child.ask(f"/v1/servers?watch=1&from={revision}", **header_fields)
    assert response.status_code == 200
    return child


async def expect_silence(child: ChildConnection, for_s: float) -> None:
    with trio.move_on_after(for_s):
        pytest.fail(f"unexpected line: {await child.next_line()}")


async def status(
    replica: RunningReplica, target: str, **header_fields: str
) -> tuple[int, dict[bytes, bytes]]:
    child = await replica.connect()
    response = await child.ask(target, **header_fields)
    return response.status_code, dict(response.headers)


@trio_test
async def test_a_relay_reads_the_list_and_then_watches_on_the_same_connection():
    async with running_replica() as replica:
        replica.publish(whole(5, 1, 2))
        child = await replica.connect()
        assert (await child.ask("/v1/servers")).status_code == 200
        assert await child.read_list() == {"seq": 5, "whole": True, "hosts": [server(1), server(2)]}
        assert (await child.ask("/v1/servers?watch=1&from=5")).status_code == 200
        replica.publish(change(6, server(3)))
        assert await child.next_line() == {"seq": 6, "whole": False, "hosts": [server(3)]}


# Guards against heads of very many short fields that are kept for as long as a child watches (incident 21).
@trio_test
async def test_a_watch_keeps_no_head_of_its_request():
    fields = b"".join(b"%x:\r\n" % number for number in range(0x300, 0x300 + 1200))
    async with running_replica() as replica:
        replica.publish(whole(5, 1, 2))
        child = await replica.connect()
        await child.stream.send_all(
            b"GET /v1/servers?watch=1&from=5 HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"
        )
        assert (await child.stream.receive_some(12)) == b"HTTP/1.1 200"
        await wait_until(lambda: replica.server.children == 1)
        kept = [
            each for each in gc.get_objects() if isinstance(each, h11.Request) and len(each.headers) > 1000
        ]
        assert not kept


@trio_test
async def test_responses_carry_incarnation_age_via_and_children():
    async with running_replica() as replica:
        replica.publish(whole(5, 1, incarnation=3), ("top",))
        replica.server.renew(trio.current_time() - 40.5)
        watch = await start_watch(replica, 5)
        for target in ("/v1/servers", "/v1/servers?watch=1&from=5"):
            _, header_fields = await status(replica, target)
            assert header_fields[b"glenfold-incarnation"] == b"3"
            assert header_fields[b"age"] in (b"41", b"42")
            assert header_fields[b"via"] == b"1.1 top, 1.1 north-1"
            assert header_fields[b"glenfold-children"] == b"1"
        await watch.stream.aclose()


@trio_test
async def test_every_watcher_gets_every_change_once_and_in_order():
    async with running_replica() as replica:
        replica.publish(whole(0))
        children = [await start_watch(replica) for _ in range(40)]
        for revision in range(1, 30):
            replica.publish(change(revision))
            if revision % 7 == 0:
                await trio.sleep(0)
        for child in children:
            assert [(await child.next_line())["seq"] for _ in range(29)] == list(range(1, 30))


@trio_test
async def test_a_watch_resumes_from_its_revision_or_starts_with_the_whole_list():
    async with running_replica(history_revisions=3) as replica:
        replica.publish(whole(0))
        for revision in range(1, 9):
            replica.publish(change(revision))
        resumed, past = await start_watch(replica, 6), await start_watch(replica, 4)
        assert [(await resumed.next_line())["seq"] for _ in range(2)] == [7, 8]
        assert (await past.next_line()) == {
            "seq": 8,
            "whole": True,
            "hosts": [server(n) for n in range(1, 9)],
        }
        replica.publish(change(9))
        assert (await resumed.next_line())["seq"] == (await past.next_line())["seq"] == 9


@trio_test
async def test_an_empty_line_is_sent_only_when_the_source_renewed():
    async with running_replica() as replica:
        replica.publish(whole(0))
        child = await start_watch(replica)
        replica.server.renew(trio.current_time() - 60.0)  # an old renewal from a parent that is cut off
        await expect_silence(child, 0.2)
        replica.server.renew(trio.current_time())
        assert await child.next_line() is None
        await expect_silence(child, 0.7)
        replica.server.stale()
        await expect_silence(child, 0.2)
        replica.publish(change(1))  # the replica keeps serving and the watch stays open
        assert (await child.next_line())["seq"] == 1
        replica.server.renew(trio.current_time())
        assert await child.next_line() is None
        assert (replica.counters.renewals_told, replica.counters.stale) == (2, 1)


@trio_test
async def test_a_stale_replica_answers_new_children_with_the_age_of_its_list():
    async with running_replica() as replica:
        replica.publish(whole(7, 1))
        replica.server.renew(trio.current_time() - 600.0)
        replica.server.stale()
        code, header_fields = await status(replica, "/v1/servers")
        assert code == 200 and header_fields[b"age"] in (b"600", b"601")
        code, header_fields = await status(replica, "/v1/servers?watch=1&from=7")
        assert code == 200 and header_fields[b"age"] in (b"600", b"601")


@trio_test
async def test_another_incarnation_ends_all_watches_cleanly():
    async with running_replica() as replica:
        replica.publish(whole(50, 1))
        child = await start_watch(replica, 50)
        await wait_until(lambda: replica.counters.watches == 1)
        replica.publish(whole(50, 2, incarnation=1))
        with pytest.raises(EOFError):
            await child.next_line()
        again = await start_watch(replica, 50, Glenfold_Incarnation="0")
        assert (await again.next_line())["hosts"] == [server(2)]
        unnamed = await start_watch(replica, 50)
        assert (await unnamed.next_line())["hosts"] == [server(2)]


@pytest.mark.parametrize(
    "target, header_fields, expected, counter",
    [
        ("/v1/servers?watch=1&from=8", {}, 410, "future_revisions"),
        ("/v1/servers?watch=1&from=x", {}, 400, "malformed"),
        ("/v1/servers?watch=1", {"Content_Length": "3"}, 400, "malformed"),
        ("/v1/server", {}, 404, "not_found"),
        ("/v1/servers", {"method": "DELETE"}, 405, "wrong_method"),
    ],
)
def test_bad_requests_are_answered_and_counted_and_disturb_no_other_child(
    target, header_fields, expected, counter
):
    async def main():
        async with running_replica() as replica:
            replica.publish(whole(7, 1))
            child = await start_watch(replica, 7)
            bad = await replica.connect()
            method = header_fields.pop("method", "GET")
            request = h11.Request(
                method=method,
                target=target,
                headers=[("Host", "a"), *((n.replace("_", "-"), v) for n, v in header_fields.items())],
            )
            await bad.stream.send_all(bad.http.send(request) + b"abc" * bool(header_fields))
            assert (await bad.next_event()).status_code == expected
            assert getattr(replica.counters, counter) == 1
            replica.publish(change(8))
            assert (await child.next_line())["seq"] == 8

    trio.run(main)


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"HELLO\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 10 + b"\r\n\r\n",
        b"GET /v1/servers HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000,
        b"GET /v1/servers HTTP/1.1\r\n" + b"X: y\r\n" * 5000,
        b"GET /v1/servers?" + b"z" * 30_000,
        b"GET /v1/servers HTTP/1.1\r\n\r\n",
        b"GET /v1/servers HTTP/1.0\r\nHost: a\r\n\r\n",
    ],
)
def test_invalid_and_overlong_requests_are_answered_400(request_bytes):
    async def main():
        async with running_replica() as replica:
            replica.publish(whole(7, 1))
            bad = await replica.connect()
            async with trio.open_nursery() as nursery:

                async def send() -> None:
                    with suppress(trio.BrokenResourceError):
                        await bad.stream.send_all(request_bytes)

                nursery.start_soon(send)
                assert (await bad.read_until_closed()).startswith(b"HTTP/1.1 400 ")
            assert replica.counters.malformed == 1

    trio.run(main)


@trio_test
async def test_before_the_first_list_children_are_told_to_retry():
    async with running_replica() as replica:
        for target in ("/v1/servers", "/v1/servers?watch=1&from=0"):
            code, header_fields = await status(replica, target)
            assert code == 503 and int(header_fields[b"retry-after"]) >= 1
        assert replica.counters.not_ready == 2


@trio_test
async def test_children_above_the_limit_are_told_to_retry():
    async with running_replica(children=5) as replica:
        replica.publish(whole(0))
        children = [await start_watch(replica) for _ in range(5)]
        code, header_fields = await status(replica, "/v1/servers?watch=1&from=0")
        assert code == 503 and int(header_fields[b"retry-after"]) >= 1
        assert replica.counters.children_refused == 1
        await children[0].stream.aclose()
        await wait_until(lambda: replica.counters.watches_ended == 1)
        await start_watch(replica)
        replica.publish(change(1))
        assert (await children[1].next_line())["seq"] == 1


@trio_test
async def test_idle_connections_above_the_limit_close_each_other_and_no_child():
    async with running_replica(idle_connections=20, idle_s=60.0) as replica:
        replica.publish(whole(0))
        child = await start_watch(replica)
        idle = [await replica.connect() for _ in range(150)]
        await wait_until(lambda: replica.counters.idle_crowded_out == 130)
        assert await idle[0].read_until_closed() == b""
        replica.publish(change(1))
        assert (await child.next_line())["seq"] == 1
        await start_watch(replica)


@trio_test
async def test_connections_without_a_complete_request_are_closed_even_if_bytes_trickle_in():
    async with running_replica(idle_s=0.3) as replica:
        replica.publish(whole(0))
        silent, trickling = await replica.connect(), await replica.connect()
        await trickling.stream.send_all(b"GET /v1/ser")
        assert await silent.read_until_closed() == b"" and await trickling.read_until_closed() == b""
        assert replica.counters.idle_closed == 2


@trio_test
async def test_after_a_restart_children_slightly_behind_resume_without_a_whole_list():
    requested, history_ready = [], trio.Event()

    async def earlier(since: int, upto: Position) -> list[ListDocument]:
        requested.append((since, upto))
        if since < 480:  # older than the parent's history
            return []
        await history_ready.wait()
        return [change(revision) for revision in range(since + 1, upto.revision + 1)]

    async with running_replica(earlier) as replica:
        replica.publish(whole(500, 1))
        code, header_fields = await status(replica, "/v1/servers?watch=1&from=498")
        assert code == 503 and int(header_fields[b"retry-after"]) in (1, 2)
        assert (await status(replica, "/v1/servers"))[0] == 200
        child = await start_watch(replica, 500)
        history_ready.set()
        await wait_until(lambda: replica.counters.history_read == 16)
        assert requested == [(244, Position(0, 500)), (484, Position(0, 500))]
        resumed, past = await start_watch(replica, 498), await start_watch(replica, 483)
        assert [(await resumed.next_line())["seq"] for _ in range(2)] == [499, 500]
        assert (await past.next_line())["whole"] is True
        replica.publish(change(501))
        assert (await child.next_line())["seq"] == (await resumed.next_line())["seq"] == 501


def test_a_parent_that_hangs_on_earlier_changes_delays_children_only_briefly(monkeypatch):
    async def main():
        async with running_replica(lambda since, upto: trio.sleep_forever()) as replica:
            replica.publish(whole(500, 1))
            assert (await status(replica, "/v1/servers?watch=1&from=498"))[0] == 503
            await trio.sleep(0.3)
            assert (await (await start_watch(replica, 498)).next_line())["whole"] is True

    monkeypatch.setattr("glenfold.replica.server.HISTORY_TIMEOUT_S", 0.2)
    trio.run(main)


# ---- children that read slowly, and bursts of requests ----

LARGE_ENTRIES = [{**server(n), "note": "x" * 20_000} for n in range(10)]  # changes of 200 KB


def small_window(replica: RunningReplica) -> trio.SocketStream:
    """Returns a connection with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", replica.port))
    sock.setblocking(False)
    return trio.SocketStream(trio.socket.from_stdlib_socket(sock))


def large_change(revision: int):
    return change(revision, *({**entry, "share": float(revision)} for entry in LARGE_ENTRIES))


async def slow_child(replica: RunningReplica) -> ChildConnection:
    slow = ChildConnection(small_window(replica))
    assert (await slow.ask("/v1/servers?watch=1&from=0")).status_code == 200
    return slow


async def read_until_cut(child: ChildConnection) -> list[int]:
    """Returns the revisions of the complete lines up to the reset. An incomplete line does not count."""
    received = []
    try:
        while True:
            received.append((await child.next_line())["seq"])
    except (h11.RemoteProtocolError, trio.BrokenResourceError):
        return received


@trio_test
async def test_a_child_that_reads_nothing_is_cut_and_resumes_without_loss_or_repeats():
    async with running_replica(blocked_s=0.3) as replica:
        replica.publish(whole(0))
        slow, steady = await slow_child(replica), await start_watch(replica)
        for revision in range(1, 7):
            replica.publish(large_change(revision))
            assert (await steady.next_line())["seq"] == revision
        await wait_until(lambda: replica.counters.cut_blocked == 1)
        received = await read_until_cut(slow)
        assert received == list(range(1, len(received) + 1)) and len(received) < 6
        again = await start_watch(replica, received[-1] if received else 0)
        assert [(await again.next_line())["seq"] for _ in range(6 - len(received))] == list(
            range(len(received) + 1, 7)
        )
        assert replica.counters.watches_ended == 1


@trio_test
async def test_a_child_that_falls_behind_the_history_is_cut_and_gets_the_whole_list():
    async with running_replica(history_revisions=2, blocked_s=60.0) as replica:
        replica.publish(whole(0))
        slow, steady = await slow_child(replica), await start_watch(replica)
        for revision in range(1, 12):
            replica.publish(large_change(revision))
            assert (await steady.next_line())["seq"] == revision
        received = await read_until_cut(slow)
        assert replica.counters.cut_behind == 1 and len(received) < 11
        again = await start_watch(replica, received[-1] if received else 0)
        assert (await again.next_line())["whole"] is True


@trio_test
async def test_a_child_that_reads_slowly_but_keeps_up_gets_all():
    async with running_replica() as replica:
        replica.publish(whole(0))
        slow = await slow_child(replica)
        for revision in range(1, 6):
            replica.publish(large_change(revision))
            await trio.sleep(0)
        assert [(await slow.next_line())["seq"] for _ in range(5)] == [1, 2, 3, 4, 5]


@trio_test
async def test_a_slow_child_receives_renewals_only_after_earlier_changes():
    async with running_replica() as replica:
        replica.publish(whole(0))
        slow = await slow_child(replica)
        replica.publish(large_change(1))
        await trio.sleep(0.05)
        replica.server.renew(trio.current_time())
        await trio.sleep(0.6)
        assert (await slow.next_line())["seq"] == 1
        replica.server.renew(trio.current_time())
        assert await slow.next_line() is None


@trio_test
async def test_in_a_burst_whole_lists_are_admitted_at_their_rate_while_watches_go_on():
    async with running_replica(whole_lists_mb_per_s=0.5, whole_lists_at_once=4) as replica:
        entries = [{**server(n), "note": "x" * 1000} for n in range(100)]  # 100 KB
        replica.publish(whole(0))
        replica.publish(change(1, *entries))
        watch = await start_watch(replica, 1)
        codes, waits = [], []

        async def ask() -> None:
            child = await replica.connect()
            response = await child.ask("/v1/servers")
            codes.append(response.status_code)
            if response.status_code == 200:
                assert (await child.read_list())["seq"] >= 1
            else:
                waits.append(int(dict(response.headers)[b"retry-after"]))

        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(120):
                nursery.start_soon(ask)
            for revision in range(2, 12):
                replica.publish(change(revision))
                assert (await watch.next_line())["seq"] == revision
        took_s = trio.current_time() - start_s
        admitted = codes.count(200)
        assert 1 <= admitted <= (0.5 * (1 << 20) * (1 + took_s)) / 100_000 + 1
        assert codes.count(503) == len(waits) == 120 - admitted == replica.counters.whole_lists_deferred
        assert max(waits) >= 10 and len(set(waits)) >= 8  # about 115 lists of 0.2 s each, spread at random


@trio_test
async def test_a_watch_from_a_past_revision_is_admitted_like_a_whole_list():
    async with running_replica(whole_lists_mb_per_s=0.01) as replica:
        entries = [{**server(n), "note": "x" * 1000} for n in range(100)]
        replica.publish(whole(5))
        replica.publish(change(6, *entries))
        assert (await status(replica, "/v1/servers"))[0] == 200
        code, header_fields = await status(replica, "/v1/servers?watch=1&from=1")
        assert code == 503 and int(header_fields[b"retry-after"]) >= 1
        assert (await status(replica, "/v1/servers?watch=1&from=6"))[0] == 200


def test_a_child_that_does_not_read_its_whole_list_frees_its_slot(monkeypatch):
    async def main():
        async with running_replica(whole_lists_at_once=1) as replica:
            replica.publish(whole(0))
            replica.publish(
                change(1, *LARGE_ENTRIES, *({**server(n), "note": "x" * 20_000} for n in range(10, 50)))
            )
            slow = ChildConnection(small_window(replica))
            await slow.ask("/v1/servers")
            assert (await status(replica, "/v1/servers"))[0] == 503
            await wait_until(lambda: replica.counters.whole_lists_failed == 1)
            assert (await status(replica, "/v1/servers"))[0] == 200

    monkeypatch.setattr("glenfold.replica.server.LIST_TIMEOUT_S", 0.2)
    trio.run(main)


# ---- shutdown ----


@trio_test
async def test_at_shutdown_watches_end_evenly_over_the_given_time_and_new_ones_are_refused():
    async with running_replica() as replica:
        replica.publish(whole(0))
        children, ended_children = [await start_watch(replica) for _ in range(40)], []

        async def record_end(number: int, child: ChildConnection) -> None:
            with pytest.raises(EOFError):
                await child.next_line()
            ended_children.append((trio.current_time(), number))

        async with trio.open_nursery() as nursery:
            for number, child in enumerate(children):
                nursery.start_soon(record_end, number, child)
            await trio.sleep(0)
            start_s = trio.current_time()
            nursery.start_soon(replica.server.end_watches, 0.8)
            await trio.sleep(0.1)
            code, header_fields = await status(replica, "/v1/servers?watch=1&from=0")
            # The delay is short, as a successor may be running by then.
            assert code == 503 and int(header_fields[b"retry-after"]) in (1, 2)
        end_times = sorted(at_s - start_s for at_s, _ in ended_children)
        assert end_times[-1] >= 0.6 and end_times[len(end_times) // 2] >= 0.2
        assert max(sum(at <= m < at + 0.1 for m in end_times) for at in end_times) <= 20


@trio_test
async def test_a_replica_killed_within_a_line_delivers_no_incomplete_change():
    async with running_replica() as replica:
        replica.publish(whole(0))
        slow = await slow_child(replica)
        replica.publish(large_change(1))
        await trio.sleep(0.05)
        replica.scope.cancel()
        assert await read_until_cut(slow) == []


def test_watches_hold_no_bytes_of_their_own_once_written():
    """All watches share the bytes of the history."""

    async def main():
        async with running_replica() as replica:
            replica.publish(whole(0))
            children = [await start_watch(replica) for _ in range(10)]
            replica.publish(large_change(1))
            for child in children:
                assert (await child.next_line())["seq"] == 1
            watches: Watches = replica.server._watches
            assert all(len(watch.unsent) == 0 and watch.unsent.obj == b"" for watch in watches._open)

    trio.run(main)
