"""Clients that try to exhaust a real relay of 192 MB and 1,024 descriptors, beside ordinary ones.

    python benchmarks/hostile_clients.py [--tree FOLDER] [--seconds S] [--sockets N] [PLAY ...]

Each play starts `python -m glenfold` of that tree, on loopback, and prints one line of JSON: whether the
relay lived, its peak memory and most descriptors, and for the ordinary clients the longest time to an answer
and to the return of a line, and how many got none. The hostile clients and the push servers run in processes
of their own. `lag_s` is the longest time by which this script itself was late. A push server does what the
parameter `zz` of a first line tells it, as a relay passes unknown parameters on. Results are in
benchmarks/hostile.
"""

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

MEMORY_MB = 192
SERVERS = 4
PROBE_INTERVAL_S = 0.2
WAIT_S = 2.0  # that ordinary clients give the relay for their answer
SHORT_FIELDS = b"".join(b",%x=" % number for number in range(0x300, 0x300 + 640))  # 3.2 KB
CLASSES = [("watch", "repeatable"), ("order", "once"), ("note", "by_key")]
SETTINGS = {
    "classes": [
        {
            "name": name,
            "semantics": semantics,
            "hard_limit_us": 3_000_000,
            "window_us": 5_000_000,
            "group": "all",
        }
        for name, semantics in CLASSES
    ],
    "accounts": [{"name": "valleys"}],
    "areas": ["cardiff"],
    "kinds": ["m"],
    "ceilings": {"max_attempts": 5, "retry_after": True, "max_retry_after_us": 700_000},
    "extra": {"mode": "pass", "message_aim_us": [250_000.0] * 3},
    "period_us": 2000,
}


def open_line(kind: str = "echo", more: bytes = b"", name: str = "watch") -> bytes:
    """Returns a first line with a new id, at a server of this kind."""
    number = random.getrandbits(63)
    return b"OPEN %x %x c=%s,t=valleys,d=2000,zz=%s%s\r\n" % (
        number,
        number,
        name.encode(),
        kind.encode(),
        more,
    )


# ---- push servers ----


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A push server: `echo`, `silent`, `deaf` (never reads again), `loud` (writes all the time) or `half`."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        first = await reader.readuntil(b"\r\n")
        kind = re.findall(rb"zz=(\w+)", first)[0].decode()
        if kind != "silent":
            writer.write(b"UP r\r\n")
        if kind == "deaf":
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(60)
        if kind == "half":
            writer.write(b"#" * 4000)
        while kind == "loud":
            writer.write(b"tick\r\n" * 1000)
            await writer.drain()
        while data := await reader.read(1 << 16):
            if kind == "echo":
                writer.write(data)
                await writer.drain()
    writer.close()


# ---- hostile clients, in a process of their own ----


class Crowd:
    """Hostile clients that go on until they are ended."""

    def __init__(self, port: int, clients: int) -> None:
        self.port = port
        self.clients = clients
        self.socks: list[socket.socket] = []

    def connect(self, first: bytes) -> socket.socket | None:
        """Connects one client, which sends `first`; returns None if the relay refuses it."""
        try:
            sock = socket.create_connection(("127.0.0.1", self.port), timeout=2.0)
            sock.sendall(first)
        except OSError:
            return None
        self.socks.append(sock)
        return sock

    def crowd(self, make_first: Callable[[], bytes]) -> None:
        """Connects all clients at once, of which the relay may refuse some."""
        for _ in range(self.clients):
            self.connect(make_first())

    def wait_for_answers(self) -> None:
        """Waits for the answer to each first line, as data before it is refused."""
        for sock in self.socks:
            with contextlib.suppress(OSError):
                sock.recv(100)

    def keep_sending(self, data: bytes, interval_s: float) -> None:
        """Sends `data` on all connections, as far as they take it, and reads nothing."""
        for sock in self.socks:
            sock.setblocking(False)
        while True:
            for sock in self.socks:
                with contextlib.suppress(OSError):
                    sock.send(data)
            time.sleep(interval_s)

    def flood(self, first: bytes, data: bytes, reads: bool) -> None:
        """Sends `data` on one connection at full speed; connects anew where the relay ends it."""
        while True:
            sock = self.connect(first)
            if sock is None:
                continue
            if first:
                self.wait_for_answers()
            sock.settimeout(0.05)
            self.socks.clear()
            with contextlib.suppress(ConnectionError):
                while True:
                    with contextlib.suppress(TimeoutError):
                        sock.send(data)
                        if reads and not sock.recv(1 << 16):
                            break
            sock.close()

    def storm(self, make_first: Callable[[], bytes]) -> None:
        """Makes one connection after the other, each with a first line of its own, and leaves at once."""
        while True:
            sock = self.connect(make_first())
            if sock is not None:
                sock.close()
            self.socks.clear()


def slow_heads(crowd: Crowd) -> None:
    crowd.crowd(lambda: b"OPEN 1")
    crowd.keep_sending(b"1", 0.1)


def half_heads(crowd: Crowd) -> None:
    crowd.crowd(lambda: open_line(more=SHORT_FIELDS)[:2000])


def short_fields(crowd: Crowd) -> None:
    crowd.crowd(lambda: open_line(more=SHORT_FIELDS))


def short_fields_unanswered(crowd: Crowd) -> None:
    while True:
        crowd.crowd(lambda: open_line("silent", SHORT_FIELDS))
        time.sleep(1.0)


def early_bytes(crowd: Crowd) -> None:
    while True:
        crowd.crowd(lambda: open_line("silent", b",mid=1") + b"M 1\r\n" * 4000)
        time.sleep(1.0)


def deaf_servers(crowd: Crowd) -> None:
    crowd.crowd(lambda: open_line("deaf"))
    crowd.wait_for_answers()
    crowd.keep_sending(b"M 1\r\n" * 4000, 0.05)


def deaf_clients(crowd: Crowd) -> None:
    crowd.crowd(lambda: open_line("loud"))


def half_lines(crowd: Crowd) -> None:
    crowd.crowd(lambda: open_line("half", SHORT_FIELDS))
    crowd.wait_for_answers()
    crowd.keep_sending(b"#", 0.5)


def pings(crowd: Crowd) -> None:
    crowd.flood(b"", b"PING\r\n" * 500, reads=True)


def pings_unread(crowd: Crowd) -> None:
    crowd.flood(b"", b"PING\r\n" * 500, reads=False)


def small_lines(crowd: Crowd) -> None:
    crowd.flood(open_line(), b"\r\n" * 8000, reads=True)


def load_lines(crowd: Crowd) -> None:
    crowd.flood(open_line(), b"LOAD 1\r\n" * 2000, reads=True)


def unsound_lines(crowd: Crowd) -> None:
    crowd.flood(b"", b"OPEN \r\n" * 500, reads=True)


def new_names(crowd: Crowd) -> None:
    crowd.storm(lambda: open_line(name=f"n{random.getrandbits(60):x}"))


def new_groups(crowd: Crowd) -> None:
    def first() -> bytes:
        return open_line("silent", b",t%x=1,g=%x" % (random.getrandbits(60), random.getrandbits(60)), "order")

    crowd.storm(first)


def new_keyed(crowd: Crowd) -> None:
    crowd.storm(lambda: open_line("echo", name="note"))


PLAYS = (
    slow_heads,
    half_heads,
    short_fields,
    short_fields_unanswered,
    early_bytes,
    deaf_servers,
    deaf_clients,
    half_lines,
    pings,
    pings_unread,
    small_lines,
    load_lines,
    unsound_lines,
    new_names,
    new_groups,
    new_keyed,
)


def play_hostile(name: str, port: int, clients: int) -> None:
    random.seed(1)
    crowd = Crowd(port, clients)
    next(play for play in PLAYS if play.__name__ == name)(crowd)
    signal.pause()


# ---- the relay and its ordinary clients ----


class Ordinary:
    """Ordinary clients: one connection that stands, and a new one in each interval."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.longest_answer_s = self.longest_line_s = self.lag_s = 0.0
        self.answers: dict[str, int] = {}
        self.line_failures = 0

    async def watch_lag(self) -> None:
        while True:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.lag_s = max(self.lag_s, time.monotonic() - due)

    async def come(self) -> None:
        """Connects one client and measures the time to its answer."""
        began, answer = time.monotonic(), "none"
        try:
            async with asyncio.timeout(WAIT_S + 0.5):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(open_line())
                answer = (await reader.readline()).decode().partition(" ")[0].strip() or "closed"
                self.longest_answer_s = max(self.longest_answer_s, time.monotonic() - began)
                writer.close()
        except TimeoutError:
            pass
        except OSError:
            answer = "reset"
        self.answers[answer] = self.answers.get(answer, 0) + 1

    async def stand(self) -> None:
        """Sends lines on one connection and measures the time to the return of each."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(open_line())
        await reader.readline()
        number = 0
        while True:
            number += 1
            sent_at = time.monotonic()
            line = b"M %d\r\n" % number
            writer.write(line)
            if await reader.readline() != line:
                self.line_failures += 1
                return
            self.longest_line_s = max(self.longest_line_s, time.monotonic() - sent_at)
            await asyncio.sleep(PROBE_INTERVAL_S)


async def start_relay(options: argparse.Namespace, folder: Path, hosts: list[Any]) -> tuple[Any, int]:
    """Returns the process of a relay that answers PING, and its port."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    document = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:9",
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": options.sockets},
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": SETTINGS,
    }
    (folder / "config.json").write_text(json.dumps(document))
    environment = {"PATH": os.environ["PATH"], "LB_CONFIG": str(folder / "config.json")}
    with (folder / "log").open("wb") as log:
        relay = subprocess.Popen(
            [sys.executable, "-m", "glenfold"], cwd=options.tree, env=environment, stdout=log, stderr=log
        )
    for _ in range(200):
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"PING\r\n")
            answer = await reader.readline()
            writer.close()
            if answer == b"PONG\r\n":
                return relay, port
        await asyncio.sleep(0.05)
    raise SystemExit((folder / "log").read_text())


def peak_mb(relay: Any) -> int:
    status = Path(f"/proc/{relay.pid}/status").read_text()
    return int(re.findall(r"VmHWM:\s+(\d+)", status)[0]) // 1024


async def play_servers(listeners: list[socket.socket]) -> None:
    servers = [await asyncio.start_server(serve, sock=listener, backlog=1024) for listener in listeners]
    await asyncio.gather(*(server.serve_forever() for server in servers))


def run_servers(listeners: list[socket.socket]) -> None:
    asyncio.run(play_servers(listeners))


async def play(options: argparse.Namespace, name: str) -> dict[str, Any]:
    listeners = [socket.create_server(("127.0.0.1", 0), backlog=1024) for _ in range(SERVERS)]
    context = multiprocessing.get_context("spawn")
    servers = context.Process(target=run_servers, args=(listeners,), daemon=True)
    servers.start()
    hosts = [
        {
            "host": f"s-{n}",
            "dial": f"127.0.0.1:{listener.getsockname()[1]}",
            "site": "cardiff",
            "class": "m",
            "block": 1,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }
        for n, listener in enumerate(listeners)
    ]
    with tempfile.TemporaryDirectory() as folder:
        relay, port = await start_relay(options, Path(folder), hosts)
        ordinary, tasks = Ordinary(port), set[asyncio.Task[None]]()
        tasks.add(asyncio.create_task(ordinary.stand()))
        tasks.add(asyncio.create_task(ordinary.watch_lag()))
        await asyncio.sleep(0.5)
        hostile = context.Process(target=play_hostile, args=(name, port, options.clients), daemon=True)
        hostile.start()
        most_descriptors, until = 0, time.monotonic() + options.seconds
        while time.monotonic() < until and relay.poll() is None:
            tasks.add(asyncio.create_task(ordinary.come()))
            most_descriptors = max(most_descriptors, len(os.listdir(f"/proc/{relay.pid}/fd")))
            await asyncio.sleep(PROBE_INTERVAL_S)
        peak, lives = (peak_mb(relay), True) if relay.poll() is None else (0, False)
        relay.send_signal(signal.SIGUSR1)
        hostile.kill()
        hostile.join()
        await asyncio.sleep(WAIT_S + 0.5)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        relay.kill()
        relay.wait()
        log = (Path(folder) / "log").read_text()
    servers.kill()
    servers.join()
    for listener in listeners:
        listener.close()
    return {
        "play": name,
        "lives": lives,
        "peak_mb": peak,
        "descriptors": most_descriptors,
        "answers": ordinary.answers,
        "longest_answer_s": round(ordinary.longest_answer_s, 2),
        "longest_line_s": round(ordinary.longest_line_s, 2),
        "line_failures": ordinary.line_failures,
        "lag_s": round(ordinary.lag_s, 2),
        "errors": len(re.findall("ERROR", log)),
        "relay": {
            name: int(count)
            for name, count in re.findall(r"(\w+)=([1-9]\d*)", log.rpartition("counters: ")[2])
        },
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", type=Path, default=Path(__file__).parent.parent)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--clients", type=int, default=700)
    parser.add_argument("plays", nargs="*", default=[play.__name__ for play in PLAYS])
    options = parser.parse_args()
    for name in options.plays:
        print(json.dumps(asyncio.run(play(options, name))), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
