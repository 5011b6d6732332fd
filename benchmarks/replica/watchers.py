"""Processor time of a replica for each watcher, by the number of watchers.

    .venv/bin/python -m benchmarks.replica.watchers --watchers 500 1500 3400 --changes 50 --repeats 3

The watchers are plain sockets in a process of their own, which reads all data and closes nothing. The figures
are those of the serving process alone, in microseconds per watcher: `change` is a change of one server's
entry, about 150 bytes; `renewal` is an empty line; `resume` is a watch from its connection to its response.
"""

import argparse
import json
import os
import selectors
import socket
import subprocess
import sys
import time
from collections.abc import Callable

import trio

from glenfold.config.replica import Limits
from glenfold.replica.counters import ReplicaCounters
from glenfold.replica.server import Server
from glenfold.rules.replication import ListDocument, Position

REQUEST = b"GET /v1/servers?watch=1&from=1 HTTP/1.1\r\nHost: a\r\n\r\n"
WAIT_TIMEOUT_S = 60.0


def run_watchers(port: int, count: int) -> None:
    """Runs `count` watchers.

    Prints the number of bytes read so far for each byte on standard input, until standard input ends.
    """
    selector = selectors.DefaultSelector()
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(REQUEST)
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_READ)
    selector.register(sys.stdin, selectors.EVENT_READ)
    bytes_read = 0
    while True:
        for key, _ in selector.select():
            if key.fileobj is sys.stdin:
                if not os.read(0, 1):
                    return
                print(bytes_read, flush=True)
            elif isinstance(key.fileobj, socket.socket):
                bytes_read += len(key.fileobj.recv(1 << 16))


def entry(number: int, revision: int) -> dict[str, object]:
    return {
        "host": f"push-{number:05}.example",
        "dial": f"127.0.0.1:{1024 + number}",
        "site": "north-1",
        "class": "m",
        "block": number % 16,
        "health": "in_service",
        "share": 1.0 + revision,
        "born_ms": 1_780_000_000_000 + number,
    }


async def measure(watchers: int, changes: int, servers: int) -> dict[str, float]:
    counters = ReplicaCounters()
    server = Server("north-1", Limits(children=watchers + 8, idle_connections=watchers), counters)
    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    listener.listen(4096)
    port = listener.getsockname()[1]
    figures: dict[str, float] = {}
    entries = tuple(entry(n, 1) for n in range(servers))
    server.publish(ListDocument(Position(0, 1), True, entries))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listener)
        started_s = time.process_time()
        program = [sys.executable, "-m", "benchmarks.replica.watchers", "--drain", str(port), str(watchers)]
        reader = await trio.to_thread.run_sync(
            lambda: subprocess.Popen(program, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        )
        await wait_until(lambda: counters.watches == watchers)
        figures["resume"] = (time.process_time() - started_s) / watchers * 1e6

        async def measure_cost(step: Callable[[int], None], times: int, pause_s: float) -> float:
            started_s = time.process_time()
            for n in range(times):
                step(n)
                await trio.sleep(pause_s)
            await trio.sleep(0.2)
            return (time.process_time() - started_s) / times / watchers * 1e6

        def publish(n: int) -> None:
            server.publish(ListDocument(Position(0, n + 2), False, (entry(n % servers, n + 2),)))

        figures["change"] = await measure_cost(publish, changes, 0.1)
        figures["renewal"] = await measure_cost(lambda n: server.renew(trio.current_time()), 10, 0.6)
        figures["renewals told"] = counters.renewals_told
        assert reader.stdin is not None
        reader.stdin.close()
        reader.wait()
        assert counters.cut_behind == counters.cut_blocked == counters.faults == 0
        nursery.cancel_scope.cancel()
    return figures


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits for the condition; raises `trio.TooSlowError` after `WAIT_TIMEOUT_S`."""
    with trio.fail_after(WAIT_TIMEOUT_S):
        while not condition():
            await trio.sleep(0.05)


def main() -> None:
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--watchers", type=int, nargs="+", default=[500, 1500, 3400])
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--servers", type=int, default=1024)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--drain", type=int, nargs=2, metavar=("PORT", "COUNT"), help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.drain:
        run_watchers(*options.drain)
        return
    for watchers in options.watchers:
        for _ in range(options.repeats):
            figures = trio.run(measure, watchers, options.changes, options.servers)
            rounded = {name: round(value, 2) for name, value in figures.items()}
            print(json.dumps({"watchers": watchers, "us": rounded}), flush=True)


if __name__ == "__main__":
    main()
