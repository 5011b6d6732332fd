"""Starts and stops real daemons on loopback: instances of one operators' file, with or without supervisor.

All started processes are ended again by their ids. Relays outlive their supervisor, so they are found by
their command lines, which name the operators' file of this run.
"""

import os
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import psutil  # type: ignore[import-untyped]
import tomlkit
import trio

from glenfold.daemon.ask import NoAnswer, ask
from glenfold_lab.spec import Scenario
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.ping import PingResult, ping
from glenfold_lab.stand_ins.process_exit import wait_for_exit
from glenfold_lab.stand_ins.process_table import ProcessTable
from glenfold_lab.stand_ins.relays import ROOT
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.sockets import Address, format_address

FLEET_NAME = "fleet"
POLL_INTERVAL_S = 0.02
STATUS_TIMEOUT_S = 2.0
KILL_TIMEOUT_S = 2.0  # Time in which the kernel ends killed processes.
WAIT_TIMEOUT_S = 30.0  # Time limit for a condition on a status.
COMMAND = [sys.executable, "-m", "glenfold"]

Answer = dict[str, Any]


class ConditionTimeout(Exception):
    """Raised when a condition on a status was not met within the time limit."""


def operators_file(
    scenario: Scenario,
    kinds: Sequence[str],
    discovery: Address,
    listen: Sequence[Address],
    **tables: Mapping[str, Any],
) -> str:
    """Returns an operators' file with an instance for each address in `listen`.

    `tables` are merged into the tables of the file.
    """
    classes = [
        {
            "name": kind.name,
            "deadline_ms": kind.deadline_ms,
            "message_aim_ms": kind.message_aim_ms,
            "worth": kind.worth,
        }
        for kind in scenario.classes
    ]
    rules = scenario.rules
    document: dict[str, Any] = {
        "format": 1,
        "instance": {"name": FLEET_NAME, "folder": "state"},
        "limits": {"sockets": scenario.relays.sockets or 4096},
        "list": {"discovery": format_address(discovery)},
        "logging": {"form": "json"},
        "settings": {
            "classes": classes,
            "zones": list(scenario.zones.names),
            "zone": scenario.zones.names[0],
            "kinds": list(kinds),
            "rules": {
                "pass_through": scenario.relays.pass_through,
                "max_attempts": rules.max_attempts,
                "cold_share": rules.cold_share,
                "cold_s": rules.cold_s,
                "fall_multiple": rules.fall_multiple,
                "fall_s": rules.fall_s,
            },
        },
        "fleet": {"instances": len(listen), "addresses": [[format_address(address)] for address in listen]},
    }
    for name, keys in tables.items():
        document[name] = {**document.get(name, {}), **keys}
    return tomlkit.dumps(document)


@dataclass(slots=True)
class CommandResult:
    """The exit status and the output of a command."""

    status: int
    out: str


@dataclass(slots=True)
class Daemons:
    """The daemons of one fleet.

    `file` is the operators' file, in a folder of its own. `listen` has the address of each relay by its
    number; the instance of relay n has the number n + 1.
    """

    file: Path
    listen: Sequence[Address]
    seen: Seen
    clock: MachineClock
    _started: list[subprocess.Popen[bytes]] = field(default_factory=list)
    supervisor: subprocess.Popen[bytes] | None = None
    _process_table: ProcessTable = field(init=False)

    def __post_init__(self) -> None:
        self._process_table = ProcessTable(self.file.parent)

    @property
    def folder(self) -> Path:
        return self.file.parent / "state"

    @property
    def relays(self) -> range:
        return range(len(self.listen))

    # ---- starting and ending ----

    def start_supervisor(self) -> None:
        """Starts a supervisor in a separate process."""
        self.supervisor = self._start("fleet", "up", os.fspath(self.file))

    def start_instance(self, relay: int) -> subprocess.Popen[bytes]:
        """Starts one more process of the relay's instance, without a supervisor."""
        return self._start("run", os.fspath(self.file), "--instance", str(relay + 1))

    def _start(self, *arguments: str) -> subprocess.Popen[bytes]:
        starting = self.seen.blocking_calls.timed("the start of a daemon")
        with starting, (self.file.parent / "log").open("ab") as log:
            process = subprocess.Popen(
                [*COMMAND, *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._started.append(process)
        return process

    async def run_command(self, *arguments: str) -> CommandResult:
        """Runs a command on this file, which is placed before the first option of `arguments`."""
        file_position = next(
            (n for n, argument in enumerate(arguments) if argument.startswith("-")), len(arguments)
        )
        process = await trio.run_process(
            [*COMMAND, *arguments[:file_position], os.fspath(self.file), *arguments[file_position:]],
            cwd=ROOT,
            capture_stdout=True,
            stderr=subprocess.STDOUT,
            check=False,
        )
        return CommandResult(process.returncode, process.stdout.decode())

    def processes(self) -> dict[int, list[psutil.Process]]:
        """Returns the processes of each relay, oldest first; a relay has two during a takeover."""
        with self.seen.blocking_calls.timed("the search for a fleet's processes"):
            by_instance = self._process_table.by_instance()
        return {number - 1: processes for number, processes in by_instance.items()}

    def kill(self, relay: int) -> list[psutil.Process]:
        """Kills all processes of the relay by SIGKILL and returns them.

        They have exited some time later, which `wait_for_restart` awaits: until then the kernel accepts
        clients for them.
        """
        processes = self.processes().get(relay, [])
        self.seen.relay_down(self.clock.now_us(), relay)
        for process in processes:
            with suppress(psutil.Error):
                process.kill()
        return processes

    def kill_supervisor(self) -> None:
        if self.supervisor is not None:
            self.supervisor.kill()
            self.supervisor.wait()

    def end_all(self) -> None:
        """Kills all processes, supervisors first, as a supervisor would start relays again."""
        for process in self._started:
            process.kill()
            process.wait()
        deadline = time.monotonic() + KILL_TIMEOUT_S
        while (remaining := self.processes()) and time.monotonic() < deadline:
            for process in (each for processes in remaining.values() for each in processes):
                with suppress(psutil.Error):
                    process.kill()
            time.sleep(POLL_INTERVAL_S)

    # ---- status ----

    async def fleet_status(self) -> Answer:
        """Returns the supervisor's status, empty if it does not answer."""
        return await self._ask(self.folder / "supervisor" / "control.sock")

    async def instance_status(self, relay: int) -> Answer:
        return await self._ask(self.folder / f"{FLEET_NAME}-{relay + 1}.sock")

    async def _ask(self, path: Path) -> Answer:
        with suppress(NoAnswer):
            return (await ask(path, {"ask": "status"}, trio.current_time() + STATUS_TIMEOUT_S))[1]
        return {}

    async def wait_for(self, query: Callable[[], Any], condition: Callable[[Answer], bool]) -> Answer:
        """Returns the first answer that meets `condition`. Raises ConditionTimeout at the time limit."""
        answer: Answer = {}
        with trio.move_on_after(WAIT_TIMEOUT_S):
            while True:
                answer = await query()
                if answer and condition(answer):
                    return answer
                await trio.sleep(POLL_INTERVAL_S)
        raise ConditionTimeout(f"condition not met in time; the last answer was {answer}")

    async def wait_all_ready(self) -> Answer:
        """Waits until all instances are ready, by the supervisor's status."""
        return await self.wait_for(
            self.fleet_status, lambda status: {each["phase"] for each in status["instances"]} == {"ready"}
        )

    async def wait_for_state(self, relay: int, *states: str) -> Answer:
        return await self.wait_for(
            lambda: self.instance_status(relay), lambda status: status["state"] in states
        )

    async def wait_for_restart(self, relay: int, killed: Sequence[psutil.Process]) -> None:
        """Waits until a relay whose processes `killed` were killed answers PING again.

        The relay counts as up as soon as a new process exists, as the process accepts clients before it
        reports that it is ready.
        """
        for process in killed:
            await wait_for_exit(process.pid)
        self.seen.relay_exited(self.clock.now_us(), relay)
        while not set(self.processes().get(relay, ())) - set(killed):
            await trio.sleep(POLL_INTERVAL_S)
        self.seen.relay_up(self.clock.now_us(), relay)
        await self._wait_for_pong(relay)

    async def wait_all_answer(self) -> None:
        """Waits until all relays have answered their first PING."""
        async with trio.open_nursery() as nursery:
            for relay in self.relays:
                nursery.start_soon(self._wait_for_pong, relay)
        for relay in self.relays:
            self.seen.relay_up(self.clock.now_us(), relay)

    async def _wait_for_pong(self, relay: int) -> None:
        with trio.move_on_after(WAIT_TIMEOUT_S):
            while await ping(self.listen[relay]) is not PingResult.ANSWERED:
                await trio.sleep(POLL_INTERVAL_S)
            return
        raise ConditionTimeout(f"relay {relay} is not ready: no answer to PING")


@asynccontextmanager
async def killed_on_exit(daemons: Daemons) -> AsyncIterator[None]:
    """Kills all processes of the daemons when the context ends, also after an error."""
    try:
        yield
    finally:
        daemons.end_all()
