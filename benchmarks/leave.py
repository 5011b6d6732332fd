"""SIGTERM to one real relay with thousands of standing connections, and how many clients receive MOVE.

    python benchmarks/leave.py [--tree FOLDER] [--lines-every S] [--through] [SIZE ...]

The relay is `python -m glenfold` of that tree, on loopback. Push servers and clients are two processes of
their own, so that 6,000 connections need 6,000 descriptors in each of them and 12,000 in the relay. Prints
one line of JSON for each size: how many connections received MOVE, were cut without it or were cut within a
line, and when, in seconds after SIGTERM. SIGKILL follows after 3.7 s. `--through` tests pass-through mode, in
which connections have to stand until the end.
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

SERVER_COUNT = 20
MAX_OPENING_CLIENTS = 64  # limit of clients that wait for UP at the same time
KILL_AFTER_S = 3.7
SETTLE_S = 2.0
SPARE_DESCRIPTORS = 200  # descriptors that are needed for other uses than connections
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
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", type=Path, default=Path(__file__).parent.parent)
    parser.add_argument("--lines-every", type=float, default=10.0)
    parser.add_argument("--through", action="store_true")
    parser.add_argument("--log", action="store_true")
    parser.add_argument("sizes", nargs="*", type=int)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # The exit also ends the child processes.
    max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))
    for size in options.sizes or (1000, 3000, 6000):
        if 2 * size + SPARE_DESCRIPTORS > max_descriptors:
            print(json.dumps({"size": size, "left_out": f"only {max_descriptors} descriptors"}), flush=True)
            continue
        print(json.dumps(measure(options, size)), flush=True)
    return 0


def measure(options: argparse.Namespace, size: int) -> dict[str, Any]:
    """Runs one relay with `size` connections until it exits, and returns the figures to print."""
    with tempfile.TemporaryDirectory() as folder:
        to_servers, servers_end = mp.Pipe()
        servers = mp.Process(target=play_servers, args=(servers_end,), daemon=True)
        servers.start()
        log = Path(folder) / "log"
        relay, port = start_relay(options, Path(folder), to_servers.recv(), size)
        to_clients, clients_end = mp.Pipe()
        clients = mp.Process(
            target=play_clients, daemon=True, args=(clients_end, port, size, options.lines_every)
        )
        clients.start()
        clients_end.close()
        try:
            opened_s = to_clients.recv()
            time.sleep(SETTLE_S)
            stopped_at = time.monotonic()
            relay.send_signal(signal.SIGTERM)
            try:
                relay.wait(KILL_AFTER_S)
            except subprocess.TimeoutExpired:
                relay.kill()
            over_s = time.monotonic() - stopped_at
            to_clients.send(stopped_at)
            figures: dict[str, Any] = to_clients.recv()
        finally:
            for process in (relay, clients, servers):
                process.kill()
            relay.wait()
        if options.log:
            print(log.read_text(), file=sys.stderr)
        return {
            "size": size,
            "through": options.through,
            "opened_s": round(opened_s, 1),
            **figures,
            "exit_s": round(over_s, 2),
            "killed": relay.returncode == -signal.SIGKILL,
        }


def start_relay(
    options: argparse.Namespace, folder: Path, ports: list[int], size: int
) -> tuple[subprocess.Popen[bytes], int]:
    """Returns the process of a relay that accepts connections, and its port.

    Raises `SystemExit` with the relay's log if it does not accept within 10 s.
    """
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
    extra = {"extra": {"mode": "pass"}} if options.through else {}
    (folder / "config.json").write_text(
        json.dumps(
            {
                "name": "leaver",
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:9",
                "seed": "1f",
                "limits": {"sockets": 2 * size + SPARE_DESCRIPTORS},
                "known": {"seq": 1, "whole": True, "hosts": hosts},
                "settings": SETTINGS | extra,
            }
        )
    )
    with (folder / "log").open("wb") as log:
        relay = subprocess.Popen(
            [sys.executable, "-m", "glenfold"],
            cwd=options.tree,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "LB_CONFIG": str(folder / "config.json"), "PYTHONPATH": str(options.tree)},
        )
    for _ in range(500):
        with socket.socket() as probe:
            if not probe.connect_ex(("127.0.0.1", port)):
                return relay, port
        time.sleep(0.02)
    relay.kill()
    raise SystemExit((folder / "log").read_text())


# ---- Push servers, which answer every OPEN with UP and echo every other line ----


def play_servers(parent: Connection) -> None:
    poll, socks, listeners = select.epoll(), {}, {}
    for _ in range(SERVER_COUNT):
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
            elif not answer_line(socks[number]):
                socks.pop(number).close()


def answer_line(sock: socket.socket) -> bool:
    try:
        data = sock.recv(4096)
        if data:
            sock.send(b"UP r\r\n" if data.startswith(b"OPEN ") else data)
        return bool(data)
    except OSError:
        return False


# ---- Clients ----


class Clients:
    """All connections to one relay. `endings` holds how and when each of them ended."""

    def __init__(self, port: int, size: int, lines_every: float) -> None:
        self.port, self.size, self.line_interval_s = port, size, lines_every
        self.poll = select.epoll()
        self.socks: dict[int, socket.socket] = {}
        self.received: dict[int, bytes] = {}
        self.up = 0
        self.endings: list[tuple[str, float]] = []
        self.lines_due: list[tuple[float, int]] = []

    def open_all(self) -> None:
        opened = 0
        while self.up < self.size:
            while opened < self.size and opened - self.up < MAX_OPENING_CLIENTS:
                self._open(opened)
                opened += 1
            self.poll_once()
            opened -= len(self.endings)  # Refused clients try again.
            self.endings.clear()
        now = time.monotonic()
        self.lines_due = sorted(
            (now + self.line_interval_s * (number % 997) / 997, number) for number in self.socks
        )

    def _open(self, number: int) -> None:
        sock = socket.create_connection(("127.0.0.1", self.port))
        kind = "feed" if number % 10 == 0 else "watch"
        sock.send(b"OPEN %x %x c=%s,t=valleys,d=3000,g=%x\r\n" % (number, number, kind.encode(), number))
        sock.setblocking(False)
        self.socks[sock.fileno()], self.received[sock.fileno()] = sock, b""
        self.poll.register(sock, select.EPOLLIN)

    def poll_once(self) -> None:
        """Reads what has arrived, and sends the lines that are due."""
        for number, _ in self.poll.poll(0.005):
            self._read(number)
        now = time.monotonic()
        while self.lines_due and self.lines_due[0][0] <= now:
            at, number = heapq.heappop(self.lines_due)
            if number in self.socks:
                try:
                    self.socks[number].send(b"hello\r\n")
                except OSError:
                    continue  # The next poll reads the end of the connection.
                heapq.heappush(self.lines_due, (at + self.line_interval_s, number))

    def _read(self, number: int) -> None:
        try:
            data = self.socks[number].recv(4096)
        except OSError:
            data = b""
        before, self.received[number] = self.received[number], (self.received[number] + data)[-100:]
        if not data:
            self._record_end(number)
        elif not before and data.startswith(b"UP"):
            self.up += 1

    def _record_end(self, number: int) -> None:
        self.socks.pop(number).close()
        last = self.received.pop(number)
        complete_ending = "moved" if last.endswith(b"\r\nMOVE\r\n") else "cut"
        ending = complete_ending if last.endswith(b"\r\n") else "within_a_line"
        self.endings.append((ending, time.monotonic()))


def play_clients(parent: Connection, port: int, size: int, lines_every: float) -> None:
    clients, started_at = Clients(port, size, lines_every), time.monotonic()
    clients.open_all()
    parent.send(time.monotonic() - started_at)
    while clients.socks and not parent.poll():
        clients.poll_once()
    stopped_at = parent.recv()
    until = time.monotonic() + 5.0
    while clients.socks and time.monotonic() < until:
        clients.poll_once()
    counted = Counter(ending for ending, _ in clients.endings)
    move_times = sorted(at - stopped_at for ending, at in clients.endings if ending == "moved")
    parent.send(
        {
            "moved": counted["moved"],
            "cut": counted["cut"],
            "within_a_line": counted["within_a_line"],
            "still_open": len(clients.socks),
            "moves_s": [round(move_times[n * (len(move_times) - 1) // 4], 2) for n in range(5)]
            if move_times
            else [],
        }
    )


if __name__ == "__main__":
    raise SystemExit(main())
