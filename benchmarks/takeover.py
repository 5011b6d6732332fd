"""Restarts of one instance by take-over, under a stream of clients.

    python -m benchmarks.takeover [RESTARTS] [CLIENTS_A_SECOND]

Real processes on loopback (default ten restarts, 200 clients a second, each standing for 0.3 s): refused and
reset connects, the lab's checker on every request, how long each restart took, and set-ups from the intended
moment of the connect, while a restart runs and between restarts. Under a minute.
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
STANDS_S = 0.3
REST_S = 0.5  # between two restarts
MOST_S = 5.0  # that one restart may take to own its name, and then to end
LOOK_S = 0.01
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


# ---- the instance ----


async def serve(folder: Path) -> None:
    config = platform.read_config({"LB_CONFIG": str(folder / "config.json")})
    place = TakeoverLocation(folder, NAME)
    try:
        listeners, taken = await obtain_listeners(place, [config.listen], [], trio.current_time() + MOST_S)
    except Refused as refused:
        sys.exit(str(refused))
    process = Process(
        config,
        lambda now: (now, []),
        listeners=listeners,
        start_paused=taken is not None,
        background_tasks=[TakeoverServer(place, None, taken)],
    )
    await process.run()


# ---- what is round it ----


def now_us() -> int:
    return round(trio.current_time() * 1_000_000)


@dataclass
class Load:
    """Clients, the push server behind, and what was seen of both. set_ups: intended moment and length, in
    seconds; ended: how connections ended."""

    address: Address
    seen: Recorder = field(default_factory=Recorder)
    set_ups: list[tuple[float, float]] = field(default_factory=list)
    ended: Counter[str] = field(default_factory=Counter)
    asked: int = 0
    arriving: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def push_server(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            line = await stream.receive_some(4096)
            request = int(line.split(b" ")[1], 16)
            self.seen.sent(now_us(), request, 0, SERVER, now_us())
            self.seen.attempt_over(now_us(), request, SERVER, AttemptOutcome.UP)
            await stream.send_all(UP)
            while await stream.receive_some(4096):
                pass

    async def clients(self, per_s: float) -> None:
        """Until `arriving` is cancelled; then those that are there are waited for."""
        due = trio.current_time()
        async with trio.open_nursery() as nursery:
            with self.arriving:
                while True:
                    await trio.sleep_until(due)
                    nursery.start_soon(self._client, due)
                    due += 1 / per_s

    async def _client(self, due: float) -> None:
        self.asked += 1
        request, how = self.asked, "answered"
        try:
            async with await trio.open_tcp_stream(*self.address) as stream:
                how = await self._talk(stream, request, due)
        except (OSError, trio.BrokenResourceError) as error:
            cause = error.__cause__ or error
            how = "refused" if isinstance(cause, ConnectionRefusedError) else f"lost: {cause!r}"
        self.ended[how] += 1

    async def _talk(self, stream: trio.SocketStream, request: int, due: float) -> str:
        await stream.send_all(b"OPEN %016x %016x c=watch,t=valleys,d=2000\r\n" % (request, request))
        self.seen.taken(now_us(), request, 0, now_us() + 2_000_000, 0)
        line = await stream.receive_some(4096)
        final = Final.UP if line == UP else Final.CLOSED if not line else Final.ERROR
        self.seen.answered(now_us(), request, final, SERVER, 0)
        if final is not Final.UP:
            return f"answered {line.decode()!r}"
        self.set_ups.append((due, trio.current_time() - due))
        said = b""
        with trio.move_on_at(trio.current_time() + STANDS_S):
            said = await stream.receive_some(4096)
            self.seen.ended(now_us(), request, 1)
        return {b"": "stood", b"MOVE\r\n": "moved"}.get(said, f"told {said.decode()!r}")

    def verdicts(self) -> int:
        checker = Checker(Rules(), SLACK_US)
        replay(self.seen.records, checker)
        checker.finish(now_us() + 10_000_000)
        for verdict in checker.verdicts():
            print(verdict)
        return len(checker.verdicts()) + checker.left_out


class Instance:
    """One process after the other of that name."""

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

    def says(self, event: str) -> int:
        return (self.folder / "log").read_text().count(event)

    async def said(self, event: str, times: int) -> None:
        with trio.fail_at(trio.current_time() + MOST_S):
            while self.says(event) < times:
                await trio.sleep(LOOK_S)

    async def restart(self, number: int) -> tuple[float, float]:
        """Seconds from its start to when it owns the name, and to when the old one has ended."""
        old, began = self.process, trio.current_time()
        self.process = self._spawn()
        await self.said("took over", number)
        owned = trio.current_time() - began
        with trio.fail_at(trio.current_time() + MOST_S):
            while old.poll() is None:
                await trio.sleep(LOOK_S)
        return owned, trio.current_time() - began

    def end(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._log.close()


async def measure(folder: Path, restarts: int, per_s: float) -> bool:
    load = Load(free_address("127.0.0.1"))
    load.seen.server_started(0, SERVER, Capacity(1e6, 0.2, 1), False)
    load.seen.told(0, 0, SERVER, ListedState.READY, 0)
    spans: list[tuple[float, float, float]] = []
    async with trio.open_nursery() as nursery:
        served = await nursery.start(trio.serve_tcp, load.push_server, 0)
        write(folder, load.address, served[0].socket.getsockname())
        instance = Instance(folder)
        try:
            await instance.said("listens on", 1)
            async with trio.open_nursery() as around:
                around.start_soon(load.clients, per_s)
                for number in range(1, restarts + 1):
                    await trio.sleep(REST_S)
                    began = trio.current_time()
                    spans.append((began, *await instance.restart(number)))
                await trio.sleep(REST_S)
                load.arriving.cancel()
        finally:
            nursery.cancel_scope.cancel()
            instance.end()
    return report(load, spans)


def write(folder: Path, address: Address, server: Address) -> None:
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
    known = {"seq": 1, "whole": True, "hosts": [entry]}
    (folder / "config.json").write_text(
        json.dumps(
            {
                "name": NAME,
                "listen": format_address(address),
                "discovery": "127.0.0.1:9",
                "seed": "1f",
                "known": known,
                "settings": SETTINGS,
            }
        )
    )


def report(load: Load, spans: list[tuple[float, float, float]]) -> bool:
    owned, ended = (np.array([span[place] for span in spans]) for place in (1, 2))
    print(f"{len(spans)} restarts, {load.asked} clients")
    print(f"owns its name after {spread(owned)} s; the old one has ended after {spread(ended)} s")
    inside = [any(began <= due <= began + end for began, _, end in spans) for due, _ in load.set_ups]
    for name, wanted in (("while a restart runs", True), ("between restarts", False)):
        lengths = [length for (_, length), held in zip(load.set_ups, inside, strict=True) if held is wanted]
        p50, p99, most = np.percentile(lengths, (50, 99, 100)) * 1000
        print(f"set-ups {name}: {len(lengths)}, p50 {p50:.1f}, p99 {p99:.1f}, most {most:.1f} ms")
    print("connections:", dict(sorted(load.ended.items())), "in all", sum(load.ended.values()))
    broken = load.verdicts()
    lost = sum(count for how, count in load.ended.items() if how not in ("stood", "moved"))
    print(f"refused connects {load.ended['refused']}, lost {lost}, broken rules {broken}")
    return not lost and not broken


def spread(values: Any) -> str:
    return f"{np.median(values):.2f} ({values.min():.2f} to {values.max():.2f})"


def main(restarts: int, per_s: float) -> int:
    with tempfile.TemporaryDirectory() as folder:
        sound = trio.run(measure, Path(folder), restarts, per_s)
    return 0 if sound else 1


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
