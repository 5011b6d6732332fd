"""Time and CPU that relays need until they are ready, and the lateness of their first attempts.

    python -m benchmarks.start [--root .] [--relays 1] [--runs 10] [--share 0.25 --period 500 | --together]

Each run starts `--relays` relays at once, each as a process of its own, and waits until all answer PING. 100
clients connect during the next second, the first 40 of them at once. Prints one line of JSON for each run and
one for all runs: milliseconds from exec to PONG, CPU milliseconds used by then, and the time from each
client's OPEN line to the arrival of the first attempt at a push server.

`--share` is the fraction of a core that each relay may use, as under a scheduler with quotas: a relay that
has used its share of a `--period` (milliseconds) is stopped until the next period. `--together` runs all
relays on one core. `--root` is the checkout whose relays are started, so that two revisions can be compared.
"""

import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import click
import trio

from glenfold_lab.stand_ins.agent import Agent, Entry, ListState, full_list_document
from glenfold_lab.stand_ins.lateness import percentile
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.ping import PingResult, ping
from glenfold_lab.stand_ins.relays import free_address
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.sockets import Address, bind, format_address, send_all

SERVER_COUNT = 16
CLIENT_COUNT = 100
BURST_CLIENTS = 40
SET_UP_S = 0.005
POLL_INTERVAL_S = 0.01  # interval of the PINGs to a starting relay
QUOTA_POLL_INTERVAL_S = 0.002
SETTINGS: dict[str, Any] = {
    "classes": [{"name": "watch", "aim_us": 500_000, "hard_limit_us": 3_000_000, "semantics": "repeatable"}],
    "accounts": [{"name": "all"}],
    "areas": ["here"],
    "kinds": ["m"],
    "ceilings": {"max_attempts": 2},
    "extra": {"mode": "pass", "message_aim_us": [100_000.0]},
}


class PushServers:
    """Push servers that answer UP after `SET_UP_S`, and record when each client's line first arrived."""

    def __init__(self) -> None:
        self.first_line_at: dict[bytes, float] = {}
        self._listeners = [bind("127.0.0.1") for _ in range(SERVER_COUNT)]
        self.entries = [
            Entry(f"s-{n}", n, format_address(listener.getsockname()), "here", "m", 1, 1.0)
            for n, listener in enumerate(self._listeners)
        ]

    async def serve(self, nursery: trio.Nursery) -> None:
        for listener in self._listeners:
            listener.listen(256)
            nursery.start_soon(self._accept, listener, nursery)

    async def _accept(self, listener: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        while True:
            sock, _ = await listener.accept()
            nursery.start_soon(self._serve_connection, sock)

    async def _serve_connection(self, sock: trio.socket.SocketType) -> None:
        with sock, suppress(OSError):
            line = await sock.recv(4096)
            self.first_line_at.setdefault(line.split(b" ", 2)[1], time.monotonic())
            await trio.sleep(SET_UP_S)
            await send_all(sock, b"UP r\r\n")
            await sock.recv(1)


class RelayProcess:
    """The process of one relay."""

    def __init__(
        self,
        root: Path,
        folder: Path,
        discovery: Address,
        server_list: dict[str, object],
        cores: float,
        core: int | None,
    ) -> None:
        self.listen = free_address("127.0.0.1")
        document = {
            "name": folder.name,
            "listen": format_address(self.listen),
            "discovery": format_address(discovery),
            "seed": "1f",
            "limits": {"cores": cores},
            "known": server_list,
            "settings": SETTINGS,
        }
        folder.mkdir()
        (folder / "config.json").write_text(json.dumps(document))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        with (folder / "log").open("wb") as log:
            self.exec_at = time.monotonic()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "glenfold"],
                cwd=root,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment | {"LB_CONFIG": str(folder / "config.json")},
            )
        if core is not None:
            os.sched_setaffinity(self.process.pid, {core})
        self.ready_s = self.cpu_s = 0.0

    def cpu_time_s(self) -> float:
        """Returns the CPU seconds used so far, or 0 if the process has exited."""
        try:
            tasks = Path(f"/proc/{self.process.pid}/task").glob("*/schedstat")
            return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9
        except (OSError, IndexError):
            return 0.0

    async def wait_until_ready(self) -> None:
        """Waits for the first PONG; raises `click.ClickException` if the process exits first."""
        while await ping(self.listen) is not PingResult.ANSWERED:
            if self.process.poll() is not None:
                raise click.ClickException("a relay exited before it was ready")
            await trio.sleep(POLL_INTERVAL_S)
        self.ready_s, self.cpu_s = time.monotonic() - self.exec_at, self.cpu_time_s()

    def kill(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


class Quota(threading.Thread):
    """Thread that stops each relay that has used its quota of CPU time until the next period begins."""

    def __init__(self, relays: Sequence[RelayProcess], share: float, period_s: float) -> None:
        super().__init__(daemon=True)
        self._relays, self._quota_s, self._period_s = relays, share * period_s, period_s
        self.stopped = threading.Event()

    def run(self) -> None:
        while not self.stopped.is_set():
            period_end = time.monotonic() + self._period_s
            limits_s = {relay: relay.cpu_time_s() + self._quota_s for relay in self._relays}
            for relay in self._relays:
                relay.process.send_signal(signal.SIGCONT)
            while time.monotonic() < period_end and not self.stopped.wait(QUOTA_POLL_INTERVAL_S):
                for relay in [relay for relay, limit_s in limits_s.items() if relay.cpu_time_s() >= limit_s]:
                    del limits_s[relay]
                    relay.process.send_signal(signal.SIGSTOP)


@contextmanager
def limit_cpu(relays: Sequence[RelayProcess], share: float, period_s: float) -> Iterator[None]:
    """Limits each relay to `share` of a core within the block, and kills all relays at its end."""
    quota = Quota(relays, share, period_s)
    if share < 1:
        quota.start()
    try:
        yield
    finally:
        quota.stopped.set()
        if share < 1:
            quota.join()
        for relay in relays:
            relay.kill()


async def run_client(number: int, relay: RelayProcess, sent_at: dict[bytes, float]) -> None:
    name = b"%016x" % number
    with trio.socket.socket() as sock, suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.connect(relay.listen)
        sent_at[name] = time.monotonic()
        await send_all(sock, b"OPEN %s %x c=watch,t=all,d=3000\r\n" % (name, number * 2654435761))
        await sock.recv(4096)
        await trio.sleep_forever()


async def one_run(root: Path, count: int, share: float, period_s: float, together: bool) -> dict[str, Any]:
    push_servers, core = PushServers(), max(os.sched_getaffinity(0)) if together else None
    sent_at: dict[bytes, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            await push_servers.serve(nursery)
            agent = Agent(
                range(count), "127.0.0.1", ListState(1, push_servers.entries), Seen(), MachineClock()
            )
            await nursery.start(agent.serve)
            server_list = full_list_document(1, push_servers.entries)
            relays = [
                RelayProcess(root, Path(folder, f"n{n}"), agent.address, server_list, share, core)
                for n in range(count)
            ]
            with limit_cpu(relays, share, period_s):
                async with trio.open_nursery() as starting:
                    for relay in relays:
                        starting.start_soon(relay.wait_until_ready)
                started_at = trio.current_time()
                for number in range(1, CLIENT_COUNT + 1):
                    await trio.sleep_until(
                        started_at + max(0, number - BURST_CLIENTS) / (CLIENT_COUNT - BURST_CLIENTS)
                    )
                    nursery.start_soon(run_client, number, relays[number % count], sent_at)
                await trio.sleep_until(started_at + 1.5)
            nursery.cancel_scope.cancel()
    lateness_ms = sorted(
        (push_servers.first_line_at[name] - at) * 1e3
        for name, at in sent_at.items()
        if name in push_servers.first_line_at
    )
    return {
        "ready_ms": [relay.ready_s * 1e3 for relay in relays],
        "cpu_ms": [relay.cpu_s * 1e3 for relay in relays],
        "late_ms": lateness_ms,
        "never": CLIENT_COUNT - len(lateness_ms),
    }


def summarize(values: Sequence[float]) -> dict[str, float]:
    """Returns the median, the 99th percentile and the maximum."""
    ordered = sorted(values)
    return {
        "p50": round(percentile(ordered, 50), 1),
        "p99": round(percentile(ordered, 99), 1),
        "max": round(ordered[-1], 1),
    }


def summary_json(run: dict[str, Any]) -> str:
    return json.dumps(
        {name: summarize(value) if isinstance(value, list) else value for name, value in run.items()}
    )


@click.command()
@click.option("--root", type=click.Path(exists=True, path_type=Path), default=Path("."))
@click.option("--relays", default=1)
@click.option("--runs", default=10)
@click.option("--share", default=1.0, help="Share of a core for each relay.")
@click.option("--period", default=500.0, help="Length of a quota period in milliseconds.")
@click.option("--together", is_flag=True, help="Run all relays on one core.")
def main(root: Path, relays: int, runs: int, share: float, period: float, together: bool) -> None:
    results = []
    for _ in range(runs):
        results.append(trio.run(one_run, root.resolve(), relays, share, period / 1e3, together))
        click.echo(summary_json(results[-1]))
    combined = {
        name: [value for run in results for value in run[name]] for name in ("ready_ms", "cpu_ms", "late_ms")
    }
    slow_runs = sum(max(run["late_ms"]) > 50 for run in results)
    click.echo(
        json.dumps(
            {
                "runs": runs,
                **{name: summarize(values) for name, values in combined.items()},
                "runs_over_50_ms": slow_runs,
                "median_of_worst": round(statistics.median(max(run["late_ms"]) for run in results), 1),
            }
        )
    )


if __name__ == "__main__":
    main()
