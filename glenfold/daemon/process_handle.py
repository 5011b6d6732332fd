"""Processes that are told apart for good: a pid alone may be a stranger's by the time it is used.

A process is named `PID:START`, with the moment of its start in ticks since the machine's, as /proc tells it.
It is watched and signalled through a descriptor (pidfd) that never comes to mean another one.
"""

import os
import signal
import subprocess
from collections.abc import Sequence
from pathlib import Path

import trio


def identity_of(pid: int) -> str | None:
    """None if no such process runs; one that has ended and waits to be reaped does not."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_bytes()
    except (FileNotFoundError, ProcessLookupError):
        return None
    fields = stat.rpartition(b")")[2].split()  # its command may hold blanks and brackets
    return None if fields[0] in (b"Z", b"X") else f"{pid}:{int(fields[19])}"


def boot_id() -> str:
    """Which start of the machine this is."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


class ProcessHandle:
    """One process that runs, or has: `child` if this process has started it, and so learns how it ended."""

    def __init__(self, process: str, descriptor: int, child: subprocess.Popen[bytes] | None = None) -> None:
        self.process = process
        self.child = child
        self.has_exited = False
        self._descriptor = descriptor

    @property
    def pid(self) -> int:
        return int(self.process.partition(":")[0])

    @classmethod
    def find(cls, process: str) -> "ProcessHandle | None":
        """None if it does not run, whoever has its pid now. Raises OSError."""
        pid = int(process.partition(":")[0])
        try:
            descriptor = os.pidfd_open(pid)
        except ProcessLookupError:
            return None
        # Only now: if the pid's process started when this one did, the descriptor is this one's.
        if identity_of(pid) == process:
            return cls(process, descriptor)
        os.close(descriptor)
        return None

    @classmethod
    def start(cls, command: Sequence[str], output: int, environment: dict[str, str]) -> "ProcessHandle":
        """In a session of its own, so that nothing meant for this process or its terminal reaches it. Raises
        OSError."""
        child = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env=environment,
            start_new_session=True,
        )
        try:
            process, descriptor = identity_of(child.pid), os.pidfd_open(child.pid)
        except OSError:
            child.kill()  # not yet reaped, so its pid is its own
            child.wait()
            raise
        return cls(process or f"{child.pid}:0", descriptor, child)

    def signal(self, number: int) -> None:
        """Does nothing to one that has ended."""
        if not self.has_exited:
            try:
                signal.pidfd_send_signal(self._descriptor, number)
            except ProcessLookupError:
                return

    async def wait_for_exit(self) -> str:
        """How it ended, in words, once it has."""
        await trio.lowlevel.wait_readable(self._descriptor)
        self.has_exited = True
        trio.lowlevel.notify_closing(self._descriptor)
        os.close(self._descriptor)
        if self.child is None:
            return "its status is unknown, as another process has started it"
        status = self.child.wait()
        return f"exit status {status}" if status >= 0 else f"signal {-status} ({_signal_name(-status)})"


def _signal_name(number: int) -> str:
    try:
        return signal.Signals(number).name
    except ValueError:
        return "unknown"
