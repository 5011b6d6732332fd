"""Watches for connections that relays do not close, by a process that checks the machine for this one."""

import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import msgspec
import trio

from glenfold_lab.soak.descriptor_check import CheckReply, CheckRequest, HalfClosed
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.relays import ROOT, RelayProcess
from glenfold_lab.stand_ins.seen import Seen

HALF_CLOSED_CHECKS = 4  # Consecutive checks; a relay ends the other side of a connection within 1 s.
MAX_REPLY_BYTES = 1 << 20
READ_BYTES = 1 << 16


class CheckFailed(Exception):
    """Raised when the machine can't be checked: a run without the check must not pass."""


class DescriptorWatch:
    """Checks the descriptors of relays every `interval_s` seconds.

    `checks` counts the finished checks, `late` those that took longer than the interval, so that the watch
    did not keep up.
    """

    def __init__(self, interval_s: float) -> None:
        self.checks = 0
        self.late = 0
        self._interval_s = interval_s

    async def run(self, relays: Sequence[RelayProcess], seen: Seen, clock: MachineClock) -> None:
        """Reports connections that a relay keeps after the other end has closed them, until cancelled.

        Raises CheckFailed.
        """
        counts: Counter[HalfClosed] = Counter()
        async with _checking_process() as process:
            while True:
                await trio.sleep(self._interval_s)
                started_at = trio.current_time()
                reply = await ask(process, _request(relays))
                self.checks += 1
                self.late += trio.current_time() > started_at + self._interval_s
                counts = Counter({each: counts[each] + 1 for each in reply.half_closed})
                for half_closed, count in counts.items():
                    if count == HALF_CLOSED_CHECKS:
                        text = f"{half_closed.local} keeps what {half_closed.remote} has closed"
                        seen.fault(clock.now_us(), half_closed.number, text)


def _request(relays: Sequence[RelayProcess]) -> CheckRequest:
    return CheckRequest(
        {relay.number: relay.process_id for relay in relays if relay.running and not relay.stalled}
    )


@asynccontextmanager
async def _checking_process() -> AsyncIterator[trio.Process]:
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", "glenfold_lab.soak.descriptor_check"],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        yield process
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()


async def ask(process: trio.Process, request: CheckRequest) -> CheckReply:
    """Returns the reply of the checking process. Raises CheckFailed."""
    assert process.stdin is not None and process.stdout is not None
    try:
        await process.stdin.send_all(msgspec.json.encode(request) + b"\n")
        received = b""
        while not received.endswith(b"\n") and len(received) < MAX_REPLY_BYTES:
            data = await process.stdout.receive_some(READ_BYTES)
            if not data:
                break
            received += data
        reply: CheckReply = msgspec.json.decode(received, type=CheckReply)
    except (trio.BrokenResourceError, msgspec.DecodeError) as error:
        raise CheckFailed(f"the process that checks descriptors failed: {error}") from error
    return checked_reply(reply)


def checked_reply(reply: CheckReply) -> CheckReply:
    """Returns the reply. Raises CheckFailed if the machine could not be read."""
    if reply.error:
        raise CheckFailed(f"descriptors can't be checked: {reply.error}")
    return reply
