"""Finds the processes of a fleet by their command lines, fast enough for an event loop that observes.

A walk over all of `/proc` that reads each command line takes tens of milliseconds on a busy machine. The
table reads only those of processes that it has not seen before.
"""

import os
import re
from contextlib import suppress
from pathlib import Path

import psutil  # type: ignore[import-untyped]

PROC = Path("/proc")
INSTANCE_OPTION = re.compile(rb"\0--instance\0(\d+)\0")


class ProcessTable:
    """The processes whose command lines name an instance of the operators' file in `folder`."""

    def __init__(self, folder: Path) -> None:
        self._folder = os.fsencode(folder)
        self._own_command = _command_line(os.getpid())
        self._foreign: set[int] = set()  # ids of processes that are not of this fleet
        self._instances: dict[int, tuple[int, psutil.Process]] = {}

    def by_instance(self) -> dict[int, list[psutil.Process]]:
        """Returns the processes of each instance number, oldest first."""
        present = {int(name) for name in os.listdir(PROC) if name.isdigit()}
        self._foreign &= present
        self._instances = {each: found for each, found in self._instances.items() if each in present}
        for process_id in present - self._foreign - self._instances.keys():
            self._look_at(process_id)
        found: dict[int, list[psutil.Process]] = {}
        for number, process in self._instances.values():
            if _command_line(process.pid):  # A process that has exited has none, until it is reaped.
                found.setdefault(number, []).append(process)
        return {
            number: sorted(found[number], key=lambda process: (process.create_time(), process.pid))
            for number in sorted(found)
        }

    def _look_at(self, process_id: int) -> None:
        command = _command_line(process_id)
        number = INSTANCE_OPTION.search(command) if self._folder in command else None
        if number:
            with suppress(psutil.Error):
                self._instances[process_id] = int(number[1]), psutil.Process(process_id)
        elif not self._may_change(command):
            self._foreign.add(process_id)

    def _may_change(self, command: bytes) -> bool:
        """Returns whether the process may be about to run another program.

        Between fork and exec a process has the command line of its parent, which is this process or one of
        the fleet, and in the middle of exec it has none.
        """
        return command in (b"", self._own_command) or self._folder in command


def _command_line(process_id: int) -> bytes:
    with suppress(OSError):
        return (PROC / str(process_id) / "cmdline").read_bytes()
    return b""
