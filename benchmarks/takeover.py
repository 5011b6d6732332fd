"""Restarts of one instance by takeover, under a stream of clients.

    python -m benchmarks.takeover [RESTARTS] [CLIENTS_A_SECOND]

Runs real processes on loopback. The default is ten restarts and 200 clients per second, each standing for
0.3 s. Reports refused and reset connects, the verdicts of the lab's checker on every request, the duration of
each restart, and the set-up times from the scheduled time of the connect, during and between restarts. A run
takes less than a minute.
"""

import json
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np
import trio

from glenfold import logs
from glenfold.config import platform
from glenfold.daemon.process import Process
from glenfold.daemon.takeover import Refused, TakeoverLocation, TakeoverServer, obtain_listeners
from glenfold_lab.checker import Checker
from glenfold_lab.observe import AttemptOutcome, Capacity, Final, ListedState, Recorder, replay
from glenfold_lab.spec import Rules
from glenfold_lab.stand_ins.relays import ROOT, free_address
from glenfold_lab.stand_ins.sockets import Address, format_address

NAME = "cardiff-1"
SERVER = 1
UP = b"UP push-1.00\r\n"
STANDING_S = 0.3
PAUSE_S = 0.5  # pause between two restarts
# Time limit of each step of a restart: until the new process owns the name, then until the old one exits.
STEP_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.01
SLACK_US = 50_000
SETTINGS: dict[str, Any] = {
    "classes": [{"name": "watch", "aim_us": 500_000, "hard_limit_us": 2_000_000, "semantics": "repeatable"}],
    "accounts": [{"name": "valleys"}],
    "areas": ["cardiff"],
    "kinds": ["m"],
    "period_us": 2000,
    "ceilings": {"max_attempts": 2},
    "extra": {"mode": "pass", "message_aim_us": [250_000.0]},
}


# ---- Instance ----


async def serve(folder: Path) -> None:
    """Runs one relay process that takes the listening sockets over from the previous one, if there is one."""
    config = platform.read_config({"LB_CONFIG": str(folder / "config.json")})
    location = TakeoverLocation(folder, NAME)
    try:
        listeners, taken = await obtain_listeners(
            location, [config.listen], [], trio.current_time() + STEP_TIMEOUT_S
        )
    except Refused as refused:
        sys.exit(str(refused))
    process = Process(
        config,
        lambda now: (now, []),
        listeners=listeners,
        start_paused=taken is not None,
        background_tasks=[TakeoverServer(location, None, taken)],
    )
    await process.run()


# ---- Clients, push server and supervision of the instance ----


def now_us() -> int:
    return round(trio.current_time() * 1_000_000)


@dataclass
class Load:
    """The clients, their push server, and what both observed.

    `set_ups` holds the scheduled time and the duration of each set-up, in seconds. `ended` counts connections
    by how they ended.
    """

    address: Address
    recorder: Recorder = field(default_factory=Recorder)
    set_ups: list[tuple[float, float]] = field(default_factory=list)
    ended: Counter[str] = field(default_factory=Counter)
    request_count: int = 0
    arrivals_scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def push_server(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            line = await stream.receive_some(4096)
            request = int(line.split(b" ")[1], 16)
            self.recorder.sent(now_us(), request, 0, SERVER, now_us())
            self.recorder.attempt_over(now_us(), request, SERVER, AttemptOutcome.UP)
            await stream.send_all(UP)
            while await stream.receive_some(4096):
                pass

    async def clients(self, per_s: float) -> None:
        """Starts `per_s` clients per second until `arrivals_scope` is cancelled, then waits for their end."""
        due = trio.current_time()
        async with trio.open_nursery() as nursery:
            with self.arrivals_scope:
                while True:
                    await trio.sleep_until(due)
                    nursery.start_soon(self._client, due)
                    due += 1 / per_s

    async def _client(self, due: float) -> None:
        self.request_count += 1
        request, ending = self.request_count, "answered"
        try:
            async with await trio.open_tcp_stream(*self.address) as stream:
                ending = await self._run_request(stream, request, due)
        except (OSError, trio.BrokenResourceError) as error:
            cause = error.__cause__ or error
            ending = "refused" if isinstance(cause, ConnectionRefusedError) else f"lost: {cause!r}"
        self.ended[ending] += 1

    async def _run_request(self, stream: trio.SocketStream, request: int, due: float) -> str:
        await stream.send_all(b"OPEN %016x %016x c=watch,t=valleys,d=2000\r\n" % (request, request))
        self.recorder.taken(now_us(), request, 0, now_us() + 2_000_000, 0)
        line = await stream.receive_some(4096)
        final = Final.UP if line == UP else Final.CLOSED if not line else Final.ERROR
        self.recorder.answered(now_us(), request, final, SERVER, 0)
        if final is not Final.UP:
            return f"answered {line.decode()!r}"
        self.set_ups.append((due, trio.current_time() - due))
        received_line = b""
        with trio.move_on_at(trio.current_time() + STANDING_S):
            received_line = await stream.receive_some(4096)
            self.recorder.ended(now_us(), request, 1)
        return {b"": "stood", b"MOVE\r\n": "moved"}.get(received_line, f"told {received_line.decode()!r}")

    def verdicts(self) -> int:
        """Prints the checker's verdicts on the recorded run.

        Returns their number, including those that the checker left out.
        """
        checker = Checker(Rules(), SLACK_US)
        replay(self.recorder.records, checker)
        checker.finish(now_us() + 10_000_000)
        for verdict in checker.verdicts():
            print(verdict)
        return len(checker.verdicts()) + checker.left_out


class Instance:
    """The successive processes of the instance `NAME`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._log = (folder / "log").open("ab")
        self.process = self._spawn()

    def _spawn(self) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-m", "benchmarks.takeover", "serve", str(self.folder)],
            cwd=ROOT,
            stderr=self._log,
            stdin=subprocess.DEVNULL,
        )

    def count_log_event(self, event: str) -> int:
        return (self.folder / "log").read_text().count(event)

    async def wait_for_log_event(self, event: str, times: int) -> None:
        """Waits until the log holds `event` `times` times.

        Raises `trio.TooSlowError` after `STEP_TIMEOUT_S`.
        """
        with trio.fail_at(trio.current_time() + STEP_TIMEOUT_S):
            while self.count_log_event(event) < times:
                await trio.sleep(POLL_INTERVAL_S)

    async def restart(self, number: int) -> tuple[float, float]:
        """Starts a new process, which takes over.

        Returns the seconds from its start until it owns the name, and until the old process has exited.
        """
        old, started_at = self.process, trio.current_time()
        self.process = self._spawn()
        await self.wait_for_log_event("took over", number)
        owned_s = trio.current_time() - started_at
        with trio.fail_at(trio.current_time() + STEP_TIMEOUT_S):
            while old.poll() is None:
                await trio.sleep(POLL_INTERVAL_S)
        return owned_s, trio.current_time() - started_at

    def end(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._log.close()


async def measure(folder: Path, restarts: int, per_s: float) -> bool:
    load = Load(free_address("127.0.0.1"))
    load.recorder.server_started(0, SERVER, Capacity(1e6, 0.2, 1), False)
    load.recorder.told(0, 0, SERVER, ListedState.READY, 0)
    restart_times: list[tuple[float, float, float]] = []
    async with trio.open_nursery() as nursery:
        served = await nursery.start(trio.serve_tcp, load.push_server, 0)
        write_config(folder, load.address, served[0].socket.getsockname())
        instance = Instance(folder)
        try:
            await instance.wait_for_log_event("listens on", 1)
            async with trio.open_nursery() as around:
                around.start_soon(load.clients, per_s)
                for number in range(1, restarts + 1):
                    await trio.sleep(PAUSE_S)
                    started_at = trio.current_time()
                    restart_times.append((started_at, *await instance.restart(number)))
                await trio.sleep(PAUSE_S)
                load.arrivals_scope.cancel()
        finally:
            nursery.cancel_scope.cancel()
            instance.end()
    return report(load, restart_times)


def write_config(folder: Path, address: Address, server: Address) -> None:
    """Writes the configuration of a relay that listens on `address` and has one push server."""
    entry = {
        "host": "push-1",
        "dial": format_address(("127.0.0.1", server[1])),
        "site": "cardiff",
        "class": "m",
        "block": 0,
        "health": "in_service",
        "share": 1.0,
        "born_ms": 0,
    }
    server_list = {"seq": 1, "whole": True, "hosts": [entry]}
    (folder / "config.json").write_text(
        json.dumps(
            {
                "name": NAME,
                "listen": format_address(address),
                "discovery": "127.0.0.1:9",
                "seed": "1f",
                "known": server_list,
                "settings": SETTINGS,
            }
        )
    )


def report(load: Load, restart_times: list[tuple[float, float, float]]) -> bool:
    """Prints the report, and returns whether no connection was lost and no rule broken."""
    owned_s, ended_s = (np.array([times[column] for times in restart_times]) for column in (1, 2))
    print(f"{len(restart_times)} restarts, {load.request_count} clients")
    print(f"owns its name after {spread(owned_s)} s; the old one has ended after {spread(ended_s)} s")
    inside = [
        any(started_at <= due <= started_at + end for started_at, _, end in restart_times)
        for due, _ in load.set_ups
    ]
    for name, during_restart in (("while a restart runs", True), ("between restarts", False)):
        lengths = [
            length
            for (_, length), is_inside in zip(load.set_ups, inside, strict=True)
            if is_inside is during_restart
        ]
        p50, p99, slowest_ms = np.percentile(lengths, (50, 99, 100)) * 1000
        print(f"set-ups {name}: {len(lengths)}, p50 {p50:.1f}, p99 {p99:.1f}, most {slowest_ms:.1f} ms")
    print("connections:", dict(sorted(load.ended.items())), "in all", sum(load.ended.values()))
    broken = load.verdicts()
    lost = sum(count for ending, count in load.ended.items() if ending not in ("stood", "moved"))
    print(f"refused connects {load.ended['refused']}, lost {lost}, broken rules {broken}")
    return not lost and not broken


def spread(values: Any) -> str:
    return f"{np.median(values):.2f} ({values.min():.2f} to {values.max():.2f})"


def main(restarts: int, per_s: float) -> int:
    with tempfile.TemporaryDirectory() as folder:
        passed = trio.run(measure, Path(folder), restarts, per_s)
    return 0 if passed else 1


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        logs.begin(logs.Options(), NAME)
        trio.run(serve, Path(sys.argv[2]))
        logs.finish()
    else:
        sys.exit(
            main(
                int(sys.argv[1]) if len(sys.argv) > 1 else 10,
                float(sys.argv[2]) if len(sys.argv) > 2 else 200.0,
            )
        )
