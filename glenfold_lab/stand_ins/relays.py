"""Real relays: each is a `python -m glenfold` process with a loopback address and a folder of its own.

Each relay process is ended by its id, also when the run is interrupted. If this process is killed, the kernel
ends the relays.
"""

import ctypes
import json
import os
import resource
import signal
import subprocess
import sys
from collections import deque
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil  # type: ignore[import-untyped]
import trio

import glenfold
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.ping import PingResult, ping
from glenfold_lab.stand_ins.process_exit import wait_for_exit
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.sockets import Address, bind, format_address

READY_TIMEOUT_S = 30.0  # Time limit for a relay to answer its first PING.
POLL_INTERVAL_S = 0.02  # Time between two attempts to reach a relay that starts.
LOG_TAIL_LINES = 40  # Lines of a log that appear in a report.
PR_SET_PDEATHSIG = 1
ROOT = Path(glenfold.__file__).parent.parent


class NotReady(Exception):
    """Raised when a relay has ended or does not answer PING."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Resource limits of a relay.

    A relay is killed when a sample shows more than `memory_mb`. `sockets` limits descriptors, enforced by the
    kernel.
    """

    cores: float = 1.0
    memory_mb: float | None = None
    sockets: int | None = None

    def as_dict(self) -> dict[str, float]:
        given = {"cores": self.cores, "memory_mb": self.memory_mb, "sockets": self.sockets}
        return {name: value for name, value in given.items() if value is not None}


@dataclass(slots=True)
class Usage:
    """Resource usage of all processes that one relay has had."""

    cpu_s: float = 0.0
    peak_mb: float = 0.0
    cpu_share: float = 0.0  # Share of a core between the last two samples.


class RelayProcess:
    """One relay across its restarts, with the same name and address."""

    def __init__(
        self,
        number: int,
        name: str,
        folder: Path,
        listen: Address,
        discovery: Address,
        settings: Mapping[str, Any],
        limits: Limits,
        seen: Seen,
        clock: MachineClock,
    ) -> None:
        self.number = number
        self.name = name
        self.listen = listen
        self.discovery = discovery
        self.limits = limits
        self.usage = Usage()
        self.killed_for_memory = False
        self.stopping = self.stalled = False
        self._folder = folder
        self._settings = dict(settings)
        self._seen = seen
        self._clock = clock
        self._process: subprocess.Popen[bytes] | None = None
        self._psutil_process: psutil.Process | None = None
        self._cpu_before = 0.0
        self._starts = 0
        self._initial_list: dict[str, object] = {}
        folder.mkdir(parents=True)

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self) -> int:
        """Returns the id of the latest process. Raises NotReady if the relay was never started."""
        if self._process is None:
            raise NotReady(f"{self.name} was not started")
        return self._process.pid

    @property
    def log(self) -> Path:
        return self._folder / "log"

    def tail(self) -> list[str]:
        """Returns the last lines of the relay's log."""
        if not self.log.exists():
            return []
        with self.log.open(errors="replace") as lines:
            return [line.rstrip("\n") for line in deque(lines, LOG_TAIL_LINES)]

    # ---- start, stop and signals ----

    def start(self, initial_list: dict[str, object], seed: int) -> None:
        """Starts a process. `initial_list` is the server list of its configuration, in discovery's form."""
        self._starts += 1
        self.killed_for_memory = False
        self.stopping = self.stalled = False
        self._initial_list = initial_list
        self._write_config(seed)
        starting = self._seen.blocking_calls.timed("the start of a relay")
        with starting, self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "glenfold"],
                cwd=ROOT,
                env=self._environment(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=self._apply_limits,
                start_new_session=True,
            )
        self._psutil_process = psutil.Process(self._process.pid)
        self._cpu_before = 0.0

    def _environment(self) -> dict[str, str]:
        temporary = self._folder / f"tmp-{self._starts}"
        temporary.mkdir()
        inherited = {name: os.environ[name] for name in ("PATH", "LANG", "HOME") if name in os.environ}
        return {
            **inherited,
            "LB_NAME": self.name,
            "LB_LISTEN": format_address(self.listen),
            "TMPDIR": str(temporary),
            "LB_DISCOVERY": format_address(self.discovery),
            "LB_CONFIG": str(self._folder / "config.json"),
        }

    def _write_config(self, seed: int) -> None:
        document = {
            "name": self.name,
            "listen": format_address(self.listen),
            "discovery": format_address(self.discovery),
            "seed": f"{seed:x}",
            "limits": self.limits.as_dict(),
            "known": self._initial_list,
            "settings": self._settings,
        }
        (self._folder / "config.json").write_text(json.dumps(document))

    def _apply_limits(self) -> None:
        """Sets limits in the child process before the relay starts, and makes it end with its parent."""
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        for early_signal in (signal.SIGHUP, signal.SIGUSR1):  # As `run` of the deploy file does.
            signal.signal(early_signal, signal.SIG_IGN)
        if self.limits.sockets is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.limits.sockets, self.limits.sockets))

    async def ready(self) -> None:
        """Waits until the relay answers PING. Raises NotReady if it ends first or exceeds the time limit."""
        with trio.move_on_at(trio.current_time() + READY_TIMEOUT_S):
            while self.running:
                if await ping(self.listen) is PingResult.ANSWERED:
                    self._seen.relay_up(self._clock.now_us(), self.number)
                    return
                await trio.sleep(POLL_INTERVAL_S)
        raise NotReady("\n".join([f"{self.name} is not ready", *self.tail()]))

    def reload(self, discovery: Address) -> None:
        """Moves the relay to another discovery address, by its configuration file and SIGHUP."""
        self.discovery = discovery
        self._write_config(0)
        self._signal(signal.SIGHUP)

    def kill(self) -> None:
        """Sends SIGKILL, which ends the process some time later, when it gets a core."""
        if self.running:
            self.sample()
            self._seen.relay_down(self._clock.now_us(), self.number)
            self._signal(signal.SIGKILL)

    async def crash(self) -> None:
        """Kills the process by SIGKILL and returns when it has exited."""
        if not self.running:
            return
        self.kill()
        await wait_for_exit(self.process_id)
        self._seen.relay_exited(self._clock.now_us(), self.number)

    def end(self) -> None:
        """Kills the process and blocks until it has exited, at the end of a run."""
        if self._process is not None:
            self.kill()
            self._process.wait()

    async def stop(self, kill_at: int) -> None:
        """Sends SIGTERM, and SIGKILL at `kill_at` if the process still runs then."""
        if not self.running:
            return
        self._seen.stopping(self._clock.now_us(), self.number)
        self._signal(signal.SIGTERM)
        self.stopping = True
        with trio.move_on_at(self._clock.to_trio(kill_at)):
            await self._sample_until_exit()
        if self.running:
            await self.crash()
        else:
            self._seen.relay_down(self._clock.now_us(), self.number)

    async def _sample_until_exit(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sample_often)
            await wait_for_exit(self.process_id)
            nursery.cancel_scope.cancel()

    async def _sample_often(self) -> None:
        while True:
            self.sample()
            await trio.sleep(POLL_INTERVAL_S)

    def stall(self) -> None:
        """Suspends the process (SIGSTOP) until `go_on`."""
        self._signal(signal.SIGSTOP)
        self.stalled = True

    def go_on(self) -> None:
        self._signal(signal.SIGCONT)
        self.stalled = False

    def signal(self, name: str) -> None:
        """Sends the signal `name`, such as "SIGUSR1", if the process runs."""
        self._signal(signal.Signals[name])

    def _signal(self, number: int) -> None:
        if self.running and self._process is not None:
            self._process.send_signal(number)

    # ---- resource usage ----

    def sample(self, seconds: float = 0.0) -> None:
        """Reads CPU time and memory. `seconds` is the time since the last sample, for the share of a core."""
        if self._psutil_process is None:
            return
        sampling = self._seen.blocking_calls.timed("the sample of a relay's usage")
        with sampling, suppress(psutil.Error):
            times, memory_mb = (
                self._psutil_process.cpu_times(),
                self._psutil_process.memory_info().rss / 2**20,
            )
            used = times.user + times.system
            self.usage.cpu_s += used - self._cpu_before
            if seconds:
                self.usage.cpu_share = (used - self._cpu_before) / seconds
            self._cpu_before = used
            self.usage.peak_mb = max(self.usage.peak_mb, memory_mb)
            is_over_limit = self.limits.memory_mb is not None and memory_mb > self.limits.memory_mb
            if is_over_limit and not self.killed_for_memory:  # kill() takes a sample itself.
                self.killed_for_memory = True
                self.kill()


def free_address(host: str) -> Address:
    """Returns an address with a free port at the loopback address `host`."""
    with bind(host) as sock:
        address: Address = sock.getsockname()
        return address


@asynccontextmanager
async def killed_on_exit(relays: Sequence[RelayProcess]) -> AsyncIterator[None]:
    """Kills all relay processes when the context ends, also after an error."""
    try:
        yield
    finally:
        for relay in relays:
            relay.end()
