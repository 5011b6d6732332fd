"""Requests that a real relay still sends on after their clients left.

    python benchmarks/left_waiting.py [--tree FOLDER] [--clients N] [--seed S] [--lags] [--ends HOW ...]

The relay is `python -m glenfold` of that tree, on loopback. A third of its push servers never answer, a third
are full, and a third accept late because their queues of new connections are full for about a second. Each
client leaves within 1.5 s of its OPEN line: by an end of stream, by a reset, or, in mid flow, by an end of
stream behind bytes that it sent early. `--ends "behind a flood"` sends more early bytes than the kernel
accepts for a socket that nobody reads.

`--lags` stops the relay for 0.5 s of each second, so that its event loop is late with everything. Prints one
line of JSON: how many clients left while they waited, how many lines reached a server's machine after that,
how many of these more than 0.1 s after (must be 0), and the relay's counters.
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
MAX_STAY_S = 1.5
SERVER_COUNT = 9
CLIENT_INTERVAL_S = 0.02  # interval between the starts of two clients
ENDS = ("end", "reset", "behind bytes")
EARLY_LINES = {"behind bytes": 2_000, "behind a flood": 60_000}  # number of lines sent before the answer


class Observations:
    """What the push servers and the clients observed, by client id."""

    def __init__(self) -> None:
        self.sent_at: dict[bytes, list[float]] = {}
        self.departed_at: dict[bytes, float] = {}
        self.answers: Counter[str] = Counter()


def serve(listener: socket.socket, kind: str, observed: Observations) -> None:
    """Accepts connections as a push server that is `silent`, `full` or `late`."""
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve_connection, args=(sock, kind, observed), daemon=True).start()
        if kind == "late":
            # For this second the kernel queues one more connection and drops the others.
            time.sleep(1.0)


def serve_connection(sock: socket.socket, kind: str, observed: Observations) -> None:
    try:
        line = sock.recv(4096)
        if line:
            # The line may have waited in the socket's buffer.
            received_at = time.monotonic() - kernel_times(sock).since_received_s
            observed.sent_at.setdefault(line.split()[1], []).append(received_at)
        if kind == "full" and line:
            sock.sendall(b"BUSY\r\n")
        while sock.recv(4096):
            pass
    except OSError:
        pass
    finally:
        sock.close()


def play_client(number: int, port: int, rng: random.Random, observed: Observations, ends: list[str]) -> None:
    ending, name = rng.choice(ends), b"%x" % (number + 1)
    fields = b"c=watch,t=valleys,d=3000" + b",mid=1" * (ending in EARLY_LINES)
    departure_time = time.monotonic() + rng.uniform(0.0, MAX_STAY_S)
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(b"OPEN %s %x %s\r\n" % (name, rng.getrandbits(60), fields))
        sock.sendall(b"M 1\r\n" * EARLY_LINES.get(ending, 0))
        sock.settimeout(max(0.001, departure_time - time.monotonic()))
        try:
            reply = sock.recv(100)
            observed.answers[reply.decode().split(" ")[0].strip() or "closed"] += 1
            return
        except TimeoutError:
            pass
        except OSError:
            observed.answers["reset"] += 1
            return
        if ending == "reset":
            # SO_LINGER with a timeout of 0: close() resets the connection.
            linger_of_zero = b"\x01\0\0\0\0\0\0\0"
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_of_zero)
    observed.departed_at[name] = time.monotonic()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", type=Path, default=Path(__file__).parent.parent)
    parser.add_argument("--clients", type=int, default=600)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--lags", action="store_true")
    parser.add_argument("--ends", nargs="+", choices=[*ENDS, *EARLY_LINES], default=list(ENDS))
    options = parser.parse_args()
    observed, ports = Observations(), list[int]()
    for n in range(SERVER_COUNT):
        kind = ("silent", "full", "late")[n % 3]
        listener = socket.create_server(("127.0.0.1", 0), backlog=0 if kind == "late" else 128)
        ports.append(listener.getsockname()[1])
        threading.Thread(target=serve, args=(listener, kind, observed), daemon=True).start()
    leave.SETTINGS["ceilings"]["connect_timeout_us"] = 1_500_000
    leave.SETTINGS["ceilings"]["max_attempts"] = 5
    options.through = False
    with tempfile.TemporaryDirectory() as folder:
        relay, port = leave.start_relay(options, Path(folder), ports, options.clients)
        try:
            time.sleep(1.0)
            rngs = [random.Random(1000 * options.seed + n) for n in range(options.clients)]
            clients = [
                threading.Thread(target=play_client, args=(n, port, rng, observed, options.ends))
                for n, rng in enumerate(rngs)
            ]
            lag = threading.Thread(
                target=stop_and_continue, args=(relay, options.clients * CLIENT_INTERVAL_S + MAX_STAY_S)
            )
            if options.lags:
                lag.start()
            for client in clients:
                client.start()
                time.sleep(CLIENT_INTERVAL_S)
            for client in clients:
                client.join()
            if options.lags:
                lag.join()
            time.sleep(3.5)  # The longest deadline is 3 s.
            relay.send_signal(signal.SIGTERM)
            relay.wait(10)
        finally:
            relay.kill()
            relay.wait()
        print(json.dumps(summarize(observed, (Path(folder) / "log").read_text())))
    return 0


def stop_and_continue(relay: Any, for_s: float) -> None:
    """Stops the relay for the first half of each second, for `for_s` seconds."""
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        relay.send_signal(signal.SIGSTOP)
        time.sleep(0.5)
        relay.send_signal(signal.SIGCONT)
        time.sleep(0.5)


def summarize(observed: Observations, log: str) -> dict[str, Any]:
    sent = [
        (at, departed)
        for name, departed in observed.departed_at.items()
        for at in observed.sent_at.get(name, [])
    ]
    after = [at - departed for at, departed in sent if at > departed]
    counters = dict(re.findall(r"(\w+)=(\d+)", log.partition("counters at exit:")[2]))
    reported = ("taken", "left", "left_unsent", "calls", "faults")
    return {
        "left_waiting": len(observed.departed_at),
        "sent_on_after": len(after),
        "late": sum(s > LATE_S for s in after),
        "latest_s": round(max(after, default=0.0), 3),
        "answered_first": dict(observed.answers),
        "relay": {name: int(counters[name]) for name in reported if name in counters},
    }


if __name__ == "__main__":
    raise SystemExit(main())
