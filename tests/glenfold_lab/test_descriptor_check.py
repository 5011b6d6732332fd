"""The check of descriptors in a process of its own: what it finds, and what it says when it can't."""

import os
import socket
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio

from glenfold_lab.soak import descriptor_check, descriptors
from glenfold_lab.soak.descriptor_check import CheckReply, CheckRequest, HalfClosed, check
from glenfold_lab.soak.descriptors import CheckFailed, DescriptorWatch
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.seen import Seen


def test_a_check_finds_what_a_process_keeps_half_closed_and_nothing_else() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        closed, open_client = (socket.create_connection(listener.getsockname()) for _ in range(2))
        local, remote = (f"{host}:{port}" for host, port in (listener.getsockname(), closed.getsockname()))
        with open_client, listener.accept()[0] as kept, listener.accept()[0]:
            closed.close()
            assert kept.recv(1) == b""  # The kernel knows of the close from here on.
            request = CheckRequest({4: os.getpid(), 5: 1})
            assert HalfClosed(4, os.getpid(), local, remote) in check(request).half_closed
            assert {each.number for each in check(request).half_closed} == {4}
    assert not any(each.local == local for each in check(CheckRequest({4: os.getpid()})).half_closed)


def test_a_process_that_has_exited_is_passed_over() -> None:
    assert check(CheckRequest({1: 1 << 22})) == CheckReply()


def test_a_table_that_cannot_be_read_is_an_error(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a soak that passes unwatched."""
    monkeypatch.setattr(descriptor_check, "SOCKET_TABLE", tmp_path / "none")
    reply = check(CheckRequest({}))
    assert reply.error == f"{tmp_path}/none: No such file or directory" and not reply.half_closed


RELAY = SimpleNamespace(number=0, process_id=os.getpid(), running=True, stalled=False)


@pytest.mark.parametrize(
    ("reply", "text"),
    [(CheckReply(error="the table: denied"), "can't be checked: the table: denied"), (None, "failed")],
)
def test_a_check_that_fails_ends_the_run(
    reply: CheckReply | None, text: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def answer(process: trio.Process, request: CheckRequest) -> CheckReply:
        if reply is None:
            process.kill()
            await process.wait()
            return await real(process, request)
        return descriptors.checked_reply(reply)

    real = descriptors.ask
    monkeypatch.setattr(descriptors, "ask", answer)
    with pytest.raises(CheckFailed, match=text):
        trio.run(DescriptorWatch(0.01).run, [RELAY], Seen(), _clock())


def _clock() -> MachineClock:
    async def make() -> MachineClock:
        return MachineClock()

    return trio.run(make)


def test_a_check_that_takes_longer_than_the_interval_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    delays_s = iter([0.0, 0.05, 0.0])

    async def answer(process: trio.Process, request: CheckRequest) -> CheckReply:
        await trio.sleep(next(delays_s))
        return CheckReply()

    async def main() -> None:
        with pytest.raises(RuntimeError):  # the delays are used up
            await watch.run([RELAY], Seen(), MachineClock())  # type: ignore[list-item]

    monkeypatch.setattr(descriptors, "ask", answer)
    watch = DescriptorWatch(0.02)
    trio.run(main)
    assert (watch.checks, watch.late) == (3, 1)
