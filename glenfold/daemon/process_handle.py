"""Handles for processes that stay valid when a pid is reused.

A process is identified as `PID:START`, where START is its start time from /proc in clock ticks since boot. It
is monitored and signalled through a descriptor (pidfd), which never refers to another process.
"""

import os
import signal
import subprocess
from collections.abc import Sequence
from pathlib import Path

import trio


def identity_of(pid: int) -> str | None:
    """Returns the identity of the process, or None if it does not run. A zombie does not run."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_bytes()
    except (FileNotFoundError, ProcessLookupError):
        return None
    fields = stat.rpartition(b")")[2].split()  # The command name may contain blanks and brackets.
    return None if fields[0] in (b"Z", b"X") else f"{pid}:{int(fields[19])}"


def boot_id() -> str:
    """Returns the kernel's id of the current boot."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


class ProcessHandle:
    """One process that runs or has exited.

    `process` is its identity. `child` is set if this process started it; its exit status is only known then.
    """

    def __init__(self, process: str, descriptor: int, child: subprocess.Popen[bytes] | None = None) -> None:
        self.process = process
        self.child = child
        self.has_exited = False
        self._descriptor = descriptor

    @property
    def pid(self) -> int:
        """The process id part of the identity."""
        return int(self.process.partition(":")[0])

    @classmethod
    def find(cls, process: str) -> "ProcessHandle | None":
        """Returns a handle for the process with this identity, or None if it does not run. Raises OSError."""
        pid = int(process.partition(":")[0])
        try:
            descriptor = os.pidfd_open(pid)
        except ProcessLookupError:
            return None
        # Checked after opening: if the identity still matches, the descriptor refers to that process.
        if identity_of(pid) == process:
            return cls(process, descriptor)
        os.close(descriptor)
        return None

    @classmethod
    def start(cls, command: Sequence[str], output: int, environment: dict[str, str]) -> "ProcessHandle":
        """Starts a child process and returns its handle. Raises OSError.

        The child runs in its own session, so signals to this process's group or terminal don't reach it.
        """
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
            child.kill()  # The child is not reaped yet, so its pid can't have been reused.
            child.wait()
            raise
        return cls(process or f"{child.pid}:0", descriptor, child)

    def signal(self, number: int) -> None:
        """Sends a signal; does nothing if the process has exited."""
        if not self.has_exited:
            try:
                signal.pidfd_send_signal(self._descriptor, number)
            except ProcessLookupError:
                return

    async def wait_for_exit(self) -> str:
        """Waits until the process has exited and returns a description of how."""
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
