"""The control of real daemons: what is recorded of a relay that is killed, and when."""

import os
import subprocess
import sys
from pathlib import Path

import trio

from glenfold_lab.stand_ins.daemons import Daemons
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.seen import Seen

SLEEPS = "import sys, time; print('up', flush=True); time.sleep(60)"


class RunningInstance:
    """A process that looks like an instance of the operators' file in a folder."""

    def __init__(self, file: Path, number: int) -> None:
        arguments = [sys.executable, "-c", SLEEPS, os.fspath(file), "--instance", str(number)]
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE)
        assert self.process.stdout is not None
        self.process.stdout.readline()

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


def test_the_exit_of_a_killed_relay_is_recorded_once_its_process_has_ended(tmp_path: Path) -> None:
    """Guards against blaming a relay for what the kernel accepted between SIGKILL and its exit."""

    async def main() -> None:
        file, seen, clock = tmp_path / "glenfold.toml", Seen(), MachineClock()
        daemons = Daemons(file, [("127.0.0.1", 9)], seen, clock)
        instance, successor = RunningInstance(file, 1), None
        try:
            killed = daemons.kill(0)
            assert [process.pid for process in killed] == [instance.process.pid]
            with trio.move_on_after(0.05):  # no successor comes, so this waits in vain
                await daemons.wait_for_restart(0, killed)
            successor = RunningInstance(file, 1)
            assert [process.pid for process in daemons.processes()[0]] == [successor.process.pid]
        finally:
            for each in (instance, successor):
                if each is not None:
                    each.end()
        (down, (killed_at, _)), (exited, (exited_at, _)) = seen.records
        assert (down, exited) == ("relay_down", "relay_exited") and killed_at <= exited_at

    trio.run(main)
