"""SIGTERM to one real relay with thousands of standing connections: how many clients are told to move.

    python benchmarks/leave.py [--tree FOLDER] [--lines-every S] [--through] [SIZE ...]

The relay is `python -m glenfold` of that tree, on loopback; push servers and clients are two processes of
their own, so that 6,000 connections need 6,000 descriptors in each and 12,000 in the relay. One line of JSON
for each size: how many were sent MOVE, cut without it, cut within a line, and when, in seconds after SIGTERM.
SIGKILL comes at 3.7 s. `--through`: where packets pass through, and connections are to stand until the end.
"""

import argparse
import heapq
import json
import multiprocessing as mp
import os
import resource
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

SERVERS = 20
OPENING = 64  # clients that wait for their UP at once
KILL_S = 3.7
SETTLE_S = 2.0
SPARE = 200  # descriptors beside those of connections
SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "feed",
            "aim_us": 500_000,
            "hard_limit_us": 3_000_000,
            "semantics": "repeatable",
            "worth": 4.0,
        },
        {"name": "watch", "aim_us": 500_000, "hard_limit_us": 3_000_000, "semantics": "repeatable"},
    ],
    "accounts": [{"name": "valleys"}],
    "areas": ["cardiff"],
    "kinds": ["m"],
    "ceilings": {"max_attempts": 3, "retry_after": True, "max_retry_after_us": 700_000},
    "period_us": 2000,
}


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--tree", type=Path, default=Path(__file__).parent.parent)
    words.add_argument("--lines-every", type=float, default=10.0)
    words.add_argument("--through", action="store_true")
    words.add_argument("--log", action="store_true")
    words.add_argument("sizes", nargs="*", type=int)
    told = words.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # so that the processes below end too
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    for size in told.sizes or (1000, 3000, 6000):
        if 2 * size + SPARE > hard:
            print(json.dumps({"size": size, "left_out": f"only {hard} descriptors"}), flush=True)
            continue
        print(json.dumps(measure(told, size)), flush=True)
    return 0


def measure(told: argparse.Namespace, size: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        to_servers, servers_end = mp.Pipe()
        servers = mp.Process(target=play_servers, args=(servers_end,), daemon=True)
        servers.start()
        log = Path(folder) / "log"
        relay, port = start_relay(told, Path(folder), to_servers.recv(), size)
        to_clients, clients_end = mp.Pipe()
        clients = mp.Process(
            target=play_clients, daemon=True, args=(clients_end, port, size, told.lines_every)
        )
        clients.start()
        clients_end.close()
        try:
            opened_s = to_clients.recv()
            time.sleep(SETTLE_S)
            stopped = time.monotonic()
            relay.send_signal(signal.SIGTERM)
            try:
                relay.wait(KILL_S)
            except subprocess.TimeoutExpired:
                relay.kill()
            over_s = time.monotonic() - stopped
            to_clients.send(stopped)
            found: dict[str, Any] = to_clients.recv()
        finally:
            for process in (relay, clients, servers):
                process.kill()
            relay.wait()
        if told.log:
            print(log.read_text(), file=sys.stderr)
        return {
            "size": size,
            "through": told.through,
            "opened_s": round(opened_s, 1),
            **found,
            "exit_s": round(over_s, 2),
            "killed": relay.returncode == -signal.SIGKILL,
        }


def start_relay(
    told: argparse.Namespace, folder: Path, ports: list[int], size: int
) -> tuple[subprocess.Popen[bytes], int]:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    hosts = [
        {
            "host": f"s-{n}",
            "dial": f"127.0.0.1:{at}",
            "site": "cardiff",
            "class": "m",
            "block": n,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }
        for n, at in enumerate(ports)
    ]
    extra = {"extra": {"mode": "pass"}} if told.through else {}
    (folder / "config.json").write_text(
        json.dumps(
            {
                "name": "leaver",
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:9",
                "seed": "1f",
                "limits": {"sockets": 2 * size + SPARE},
                "known": {"seq": 1, "whole": True, "hosts": hosts},
                "settings": SETTINGS | extra,
            }
        )
    )
    with (folder / "log").open("wb") as log:
        relay = subprocess.Popen(
            [sys.executable, "-m", "glenfold"],
            cwd=told.tree,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "LB_CONFIG": str(folder / "config.json"), "PYTHONPATH": str(told.tree)},
        )
    for _ in range(500):
        with socket.socket() as probe:
            if not probe.connect_ex(("127.0.0.1", port)):
                return relay, port
        time.sleep(0.02)
    relay.kill()
    raise SystemExit((folder / "log").read_text())


# ---- push servers: whatever opens is up, and every line comes back ----


def play_servers(parent: Connection) -> None:
    poll, socks, listeners = select.epoll(), {}, {}
    for _ in range(SERVERS):
        sock = socket.create_server(("127.0.0.1", 0), backlog=1024)
        sock.setblocking(False)
        listeners[sock.fileno()] = sock
        poll.register(sock, select.EPOLLIN)
    parent.send([sock.getsockname()[1] for sock in listeners.values()])
    while True:
        for number, _ in poll.poll():
            if number in listeners:
                sock, _ = listeners[number].accept()
                socks[sock.fileno()] = sock
                poll.register(sock, select.EPOLLIN)
            elif not answer(socks[number]):
                socks.pop(number).close()


def answer(sock: socket.socket) -> bool:
    try:
        data = sock.recv(4096)
        if data:
            sock.send(b"UP r\r\n" if data.startswith(b"OPEN ") else data)
        return bool(data)
    except OSError:
        return False


# ---- clients ----


class Clients:
    """All connections to one relay; `ends`: how each was over, and when."""

    def __init__(self, port: int, size: int, lines_every: float) -> None:
        self.port, self.size, self.every = port, size, lines_every
        self.poll = select.epoll()
        self.socks: dict[int, socket.socket] = {}
        self.heard: dict[int, bytes] = {}
        self.up = 0
        self.ends: list[tuple[str, float]] = []
        self.due: list[tuple[float, int]] = []

    def open_all(self) -> None:
        begun = 0
        while self.up < self.size:
            while begun < self.size and begun - self.up < OPENING:
                self._open(begun)
                begun += 1
            self.turn()
            begun -= len(self.ends)  # refused: they come again
            self.ends.clear()
        now = time.monotonic()
        self.due = sorted((now + self.every * (number % 997) / 997, number) for number in self.socks)

    def _open(self, number: int) -> None:
        sock = socket.create_connection(("127.0.0.1", self.port))
        kind = "feed" if number % 10 == 0 else "watch"
        sock.send(b"OPEN %x %x c=%s,t=valleys,d=3000,g=%x\r\n" % (number, number, kind.encode(), number))
        sock.setblocking(False)
        self.socks[sock.fileno()], self.heard[sock.fileno()] = sock, b""
        self.poll.register(sock, select.EPOLLIN)

    def turn(self) -> None:
        """What has come, and the lines that are due."""
        for number, _ in self.poll.poll(0.005):
            self._read(number)
        now = time.monotonic()
        while self.due and self.due[0][0] <= now:
            at, number = heapq.heappop(self.due)
            if number in self.socks:
                try:
                    self.socks[number].send(b"hello\r\n")
                except OSError:
                    continue  # its end is read next
                heapq.heappush(self.due, (at + self.every, number))

    def _read(self, number: int) -> None:
        try:
            data = self.socks[number].recv(4096)
        except OSError:
            data = b""
        before, self.heard[number] = self.heard[number], (self.heard[number] + data)[-100:]
        if not data:
            self._over(number)
        elif not before and data.startswith(b"UP"):
            self.up += 1

    def _over(self, number: int) -> None:
        self.socks.pop(number).close()
        last = self.heard.pop(number)
        whole = "moved" if last.endswith(b"\r\nMOVE\r\n") else "cut"
        how = whole if last.endswith(b"\r\n") else "within_a_line"
        self.ends.append((how, time.monotonic()))


def play_clients(parent: Connection, port: int, size: int, lines_every: float) -> None:
    clients, began = Clients(port, size, lines_every), time.monotonic()
    clients.open_all()
    parent.send(time.monotonic() - began)
    while clients.socks and not parent.poll():
        clients.turn()
    stopped = parent.recv()
    until = time.monotonic() + 5.0
    while clients.socks and time.monotonic() < until:
        clients.turn()
    counted = Counter(how for how, _ in clients.ends)
    moments = sorted(at - stopped for how, at in clients.ends if how == "moved")
    parent.send(
        {
            "moved": counted["moved"],
            "cut": counted["cut"],
            "within_a_line": counted["within_a_line"],
            "still_open": len(clients.socks),
            "moves_s": [round(moments[n * (len(moments) - 1) // 4], 2) for n in range(5)] if moments else [],
        }
    )


if __name__ == "__main__":
    raise SystemExit(main())
