"""Clients that leave while their request waits, at one real relay: how many are sent on afterwards.

    python benchmarks/left_waiting.py [--tree FOLDER] [--clients N] [--seed S] [--lags] [--ends HOW ...]

The relay is `python -m glenfold` of that tree, on loopback. Of its push servers a third answers nothing, a
third is full, and a third comes up late (its queue of new connections is full for about a second). Each
client leaves within 1.5 s of its line: by an end, by a reset, or, in mid flow, by an end behind bytes that it
sent early (where `--ends` asks for it, behind a flood: more than the kernel takes for who reads none).
`--lags`: the relay is stopped for 0.5 s of each second, so that its loop is late with everything. One line of
JSON: clients that left while they waited, how many lines reached a server's machine after that, how many of
these over 0.1 s after (must be 0), and what the relay counted.
"""

import argparse
import json
import random
import re
import signal
import socket
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

import leave

from glenfold.net.sockets import kernel_times

LATE_S = 0.1
WITHIN_S = 1.5
SERVERS = 9
EVERY_S = 0.02  # between two clients
ENDS = ("end", "reset", "behind bytes")
BEHIND = {"behind bytes": 2_000, "behind a flood": 60_000}  # lines sent early


class Seen:
    """What the push servers and the clients saw, by the clients' ids."""

    def __init__(self) -> None:
        self.sent_at: dict[bytes, list[float]] = {}
        self.left_at: dict[bytes, float] = {}
        self.answers: Counter[str] = Counter()


def serve(listener: socket.socket, kind: str, seen: Seen) -> None:
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=attend, args=(sock, kind, seen), daemon=True).start()
        if kind == "late":  # the kernel queues one more, and drops whoever comes beyond that for a second
            time.sleep(1.0)


def attend(sock: socket.socket, kind: str, seen: Seen) -> None:
    try:
        line = sock.recv(4096)
        if line:
            came_at = time.monotonic() - kernel_times(sock).since_received_s  # it may have waited to be read
            seen.sent_at.setdefault(line.split()[1], []).append(came_at)
        if kind == "full" and line:
            sock.sendall(b"BUSY\r\n")
        while sock.recv(4096):
            pass
    except OSError:
        pass
    finally:
        sock.close()


def play_client(number: int, port: int, chance: random.Random, seen: Seen, ends: list[str]) -> None:
    how, name = chance.choice(ends), b"%x" % (number + 1)
    figures = b"c=watch,t=valleys,d=3000" + b",mid=1" * (how in BEHIND)
    leaves_at = time.monotonic() + chance.uniform(0.0, WITHIN_S)
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(b"OPEN %s %x %s\r\n" % (name, chance.getrandbits(60), figures))
        sock.sendall(b"M 1\r\n" * BEHIND.get(how, 0))
        sock.settimeout(max(0.001, leaves_at - time.monotonic()))
        try:
            word = sock.recv(100)
            seen.answers[word.decode().split(" ")[0].strip() or "closed"] += 1
            return
        except TimeoutError:
            pass
        except OSError:
            seen.answers["reset"] += 1
            return
        if how == "reset":
            leave_by_reset = b"\x01\0\0\0\0\0\0\0"  # linger on, for no time
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, leave_by_reset)
    seen.left_at[name] = time.monotonic()


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--tree", type=Path, default=Path(__file__).parent.parent)
    words.add_argument("--clients", type=int, default=600)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--lags", action="store_true")
    words.add_argument("--ends", nargs="+", choices=[*ENDS, *BEHIND], default=list(ENDS))
    told = words.parse_args()
    seen, ports = Seen(), list[int]()
    for n in range(SERVERS):
        kind = ("silent", "full", "late")[n % 3]
        listener = socket.create_server(("127.0.0.1", 0), backlog=0 if kind == "late" else 128)
        ports.append(listener.getsockname()[1])
        threading.Thread(target=serve, args=(listener, kind, seen), daemon=True).start()
    leave.SETTINGS["ceilings"]["connect_timeout_us"] = 1_500_000
    leave.SETTINGS["ceilings"]["max_attempts"] = 5
    told.through = False
    with tempfile.TemporaryDirectory() as folder:
        relay, port = leave.start_relay(told, Path(folder), ports, told.clients)
        try:
            time.sleep(1.0)
            chances = [random.Random(1000 * told.seed + n) for n in range(told.clients)]
            clients = [
                threading.Thread(target=play_client, args=(n, port, chance, seen, told.ends))
                for n, chance in enumerate(chances)
            ]
            lag = threading.Thread(target=stop_and_go, args=(relay, told.clients * EVERY_S + WITHIN_S))
            if told.lags:
                lag.start()
            for client in clients:
                client.start()
                time.sleep(EVERY_S)
            for client in clients:
                client.join()
            if told.lags:
                lag.join()
            time.sleep(3.5)  # the longest deadline, and a moment
            relay.send_signal(signal.SIGTERM)
            relay.wait(10)
        finally:
            relay.kill()
            relay.wait()
        print(json.dumps(found(seen, (Path(folder) / "log").read_text())))
    return 0


def stop_and_go(relay: Any, for_s: float) -> None:
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        relay.send_signal(signal.SIGSTOP)
        time.sleep(0.5)
        relay.send_signal(signal.SIGCONT)
        time.sleep(0.5)


def found(seen: Seen, log: str) -> dict[str, Any]:
    sent = [(at, left) for name, left in seen.left_at.items() for at in seen.sent_at.get(name, [])]
    after = [at - left for at, left in sent if at > left]
    counters = dict(re.findall(r"(\w+)=(\d+)", log.partition("counters at exit:")[2]))
    of_interest = ("taken", "left", "left_unsent", "calls", "faults")
    return {
        "left_waiting": len(seen.left_at),
        "sent_on_after": len(after),
        "late": sum(s > LATE_S for s in after),
        "latest_s": round(max(after, default=0.0), 3),
        "answered_first": dict(seen.answers),
        "relay": {name: int(counters[name]) for name in of_interest if name in counters},
    }


if __name__ == "__main__":
    raise SystemExit(main())
