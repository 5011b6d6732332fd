"""How long relays take to be ready, what that costs, and whether their first attempts are on time.

    python -m benchmarks.start [--root .] [--relays 1] [--runs 10] [--share 0.25 --period 500 | --together]

Each run starts that many relays at once, each a process of its own, and waits until all answer PING. In the
second after that 100 clients come, 40 of them at once. One line of JSON a run and one for all: milliseconds
from exec to PONG and CPU milliseconds by then, and how late the first attempts reached their push server,
counted from the moment that the client sent its line.

`--share`: a part of a core for each relay, as a scheduler with quotas gives it: one that has used its part of
a `--period` (milliseconds) is stopped until the next. `--together`: all relays on one core. `--root`: the
checkout whose relays are started, so that two revisions can be compared.
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

SERVERS = 16
CLIENTS = 100
AT_ONCE = 40
SET_UP_S = 0.005
LOOK_S = 0.01  # between two PINGs to a relay that starts
LIMIT_LOOK_S = 0.002
SETTINGS: dict[str, Any] = {
    "classes": [{"name": "watch", "aim_us": 500_000, "hard_limit_us": 3_000_000, "semantics": "repeatable"}],
    "accounts": [{"name": "all"}],
    "areas": ["here"],
    "kinds": ["m"],
    "ceilings": {"max_attempts": 2},
    "extra": {"mode": "pass", "message_aim_us": [100_000.0]},
}


class Arrivals:
    """Push servers that say UP after a moment; when each client's line first came."""

    def __init__(self) -> None:
        self.at: dict[bytes, float] = {}
        self._listeners = [bind("127.0.0.1") for _ in range(SERVERS)]
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
            nursery.start_soon(self._talk, sock)

    async def _talk(self, sock: trio.socket.SocketType) -> None:
        with sock, suppress(OSError):
            line = await sock.recv(4096)
            self.at.setdefault(line.split(b" ", 2)[1], time.monotonic())
            await trio.sleep(SET_UP_S)
            await send_all(sock, b"UP r\r\n")
            await sock.recv(1)


class Started:
    """One relay's process."""

    def __init__(
        self,
        root: Path,
        folder: Path,
        discovery: Address,
        known: dict[str, object],
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
            "known": known,
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

    def used_s(self) -> float:
        """CPU seconds so far."""
        try:
            tasks = Path(f"/proc/{self.process.pid}/task").glob("*/schedstat")
            return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9
        except (OSError, IndexError):
            return 0.0

    async def until_ready(self) -> None:
        while await ping(self.listen) is not PingResult.ANSWERED:
            if self.process.poll() is not None:
                raise click.ClickException("a relay has ended")
            await trio.sleep(LOOK_S)
        self.ready_s, self.cpu_s = time.monotonic() - self.exec_at, self.used_s()

    def end(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


class Quota(threading.Thread):
    """Stops each relay that has used its part of the period, until the next one begins."""

    def __init__(self, relays: Sequence[Started], share: float, period_s: float) -> None:
        super().__init__(daemon=True)
        self._relays, self._quota_s, self._period_s = relays, share * period_s, period_s
        self.over = threading.Event()

    def run(self) -> None:
        while not self.over.is_set():
            ends = time.monotonic() + self._period_s
            left = {relay: relay.used_s() + self._quota_s for relay in self._relays}
            for relay in self._relays:
                relay.process.send_signal(signal.SIGCONT)
            while time.monotonic() < ends and not self.over.wait(LIMIT_LOOK_S):
                for relay in [relay for relay, most in left.items() if relay.used_s() >= most]:
                    del left[relay]
                    relay.process.send_signal(signal.SIGSTOP)


@contextmanager
def limited(relays: Sequence[Started], share: float, period_s: float) -> Iterator[None]:
    quota = Quota(relays, share, period_s)
    if share < 1:
        quota.start()
    try:
        yield
    finally:
        quota.over.set()
        if share < 1:
            quota.join()
        for relay in relays:
            relay.end()


async def client(number: int, relay: Started, sent: dict[bytes, float]) -> None:
    name = b"%016x" % number
    with trio.socket.socket() as sock, suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.connect(relay.listen)
        sent[name] = time.monotonic()
        await send_all(sock, b"OPEN %s %x c=watch,t=all,d=3000\r\n" % (name, number * 2654435761))
        await sock.recv(4096)
        await trio.sleep_forever()


async def one_run(root: Path, count: int, share: float, period_s: float, together: bool) -> dict[str, Any]:
    arrivals, core = Arrivals(), max(os.sched_getaffinity(0)) if together else None
    sent: dict[bytes, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            await arrivals.serve(nursery)
            agent = Agent(range(count), "127.0.0.1", ListState(1, arrivals.entries), Seen(), MachineClock())
            await nursery.start(agent.serve)
            known = full_list_document(1, arrivals.entries)
            relays = [
                Started(root, Path(folder, f"n{n}"), agent.address, known, share, core) for n in range(count)
            ]
            with limited(relays, share, period_s):
                async with trio.open_nursery() as starting:
                    for relay in relays:
                        starting.start_soon(relay.until_ready)
                began = trio.current_time()
                for number in range(1, CLIENTS + 1):
                    await trio.sleep_until(began + max(0, number - AT_ONCE) / (CLIENTS - AT_ONCE))
                    nursery.start_soon(client, number, relays[number % count], sent)
                await trio.sleep_until(began + 1.5)
            nursery.cancel_scope.cancel()
    late = sorted((arrivals.at[name] - at) * 1e3 for name, at in sent.items() if name in arrivals.at)
    return {
        "ready_ms": [relay.ready_s * 1e3 for relay in relays],
        "cpu_ms": [relay.cpu_s * 1e3 for relay in relays],
        "late_ms": late,
        "never": CLIENTS - len(late),
    }


def figures(values: Sequence[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        "p50": round(percentile(ordered, 50), 1),
        "p99": round(percentile(ordered, 99), 1),
        "max": round(ordered[-1], 1),
    }


def told(run: dict[str, Any]) -> str:
    return json.dumps(
        {name: figures(value) if isinstance(value, list) else value for name, value in run.items()}
    )


@click.command()
@click.option("--root", type=click.Path(exists=True, path_type=Path), default=Path("."))
@click.option("--relays", default=1)
@click.option("--runs", default=10)
@click.option("--share", default=1.0, help="of a core, for each relay")
@click.option("--period", default=500.0, help="milliseconds")
@click.option("--together", is_flag=True, help="all relays on one core")
def main(root: Path, relays: int, runs: int, share: float, period: float, together: bool) -> None:
    done = []
    for _ in range(runs):
        done.append(trio.run(one_run, root.resolve(), relays, share, period / 1e3, together))
        click.echo(told(done[-1]))
    whole = {
        name: [value for run in done for value in run[name]] for name in ("ready_ms", "cpu_ms", "late_ms")
    }
    low = sum(max(run["late_ms"]) > 50 for run in done)
    click.echo(
        json.dumps(
            {
                "runs": runs,
                **{name: figures(values) for name, values in whole.items()},
                "runs_over_50_ms": low,
                "median_of_worst": round(statistics.median(max(run["late_ms"]) for run in done), 1),
            }
        )
    )


if __name__ == "__main__":
    main()
